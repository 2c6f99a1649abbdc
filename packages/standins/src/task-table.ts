/** The tasks of one worker under its lease (docs/design.md, section 3.5). Does no I/O and reads no clock. */
import type { TaskReport, TaskState } from '@comfreygrade/core'
import type { OrderBatch, OrderBatchResponse, OrderResult, PlacedTask, WorkerLeaseResponse, WorkerOrder } from './orders.js'
import type { RunTimes } from './run-times.js'
import type { WorkerBehaviour } from './worker-behaviour.js'

/** History of one task on this worker. Times are in milliseconds on the monotonic clock. */
export interface TaskRun extends PlacedTask {
  readonly firstAccelerator: number
  readonly acceleratorCount: number
  readonly state: TaskState
  readonly preparedMs: number
  readonly startedMs: number | undefined
  readonly endedMs: number | undefined
  /** Whether the task was stopped because the lease expired without renewal. */
  readonly isLeaseExpired: boolean
  readonly isThrottled: boolean
}

type TaskEntry = { -readonly [Key in keyof TaskRun]: TaskRun[Key] } & {
  plannedEnd: { state: 'completed' | 'failed', atMs: number } | undefined
}

/** Bounds memory where no leader acknowledges ended tasks; the oldest are evicted first. */
const MAX_REPORTED_ENDED_TASKS = 1_000

/** Factor by which the remaining run time of a throttled task grows; the task is simulated at half its speed. */
const THROTTLED_RUN_TIME_FACTOR = 2

/** Applies orders and lease renewals to the tasks, and ends tasks as time passes. */
export class TaskTable {
  readonly #accelerators: number
  readonly #runTimes: RunTimes
  readonly #tasks = new Map<string, TaskEntry>()
  readonly #runs: TaskEntry[] = []
  readonly #highestEndedPlacementIds = new Map<string, number>()
  readonly #incarnation: number
  #behaviour: WorkerBehaviour
  #highestTerm = 0
  /**
   * One lease covers all tasks of the worker, unlike the `leaseId` of a task, which identifies a placement. Only
   * responses to heartbeats renew it.
   */
  #leaseExpiresMs = -Infinity

  constructor (accelerators: number, runTimes: RunTimes, behaviour: WorkerBehaviour, incarnation: number) {
    this.#incarnation = incarnation
    this.#accelerators = accelerators
    this.#runTimes = runTimes
    this.#behaviour = behaviour
  }

  /** Every task that this worker ever accepted, in order of preparation. */
  get runs (): readonly TaskRun[] {
    return this.#runs
  }

  /** Highest term seen in orders and heartbeat responses. */
  get highestTerm (): number {
    return this.#highestTerm
  }

  /** Sets the behaviour for orders from now on. */
  setBehaviour (behaviour: WorkerBehaviour): void {
    this.#behaviour = behaviour
  }

