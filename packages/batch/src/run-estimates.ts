/** Estimates of how long runs still take, and of how long runs that have ended would take on any worker. */
import { taskRunKey } from './run-keys.js'
import type { Assignment } from './commands.js'
import type { StepSpec } from './jobs.js'
import { FULL_PROGRESS_PERCENT } from './worker-messages.js'
import type { RunProgress, WorkerView } from './worker-view.js'

/**
 * From this progress since the first report to this leader on, the end is extrapolated, which predicts it better than
 * the caller's estimate.
 */
const MIN_EXTRAPOLATION_PERCENT = 10

/**
 * Estimated time from now until a run ends; `Infinity` for a lasting one. A run that its worker has not reported yet
 * counts as just started. `runMs` is the expected time of the whole run on its worker.
 *
 * @example
 * const endsAtMs = nowMs + estimateRemainingMs(view, assignment, spec, nowMs, prediction.typicalMs)
 */
export function estimateRemainingMs (
  view: WorkerView, assignment: Assignment, spec: StepSpec, nowMs: number, runMs: number
): number {
  if (spec.isLasting) return Infinity
  const progress = view.progress.get(taskRunKey(assignment))
  if (progress === undefined) return runMs
  const { percent, firstPercent, firstSeenMs } = progress
  const progressedPercent = percent - firstPercent
  const remainingMs = progressedPercent >= MIN_EXTRAPOLATION_PERCENT
    ? (view.reportedAtMs - firstSeenMs) * (FULL_PROGRESS_PERCENT - percent) / progressedPercent
    : runMs * (FULL_PROGRESS_PERCENT - percent) / FULL_PROGRESS_PERCENT
  // A run without progress waits for the other members of its gang, so its remaining time does not pass yet.
  const sinceReportMs = percent === 0 ? 0 : nowMs - view.reportedAtMs
  return Math.max(0, remainingMs - sinceReportMs)
}

/** A run whose reports cover a smaller part of its work says little about the whole. */
const MIN_OBSERVED_PERCENT = 20

/**
 * Time that the whole task takes on the worker of a run that is done, extrapolated from the progress in its reports;
 * undefined where they cover too little of the work. The time for which the run waited for the other members of its
 * gang does not count, neither before they were present nor after its own work was done. Of other runs the report of
 * the end counts as full progress.
 */
export function wholeRunMs (progress: RunProgress, { isGang }: StepSpec, endSeenMs: number): number | undefined {
  const { workFirstSeen: first, workLastSeen: last } = progress
  if (first === undefined || last === undefined) return undefined
  const end = isGang ? last : { atMs: endSeenMs, percent: FULL_PROGRESS_PERCENT }
  const observedPercent = end.percent - first.percent
  if (observedPercent < MIN_OBSERVED_PERCENT) return undefined
  return (end.atMs - first.atMs) * FULL_PROGRESS_PERCENT / observedPercent
}

/** Time for which a run has worked, without the work that it resumed from a checkpoint. */
export function workedMs ({ workFirstSeen, lastChangeMs }: RunProgress): number {
  return workFirstSeen === undefined ? 0 : lastChangeMs - workFirstSeen.atMs
}
