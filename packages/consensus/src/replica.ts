/** Raft as a deterministic state machine: events in, effects out. */
import { CandidateRole, PreCandidateRole } from './campaign.js'
import { FollowerRole } from './follower.js'
import { LeaderRole } from './leader.js'
import type {
  ConsensusMessage, RecoveredLog, ReplicaEffect, ReplicaEvent, ReplicaRole, Snapshot, VoterId
} from './messages.js'
import type { MessageOf, Role, RoleChange, RoleResult } from './role.js'
import { ReplicaState, type ReplicaOptions } from './state.js'
import { isJoint, isSameVoter, type VoterConfiguration } from './voters.js'
import { respondToPreVoteRequest, respondToVoteRequest, checkVoteRequest, rejectVote } from './voting.js'

/** Term of the entry that contains the first voter set; the first leader is elected in the next term. */
const initialTerm = 1

/**
 * One Raft server (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014; Ongaro's thesis
 * "Consensus: Bridging Theory and Practice" for pre-vote, check-quorum, leadership transfer and membership changes).
 *
 * Effects must be started in order; later effects need not wait for a `persist` to complete. The first step of a
 * replica with a snapshot on disk returns a `restore` effect.
 *
 * @example
 * const replica = new Replica({ id, settings: defaultReplicaSettings, recovered, random: new Random(7) })
 * for (const effect of replica.step({ kind: 'tick' }, clock.monotonicMs())) execute(effect)
 * setTimer(replica.nextWakeAtMs())
 */
export class Replica<Command> {
  readonly #state: ReplicaState<Command>
  #role: Role<Command>
  #isStarted = false

  constructor (options: ReplicaOptions<Command>) {
    this.#state = new ReplicaState(options)
    this.#role = new FollowerRole(this.#state)
  }

  /**
   * Durable state that each voter of the first set writes to its empty disk; it must be identical on all of them.
   *
   * @example
   * const { hardState, entries } = Replica.initialLog<MyCommand>(voters)
   * await storage.persist({ kind: 'persist', persistId: 0, hardState, entries })
   */
  static initialLog<Command> (voters: readonly VoterId[]): RecoveredLog<Command> & { readonly snapshot: null } {
    const body = { kind: 'voters', voters, outgoingVoters: [] } as const
    return {
      hardState: { term: initialTerm, votedFor: null },
      snapshot: null,
      entries: [{ index: 1, term: initialTerm, logTimeMs: 0, body }]
    }
  }

  /** Durable state of an empty disk. A replica that starts from it does not vote until it is added as a voter. */
  static emptyLog<Command> (): RecoveredLog<Command> & { readonly snapshot: null } {
    return { hardState: { term: 0, votedFor: null }, snapshot: null, entries: [] }
  }

  get role (): ReplicaRole {
    return this.#state.role
  }

  get term (): number {
    return this.#state.term
  }

  get leader (): VoterId | null {
    return this.#state.leader
  }

  /**
   * The voter set. During joint consensus it is the old one (`configuration.outgoingVoters`), since the replacement may
   * still be aborted, whereas `configuration.voters` is the new one.
   */
  get voters (): readonly VoterId[] {
    const { configuration } = this.#state
    return isJoint(configuration) ? configuration.outgoingVoters : configuration.voters
  }

  /** The voter configuration in effect, with both voter sets during joint consensus. */
  get configuration (): VoterConfiguration {
    return this.#state.configuration
  }

  get commitIndex (): number {
    return this.#state.commitIndex
  }

  get lastIndex (): number {
    return this.#state.log.lastIndex
  }

  /** Estimated size of the log after the latest snapshot, for deciding when to take the next one. */
  get bytesAfterSnapshot (): number {
    return this.#state.log.bytesAfter(this.#state.log.snapshot?.lastIndex ?? 0)
  }

  /** Monotonic time at which the next `tick` is due; `Infinity` if none is, for example for a non-voter. */
  nextWakeAtMs (): number {
    return this.#isStarted ? this.#role.nextWakeAtMs() : this.#state.nowMs
  }

  /**
   * Whether this replica is the leader and a majority acknowledged it within `leaseMs`, so that no other replica can
   * have committed an entry that this one lacks. False until it has committed an entry of its own term, and once it has
   * asked another voter to take over leadership. Requires a clock that keeps running while the process is paused.
   *
   * @example
   * if (replica.hasQuorumLease(clock.monotonicMs())) readFromState()
   */
  hasQuorumLease (nowMs: number): boolean {
    return this.#role.hasQuorumLease(nowMs)
  }

  /**
   * Number of further voters that may fail without loss of data or availability; `null` unless this replica leads.
   * Negative while fewer than a majority are known to be in sync, for example right after an election.
   */
  get survivableLosses (): number | null {
    return this.#role.survivableLosses()
  }

  /**
   * Metadata for a snapshot of the state machine taken after the entry at `lastIndex`.
   *
   * @example
   * await storage.saveSnapshot({ ...replica.describeSnapshot(appliedIndex), content })
   */
  describeSnapshot (lastIndex: number): Omit<Snapshot, 'content'> {
    return this.#state.describeSnapshot(lastIndex)
  }

