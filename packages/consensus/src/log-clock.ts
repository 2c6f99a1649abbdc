/**
 * Clock for the timestamps that a leader writes into log entries. It starts at the last log time and advances with
 * monotonic time, so that neither a change of leader nor a wall-clock jump makes log time go back.
 *
 * @example
 * const logClock = new LogClock(5_000, 70) // log time 5000 at monotonic time 70
 * logClock.timeAtMs(80) // 5010
 */
export class LogClock {
  /** Log time at `startedAtMs`. */
  readonly #originMs: number
  /** Monotonic time at which this clock started. */
  readonly #startedAtMs: number

  constructor (originMs: number, startedMs: number) {
    this.#originMs = originMs
    this.#startedAtMs = startedMs
  }

  /** Log time in whole milliseconds at the monotonic time `nowMs`. */
  timeAtMs (nowMs: number): number {
    return this.#originMs + Math.max(0, Math.floor(nowMs - this.#startedAtMs))
  }
}
