/**
 * Log entries, messages, events and effects of the consensus protocol, and the port to durable storage. Commands are
 * typed objects here; the adapters serialise them.
 */

/** Identity of a voter. A replica that lost its disk gets a new `diskId` and thereby becomes a different voter. */
export interface VoterId {
  readonly nodeId: string
  readonly diskId: string
}

/** Payload of a log entry. */
export type EntryBody<Command> =
  | { readonly kind: 'command', readonly proposalId: string, readonly command: Command }
  | {
    readonly kind: 'voters'
    /** The voters; during joint consensus the new set. */
    readonly voters: readonly VoterId[]
    /**
     * The complete old voter set, including voters that stay. Its majority is also required during joint consensus;
     * empty otherwise.
     */
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

/** Term and vote, which must be synced before any message that depends on them is sent. */
export interface HardState {
  readonly term: number
  readonly votedFor: VoterId | null
}

/** Metadata and content of a snapshot; the content is opaque to consensus. */
export interface Snapshot {
  readonly lastIndex: number
  readonly lastTerm: number
  readonly logTimeMs: number
  readonly voters: readonly VoterId[]
  /** As in a `voters` entry; not empty if the snapshot was taken during joint consensus. */
  readonly outgoingVoters: readonly VoterId[]
  readonly content: Uint8Array
}

/** Messages between replicas. */
export type ConsensusMessage<Command> =
  | {
    readonly kind: 'vote_request'
    /** The candidate's term; in a pre-vote, the term after the sender's current one, which it has not entered. */
    readonly term: number
    readonly isPreVote: boolean
    readonly lastIndex: number
    readonly lastTerm: number
    /** Set if the leader asked for this election, so that voters in contact with it consider the request. */
    readonly isTransfer: boolean
  }
  /** `term` is the term of the voter, except in a granted pre-vote, which repeats the term of the request. */
  | { readonly kind: 'vote_response', readonly term: number, readonly isPreVote: boolean, readonly granted: boolean }
  | {
    readonly kind: 'append_request'
    readonly term: number
    readonly previousIndex: number
    readonly previousTerm: number
    readonly entries: ReadonlyArray<LogEntry<Command>>
    readonly commitIndex: number
    /**
     * Latest round of heartbeats when the request was sent. The response repeats it, and the leader takes the start of
     * that round as the time of contact for check-quorum and for read leases. A round starts no later than its requests
     * are sent, so a lease counted from its start never lasts too long.
     */
    readonly round: number
  }
  | {
    readonly kind: 'append_response'
    readonly term: number
    readonly success: boolean
    /** On success the last index known to match; on failure a hint for the previous index of the next attempt. */
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
  /** `receivedBytes` equals the total size only once the snapshot is durable. */
  | { readonly kind: 'snapshot_ack', readonly term: number, readonly lastIndex: number, readonly receivedBytes: number }
  /**
   * Sent by the leader to the target of a leadership transfer, which then starts an election at once, without a
   * pre-vote (TimeoutNow in section 3.10 of the Raft thesis). The leader's read lease ends when this is sent.
   */
  | { readonly kind: 'transfer_leadership', readonly term: number }

/**
 * Why a proposal was rejected. All reasons except `unknown` mean that it never takes effect.
 *
 * - `not_leader`: it was not appended: this replica is not the leader, is no longer, or is transferring leadership.
 * - `lost`: its entry was overwritten.
 * - `unknown`: a snapshot replaced the log that contained its entry, which may have been committed.
 * - `queue_full`: the uncommitted part of the log has reached its limit.
 * - `change_in_progress`: another voter replacement is in progress.
 * - `invalid_change`: the voter to remove is not in the voter set, or the one to add already is.
 * - `learner_unreachable`: the new voter did not respond, and the old voter set stays in effect.
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

/** Input of a replica. */
export type ReplicaEvent<Command> =
  | { readonly kind: 'tick' }
  | { readonly kind: 'message', readonly from: VoterId, readonly message: ConsensusMessage<Command> }
  | { readonly kind: 'propose', readonly proposalId: string, readonly command: Command }
  /**
   * Replaces the voter `remove` with `add`; if `remove` is `null`, adds a voter. The replacement is complete when a
   * `voters` entry that contains `add` and has no `outgoingVoters` is applied.
   */
  | {
    readonly kind: 'replace_voter'
    readonly proposalId: string
    readonly remove: VoterId | null
    readonly add: VoterId
  }
  /** The `persist` effect with this id, and all before it, are synced. */
  | { readonly kind: 'persisted', readonly persistId: number }
  /** A snapshot of the state machine is durable; the log up to its `lastIndex` may be discarded. */
  | { readonly kind: 'snapshot_saved', readonly snapshot: Snapshot }
  /**
   * Asks the leader to transfer leadership to another voter; no effect on other roles or if no voter responds. In spite
   * of the name, the replica does not become a follower at once; it remains the leader during the transfer (see
   * `transferTimeoutMs`).
   */
  | { readonly kind: 'step_down' }

/**
 * Output of a replica, for its adapters to execute. Effects are started in order; later effects need not wait for a
 * `persist` to complete.
 */
export type ReplicaEffect<Command> =
  | { readonly kind: 'send', readonly to: VoterId, readonly message: ConsensusMessage<Command> }
  | {
    readonly kind: 'persist'
    readonly persistId: number
    readonly hardState?: HardState
    /** Overwrites the log from the index of the first entry on. */
    readonly entries: ReadonlyArray<LogEntry<Command>>
    /** A snapshot received from the leader; replaces the log. */
    readonly snapshot?: Snapshot
  }
  /** Applies committed entries to the state machine, in order. */
  | { readonly kind: 'apply', readonly entries: ReadonlyArray<LogEntry<Command>> }
  /** Replaces the contents of the state machine with the snapshot. */
  | { readonly kind: 'restore', readonly snapshot: Snapshot }
  | { readonly kind: 'role_changed', readonly role: ReplicaRole, readonly term: number, readonly leader: VoterId | null }
  | {
    readonly kind: 'proposal_rejected'
    readonly proposalId: string
    readonly reason: RejectionReason
    readonly leader: VoterId | null
  }

/** Durable state that a replica starts from. */
export interface RecoveredLog<Command> {
  readonly hardState: HardState
  readonly snapshot: Snapshot | null
  readonly entries: ReadonlyArray<LogEntry<Command>>
}

/** Port to the durable storage of one replica. Promises resolve only after a sync. */
export abstract class LogStorage<Command> {
  /** Reads the stored state at start; truncates a torn last record and fails on corruption before it. */
  abstract recover (): Promise<RecoveredLog<Command>>
  /** Writes in call order and syncs once; resolves when the whole effect is durable. */
  abstract persist (effect: Extract<ReplicaEffect<Command>, { kind: 'persist' }>): Promise<void>
  /** Stores a snapshot of the state machine and discards the part of the log that it covers. */
  abstract saveSnapshot (snapshot: Snapshot): Promise<void>
  abstract close (): Promise<void>
}
