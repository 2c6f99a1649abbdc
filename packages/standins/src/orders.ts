/** Messages between the control leader and workers (design page, section 4.1); workers need no other interface. */

/** The action that a worker has to take on one task. */
export type OrderKind = 'prepare' | 'start' | 'checkpoint' | 'throttle' | 'stop'

export interface WorkerOrder {
  readonly kind: OrderKind
  readonly jobId: string
  readonly taskIndex: number
  readonly leaseId: number
  readonly firstAccelerator: number
  readonly acceleratorCount: number
  /** Incarnation of the worker that the order is meant for; a restarted worker refuses it. */
  readonly incarnation: number
  /** Duration of the worker's lease; only the response to a heartbeat renews it. */
  readonly leaseMs: number
}

/** A worker's result for one order. */
export type OrderResult = 'accepted' | 'refused' | 'stale_term' | 'unknown_lease'

/** Body of `POST {worker}/v1/orders`. */
export interface OrderBatch {
  readonly term: number
  readonly orders: readonly WorkerOrder[]
}

/** Response to an order batch; `term` is the highest that the worker has seen. */
export interface OrderBatchResponse {
  readonly term: number
  readonly results: readonly OrderResult[]
}

/** Identifies one task under one lease. */
export interface TaskLease {
  readonly jobId: string
  readonly taskIndex: number
  readonly leaseId: number
}

/** Response to a worker's heartbeat; the lease starts when the worker sent the heartbeat. */
export interface WorkerLeaseResponse {
  readonly term: number
  readonly leaseMs: number
  readonly stopTasks: readonly TaskLease[]
}