  /** Executes the orders of a batch; a batch with a term below the highest seen changes nothing. */
  handleOrders (batch: OrderBatch, nowMs: number): OrderBatchResponse {
    this.endDueTasks(nowMs)
    const isStale = batch.term < this.#highestTerm
    this.#highestTerm = Math.max(this.#highestTerm, batch.term)
    const results = batch.orders.map(order => isStale ? 'stale_term' : this.#handleOrder(order, nowMs))
    return { term: this.#highestTerm, results }
  }

  /** Reports all tasks; an ended task is included until the leader lists it in `stopTasks`. */
  createReports (): TaskReport[] {
    return [...this.#tasks.values()].map(toReport)
  }

  /**
   * Applies the response to a heartbeat; a response with a term below the highest seen changes nothing.
   *
   * @param sentMs when the heartbeat was sent
   */
  renewLease (response: WorkerLeaseResponse, sentMs: number, nowMs: number): void {
    this.endDueTasks(nowMs)
    if (response.term < this.#highestTerm) return
    this.#highestTerm = response.term
    this.#leaseExpiresMs = Math.max(this.#leaseExpiresMs, sentMs + response.leaseMs)
    for (const placedTask of response.stopTasks) this.#removeTask(placedTask, nowMs)
  }

  /**
   * Ends tasks whose run time is over or whose lease has expired.
   *
   * @returns whether any task ended
   */
  endDueTasks (nowMs: number): boolean {
    let hasEndedTask = false
    for (const task of this.#tasks.values()) hasEndedTask = this.#endTaskIfDue(task, nowMs) || hasEndedTask
    if (hasEndedTask) this.#evictEndedTasks()
    return hasEndedTask
  }

  /** Time at which `endDueTasks` next has a task to end; undefined while no task is active. */
  nextDueMs (): number | undefined {
    const dueMs = [...this.#tasks.values()].filter(holdsAccelerators).map(task => this.#taskDueMs(task))
    return dueMs.length === 0 ? undefined : Math.min(...dueMs)
  }

  /** Stops every active task, as a worker does when it shuts down. */
  stopAll (nowMs: number): void {
    for (const task of this.#tasks.values()) this.#endTask(task, 'stopped', nowMs)
  }

  #handleOrder (order: WorkerOrder, nowMs: number): OrderResult {
    if (order.incarnation !== this.#incarnation) return 'refused'
    if (order.kind !== 'stop' && nowMs >= this.#leaseExpiresMs) return 'refused'
    if (order.kind === 'prepare') return this.#prepare(order, nowMs)
    const task = this.#findTask(order)
    if (task === undefined) return this.#handleUnknownPlacement(order)
    switch (order.kind) {
      case 'start': return this.#start(task, nowMs)
      case 'throttle': return this.#throttle(task, nowMs)
      // A stand-in has no state to save, so a checkpoint only stops the task.
      case 'checkpoint':
      case 'stop':
        this.#endTask(task, 'stopped', nowMs)
        return 'accepted'
    }
  }

  #prepare (order: WorkerOrder, nowMs: number): OrderResult {
    const existing = this.#findTask(order)
    if (existing !== undefined) return holdsAccelerators(existing) ? 'accepted' : 'refused'
    if (order.leaseId <= (this.#highestEndedPlacementIds.get(taskKey(order)) ?? -1)) return 'refused'
    if (!this.#behaviour.acceptsPrepare(order) || !this.#areAcceleratorsFree(order)) return 'refused'
    this.#addTask(order, nowMs)
    return 'accepted'
  }

  #addTask (order: WorkerOrder, nowMs: number): void {
    const task: TaskEntry = {
      jobId: order.jobId,
      taskIndex: order.taskIndex,
      leaseId: order.leaseId,
      firstAccelerator: order.firstAccelerator,
      acceleratorCount: order.acceleratorCount,
      state: 'prepared',
      preparedMs: nowMs,
      startedMs: undefined,
      endedMs: undefined,
      isLeaseExpired: false,
      isThrottled: false,
      plannedEnd: undefined
    }
    this.#tasks.set(placementKey(order), task)
    this.#runs.push(task)
  }

  #start (task: TaskEntry, nowMs: number): OrderResult {
    if (task.startedMs !== undefined) return 'accepted'
    if (task.state !== 'prepared') return 'refused'
    const { state, afterMs } = this.#behaviour.planEnd(this.#runTimes.runMs(task.jobId))
    task.state = 'running'
    task.startedMs = nowMs
    task.plannedEnd = { state, atMs: nowMs + afterMs }
    return 'accepted'
  }

  #throttle (task: TaskEntry, nowMs: number): OrderResult {
    if (task.state !== 'running' || task.plannedEnd === undefined) return 'refused'
    if (task.isThrottled) return 'accepted'
    const remainingMs = task.plannedEnd.atMs - nowMs
    task.isThrottled = true
    task.plannedEnd.atMs = nowMs + remainingMs * THROTTLED_RUN_TIME_FACTOR
    return 'accepted'
  }

  /** Records the placement of a `stop` that arrives before its `prepare` as ended, so that the `prepare` is refused. */
  #handleUnknownPlacement (order: WorkerOrder): OrderResult {
    if (order.kind !== 'stop') return 'unknown_lease'
    this.#recordEndedPlacement(order)
    return 'accepted'
  }

  #areAcceleratorsFree (order: WorkerOrder): boolean {
    const endAccelerator = order.firstAccelerator + order.acceleratorCount
    if (order.firstAccelerator < 0 || endAccelerator > this.#accelerators) return false
    return ![...this.#tasks.values()].some(task => holdsAccelerators(task) &&
      task.firstAccelerator < endAccelerator && order.firstAccelerator < task.firstAccelerator + task.acceleratorCount)
  }

  #findTask (placedTask: PlacedTask): TaskEntry | undefined {
    return this.#tasks.get(placementKey(placedTask))
  }

  #removeTask (placedTask: PlacedTask, nowMs: number): void {
    const task = this.#findTask(placedTask)
    if (task === undefined) return
    this.#endTask(task, 'stopped', nowMs)
    this.#tasks.delete(placementKey(placedTask))
  }

  #endTaskIfDue (task: TaskEntry, nowMs: number): boolean {
    if (!holdsAccelerators(task) || this.#taskDueMs(task) > nowMs) return false
    const plannedEnd = task.plannedEnd
    if (plannedEnd !== undefined && plannedEnd.atMs <= Math.min(nowMs, this.#leaseExpiresMs)) {
      this.#endTask(task, plannedEnd.state, nowMs)
    } else {
      task.isLeaseExpired = true
      this.#endTask(task, 'stopped', nowMs)
    }
    return true
  }

  #endTask (task: TaskEntry, state: TaskState, nowMs: number): void {
    if (!holdsAccelerators(task)) return
    task.state = state
    task.endedMs = nowMs
    this.#recordEndedPlacement(task)
  }

  #taskDueMs (task: TaskEntry): number {
    return Math.min(this.#leaseExpiresMs, task.plannedEnd?.atMs ?? Infinity)
  }

  #recordEndedPlacement (placedTask: PlacedTask): void {
    const key = taskKey(placedTask)
    this.#highestEndedPlacementIds.set(key, Math.max(placedTask.leaseId, this.#highestEndedPlacementIds.get(key) ?? -1))
  }

  #evictEndedTasks (): void {
    const ended = [...this.#tasks.entries()].filter(([, task]) => !holdsAccelerators(task))
    for (const [key] of ended.slice(0, Math.max(0, ended.length - MAX_REPORTED_ENDED_TASKS))) this.#tasks.delete(key)
  }
}

function toReport ({ jobId, taskIndex, leaseId, state }: TaskEntry): TaskReport {
  return { jobId, taskIndex, leaseId, state }
}

function holdsAccelerators (task: TaskEntry): boolean {
  return task.state === 'prepared' || task.state === 'running'
}

function taskKey ({ jobId, taskIndex }: PlacedTask): string {
  return `${jobId}/${taskIndex}`
}

function placementKey (placedTask: PlacedTask): string {
  return `${taskKey(placedTask)}/${placedTask.leaseId}`
}
