/** Orders from the control leader to workers, and the events and effects of the leader. */
import type { WorkerReport } from '@comfreygrade/core'
import type { ControlCommand, CommandResult } from './commands.js'
import type { ControlOperation, ControlResult } from './operations.js'

/**
 * Kinds of orders for one task. The leader relies on the following contract of a worker:
 *
 * - A worker has one lease for all of its tasks. Only the answer to a report renews it, counted from the sending of the
 *   report. Orders never renew it: a delayed order would extend it beyond the expiry that the leader waits for. When
 *   the lease expires, every task is stopped and released.
 * - A worker refuses an order with a lower term than it has seen, for another incarnation, or, except for `stop`,
 *   without a valid lease.
 * - `prepare` reserves the accelerators and runs nothing; it is refused if another task holds one of them.
 * - `start` is idempotent: a task that already runs or has ended accepts it again. Without a prepared task the result
 *   is `unknown_lease`: the worker does not know the placement.
 * - `checkpoint` is accepted when it begins; the task is reported as `stopped` once the checkpoint is complete. For a
 *   placement that the worker does not know, the result is `unknown_lease`.
 * - `stop` is accepted once the task no longer runs and its accelerators are free. The worker refuses the placement
 *   from then on, whether it knew it or not, because a reordered `prepare` may still arrive. The same applies to a
 *   placement that it released when its lease expired. For a placement that the worker does not know, the result is
 *   `accepted` or `unknown_lease`, which mean the same to the leader.
 * - `unknown_lease` therefore proves to the leader that the task neither runs nor holds accelerators.
 * - `throttle` is supported by workers, but this leader never sends it and ignores its outcome.
 * - An ended task holds no accelerators and is reported until the leader tells the worker to stop it.
 */
export type OrderKind = 'prepare' | 'start' | 'checkpoint' | 'throttle' | 'stop'

/** One order to a worker. */
export interface WorkerOrder {
  readonly kind: OrderKind
  readonly jobId: string
  readonly taskIndex: number
  /**
   * Identifies the placement by its log index; the order does not affect a task of another placement. It is not the
   * worker lease, which covers all tasks of a worker.
   */
  readonly leaseId: number
  readonly firstAccelerator: number
  readonly acceleratorCount: number
  /** Worker process that the order is for. A later process does not know what an earlier one released. */
  readonly incarnation: number
  /** The leader's setting `leaseMs`, for information only: an order does not renew the worker lease. */
  readonly leaseMs: number
}

/** A worker's answer to one order. */
export type OrderResult = 'accepted' | 'refused' | 'stale_term' | 'unknown_lease'

/** Events of the control leader. */
export type ControlEvent =
  | { readonly kind: 'operation', readonly requestId: string, readonly operation: ControlOperation }
  /** A committed entry was applied to the state, which may have refused its command. */
  | { readonly kind: 'applied', readonly proposalId: string, readonly index: number, readonly command: ControlCommand, readonly result: CommandResult }
  /**
   * Consensus did not report the proposed command as committed. With `not_applied` it certainly never takes effect;
   * with `unknown`, the default, it may still be committed. Such a command is called rejected; a refused one was
   * committed, but its precondition did not hold (`applied` with a `refused` result).
   */
  | {
    readonly kind: 'proposal_rejected'
    readonly proposalId: string
    readonly outcome?: 'not_applied' | 'unknown'
  }
  /** `messageId` identifies the message of a `send_orders` effect; there is one result for each of its orders. */
  | { readonly kind: 'orders_answered', readonly messageId: string, readonly results: readonly OrderResult[] }
  /** The worker was unreachable or did not answer; the orders may have arrived. */
  | { readonly kind: 'orders_failed', readonly messageId: string }
  /**
   * A report that is handled like the operation `report_worker`, but not answered, so that the worker gets no lease for
   * it. The control nodes use the operation.
   */
  | { readonly kind: 'worker_reported', readonly report: WorkerReport }
  | { readonly kind: 'tick' }

/** Effects of the control leader. */
export type ControlEffect =
  | { readonly kind: 'propose', readonly proposalId: string, readonly command: ControlCommand }
  | {
    readonly kind: 'send_orders'
    readonly messageId: string
    readonly workerId: string
    readonly address: string
    readonly term: number
    readonly orders: readonly WorkerOrder[]
  }
  | { readonly kind: 'reply', readonly requestId: string, readonly result: ControlResult }
