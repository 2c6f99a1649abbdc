/** Outbox for orders to workers, with at most one message in flight per worker. Callers retry orders themselves. */
import { DeadlineQueue } from '@comfreygrade/core'
import type { ControlEffect, OrderResult, WorkerOrder } from './orders.js'
import type { ControlSettings } from './settings.js'
import type { WorkerSession } from './worker-sessions.js'

/** An order without the fields that are added when it is sent. */
export type TaskOrder = Omit<WorkerOrder, 'incarnation' | 'leaseMs'>

/** Outcome of one order. After `failed` it is unknown whether the order arrived. */
export interface OrderOutcome {
  readonly workerId: string
  readonly order: TaskOrder
  readonly result: OrderResult | 'failed'
}

interface OrderMessage {
  readonly messageId: string
  readonly workerId: string
  readonly orders: readonly TaskOrder[]
}

interface WorkerQueue {
  /** By task: a new order for a task replaces its unsent one. */
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
  /** By worker: time-out of the message in flight, or end of the back-off. */
  readonly #timers = new DeadlineQueue()
  #messageCount = 0

  constructor (term: number, settings: ControlSettings, findSession: (workerId: string) => WorkerSession | undefined) {
    this.#term = term
    this.#settings = settings
    this.#findSession = findSession
  }

  /** Queues an order, which replaces an unsent one for the same task. */
  add (workerId: string, order: TaskOrder): void {
    const queue = this.#queueFor(workerId)
    queue.unsent.set(orderKey(order), order)
    this.#readyWorkers.add(workerId)
  }

  /** Discards the unsent order of a task. A `stop` is kept: the worker may still hold the cell. */
  drop (workerId: string, leaseId: number, taskIndex: number): void {
    const unsent = this.#queues.get(workerId)?.unsent
    const key = orderKey({ leaseId, taskIndex })
    if (unsent?.get(key)?.kind !== 'stop') unsent?.delete(key)
  }

  /** Discards all orders for a worker that is gone; answers that arrive later are ignored. */
  dropWorker (workerId: string): void {
    const queue = this.#queues.get(workerId)
    if (queue?.inFlight !== undefined) this.#messages.delete(queue.inFlight.messageId)
    this.#queues.delete(workerId)
    this.#readyWorkers.delete(workerId)
    this.#timers.delete(workerId)
  }

  /**
   * Handles the answer to a message; one that arrives after the time-out has no outcomes. Refusals also cause an
   * exponential back-off: without it a refused order would be resent in a tight loop.
   */
  onAnswered (messageId: string, results: readonly OrderResult[], nowMs: number): OrderOutcome[] {
    const message = this.#finish(messageId)
    if (message === undefined) return []
    if (results.some(result => result === 'refused' || result === 'stale_term')) this.#backOff(message.workerId, nowMs)
    else this.#queueFor(message.workerId).failures = 0
    return message.orders.map((order, position) =>
      ({ workerId: message.workerId, order, result: results[position] ?? 'failed' }))
  }

  /** Handles a message without an answer; sending to the worker backs off exponentially. */
  onFailed (messageId: string, nowMs: number): OrderOutcome[] {
    const message = this.#finish(messageId)
    if (message === undefined) return []
    this.#backOff(message.workerId, nowMs)
    return message.orders.map(order => ({ workerId: message.workerId, order, result: 'failed' }))
  }

  /** Ends elapsed back-offs and times out messages; returns the outcomes of their orders. */
  tick (nowMs: number): OrderOutcome[] {
    const outcomes: OrderOutcome[] = []
    for (const workerId of this.#timers.takeDue(nowMs)) {
      const message = this.#queues.get(workerId)?.inFlight
      if (message === undefined) this.#readyWorkers.add(workerId)
      else outcomes.push(...this.onFailed(message.messageId, nowMs))
    }
    return outcomes
  }

  /** Returns the messages that can be sent now. */
  flush (nowMs: number): ControlEffect[] {
    const effects: ControlEffect[] = []
    for (const workerId of this.#readyWorkers) {
      const effect = this.#createSendEffect(workerId, nowMs)
      if (effect !== undefined) effects.push(effect)
    }
    this.#readyWorkers.clear()
    return effects
  }

  nextWakeAtMs (): number | undefined {
    return this.#timers.earliestDeadlineMs()
  }

  #createSendEffect (workerId: string, nowMs: number): ControlEffect | undefined {
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
    return { kind: 'send_orders', messageId: message.messageId, workerId, address, term: this.#term, orders }
  }

  #takeMessage (workerId: string, queue: WorkerQueue): OrderMessage {
    this.#messageCount += 1
    const orders = [...queue.unsent.values()].slice(0, this.#settings.maxOrdersPerMessage)
    for (const order of orders) queue.unsent.delete(orderKey(order))
    const message = { messageId: `${this.#term}-${this.#messageCount}`, workerId, orders }
    queue.inFlight = message
    this.#messages.set(message.messageId, message)
    return message
  }

  #finish (messageId: string): OrderMessage | undefined {
    const message = this.#messages.get(messageId)
    if (message === undefined) return undefined
    this.#messages.delete(messageId)
    this.#queueFor(message.workerId).inFlight = undefined
    this.#timers.delete(message.workerId)
    this.#readyWorkers.add(message.workerId)
    return message
  }

  #backOff (workerId: string, nowMs: number): void {
    const queue = this.#queueFor(workerId)
    const { orderRetryMs, maxOrderRetryMs } = this.#settings
    // The exponent is limited so that the power stays finite.
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
