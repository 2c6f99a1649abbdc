/** Feeds the results of attempts into server health, concurrency limits and service time estimates. */
import type { RequestSpec } from '@comfreygrade/core'
import type { Attempt, RetryReason } from './held-request.js'
import type { ServerPool } from './server-pool.js'
import type { ServiceTimeEstimator } from './service-time-estimator.js'
import type { RoutingSettings } from './settings.js'

/** Updates the state of a server and the estimates of a request class after each attempt. */
export class AttemptObserver {
  readonly #settings: RoutingSettings
  readonly #pool: ServerPool
  readonly #serviceTimes: ServiceTimeEstimator

  constructor (settings: RoutingSettings, pool: ServerPool, serviceTimes: ServiceTimeEstimator) {
    this.#settings = settings
    this.#pool = pool
    this.#serviceTimes = serviceTimes
  }

  recordSuccess (attempt: Attempt, spec: RequestSpec, nowMs: number): void {
    const durationMs = nowMs - attempt.startedAtMs
    const expectedMs = this.#serviceTimes.typicalMs(spec.requestClass)
    attempt.server.ejection.recordSuccess()
    attempt.server.concurrencyLimit.recordSuccess(durationMs, expectedMs, nowMs)
    this.#serviceTimes.observe(spec.requestClass, durationMs)
  }

  /**
   * Records a failed attempt. A timeout after less than `limitSlowFactor` times the typical service time does not count
   * against the server, as it says nothing about the server's health. A server error counts towards ejection, but is
   * not a sign of overload.
   *
   * @returns whether the failure ejected the server
   */
  recordFailure (attempt: Attempt, spec: RequestSpec, reason: RetryReason, nowMs: number): boolean {
    const { ejection, concurrencyLimit } = attempt.server
    const durationMs = nowMs - attempt.startedAtMs
    if (reason === 'attempt_timeout') {
      const isInconclusive =
        durationMs < this.#settings.limitSlowFactor * this.#serviceTimes.typicalMs(spec.requestClass)
      this.#serviceTimes.observeLowerBound(spec.requestClass, durationMs)
      if (isInconclusive) {
        ejection.recordInconclusive()
        return false
      }
    }
    if (reason !== 'server_error') concurrencyLimit.recordOverload(nowMs)
    return ejection.recordFailure(nowMs, this.#pool.mayEject(nowMs))
  }
}
