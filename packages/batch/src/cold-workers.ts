/**
 * Cold workers: those that are still slow after their start. They get work that is not urgent, and members of a gang,
 * which ends with its slowest member, only where the gang does not fit on warm workers.
 *
 * Load pattern: many workers that start at once, as after the evacuation of their zone has ended.
 */
import type { WaitingStep } from './waiting-steps.js'
import type { WorkerCapacity } from './worker-capacity.js'
import type { WorkerView } from './worker-view.js'

/** An urgent step that waits longer may use cold workers. Objectives of urgent jobs allow 1 s beside their work. */
const MAX_URGENT_WAIT_MS = 1_000

/**
 * Time for which a worker is still slow after its start; 0 for a warm one.
 *
 * @example
 * if (coldRemainingMs(view, clock.monotonicMs()) > 0) exclude(view)
 */
export function coldRemainingMs ({ latest, reportedAtMs }: WorkerView, nowMs: number): number {
  return Math.max(0, latest.coldRemainingMs - (nowMs - reportedAtMs))
}

/**
 * Sets of workers to place the tasks of a step on, to be tried in turn: each later one is for the tasks that did not
 * fit on the earlier ones.
 */
export function workersByWarmth (
  step: WaitingStep, workers: readonly WorkerCapacity[], nowMs: number
): ReadonlyArray<readonly WorkerCapacity[]> {
  const isUrgent = step.priority === 0
  if (!isUrgent && !step.spec.isGang) return [workers]
  const warm = workers.filter(worker => coldRemainingMs(worker.view, nowMs) === 0)
  if (warm.length === 0 || warm.length === workers.length) return [workers]
  return isUrgent && step.waitedMs < MAX_URGENT_WAIT_MS ? [warm] : [warm, workers]
}
