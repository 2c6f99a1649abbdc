/** Error kinds and the table that maps each of them to a response. */

/** Every kind of error that a response to a caller, operator, worker or backend server can have. */
export type ErrorKind =
  | 'invalid_request'
  | 'unknown_field'
  | 'body_too_large'
  | 'headers_too_large'
  | 'request_timeout'
  | 'unknown_organisation'
  | 'unknown_service'
  | 'not_found'
  | 'method_not_allowed'
  | 'impossible_shape'
  | 'quota_exceeded'
  | 'queue_full'
  | 'deadline_unreachable'
  | 'deadline_exceeded'
  | 'no_backend_server'
  | 'backend_failed'
  | 'backend_unreachable'
  | 'retry_budget_exhausted'
  | 'outcome_unknown'
  | 'claim_in_progress'
  | 'claim_completed'
  | 'key_reused'
  | 'key_expired'
  | 'key_invalid'
  | 'job_exists'
  | 'unknown_queue'
  | 'unknown_key'
  | 'unknown_job'
  | 'unknown_wave'
  | 'no_configuration'
  | 'version_conflict'
  | 'version_gap'
  | 'guarantee_unsatisfiable'
  | 'invalid_configuration'
  | 'configuration_stale'
  | 'control_unavailable'
  | 'not_leader'
  | 'shutting_down'
  | 'cancelled'
  | 'stale_term'
  | 'internal_error'

/** Whether the work of a rejected or failed request was executed. */
export type Outcome = 'not_run' | 'unknown' | 'completed' | 'not_applicable'

/** Whether a caller should retry the same request; `ask_outcome`: only after asking whether it was executed. */
export type RetryAdvice = 'now' | 'later' | 'never' | 'ask_outcome'

/** Response for an error kind. */
export interface ErrorResponse {
  readonly httpStatus: number
  readonly outcome: Outcome
  readonly repeat: RetryAdvice
  /** Default delay before a retry, in milliseconds; 0 if no delay applies. */
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
  no_configuration: response(503, 'not_run', 'later', 1_000),
  version_conflict: response(409, 'not_run', 'never'),
  version_gap: response(409, 'not_run', 'never'),
  guarantee_unsatisfiable: response(422, 'not_run', 'never'),
  invalid_configuration: response(422, 'not_run', 'never'),
  configuration_stale: response(503, 'not_run', 'later', 1_000),
  control_unavailable: response(503, 'not_run', 'later', 2_000),
  not_leader: response(503, 'not_run', 'now'),
  shutting_down: response(503, 'not_run', 'now'),
  cancelled: response(409, 'not_run', 'never'),
  stale_term: response(409, 'not_run', 'never'),
  internal_error: response(500, 'unknown', 'ask_outcome')
}

/** An error as a value: kind, detail and retry delay. */
export interface Failure {
  readonly kind: ErrorKind
  /** One sentence with the actual and the allowed values. */
  readonly detail: string
  /** Delay before a retry in milliseconds; defaults to the value in `errorTable`. */
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

/** JSON body of the response to a rejected or failed request. */
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
