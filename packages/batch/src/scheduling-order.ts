/** The order in which a scheduling pass considers waiting steps. */
import { shareStep } from './organisation-shares.js'
import type { WaitingStep } from './waiting-steps.js'

/** Scheduling order; each policy is a subclass. */
export abstract class SchedulingOrder {
  /** Negative where `left` comes first. */
  abstract compare (left: WaitingStep, right: WaitingStep, nowWallMs: number): number
}

/** A result that is later than this multiple of its objective is of no use to the caller. */
const USEFUL_OBJECTIVE_FACTOR = 3

/**
 * Earliest objective first within priorities, in three classes: steps that are guaranteed, lasting or can still meet
 * their objective, then steps that are late but still useful, then the rest. Under overload this keeps late jobs from
 * making all later jobs late as well. Within a class and priority, steps of organisations over their share come after
 * the others; guaranteed steps do not.
 */
export class ObjectiveSchedulingOrder extends SchedulingOrder {
  override compare (left: WaitingStep, right: WaitingStep, nowWallMs: number): number {
    return latenessClass(left, nowWallMs) - latenessClass(right, nowWallMs) ||
      left.priority - right.priority ||
      shareStepOf(left) - shareStepOf(right) ||
      left.objectiveWallMs - right.objectiveWallMs
  }
}

function shareStepOf ({ isGuaranteed, organisationAttained }: WaitingStep): number {
  return isGuaranteed ? 0 : shareStep(organisationAttained)
}

function latenessClass (step: WaitingStep, nowWallMs: number): number {
  const endsAtWallMs = nowWallMs + step.remainingCriticalPathMs
  if (endsAtWallMs <= step.objectiveWallMs || step.spec.isLasting || step.isGuaranteed) return 0
  const usefulForMs = (step.objectiveWallMs - step.waitingSinceWallMs) * USEFUL_OBJECTIVE_FACTOR
  return endsAtWallMs <= step.waitingSinceWallMs + usefulForMs ? 1 : 2
}
