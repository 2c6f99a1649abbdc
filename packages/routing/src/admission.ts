/** Decides at arrival whether a request can be served in time. */
import { failure, type Failure, type RequestSpec } from '@comfreygrade/core'
import type { ServiceClasses } from './service-classes.js'
import type { ServiceQueues } from './service-queues.js'
import type { RoutingSettings } from './settings.js'

/** Refuses requests whose wait alone would outlast their deadline. */
export class Admission {
  readonly #settings: RoutingSettings
  readonly #classes: ServiceClasses
  readonly #queues: ServiceQueues

  constructor (settings: RoutingSettings, classes: ServiceClasses, queues: ServiceQueues) {
    this.#settings = settings
    this.#classes = classes
    this.#queues = queues
  }

  /**
   * The refusal of a request that would come too late, or undefined. Without a queue every request is admitted, so a
   * wrong estimate corrects itself as soon as the queue is empty.
   */
  refusal (request: RequestSpec, weight: number, nowMs: number): Failure | undefined {
    const serviceMs = this.#classes.typicalMs(request.requestClass)
    const waitMs = this.waitMs(request, weight)
    const lateMs = nowMs + waitMs + serviceMs - request.deadlineAtMs
    if (waitMs === 0 || lateMs <= 0) return undefined
    const detail = `expected wait ${Math.round(waitMs)} ms and service time ${Math.round(serviceMs)} ms, ` +
      `${Math.round(request.deadlineAtMs - nowMs)} ms are left`
    return failure('deadline_unreachable', detail, this.retryAfterMs(lateMs))
  }

  /** Expected wait of a request; 0 where nothing waits or nothing is known. */
  waitMs (request: RequestSpec, weight: number): number {
    const { organisationId, deadlineAtMs, requestClass } = request
    const workClass = this.#classes.workClass(requestClass)
    const item = { organisationId, workClass, deadlineAtMs, workMs: this.#classes.meanMs(requestClass) }
    return this.#queues.of(request.service).requests.waitMs(item, weight) ?? 0
  }

  /** Advice that a caller can rely on: the time after which the same request would be served in time. */
  retryAfterMs (delayMs: number): number {
    const { minRetryAfterMs, maxRetryAfterMs } = this.#settings
    return Math.ceil(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, delayMs)))
  }
}
