/** What workers observe of runs, checked against the promises that every task keeps. */
import type { RunEnd } from '@comfreygrade/batch'

type ObservedEnd = Pick<RunEnd, 'taskKey' | 'run' | 'reason'>

/** Why a completion counts that may not be acknowledged. */
type CompletionHolder = 'keeps its lease' | 'has left'

/** Runs of a task as its workers observe them; starts and ends are numbered together in the order of their events. */
class TaskHistory {
  #eventCount = 0
  #lastStartNumber = 0
  runningWorkerId: string | undefined
  /** Numbers of ends that are not acknowledged, by {@link endKey}. */
  readonly #endNumbers = new Map<string, number>()
  /** Numbers of the failures that were acknowledged. */
  readonly #failureNumbers: number[] = []
  /** Number of the first completion that was acknowledged. */
  #completionNumber = Infinity
  /** Completions that still count though they may not be acknowledged, by {@link endKey}. */
  readonly #standingCompletions = new Map<string, CompletionHolder>()

  get hasStarted (): boolean {
    return this.#lastStartNumber > 0
  }

  recordStart (): void {
    this.#lastStartNumber = ++this.#eventCount
  }

  recordEnd (key: string, reason: RunEnd['reason']): void {
    this.#endNumbers.set(key, ++this.#eventCount)
    if (reason === 'done') this.#standingCompletions.set(key, 'keeps its lease')
  }

  voidEnd (key: string): void {
    this.#endNumbers.delete(key)
    this.#standingCompletions.delete(key)
  }

  /** An end whose worker is gone may still be acknowledged, but does not rule out another run until then. */
  forgetEnd (key: string): void {
    this.#standingCompletions.delete(key)
  }

  /** The worker of an end has left after others learnt of the end. */
  leaveEnd (key: string): void {
    if (this.#standingCompletions.has(key)) this.#standingCompletions.set(key, 'has left')
  }

  /** A completion that still counts, with what its worker does; undefined where there is none. */
  get standingCompletion (): string | undefined {
    const [standing] = this.#standingCompletions
    return standing === undefined ? undefined : `${standing[0]} is done and its worker ${standing[1]}`
  }

  /** Returns whether the end counts; not where it is void or was acknowledged before. */
  acknowledgeEnd (key: string, reason: RunEnd['reason']): boolean {
    const number = this.#endNumbers.get(key)
    this.#endNumbers.delete(key)
    if (number === undefined) return false
    if (reason === 'done') this.#completionNumber = Math.min(this.#completionNumber, number)
    if (reason === 'failed') this.#failureNumbers.push(number)
    return true
  }

  get hasStartedAfterCompletion (): boolean {
    return this.#lastStartNumber > this.#completionNumber
  }

  hasStartedAfterFailures (maxAttempts: number): boolean {
    const lastAttempt = this.#failureNumbers.toSorted((a, b) => a - b)[maxAttempts - 1]
    return lastAttempt !== undefined && this.#lastStartNumber > lastAttempt
  }
}

/**
 * Collects violations: a task that runs twice at once, or that starts after its completion or after as many failures as
 * it has attempts, whether these ends are acknowledged before that start or after it. A task must not start either
 * while the worker of an earlier run that has ended as done is alive and has kept its lease since, acknowledged or not.
 */
export class RunHistory {
  readonly #maxAttempts: number
  readonly violations: string[] = []
  readonly #tasks = new Map<string, TaskHistory>()

  constructor (maxAttempts = Infinity) {
    this.#maxAttempts = maxAttempts
  }

  /** Records the start, which is a violation if the task is running, is completed or has no attempt left. */
  recordRunStarted (taskKey: string, workerId: string): void {
    const task = this.#task(taskKey)
    if (task.runningWorkerId !== undefined) {
      this.violations.push(`${taskKey} starts on ${workerId} while it is running on ${task.runningWorkerId}`)
    }
    task.runningWorkerId = workerId
    task.recordStart()
    if (task.hasStartedAfterCompletion) this.violations.push(`${taskKey} starts on ${workerId} after its completion was acknowledged`)
    else if (task.standingCompletion !== undefined) {
      this.violations.push(`${taskKey} starts on ${workerId} though ${task.standingCompletion}`)
    }
    if (task.hasStartedAfterFailures(this.#maxAttempts)) {
      this.violations.push(`${taskKey} starts on ${workerId} after its last attempt has failed`)
    }
  }

  /** Keys of the tasks that have started at least once. */
  get startedTasks (): ReadonlySet<string> {
    return new Set([...this.#tasks].filter(([, task]) => task.hasStarted).map(([taskKey]) => taskKey))
  }

  /** Records the end of a run, which its worker reports until it is acknowledged. */
  recordRunEnded (end: ObservedEnd, workerId: string): void {
    this.recordNotRunning(end.taskKey, workerId)
    this.#task(end.taskKey).recordEnd(endKey(end, workerId), end.reason)
  }

  /** Records that the worker of an end has left after it listed the end, which counts on. */
  recordEndLeftBehind (end: ObservedEnd, workerId: string): void {
    this.#task(end.taskKey).leaveEnd(endKey(end, workerId))
  }

  /** Records that the worker of an end that was not acknowledged to it is gone. */
  recordEndForgotten (end: ObservedEnd, workerId: string): void {
    this.#task(end.taskKey).forgetEnd(endKey(end, workerId))
  }

  /** Records that the task no longer runs on the worker, which has crashed. */
  recordNotRunning (taskKey: string, workerId: string): void {
    const task = this.#task(taskKey)
    if (task.runningWorkerId === workerId) task.runningWorkerId = undefined
  }

  /** Records that the lease lapsed before the end was acknowledged, even if nothing was running at that time. */
  recordEndVoided (end: ObservedEnd, workerId: string): void {
    this.#task(end.taskKey).voidEnd(endKey(end, workerId))
  }

  /** Records that an end was acknowledged; a violation if it rules out another run, and the task has started since. */
  recordEndAcknowledged (end: ObservedEnd, workerId: string): void {
    const { taskKey, reason } = end
    const task = this.#task(taskKey)
    if (!task.acknowledgeEnd(endKey(end, workerId), reason)) return
    if (reason === 'done' && task.hasStartedAfterCompletion) {
      this.violations.push(`completion of ${taskKey} is acknowledged to ${workerId} after the task has started again`)
    }
    if (reason === 'failed' && task.hasStartedAfterFailures(this.#maxAttempts)) {
      this.violations.push(`last failure of ${taskKey} is acknowledged to ${workerId} after the task has started again`)
    }
  }

  #task (taskKey: string): TaskHistory {
    const known = this.#tasks.get(taskKey)
    if (known !== undefined) return known
    const task = new TaskHistory()
    this.#tasks.set(taskKey, task)
    return task
  }
}

function endKey ({ run }: ObservedEnd, workerId: string): string {
  return `${workerId}#${run}`
}
