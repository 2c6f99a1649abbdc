/** Reclaim policy: how much work of running tasks may be discarded for a waiting step, and when. */
import { coresOf } from './jobs.js'
import type { BatchSettings } from './settings.js'
import type { WaitingStep } from './waiting-steps.js'

/** State of the pass that the decision on a reclaim (a preemption for an urgent step) depends on. */
export interface ReclaimContext {
  readonly nowWallMs: number
  /** Time from now until the step's tasks are expected to fit without preemption. */
  readonly startDelayMs: number
  /** Whether all workers have had time to report, so that capacity that seems to be lacking is really occupied. */
  readonly isFleetKnown: boolean
}

/** Decides on the work that may be discarded for a step; each policy is a subclass. */
export abstract class ReclaimPolicy {
  /** Whether the step may ever preempt other runs, whatever the context. */
  abstract mayReclaim (step: WaitingStep): boolean

  /** Core-seconds of work that may be discarded now; 0 where the step has to wait. */
  abstract lossBudgetCoreSeconds (step: WaitingStep, context: ReclaimContext): number
}

/** Callers' estimates may be wrong by this factor in either direction. */
const ESTIMATE_ERROR_FACTOR = 2
/**
 * Expected time from the decision to stop a run until its capacity can be used: the heartbeat whose answer carries the
 * order, the stop, and the heartbeat that reports it. `reclaimLeadMs` includes the start of the step as well.
 */
const RECLAIM_LATENCY_MS = 600

/**
 * A guarantee that falls due may discard any amount of work. Other urgent steps preempt where they would otherwise miss
 * their objective, as soon as that is foreseeable, since later stops discard more work. A step that cannot meet its
 * objective even with the most slack does not preempt. What a step may discard is limited to a multiple of the work
 * that remains from this step on along the critical path, but to no less than `minReclaimBudgetCoreSeconds`.
 */
export class ObjectiveReclaimPolicy extends ReclaimPolicy {
  readonly #settings: BatchSettings

  constructor (settings: BatchSettings) {
    super()
    this.#settings = settings
  }

  override mayReclaim (step: WaitingStep): boolean {
    return step.priority === 0
  }

  override lossBudgetCoreSeconds (step: WaitingStep, context: ReclaimContext): number {
    const { nowWallMs, startDelayMs, isFleetKnown } = context
    const { reclaimMs, reclaimLeadMs } = this.#settings
    if (step.isGuaranteed && step.waitedMs >= reclaimMs - reclaimLeadMs) return Infinity
    if (step.priority > 0 || !isFleetKnown || startDelayMs <= RECLAIM_LATENCY_MS) return 0
    const slackMs = step.objectiveWallMs - nowWallMs - step.remainingCriticalPathMs
    // The true critical path may be shorter or longer than the estimate by ESTIMATE_ERROR_FACTOR, and the part of the
    // objective that `slackFactor` gives is meant in proportion to the true one. So this part of the slack is uncertain
    // by the same factor.
    const minSlackMs = slackMs - step.estimateScaledSlackMs * (1 - 1 / ESTIMATE_ERROR_FACTOR)
    const maxSlackMs = slackMs + step.estimateScaledSlackMs * (ESTIMATE_ERROR_FACTOR - 1)
    if (maxSlackMs < RECLAIM_LATENCY_MS || startDelayMs <= minSlackMs) return 0
    return this.#maxLossCoreSeconds(step)
  }

  #maxLossCoreSeconds ({ spec, taskIndexes, remainingCriticalPathMs }: WaitingStep): number {
    const { reclaimWorkFactor, minReclaimBudgetCoreSeconds } = this.#settings
    const ownCoreSeconds = coresOf(spec.shape) * taskIndexes.length * remainingCriticalPathMs / 1_000
    return Math.max(minReclaimBudgetCoreSeconds, ownCoreSeconds * reclaimWorkFactor)
  }
}
