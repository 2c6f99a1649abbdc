/** Orders on their way to workers: one message at a time for each worker, resent by whoever placed the order. */
import { DeadlineQueue } from './deadline-queue.js'
import type { ControlEffect, OrderResult, WorkerOrder } from './orders.js'
import type { ControlSettings } from './settings.js'
import type { WorkerSession } from './worker-leases.js'

/** An order before it is addressed. */
export type TaskOrder = Omit<WorkerOrder, 'incarnation' | 'leaseMs'>

/** What became of one order; `failed` means that it may or may not have arrived. */
export interface OrderOutcome {
  readonly workerId: string
  readonly order: TaskOrder
  readonly result: OrderResult | 'failed'
}

interface OrderMessage {
  readonly orderId: string
  readonly workerId: string
  readonly orders: readonly TaskOrder[]
}

/** Orders for one worker. */
interface WorkerQueue {
  /** By task, so that a later order for a task replaces one that was not sent yet. */
  readonly unsent: Map<string, TaskOrder>
  inFlight: OrderMessage | undefined
  failures: number
  retryAtMs: number
}

/** Batches orders by worker and keeps at most one message to each worker in flight. */
export class OrderOutbox {
  readonly #term: number
  readonly #settings: ControlSettings
  readonly #findSession: (workerId: string) => WorkerSession | undefined
  readonly #queues = new Map<string, WorkerQueue>()
  readonly #messages = new Map<string, OrderMessage>()
  readonly #readyWorkers = new Set<string>()
  /** By worker: end of the wait for an answer, or of the pause before a retry. */
  readonly #timers = new DeadlineQueue()
  #messageCount = 0

  constructor (term: number, settings: ControlSettings, findSession: (workerId: string) => WorkerSession | undefined) {
    this.#term = term
    this.#settings = settings
    this.#findSession = findSession
  }

  /** Queues an order; it replaces an earlier one for the same task that was not sent yet. */
  add (workerId: string, order: TaskOrder): void {
    const queue = this.#queueFor(workerId)
    queue.unsent.set(orderKey(order), order)
    this.#readyWorkers.add(workerId)
  }

  /** Drops what was not sent for a task, except a `stop`, which also ends a hold that nobody waits for. */
  drop (workerId: string, leaseId: number, taskIndex: number): void {
    const unsent = this.#queues.get(workerId)?.unsent
    const key = orderKey({ leaseId, taskIndex })
    if (unsent?.get(key)?.kind !== 'stop') unsent?.delete(key)
  }

  /** Drops everything for a worker that is gone; answers that still arrive are ignored. */
  dropWorker (workerId: string): void {
    const queue = this.#queues.get(workerId)
    if (queue?.inFlight !== undefined) this.#messages.delete(queue.inFlight.orderId)
    this.#queues.delete(workerId)
    this.#readyWorkers.delete(workerId)
    this.#timers.delete(workerId)
  }

  /**
   * Takes in the answer to a message; a late answer gives nothing. A worker that refuses is left alone for a growing
   * pause too, because its refusals arrive as fast as the orders are resent.
   */
  onAnswered (orderId: string, results: readonly OrderResult[], nowMs: number): OrderOutcome[] {
    const message = this.#finish(orderId)
    if (message === undefined) return []
    if (results.some(result => result === 'refused' || result === 'stale_term')) this.#backOff(message.workerId, nowMs)
    else this.#queueFor(message.workerId).failures = 0
    return message.orders.map((order, position) =>
      ({ workerId: message.workerId, order, result: results[position] ?? 'failed' }))
  }

  /** Takes in that a message was not answered; the worker is left alone for a growing pause. */
  onFailed (orderId: string, nowMs: number): OrderOutcome[] {
    const message = this.#finish(orderId)
    if (message === undefined) return []
    this.#backOff(message.workerId, nowMs)
    return message.orders.map(order => ({ workerId: message.workerId, order, result: 'failed' }))
  }

  /** Ends waits and pauses; gives the orders of messages that were not answered in time. */
  tick (nowMs: number): OrderOutcome[] {
    const outcomes: OrderOutcome[] = []
    for (const workerId of this.#timers.takeDue(nowMs)) {
      const message = this.#queues.get(workerId)?.inFlight
      if (message === undefined) this.#readyWorkers.add(workerId)
      else outcomes.push(...this.onFailed(message.orderId, nowMs))
    }
    return outcomes
  }

  /** Gives the messages that can be sent now. */
  flush (nowMs: number): ControlEffect[] {
    const effects: ControlEffect[] = []
    for (const workerId of this.#readyWorkers) {
      const effect = this.#send(workerId, nowMs)
      if (effect !== undefined) effects.push(effect)
    }
    this.#readyWorkers.clear()
    return effects
  }

  nextWakeAtMs (): number | undefined {
    return this.#timers.nextWakeAtMs()
  }

  #send (workerId: string, nowMs: number): ControlEffect | undefined {
    const queue = this.#queues.get(workerId)
    const session = this.#findSession(workerId)
    if (queue === undefined || session === undefined) return undefined
    if (queue.inFlight !== undefined || queue.unsent.size === 0) return undefined
    if (queue.retryAtMs > nowMs) {
      this.#timers.set(workerId, queue.retryAtMs)
      return undefined
    }
    const message = this.#takeMessage(workerId, queue)
    this.#timers.set(workerId, nowMs + this.#settings.orderTimeoutMs)
    const { incarnation, address } = session
    const orders = message.orders.map(order => ({ ...order, incarnation, leaseMs: this.#settings.leaseMs }))
    return { kind: 'send_orders', orderId: message.orderId, workerId, address, term: this.#term, orders }
  }

  #takeMessage (workerId: string, queue: WorkerQueue): OrderMessage {
    this.#messageCount += 1
    const orders = [...queue.unsent.values()].slice(0, this.#settings.maxOrdersPerMessage)
    for (const order of orders) queue.unsent.delete(orderKey(order))
    const message = { orderId: `${this.#term}-${this.#messageCount}`, workerId, orders }
    queue.inFlight = message
    this.#messages.set(message.orderId, message)
    return message
  }

  #finish (orderId: string): OrderMessage | undefined {
    const message = this.#messages.get(orderId)
    if (message === undefined) return undefined
    this.#messages.delete(orderId)
    this.#queueFor(message.workerId).inFlight = undefined
    this.#timers.delete(message.workerId)
    this.#readyWorkers.add(message.workerId)
    return message
  }

  #backOff (workerId: string, nowMs: number): void {
    const queue = this.#queueFor(workerId)
    const { orderRetryMs, maxOrderRetryMs } = this.#settings
    queue.retryAtMs = nowMs + Math.min(maxOrderRetryMs, orderRetryMs * 2 ** Math.min(queue.failures, 16))
    queue.failures += 1
  }

  #queueFor (workerId: string): WorkerQueue {
    let queue = this.#queues.get(workerId)
    if (queue === undefined) {
      queue = { unsent: new Map(), inFlight: undefined, failures: 0, retryAtMs: 0 }
      this.#queues.set(workerId, queue)
    }
    return queue
  }
}

function orderKey ({ leaseId, taskIndex }: Pick<TaskOrder, 'leaseId' | 'taskIndex'>): string {
  return `${leaseId}/${taskIndex}`
}
