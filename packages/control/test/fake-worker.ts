/** Simulated worker, which records independently of the leader what it ran and when. */
import type { TaskReport, TaskState, WorkerReport } from '@comfreygrade/core'
import type { ControlAnswer, OrderResult, WorkerOrder } from '../src/index.js'

/** One execution of a task on a worker; `endMs` is infinite while it runs. */
export interface Execution {
  readonly jobId: string
  readonly leaseId: number
  readonly taskIndex: number
  readonly workerId: string
  readonly firstAccelerator: number
  readonly acceleratorCount: number
  readonly startMs: number
  endMs: number
  isCompleted: boolean
}

/** An accepted `prepare` of a task. */
export interface Preparation {
  readonly jobId: string
  readonly leaseId: number
  readonly taskIndex: number
  readonly atMs: number
}

/** Ground truth of a simulation, written only by the workers. */
export class ExecutionRecord {
  readonly executions: Execution[] = []
  readonly preparations: Preparation[] = []
}

export type WorkerBehaviour = 'works' | 'refuses' | 'fails' | 'ignores_stop'
type Lease = Extract<ControlAnswer, { kind: 'worker_lease' }>

interface WorkerTask {
  readonly order: WorkerOrder
  state: TaskState
  execution: Execution | undefined
}

export class FakeWorker {
  readonly workerId: string
  behaviour: WorkerBehaviour = 'works'
  isCrashed = false
  isFrozen = false
  /** Messages from and to the worker are lost, while its tasks continue. */
  isPartitioned = false
  runMs = 400
  readonly #record: ExecutionRecord
  /** Rate of the worker clock relative to that of the leader; with a slow clock a lease lasts longer. */
  readonly #clockRate: number
  readonly #tasks = new Map<string, WorkerTask>()
  readonly #refusedPlacements = new Set<string>()
  #incarnation = 1
  #sequence = 0
  #highestTerm = 0
  #leaseEndMs = Number.NEGATIVE_INFINITY

  constructor (workerId: string, clockRate: number, record: ExecutionRecord) {
    this.workerId = workerId
    this.#clockRate = clockRate
    this.#record = record
  }

  get isProcessRunning (): boolean {
    return !this.isCrashed && !this.isFrozen
  }

