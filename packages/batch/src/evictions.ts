/** Runs that are taken off their workers before these leave or because they stand still. */
import type { BatchState } from './batch-state.js'
import type { Assignment } from './commands.js'
import { occupyingRuns, type OccupyingRun } from './worker-capacity.js'
import type { BatchSettings } from './settings.js'
import { FULL_PROGRESS_PERCENT } from './worker-messages.js'
import type { WorkerView } from './worker-view.js'

/** Why a run is taken off its worker. */
export type EvacuationReason = 'worker_leaving' | 'stalled' | 'maintenance'

/** A run to stop. */
export interface Evacuation {
  readonly run: Assignment
  readonly reason: EvacuationReason
  /** Time without progress of a stalled run, and progress at its last change. */
  readonly unchangedMs?: number
  readonly percent?: number
  /** Expected time to its end, and what is left of a leaving worker's time. */
  readonly remainingMs?: number
  readonly workerRemainingMs?: number
}

/**
 * Chooses runs that cannot end where they are. Work that is saved moves at once; work that would be lost stays while
 * the worker may yet live long enough for it.
 *
 * @example
 * for (const { run } of planEvacuation(state, view, settings, nowMs)) orders.stop(run)
 */
export function planEvacuation (
  state: BatchState, view: WorkerView, settings: BatchSettings, nowMs: number
): Evacuation[] {
  const isLeaving = view.latest.state === 'leaving'
  // Most workers have nothing that stands still, and looking at every run of a large fleet is costly.
  if (!isLeaving && view.runsUnchangedSince(nowMs - settings.stalledAfterMs).length === 0) return []
  const runs = occupyingRuns(state, view, () => false, nowMs)
  if (isLeaving) {
    return runs.filter(run => mustMove(run, view.latest.remainingMs, settings)).map(run => leaving(run, view))
  }
  return runs.filter(run => isStalled(run, view, settings, nowMs)).map(run => stalled(run, view, nowMs))
}

/**
 * Chooses runs that move off a VM before its maintenance: saved work, and lasting tasks, of which the caller stops only
 * as many as their steps can spare. Other work stays while it may end.
 */
export function planEmptying (state: BatchState, view: WorkerView, nowMs: number): Evacuation[] {
  return occupyingRuns(state, view, () => false, nowMs)
    .filter(({ spec }) => spec.isLasting || spec.isCheckpointing)
    .map(({ assignment }) => ({ run: assignment, reason: 'maintenance' }))
}

function leaving ({ assignment, remainingMs }: OccupyingRun, view: WorkerView): Evacuation {
  return { run: assignment, reason: 'worker_leaving', remainingMs, workerRemainingMs: view.latest.remainingMs }
}

function stalled ({ assignment }: OccupyingRun, view: WorkerView, nowMs: number): Evacuation {
  const { taskKey, run } = assignment
  const unchangedMs = view.unchangedMs(taskKey, run, nowMs)
  return { run: assignment, reason: 'stalled', unchangedMs, percent: view.rowOf(taskKey, run)?.percent }
}

function mustMove (run: OccupyingRun, timeLeftMs: number | undefined, settings: BatchSettings): boolean {
  if (timeLeftMs === undefined) return false
  const { spec, remainingMs } = run
  if (spec.isLasting || spec.isCheckpointing) return remainingMs > timeLeftMs
  return remainingMs > timeLeftMs + settings.leavingGraceMs
}

function isStalled (run: OccupyingRun, view: WorkerView, settings: BatchSettings, nowMs: number): boolean {
  const { spec, assignment: { taskKey, run: runNumber } } = run
  if (spec.isLasting || spec.isFiller) return false
  // Members of a gang end together, so a fast one waits with all its work done.
  if (spec.isGang && (view.rowOf(taskKey, runNumber)?.percent ?? 0) >= FULL_PROGRESS_PERCENT) return false
  const unchangedMs = view.unchangedMs(taskKey, runNumber, nowMs)
  return unchangedMs !== undefined && unchangedMs >= stallLimitMs(run, settings)
}

/** Members of a gang do not work before all are present, and long work shows its progress more slowly. */
function stallLimitMs ({ spec }: OccupyingRun, settings: BatchSettings): number {
  return settings.stalledAfterMs + (spec.isGang ? settings.gangWaitMs : 0) + spec.estimateMs * STALL_ESTIMATE_SHARE
}

/** Share of the estimated run time without progress that even a much slower worker does not need for one percent. */
const STALL_ESTIMATE_SHARE = 0.1