  /** Handles one event completely and returns the effects for the adapters to execute. */
  step (event: ReplicaEvent<Command>, nowMs: number): Array<ReplicaEffect<Command>> {
    this.#state.beginStep(nowMs)
    if (!this.#isStarted) this.#start()
    this.#changeRole(this.#role.checkExpiry())
    this.#changeRole(this.#handle(event))
    return this.#state.takeEffects()
  }

  /** A restarted replica may have acknowledged a leader just before the restart, so it must not vote for a while. */
  #start (): void {
    this.#isStarted = true
    this.#state.recordLeaderContact()
    this.#state.restoreRecoveredSnapshot()
  }

  #handle (event: ReplicaEvent<Command>): RoleResult {
    switch (event.kind) {
      case 'tick': return this.#role.tick()
      case 'message': return this.#receive(event.from, event.message)
      case 'propose': return this.#role.propose(event)
      case 'replace_voter': return this.#role.replaceVoter(event)
      case 'persisted': return this.#completePersist(event.persistId)
      case 'snapshot_saved': return this.#compact(event.snapshot)
      case 'step_down': return this.#role.transferLeadership()
    }
  }

  #compact (snapshot: Snapshot): undefined {
    this.#state.compact(snapshot)
  }

  #completePersist (persistId: number): RoleResult {
    for (const { to, message } of this.#state.completePersist(persistId)) {
      if (isSameVoter(to, this.#state.id)) this.#changeRole(this.#role.receive(to, message))
      else this.#state.send(to, message)
    }
    return this.#role.onPersisted()
  }

  #receive (from: VoterId, message: ConsensusMessage<Command>): RoleResult {
    if (message.kind === 'vote_request') {
      this.#receiveVoteRequest(from, message)
      return undefined
    }
    if (isPreVoteGrant(message)) return this.#receivePreVoteGrant(from, message)
    if (message.term > this.#state.term) this.#enterTerm(message.term)
    if (message.term < this.#state.term) return this.#rejectStaleMessage(from, message)
    if (isFromLeader(message)) this.#acceptLeader(from)
    return this.#role.receive(from, message)
  }

  #receiveVoteRequest (from: VoterId, message: MessageOf<Command, 'vote_request'>): void {
    const verdict = checkVoteRequest(this.#state, message)
    if (verdict === 'reject') rejectVote(this.#state, from, message.isPreVote)
    if (verdict !== 'consider') return
    if (message.isPreVote) respondToPreVoteRequest(this.#state, from, message)
    else this.#enterTermAndRespond(from, message)
  }

  #enterTermAndRespond (from: VoterId, message: MessageOf<Command, 'vote_request'>): void {
    if (message.term > this.#state.term) this.#enterTerm(message.term)
    respondToVoteRequest(this.#state, from, message)
  }

  /** A granted pre-vote carries the prospective term of the campaign, which no replica has entered yet. */
  #receivePreVoteGrant (from: VoterId, message: ConsensusMessage<Command>): RoleResult {
    return message.term === this.#state.term + 1 ? this.#role.receive(from, message) : undefined
  }

  #enterTerm (term: number): void {
    this.#state.setHardState(term, null)
    this.#changeRole({ kind: 'follow', leader: null })
  }

  /** Informs a leader of an earlier term about the current term. Round 0 never counts as contact. */
  #rejectStaleMessage (from: VoterId, message: ConsensusMessage<Command>): undefined {
    if (!isFromLeader(message)) return
    const { term, commitIndex } = this.#state
    this.#state.sendAfterHardStateSync(from, { kind: 'append_response', term, success: false, matchIndex: commitIndex, round: 0 })
  }

  /** Two leaders of one term mean that an invariant of Raft is broken, so the replica throws instead of continuing. */
  #acceptLeader (leader: VoterId): void {
    if (this.#state.role === 'leader') throw new Error(`another replica also claims to lead term ${this.#state.term}`)
    const currentLeader = this.#state.leader
    if (currentLeader === null || !isSameVoter(currentLeader, leader)) this.#changeRole({ kind: 'follow', leader })
  }

  #changeRole (change: RoleResult): void {
    if (change === undefined) return
    this.#role.exit()
    this.#role = this.#createRole(change)
    this.#state.setRole(this.#role.name, this.#leaderAfter(change))
    this.#state.resetElectionTimeout()
    this.#changeRole(this.#role.enter())
  }

  #createRole (change: RoleChange): Role<Command> {
    switch (change.kind) {
      case 'follow': return new FollowerRole(this.#state)
      case 'pre_campaign': return new PreCandidateRole(this.#state)
      case 'campaign':
        this.#state.setHardState(this.#state.term + 1, this.#state.id)
        return new CandidateRole(this.#state, change.isTransfer)
      case 'lead': return new LeaderRole(this.#state)
    }
  }

  #leaderAfter (change: RoleChange): VoterId | null {
    if (change.kind === 'lead') return this.#state.id
    return change.kind === 'follow' ? change.leader : null
  }
}

function isFromLeader<Command> (message: ConsensusMessage<Command>): boolean {
  return message.kind === 'append_request' || message.kind === 'snapshot_chunk' ||
    message.kind === 'transfer_leadership'
}

function isPreVoteGrant<Command> (message: ConsensusMessage<Command>): boolean {
  return message.kind === 'vote_response' && message.isPreVote && message.granted
}
