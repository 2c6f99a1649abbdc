/** Messages between the processes of the batch scheduler. */
import type { BatchCommand, BatchOperation, BatchResult, WorkerOrders, WorkerReport } from '@comfreygrade/batch'
import type { ConsensusMessage, VoterId } from '@comfreygrade/consensus'
import type { PeerAddress } from '@comfreygrade/node/adapters'

/** A control node as others know it. */
export interface ControlNodeInfo extends PeerAddress {
  readonly voter: VoterId
  /** Unix time of the start of this process, which tells a restart from a node that is still leaving. */
  readonly startedWallMs: number
}

/** What a process asks of the leader. */
export type Ask =
  | { readonly kind: 'operation', readonly operation: BatchOperation }
  | { readonly kind: 'report', readonly report: WorkerReport }
  | { readonly kind: 'worker_left', readonly workerId: string }

/** What the leader answers. */
export type AskAnswer =
  | { readonly kind: 'result', readonly result: BatchResult }
  /** Null for a heartbeat that was ignored. */
  | { readonly kind: 'orders', readonly orders: WorkerOrders | null, readonly leaderNodeId: string }
  | { readonly kind: 'not_leader', readonly leaderNodeId: string | null }

/** Every message between the processes. */
export type BatchMessage =
  | {
    readonly kind: 'hello'
    readonly nodeId: string
    /** Null on a process without a disk. */
    readonly control: ControlNodeInfo | null
    readonly readsNumberedFields?: boolean
  }
  | { readonly kind: 'ping' }
  | { readonly kind: 'pong' }
  | { readonly kind: 'members', readonly nodes: readonly ControlNodeInfo[], readonly leaderNodeId: string | null }
  | {
    readonly kind: 'raft'
    readonly from: VoterId
    readonly to: VoterId
    readonly message: ConsensusMessage<BatchCommand>
  }
  | { readonly kind: 'ask', readonly requestId: string, readonly ask: Ask }
  | { readonly kind: 'answer', readonly requestId: string, readonly answer: AskAnswer }
  /** The sender is about to stop, and a standby may take its place. */
  | { readonly kind: 'leaving', readonly voter: VoterId }
