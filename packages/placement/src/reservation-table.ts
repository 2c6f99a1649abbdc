/**
 * Active start-time reservations, at most one for each accelerator model: for the first job in the waiting order that
 * does not fit, unless one of higher priority that does not fit takes its place.
 */
import type { Fleet } from './fleet.js'
import type { JobRecord } from './job-record.js'
import type { Reservation } from './start-forecaster.js'

/** Keeps reserved cells marked as used, so that backfilled jobs do not take them; guaranteed and urgent plans may. */
export class ReservationTable {
  readonly #fleet: Fleet
  readonly #byModel = new Map<string, Reservation>()

  constructor (fleet: Fleet) {
    this.#fleet = fleet
  }

  /** Reservations by accelerator model. */
  get byModel (): ReadonlyMap<string, Reservation> {
    return this.#byModel
  }

  /** The reservation for an accelerator model, if any. */
  forModel (acceleratorModel: string): Reservation | undefined {
    return this.#byModel.get(acceleratorModel)
  }

  /** Whether the job holds a reservation. */
  hasReservation (job: JobRecord): boolean {
    return this.#byModel.get(job.spec.acceleratorModel)?.job === job
  }

  /** Adds a reservation; there must be none for its accelerator model. */
  add (reservation: Reservation): void {
    const { job, cells } = reservation
    for (const cell of cells) this.#fleet.used.mark(cell)
    this.#byModel.set(job.spec.acceleratorModel, reservation)
  }

  /** Removes and returns the reservation for an accelerator model, if any. */
  remove (acceleratorModel: string): Reservation | undefined {
    const reservation = this.#byModel.get(acceleratorModel)
    if (reservation === undefined) return undefined
    for (const cell of reservation.cells) this.#fleet.used.unmark(cell)
    this.#byModel.delete(acceleratorModel)
    return reservation
  }

  /** Runs a search with the reserved cells unmarked, so that it may use them. */
  withoutReservations<T> (search: () => T): T {
    const cells = [...this.#byModel.values()].flatMap(reservation => reservation.cells)
    for (const cell of cells) this.#fleet.used.unmark(cell)
    const result = search()
    for (const cell of cells) this.#fleet.used.mark(cell)
    return result
  }
}
