/** Messages between the processes of the batch scheduler. Names of fields and kinds are part of the wire format. */
import type {
  BatchCommand, BatchOperation, BatchResult, ClientRequestLimits, WorkerOrders, WorkerReport
} from '@comfreygrade/batch'
import type { ConsensusMessage, VoterId } from '@comfreygrade/consensus'
import type { PeerAddress } from '@comfreygrade/node/adapters'

/** A control node as it is announced to other processes. */
export interface ControlNodeInfo extends PeerAddress {
  /** Node ID and disk ID under which the node is a voter or can become one. */
  readonly voter: VoterId
  /** Unix time of the start of the process; distinguishes a restarted node from one that is still leaving. */
  readonly startedWallMs: number
}

/** Limits of the configuration with this version. */
export interface VersionedClientLimits extends ClientRequestLimits {
  readonly version: number
}

/** A request to the leader. */
export type LeaderRequest =
  | { readonly kind: 'operation', readonly operation: BatchOperation }
  /** The heartbeat of a worker. */
  | { readonly kind: 'report', readonly report: WorkerReport }
  | { readonly kind: 'worker_left', readonly workerId: string }

/** The response to a {@link LeaderRequest}. */
export type LeaderResponse =
  | { readonly kind: 'result', readonly result: BatchResult }
  /** `orders` is null if the heartbeat was ignored. */
  | { readonly kind: 'orders', readonly orders: WorkerOrders | null, readonly leaderNodeId: string }
  | { readonly kind: 'not_leader', readonly leaderNodeId: string | null }

/** Union of all messages. */
export type BatchMessage =
  | {
    readonly kind: 'hello'
    readonly nodeId: string
    /** Null for a process without a disk. */
    readonly control: ControlNodeInfo | null
    /**
     * Whether the sender decodes frames with numbered in place of named fields. Absent from nodes of an older version,
     * to which named fields are sent.
     */
    readonly readsNumberedFields?: boolean
  }
  /** Keeps a link alive; `PeerLinks` handles `ping` and `pong` and passes neither on. */
  | { readonly kind: 'ping' }
  /** Response to `ping`. */
  | { readonly kind: 'pong' }
  /**
   * All control nodes that the sender, one of them, knows, itself included: its response to `hello`, and sent by a new
   * leader.
   */
  | {
    readonly kind: 'members'
    readonly nodes: readonly ControlNodeInfo[]
    readonly leaderNodeId: string | null
    /** Term of the sender, by which a former leader is told from its successor; absent in older versions. */
    readonly term?: number
    /** Absent if the sender knows no configuration, and in older versions. */
    readonly clientLimits?: VersionedClientLimits
  }
  | {
    readonly kind: 'raft'
    readonly from: VoterId
    readonly to: VoterId
    readonly message: ConsensusMessage<BatchCommand>
  }
  | { readonly kind: 'ask', readonly requestId: string, readonly ask: LeaderRequest }
  | { readonly kind: 'answer', readonly requestId: string, readonly answer: LeaderResponse }
  /** The sender is shutting down, so a standby may replace it as a voter. */
  | { readonly kind: 'leaving', readonly voter: VoterId }
