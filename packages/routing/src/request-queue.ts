/** Queue of the requests of one service that wait for capacity. */
import { ServiceRateEstimator } from './service-rate-estimator.js'
import { DeficitRoundRobin } from './deficit-round-robin.js'
import type { WorkClass } from './service-time-estimator.js'
import type { RoutingSettings } from './settings.js'

/** Properties of a request that determine its position in the queue. */
export interface QueueItem {
  readonly organisationId: string
  readonly workClass: WorkClass
  readonly deadlineAtMs: number
  readonly expectedServiceTimeMs: number
}

/** Requests of one organisation and work class, earliest deadline first. */
class OrganisationQueue<Item extends QueueItem> {
  readonly weight: number
  readonly #items: Item[] = []
  #totalServiceTimeMs = 0

  constructor (weight: number) {
    this.weight = weight
  }

  get size (): number {
    return this.#items.length
  }

  /** Expected service time of all requests in the queue. */
  get totalServiceTimeMs (): number {
    return this.#totalServiceTimeMs
  }

  get first (): Item | undefined {
    return this.#items[0]
  }

  get last (): Item | undefined {
    return this.#items.at(-1)
  }

  enqueue (item: Item): void {
    this.#items.splice(this.#insertionIndex(item.deadlineAtMs), 0, item)
    this.#totalServiceTimeMs += item.expectedServiceTimeMs
  }

  remove (item: Item): boolean {
    const end = this.#insertionIndex(item.deadlineAtMs)
    const index = this.#items.lastIndexOf(item, end)
    if (index < 0) return false
    this.#items.splice(index, 1)
    this.#totalServiceTimeMs -= item.expectedServiceTimeMs
    return true
  }

  /** Estimated service time of the requests that would be served before a new request with the given deadline. */
  serviceTimeAheadMs (deadlineAtMs: number): number {
    return this.size === 0 ? 0 : this.#totalServiceTimeMs * this.#insertionIndex(deadlineAtMs) / this.size
  }

  /** Position after all requests with the same or an earlier deadline, found by binary search. */
  #insertionIndex (deadlineAtMs: number): number {
    let low = 0
    let high = this.#items.length
    while (low < high) {
      const middle = (low + high) >> 1
      if (this.#items[middle]!.deadlineAtMs <= deadlineAtMs) low = middle + 1
      else high = middle
    }
    return low
  }
}

/** Requests of one work class, shared fairly between organisations. */
class WorkClassQueue<Item extends QueueItem> {
  readonly #queuesByOrganisation = new Map<string, OrganisationQueue<Item>>()
  readonly #scheduler: DeficitRoundRobin
  readonly #serviceRate: ServiceRateEstimator
  size = 0

  constructor (settings: RoutingSettings) {
    this.#scheduler = new DeficitRoundRobin(settings.quantumMs)
    this.#serviceRate = new ServiceRateEstimator(settings.rateWindowMs)
  }

  /**
   * Adds a request. A changed weight of its organisation takes effect once none of its requests is left in the queue.
   */
  enqueue (item: Item, weight: number, nowMs: number): void {
    if (this.size++ === 0) this.#serviceRate.startWindow(nowMs)
    let queue = this.#queuesByOrganisation.get(item.organisationId)
    if (queue === undefined) {
      queue = new OrganisationQueue(weight)
      this.#queuesByOrganisation.set(item.organisationId, queue)
      this.#scheduler.add(item.organisationId, weight)
    }
    queue.enqueue(item)
  }

  /** Returns the request to serve next without removing it. */
  peek (): Item | undefined {
    const organisationId =
      this.#scheduler.select(key => this.#queuesByOrganisation.get(key)?.first?.expectedServiceTimeMs)
    return organisationId === undefined ? undefined : this.#queuesByOrganisation.get(organisationId)?.first
  }

  /** Removes a request to send it to a server, and charges its cost to its organisation. */
  dequeue (item: Item, nowMs: number): void {
    this.#scheduler.charge(item.organisationId, item.expectedServiceTimeMs)
    this.#serviceRate.recordDequeue(item.expectedServiceTimeMs, nowMs)
    this.remove(item)
  }

  remove (item: Item): void {
    const queue = this.#queuesByOrganisation.get(item.organisationId)
    if (queue === undefined || !queue.remove(item)) return
    this.size--
    if (queue.size > 0) return
    this.#queuesByOrganisation.delete(item.organisationId)
    this.#scheduler.remove(item.organisationId)
  }

