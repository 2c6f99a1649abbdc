/** Repeats one asynchronous step at an interval, never two at once. */

/**
 * Runs `beat` now, then again `intervalMs()` after each run has ended.
 *
 * @example
 * const heartbeat = new Heartbeat(async () => { await announce() }, () => 1_000)
 * heartbeat.start()
 * await heartbeat.stop()
 */
export class Heartbeat {
  readonly #beat: () => Promise<void>
  readonly #intervalMs: () => number
  #timer: NodeJS.Timeout | undefined
  #running: Promise<void> | undefined
  #isStarted = false
  #isWanted = false

  constructor (beat: () => Promise<void>, intervalMs: () => number) {
    this.#beat = beat
    this.#intervalMs = intervalMs
  }

  /** Starts the repetition with an immediate run. */
  start (): void {
    this.#isStarted = true
    this.beatNow()
  }

  /** Runs without waiting for the interval; directly after a run that is under way. */
  beatNow (): void {
    if (!this.#isStarted) return
    this.#isWanted = true
    if (this.#running !== undefined) return
    clearTimeout(this.#timer)
    this.#running = this.#run()
  }

  /** Ends the repetition; resolves once a run under way has ended, so that nothing is sent afterwards. */
  async stop (): Promise<void> {
    this.#isStarted = false
    clearTimeout(this.#timer)
    await this.#running
  }

  async #run (): Promise<void> {
    while (this.#isWanted && this.#isStarted) {
      this.#isWanted = false
      await this.#beat()
    }
    this.#running = undefined
    if (this.#isStarted) this.#timer = setTimeout(() => this.beatNow(), this.#intervalMs())
  }
}
