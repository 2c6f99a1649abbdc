/** Permissions of queues whose policy lets only some workers run a step. */
import type { Clock } from '@comfreygrade/core'
import { jobIdOf } from './jobs.js'

/** A permission for one worker. */
export interface Ticket {
  readonly workerId: string
  readonly ticket: string
}

interface HeldTicket {
  readonly ticket: string
  readonly incarnation: number
  readonly expiresAtMs: number
}

/** Tickets are used only while this much of their validity is left, for the way of the order. */
const TICKET_MARGIN_MS = 400

/** A call for advice that failed is repeated after this time. */
const RETRY_MS = 500

interface StepTickets {
  readonly byWorker: Map<string, HeldTicket>
  isAsking: boolean
  askAgainAtMs: number
}

/** Tickets in hand, by step. */
export class AdviceBook {
  readonly #clock: Clock
  readonly #steps = new Map<string, StepTickets>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Workers that may run a step now; undefined while that is not known. */
  permittedWorkers (key: string): ReadonlySet<string> | undefined {
    const step = this.#steps.get(key)
    if (step === undefined) return undefined
    const nowMs = this.#clock.monotonicMs()
    const permitted = [...step.byWorker].filter(([, held]) => held.expiresAtMs - TICKET_MARGIN_MS > nowMs)
    return permitted.length === 0 ? undefined : new Set(permitted.map(([workerId]) => workerId))
  }

  /** The ticket for a run of a step on this life of a worker. */
  ticketFor (key: string, workerId: string, incarnation: number): string | undefined {
    const held = this.#steps.get(key)?.byWorker.get(workerId)
    if (held === undefined || held.incarnation !== incarnation) return undefined
    return held.expiresAtMs > this.#clock.monotonicMs() ? held.ticket : undefined
  }

  /** Whether to ask for a step now; notes that it is being asked. */
  startAsking (key: string): boolean {
    const step = this.#steps.get(key) ?? { byWorker: new Map(), isAsking: false, askAgainAtMs: -Infinity }
    this.#steps.set(key, step)
    if (step.isAsking || this.#clock.monotonicMs() < step.askAgainAtMs) return false
    step.isAsking = true
    return true
  }

  /** Takes an answer; undefined where the call failed. */
  answered (
    key: string, tickets: readonly Ticket[] | undefined, incarnations: ReadonlyMap<string, number>, validMs: number,
    askedAtMs: number
  ): void {
    const step = this.#steps.get(key)
    if (step === undefined) return
    step.isAsking = false
    step.askAgainAtMs = this.#clock.monotonicMs() + RETRY_MS
    for (const { workerId, ticket } of tickets ?? []) {
      const incarnation = incarnations.get(workerId)
      if (incarnation === undefined) continue
      step.byWorker.set(workerId, { ticket, incarnation, expiresAtMs: askedAtMs + validMs })
    }
  }

  /** Forgets the steps of jobs that have ended. */
  retain (isOpen: (jobId: string) => boolean): void {
    for (const key of this.#steps.keys()) {
      if (!isOpen(jobIdOf(key))) this.#steps.delete(key)
    }
  }
}
