/** Orders of the control leader to workers, and the leader's events and effects. */
import type { WorkerReport } from '@comfreygrade/core'
import type { ControlCommand, CommandResult } from './commands.js'
import type { ControlOperation, ControlResult } from './operations.js'

/** What a worker is told to do with one task. */
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
  /** How long the lease holds without renewal, counted from receipt. */
  readonly leaseMs: number
}

/** A worker's answer to one order. */
export type OrderResult = 'accepted' | 'refused' | 'stale_term' | 'unknown_lease'

/** Events of the control leader. */
export type ControlEvent =
  | { readonly kind: 'operation', readonly requestId: string, readonly operation: ControlOperation }
  | { readonly kind: 'applied', readonly proposalId: string, readonly index: number, readonly command: ControlCommand, readonly result: CommandResult }
  | { readonly kind: 'proposal_rejected', readonly proposalId: string }
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
