/** What workers observe of runs, checked against the promises that every task keeps. */
import type { RunEnd } from '@comfreygrade/batch'

/**
 * Collects violations: a task that runs twice at once, starts again after its completion was acknowledged, or starts
 * after as many acknowledged failures as it has attempts.
 */
export class RunHistory {
  readonly #maxAttempts: number
  readonly violations: string[] = []
  readonly #runningWorkerIdByTask = new Map<string, string>()
  /** Tasks whose completion was acknowledged to the worker. */
  readonly #completedTasks = new Set<string>()
  /**
   * Ends whose lease lapsed before they were acknowledged, as WORKER_ID/SEQUENCE; their acknowledgement does not
   * complete the task.
   */
  readonly #voidedEnds = new Set<string>()
  readonly #startedTasks = new Set<string>()
  /** Number of failures of each task that were acknowledged to its workers. */
  readonly #failuresByTask = new Map<string, number>()

  constructor (maxAttempts = Infinity) {
    this.#maxAttempts = maxAttempts
  }

  /** Records the start, which is a violation if the task is running or its completion was acknowledged. */
  recordRunStarted (taskKey: string, workerId: string): void {
    const otherWorkerId = this.#runningWorkerIdByTask.get(taskKey)
    if (otherWorkerId !== undefined) this.violations.push(`${taskKey} starts on ${workerId} while it is running on ${otherWorkerId}`)
    if (this.#completedTasks.has(taskKey)) this.violations.push(`${taskKey} starts on ${workerId} after its completion was acknowledged`)
    if ((this.#failuresByTask.get(taskKey) ?? 0) >= this.#maxAttempts) {
      this.violations.push(`${taskKey} starts on ${workerId} after its last attempt has failed`)
    }
    this.#runningWorkerIdByTask.set(taskKey, workerId)
    this.#startedTasks.add(taskKey)
  }

  /** Keys of the tasks that have started at least once. */
  get startedTasks (): ReadonlySet<string> {
    return this.#startedTasks
  }

  /** Records that the task no longer runs on the worker, whether the run ended or the worker crashed. */
  recordNotRunning (taskKey: string, workerId: string): void {
    if (this.#runningWorkerIdByTask.get(taskKey) === workerId) this.#runningWorkerIdByTask.delete(taskKey)
  }

  /** Records that the lease lapsed before the end was acknowledged, even if nothing was running at that time. */
  recordEndVoided (workerId: string, sequence: number): void {
    this.#voidedEnds.add(`${workerId}/${sequence}`)
  }

  /** Records that an end was acknowledged to its worker. */
  recordEndAcknowledged ({ taskKey, sequence, reason }: Omit<RunEnd, 'checkpoint'>, workerId: string): void {
    if (this.#voidedEnds.has(`${workerId}/${sequence}`)) return
    if (reason === 'done') this.#completedTasks.add(taskKey)
    if (reason === 'failed') this.#failuresByTask.set(taskKey, (this.#failuresByTask.get(taskKey) ?? 0) + 1)
  }
}
