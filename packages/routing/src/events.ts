/** What the request router is told and what it asks its front end to do. */
import type { BackendServerRecord, Failure, RequestSpec, SendProgress } from '@comfreygrade/core'

/** How a backend server's answer counts for routing. */
export type AnswerQuality = 'success' | 'server_error'

/** Why an attempt ended without an answer; also the tag of the `retry` counter. */
export type AttemptFailureReason = 'connect_failed' | 'rejected' | 'connection_lost' | 'attempt_timeout'

/** Whether a non-repeatable request may be dispatched; decided by the replicated log. */
export type ClaimDecision =
  | { readonly kind: 'granted' }
  | { readonly kind: 'refused', readonly failure: Failure }

/** What is recorded about a claim once the request has ended. */
export type ClaimOutcome = 'completed' | 'not_run' | 'unknown'

/** Events of the router; all times are monotonic milliseconds of the same clock. */
export type RoutingEvent =
  | { readonly kind: 'arrived', readonly request: RequestSpec }
  | { readonly kind: 'claim_decided', readonly requestId: string, readonly decision: ClaimDecision }
  | { readonly kind: 'answered', readonly requestId: string, readonly attempt: number, readonly quality: AnswerQuality }
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

/** Effects of the router. Each request gets exactly one `answer` or `refuse`. */
export type RoutingEffect =
  | { readonly kind: 'claim', readonly request: RequestSpec }
  | {
    readonly kind: 'dispatch'
    readonly request: RequestSpec
    readonly attempt: number
    readonly backendServer: BackendServerRecord
    /** The front end reports `attempt_timeout` when no answer is complete at this time. */
    readonly timeoutAtMs: number
  }
  | { readonly kind: 'answer', readonly requestId: string, readonly attempt: number }
  | { readonly kind: 'refuse', readonly requestId: string, readonly failure: Failure }
  | { readonly kind: 'settle_claim', readonly request: RequestSpec, readonly outcome: ClaimOutcome }