  /** Advances time: tasks complete, and all are released when the lease expires. */
  advance (nowMs: number): void {
    if (!this.isProcessRunning) return
    for (const task of this.#tasks.values()) {
      const completionMs = (task.execution?.startMs ?? 0) + this.runMs
      if (task.state !== 'running' || completionMs > Math.min(nowMs, this.#leaseEndMs)) continue
      this.#endTask(task, 'completed', completionMs)
    }
    if (nowMs < this.#leaseEndMs) return
    for (const [key, task] of this.#tasks) {
      if (task.state !== 'running' && task.state !== 'prepared') continue
      this.#endTask(task, 'stopped', this.#leaseEndMs)
      this.#tasks.delete(key)
      this.#refusedPlacements.add(key)
    }
  }

  /** Ends the process and all of its tasks without notice. */
  crash (nowMs: number): void {
    this.advance(nowMs)
    this.isCrashed = true
    for (const task of this.#tasks.values()) this.#endTask(task, 'stopped', nowMs)
    this.#tasks.clear()
  }

  /** Starts a new process without any state of the previous one. */
  restart (nowMs: number): void {
    this.crash(nowMs)
    this.isCrashed = false
    this.isFrozen = false
    this.#incarnation += 1
    this.#sequence = 0
    this.#highestTerm = 0
    this.#leaseEndMs = Number.NEGATIVE_INFINITY
    this.#refusedPlacements.clear()
  }

  /** Pauses the process and its tasks; it keeps its state. */
  freeze (nowMs: number): void {
    this.advance(nowMs)
    this.isFrozen = true
    for (const { execution } of this.#tasks.values()) {
      if (execution !== undefined) execution.endMs = Math.min(execution.endMs, nowMs)
    }
  }

  /** Resumes the process. Tasks continue if the lease is still valid, and are released before they run otherwise. */
  resume (nowMs: number): void {
    if (!this.isFrozen) return
    this.isFrozen = false
    for (const task of this.#tasks.values()) {
      if (task.state === 'running' && nowMs < this.#leaseEndMs) this.#startExecution(task, nowMs)
    }
    this.advance(nowMs)
  }

  report (nowMs: number): WorkerReport {
    this.advance(nowMs)
    this.#sequence += 1
    const tasks: TaskReport[] = [...this.#tasks.values()].map(({ order, state }) =>
      ({ jobId: order.jobId, taskIndex: order.taskIndex, leaseId: order.leaseId, state }))
    const { workerId } = this
    return { workerId, incarnation: this.#incarnation, sequence: this.#sequence, address: `http://${workerId}`, tasks }
  }

  renew (lease: Lease, report: WorkerReport, sentMs: number, nowMs: number): void {
    this.advance(nowMs)
    if (!this.isProcessRunning || report.incarnation !== this.#incarnation || lease.term < this.#highestTerm) return
    this.#highestTerm = lease.term
    this.#leaseEndMs = Math.max(this.#leaseEndMs, sentMs + lease.leaseMs / this.#clockRate)
    for (const task of lease.stopTasks) this.#stopTask(`${task.leaseId}/${task.taskIndex}`, nowMs)
  }

  receive (term: number, orders: readonly WorkerOrder[], nowMs: number): OrderResult[] {
    this.advance(nowMs)
    if (term < this.#highestTerm) return orders.map(() => 'stale_term')
    this.#highestTerm = term
    return orders.map(order => this.#execute(order, nowMs))
  }

  #execute (order: WorkerOrder, nowMs: number): OrderResult {
    const key = `${order.leaseId}/${order.taskIndex}`
    if (order.incarnation !== this.#incarnation) return 'refused'
    if (order.kind === 'stop') return this.#stopTask(key, nowMs)
    if (nowMs >= this.#leaseEndMs) return 'refused'
    const task = this.#tasks.get(key)
    if (order.kind === 'prepare') return task === undefined ? this.#prepare(key, order, nowMs) : 'accepted'
    if (task === undefined) return 'unknown_lease'
    if (order.kind === 'start' && task.state === 'prepared') this.#startTask(task, nowMs)
    if (order.kind === 'checkpoint') this.#endTask(task, 'stopped', nowMs)
    return 'accepted'
  }

  /** Accepts overlapping cells, so that a double allocation shows in the execution record. */
  #prepare (key: string, order: WorkerOrder, nowMs: number): OrderResult {
    if (this.behaviour === 'refuses' || this.#refusedPlacements.has(key)) return 'refused'
    const { jobId, leaseId, taskIndex } = order
    this.#tasks.set(key, { order, state: 'prepared', execution: undefined })
    this.#record.preparations.push({ jobId, leaseId, taskIndex, atMs: nowMs })
    return 'accepted'
  }

  #startTask (task: WorkerTask, nowMs: number): void {
    task.state = 'running'
    this.#startExecution(task, nowMs)
    if (this.behaviour === 'fails') this.#endTask(task, 'failed', nowMs)
  }

  #startExecution (task: WorkerTask, nowMs: number): void {
    const { jobId, leaseId, taskIndex, firstAccelerator, acceleratorCount } = task.order
    const { workerId } = this
    const endMs = Number.POSITIVE_INFINITY
    task.execution = {
      jobId, leaseId, taskIndex, workerId, firstAccelerator, acceleratorCount, startMs: nowMs, endMs, isCompleted: false
    }
    this.#record.executions.push(task.execution)
  }

  #stopTask (key: string, nowMs: number): OrderResult {
    const task = this.#tasks.get(key)
    this.#refusedPlacements.add(key)
    if (task === undefined) return 'unknown_lease'
    if (this.behaviour === 'ignores_stop') return 'accepted'
    this.#endTask(task, 'stopped', nowMs)
    this.#tasks.delete(key)
    return 'accepted'
  }

  #endTask (task: WorkerTask, state: TaskState, nowMs: number): void {
    if (task.state !== 'running' && task.state !== 'prepared') return
    task.state = state
    if (task.execution === undefined) return
    task.execution.endMs = Math.min(task.execution.endMs, nowMs)
    task.execution.isCompleted = state === 'completed'
  }
}
