/** Estimates of how long runs still take. */
import { taskRunKey } from './run-keys.js'
import type { Assignment } from './commands.js'
import type { StepSpec } from './jobs.js'
import { FULL_PROGRESS_PERCENT } from './worker-messages.js'
import type { WorkerView } from './worker-view.js'

/**
 * From this progress since the first report to this leader on, the end is extrapolated, which predicts it better than
 * the caller's estimate.
 */
const MIN_EXTRAPOLATION_PERCENT = 10

/**
 * Estimated time from now until a run ends; `Infinity` for a lasting one. A run that its worker has not reported yet
 * counts as just started. `slowdown` is that of the worker; what is extrapolated from the progress includes it.
 *
 * @example
 * const endsAtMs = nowMs + estimateRemainingMs(view, assignment, spec, nowMs)
 */
export function estimateRemainingMs (
  view: WorkerView, assignment: Assignment, spec: StepSpec, nowMs: number, slowdown = 1
): number {
  if (spec.isLasting) return Infinity
  const progress = view.progress.get(taskRunKey(assignment))
  if (progress === undefined) return spec.estimateMs * slowdown
  const { percent, firstPercent, firstSeenMs } = progress
  const progressedPercent = percent - firstPercent
  const remainingMs = progressedPercent >= MIN_EXTRAPOLATION_PERCENT
    ? (view.reportedAtMs - firstSeenMs) * (FULL_PROGRESS_PERCENT - percent) / progressedPercent
    : spec.estimateMs * slowdown * (FULL_PROGRESS_PERCENT - percent) / FULL_PROGRESS_PERCENT
  // A run without progress waits for the other members of its gang, so its remaining time does not pass yet.
  const sinceReportMs = percent === 0 ? 0 : nowMs - view.reportedAtMs
  return Math.max(0, remainingMs - sinceReportMs)
}
