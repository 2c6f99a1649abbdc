/** Room held back for work that does not fit yet, so that smaller work does not keep it waiting for ever. */
import type { Candidates } from './worker-selection.js'
import type { WorkerSlot } from './worker-capacity.js'
import type { WaitingStep } from './waiting-steps.js'

interface ExpectedStart {
  readonly slot: WorkerSlot
  readonly inMs: number
}

/** Room that a step is expected to have, and when. */
export interface Reservation {
  readonly starts: readonly ExpectedStart[]
  /** Time from now at which all tasks are expected to fit; `Infinity` where they never will. */
  readonly inMs: number
}

/** Finds the workers on which the waiting tasks are expected to fit first; a same-rack gang gets one rack. */
function findReservation (step: WaitingStep, { groups }: Candidates): Reservation {
  const taskCount = step.taskIndexes.length
  let best: Reservation = { starts: [], inMs: Infinity }
  for (const group of groups) {
    const starts = earliestStarts(step, taskCount, group)
    const inMs = starts.length < taskCount ? Infinity : starts.at(-1)?.inMs ?? Infinity
    if (inMs < best.inMs) best = { starts, inMs }
  }
  return best
}

/** The reservation of a step, found when it is first asked for and kept while the slots do not change. */
export class ExpectedRoom {
  readonly #step: WaitingStep
  readonly #candidates: Candidates
  #reservation: Reservation | undefined

  constructor (step: WaitingStep, candidates: Candidates) {
    this.#step = step
    this.#candidates = candidates
  }

  get reservation (): Reservation {
    this.#reservation ??= findReservation(this.#step, this.#candidates)
    return this.#reservation
  }
}

/**
 * Holds the room. Work that is estimated to end before the room is needed may use it meanwhile (EASY backfilling).
 */
export function reserve ({ spec }: WaitingStep, { starts, inMs }: Reservation): void {
  for (const start of starts) start.slot.reserve(spec, spec.isGang ? inMs : start.inMs)
}

function earliestStarts (step: WaitingStep, taskCount: number, slots: readonly WorkerSlot[]): ExpectedStart[] {
  const limit = step.spec.maxTasksPerWorker
  const perWorker = limit > 0 ? Math.min(limit, taskCount) : taskCount
  return slots
    .flatMap(slot => slot.fittingTimes(step.spec, perWorker).map(inMs => ({ slot, inMs })))
    .sort((left, right) => left.inMs - right.inMs)
    .slice(0, taskCount)
}
