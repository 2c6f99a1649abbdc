/** Tasks of one worker under leases: the worker's side of section 3.5 of the design page. No I/O, time is passed in. */
import type { TaskReport, TaskState } from '@comfreygrade/core'
import type { OrderBatch, OrderBatchAnswer, OrderResult, TaskLease, WorkerLeaseAnswer, WorkerOrder } from './orders.js'
import type { RunTimes } from './run-times.js'
import type { WorkerBehaviour } from './worker-behaviour.js'

/** What happened to one task on this worker. Times are monotonic milliseconds. */
export interface TaskRun extends TaskLease {
  readonly firstAccelerator: number
  readonly acceleratorCount: number
  readonly state: TaskState
  readonly preparedMs: number
  readonly startedMs: number | undefined
  readonly endedMs: number | undefined
  /** Whether the task was stopped because its lease could not be renewed. */
  readonly isLeaseLost: boolean
  readonly isThrottled: boolean
}

type HeldTask = { -readonly [Key in keyof TaskRun]: TaskRun[Key] } & {
  plannedEnd: { state: 'completed' | 'failed', atMs: number } | undefined
}

/** Ended tasks kept in the report; the oldest are dropped first, so that a leader that never asks costs no memory. */
const MAX_ENDED_TASKS = 1_000

/** How a throttled task's remaining run time grows. */
const THROTTLE_FACTOR = 2

/** Decides on orders, renewals and the passing of time. */
export class TaskTable {
  readonly #accelerators: number
  readonly #runTimes: RunTimes
  readonly #tasks = new Map<string, HeldTask>()
  readonly #history: HeldTask[] = []
  readonly #highestEndedLease = new Map<string, number>()
  readonly #incarnation: number
  #behaviour: WorkerBehaviour
  #highestTerm = 0
  /** One lease covers all tasks of the worker; only answers to heartbeats renew it. */
  #leaseEndsMs = -Infinity

  constructor (accelerators: number, runTimes: RunTimes, behaviour: WorkerBehaviour, incarnation: number) {
    this.#incarnation = incarnation
    this.#accelerators = accelerators
    this.#runTimes = runTimes
    this.#behaviour = behaviour
  }

  /** Every task that this worker ever held, in order of preparation. */
  get runs (): readonly TaskRun[] {
    return this.#history
  }

  /** Highest term seen in orders and heartbeat answers. */
  get highestTerm (): number {
    return this.#highestTerm
  }

  /** Replaces the behaviour for orders from now on. */
  behave (behaviour: WorkerBehaviour): void {
    this.#behaviour = behaviour
  }

