/** Orders on their way to workers: one message at a time for each worker, resent by whoever placed the order. */
import { DeadlineQueue } from './deadline-queue.js'
import type { ControlEffect, OrderResult, WorkerOrder } from './orders.js'
import type { ControlSettings } from './settings.js'
import type { WorkerContact } from './worker-leases.js'

/** An order before it is addressed. */
export type TaskOrder = Omit<WorkerOrder, 'incarnation' | 'leaseMs'>

/** What became of one order; `failed` means that it may or may not have arrived. */
export interface OrderOutcome {
  readonly workerId: string
  readonly order: TaskOrder
  readonly result: OrderResult | 'failed'
}

interface Message {
  readonly orderId: string
  readonly workerId: string
  readonly orders: readonly TaskOrder[]
}

/** Orders for one worker. */
interface Lane {
  /** By task, so that a later order for a task replaces one that was not sent yet. */
  readonly queue: Map<string, TaskOrder>
  inFlight: Message | undefined
  failures: number
  retryAtMs: number
}

/** Batches orders by worker and keeps at most one message to each worker in flight. */
export class OrderOutbox {
  readonly #term: number
  readonly #settings: ControlSettings
  readonly #findContact: (workerId: string) => WorkerContact | undefined
  readonly #lanes = new Map<string, Lane>()
  readonly #messages = new Map<string, Message>()
  readonly #ready = new Set<string>()
  /** By worker: end of the wait for an answer, or of the pause before a retry. */
  readonly #wakes = new DeadlineQueue()
  #count = 0

  constructor (term: number, settings: ControlSettings, findContact: (workerId: string) => WorkerContact | undefined) {
    this.#term = term
    this.#settings = settings
    this.#findContact = findContact
  }

  /** Queues an order; it replaces an earlier one for the same task that was not sent yet. */
  add (workerId: string, order: TaskOrder): void {
    const lane = this.#lane(workerId)
    lane.queue.set(taskKey(order), order)
    this.#ready.add(workerId)
  }

  /** Drops what was not sent for a task, except a `stop`, which also ends a hold that nobody waits for. */
  drop (workerId: string, leaseId: number, taskIndex: number): void {
    const queue = this.#lanes.get(workerId)?.queue
    const key = taskKey({ leaseId, taskIndex })
    if (queue?.get(key)?.kind !== 'stop') queue?.delete(key)
  }

  /** Drops everything for a worker that is gone; answers that still arrive are ignored. */
  dropWorker (workerId: string): void {
    const lane = this.#lanes.get(workerId)
    if (lane?.inFlight !== undefined) this.#messages.delete(lane.inFlight.orderId)
    this.#lanes.delete(workerId)
    this.#ready.delete(workerId)
    this.#wakes.delete(workerId)
  }

  /**
   * Takes in the answer to a message; a late answer gives nothing. A worker that refuses is left alone for a growing
   * pause too, because its refusals arrive as fast as the orders are resent.
   */
  answered (orderId: string, results: readonly OrderResult[], nowMs: number): OrderOutcome[] {
    const message = this.#finish(orderId)
    if (message === undefined) return []
    if (results.some(result => result === 'refused' || result === 'stale_term')) this.#pause(message.workerId, nowMs)
    else this.#lane(message.workerId).failures = 0
    return message.orders.map((order, position) =>
      ({ workerId: message.workerId, order, result: results[position] ?? 'failed' }))
  }

  /** Takes in that a message was not answered; the worker is left alone for a growing pause. */
  failed (orderId: string, nowMs: number): OrderOutcome[] {
    const message = this.#finish(orderId)
    if (message === undefined) return []
    this.#pause(message.workerId, nowMs)
    return message.orders.map(order => ({ workerId: message.workerId, order, result: 'failed' }))
  }

  /** Ends waits and pauses; gives the orders of messages that were not answered in time. */
  tick (nowMs: number): OrderOutcome[] {
    const outcomes: OrderOutcome[] = []
    for (const workerId of this.#wakes.takeDue(nowMs)) {
      const message = this.#lanes.get(workerId)?.inFlight
      if (message === undefined) this.#ready.add(workerId)
      else outcomes.push(...this.failed(message.orderId, nowMs))
    }
    return outcomes
  }

  /** Gives the messages that can be sent now. */
  flush (nowMs: number): ControlEffect[] {
    const effects: ControlEffect[] = []
    for (const workerId of this.#ready) {
      const effect = this.#send(workerId, nowMs)
      if (effect !== undefined) effects.push(effect)
    }
    this.#ready.clear()
    return effects
  }

  nextAtMs (): number | undefined {
    return this.#wakes.nextAtMs()
  }

  #send (workerId: string, nowMs: number): ControlEffect | undefined {
    const lane = this.#lanes.get(workerId)
    const contact = this.#findContact(workerId)
    if (lane === undefined || contact === undefined) return undefined
    if (lane.inFlight !== undefined || lane.queue.size === 0) return undefined
    if (lane.retryAtMs > nowMs) {
      this.#wakes.set(workerId, lane.retryAtMs)
      return undefined
    }
    const message = this.#takeMessage(workerId, lane)
    this.#wakes.set(workerId, nowMs + this.#settings.orderTimeoutMs)
    const { incarnation, address } = contact
    const orders = message.orders.map(order => ({ ...order, incarnation, leaseMs: this.#settings.leaseMs }))
    return { kind: 'send_orders', orderId: message.orderId, workerId, address, term: this.#term, orders }
  }

  #takeMessage (workerId: string, lane: Lane): Message {
    this.#count += 1
    const orders = [...lane.queue.values()].slice(0, this.#settings.maxOrdersPerMessage)
    for (const order of orders) lane.queue.delete(taskKey(order))
    const message = { orderId: `${this.#term}-${this.#count}`, workerId, orders }
    lane.inFlight = message
    this.#messages.set(message.orderId, message)
    return message
  }

  #finish (orderId: string): Message | undefined {
    const message = this.#messages.get(orderId)
    if (message === undefined) return undefined
    this.#messages.delete(orderId)
    this.#lane(message.workerId).inFlight = undefined
    this.#wakes.delete(message.workerId)
    this.#ready.add(message.workerId)
    return message
  }

  #pause (workerId: string, nowMs: number): void {
    const lane = this.#lane(workerId)
    const { orderRetryMs, maxOrderRetryMs } = this.#settings
    lane.retryAtMs = nowMs + Math.min(maxOrderRetryMs, orderRetryMs * 2 ** Math.min(lane.failures, 16))
    lane.failures += 1
  }

  #lane (workerId: string): Lane {
    let lane = this.#lanes.get(workerId)
    if (lane === undefined) {
      lane = { queue: new Map(), inFlight: undefined, failures: 0, retryAtMs: 0 }
      this.#lanes.set(workerId, lane)
    }
    return lane
  }
}

function taskKey ({ leaseId, taskIndex }: Pick<TaskOrder, 'leaseId' | 'taskIndex'>): string {
  return `${leaseId}/${taskIndex}`
}
