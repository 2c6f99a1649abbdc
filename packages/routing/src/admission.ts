/** Admission control: refuses requests on arrival that cannot meet their deadline. */
import { failure, type Failure, type RequestSpec } from '@comfreygrade/core'
import type { ServiceTimeEstimator } from './service-time-estimator.js'
import type { ServiceQueues } from './service-queues.js'
import type { RoutingSettings } from './settings.js'

/**
 * Refuses requests whose expected wait and typical service time exceed the time left until their deadline. The setting
 * `startMarginFactor` does not apply here, only to waiting requests.
 */
export class Admission {
  readonly #settings: RoutingSettings
  readonly #serviceTimes: ServiceTimeEstimator
  readonly #queues: ServiceQueues

  constructor (settings: RoutingSettings, serviceTimes: ServiceTimeEstimator, queues: ServiceQueues) {
    this.#settings = settings
    this.#serviceTimes = serviceTimes
    this.#queues = queues
  }

  /**
   * Returns the refusal of a request that would miss its deadline, or undefined if it is admitted. A request that does
   * not have to wait, or whose wait is not known, is always admitted, so that a wrong estimate is corrected by new
   * samples once the queue is empty.
   */
  refusalFor (spec: RequestSpec, weight: number, nowMs: number): Failure | undefined {
    const serviceTimeMs = this.#serviceTimes.typicalMs(spec.requestClass)
    const expectedWaitMs = this.expectedWaitMs(spec, weight)
    const latenessMs = nowMs + expectedWaitMs + serviceTimeMs - spec.deadlineAtMs
    if (expectedWaitMs === 0 || latenessMs <= 0) return undefined
    const detail = `expected wait ${Math.round(expectedWaitMs)} ms and service time ${Math.round(serviceTimeMs)} ms, ` +
      `${Math.round(spec.deadlineAtMs - nowMs)} ms left before the deadline`
    // After this delay, the same request is expected to be admitted, unless `maxRetryAfterMs` shortens the delay. It
    // may still be refused while it waits, as the dispatcher requires `startMarginFactor` times its service time.
    return failure('deadline_unreachable', detail, this.retryAfterMs(latenessMs))
  }

  /** Expected wait behind requests of the same work class; 0 if none waits or their service rate is not known yet. */
  expectedWaitMs (spec: RequestSpec, weight: number): number {
    const { organisationId, deadlineAtMs, requestClass } = spec
    const workClass = this.#serviceTimes.workClass(requestClass)
    const item = {
      organisationId,
      workClass,
      deadlineAtMs,
      expectedServiceTimeMs: this.#serviceTimes.meanMs(requestClass)
    }
    return this.#queues.getOrCreate(spec.service).requests.expectedWaitMs(item, weight) ?? 0
  }

  /** Rounds a retry delay up to whole milliseconds between `minRetryAfterMs` and `maxRetryAfterMs`. */
  retryAfterMs (delayMs: number): number {
    const { minRetryAfterMs, maxRetryAfterMs } = this.#settings
    return Math.ceil(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, delayMs)))
  }
}
