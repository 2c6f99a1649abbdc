/** Types of the replicated log. Commands stay typed objects here; adapters encode them. */

/** Identity of a voter: a replica that lost its disk has a new `diskId` and is another voter. */
export interface VoterId {
  readonly nodeId: string
  readonly diskId: string
}

/** What a log entry carries. */
export type EntryBody<Command> =
  | { readonly kind: 'command', readonly proposalId: string, readonly command: Command }
  | {
    readonly kind: 'voters'
    readonly voters: readonly VoterId[]
    /** The set that must agree as well while a replacement is under way; empty at other times. */
    readonly outgoingVoters: readonly VoterId[]
  }
  | { readonly kind: 'noop' }

/** One entry of the log. */
export interface LogEntry<Command> {
  readonly index: number
  readonly term: number
  /** The leader's log time in milliseconds; never decreases along the log. */
  readonly logTimeMs: number
  readonly body: EntryBody<Command>
}

/** Term and vote, which must be on disk before they are acted on. */
export interface HardState {
  readonly term: number
  readonly votedFor: VoterId | null
}

/** Position and content of a snapshot; the content is opaque to consensus. */
export interface Snapshot {
  readonly lastIndex: number
  readonly lastTerm: number
  readonly logTimeMs: number
  readonly voters: readonly VoterId[]
  /** As in a `voters` entry: not empty where the snapshot was taken during a replacement. */
  readonly outgoingVoters: readonly VoterId[]
  readonly content: Uint8Array
}

/** Messages between replicas. */
export type ConsensusMessage<Command> =
  | {
    readonly kind: 'vote_request'
    readonly term: number
    readonly isPreVote: boolean
    readonly lastIndex: number
    readonly lastTerm: number
    /** Set when a leader hands its role over, so that voters that still hear it take part. */
    readonly isTransfer: boolean
  }
  | { readonly kind: 'vote_response', readonly term: number, readonly isPreVote: boolean, readonly granted: boolean }
  | {
    readonly kind: 'append_request'
    readonly term: number
    readonly previousIndex: number
    readonly previousTerm: number
    readonly entries: ReadonlyArray<LogEntry<Command>>
    readonly commitIndex: number
    /** Identifies a round of heartbeats, for check-quorum and reads. */
    readonly round: number
  }
  | {
    readonly kind: 'append_response'
    readonly term: number
    readonly success: boolean
    /** Last index known to match on success, a hint where to go back to on failure. */
    readonly matchIndex: number
    readonly round: number
  }
  | {
    readonly kind: 'snapshot_chunk'
    readonly term: number
    readonly snapshot: Omit<Snapshot, 'content'>
    readonly offsetBytes: number
    readonly totalBytes: number
    readonly chunk: Uint8Array
  }
  /** `receivedBytes` equals the total only once the snapshot is durable. */
  | { readonly kind: 'snapshot_ack', readonly term: number, readonly lastIndex: number, readonly receivedBytes: number }
  | { readonly kind: 'transfer_leadership', readonly term: number }

/**
 * Why a proposal was rejected. All but `unknown` mean that it never takes effect.
 *
 * - `not_leader`: it was not appended.
 * - `lost`: its entry was overwritten.
 * - `unknown`: a snapshot replaced the log that held its entry, which may have been committed.
 * - `queue_full`: too many entries wait for a commit.
 * - `change_in_progress`: another replacement of a voter is under way.
 * - `invalid_change`: the voter to remove is not in the set, or the one to add is already.
 * - `learner_unreachable`: the new voter did not answer, and the old set stays in force.
 */
export type RejectionReason =
  | 'not_leader'
  | 'lost'
  | 'unknown'
  | 'queue_full'
  | 'change_in_progress'
  | 'invalid_change'
  | 'learner_unreachable'

/** Role of a replica. */
export type ReplicaRole = 'follower' | 'pre_candidate' | 'candidate' | 'leader'

/** What a replica is told. */
export type ReplicaEvent<Command> =
  | { readonly kind: 'tick' }
  | { readonly kind: 'message', readonly from: VoterId, readonly message: ConsensusMessage<Command> }
  | { readonly kind: 'propose', readonly proposalId: string, readonly command: Command }
  /** Without a voter to remove the set grows by one. */
  | {
    readonly kind: 'replace_voter'
    readonly proposalId: string
    readonly remove: VoterId | null
    readonly add: VoterId
  }
  /** Everything of the `persist` effect with this number is synced. */
  | { readonly kind: 'persisted', readonly persistId: number }
  /** The state machine wrote a snapshot; the log up to `lastIndex` may be dropped. */
  | { readonly kind: 'snapshot_saved', readonly snapshot: Snapshot }
  | { readonly kind: 'step_down' }

/**
 * What a replica asks its adapters to do. Effects are started in order; a `persist` need not be finished before the
 * effects behind it.
 */
export type ReplicaEffect<Command> =
  | { readonly kind: 'send', readonly to: VoterId, readonly message: ConsensusMessage<Command> }
  | {
    readonly kind: 'persist'
    readonly persistId: number
    readonly hardState?: HardState
    /** Replaces everything in the log from the first entry's index on. */
    readonly entries: ReadonlyArray<LogEntry<Command>>
    /** A snapshot installed by the leader; replaces the log. */
    readonly snapshot?: Snapshot
  }
  | { readonly kind: 'apply', readonly entries: ReadonlyArray<LogEntry<Command>> }
  | { readonly kind: 'restore', readonly snapshot: Snapshot }
  | { readonly kind: 'role_changed', readonly role: ReplicaRole, readonly term: number, readonly leader: VoterId | null }
  | {
    readonly kind: 'proposal_rejected'
    readonly proposalId: string
    readonly reason: RejectionReason
    readonly leader: VoterId | null
  }

/** What a replica finds on its disk at start. */
export interface RecoveredLog<Command> {
  readonly hardState: HardState
  readonly snapshot: Snapshot | null
  readonly entries: ReadonlyArray<LogEntry<Command>>
}

/** Disk of one replica. Promises resolve only after a sync. */
export abstract class LogStorage<Command> {
  /** Reads everything at start; truncates a torn last record and fails for damage before it. */
  abstract recover (): Promise<RecoveredLog<Command>>
  /** Writes in order and syncs once; resolves when all of it is durable. */
  abstract persist (effect: Extract<ReplicaEffect<Command>, { kind: 'persist' }>): Promise<void>
  /** Stores a snapshot of the state machine and drops the log that it covers. */
  abstract saveSnapshot (snapshot: Snapshot): Promise<void>
  abstract close (): Promise<void>
}
