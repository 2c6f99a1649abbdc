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
  waitMs (organisationId: string, weight: number, deadlineAtMs: number, nowMs: number): number | undefined {
    const rate = this.#rate.at(nowMs)
    if (this.size === 0 || rate === undefined) return undefined
    const queue = this.#organisations.get(organisationId)
    const otherWeight = this.#turns.totalWeight - (queue?.weight ?? 0)
    const share = weight / (otherWeight + weight)
    return (queue?.workBefore(deadlineAtMs) ?? 0) / Math.max(rate * share, Number.MIN_VALUE)
  }

  /** Organisations with their share of the queue relative to their weight. */
  * shares (): Generator<{ share: number, last: Item }> {
    for (const queue of this.#organisations.values()) {
      if (queue.last !== undefined) yield { share: queue.size / queue.weight, last: queue.last }
    }
  }
}

/**
 * Queue of one service: by deadline within an organisation, fair by weight between organisations, and fair between
 * short and long work, which also cost different amounts of service time.
 *
 * @example
 * queue.push(item, 1, nowMs)
 * const next = queue.first(new Set())
 * if (next !== undefined) queue.take(next, nowMs)
 */
export class RequestQueue<Item extends QueueItem> {
  readonly #classes: Readonly<Record<WorkClass, ClassQueue<Item>>>
  readonly #turns: DeficitRoundRobin

  constructor (settings: RoutingSettings) {
    this.#classes = { short: new ClassQueue(settings), long: new ClassQueue(settings) }
    this.#turns = new DeficitRoundRobin(settings.quantumMs)
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
    const queue = this.#classes[item.workClass]
    if (queue.size === 0) this.#turns.add(item.workClass, 1)
    queue.push(item, weight, nowMs)
  }

  /** The request whose turn it is, of a class that is not blocked; it stays in the queue. */
  first (blocked: ReadonlySet<WorkClass>): Item | undefined {
    const firsts = new Map<string, Item>()
    for (const workClass of ['short', 'long'] as const) {
      const first = blocked.has(workClass) ? undefined : this.#classes[workClass].first()
      if (first !== undefined) firsts.set(workClass, first)
    }
    const workClass = this.#turns.select(key => firsts.get(key)?.workMs)
    return workClass === undefined ? undefined : firsts.get(workClass)
  }

  /** Removes a request that goes to a server. */
  take (item: Item, nowMs: number): void {
    this.#turns.charge(item.workClass, item.workMs)
    this.#classes[item.workClass].take(item, nowMs)
    this.#endTurns(item.workClass)
  }

  /** Removes a request that no longer waits. */
  remove (item: Item): void {
    this.#classes[item.workClass].remove(item)
    this.#endTurns(item.workClass)
  }

  /** Expected wait of a new request, or undefined where nothing is known. */
  waitMs (item: QueueItem, weight: number, nowMs: number): number | undefined {
    return this.#classes[item.workClass].waitMs(item.organisationId, weight, item.deadlineAtMs, nowMs)
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

  #endTurns (workClass: WorkClass): void {
    if (this.#classes[workClass].size === 0) this.#turns.remove(workClass)
  }
}
