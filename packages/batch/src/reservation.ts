/** Capacity reserved for steps that do not fit yet, so that smaller steps do not starve them (EASY backfilling). */
import type { Candidates } from './worker-selection.js'
import type { WorkerCapacity } from './worker-capacity.js'
import type { WaitingStep } from './waiting-steps.js'

interface ExpectedStart {
  readonly worker: WorkerCapacity
  readonly inMs: number
}

/** Workers on which a step's tasks are expected to start, and when. */
export interface Reservation {
  readonly starts: readonly ExpectedStart[]
  /** Time from now until all tasks are expected to fit; `Infinity` where that is not expected. */
  readonly inMs: number
}

/** Finds the workers on which the waiting tasks are expected to fit first; a gang stays within one group. */
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

/** The reservation of a step, computed on first use; valid while the capacities do not change. */
export class LazyReservation {
  readonly #step: WaitingStep
  readonly #candidates: Candidates
  #value: Reservation | undefined

  constructor (step: WaitingStep, candidates: Candidates) {
    this.#step = step
    this.#candidates = candidates
  }

  get value (): Reservation {
    this.#value ??= findReservation(this.#step, this.#candidates)
    return this.#value
  }
}

/**
 * Applies the reservation. Tasks that are estimated to end before the capacity is needed may use it until then.
 */
export function reserve ({ spec }: WaitingStep, { starts, inMs }: Reservation): void {
  for (const start of starts) start.worker.reserve(spec, spec.isGang ? inMs : start.inMs)
}

function earliestStarts (step: WaitingStep, taskCount: number, workers: readonly WorkerCapacity[]): ExpectedStart[] {
  const limit = step.spec.maxTasksPerWorker
  const perWorker = limit > 0 ? Math.min(limit, taskCount) : taskCount
  return workers
    .flatMap(worker => worker.expectedStartTimes(step.spec, perWorker).map(inMs => ({ worker, inMs })))
    .sort((left, right) => left.inMs - right.inMs)
    .slice(0, taskCount)
}
