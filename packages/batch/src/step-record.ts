/** Replicated progress of one step of an occurrence. */
import type { WorkerIncarnation } from './commands.js'
import { IndexSet } from './index-set.js'

/** A run that may still be on its worker. */
export interface ActiveRun extends WorkerIncarnation {
  readonly run: number
}

/** One task of an occurrence. */
export interface TaskRecord {
  /** Number of the latest run; 0 before the first one. */
  readonly lastRun: number
  readonly failures: number
  readonly isDone: boolean
  readonly checkpoint: string
  /** Workers on which the task failed, newest last. */
  readonly failedOn: readonly string[]
  readonly active: readonly ActiveRun[]
}

/** A step in serialisable form. */
export interface StepSnapshot {
  /** Done tasks, as pairs of a first index and the index after the last one. */
  readonly done: readonly number[]
  readonly lastFailedRun: number
  /** Index and latest run of tasks without a record that ran more than once. */
  readonly reruns: ReadonlyArray<readonly [index: number, lastRun: number]>
  readonly tasks: ReadonlyArray<readonly [index: number, task: TaskRecord]>
}

const UNSTARTED_TASK: TaskRecord = {
  lastRun: 0, failures: 0, isDone: false, checkpoint: '', failedOn: [], active: []
}

/** The order of the maps depends on whether the state was restored, that of a snapshot does not. */
function byIndex ([left]: readonly [number, unknown], [right]: readonly [number, unknown]): number {
  return left - right
}

/** Number of most recent failed workers kept per task, so that its next run avoids them. */
const MAX_FAILED_WORKERS_PER_TASK = 4

/**
 * Tasks of a step. Only a task that has started and is not settled has a record: a task without a run has none, and a
 * settled one is an index in a set, with the number of its latest run where that is not the first. A task is settled
 * once it is done and no run of it is active, or once its job has ended.
 *
 * @example
 * const step = new StepRecord(2)
 * step.addRun(0, { run: 1, workerId: 'w1', incarnation: 1_000 })
 * step.waitingIndexes(10) // [1]
 */
export class StepRecord {
  readonly taskCount: number
  /** Latest failed run of a gang, so that failures of several members in one run count once. */
  lastFailedRun = 0
  readonly #done: IndexSet
  readonly #records: Map<number, TaskRecord>
  readonly #reruns: Map<number, number>
  #isJobEnded = false

  constructor (taskCount: number, snapshot?: StepSnapshot) {
    this.taskCount = taskCount
    this.lastFailedRun = snapshot?.lastFailedRun ?? 0
    this.#done = new IndexSet(snapshot?.done)
    this.#records = new Map(snapshot?.tasks)
    this.#reruns = new Map(snapshot?.reruns)
  }

  /** A step of which all tasks are done. */
  static done (taskCount: number): StepRecord {
    const done = taskCount === 0 ? [] : [0, taskCount]
    return new StepRecord(taskCount, { done, lastFailedRun: 0, reruns: [], tasks: [] })
  }

  get isDone (): boolean {
    return this.#done.size >= this.taskCount
  }

  /** Number of tasks with a record. */
  get recordCount (): number {
    return this.#records.size
  }

  /** Whether it differs from a step of which all tasks were done in their first run and are settled. */
  get hasDetails (): boolean {
    return this.#records.size > 0 || this.#reruns.size > 0
  }

