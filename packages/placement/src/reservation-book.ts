/** Start-time reservations in force, one for each accelerator model. */
import type { Fleet } from './fleet.js'
import type { JobRecord } from './jobs.js'
import type { Reservation } from './reservations.js'

/** Keeps reserved cells marked as used, so that later jobs do not take them. */
export class ReservationBook {
  readonly #fleet: Fleet
  readonly #overdueAfterMs: number
  readonly #reservations = new Map<string, Reservation>()
  /** When a job that holds or held a reservation becomes overdue. */
  readonly #dueMs = new WeakMap<JobRecord, number>()

  /** @param overdueAfterMs longest time that a reservation is held before it is overdue */
  constructor (fleet: Fleet, overdueAfterMs: number) {
    this.#fleet = fleet
    this.#overdueAfterMs = overdueAfterMs
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

  /** Whether lent jobs should leave for the job: its first reserved start, or the longest wait for it, has passed. */
  isOverdue (job: JobRecord, nowMs: number): boolean {
    return nowMs >= (this.#dueMs.get(job) ?? Infinity)
  }

  /** Puts a reservation into force; there must be none for its model. */
  keep (reservation: Reservation, nowMs: number): void {
    const { job, cells, startMs } = reservation
    for (const cell of cells) this.#fleet.used.mark(cell)
    this.#reservations.set(job.spec.acceleratorModel, reservation)
    if (!this.#dueMs.has(job)) this.#dueMs.set(job, Math.min(startMs, nowMs + this.#overdueAfterMs))
  }

  /** Ends the reservation of a model and gives it, if there was one. */
  drop (acceleratorModel: string): Reservation | undefined {
    const reservation = this.#reservations.get(acceleratorModel)
    if (reservation === undefined) return undefined
    for (const cell of reservation.cells) this.#fleet.used.unmark(cell)
    this.#reservations.delete(acceleratorModel)
    return reservation
  }

  /** A job has started; a later reservation for it gets a new due time. */
  started (job: JobRecord): void {
    this.#dueMs.delete(job)
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
