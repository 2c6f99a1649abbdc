/** Limits how many tasks of a lasting step the leader's own stop orders make unavailable at once. */
import type { BatchState, TaskContext } from './batch-state.js'
import type { Assignment } from './commands.js'
import { stepKeyOf } from './jobs.js'
import { FULL_PROGRESS_PERCENT } from './worker-messages.js'
import type { WorkerRegistry } from './worker-registry.js'

/** Applies `maxUnavailable` of lasting steps, from the reports of all workers. */
export class DisruptionBudget {
  readonly #state: BatchState
  readonly #registry: WorkerRegistry
  readonly #isStopping: (run: Assignment) => boolean

  constructor (state: BatchState, registry: WorkerRegistry, isStopping: (run: Assignment) => boolean) {
    this.#state = state
    this.#registry = registry
    this.#isStopping = isStopping
  }

  /**
   * Whether a stop order may end this run. It may not where the run is available and as many other tasks of its step as
   * allowed are unavailable already.
   *
   * @example
   * if (budget.allowsStop(run)) orders.stop(run)
   */
  allowsStop (run: Assignment): boolean {
    const context = this.#state.findTask(run.taskKey)
    const maxUnavailable = context?.stepSpec.maxUnavailable
    if (context === undefined || maxUnavailable === undefined || !this.#isAvailable(run)) return true
    return this.#countOtherUnavailableTasks(context, run) < maxUnavailable
  }

  #countOtherUnavailableTasks ({ step }: TaskContext, run: Assignment): number {
    const stepKey = stepKeyOf(run.taskKey)
    let unavailable = 0
    step.tasks.forEach((task, index) => {
      const taskKey = `${stepKey}.${index}`
      if (taskKey === run.taskKey) return
      if (!task.active.some(active => this.#isAvailable({ ...active, taskKey }))) unavailable++
    })
    return unavailable
  }

  #isAvailable (run: Assignment): boolean {
    const task = this.#registry.view(run.workerId)?.runningTask(run.taskKey, run.run)
    return task !== undefined && task.percent >= FULL_PROGRESS_PERCENT && !this.#isStopping(run)
  }
}
