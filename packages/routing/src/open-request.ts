/** One request between its arrival and its outcome, with everything that is known about its attempts. */
import { failure, type Failure, type RequestSpec, type SendProgress } from '@comfreygrade/core'
import type { AttemptFailureReason, ClaimOutcome } from './events.js'
import type { QueueItem } from './request-queue.js'
import type { ServerState } from './servers.js'
import type { WorkClass } from './service-classes.js'
import type { Timer } from './timers.js'

/** Why a request is repeated; also the tag of the `retry` counter. */
export type RetryReason = AttemptFailureReason | 'server_error'

/** Where a request is on its way. An ended request is kept while an attempt or a claim decision is outstanding. */
export type RequestPhase = 'claiming' | 'queued' | 'backing_off' | 'running' | 'ended'

/** State of the claim of a non-repeatable request. */
export type ClaimState = 'none' | 'pending' | 'granted' | 'settled'

/** What is known about whether an attempt ran. */
export type AttemptResolution = 'open' | 'not_run' | 'may_have_run'

/** One dispatch of a request. */
export interface Attempt {
  readonly number: number
  readonly server: ServerState
  readonly workClass: WorkClass
  readonly startedAtMs: number
  resolution: AttemptResolution
  reason?: RetryReason
  timer?: Timer
}

/** A request that has no outcome yet, or whose attempt or claim is still outstanding. */
export class OpenRequest implements QueueItem {
  readonly request: RequestSpec
  readonly avoid = new Set<string>()
  phase: RequestPhase = 'queued'
  claim: ClaimState = 'none'
  isCallerGone = false
  isOutOfBudget = false
  /** Weight of the organisation when the request began to wait. */
  weight = 1
  workClass: WorkClass = 'short'
  workMs = 0
  queuedAtMs = 0
  deadlineTimer?: Timer
  backoffTimer?: Timer
  readonly #attempts: Attempt[] = []

  constructor (request: RequestSpec) {
    this.request = request
  }

  get organisationId (): string {
    return this.request.organisationId
  }

  get deadlineAtMs (): number {
    return this.request.deadlineAtMs
  }

  get isIdempotent (): boolean {
    return this.request.repeatability === 'idempotent'
  }

  /** Number of dispatches so far. */
  get attempts (): number {
    return this.#attempts.length
  }

  /** Attempts that ended by their timeout. */
  get timeouts (): number {
    return this.#attempts.filter(attempt => attempt.reason === 'attempt_timeout').length
  }

  /** Whether any attempt ran or may still run; only where this is false may the caller be told "not run". */
  get mayHaveRun (): boolean {
    return this.#attempts.some(attempt => attempt.resolution !== 'not_run')
  }

  /** Whether another attempt can do no harm. */
  get mayBeRepeated (): boolean {
    return this.isIdempotent || !this.mayHaveRun
  }

  /** The attempt without a report, if any. */
  get openAttempt (): Attempt | undefined {
    const last = this.#attempts.at(-1)
    return last?.resolution === 'open' ? last : undefined
  }

  /** The attempt of a number. */
  attempt (number: number): Attempt | undefined {
    return this.#attempts[number - 1]
  }

  /** Records a dispatch. */
  begin (server: ServerState, nowMs: number): Attempt {
    const number = this.#attempts.length + 1
    const attempt: Attempt = { number, server, workClass: this.workClass, startedAtMs: nowMs, resolution: 'open' }
    this.#attempts.push(attempt)
    this.phase = 'running'
    return attempt
  }

  /** The failure to answer with where nothing better is known than the state of the attempts. */
  endFailure (notRun: Failure): Failure {
    if (!this.mayHaveRun) return notRun
    const reason = this.#attempts.findLast(attempt => attempt.resolution === 'may_have_run')?.reason ?? 'attempt_timeout'
    const detail = `attempt ended with ${reason} after the request may have been sent; it may have run`
    return failure(reason === 'server_error' ? 'backend_failed' : 'outcome_unknown', detail)
  }

  /** The failure of a request that never ran and whose deadline passed or is too near. */
  lateFailure (): Failure {
    if (this.isOutOfBudget) return failure('retry_budget_exhausted', 'no retry was left before the deadline')
    if (this.attempts > 0) return failure('backend_unreachable', `${this.attempts} attempts ended before the work ran`)
    return failure('deadline_exceeded', `the deadline passed while the request was ${this.phase}`)
  }

  /** What is recorded about the claim when the request ends without a successful answer. */
  get claimOutcome (): ClaimOutcome {
    return this.mayHaveRun ? 'unknown' : 'not_run'
  }
}

/**
 * What a failed attempt proves. A rejection is the backend server's own statement that it did not run the work.
 *
 * @example
 * resolutionOf('maybe_sent', 'rejected') // 'not_run'
 */
export function resolutionOf (progress: SendProgress, reason: AttemptFailureReason): AttemptResolution {
  return progress === 'not_sent' || reason === 'rejected' ? 'not_run' : 'may_have_run'
}
