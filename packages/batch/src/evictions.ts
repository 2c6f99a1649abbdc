/** Evictions of runs from workers that leave, from VMs before their maintenance, and of runs that have stalled. */
import type { BatchState } from './batch-state.js'
import type { Assignment } from './commands.js'
import { listOccupyingRuns, type OccupyingRun } from './worker-capacity.js'
import type { RunPolicies } from './policies.js'
import type { BatchSettings } from './settings.js'
import type { StartObstacle } from './start-rules.js'
import { FULL_PROGRESS_PERCENT } from './worker-messages.js'
import type { WorkerView } from './worker-view.js'

/** Why a run is evicted. */
export type EvictionReason = 'worker_leaving' | 'stalled' | 'maintenance' | StartObstacle

/** A run to evict, with the figures behind the decision for the log. */
export interface Eviction {
  readonly assignment: Assignment
  readonly reason: EvictionReason
  /** For a stalled run: time without progress, and its latest progress. */
  readonly unchangedMs?: number
  readonly percent?: number
  /** Estimated remaining run time and, for a leaving worker, time until the worker is gone. */
  readonly remainingMs?: number
  readonly workerRemainingMs?: number
}

/**
 * Chooses the runs of a leaving worker that cannot end before it is gone, and the stalled runs of any other worker.
 * Checkpointing and lasting runs move as soon as the reported remaining time is too short for them. A run whose work
 * would be lost gets `leavingGraceMs` more, since it may take less time than estimated. All runs are stopped
 * `leavingStopLeadMs` before the worker may be gone: nobody learns how one ends in its last moment, and a completed
 * task would run again.
 *
 * @example
 * for (const { assignment } of planEvictions(state, view, settings, nowMs, policies)) orders.stop(assignment)
 */
export function planEvictions (
  state: BatchState, view: WorkerView, settings: BatchSettings, nowMs: number, policies: RunPolicies
): Eviction[] {
  const isLeaving = view.latest.state === 'leaving'
  // Most workers have no run without progress, and looking at every run of a large fleet is costly.
  if (!isLeaving && view.runsUnchangedFor(settings.stalledAfterMs).length === 0) return []
  const runs = listOccupyingRuns(state, view, () => false, nowMs, policies)
  if (isLeaving) {
    const workerRemainingMs = remainingMsOf(view, nowMs)
    return runs
      .filter(run => cannotEndInTime(run, workerRemainingMs, settings))
      .map(run => leavingWorkerEviction(run, workerRemainingMs))
  }
  return runs.filter(run => isStalled(run, view, settings)).map(run => stalledEviction(run, view))
}

/**
 * Chooses the runs that move off a VM before its maintenance: checkpointing runs and lasting tasks, of which the caller
 * evicts only as many as their disruption budget allows. Other runs stay, since they may still end in time; those that
 * do not are lost with the maintenance.
 */
export function planDrain (
  state: BatchState, view: WorkerView, nowMs: number, policies: RunPolicies
): Eviction[] {
  return listOccupyingRuns(state, view, () => false, nowMs, policies)
    .filter(({ spec }) => spec.isLasting || spec.isCheckpointing)
    .map(({ assignment }) => ({ assignment, reason: 'maintenance' }))
}

/** Shortest time until a leaving worker is gone. */
function remainingMsOf ({ latest, reportedAtMs }: WorkerView, nowMs: number): number | undefined {
  return latest.remainingMs === undefined ? undefined : Math.max(0, latest.remainingMs - (nowMs - reportedAtMs))
}

function leavingWorkerEviction (
  { assignment, remainingMs }: OccupyingRun, workerRemainingMs: number | undefined
): Eviction {
  return { assignment, reason: 'worker_leaving', remainingMs, workerRemainingMs }
}

function stalledEviction ({ assignment }: OccupyingRun, view: WorkerView): Eviction {
  const { taskKey, run } = assignment
  const unchangedMs = view.unchangedMs(taskKey, run)
  return { assignment, reason: 'stalled', unchangedMs, percent: view.runningTask(taskKey, run)?.percent }
}

function cannotEndInTime (run: OccupyingRun, workerRemainingMs: number | undefined, settings: BatchSettings): boolean {
  if (workerRemainingMs === undefined) return false
  if (workerRemainingMs <= settings.leavingStopLeadMs) return true
  const { spec, remainingMs } = run
  if (spec.isLasting || spec.isCheckpointing) return remainingMs > workerRemainingMs
  return remainingMs > workerRemainingMs + settings.leavingGraceMs
}

function isStalled (run: OccupyingRun, view: WorkerView, settings: BatchSettings): boolean {
  const { spec, assignment: { taskKey, run: runNumber } } = run
  if (spec.isLasting || spec.isFiller) return false
  // Gang members end together, so a fast member waits at full progress for the others.
  if (spec.isGang && (view.runningTask(taskKey, runNumber)?.percent ?? 0) >= FULL_PROGRESS_PERCENT) return false
  const unchangedMs = view.unchangedMs(taskKey, runNumber)
  return unchangedMs !== undefined && unchangedMs >= stallTimeoutMs(run, settings)
}

/** Gang members make no progress until all are present, and the percentage of a long run changes less often. */
function stallTimeoutMs ({ spec, highRunMs }: OccupyingRun, settings: BatchSettings): number {
  return settings.stalledAfterMs + (spec.isGang ? settings.gangWaitMs : 0) + highRunMs * STALL_TIMEOUT_RUN_SHARE
}

/**
 * Share of the longest expected run time, for the eviction of a stalled run; even a much slower worker makes one
 * percent of progress within it. A run becomes suspect, which only keeps new runs off its worker, after a smaller
 * share.
 */
const STALL_TIMEOUT_RUN_SHARE = 0.1
