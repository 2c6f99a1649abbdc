/** Rate at which a queue is served while requests wait in it. */

/** Weight of a new window in the average rate. */
const WINDOW_WEIGHT = 0.3

/**
 * Work (milliseconds of service time) that leaves a busy queue per millisecond.
 *
 * @example
 * const rate = new BusyRate(200)
 * rate.becameBusy(0)
 * rate.took(400, 200)
 * rate.workMsPerMs // 2
 */
export class BusyRate {
  readonly #windowMs: number
  #windowStartMs = 0
  #windowWorkMs = 0
  #rate: number | undefined

  constructor (windowMs: number) {
    this.#windowMs = windowMs
  }

  /** The queue was empty and has a request now. */
  becameBusy (nowMs: number): void {
    this.#windowStartMs = nowMs
    this.#windowWorkMs = 0
  }

  /** A request left the queue for a server. */
  took (workMs: number, nowMs: number): void {
    this.#windowWorkMs += workMs
    const elapsedMs = nowMs - this.#windowStartMs
    if (elapsedMs < this.#windowMs) return
    const sample = this.#windowWorkMs / elapsedMs
    this.#rate = this.#rate === undefined ? sample : this.#rate + (sample - this.#rate) * WINDOW_WEIGHT
    this.becameBusy(nowMs)
  }

  /**
   * The rate, or undefined before a first window is complete. It stays while nothing leaves the queue, as long work
   * that gave way to short work runs at its former rate again afterwards.
   */
  get workMsPerMs (): number | undefined {
    return this.#rate
  }
}
