/** Events that the leader handles, and effects that its adapters carry out. */
import type { AdviceAnswer, AdviceRequest } from './advice-planner.js'
import type { BatchCommand, CommandResult } from './commands.js'
import type { MaintenanceAnswer, MaintenanceCall } from './maintenance.js'
import type { BatchOperation, BatchResult } from './operations.js'
import type { WorkerOrders, WorkerReport } from './worker-messages.js'

/** Input of the leader. */
export type LeaderEvent =
  | { readonly kind: 'operation', readonly requestId: string, readonly operation: BatchOperation }
  | { readonly kind: 'report', readonly requestId: string, readonly report: WorkerReport }
  | { readonly kind: 'worker_left', readonly requestId: string, readonly workerId: string }
  | { readonly kind: 'applied', readonly proposalId: string, readonly result: CommandResult }
  /** `isCertain` where the command can never take effect; otherwise it may still be committed. */
  | { readonly kind: 'rejected', readonly proposalId: string, readonly isCertain: boolean }
  | ({ readonly kind: 'advice' } & AdviceAnswer)
  | { readonly kind: 'maintenance_answered', readonly call: MaintenanceCall, readonly answer: MaintenanceAnswer }
  | { readonly kind: 'tick' }

/** Output of the leader, which its adapters carry out. */
export type LeaderEffect =
  | { readonly kind: 'propose', readonly proposalId: string, readonly command: BatchCommand }
  | { readonly kind: 'reply', readonly requestId: string, readonly result: BatchResult }
  /** `orders` is undefined where the report was ignored or replaced, and for the message of a worker that has left. */
  | { readonly kind: 'reply_worker', readonly requestId: string, readonly orders: WorkerOrders | undefined }
  | { readonly kind: 'begin_maintenance', readonly call: MaintenanceCall, readonly fencingToken: number }
  | ({ readonly kind: 'ask_advice' } & AdviceRequest)
