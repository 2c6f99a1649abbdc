/** State of one request from its arrival to its outcome, including its attempts. */
import { failure, type Failure, type RequestSpec, type SendProgress } from '@comfreygrade/core'
import type { AttemptFailureReason, ClaimOutcome } from './events.js'
import type { QueueItem } from './request-queue.js'
import type { ServerState } from './server-pool.js'
import type { WorkClass } from './service-time-estimator.js'
import type { Timer } from './timer-heap.js'

/** Why a request is retried; also the label `reason` of the `retry` counter. */
export type RetryReason = AttemptFailureReason | 'server_error'

/** Phase in the life cycle of a request. An ended request is kept while an attempt or a claim decision is pending. */
export type RequestPhase = 'claiming' | 'queued' | 'backing_off' | 'running' | 'ended'

/**
 * State of the claim that a non-repeatable request with an idempotency key needs before its first attempt; `none` if no
 * claim is needed or the claim was refused.
 */
export type ClaimState = 'none' | 'pending' | 'granted' | 'settled'

/** What is known about whether the backend server executed an attempt; `open` while the attempt is pending. */
export type ExecutionStatus = 'open' | 'not_run' | 'may_have_run'

/** One dispatch of a request to a backend server. */
export interface Attempt {
  readonly attemptNumber: number
  readonly server: ServerState
  readonly workClass: WorkClass
  readonly startedAtMs: number
  executionStatus: ExecutionStatus
  failureReason?: RetryReason
  timer?: Timer
}

/**
 * A request that the router holds: one that has no outcome yet, or that has a pending attempt or claim decision. The
 * setting `maxOpenRequests` limits these; `RequestRouter.openRequests` counts only some of them.
 */
export class HeldRequest implements QueueItem {
  readonly spec: RequestSpec
  readonly attemptedServerIds = new Set<string>()
  phase: RequestPhase = 'queued'
  claim: ClaimState = 'none'
  isCallerDisconnected = false
  isRetryBudgetExhausted = false
  /** Weight of the organisation when the request was queued. */
  weight = 1
  workClass: WorkClass = 'short'
  expectedServiceTimeMs = 0
  queuedAtMs = 0
  deadlineTimer?: Timer
  backoffTimer?: Timer
  readonly #attempts: Attempt[] = []

  constructor (spec: RequestSpec) {
    this.spec = spec
  }

  get organisationId (): string {
    return this.spec.organisationId
  }

  get deadlineAtMs (): number {
    return this.spec.deadlineAtMs
  }

  get isIdempotent (): boolean {
    return this.spec.repeatability === 'idempotent'
  }

  get attemptCount (): number {
    return this.#attempts.length
  }

  /** Number of attempts that timed out. */
  get timeoutCount (): number {
    return this.#attempts.filter(attempt => attempt.failureReason === 'attempt_timeout').length
  }

  /** Whether any attempt ran or may still run. Only if this is false may the outcome be reported as `not_run`. */
  get mayHaveRun (): boolean {
    return this.#attempts.some(attempt => attempt.executionStatus !== 'not_run')
  }

  /** Whether another attempt is safe: it cannot execute a non-repeatable request a second time. */
  get mayRetry (): boolean {
    return this.isIdempotent || !this.mayHaveRun
  }

  /** The pending attempt, whose result has not been reported yet, if any. */
  get pendingAttempt (): Attempt | undefined {
    const last = this.#attempts.at(-1)
    return last?.executionStatus === 'open' ? last : undefined
  }

  /** The attempt with the given number, starting at 1. */
  attemptByNumber (attemptNumber: number): Attempt | undefined {
    return this.#attempts[attemptNumber - 1]
  }

  beginAttempt (server: ServerState, nowMs: number): Attempt {
    const attemptNumber = this.#attempts.length + 1
    const attempt: Attempt = {
      attemptNumber,
      server,
      workClass: this.workClass,
      startedAtMs: nowMs,
      executionStatus: 'open'
    }
    this.#attempts.push(attempt)
    this.phase = 'running'
    return attempt
  }

  /** `notRunFailure` if no attempt may have run, otherwise a failure which states that the request may have run. */
  outcomeFailure (notRunFailure: Failure): Failure {
    if (!this.mayHaveRun) return notRunFailure
    // The default applies if the only attempt that may have run is still pending.
    const reason =
      this.#attempts.findLast(attempt => attempt.executionStatus === 'may_have_run')?.failureReason ?? 'attempt_timeout'
    const detail = `attempt failed with ${reason} after the request may have been sent; it may have been executed`
    return failure(reason === 'server_error' ? 'backend_failed' : 'outcome_unknown', detail)
  }

  /** The failure of a request that never ran and whose deadline has passed or can no longer be met. */
  deadlineFailure (): Failure {
    if (this.isRetryBudgetExhausted) return failure('retry_budget_exhausted', 'the retry budget stayed empty until the deadline')
    if (this.attemptCount > 0) return failure('backend_unreachable', `${this.attemptCount} attempts failed before the request was executed`)
    return failure('deadline_exceeded', `the deadline passed or could no longer be met before the request was sent (phase ${this.phase})`)
  }

  /** Outcome to record for the claim if the request ends without a successful answer. */
  get claimOutcome (): ClaimOutcome {
    return this.mayHaveRun ? 'unknown' : 'not_run'
  }
}

/**
 * Whether a failed attempt may have run. With a rejection, the backend server itself states that it did not run the
 * request.
 *
 * @example
 * executionStatusOfFailure('maybe_sent', 'rejected') // 'not_run'
 */
export function executionStatusOfFailure (progress: SendProgress, reason: AttemptFailureReason): ExecutionStatus {
  return progress === 'not_sent' || reason === 'rejected' ? 'not_run' : 'may_have_run'
}
