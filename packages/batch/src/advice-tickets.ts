/** Cache of the tickets that the advice service grants for queues whose policy lets only some workers run a step. */
import type { Clock } from '@comfreygrade/core'
import { jobIdOf } from './jobs.js'

/** Permission to run a step on one worker. */
export interface Ticket {
  readonly workerId: string
  readonly ticket: string
}

interface CachedTicket {
  readonly ticket: string
  readonly incarnation: number
  readonly expiresAtMs: number
}

/** Validity that a ticket must have left to be considered in placement, since the start order takes time to arrive. */
const TICKET_EXPIRY_MARGIN_MS = 400

/** Shortest time from an answer of the advice service until the next request for the same step. */
const REQUEST_INTERVAL_MS = 500

interface StepTickets {
  readonly ticketsByWorker: Map<string, CachedTicket>
  isRequestPending: boolean
  nextRequestAtMs: number
}

/** Tickets by step. */
export class TicketCache {
  readonly #clock: Clock
  readonly #steps = new Map<string, StepTickets>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Workers with a valid ticket for a step; undefined while there is none. */
  permittedWorkers (key: string): ReadonlySet<string> | undefined {
    const step = this.#steps.get(key)
    if (step === undefined) return undefined
    const nowMs = this.#clock.monotonicMs()
    const permitted = [...step.ticketsByWorker]
      .filter(([, cached]) => cached.expiresAtMs - TICKET_EXPIRY_MARGIN_MS > nowMs)
    return permitted.length === 0 ? undefined : new Set(permitted.map(([workerId]) => workerId))
  }

  /** The valid ticket for a run of a step on this incarnation of a worker. */
  ticketFor (key: string, workerId: string, incarnation: number): string | undefined {
    const cached = this.#steps.get(key)?.ticketsByWorker.get(workerId)
    if (cached === undefined || cached.incarnation !== incarnation) return undefined
    return cached.expiresAtMs > this.#clock.monotonicMs() ? cached.ticket : undefined
  }

  /** Marks a request for a step as pending; returns false where one is pending already or the next is not due. */
  tryStartRequest (key: string): boolean {
    const step = this.#steps.get(key) ??
      { ticketsByWorker: new Map(), isRequestPending: false, nextRequestAtMs: -Infinity }
    this.#steps.set(key, step)
    if (step.isRequestPending || this.#clock.monotonicMs() < step.nextRequestAtMs) return false
    step.isRequestPending = true
    return true
  }

  /** Stores the tickets of an answer; `tickets` is undefined where the call failed. */
  completeRequest (
    key: string, tickets: readonly Ticket[] | undefined, incarnations: ReadonlyMap<string, number>, validMs: number,
    requestedAtMs: number
  ): void {
    const step = this.#steps.get(key)
    if (step === undefined) return
    step.isRequestPending = false
    step.nextRequestAtMs = this.#clock.monotonicMs() + REQUEST_INTERVAL_MS
    for (const { workerId, ticket } of tickets ?? []) {
      const incarnation = incarnations.get(workerId)
      if (incarnation === undefined) continue
      step.ticketsByWorker.set(workerId, { ticket, incarnation, expiresAtMs: requestedAtMs + validMs })
    }
  }

  /** Removes the steps of jobs that have ended. */
  retainOpenJobs (isOpen: (jobId: string) => boolean): void {
    for (const key of this.#steps.keys()) {
      if (!isOpen(jobIdOf(key))) this.#steps.delete(key)
    }
  }
}
