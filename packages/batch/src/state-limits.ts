/** Limits of the replicated state that follow from the memory of a process. */
import type { BatchSettings } from './settings.js'

/** Part of the heap that stored jobs may take, so that a snapshot of them is encoded well within a leader lease. */
const JOB_SHARE = 0.2
/** Part of the heap that started tasks may take. */
const STARTED_TASK_SHARE = 0.3
/** Memory of a started task in the state of the leader and in its view of the worker. */
const STARTED_TASK_BYTES = 2_200

/**
 * Derives the limits from the size of the heap.
 *
 * @example
 * deriveStateLimits(200 * 1_048_576).maxStartedTasks // 28,597
 */
export function deriveStateLimits (heapBytes: number): Pick<BatchSettings, 'maxJobBytes' | 'maxStartedTasks'> {
  return {
    maxJobBytes: Math.floor(heapBytes * JOB_SHARE),
    maxStartedTasks: Math.floor(heapBytes * STARTED_TASK_SHARE / STARTED_TASK_BYTES)
  }
}
