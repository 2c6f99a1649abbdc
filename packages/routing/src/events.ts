/** Events and effects: the interface between the request router and its front end. */
import type { BackendServerRecord, Failure, RequestSpec, SendProgress } from '@comfreygrade/core'

/** Whether an answer of a backend server counts as a success. */
export type AnswerStatus = 'success' | 'server_error'

/** Why an attempt ended without an answer; also the tag of the `retry` counter. */
export type AttemptFailureReason = 'connect_failed' | 'rejected' | 'connection_lost' | 'attempt_timeout'

/** Whether a non-repeatable request with an idempotency key may be dispatched; decided through the replicated log. */
export type ClaimDecision =
  | { readonly kind: 'granted' }
  | { readonly kind: 'refused', readonly failure: Failure }

/** Outcome recorded for a claim when its request ends. */
export type ClaimOutcome = 'completed' | 'not_run' | 'unknown'

/** Input of the router; all times are milliseconds of the same monotonic clock. */
export type RoutingEvent =
  | { readonly kind: 'arrived', readonly request: RequestSpec }
  | { readonly kind: 'claim_decided', readonly requestId: string, readonly decision: ClaimDecision }
  | { readonly kind: 'answered', readonly requestId: string, readonly attempt: number, readonly quality: AnswerStatus }
  | {
    readonly kind: 'attempt_failed'
    readonly requestId: string
    readonly attempt: number
    readonly progress: SendProgress
    readonly reason: AttemptFailureReason
  }
  | { readonly kind: 'caller_gone', readonly requestId: string }
  | { readonly kind: 'drain_started' }
  | { readonly kind: 'tick' }

/** Actions for the front end. Each request gets exactly one `answer` or `refuse`. */
export type RoutingEffect =
  | { readonly kind: 'claim', readonly request: RequestSpec }
  | {
    readonly kind: 'dispatch'
    readonly request: RequestSpec
    readonly attempt: number
    readonly backendServer: BackendServerRecord
    /** The front end reports `attempt_timeout` if the answer is not complete at this time. */
    readonly timeoutAtMs: number
  }
  | { readonly kind: 'answer', readonly requestId: string, readonly attempt: number }
  | { readonly kind: 'refuse', readonly requestId: string, readonly failure: Failure }
  | { readonly kind: 'settle_claim', readonly request: RequestSpec, readonly outcome: ClaimOutcome }
