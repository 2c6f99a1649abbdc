/** Metadata of short requests, which routing decisions are based on; the bodies stay in the HTTP adapter. */

/** Whether a request may safely be executed more than once. */
export type Repeatability = 'idempotent' | 'non-repeatable'

/** Metadata of a short request. */
export interface RequestSpec {
  readonly requestId: string
  readonly organisationId: string
  readonly service: string
  /** Class of requests with similar service times; defaults to service and path. */
  readonly requestClass: string
  readonly repeatability: Repeatability
  /** Deduplicates retries by the caller; a version 7 UUID. */
  readonly idempotencyKey?: string
  /** Media type of the body; forwarded unchanged; no decision depends on it. */
  readonly contentType?: string
  /** Monotonic time after which the caller no longer waits for a response. */
  readonly deadlineAtMs: number
}

/** Whether the bytes of a request may have reached the backend server. */
export type SendProgress = 'not_sent' | 'maybe_sent'
