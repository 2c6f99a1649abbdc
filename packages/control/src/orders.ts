/** Orders of the control leader to workers, and the leader's events and effects. */
import type { WorkerReport } from '@comfreygrade/core'
import type { ControlCommand, CommandResult } from './commands.js'
import type { ControlOperation, ControlResult } from './operations.js'

/**
 * What a worker is told to do with one task. The leader relies on these rules of a worker:
 *
 * - It holds one lease for all its tasks. Only the answer to a report renews it, counted from when the report was sent.
 *   Orders never extend it: a delayed order would extend it beyond what the leader waits for. When the lease ends,
 *   every task is stopped and given up.
 * - It refuses an order of a lower term than it has seen, for another incarnation, or, except for `stop`, without a
 *   valid lease.
 * - `prepare` holds the accelerators and runs nothing; it is refused when another task holds one of them.
 * - `start` is accepted again by a task that already runs or has ended, and is `unknown_lease` without a held cell.
 * - `checkpoint` is accepted when it begins; the task is reported as `stopped` when it has ended.
 * - `stop` is accepted when the task no longer runs and its accelerators are free. The worker remembers the lease,
 *   known or not, and refuses it from then on, because a `prepare` that was overtaken may still arrive. The same holds
 *   for a lease that it gave up.
 * - An ended task holds no accelerators and stays in the reports until the worker is told to stop it.
 */
export type OrderKind = 'prepare' | 'start' | 'checkpoint' | 'throttle' | 'stop'

/** One order. A worker refuses it when it has seen a higher term. */
export interface WorkerOrder {
  readonly kind: OrderKind
  readonly jobId: string
  readonly taskIndex: number
  /** Log index of the placement; a task of another lease is not touched. */
  readonly leaseId: number
  readonly firstAccelerator: number
  readonly acceleratorCount: number
  /** Process of the worker that the order is meant for; a later one knows nothing of the leases given up before it. */
  readonly incarnation: number
  /** Length of the worker's lease. Only reports renew it. */
  readonly leaseMs: number
}

/** A worker's answer to one order. */
export type OrderResult = 'accepted' | 'refused' | 'stale_term' | 'unknown_lease'

/** Events of the control leader. */
export type ControlEvent =
  | { readonly kind: 'operation', readonly requestId: string, readonly operation: ControlOperation }
  | { readonly kind: 'applied', readonly proposalId: string, readonly index: number, readonly command: ControlCommand, readonly result: CommandResult }
  /** `not_applied` stands only where the command certainly never takes effect; `unknown` when left out. */
  | {
    readonly kind: 'proposal_rejected'
    readonly proposalId: string
    readonly outcome?: 'not_applied' | 'unknown'
  }
  | { readonly kind: 'orders_answered', readonly orderId: string, readonly results: readonly OrderResult[] }
  /** The worker could not be reached or did not answer; the orders may or may not have arrived. */
  | { readonly kind: 'orders_failed', readonly orderId: string }
  | { readonly kind: 'worker_reported', readonly report: WorkerReport }
  | { readonly kind: 'tick' }

/** Effects of the control leader. */
export type ControlEffect =
  | { readonly kind: 'propose', readonly proposalId: string, readonly command: ControlCommand }
  | {
    readonly kind: 'send_orders'
    readonly orderId: string
    readonly workerId: string
    readonly address: string
    readonly term: number
    readonly orders: readonly WorkerOrder[]
  }
  | { readonly kind: 'reply', readonly requestId: string, readonly result: ControlResult }
