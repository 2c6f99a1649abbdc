/** The closed list of error kinds and the one table that maps each of them to a response. */

/** Every kind of error that a response to a caller, operator, worker or backend server can have. */
export type ErrorKind =
  /** The request does not have the documented form, or a value is outside its limits. */
  | 'invalid_request'
  /** The request is valid except for fields or parameters that do not exist. */
  | 'unknown_field'
  /** The body exceeds `maxRequestBodyBytes`. */
  | 'body_too_large'
  /** The HTTP headers exceed their size limit. */
  | 'headers_too_large'
  /** The caller did not send the whole request in time. */
  | 'request_timeout'
  /** The organisation is not in the configuration. */
  | 'unknown_organisation'
  /** The service of a short request is not known. */
  | 'unknown_service'
  /** The job, worker, claim or other record named by the request does not exist. */
  | 'not_found'
  /** The route exists, but not for this HTTP method. */
  | 'method_not_allowed'
  /** The gang has more tasks than allowed, or the inventory has no place of the required shape. */
  | 'impossible_shape'
  /** The organisation would exceed one of its own limits, on accelerators, open jobs or claims. */
  | 'quota_exceeded'
  /** A queue, or the number of open jobs, claims or drains in the whole system, has reached its limit. */
  | 'queue_full'
  /** Given the expected wait and service time, the request would end after its deadline. */
  | 'deadline_unreachable'
  /** The deadline passed before an attempt was made. */
  | 'deadline_exceeded'
  /** No backend server announces the service. */
  | 'no_backend_server'
  /** The backend server or worker failed; the work may have been executed. */
  | 'backend_failed'
  /** All attempts ended before the work was executed. */
  | 'backend_unreachable'
  /** The work was not executed, and the retry budget did not allow a retry before the deadline. */
  | 'retry_budget_exhausted'
  /** The request may have been executed, but its result is not known. */
  | 'outcome_unknown'
  /** Another request with the same idempotency key is in progress. */
  | 'claim_in_progress'
  /** A request with the same idempotency key was completed; its response is not stored. */
  | 'claim_completed'
  /** The idempotency key was used before for a request with other content. */
  | 'key_reused'
  /**
   * The idempotency key was issued longer ago than claims are kept. Its claim may have been deleted, so whether the
   * request was executed can no longer be determined.
   */
  | 'key_expired'
  /** The idempotency key is not a version 7 UUID, or its issue time is in the future. */
  | 'key_invalid'
  /** A job with the same identifier but other content exists. */
  | 'job_exists'
  /** No batch queue has the host and path of the request. */
  | 'unknown_queue'
  /** The API key is not in the configuration (not an idempotency key). */
  | 'unknown_key'
  /** The batch job is not known. */
  | 'unknown_job'
  /** The maintenance wave is not known. */
  | 'unknown_wave'
  /** The queue and the organisation permit the job in no common region of the deployment. */
  | 'region_not_permitted'
  /** No worker and no setting names the availability zone. */
  | 'unknown_zone'
  /** No configuration has been accepted yet. */
  | 'no_configuration'
  /** The configuration version was already accepted with other content, or is too old to compare. */
  | 'version_conflict'
  /** The configuration change is not based on the current version. */
  | 'version_gap'
  /** The inventory cannot hold all guarantees, even with every worker available. */
  | 'guarantee_unsatisfiable'
  /** The resulting configuration would be invalid, for example a worker without its rack. */
  | 'invalid_configuration'
  /**
   * This node has no configuration lease, so a newer configuration may be in effect. The control leader grants this
   * lease and renews it; it permits the node to serve requests under the configuration that it has.
   */
  | 'configuration_stale'
  /** No control leader could take the request; it has not been executed. */
  | 'control_unavailable'
  /** This node is not the control leader. */
  | 'not_leader'
  /** This node is shutting down or drained, and takes no new requests. */
  | 'shutting_down'
  /** This node has no memory for the request at present; it has not been executed. */
  | 'overloaded'
  /** The caller disconnected before the work was executed. */
  | 'cancelled'
  /**
   * The request refers to an earlier worker incarnation, job lease or job phase (not a Raft term). In a worker's answer
   * to orders, the result of the same name means that the orders come from a leader of an earlier Raft term.
   */
  | 'stale_term'
  /** An unexpected fault of this node; the work may have been executed. */
  | 'internal_error'

/**
 * Whether the work of a refused or failed request was executed; `not_applicable` if the request refers to something
 * that does not exist.
 */
export type Outcome = 'not_run' | 'unknown' | 'completed' | 'not_applicable'

/**
 * Whether a caller should retry the same request.
 *
 * - `now`: at once.
 * - `later`: after `retryAfterMs`.
 * - `never`: the request would fail again, it was completed, or (`key_expired`) whether it was executed can no longer
 *   be determined.
 * - `ask_outcome`: only if it was not executed, which the caller must find out first: for a request with an idempotency
 *   key by reading its claim, otherwise by reading the state that the request would have changed.
 */
export type RetryAdvice = 'now' | 'later' | 'never' | 'ask_outcome'

/** Response for an error kind. */
export interface ErrorResponse {
  readonly httpStatus: number
  readonly outcome: Outcome
  /** The retry advice, under its name in the response body. */
  readonly repeat: RetryAdvice
  /** Default delay before a retry, or before the outcome is asked for, in milliseconds; 0 if no delay applies. */
  readonly retryAfterMs: number
}

