/** How many tasks of a lasting step our own orders may keep away from work at once. */
import type { BatchState, LocatedTask } from './batch-state.js'
import type { Assignment } from './commands.js'
import { stepKeyOf } from './jobs.js'
import { FULL_PROGRESS_PERCENT } from './worker-messages.js'
import type { WorkerTable } from './worker-registry.js'

/** Looks at the lasting tasks of all workers. */
export class LastingAvailability {
  readonly #state: BatchState
  readonly #workers: WorkerTable
  readonly #isStopping: (run: Assignment) => boolean

  constructor (state: BatchState, workers: WorkerTable, isStopping: (run: Assignment) => boolean) {
    this.#state = state
    this.#workers = workers
    this.#isStopping = isStopping
  }

  /**
   * Whether an order may end this run: always, unless it is at work and as many others of its step are away as may be.
   *
   * @example
   * if (availability.maySpare(run)) orders.stop(run)
   */
  maySpare (run: Assignment): boolean {
    const located = this.#state.locate(run.taskKey)
    const maxUnavailable = located?.stepSpec.maxUnavailable
    if (located === undefined || maxUnavailable === undefined || !this.#isAtWork(run)) return true
    return this.#countAway(located, run) < maxUnavailable
  }

  #countAway ({ step }: LocatedTask, run: Assignment): number {
    const stepKey = stepKeyOf(run.taskKey)
    let away = 0
    step.tasks.forEach((task, index) => {
      const taskKey = `${stepKey}.${index}`
      if (taskKey === run.taskKey) return
      if (!task.active.some(active => this.#isAtWork({ ...active, taskKey }))) away++
    })
    return away
  }

  #isAtWork (run: Assignment): boolean {
    const row = this.#workers.view(run.workerId)?.rowOf(run.taskKey, run.run)
    return row !== undefined && row.percent >= FULL_PROGRESS_PERCENT && !this.#isStopping(run)
  }
}
