/** Gangs that have lost a member whose worker has not reported its end. */
import type { BatchState } from './batch-state.js'
import type { TaskContext } from './task-context.js'
import { gangRunKey } from './run-keys.js'
import type { Assignment } from './commands.js'
import { stepKeyOf } from './jobs.js'

/**
 * A member of a gang ends as broken only after another member has ended. Where all members but those of one worker have
 * been reported as broken in this term, the first end was on that worker, and the others there were broken with it. So
 * the gang can start again without waiting for the lease of that worker to end.
 *
 * Load pattern: workers that crash or are taken away while gangs with a member there are running.
 */
export class BrokenGangs {
  readonly #state: BatchState
  /** Runs of gangs with the tasks that were reported as broken. */
  readonly #brokenRuns = new Map<string, { readonly taskKeys: Set<string>, readonly run: number }>()

  constructor (state: BatchState) {
    this.#state = state
  }

  /**
   * Records a member that has ended as broken; returns the runs of other members that have certainly ended.
   *
   * @example
   * const ended = brokenGangs.record({ taskKey: '5c0e.0.0.3', run: 1 })
   */
  record ({ taskKey, run }: Pick<Assignment, 'taskKey' | 'run'>): Assignment[] {
    const context = this.#state.findTask(taskKey)
    if (context === undefined || !context.stepSpec.isGang || context.job.state !== 'open') return []
    const key = gangRunKey({ taskKey, run })
    const broken = this.#brokenRuns.get(key)?.taskKeys ?? new Set<string>()
    this.#brokenRuns.set(key, { taskKeys: broken.add(taskKey), run })
    const others = activeMembers(context, stepKeyOf(taskKey), run)
    if (broken.size + others.length !== context.stepSpec.taskCount) return []
    return areOnOneWorker(others) && this.#mayStartAgain(context) ? others : []
  }

  /** Removes the runs of which no member is active any more. */
  removeEnded (): void {
    for (const [key, { taskKeys, run }] of this.#brokenRuns) {
      const [taskKey = ''] = taskKeys
      const members = this.#state.findTask(taskKey)?.step.activeMembers(run) ?? []
      if (members.length === 0) this.#brokenRuns.delete(key)
    }
  }

  /** The end that is not reported yet may be a failure, which must not have been the last attempt. */
  #mayStartAgain ({ job, task }: TaskContext): boolean {
    const maxAttempts = this.#state.queueOf(job)?.maxAttempts ?? Infinity
    return task.failures + 1 < maxAttempts
  }
}

function activeMembers ({ step }: TaskContext, stepKey: string, run: number): Assignment[] {
  return step.activeMembers(run).map(({ index, active }) => ({ ...active, taskKey: `${stepKey}.${index}` }))
}

function areOnOneWorker ([first, ...others]: readonly Assignment[]): boolean {
  return others.every(other => other.workerId === first?.workerId && other.incarnation === first.incarnation)
}
