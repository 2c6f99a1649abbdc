/** Request queues of all services, with a common size limit. */
import type { HeldRequest } from './held-request.js'
import { RequestQueue } from './request-queue.js'
import type { WorkClass } from './service-time-estimator.js'
import type { RoutingSettings } from './settings.js'

/** Queue of one service, with the work classes that are blocked. */
export interface ServiceQueue {
  readonly requests: RequestQueue<HeldRequest>
  /** Work classes for which no server had capacity; cleared when capacity changes. */
  readonly blockedWorkClasses: Set<WorkClass>
}

/** All queued requests of an entry VM. */
export class ServiceQueues {
  readonly #settings: RoutingSettings
  readonly #queues = new Map<string, ServiceQueue>()
  #size = 0

  constructor (settings: RoutingSettings) {
    this.#settings = settings
  }

  /** Number of queued requests of all services. */
  get size (): number {
    return this.#size
  }

  /** Whether more requests are queued than `maxQueuedRequests`. */
  get isOverLimit (): boolean {
    return this.#size > this.#settings.maxQueuedRequests
  }

  getOrCreate (service: string): ServiceQueue {
    const existing = this.#queues.get(service)
    if (existing !== undefined) return existing
    const queue: ServiceQueue = { requests: new RequestQueue(this.#settings), blockedWorkClasses: new Set() }
    this.#queues.set(service, queue)
    return queue
  }

  find (service: string): ServiceQueue | undefined {
    return this.#queues.get(service)
  }

  nonEmpty (): ServiceQueue[] {
    return [...this.#queues.values()].filter(queue => queue.requests.size > 0)
  }

  enqueue (request: HeldRequest, weight: number, nowMs: number): void {
    this.#size++
    this.getOrCreate(request.spec.service).requests.enqueue(request, weight, nowMs)
  }

  /** Removes a request to send it to a server. */
  dequeue (request: HeldRequest, nowMs: number): void {
    this.#size--
    this.getOrCreate(request.spec.service).requests.dequeue(request, nowMs)
  }

  /** Removes a request that ended while it was queued. */
  remove (request: HeldRequest): void {
    this.#size--
    this.getOrCreate(request.spec.service).requests.remove(request)
  }

  /** Unblocks all work classes after capacity changed. */
  unblockWorkClasses (): void {
    for (const queue of this.#queues.values()) queue.blockedWorkClasses.clear()
  }

  /** Removes empty queues of services that no server announces any more. */
  removeUnused (isAnnounced: (service: string) => boolean): void {
    for (const [service, queue] of this.#queues) {
      if (queue.requests.size === 0 && !isAnnounced(service)) this.#queues.delete(service)
    }
  }
}
