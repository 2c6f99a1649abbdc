/**
 * Capacity reserved for steps that do not fit yet, so that smaller steps do not starve them. Other steps backfill
 * the reserved capacity until it is needed, as in EASY backfilling but with several reservations.
 */
import type { Candidates } from './worker-selection.js'
import type { WorkerCapacity } from './worker-capacity.js'
import type { WaitingStep } from './waiting-steps.js'

interface ExpectedStart {
  readonly worker: WorkerCapacity
  /** Time from now until the start. */
  readonly delayMs: number
}

/** Workers on which a step's tasks are expected to start, and when. */
export interface Reservation {
  readonly starts: readonly ExpectedStart[]
  /** Time from now until all tasks are expected to fit; `Infinity` where that is not expected. */
  readonly delayMs: number
}

/** Finds the workers on which the waiting tasks are expected to fit first; a gang stays within one group. */
function findReservation (step: WaitingStep, { groups }: Candidates): Reservation {
  const taskCount = step.taskIndexes.length
  let best: Reservation = { starts: [], delayMs: Infinity }
  for (const group of groups) {
    const starts = earliestStarts(step, taskCount, group)
    const delayMs = starts.length < taskCount ? Infinity : starts.at(-1)?.delayMs ?? Infinity
    if (delayMs < best.delayMs) best = { starts, delayMs }
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
 * Deducts the reservation from its workers; tasks that are estimated to end before the start may still use the
 * capacity.
 */
export function reserve ({ spec }: WaitingStep, { starts, delayMs }: Reservation): void {
  for (const start of starts) start.worker.reserve(spec, spec.isGang ? delayMs : start.delayMs)
}

/** Deducts a reservation that was made with an earlier view of the workers. */
export function reserveAgain (step: WaitingStep, reservation: Reservation, workers: readonly WorkerCapacity[]): void {
  const starts = reservation.starts.flatMap(({ worker: { view }, delayMs }) =>
    workers.filter(worker => worker.view === view).map(worker => ({ worker, delayMs })))
  reserve(step, { ...reservation, starts })
}

function earliestStarts (step: WaitingStep, taskCount: number, workers: readonly WorkerCapacity[]): ExpectedStart[] {
  const limit = step.spec.maxTasksPerWorker
  const perWorker = limit > 0 ? Math.min(limit, taskCount) : taskCount
  return workers
    .flatMap(worker => worker.expectedStartTimes(step.spec, perWorker).map(delayMs => ({ worker, delayMs })))
    .sort((left, right) => left.delayMs - right.delayMs)
    .slice(0, taskCount)
}
