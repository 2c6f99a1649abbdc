/** Attempt timeouts and retry backoff. */
import type { Random } from '@comfreygrade/core'
import type { HeldRequest } from './held-request.js'
import type { ServiceTimeEstimator } from './service-time-estimator.js'
import type { RoutingSettings } from './settings.js'

/** Share of the remaining time used as timeout if the service time is not known; the rest allows one retry. */
const DEFAULT_TIMEOUT_SHARE = 0.5

/** Computes the timeout of each attempt and the delay before the next one. */
export class AttemptTiming {
  readonly #settings: RoutingSettings
  readonly #serviceTimes: ServiceTimeEstimator
  readonly #random: Random

  constructor (settings: RoutingSettings, serviceTimes: ServiceTimeEstimator, random: Random) {
    this.#settings = settings
    this.#serviceTimes = serviceTimes
    this.#random = random
  }

  /**
   * Time at which an attempt times out. Only idempotent requests time out before their deadline, as only they can be
   * retried after a timeout. A timeout based on the estimated service time doubles after each timed-out attempt,
   * because the estimate may be too low.
   */
  timeoutAtMs (request: HeldRequest, nowMs: number): number {
    const { deadlineAtMs, requestClass } = request.spec
    if (!request.isIdempotent) return deadlineAtMs
    if (!this.#serviceTimes.hasEstimate(requestClass)) return nowMs + (deadlineAtMs - nowMs) * DEFAULT_TIMEOUT_SHARE
    const { attemptTimeoutMinMs, attemptTimeoutFactor } = this.#settings
    const initialTimeoutMs =
      Math.max(attemptTimeoutMinMs, attemptTimeoutFactor * this.#serviceTimes.typicalMs(requestClass))
    return Math.min(deadlineAtMs, nowMs + initialTimeoutMs * 2 ** request.timeoutCount)
  }

  /** Exponential backoff with full jitter (Brooker, "Exponential Backoff And Jitter", 2015). */
  backoffMs (attemptCount: number): number {
    const { backoffBaseMs, backoffMaxMs } = this.#settings
    return this.#random.nextFloat() * Math.min(backoffMaxMs, backoffBaseMs * 2 ** (attemptCount - 1))
  }
}
