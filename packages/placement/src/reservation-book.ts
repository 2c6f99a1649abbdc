/** Start-time reservations in force, one for each accelerator model. */
import type { Fleet } from './fleet.js'
import type { JobRecord } from './jobs.js'
import type { Reservation } from './reservations.js'

/** Keeps reserved cells marked as used, so that later jobs do not take them. */
export class ReservationBook {
  readonly #fleet: Fleet
  readonly #reservations = new Map<string, Reservation>()

  constructor (fleet: Fleet) {
    this.#fleet = fleet
  }

  /** Reservations by accelerator model. */
  get all (): ReadonlyMap<string, Reservation> {
    return this.#reservations
  }

  /** The reservation for an accelerator model. */
  of (acceleratorModel: string): Reservation | undefined {
    return this.#reservations.get(acceleratorModel)
  }

  /** Whether the job holds a reservation. */
  isHolder (job: JobRecord): boolean {
    return this.#reservations.get(job.spec.acceleratorModel)?.job === job
  }

  /** Puts a reservation into force; there must be none for its model. */
  keep (reservation: Reservation): void {
    const { job, cells } = reservation
    for (const cell of cells) this.#fleet.used.mark(cell)
    this.#reservations.set(job.spec.acceleratorModel, reservation)
  }

  /** Ends the reservation of a model and gives it, if there was one. */
  drop (acceleratorModel: string): Reservation | undefined {
    const reservation = this.#reservations.get(acceleratorModel)
    if (reservation === undefined) return undefined
    for (const cell of reservation.cells) this.#fleet.used.unmark(cell)
    this.#reservations.delete(acceleratorModel)
    return reservation
  }

  /** Runs a search that may use reserved cells. */
  without<T> (search: () => T): T {
    const cells = [...this.#reservations.values()].flatMap(reservation => reservation.cells)
    for (const cell of cells) this.#fleet.used.unmark(cell)
    const result = search()
    for (const cell of cells) this.#fleet.used.mark(cell)
    return result
  }
}
