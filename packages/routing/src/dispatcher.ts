/** Assigns waiting requests to backend servers with free capacity. */
import { failure, type Failure, type Random } from '@comfreygrade/core'
import type { Admission } from './admission.js'
import type { LoadExchange } from './load-exchange.js'
import type { HeldRequest } from './held-request.js'
import type { RoutingPolicy, SelectionContext } from './policy.js'
import type { RequestQueue } from './request-queue.js'
import type { ServerPool, ServerState } from './server-pool.js'
import type { ServiceTimeEstimator, WorkClass } from './service-time-estimator.js'
import type { ServiceQueue, ServiceQueues } from './service-queues.js'
import type { RoutingSettings } from './settings.js'
import type { Timer, TimerHeap } from './timer-heap.js'

/** Dependencies of the dispatcher. */
export interface DispatcherOptions {
  readonly settings: RoutingSettings
  readonly policy: RoutingPolicy
  readonly random: Random
  readonly pool: ServerPool
  readonly queues: ServiceQueues
  readonly serviceTimes: ServiceTimeEstimator
  readonly admission: Admission
  readonly loadExchange: LoadExchange
  readonly timers: TimerHeap
  /** Sends a request that has been removed from its queue. */
  readonly dispatch: (request: HeldRequest, server: ServerState, nowMs: number) => void
  /**
   * Refuses a waiting request; `notRunFailure` is replaced if an earlier attempt may have run
   * (`HeldRequest.outcomeFailure`).
   */
  readonly refuse: (request: HeldRequest, notRunFailure: Failure) => void
}

type SelectServer = (context: SelectionContext) => ServerState | undefined

/**
 * Sends waiting requests when capacity changes. A work class for which no server had capacity is blocked until the
 * next change, so that a full system does not search all servers on every event.
 */
export class Dispatcher {
  readonly #options: DispatcherOptions
  readonly #freedServers = new Set<ServerState>()
  #isCapacityChanged = false
  #recheckTimer: Timer | undefined

  constructor (options: DispatcherOptions) {
    this.#options = options
  }

  /** Whether `dispatchWaiting` has to run because capacity or membership changed outside an event. */
  get isDispatchDue (): boolean {
    const { pool, queues } = this.#options
    return (this.#isCapacityChanged || pool.isStale) && queues.size > 0
  }

  /** Updates the server pool and the queues after changes of the registry. */
  applyRegistryChanges (): void {
    const { pool, queues } = this.#options
    if (!pool.isStale) return
    pool.refresh()
    queues.removeUnused(service => pool.tiersOf(service).length > 0)
    this.#isCapacityChanged = true
  }

  /** Records that any server may have gained capacity. */
  markCapacityChanged (): void {
    this.#isCapacityChanged = true
  }

  /** Records that a slot of one server became free. */
  markSlotFreed (server: ServerState): void {
    this.#freedServers.add(server)
  }

  /** Sends a new request, or queues it if no server has capacity. */
  submit (request: HeldRequest, nowMs: number): void {
    const { queues } = this.#options
    const queue = queues.getOrCreate(request.spec.service)
    // If nothing of this work class waits, the request that found no server has ended, and its block with it.
    if (queue.requests.sizeOf(request.workClass) === 0) queue.blockedWorkClasses.delete(request.workClass)
    queues.enqueue(request, request.weight, nowMs)
    this.#dispatchFromQueue(queue, nowMs)
    if (queues.isOverLimit) this.#refuseFromLargestQueue(request.spec.service)
  }

  /** Sends waiting requests to servers whose capacity changed. */
  dispatchWaiting (nowMs: number): void {
    const { queues } = this.#options
    for (const server of this.#freedServers) this.#dispatchToServer(server, nowMs)
    this.#freedServers.clear()
    if (!this.#isCapacityChanged) return
    this.#isCapacityChanged = false
    queues.unblockWorkClasses()
    for (const queue of queues.nonEmpty()) this.#dispatchFromQueue(queue, nowMs)
  }

  #dispatchFromQueue ({ requests, blockedWorkClasses }: ServiceQueue, nowMs: number): void {
    const { policy, random } = this.#options
    this.#dispatchWhileCapacity(requests, blockedWorkClasses, nowMs, context => policy.choose(context, random))
    if (requests.size > 0) this.#scheduleRecheck(nowMs)
  }

  /** Fills the freed capacity of one server with waiting requests of its services, without searching other servers. */
  #dispatchToServer (server: ServerState, nowMs: number): void {
    const { policy, queues } = this.#options
    for (const service of server.registration.record.services) {
      const queue = queues.find(service)
      if (queue === undefined || queue.requests.size === 0) continue
      // The blocks of the queue are older than the freed slot, and a refusal by this server says nothing about others.
      this.#dispatchWhileCapacity(queue.requests, new Set(), nowMs, context =>
        policy.accepts(server, context) ? server : undefined)
    }
  }