  /** Whether any task has an active run. */
  get hasActiveRuns (): boolean {
    for (const { active } of this.#records.values()) if (active.length > 0) return true
    return false
  }

  /** Whether a task has started and is not settled. */
  hasRecord (index: number): boolean {
    return this.#records.has(index)
  }

  /** A task; undefined where the step has no such task. */
  task (index: number): TaskRecord | undefined {
    if (index >= this.taskCount) return undefined
    const record = this.#records.get(index)
    if (record !== undefined) return record
    const lastRun = this.#reruns.get(index)
    if (this.#done.has(index)) return { ...UNSTARTED_TASK, isDone: true, lastRun: lastRun ?? 1 }
    return lastRun === undefined ? UNSTARTED_TASK : { ...UNSTARTED_TASK, lastRun }
  }

  /** Tasks that have started and are not settled, by index. */
  startedTasks (): Iterable<[number, TaskRecord]> {
    return this.#records.entries()
  }

  /** The active members of a run of a gang, by index. */
  activeMembers (run: number): Array<{ readonly index: number, readonly active: ActiveRun }> {
    return [...this.#records].flatMap(([index, { active }]) =>
      active.filter(member => member.run === run).map(member => ({ index, active: member })))
  }

  /** Whether every task has an active run with this number. */
  isGangActive (run: number): boolean {
    if (this.#records.size < this.taskCount) return false
    for (const { active } of this.#records.values()) if (!active.some(member => member.run === run)) return false
    return true
  }

  /** The highest number of a run of any task. */
  get highestRun (): number {
    let highest = this.#done.size > 0 ? 1 : 0
    for (const { lastRun } of this.#records.values()) highest = Math.max(highest, lastRun)
    for (const lastRun of this.#reruns.values()) highest = Math.max(highest, lastRun)
    return highest
  }

  /** Number of tasks that are not done and have no active run. */
  get waitingCount (): number {
    let count = this.taskCount - this.#done.size
    for (const task of this.#records.values()) if (!task.isDone && task.active.length > 0) count--
    return count
  }

  /** The first tasks that are not done and have no active run: at most `limit`, and `maxNew` without a record. */
  waitingIndexes (limit: number, maxNew = Infinity): number[] {
    const indexes: number[] = []
    let newCount = 0
    let index = this.#done.firstMissing(0)
    while (index < this.taskCount && indexes.length < limit) {
      const record = this.#records.get(index)
      const isWaiting = record === undefined ? ++newCount <= maxNew : record.active.length === 0
      if (isWaiting) indexes.push(index)
      index = this.#done.firstMissing(index + 1)
    }
    return indexes
  }

  /** Records an assigned run; returns the task's record, or undefined where the run must not take effect. */
  addRun (index: number, run: ActiveRun): TaskRecord | undefined {
    const task = this.task(index)
    if (task === undefined || task.isDone || run.run <= task.lastRun) return undefined
    return this.#update(index, { lastRun: run.run, active: [...task.active, run] })
  }

  removeRun (index: number, { run, workerId, incarnation }: ActiveRun): void {
    const record = this.#records.get(index)
    if (record === undefined) return
    const active = record.active.filter(other =>
      other.run !== run || other.workerId !== workerId || other.incarnation !== incarnation)
    this.#update(index, { active })
    this.#settle(index)
  }

  complete (index: number): void {
    this.#done.add(index)
    if (!this.#records.has(index)) return
    this.#update(index, { isDone: true })
    this.#settle(index)
  }

  completeAll (): void {
    this.#done.addAllBelow(this.taskCount)
    for (const index of [...this.#records.keys()]) this.complete(index)
  }

  /** Records that a task failed; its attempts are counted by `addFailure`. */
  addFailedWorker (index: number, workerId: string): void {
    const failedOn = [...this.task(index)?.failedOn ?? [], workerId].slice(-MAX_FAILED_WORKERS_PER_TASK)
    this.#updateOpen(index, { failedOn })
  }

  addFailure (index: number): void {
    this.#updateOpen(index, { failures: (this.task(index)?.failures ?? 0) + 1 })
  }

  saveCheckpoint (index: number, checkpoint: string): void {
    this.#updateOpen(index, { checkpoint })
  }

  /** Settles the tasks without an active run, and from now on the others when their runs end. */
  endJob (): void {
    this.#isJobEnded = true
    for (const index of [...this.#records.keys()]) this.#settle(index)
  }

  toSnapshot (): StepSnapshot {
    return {
      done: this.#done.toRanges(),
      lastFailedRun: this.lastFailedRun,
      reruns: [...this.#reruns].sort(byIndex),
      tasks: [...this.#records].sort(byIndex)
    }
  }

  /** A settled task needs neither attempts nor a checkpoint. */
  #updateOpen (index: number, fields: Partial<TaskRecord>): void {
    const isSettled = !this.#records.has(index) && (this.#isJobEnded || this.#done.has(index))
    if (!isSettled) this.#update(index, fields)
  }

  #update (index: number, fields: Partial<TaskRecord>): TaskRecord {
    const record = { ...this.task(index) ?? UNSTARTED_TASK, ...fields }
    this.#records.set(index, record)
    this.#reruns.delete(index)
    return record
  }

  #settle (index: number): void {
    const record = this.#records.get(index)
    if (record === undefined || record.active.length > 0 || !(record.isDone || this.#isJobEnded)) return
    this.#records.delete(index)
    if (record.lastRun > 1) this.#reruns.set(index, record.lastRun)
  }
}