function response (httpStatus: number, outcome: Outcome, repeat: RetryAdvice, retryAfterMs = 0): ErrorResponse {
  return { httpStatus, outcome, repeat, retryAfterMs }
}

/** Maps each error kind to its response. `not_run` is used only if the work was certainly not executed. */
export const errorTable: Readonly<Record<ErrorKind, ErrorResponse>> = {
  invalid_request: response(400, 'not_run', 'never'),
  unknown_field: response(400, 'not_run', 'never'),
  body_too_large: response(413, 'not_run', 'never'),
  headers_too_large: response(431, 'not_run', 'never'),
  request_timeout: response(408, 'not_run', 'now'),
  unknown_organisation: response(403, 'not_run', 'never'),
  unknown_service: response(404, 'not_run', 'later', 2_000),
  not_found: response(404, 'not_applicable', 'never'),
  method_not_allowed: response(405, 'not_run', 'never'),
  impossible_shape: response(422, 'not_run', 'never'),
  quota_exceeded: response(429, 'not_run', 'later', 60_000),
  queue_full: response(429, 'not_run', 'later', 1_000),
  deadline_unreachable: response(503, 'not_run', 'later', 1_000),
  deadline_exceeded: response(504, 'not_run', 'later', 1_000),
  no_backend_server: response(503, 'not_run', 'later', 1_000),
  backend_failed: response(502, 'unknown', 'ask_outcome'),
  backend_unreachable: response(503, 'not_run', 'later', 1_000),
  retry_budget_exhausted: response(503, 'not_run', 'later', 5_000),
  outcome_unknown: response(504, 'unknown', 'ask_outcome'),
  claim_in_progress: response(409, 'unknown', 'ask_outcome', 500),
  claim_completed: response(409, 'completed', 'never'),
  key_reused: response(422, 'not_run', 'never'),
  key_expired: response(422, 'unknown', 'never'),
  key_invalid: response(400, 'not_run', 'never'),
  job_exists: response(409, 'not_run', 'never'),
  unknown_queue: response(404, 'not_run', 'never'),
  unknown_key: response(401, 'not_run', 'never'),
  unknown_job: response(410, 'not_applicable', 'never'),
  unknown_wave: response(404, 'not_applicable', 'never'),
  region_not_permitted: response(422, 'not_run', 'never'),
  unknown_zone: response(404, 'not_applicable', 'never'),
  no_configuration: response(503, 'not_run', 'later', 1_000),
  version_conflict: response(409, 'not_run', 'never'),
  version_gap: response(409, 'not_run', 'never'),
  guarantee_unsatisfiable: response(422, 'not_run', 'never'),
  invalid_configuration: response(422, 'not_run', 'never'),
  configuration_stale: response(503, 'not_run', 'later', 1_000),
  control_unavailable: response(503, 'not_run', 'later', 2_000),
  not_leader: response(503, 'not_run', 'now'),
  shutting_down: response(503, 'not_run', 'now'),
  overloaded: response(503, 'not_run', 'later', 1_000),
  cancelled: response(409, 'not_run', 'never'),
  stale_term: response(409, 'not_run', 'never'),
  internal_error: response(500, 'unknown', 'ask_outcome')
}

/** An error as a value: kind, detail and retry delay. */
export interface Failure {
  readonly kind: ErrorKind
  /** One sentence with the actual and the allowed values. */
  readonly detail: string
  /**
   * Delay in milliseconds before a retry, or before the outcome is asked for; defaults to the value in `errorTable`.
   */
  readonly retryAfterMs?: number
}

/** Either a value or a failure. */
export type Result<T> =
  | { readonly ok: true, readonly value: T }
  | { readonly ok: false, readonly failure: Failure }

/**
 * Wraps a value as a successful result.
 *
 * @example
 * succeed(3) // { ok: true, value: 3 }
 */
export function succeed<T> (value: T): Result<T> {
  return { ok: true, value }
}

/**
 * Builds a failed result.
 *
 * @example
 * fail('queue_full', '512 requests are queued, the limit is 512', 800)
 */
export function fail (kind: ErrorKind, detail: string, retryAfterMs?: number): { ok: false, failure: Failure } {
  return { ok: false, failure: failure(kind, detail, retryAfterMs) }
}

/**
 * Builds a failure value.
 *
 * @example
 * failure('not_found', 'job 7 does not exist')
 */
export function failure (kind: ErrorKind, detail: string, retryAfterMs?: number): Failure {
  return retryAfterMs === undefined ? { kind, detail } : { kind, detail, retryAfterMs }
}

/** JSON body of the response to a refused or failed request. */
export interface ErrorBody {
  readonly error: ErrorKind
  readonly detail: string
  readonly outcome: Outcome
  readonly repeat: RetryAdvice
  readonly retryAfterMs: number
}

/**
 * Builds the response body for a failure.
 *
 * @example
 * errorBody(failure('shutting_down', 'the node is stopping')).outcome // 'not_run'
 */
export function errorBody (cause: Failure): ErrorBody {
  const { outcome, repeat, retryAfterMs } = errorTable[cause.kind]
  return { error: cause.kind, detail: cause.detail, outcome, repeat, retryAfterMs: cause.retryAfterMs ?? retryAfterMs }
}
