/** The closed list of error kinds and the one table from kind to answer. */

/** Every kind of error that a caller, operator, worker or backend server can be answered with. */
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

/** Whether the work behind a refused or failed request ran. */
export type Outcome = 'not_run' | 'unknown' | 'completed' | 'not_applicable'

/** What a caller should do with the same request. */
export type RepeatAdvice = 'now' | 'later' | 'never' | 'ask_outcome'

/** The answer that belongs to an error kind. */
export interface ErrorAnswer {
  readonly httpStatus: number
  readonly outcome: Outcome
  readonly repeat: RepeatAdvice
  /** Default delay before a repeat, in milliseconds; 0 where no repeat is advised. */
  readonly retryAfterMs: number
}

function answer (httpStatus: number, outcome: Outcome, repeat: RepeatAdvice, retryAfterMs = 0): ErrorAnswer {
  return { httpStatus, outcome, repeat, retryAfterMs }
}

/** Maps each error kind to its answer. `not_run` stands only where the work certainly did not run. */
export const errorTable: Readonly<Record<ErrorKind, ErrorAnswer>> = {
  invalid_request: answer(400, 'not_run', 'never'),
  unknown_field: answer(400, 'not_run', 'never'),
  body_too_large: answer(413, 'not_run', 'never'),
  headers_too_large: answer(431, 'not_run', 'never'),
  request_timeout: answer(408, 'not_run', 'now'),
  unknown_organisation: answer(403, 'not_run', 'never'),
  unknown_service: answer(404, 'not_run', 'later', 2_000),
  not_found: answer(404, 'not_applicable', 'never'),
  method_not_allowed: answer(405, 'not_run', 'never'),
  impossible_shape: answer(422, 'not_run', 'never'),
  quota_exceeded: answer(429, 'not_run', 'later', 60_000),
  queue_full: answer(429, 'not_run', 'later', 1_000),
  deadline_unreachable: answer(503, 'not_run', 'later', 1_000),
  deadline_exceeded: answer(504, 'not_run', 'later', 1_000),
  no_backend_server: answer(503, 'not_run', 'later', 1_000),
  backend_failed: answer(502, 'unknown', 'ask_outcome'),
  backend_unreachable: answer(503, 'not_run', 'later', 1_000),
  retry_budget_exhausted: answer(503, 'not_run', 'later', 5_000),
  outcome_unknown: answer(504, 'unknown', 'ask_outcome'),
  claim_in_progress: answer(409, 'unknown', 'ask_outcome', 500),
  claim_completed: answer(409, 'completed', 'never'),
  key_reused: answer(422, 'not_run', 'never'),
  key_expired: answer(422, 'unknown', 'never'),
  key_invalid: answer(400, 'not_run', 'never'),
  job_exists: answer(409, 'not_run', 'never'),
  unknown_queue: answer(404, 'not_run', 'never'),
  unknown_key: answer(401, 'not_run', 'never'),
  unknown_job: answer(410, 'not_applicable', 'never'),
  unknown_wave: answer(404, 'not_applicable', 'never'),
  no_configuration: answer(503, 'not_run', 'later', 1_000),
  version_conflict: answer(409, 'not_run', 'never'),
  version_gap: answer(409, 'not_run', 'never'),
  guarantee_unsatisfiable: answer(422, 'not_run', 'never'),
  invalid_configuration: answer(422, 'not_run', 'never'),
  configuration_stale: answer(503, 'not_run', 'later', 1_000),
  control_unavailable: answer(503, 'not_run', 'later', 2_000),
  not_leader: answer(503, 'not_run', 'now'),
  shutting_down: answer(503, 'not_run', 'now'),
  cancelled: answer(409, 'not_run', 'never'),
  stale_term: answer(409, 'not_run', 'never'),
  internal_error: answer(500, 'unknown', 'ask_outcome')
}

/** An error as data: what happened, for whom it matters, and when to try again. */
export interface Failure {
  readonly kind: ErrorKind
  /** One sentence with the values that were found and what is allowed. */
  readonly detail: string
  /** Delay before a repeat in milliseconds; the table's default where absent. */
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
 * fail('queue_full', '512 requests wait, 512 are allowed', 800)
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

/** JSON body of every refused or failed request. */
export interface ErrorBody {
  readonly error: ErrorKind
  readonly detail: string
  readonly outcome: Outcome
  readonly repeat: RepeatAdvice
  readonly retryAfterMs: number
}

/**
 * Gives the body that a front end sends for a failure.
 *
 * @example
 * errorBody(failure('shutting_down', 'the node is stopping')).outcome // 'not_run'
 */
export function errorBody (cause: Failure): ErrorBody {
  const { outcome, repeat, retryAfterMs } = errorTable[cause.kind]
  return { error: cause.kind, detail: cause.detail, outcome, repeat, retryAfterMs: cause.retryAfterMs ?? retryAfterMs }
}