  /** Carries out the orders of a batch; a term below the highest seen changes nothing. */
  handle (batch: OrderBatch, nowMs: number): OrderBatchAnswer {
    this.advance(nowMs)
    const isStale = batch.term < this.#highestTerm
    this.#highestTerm = Math.max(this.#highestTerm, batch.term)
    const results = batch.orders.map(order => isStale ? 'stale_term' : this.#handleOrder(order, nowMs))
    return { term: this.#highestTerm, results }
  }

  /** Tasks for the next report, ended ones included until the leader does not know them any more. */
  report (): TaskReport[] {
    return [...this.#tasks.values()].map(toReport)
  }

  /**
   * Takes a heartbeat answer.
   *
   * @param sentMs when the report that it answers was sent
   */
  renew (answer: WorkerLeaseAnswer, sentMs: number, nowMs: number): void {
    this.advance(nowMs)
    if (answer.term < this.#highestTerm) return
    this.#highestTerm = answer.term
    this.#leaseEndsMs = Math.max(this.#leaseEndsMs, sentMs + answer.leaseMs)
    for (const lease of answer.stopTasks) this.#forget(lease, nowMs)
  }

  /**
   * Ends tasks whose run time or lease has passed.
   *
   * @returns whether any task changed
   */
  advance (nowMs: number): boolean {
    let isChanged = false
    for (const task of this.#tasks.values()) isChanged = this.#advanceTask(task, nowMs) || isChanged
    if (isChanged) this.#trimEnded()
    return isChanged
  }

  /** When `advance` has something to do next; undefined while nothing is held. */
  nextDueMs (): number | undefined {
    const dueMs = [...this.#tasks.values()].filter(isHolding).map(task => this.#nextDueMsOf(task))
    return dueMs.length === 0 ? undefined : Math.min(...dueMs)
  }

  /** Stops everything that is held, as a worker does that leaves. */
  stopAll (nowMs: number): void {
    for (const task of this.#tasks.values()) this.#end(task, 'stopped', nowMs)
  }

  #handleOrder (order: WorkerOrder, nowMs: number): OrderResult {
    if (order.incarnation !== this.#incarnation) return 'refused'
    if (order.kind !== 'stop' && nowMs >= this.#leaseEndsMs) return 'refused'
    if (order.kind === 'prepare') return this.#prepare(order, nowMs)
    const task = this.#find(order)
    if (task === undefined) return this.#handleUnknown(order)
    switch (order.kind) {
      case 'start': return this.#start(task, nowMs)
      case 'throttle': return this.#throttle(task, nowMs)
      case 'checkpoint':
      case 'stop':
        this.#end(task, 'stopped', nowMs)
        return 'accepted'
    }
  }

  #prepare (order: WorkerOrder, nowMs: number): OrderResult {
    const held = this.#find(order)
    if (held !== undefined) return isHolding(held) ? 'accepted' : 'refused'
    if (order.leaseId <= (this.#highestEndedLease.get(taskKey(order)) ?? -1)) return 'refused'
    if (!this.#behaviour.acceptsPrepare(order) || !this.#isCellFree(order)) return 'refused'
    this.#hold(order, nowMs)
    return 'accepted'
  }

  #hold (order: WorkerOrder, nowMs: number): void {
    const task: HeldTask = {
      jobId: order.jobId,
      taskIndex: order.taskIndex,
      leaseId: order.leaseId,
      firstAccelerator: order.firstAccelerator,
      acceleratorCount: order.acceleratorCount,
      state: 'prepared',
      preparedMs: nowMs,
      startedMs: undefined,
      endedMs: undefined,
      isLeaseLost: false,
      isThrottled: false,
      plannedEnd: undefined
    }
    this.#tasks.set(leaseKey(order), task)
    this.#history.push(task)
  }

  #start (task: HeldTask, nowMs: number): OrderResult {
    if (task.startedMs !== undefined) return 'accepted'
    if (task.state !== 'prepared') return 'refused'
    const { state, afterMs } = this.#behaviour.plan(this.#runTimes.runMs(task.jobId))
    task.state = 'running'
    task.startedMs = nowMs
    task.plannedEnd = { state, atMs: nowMs + afterMs }
    return 'accepted'
  }

  #throttle (task: HeldTask, nowMs: number): OrderResult {
    if (task.state !== 'running' || task.plannedEnd === undefined) return 'refused'
    if (task.isThrottled) return 'accepted'
    const remainingMs = task.plannedEnd.atMs - nowMs
    task.isThrottled = true
    task.plannedEnd.atMs = nowMs + remainingMs * THROTTLE_FACTOR
    return 'accepted'
  }

  /** A stop that overtakes its prepare must win, so the lease is remembered as ended; nothing runs under it. */
  #handleUnknown (order: WorkerOrder): OrderResult {
    if (order.kind !== 'stop') return 'unknown_lease'
    this.#rememberEnded(order)
    return 'accepted'
  }

  #isCellFree (order: WorkerOrder): boolean {
    const endAccelerator = order.firstAccelerator + order.acceleratorCount
    if (order.firstAccelerator < 0 || endAccelerator > this.#accelerators) return false
    return ![...this.#tasks.values()].some(task => isHolding(task) &&
      task.firstAccelerator < endAccelerator && order.firstAccelerator < task.firstAccelerator + task.acceleratorCount)
  }

  #find (lease: TaskLease): HeldTask | undefined {
    return this.#tasks.get(leaseKey(lease))
  }

  #forget (lease: TaskLease, nowMs: number): void {
    const task = this.#find(lease)
    if (task === undefined) return
    this.#end(task, 'stopped', nowMs)
    this.#tasks.delete(leaseKey(lease))
  }

  #advanceTask (task: HeldTask, nowMs: number): boolean {
    if (!isHolding(task) || this.#nextDueMsOf(task) > nowMs) return false
    const planned = task.plannedEnd
    if (planned !== undefined && planned.atMs <= Math.min(nowMs, this.#leaseEndsMs)) {
      this.#end(task, planned.state, nowMs)
    } else {
      task.isLeaseLost = true
      this.#end(task, 'stopped', nowMs)
    }
    return true
  }

  #end (task: HeldTask, state: TaskState, nowMs: number): void {
    if (!isHolding(task)) return
    task.state = state
    task.endedMs = nowMs
    this.#rememberEnded(task)
  }

  #nextDueMsOf (task: HeldTask): number {
    return Math.min(this.#leaseEndsMs, task.plannedEnd?.atMs ?? Infinity)
  }

  #rememberEnded (lease: TaskLease): void {
    const key = taskKey(lease)
    this.#highestEndedLease.set(key, Math.max(lease.leaseId, this.#highestEndedLease.get(key) ?? -1))
  }

  #trimEnded (): void {
    const ended = [...this.#tasks.entries()].filter(([, task]) => !isHolding(task))
    for (const [key] of ended.slice(0, Math.max(0, ended.length - MAX_ENDED_TASKS))) this.#tasks.delete(key)
  }
}

function toReport ({ jobId, taskIndex, leaseId, state }: HeldTask): TaskReport {
  return { jobId, taskIndex, leaseId, state }
}

function isHolding (task: HeldTask): boolean {
  return task.state === 'prepared' || task.state === 'running'
}

function taskKey ({ jobId, taskIndex }: TaskLease): string {
  return `${jobId}/${taskIndex}`
}

function leaseKey (lease: TaskLease): string {
  return `${taskKey(lease)}/${lease.leaseId}`
}
