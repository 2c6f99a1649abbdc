/** Queues of all services and their common bound. */
import type { OpenRequest } from './open-request.js'
import { RequestQueue } from './request-queue.js'
import type { WorkClass } from './service-classes.js'
import type { RoutingSettings } from './settings.js'

/** Queue of one service with what is known about its room. */
export interface ServiceQueue {
  readonly requests: RequestQueue<OpenRequest>
  /** Classes for which no server had room; emptied when capacity changes. */
  readonly blocked: Set<WorkClass>
}

/** All waiting requests of an entry VM. */
export class ServiceQueues {
  readonly #settings: RoutingSettings
  readonly #queues = new Map<string, ServiceQueue>()
  #size = 0

  constructor (settings: RoutingSettings) {
    this.#settings = settings
  }

  /** Number of waiting requests. */
  get size (): number {
    return this.#size
  }

  /** Whether more requests wait than are allowed. */
  get isOverfull (): boolean {
    return this.#size > this.#settings.maxQueuedRequests
  }

  /** The queue of a service. */
  of (service: string): ServiceQueue {
    const known = this.#queues.get(service)
    if (known !== undefined) return known
    const queue: ServiceQueue = { requests: new RequestQueue(this.#settings), blocked: new Set() }
    this.#queues.set(service, queue)
    return queue
  }

  /** The queue of a service, if a request ever waited there. */
  find (service: string): ServiceQueue | undefined {
    return this.#queues.get(service)
  }

  /** Queues in which requests wait. */
  waiting (): ServiceQueue[] {
    return [...this.#queues.values()].filter(queue => queue.requests.size > 0)
  }

  /** Adds a request. */
  push (open: OpenRequest, weight: number, nowMs: number): void {
    this.#size++
    this.of(open.request.service).requests.push(open, weight, nowMs)
  }

  /** Removes a request that goes to a server. */
  take (open: OpenRequest, nowMs: number): void {
    this.#size--
    this.of(open.request.service).requests.take(open, nowMs)
  }

  /** Removes a request that no longer waits. */
  remove (open: OpenRequest): void {
    this.#size--
    this.of(open.request.service).requests.remove(open)
  }

  /** Forgets what is known about room, after capacity changed. */
  unblock (): void {
    for (const queue of this.#queues.values()) queue.blocked.clear()
  }

  /** Forgets empty queues of services that no server announces any more. */
  forgetUnused (isAnnounced: (service: string) => boolean): void {
    for (const [service, queue] of this.#queues) {
      if (queue.requests.size === 0 && !isAnnounced(service)) this.#queues.delete(service)
    }
  }
}
