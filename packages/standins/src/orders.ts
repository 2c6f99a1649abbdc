/** Messages between the control leader and workers (docs/design.md, section 4.1); workers need no other interface. */

/**
 * The action that a worker has to take on one task:
 *
 * - `prepare` reserves the task's accelerators and runs nothing yet.
 * - `start` runs a prepared task.
 * - `checkpoint` saves the task's state, then stops the task.
 * - `throttle` makes a running task slower.
 * - `stop` ends the task and frees its accelerators; a later `prepare` of the same placement is refused.
 */
export type OrderKind = 'prepare' | 'start' | 'checkpoint' | 'throttle' | 'stop'

export interface WorkerOrder {
  readonly kind: OrderKind
  readonly jobId: string
  readonly taskIndex: number
  /** Identifies one placement of the job; a job that is placed again gets a higher ID. Not the lease of the worker. */
  readonly leaseId: number
  readonly firstAccelerator: number
  readonly acceleratorCount: number
  /** Incarnation of the worker that the order is meant for; a restarted worker refuses it. */
  readonly incarnation: number
  /**
   * Duration of the worker's lease, which `leaseId` does not identify. The stand-in worker does not use it, as only the
   * response to a heartbeat renews the lease.
   */
  readonly leaseMs: number
}

/** A worker's result for one order; `unknown_lease` means that the worker has no task of that `leaseId`. */
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

/** Identifies one task in one placement of its job; `leaseId` is the ID of the placement. */
export interface PlacedTask {
  readonly jobId: string
  readonly taskIndex: number
  readonly leaseId: number
}

/** Response to a worker's heartbeat; the lease starts when the worker sent the heartbeat. */
export interface WorkerLeaseResponse {
  readonly term: number
  readonly leaseMs: number
  /** Tasks to stop; ended ones are acknowledged by being listed, and are then no longer reported. */
  readonly stopTasks: readonly PlacedTask[]
}
