/**
 * Events and effects: the interface between the request router and its front end, the part of an entry VM that accepts
 * requests from callers and exchanges messages with the backend servers. Attempts of a request are numbered from 1.
 */
import type { BackendServerRecord, Failure, RequestSpec, SendProgress } from '@comfreygrade/core'

/** Whether an answer of a backend server counts as a success. */
export type AnswerStatus = 'success' | 'server_error'

/**
 * Why an attempt ended without a result; also the label `reason` of the `retry` counter.
 *
 * - `connect_failed`: the connection failed before anything was sent
 * - `rejected`: the backend server stated that it did not run the request
 * - `connection_lost`: the connection was lost or closed; `progress` tells whether the request may have been sent
 * - `attempt_timeout`: no complete answer before the timeout of the attempt
 */
export type AttemptFailureReason = 'connect_failed' | 'rejected' | 'connection_lost' | 'attempt_timeout'

/**
 * Whether a non-repeatable request with an idempotency key may be dispatched; decided through the replicated log. The
 * claim reserves the key, so that requests with the same key are not run twice, whichever entry VM they reach.
 */
export type ClaimDecision =
  | { readonly kind: 'granted' }
  | { readonly kind: 'refused', readonly failure: Failure }

/** Outcome recorded for a claim when its request ends. */
export type ClaimOutcome = 'completed' | 'not_run' | 'unknown'

/** Input of the router; all times are milliseconds of the same monotonic clock. */
export type RoutingEvent =
  | { readonly kind: 'arrived', readonly request: RequestSpec }
  | { readonly kind: 'claim_decided', readonly requestId: string, readonly decision: ClaimDecision }
  | { readonly kind: 'answered', readonly requestId: string, readonly attempt: number, readonly status: AnswerStatus }
  | {
    readonly kind: 'attempt_failed'
    readonly requestId: string
    readonly attempt: number
    readonly progress: SendProgress
    readonly reason: AttemptFailureReason
  }
  /** The caller disconnected, so that no answer can reach it. */
  | { readonly kind: 'caller_gone', readonly requestId: string }
  /**
   * The entry VM shuts down: new requests and those that cannot have run are refused, the others are completed. This is
   * not the drain of a backend server, which operators start (`BackendRegistry.setDraining`).
   */
  | { readonly kind: 'drain_started' }
  | { readonly kind: 'tick' }

/**
 * Actions for the front end. Each request gets exactly one `answer` or `refuse`; one whose ID is already held gets
 * none.
 */
export type RoutingEffect =
  /** Request a claim for the idempotency key of the request, and report the decision with `claim_decided`. */
  | { readonly kind: 'claim', readonly request: RequestSpec }
  | {
    readonly kind: 'dispatch'
    readonly request: RequestSpec
    readonly attempt: number
    readonly backendServer: BackendServerRecord
    /** The front end reports `attempt_timeout` if the answer is not complete at this time. */
    readonly timeoutAtMs: number
  }
  /** Pass the answer that this attempt got from its backend server to the caller. */
  | { readonly kind: 'answer', readonly requestId: string, readonly attempt: number }
  | { readonly kind: 'refuse', readonly requestId: string, readonly failure: Failure }
  /** Record the outcome of a request whose claim was granted. */
  | { readonly kind: 'settle_claim', readonly request: RequestSpec, readonly outcome: ClaimOutcome }
