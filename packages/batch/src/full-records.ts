/** Reads snapshots of versions that kept a record of every task of each occurrence that had started. */
import { IndexSet } from './index-set.js'
import type { OccurrenceSnapshot, OccurrencesSnapshot } from './occurrence-table.js'
import type { StepSnapshot, TaskRecord } from './step-record.js'

interface FullStep {
  readonly tasks: readonly TaskRecord[]
  readonly lastFailedRun: number
}

/** An occurrence with a record of every task. */
export interface FullOccurrence {
  readonly steps: readonly FullStep[]
}

/** Converts the occurrences of a job; done ones count as done at `doneLogMs`. */
export function restoreFullRecords (
  occurrences: ReadonlyArray<FullOccurrence | null>, doneLogMs: number
): OccurrencesSnapshot {
  const done = new IndexSet()
  const records: OccurrenceSnapshot[] = []
  for (const [index, occurrence] of occurrences.entries()) {
    if (occurrence === null) continue
    const steps = occurrence.steps.map(toStepSnapshot)
    const isDone = occurrence.steps.every(({ tasks }) => tasks.every(task => task.isDone))
    if (isDone) done.add(index)
    const hasDetails = steps.some(step => step.tasks.length > 0 || step.reruns.length > 0)
    if (!isDone) records.push({ index, steps })
    else if (hasDetails) records.push({ index, steps, doneLogMs })
  }
  return { done: done.toRanges(), records }
}

function toStepSnapshot ({ tasks, lastFailedRun }: FullStep): StepSnapshot {
  const done = new IndexSet()
  const reruns: Array<readonly [number, number]> = []
  const records: Array<readonly [number, TaskRecord]> = []
  for (const [index, task] of tasks.entries()) {
    if (task.isDone) done.add(index)
    const isSettled = task.isDone && task.active.length === 0
    if (!isSettled && !isUnstarted(task)) records.push([index, task])
    else if (task.lastRun > 1) reruns.push([index, task.lastRun])
  }
  return { done: done.toRanges(), lastFailedRun, reruns, tasks: records }
}

function isUnstarted ({ lastRun, failures, checkpoint, isDone }: TaskRecord): boolean {
  return lastRun === 0 && failures === 0 && checkpoint === '' && !isDone
}
