/** The order in which a scheduling pass considers waiting steps. */
import type { WaitingStep } from './waiting-steps.js'

/** Scheduling order; each policy is a subclass. */
export abstract class SchedulingOrder {
  /** Negative where `left` comes first. */
  abstract compare (left: WaitingStep, right: WaitingStep, nowWallMs: number): number
}

/** A result that is later than this multiple of its objective is of no use to the caller. */
export const USEFUL_OBJECTIVE_FACTOR = 3

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
      Number(yieldsToOthers(left)) - Number(yieldsToOthers(right)) ||
      left.objectiveWallMs - right.objectiveWallMs
  }
}

function yieldsToOthers ({ isGuaranteed, isOverShare }: WaitingStep): boolean {
  return isOverShare && !isGuaranteed
}

/** What the lateness class of a step depends on. */
export type StepDeadlines = Pick<
  WaitingStep, 'objectiveWallMs' | 'waitingSinceWallMs' | 'remainingCriticalPathMs' | 'isGuaranteed'
> & { readonly spec: Pick<WaitingStep['spec'], 'isLasting'> }

/** 0 while a step goes first or can meet its objective, 1 while it is late but still useful, 2 afterwards. */
export function latenessClass (step: StepDeadlines, nowWallMs: number): 0 | 1 | 2 {
  const endsAtWallMs = nowWallMs + step.remainingCriticalPathMs
  if (endsAtWallMs <= step.objectiveWallMs || step.spec.isLasting || step.isGuaranteed) return 0
  return endsAtWallMs <= uselessFromWallMs(step) ? 1 : 2
}

/** Unix time from which the end of a step's job is of no use to the caller. */
function uselessFromWallMs ({ objectiveWallMs, waitingSinceWallMs }: StepDeadlines): number {
  return waitingSinceWallMs + (objectiveWallMs - waitingSinceWallMs) * USEFUL_OBJECTIVE_FACTOR
}
