/** Short requests as the routing code sees them; bodies stay in the front end. */

/** Whether a request may be executed more than once. */
export type Repeatability = 'idempotent' | 'non-repeatable'

/** A short request without its body. */
export interface RequestSpec {
  readonly requestId: string
  readonly organisationId: string
  readonly service: string
  /** Label for observed service times; the service and path where a caller gives none. */
  readonly requestClass: string
  readonly repeatability: Repeatability
  /** Protects against the caller's own repeats; a UUID of version 7. */
  readonly idempotencyKey?: string
  /** Type of the body, passed on unchanged; no decision depends on it. */
  readonly contentType?: string
  /** Monotonic time after which an answer is of no use to the caller. */
  readonly deadlineAtMs: number
}

/** Whether the bytes of a request may have reached the backend server. */
export type SendProgress = 'not_sent' | 'maybe_sent'
