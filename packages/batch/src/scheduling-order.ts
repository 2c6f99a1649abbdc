/** The order in which waiting work is considered. */
import type { WaitingStep } from './waiting-steps.js'

/** Order of waiting steps; a policy that varies. */
export abstract class WorkOrder {
  /** Negative where `left` comes first. */
  abstract compare (left: WaitingStep, right: WaitingStep, nowWallMs: number): number
}

/** Work that ends later than this multiple of its objective earns nothing for its caller. */
const WORTHLESS_AFTER_OBJECTIVES = 3

/**
 * Guaranteed work and work that can still meet its objective go first, by priority and earliest objective; then work
 * that is late but of use; then the rest. Under overload this keeps early work from making all later work late as well.
 */
export class ObjectiveOrder extends WorkOrder {
  override compare (left: WaitingStep, right: WaitingStep, nowWallMs: number): number {
    return urgencyClass(left, nowWallMs) - urgencyClass(right, nowWallMs) ||
      left.priority - right.priority ||
      left.objectiveWallMs - right.objectiveWallMs
  }
}

function urgencyClass (step: WaitingStep, nowWallMs: number): number {
  const endsAtMs = nowWallMs + step.remainingChainMs
  if (endsAtMs <= step.objectiveWallMs || step.spec.isLasting || step.isGuaranteed) return 0
  const usefulForMs = (step.objectiveWallMs - step.startedWallMs) * WORTHLESS_AFTER_OBJECTIVES
  return endsAtMs <= step.startedWallMs + usefulForMs ? 1 : 2
}
