/** Cache of the tickets that the advice service grants for queues whose policy lets only some workers run a step. */
import type { Clock } from '@comfreygrade/core'
import type { WorkerIncarnation } from './commands.js'
import { jobIdOf } from './jobs.js'

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
  readonly requestedAtMs: number
  readonly expiresAtMs: number
}

interface StepAdvice {
  readonly answers: Map<string, WorkerAdvice>
  /** Incarnations of the workers that the open request names; undefined without an open request. */
  requested: ReadonlyMap<string, number> | undefined
  nextRequestAtMs: number
}

/** Validity that a ticket must have left to be considered in placement, since the start order takes time to arrive. */
const TICKET_EXPIRY_MARGIN_MS = 400

/** Time until a failed request is repeated. */
const RETRY_INTERVAL_MS = 500

/** Time until a step is considered again for which no worker was left to ask for. */
const CANDIDATE_CHECK_INTERVAL_MS = 100

/**
 * Time after which workers that were denied are asked for again where no worker is permitted. The service does not
 * change its answers, so this covers only a wrong one.
 */
const DENIAL_RETRY_MS = 10_000

/**
 * Most open requests of all steps. The service answers the requests of one caller one after the other, so more of them
 * would only wait there, where a later step that is more urgent cannot overtake them.
 */
const MAX_OPEN_REQUESTS = 4

/** Options of {@link TicketCache}. */
export interface TicketCacheOptions {
  readonly clock: Clock
  /** Most workers that one request may name. */
  readonly maxWorkersPerRequest: number
}

/**
 * Tickets by step. A fleet larger than one request may name is asked for in several requests, one after the other, so
 * that every worker that could run the step is asked for once.
 *
 * @example
 * const workerIds = cache.startRequest('5c0e.0.0', () => registry.adviceCandidates(step))
 * cache.completeRequest('5c0e.0.0', { tickets, requestedAtMs, validMs })
 */
export class TicketCache {
  readonly #options: TicketCacheOptions
  readonly #steps = new Map<string, StepAdvice>()
  readonly #openRequests = new Set<string>()

  constructor (options: TicketCacheOptions) {
    this.#options = options
  }

  /** Incarnations of the workers with a valid ticket for a step, by worker. */
  permittedWorkers (key: string): ReadonlyMap<string, number> {
    const permitted = new Map<string, number>()
    const minExpiryMs = this.#options.clock.monotonicMs() + TICKET_EXPIRY_MARGIN_MS
    for (const [workerId, advice] of this.#steps.get(key)?.answers ?? []) {
      if (hasTicketUntil(advice, minExpiryMs)) permitted.set(workerId, advice.incarnation)
    }
    return permitted
  }

  /** The valid ticket for a run of a step on this incarnation of a worker. */
  ticketFor (key: string, { workerId, incarnation }: WorkerIncarnation): string | undefined {
    const advice = this.#steps.get(key)?.answers.get(workerId)
    if (advice === undefined || advice.incarnation !== incarnation) return undefined
    return advice.expiresAtMs > this.#options.clock.monotonicMs() ? advice.ticket : undefined
  }

  /**
   * Begins the next request for a step; returns the workers that it names, none where no request is due. `candidates`
   * lists the workers that could run the step and is called only where a request may be made.
   */
  startRequest (key: string, candidates: () => readonly WorkerIncarnation[]): string[] {
    const nowMs = this.#options.clock.monotonicMs()
    const step = this.#stepAdvice(key)
    if (step.requested !== undefined || nowMs < step.nextRequestAtMs) return []
    if (this.#openRequests.size >= MAX_OPEN_REQUESTS) return []
    const chosen = chooseWorkers(step.answers, candidates(), nowMs).slice(0, this.#options.maxWorkersPerRequest)
    if (chosen.length === 0) {
      step.nextRequestAtMs = nowMs + CANDIDATE_CHECK_INTERVAL_MS
      return []
    }
    step.requested = new Map(chosen.map(({ workerId, incarnation }) => [workerId, incarnation]))
    this.#openRequests.add(key)
    return chosen.map(({ workerId }) => workerId)
  }

  #stepAdvice (key: string): StepAdvice {
    const known = this.#steps.get(key)
    if (known !== undefined) return known
    const step: StepAdvice = { answers: new Map(), requested: undefined, nextRequestAtMs: -Infinity }
    this.#steps.set(key, step)
    return step
  }

  /** Stores the answer to the open request of a step; `tickets` is undefined where the call failed. */
  completeRequest (
    key: string,
    answer: {
      readonly tickets: readonly Ticket[] | undefined
      readonly requestedAtMs: number
      /** Time for which the tickets are valid after the request. */
      readonly validMs: number
    }
  ): void {
    const { tickets, requestedAtMs, validMs } = answer
    this.#openRequests.delete(key)
    const step = this.#steps.get(key)
    if (step?.requested === undefined) return
    const granted = new Map(tickets?.map(({ workerId, ticket }) => [workerId, ticket]))
    for (const [workerId, incarnation] of tickets === undefined ? [] : step.requested) {
      const ticket = granted.get(workerId)
      step.answers.set(workerId, { incarnation, ticket, requestedAtMs, expiresAtMs: requestedAtMs + validMs })
    }
    step.requested = undefined
    if (tickets === undefined) step.nextRequestAtMs = this.#options.clock.monotonicMs() + RETRY_INTERVAL_MS
  }

  /** Removes the steps of jobs that have ended. */
  retainOpenJobs (isOpen: (jobId: string) => boolean): void {
    for (const key of this.#steps.keys()) {
      if (!isOpen(jobIdOf(key))) this.#steps.delete(key)
    }
  }
}

function hasTicketUntil ({ ticket, expiresAtMs }: WorkerAdvice, minExpiryMs: number): boolean {
  return ticket !== undefined && expiresAtMs > minExpiryMs
}

/**
 * The workers to ask for: first those whose tickets have expired, since they are permitted, then those that were not
 * asked for in this incarnation. Those that were denied follow only where no candidate is permitted.
 */
function chooseWorkers (
  answers: ReadonlyMap<string, WorkerAdvice>, candidates: readonly WorkerIncarnation[], nowMs: number
): WorkerIncarnation[] {
  const expired: WorkerIncarnation[] = []
  const unasked: WorkerIncarnation[] = []
  const denied: WorkerIncarnation[] = []
  let isAnyPermitted = false
  for (const worker of candidates) {
    const advice = answers.get(worker.workerId)
    if (advice === undefined || advice.incarnation !== worker.incarnation) unasked.push(worker)
    else if (advice.ticket === undefined) {
      if (nowMs - advice.requestedAtMs >= DENIAL_RETRY_MS) denied.push(worker)
    } else {
      isAnyPermitted = true
      if (!hasTicketUntil(advice, nowMs + TICKET_EXPIRY_MARGIN_MS)) expired.push(worker)
    }
  }
  return isAnyPermitted ? [...expired, ...unasked] : [...unasked, ...denied]
}
