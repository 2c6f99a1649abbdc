/** Adaptive limit on the requests in flight to one backend server. */
import type { RoutingSettings } from './settings.js'

/** Weight of one answer in the average slowness: the logarithm of the ratio of actual to typical service time. */
const SLOWNESS_SMOOTHING_FACTOR = 0.1

/**
 * Concurrency limit between 1 and a ceiling, adjusted by additive increase and multiplicative decrease (AIMD; Chiu and
 * Jain, 1989).
 *
 * @example
 * const limit = new AdaptiveConcurrencyLimit(defaultRoutingSettings, 8)
 * limit.recordOverload(nowMs)
 * limit.maxInFlight // 5
 */
export class AdaptiveConcurrencyLimit {
  readonly #settings: RoutingSettings
  #ceilingRequests: number
  #limitRequests: number
  #averageLogSlowness = 0
  #lastDecreaseAtMs = -Infinity

  constructor (settings: RoutingSettings, ceilingRequests: number) {
    this.#settings = settings
    this.#ceilingRequests = ceilingRequests
    this.#limitRequests = ceilingRequests
  }

  /** Requests that may be in flight at once. */
  get maxInFlight (): number {
    return Math.max(1, Math.floor(this.#limitRequests))
  }

  /** Sets the upper bound: the announced slots or connections, whichever is lower. */
  setCeiling (ceilingRequests: number): void {
    this.#ceilingRequests = ceilingRequests
    this.#limitRequests = Math.min(this.#limitRequests, ceilingRequests)
  }

  /**
   * Records an answer after `durationMs` to a request that typically takes `expectedMs`. It raises the limit, or
   * lowers it if the answers are slow on average.
   */
  recordSuccess (durationMs: number, expectedMs: number, nowMs: number): void {
    // The minimum of 0.1 ms keeps the logarithm finite.
    const logSlowness = Math.log(Math.max(durationMs, 0.1) / Math.max(expectedMs, 0.1))
    this.#averageLogSlowness += (logSlowness - this.#averageLogSlowness) * SLOWNESS_SMOOTHING_FACTOR
    if (this.#averageLogSlowness > Math.log(this.#settings.limitSlowFactor)) return this.recordOverload(nowMs)
    const increase = this.#settings.limitIncreaseRequests / this.#limitRequests
    this.#limitRequests = Math.min(this.#ceilingRequests, this.#limitRequests + increase)
  }

  /** Records a sign of overload: a rejection, a failed or lost connection, a timeout or persistently slow answers. */
  recordOverload (nowMs: number): void {
    if (nowMs - this.#lastDecreaseAtMs < this.#settings.limitDecreaseIntervalMs) return
    this.#lastDecreaseAtMs = nowMs
    this.#limitRequests = Math.max(1, this.#limitRequests * this.#settings.limitDecreaseFactor)
  }
}
