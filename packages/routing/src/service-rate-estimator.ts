/** Estimates how fast a queue is served while requests wait in it. */

/** Weight of a new window in the exponential moving average. */
const RATE_SMOOTHING_FACTOR = 0.3

/**
 * Service rate of a non-empty queue: the service time, in milliseconds, of the requests that leave it per millisecond.
 *
 * @example
 * const rate = new ServiceRateEstimator(200)
 * rate.startWindow(0)
 * rate.recordDequeue(400, 200)
 * rate.serviceMsPerMs // 2
 */
export class ServiceRateEstimator {
  readonly #windowMs: number
  #windowStartMs = 0
  #windowServiceTimeMs = 0
  #averageRate: number | undefined

  constructor (windowMs: number) {
    this.#windowMs = windowMs
  }

  /** Starts a measurement window; called when the queue becomes non-empty. */
  startWindow (nowMs: number): void {
    this.#windowStartMs = nowMs
    this.#windowServiceTimeMs = 0
  }

  /** Records that a request of the given service time left the queue for a server. */
  recordDequeue (serviceTimeMs: number, nowMs: number): void {
    this.#windowServiceTimeMs += serviceTimeMs
    const elapsedMs = nowMs - this.#windowStartMs
    if (elapsedMs < this.#windowMs) return
    const sample = this.#windowServiceTimeMs / elapsedMs
    this.#averageRate = this.#averageRate === undefined
      ? sample
      : this.#averageRate + (sample - this.#averageRate) * RATE_SMOOTHING_FACTOR
    this.startWindow(nowMs)
  }

  /**
   * The rate, or undefined until the first window is complete. It does not decay while nothing leaves the queue: long
   * requests that are held back by short ones are served at their previous rate afterwards.
   */
  get serviceMsPerMs (): number | undefined {
    return this.#averageRate
  }
}