  #dispatchWhileCapacity (
    requests: RequestQueue<HeldRequest>, blockedWorkClasses: Set<WorkClass>, nowMs: number, selectServer: SelectServer
  ): void {
    const { queues, dispatch, refuse } = this.#options
    for (
      let request = requests.peek(blockedWorkClasses);
      request !== undefined;
      request = requests.peek(blockedWorkClasses)
    ) {
      const server = selectServer(this.#selectionContextFor(request, nowMs))
      if (server === undefined) {
        blockedWorkClasses.add(request.workClass)
      } else if (this.#wouldMissDeadline(request, nowMs)) {
        refuse(request, request.deadlineFailure())
      } else {
        queues.dequeue(request, nowMs)
        dispatch(request, server, nowMs)
      }
    }
  }

  #selectionContextFor (request: HeldRequest, nowMs: number): SelectionContext {
    const { pool, loadExchange } = this.#options
    const { workClass, attemptedServerIds, spec, isIdempotent } = request
    const tiers = pool.tiersOf(spec.service)
    return {
      tiers,
      workClass,
      isProbeSafe: isIdempotent,
      attemptedServerIds,
      entryVmCount: loadExchange.entryVmCount,
      nowMs
    }
  }

  /**
   * Whether less time is left until the deadline than `startMarginFactor` times the typical service time, so that the
   * request would only take a slot from others. Admission compares with the typical service time itself, so a request
   * may be admitted and refused here later. As on admission, a request that does not have to wait is exempt.
   */
  #wouldMissDeadline (request: HeldRequest, nowMs: number): boolean {
    if (nowMs === request.queuedAtMs) return false
    const { settings, serviceTimes } = this.#options
    const requiredMs = settings.startMarginFactor * serviceTimes.typicalMs(request.spec.requestClass)
    return nowMs + requiredMs > request.deadlineAtMs
  }

  /**
   * Refuses a request of the organisation with the largest queue relative to its weight, instead of the request that
   * has just arrived. The limit applies to the queues of all services, but only the queue of `service` is searched.
   */
  #refuseFromLargestQueue (service: string): void {
    const { settings, queues, admission, refuse } = this.#options
    const request = queues.getOrCreate(service).requests.lastOfLargestQueue()
    if (request === undefined) return
    const retryAfterMs = admission.retryAfterMs(admission.expectedWaitMs(request.spec, request.weight))
    const detail = `the queues of all services hold the maximum of ${settings.maxQueuedRequests} requests`
    refuse(request, failure('queue_full', detail, retryAfterMs))
  }

  /**
   * Checks blocked queues again after `queueRecheckMs`, as counts reported by peers decay without an event. The check
   * also finds servers that took no waiting request when their slot was freed, as `RoutingPolicy.accepts` is stricter
   * than `choose`.
   */
  #scheduleRecheck (nowMs: number): void {
    const { settings, timers } = this.#options
    this.#recheckTimer ??= timers.set(nowMs + settings.queueRecheckMs, () => {
      this.#recheckTimer = undefined
      this.#isCapacityChanged = true
    })
  }
}
