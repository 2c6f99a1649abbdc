/** Orders to workers as they travel (section 4.1 of the design page); a user's worker knows no more than this. */

/** What a worker is told to do with one task. */
export type OrderKind = 'prepare' | 'start' | 'checkpoint' | 'throttle' | 'stop'

/** One order for one task. */
export interface WorkerOrder {
  readonly kind: OrderKind
  readonly jobId: string
  readonly taskIndex: number
  readonly leaseId: number
  readonly firstAccelerator: number
  readonly acceleratorCount: number
  /** Start of the worker that the order is meant for; a later one refuses it. */
  readonly incarnation: number
  /** Length of the worker's lease; only the answer to a heartbeat renews it. */
  readonly leaseMs: number
}

/** A worker's answer to one order. */
export type OrderResult = 'accepted' | 'refused' | 'stale_term' | 'unknown_lease'

/** Body of `POST {worker}/v1/orders`. */
export interface OrderBatch {
  readonly term: number
  readonly orders: readonly WorkerOrder[]
}

/** Answer to an order batch; `term` is the highest that the worker has seen. */
export interface OrderBatchAnswer {
  readonly term: number
  readonly results: readonly OrderResult[]
}

/** Names one task under one lease. */
export interface TaskLease {
  readonly jobId: string
  readonly taskIndex: number
  readonly leaseId: number
}

/** Answer to a worker's heartbeat; the lease counts from when the worker sent the report. */
export interface WorkerLeaseAnswer {
  readonly term: number
  readonly leaseMs: number
  readonly stopTasks: readonly TaskLease[]
}