  /** Expected wait of a new request, or undefined if the queue is empty or its service rate is not known yet. */
  expectedWaitMs (organisationId: string, weight: number, deadlineAtMs: number): number | undefined {
    const rate = this.#serviceRate.serviceMsPerMs
    if (this.size === 0 || rate === undefined) return undefined
    // `Number.MIN_VALUE` avoids 0 / 0: the rate is 0 if all requests that left the queue took 0 ms.
    const ownMs = this.#queuesByOrganisation.get(organisationId)?.serviceTimeAheadMs(deadlineAtMs) ?? 0
    return (ownMs + this.#competingServiceTimeMs(organisationId, ownMs / weight)) / Math.max(rate, Number.MIN_VALUE)
  }

  /**
   * Service time that other organisations get while this one gets `serviceTimeMsPerWeight` times its weight: their
   * share by weight, but no more than they have in the queue.
   */
  #competingServiceTimeMs (organisationId: string, serviceTimeMsPerWeight: number): number {
    let sumMs = 0
    for (const [id, queue] of this.#queuesByOrganisation) {
      if (id !== organisationId) sumMs += Math.min(queue.totalServiceTimeMs, serviceTimeMsPerWeight * queue.weight)
    }
    return sumMs
  }

  /** Yields each organisation's queue size relative to its weight, with its request of the latest deadline. */
  * relativeQueueSizes (): Generator<{ relativeSize: number, last: Item }> {
    for (const queue of this.#queuesByOrganisation.values()) {
      if (queue.last !== undefined) yield { relativeSize: queue.size / queue.weight, last: queue.last }
    }
  }
}

/**
 * Queue of one service: earliest deadline first within an organisation, weighted fair between organisations, and least
 * laxity first between short and long work. Long requests have distant deadlines, so they wait during a load peak
 * and are served after it.
 *
 * @example
 * queue.enqueue(item, 1, nowMs)
 * const next = queue.peek(new Set())
 * if (next !== undefined) queue.dequeue(next, nowMs)
 */
export class RequestQueue<Item extends QueueItem> {
  readonly #queuesByWorkClass: Readonly<Record<WorkClass, WorkClassQueue<Item>>>

  constructor (settings: RoutingSettings) {
    this.#queuesByWorkClass = { short: new WorkClassQueue(settings), long: new WorkClassQueue(settings) }
  }

  /** Number of waiting requests. */
  get size (): number {
    return this.#queuesByWorkClass.short.size + this.#queuesByWorkClass.long.size
  }

  /** Number of waiting requests of a work class. */
  sizeOf (workClass: WorkClass): number {
    return this.#queuesByWorkClass[workClass].size
  }

  /**
   * Adds a request of an organisation with the given weight. While requests of the organisation and the same work class
   * are waiting, their weight applies.
   */
  enqueue (item: Item, weight: number, nowMs: number): void {
    this.#queuesByWorkClass[item.workClass].enqueue(item, weight, nowMs)
  }

  /** Returns the request to serve next, of a work class that is not blocked, without removing it. */
  peek (blockedWorkClasses: ReadonlySet<WorkClass>): Item | undefined {
    const short = blockedWorkClasses.has('short') ? undefined : this.#queuesByWorkClass.short.peek()
    const long = blockedWorkClasses.has('long') ? undefined : this.#queuesByWorkClass.long.peek()
    if (short === undefined || long === undefined) return short ?? long
    return latestStartAtMs(long) < latestStartAtMs(short) ? long : short
  }

  /** Removes a request to send it to a server. */
  dequeue (item: Item, nowMs: number): void {
    this.#queuesByWorkClass[item.workClass].dequeue(item, nowMs)
  }

  /** Removes a request that ended while it was queued. */
  remove (item: Item): void {
    this.#queuesByWorkClass[item.workClass].remove(item)
  }

  /**
   * Expected wait of a new request among those of its work class, or undefined if none of them waits or their service
   * rate is not known yet.
   */
  expectedWaitMs (item: QueueItem, weight: number): number | undefined {
    return this.#queuesByWorkClass[item.workClass].expectedWaitMs(item.organisationId, weight, item.deadlineAtMs)
  }

  /**
   * Returns the request with the latest deadline from the largest queue relative to its organisation's weight. The
   * short and the long requests of an organisation are separate queues.
   */
  lastOfLargestQueue (): Item | undefined {
    let largest: { relativeSize: number, last: Item } | undefined
    for (const queue of [this.#queuesByWorkClass.short, this.#queuesByWorkClass.long]) {
      for (const each of queue.relativeQueueSizes()) {
        if (largest === undefined || each.relativeSize > largest.relativeSize) largest = each
      }
    }
    return largest?.last
  }
}

/** Latest time at which a request can be sent and still meet its deadline. */
function latestStartAtMs (item: QueueItem): number {
  return item.deadlineAtMs - item.expectedServiceTimeMs
}
