/** Room held back for work that does not fit yet, so that smaller work does not keep it waiting for ever. */
import { placementGroups, type Eligibility } from './fitting.js'
import type { WorkerSlot } from './free-capacity.js'
import type { WaitingStep } from './waiting-work.js'

interface ExpectedStart {
  readonly slot: WorkerSlot
  readonly inMs: number
}

/**
 * Reserves the workers on which the waiting tasks are expected to fit first; a same-rack gang gets one rack. Work that
 * is estimated to end before the room is needed may use it meanwhile (EASY backfilling).
 *
 * @returns the time from now at which all tasks are expected to fit; `Infinity` where they never will
 * @example
 * const startsInMs = reserveRoom(step, step.taskIndexes.length, slots, isEligible)
 */
export function reserveRoom (
  step: WaitingStep, taskCount: number, slots: readonly WorkerSlot[], isEligible: Eligibility
): number {
  const eligible = slots.filter(isEligible)
  let best: ExpectedStart[] = []
  let bestInMs = Infinity
  for (const group of placementGroups(step, eligible)) {
    const starts = earliestStarts(step, taskCount, group)
    const inMs = starts.length < taskCount ? Infinity : starts.at(-1)?.inMs ?? Infinity
    if (inMs >= bestInMs) continue
    best = starts
    bestInMs = inMs
  }
  for (const { slot, inMs } of best) slot.reserve(step.spec, step.spec.isGang ? bestInMs : inMs)
  return bestInMs
}

function earliestStarts (step: WaitingStep, taskCount: number, slots: readonly WorkerSlot[]): ExpectedStart[] {
  const limit = step.spec.maxTasksPerWorker
  const perWorker = limit > 0 ? Math.min(limit, taskCount) : taskCount
  return slots
    .flatMap(slot => slot.fittingTimes(step.spec, perWorker).map(inMs => ({ slot, inMs })))
    .sort((left, right) => left.inMs - right.inMs)
    .slice(0, taskCount)
}
