/** Brings waiting requests and servers with room together. */
import { failure, type Failure, type Random } from '@comfreygrade/core'
import type { Admission } from './admission.js'
import type { LoadSharing } from './load-sharing.js'
import type { OpenRequest } from './open-request.js'
import type { RoutingPolicy, Selection } from './policy.js'
import type { RequestQueue } from './request-queue.js'
import type { ServerPool, ServerState } from './servers.js'
import type { ServiceClasses, WorkClass } from './service-classes.js'
import type { ServiceQueue, ServiceQueues } from './service-queues.js'
import type { RoutingSettings } from './settings.js'
import type { Timer, TimerHeap } from './timers.js'

/** Parts of the router that the dispatcher works with. */
export interface DispatcherOptions {
  readonly settings: RoutingSettings
  readonly policy: RoutingPolicy
  readonly random: Random
  readonly pool: ServerPool
  readonly queues: ServiceQueues
  readonly classes: ServiceClasses
  readonly admission: Admission
  readonly loadSharing: LoadSharing
  readonly timers: TimerHeap
  /** Sends a request that has left its queue. */
  readonly dispatch: (open: OpenRequest, server: ServerState, nowMs: number) => void
  /** Ends a waiting request; the failure applies where no earlier attempt may have run. */
  readonly refuse: (open: OpenRequest, notRun: Failure) => void
}

type Choose = (selection: Selection) => ServerState | undefined

/** Sends waiting requests when capacity changes; between such changes a blocked queue costs nothing. */
export class Dispatcher {
  readonly #options: DispatcherOptions
  readonly #freedServers = new Set<ServerState>()
  #hasCapacityChanged = false
  #recheckTimer: Timer | undefined

  constructor (options: DispatcherOptions) {
    this.#options = options
  }

  /** Whether requests wait for a `pump` after capacity or membership changed outside an event. */
  get isPumpDue (): boolean {
    const { pool, queues } = this.#options
    return (this.#hasCapacityChanged || pool.isStale) && queues.size > 0
  }

  /** Takes changes of the registry into account. */
  refresh (): void {
    const { pool, queues } = this.#options
    if (!pool.isStale) return
    pool.refresh()
    queues.forgetUnused(service => pool.tiers(service).length > 0)
    this.#hasCapacityChanged = true
  }

  /** Any server may have room again. */
  capacityChanged (): void {
    this.#hasCapacityChanged = true
  }

  /** One server has a slot more. */
  slotFreed (server: ServerState): void {
    this.#freedServers.add(server)
  }

  /** Sends a new request or lets it wait. */
  add (open: OpenRequest, nowMs: number): void {
    const { queues } = this.#options
    const queue = queues.of(open.request.service)
    if (queue.requests.sizeOf(open.workClass) === 0) queue.blocked.delete(open.workClass)
    queues.push(open, open.weight, nowMs)
    this.#pumpQueue(queue, nowMs)
    if (queues.isOverfull) this.#refuseLargestShare(open.request.service)
  }

  /** Sends waiting requests to servers with room. */
  pump (nowMs: number): void {
    const { queues } = this.#options
    for (const server of this.#freedServers) this.#offer(server, nowMs)
    this.#freedServers.clear()
    if (!this.#hasCapacityChanged) return
    this.#hasCapacityChanged = false
    queues.unblock()
    for (const queue of queues.waiting()) this.#pumpQueue(queue, nowMs)
  }

  #pumpQueue ({ requests, blocked }: ServiceQueue, nowMs: number): void {
    const { policy, random } = this.#options
    this.#sendWaiting(requests, blocked, nowMs, selection => policy.choose(selection, random))
    if (requests.size > 0) this.#recheckLater(nowMs)
  }

  /** A free slot goes to the request whose turn it is, without a search of all servers. */
  #offer (server: ServerState, nowMs: number): void {
    const { policy, queues } = this.#options
    for (const service of server.known.record.services) {
      const queue = queues.find(service)
      if (queue === undefined || queue.requests.size === 0) continue
      this.#sendWaiting(queue.requests, new Set(), nowMs, selection =>
        policy.accepts(server, selection) ? server : undefined)
    }
  }

  #sendWaiting (requests: RequestQueue<OpenRequest>, blocked: Set<WorkClass>, nowMs: number, choose: Choose): void {
    const { queues, dispatch, refuse } = this.#options
    for (let open = requests.first(blocked); open !== undefined; open = requests.first(blocked)) {
      const server = choose(this.#selection(open, nowMs))
      if (server === undefined) {
        blocked.add(open.workClass)
      } else if (this.#isTooLate(open, nowMs)) {
        refuse(open, open.lateFailure())
      } else {
        queues.take(open, nowMs)
        dispatch(open, server, nowMs)
      }
    }
  }

  #selection (open: OpenRequest, nowMs: number): Selection {
    const { pool, loadSharing } = this.#options
    const { workClass, avoid, request, isIdempotent } = open
    const tiers = pool.tiers(request.service)
    return { tiers, workClass, isProbeWelcome: isIdempotent, avoid, entryVms: loadSharing.entryVms, nowMs }
  }

  /** Work that would be answered after its deadline is not started, as it would take a slot from others. */
  #isTooLate (open: OpenRequest, nowMs: number): boolean {
    if (nowMs === open.queuedAtMs) return false
    const { settings, classes } = this.#options
    const neededMs = settings.startMarginFactor * classes.typicalMs(open.request.requestClass)
    return nowMs + neededMs > open.deadlineAtMs
  }

  /** A full queue costs the organisation that holds most of it for its weight, not whoever comes next. */
  #refuseLargestShare (service: string): void {
    const { settings, queues, admission, refuse } = this.#options
    const open = queues.of(service).requests.lastOfLargestShare()
    if (open === undefined) return
    const retryAfterMs = admission.retryAfterMs(admission.waitMs(open.request, open.weight))
    const detail = `${settings.maxQueuedRequests} requests wait, which is the limit`
    refuse(open, failure('queue_full', detail, retryAfterMs))
  }

  /** Counts of peers decay without an event, so blocked queues are tried again after a while. */
  #recheckLater (nowMs: number): void {
    const { settings, timers } = this.#options
    this.#recheckTimer ??= timers.set(nowMs + settings.queueRecheckMs, () => {
      this.#recheckTimer = undefined
      this.#hasCapacityChanged = true
    })
  }
}
