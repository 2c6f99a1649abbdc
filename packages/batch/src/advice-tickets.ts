/** Cache of the tickets that the advice service grants for queues whose policy lets only some workers run a step. */
import type { Clock } from '@comfreygrade/core'
import type { WorkerIncarnation } from './commands.js'

/** Permission to run a step on one worker. */
export interface Ticket {
  readonly workerId: string
  readonly ticket: string
}

/** The latest answer of the advice service about a worker. */
interface WorkerAdvice {
  readonly incarnation: number
  /** Undefined where the service granted none. */
  readonly ticket: string | undefined
  readonly answeredAtMs: number
  readonly expiresAtMs: number
  /** Time until which placement considers the ticket. */
  readonly usableUntilMs: number
}

/** An answer of the service. */
export interface Advice {
  /** The workers that were asked for, with the incarnations that the tickets count for. */
  readonly asked: readonly WorkerIncarnation[]
  readonly tickets: readonly Ticket[]
  readonly expiresAtMs: number
  /** How long each ticket is valid in all. */
  readonly validityMs: number
}

/** Workers to ask for, and how many of all candidates were granted a ticket before. */
export interface AskableWorkers {
  /** Those that were granted a ticket before come first. */
  readonly workers: readonly WorkerIncarnation[]
  /** Workers with a ticket that is valid for longer. */
  readonly permitted: readonly WorkerIncarnation[]
  readonly answeredCount: number
  readonly grantedCount: number
}

/**
 * Validity that a ticket must have left to be considered in placement, since the start order takes time to arrive. For
 * tickets that are valid for less than twice this time it is half of their validity, or none could ever be used.
 */
export const TICKET_EXPIRY_MARGIN_MS = 400

/**
 * Time after which workers that were denied are asked for again where no worker is permitted. The service does not
 * change its answers, so this covers only a wrong one.
 */
const DENIAL_RETRY_MS = 10_000

/**
 * Tickets by step.
 *
 * @example
 * cache.record('5c0e.0.0', { asked, tickets, expiresAtMs, validityMs })
 * cache.permittedWorkers('5c0e.0.0') // Map { 'w1' => 1000 }
 */
export class TicketCache {
  readonly #clock: Clock
  readonly #steps = new Map<string, Map<string, WorkerAdvice>>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Incarnations of the workers with a valid ticket for a step, by worker. */
  permittedWorkers (key: string): ReadonlyMap<string, number> {
    const permitted = new Map<string, number>()
    const nowMs = this.#clock.monotonicMs()
    for (const [workerId, advice] of this.#steps.get(key) ?? []) {
      if (isUsableAt(advice, nowMs)) permitted.set(workerId, advice.incarnation)
    }
    return permitted
  }

  /** The valid ticket for a run of a step on this incarnation of a worker. */
  ticketFor (key: string, { workerId, incarnation }: WorkerIncarnation): string | undefined {
    const advice = this.#steps.get(key)?.get(workerId)
    if (advice === undefined || advice.incarnation !== incarnation) return undefined
    return advice.expiresAtMs > this.#clock.monotonicMs() ? advice.ticket : undefined
  }

  /**
   * The workers to ask for among those that could run a step: first those whose tickets expire within `renewLeadMs`,
   * since they are permitted, then those that were not asked for in this incarnation. Those that were denied follow
   * only where no candidate is permitted.
   */
  askableWorkers (key: string, candidates: readonly WorkerIncarnation[], renewLeadMs: number): AskableWorkers {
    const nowMs = this.#clock.monotonicMs()
    const renewedAtMs = nowMs + renewLeadMs
    const answers = this.#steps.get(key)
    const expiring: WorkerIncarnation[] = []
    const permitted: WorkerIncarnation[] = []
    const unasked: WorkerIncarnation[] = []
    const denied: WorkerIncarnation[] = []
    for (const worker of candidates) {
      const advice = answers?.get(worker.workerId)
      if (advice === undefined || advice.incarnation !== worker.incarnation) unasked.push(worker)
      else if (advice.ticket !== undefined) (isUsableAt(advice, renewedAtMs) ? permitted : expiring).push(worker)
      else if (nowMs - advice.answeredAtMs >= DENIAL_RETRY_MS) denied.push(worker)
    }
    const grantedCount = expiring.length + permitted.length
    const workers = grantedCount > 0 ? [...expiring, ...unasked] : [...unasked, ...denied]
    return { workers, permitted, grantedCount, answeredCount: candidates.length - unasked.length }
  }

  /** Stores an answer; a worker that was asked for and has no ticket was denied. */
  record (key: string, { asked, tickets, expiresAtMs, validityMs }: Advice): void {
    const answers = this.#steps.get(key) ?? new Map<string, WorkerAdvice>()
    this.#steps.set(key, answers)
    const answeredAtMs = this.#clock.monotonicMs()
    const usableUntilMs = expiresAtMs - Math.min(TICKET_EXPIRY_MARGIN_MS, validityMs / 2)
    const granted = new Map(tickets.map(({ workerId, ticket }) => [workerId, ticket]))
    for (const { workerId, incarnation } of asked) {
      const ticket = granted.get(workerId)
      answers.set(workerId, { incarnation, ticket, answeredAtMs, expiresAtMs, usableUntilMs })
    }
  }

  /** Removes the steps that need no tickets any more. */
  retainSteps (isOpen: (key: string) => boolean): void {
    for (const key of this.#steps.keys()) if (!isOpen(key)) this.#steps.delete(key)
  }
}

function isUsableAt ({ ticket, usableUntilMs }: WorkerAdvice, atMs: number): boolean {
  return ticket !== undefined && usableUntilMs > atMs
}
