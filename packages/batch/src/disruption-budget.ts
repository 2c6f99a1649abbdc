/**
 * Limits how many tasks of a lasting step the leader makes unavailable at once for maintenance. Other stops are not
 * limited: evictions from leaving workers, and stops of runs without a valid ticket.
 */
import type { BatchState, TaskContext } from './batch-state.js'
import type { Assignment } from './commands.js'
import { stepKeyOf } from './jobs.js'
import { FULL_PROGRESS_PERCENT } from './worker-messages.js'
import type { WorkerRegistry } from './worker-registry.js'

/** Applies `maxUnavailable` of lasting steps, from the reports of all workers. */
export class DisruptionBudget {
  readonly #state: BatchState
  readonly #registry: WorkerRegistry
  readonly #isStopping: (assignment: Assignment) => boolean

  constructor (state: BatchState, registry: WorkerRegistry, isStopping: (assignment: Assignment) => boolean) {
    this.#state = state
    this.#registry = registry
    this.#isStopping = isStopping
  }

  /**
   * Whether the run may be stopped for maintenance. It may not where the run is available and as many other tasks of
   * its step as allowed are unavailable already.
   *
   * @example
   * if (budget.allowsStop(assignment)) orders.stop(assignment)
   */
  allowsStop (assignment: Assignment): boolean {
    const context = this.#state.findTask(assignment.taskKey)
    const maxUnavailable = context?.stepSpec.maxUnavailable
    if (context === undefined || maxUnavailable === undefined || !this.#isAvailable(assignment)) return true
    return this.#countOtherUnavailableTasks(context, assignment) < maxUnavailable
  }

  #countOtherUnavailableTasks ({ step }: TaskContext, assignment: Assignment): number {
    const stepKey = stepKeyOf(assignment.taskKey)
    let unavailable = 0
    step.tasks.forEach((task, index) => {
      const taskKey = `${stepKey}.${index}`
      if (taskKey === assignment.taskKey) return
      if (!task.active.some(active => this.#isAvailable({ ...active, taskKey }))) unavailable++
    })
    return unavailable
  }

  #isAvailable (assignment: Assignment): boolean {
    const task = this.#registry.view(assignment.workerId)?.runningTask(assignment.taskKey, assignment.run)
    return task !== undefined && task.percent >= FULL_PROGRESS_PERCENT && !this.#isStopping(assignment)
  }
}
