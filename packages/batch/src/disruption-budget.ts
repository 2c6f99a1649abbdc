/**
 * Limits how many tasks of a lasting step the leader makes unavailable at once for maintenance. Other stops are not
 * limited: evictions from leaving workers, and stops of runs without a valid ticket.
 */
import type { BatchState } from './batch-state.js'
import type { TaskContext } from './task-context.js'
import type { Assignment } from './commands.js'
import { stepKeyOf } from './jobs.js'
import { FULL_PROGRESS_PERCENT } from './worker-messages.js'
import type { WorkerRegistry } from './worker-registry.js'
import type { WorkerView } from './worker-view.js'

/** Options of {@link DisruptionBudget}. */
export interface DisruptionBudgetOptions {
  readonly state: BatchState
  readonly registry: WorkerRegistry
  readonly isStopping: (assignment: Assignment) => boolean
  /** Whether the VM of a worker is going down, or may be, for its maintenance. */
  readonly isGoingDown: (view: WorkerView) => boolean
}

type Availability = 'available' | 'unavailable' | 'unknown'

/** Tasks of one step that are to be stopped together and may be available. */
interface StepStop {
  readonly context: TaskContext
  readonly taskKeys: Set<string>
}

/** Applies `maxUnavailable` of lasting steps, from the reports of all workers. */
export class DisruptionBudget {
  readonly #options: DisruptionBudgetOptions

  constructor (options: DisruptionBudgetOptions) {
    this.#options = options
  }

  /**
   * Whether the runs may be stopped together for maintenance. They may where no step then has more unavailable tasks
   * than allowed. Where it is not certain whether a task is available, it counts as available if it is to be stopped,
   * and as unavailable otherwise.
   *
   * @example
   * if (budget.allowsStops([assignment])) orders.stop(assignment)
   */
  allowsStops (assignments: readonly Assignment[]): boolean {
    return [...this.#groupBySteps(assignments)].every(([stepKey, stop]) => this.#allows(stepKey, stop))
  }

  #groupBySteps (assignments: readonly Assignment[]): Map<string, StepStop> {
    const stops = new Map<string, StepStop>()
    for (const assignment of assignments) {
      const { taskKey } = assignment
      const context = this.#options.state.findTask(taskKey)
      if (context?.stepSpec.maxUnavailable === undefined || this.#availability(assignment) === 'unavailable') continue
      const stepKey = stepKeyOf(taskKey)
      const stop = stops.get(stepKey) ?? { context, taskKeys: new Set() }
      stop.taskKeys.add(taskKey)
      stops.set(stepKey, stop)
    }
    return stops
  }

  #allows (stepKey: string, { context: { step, stepSpec }, taskKeys }: StepStop): boolean {
    let availableCount = 0
    for (const [index, { active }] of step.startedTasks()) {
      const taskKey = `${stepKey}.${index}`
      if (taskKeys.has(taskKey)) continue
      if (active.some(run => this.#availability({ ...run, taskKey }) === 'available')) availableCount++
    }
    return step.taskCount - availableCount <= (stepSpec.maxUnavailable ?? Infinity)
  }

  /** The task of a worker that does not report any more may have ended, or go on. */
  #availability (assignment: Assignment): Availability {
    const { registry, isStopping, isGoingDown } = this.#options
    if (isStopping(assignment)) return 'unavailable'
    const view = registry.view(assignment.workerId)
    if (view === undefined || !registry.isResponsive(view) || isGoingDown(view)) return 'unknown'
    const task = view.runningTask(assignment.taskKey, assignment.run)
    return task !== undefined && task.percent >= FULL_PROGRESS_PERCENT ? 'available' : 'unavailable'
  }
}
