/** Keys of runs, for maps. */
import type { Assignment } from './commands.js'
import { stepKeyOf } from './jobs.js'

/**
 * Key of a run of a task. The run numbers of a task are never reused, so it is unique among the runs of all workers.
 *
 * @example
 * taskRunKey({ taskKey: '5c0e.0.0.0', run: 2 }) // '5c0e.0.0.0#2'
 */
export function taskRunKey ({ taskKey, run }: Pick<Assignment, 'taskKey' | 'run'>): string {
  return `${taskKey}#${run}`
}

/**
 * Key of a run of a gang, whose members share the run number.
 *
 * @example
 * gangRunKey({ taskKey: '5c0e.0.0.3', run: 2 }) // '5c0e.0.0#2'
 */
export function gangRunKey ({ taskKey, run }: Pick<Assignment, 'taskKey' | 'run'>): string {
  return `${stepKeyOf(taskKey)}#${run}`
}

/**
 * Key of an assignment: the key of the run and the incarnation of its worker. The worker's ID is not part of it, since
 * the key of the run is unique already.
 *
 * @example
 * assignmentKey({ taskKey: '5c0e.0.0.0', run: 2, workerId: 'w1', incarnation: 9 }) // '5c0e.0.0.0#2@9'
 */
export function assignmentKey ({ taskKey, run, incarnation }: Assignment): string {
  return `${taskRunKey({ taskKey, run })}@${incarnation}`
}
