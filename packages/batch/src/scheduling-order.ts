/** The order in which a scheduling pass considers waiting steps. */
import type { QueuedStep } from './waiting-steps.js'

/** Scheduling order; each policy is a subclass. */
export abstract class SchedulingOrder {
  /** Negative where `left` comes first. */
  abstract compare (left: QueuedStep, right: QueuedStep, nowWallMs: number): number

  /**
   * Class of a step: a lower one comes first. Of two occurrences of a job, the later one has no higher class, and
   * within a class the earlier one comes first, so that a queue need not hold all of them.
   */
  abstract classOf (step: QueuedStep, nowWallMs: number): number
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
  override compare (left: QueuedStep, right: QueuedStep, nowWallMs: number): number {
    return latenessClass(left, nowWallMs) - latenessClass(right, nowWallMs) ||
      left.priority - right.priority ||
      Number(yieldsToOthers(left)) - Number(yieldsToOthers(right)) ||
      left.objectiveWallMs - right.objectiveWallMs
  }

  override classOf (step: QueuedStep, nowWallMs: number): number {
    return latenessClass(step, nowWallMs)
  }
}

function yieldsToOthers ({ isGuaranteed, isOverShare }: QueuedStep): boolean {
  return isOverShare && !isGuaranteed
}

/** What the lateness class of a step depends on. */
export type StepDeadlines = Pick<
  QueuedStep, 'objectiveWallMs' | 'waitingSinceWallMs' | 'remainingCriticalPathMs' | 'isGuaranteed'
> & { readonly spec: Pick<QueuedStep['spec'], 'isLasting'> }

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
