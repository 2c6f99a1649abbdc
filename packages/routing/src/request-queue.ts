/** Requests of one service that wait for a slot. */
import { BusyRate } from './busy-rate.js'
import { DeficitRoundRobin } from './deficit-round-robin.js'
import type { WorkClass } from './service-classes.js'
import type { RoutingSettings } from './settings.js'

/** What the queue has to know about a waiting request. */
export interface QueueItem {
  readonly organisationId: string
  readonly workClass: WorkClass
  readonly deadlineAtMs: number
  /** Expected service time. */
  readonly workMs: number
}

/** Requests of one organisation in order of deadline. */
class OrganisationQueue<Item extends QueueItem> {
  readonly weight: number
  readonly #items: Item[] = []
  #workMs = 0

  constructor (weight: number) {
    this.weight = weight
  }

  get size (): number {
    return this.#items.length
  }

  /** Work of all waiting requests. */
  get workMs (): number {
    return this.#workMs
  }

  get first (): Item | undefined {
    return this.#items[0]
  }

  get last (): Item | undefined {
    return this.#items.at(-1)
  }

  push (item: Item): void {
    this.#items.splice(this.#firstAfter(item.deadlineAtMs), 0, item)
    this.#workMs += item.workMs
  }

  remove (item: Item): boolean {
    const end = this.#firstAfter(item.deadlineAtMs)
    const index = this.#items.lastIndexOf(item, end)
    if (index < 0) return false
    this.#items.splice(index, 1)
    this.#workMs -= item.workMs
    return true
  }

  /** Work that is served before a new request of this deadline. */
  workBefore (deadlineAtMs: number): number {
    return this.size === 0 ? 0 : this.#workMs * this.#firstAfter(deadlineAtMs) / this.size
  }

  #firstAfter (deadlineAtMs: number): number {
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

/** Requests of one class, fair between organisations. */
class ClassQueue<Item extends QueueItem> {
  readonly #organisations = new Map<string, OrganisationQueue<Item>>()
  readonly #turns: DeficitRoundRobin
  readonly #rate: BusyRate
  size = 0

  constructor (settings: RoutingSettings) {
    this.#turns = new DeficitRoundRobin(settings.quantumMs)
    this.#rate = new BusyRate(settings.rateWindowMs)
  }

  push (item: Item, weight: number, nowMs: number): void {
    if (this.size++ === 0) this.#rate.becameBusy(nowMs)
    let queue = this.#organisations.get(item.organisationId)
    if (queue === undefined) {
      queue = new OrganisationQueue(weight)
      this.#organisations.set(item.organisationId, queue)
      this.#turns.add(item.organisationId, weight)
    }
    queue.push(item)
  }

  /** The request whose turn it is; it stays in the queue. */
  first (): Item | undefined {
    const organisationId = this.#turns.select(key => this.#organisations.get(key)?.first?.workMs)
    return organisationId === undefined ? undefined : this.#organisations.get(organisationId)?.first
  }

  /** Removes a request that goes to a server. */
  take (item: Item, nowMs: number): void {
    this.#turns.charge(item.organisationId, item.workMs)
    this.#rate.took(item.workMs, nowMs)
    this.remove(item)
  }

  remove (item: Item): void {
    const queue = this.#organisations.get(item.organisationId)
    if (queue === undefined || !queue.remove(item)) return
    this.size--
    if (queue.size > 0) return
    this.#organisations.delete(item.organisationId)
    this.#turns.remove(item.organisationId)
  }

  /** Expected wait of a new request, or undefined where nothing is known. */
  waitMs (organisationId: string, weight: number, deadlineAtMs: number): number | undefined {
    const rate = this.#rate.workMsPerMs
    if (this.size === 0 || rate === undefined) return undefined
    const ownMs = this.#organisations.get(organisationId)?.workBefore(deadlineAtMs) ?? 0
    return (ownMs + this.#workOfOthers(organisationId, ownMs / weight)) / Math.max(rate, Number.MIN_VALUE)
  }

  /** Work that other organisations are served meanwhile: their share by weight, but not more than they have waiting. */
  #workOfOthers (organisationId: string, workMsPerWeight: number): number {
    let sumMs = 0
    for (const [id, queue] of this.#organisations) {
      if (id !== organisationId) sumMs += Math.min(queue.workMs, workMsPerWeight * queue.weight)
    }
    return sumMs
  }

  /** Organisations with their share of the queue relative to their weight. */
  * shares (): Generator<{ share: number, last: Item }> {
    for (const queue of this.#organisations.values()) {
      if (queue.last !== undefined) yield { share: queue.size / queue.weight, last: queue.last }
    }
  }
}

/**
 * Queue of one service: by deadline within an organisation, fair by weight between organisations, and by least laxity
 * between short and long work. Long work has distant deadlines, so it gives way during a peak and runs afterwards.
 *
 * @example
 * queue.push(item, 1, nowMs)
 * const next = queue.first(new Set())
 * if (next !== undefined) queue.take(next, nowMs)
 */
export class RequestQueue<Item extends QueueItem> {
  readonly #classes: Readonly<Record<WorkClass, ClassQueue<Item>>>

  constructor (settings: RoutingSettings) {
    this.#classes = { short: new ClassQueue(settings), long: new ClassQueue(settings) }
  }

  /** Number of waiting requests. */
  get size (): number {
    return this.#classes.short.size + this.#classes.long.size
  }

  /** Number of waiting requests of a class. */
  sizeOf (workClass: WorkClass): number {
    return this.#classes[workClass].size
  }

  /** Adds a request of an organisation of `weight`. */
  push (item: Item, weight: number, nowMs: number): void {
    this.#classes[item.workClass].push(item, weight, nowMs)
  }

  /** The request whose turn it is, of a class that is not blocked; it stays in the queue. */
  first (blocked: ReadonlySet<WorkClass>): Item | undefined {
    const short = blocked.has('short') ? undefined : this.#classes.short.first()
    const long = blocked.has('long') ? undefined : this.#classes.long.first()
    if (short === undefined || long === undefined) return short ?? long
    return latestStartMs(long) < latestStartMs(short) ? long : short
  }

  /** Removes a request that goes to a server. */
  take (item: Item, nowMs: number): void {
    this.#classes[item.workClass].take(item, nowMs)
  }

  /** Removes a request that no longer waits. */
  remove (item: Item): void {
    this.#classes[item.workClass].remove(item)
  }

  /** Expected wait of a new request, or undefined where nothing is known. */
  waitMs (item: QueueItem, weight: number): number | undefined {
    return this.#classes[item.workClass].waitMs(item.organisationId, weight, item.deadlineAtMs)
  }

  /** The last request of the organisation that holds most of the queue relative to its weight. */
  lastOfLargestShare (): Item | undefined {
    let largest: { share: number, last: Item } | undefined
    for (const queue of [this.#classes.short, this.#classes.long]) {
      for (const each of queue.shares()) {
        if (largest === undefined || each.share > largest.share) largest = each
      }
    }
    return largest?.last
  }
}

/** Time at which a request has to start to end in time. */
function latestStartMs (item: QueueItem): number {
  return item.deadlineAtMs - item.workMs
}
