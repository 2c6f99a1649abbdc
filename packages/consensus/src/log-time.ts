/**
 * Log time of a leader: starts from the last log time and advances with monotonic time, so that neither a change of
 * leader nor a jump of a wall clock makes it go back.
 *
 * @example
 * const logTime = new LogTime(5_000, 70)
 * logTime.at(80) // 5010
 */
export class LogTime {
  readonly #originMs: number
  readonly #startedMs: number

  constructor (originMs: number, startedMs: number) {
    this.#originMs = originMs
    this.#startedMs = startedMs
  }

  /** Log time in whole milliseconds at the monotonic time `nowMs`. */
  at (nowMs: number): number {
    return this.#originMs + Math.max(0, Math.floor(nowMs - this.#startedMs))
  }
}
