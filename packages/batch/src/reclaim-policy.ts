/** How much of others' work may be thrown away for waiting work, and when. */
import { coresOf } from './jobs.js'
import type { BatchSettings } from './settings.js'
import type { WaitingStep } from './waiting-steps.js'

/** What is known of a step that does not fit now. */
export interface WaitingSituation {
  readonly nowWallMs: number
  /** Time until its tasks are expected to fit without any stop. */
  readonly startsInMs: number
  /** Whether all workers have had time to be heard, so that what seems full is full. */
  readonly isFleetKnown: boolean
}

/** Decides on the work that may be thrown away for a step; a policy that varies. */
export abstract class ReclaimPolicy {
  /** Whether there may be such work at all, whatever the situation. */
  abstract mayReclaim (step: WaitingStep): boolean

  /** Core-seconds that may be thrown away now; 0 where the step waits. */
  abstract budgetCoreSeconds (step: WaitingStep, situation: WaitingSituation): number
}

/** Callers' estimates are off by this factor either way. */
const ESTIMATE_ERROR_FACTOR = 2
/** Time from a stop's order until its room can be used: a heartbeat, the stop, and the heartbeat that lists it. */
const STOP_AND_START_MS = 600

/**
 * A guarantee that falls due is worth any work. Other urgent work takes room where it would otherwise miss its
 * objective, as soon as that is foreseeable, since later stops throw more away. It never throws away many times the
 * work that it does itself.
 */
export class ObjectiveReclaim extends ReclaimPolicy {
  readonly #settings: BatchSettings

  constructor (settings: BatchSettings) {
    super()
    this.#settings = settings
  }

  override mayReclaim (step: WaitingStep): boolean {
    return step.priority === 0
  }

  override budgetCoreSeconds (step: WaitingStep, situation: WaitingSituation): number {
    const { nowWallMs, startsInMs, isFleetKnown } = situation
    const { reclaimMs, reclaimLeadMs } = this.#settings
    if (step.isGuaranteed && step.waitedMs >= reclaimMs - reclaimLeadMs) return Infinity
    if (step.priority > 0 || !isFleetKnown || startsInMs <= STOP_AND_START_MS) return 0
    const slackMs = step.objectiveWallMs - nowWallMs - step.remainingChainMs
    const leastSlackMs = slackMs - step.stretchSlackMs * (1 - 1 / ESTIMATE_ERROR_FACTOR)
    const mostSlackMs = slackMs + step.stretchSlackMs * (ESTIMATE_ERROR_FACTOR - 1)
    if (mostSlackMs < STOP_AND_START_MS || startsInMs <= leastSlackMs) return 0
    return this.#worthOf(step)
  }

  #worthOf ({ spec, taskIndexes, remainingChainMs }: WaitingStep): number {
    const { reclaimWorkFactor, leastReclaimBudgetCoreSeconds } = this.#settings
    const ownCoreSeconds = coresOf(spec.shape) * taskIndexes.length * remainingChainMs / 1_000
    return Math.max(leastReclaimBudgetCoreSeconds, ownCoreSeconds * reclaimWorkFactor)
  }
}
