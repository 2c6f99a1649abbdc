/** The replica: a pure state machine that implements Raft. */
import { CandidateRole, PreCandidateRole } from './campaign.js'
import { FollowerRole } from './follower.js'
import { LeaderRole } from './leader.js'
import type {
  ConsensusMessage, RecoveredLog, ReplicaEffect, ReplicaEvent, ReplicaRole, Snapshot, VoterId
} from './messages.js'
import type { MessageOf, Role, RoleChange, RoleResult } from './role.js'
import { ReplicaState, type ReplicaOptions } from './state.js'
import { isJoint, sameVoter, type VoterConfiguration } from './voters.js'
import { answerPreVote, answerVote, examineVoteRequest, refuseVote } from './voting.js'

/** Term of the entry that brings the first voter set; the first leader has the next one. */
const firstTerm = 1

/**
 * One member of a replicated log (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014;
 * Ongaro's thesis "Consensus: Bridging Theory and Practice" for pre-vote, check-quorum, transfer and membership).
 *
 * Effects are carried out in order; a `persist` need not be finished before the effects behind it are carried out. The
 * first step of a replica with a snapshot on disk yields `restore`.
 *
 * @example
 * const replica = new Replica({ id, settings: defaultReplicaSettings, recovered, random: new Random(7) })
 * for (const effect of replica.step({ kind: 'tick' }, clock.monotonicMs())) carryOut(effect)
 * setTimer(replica.nextWakeAtMs())
 */
export class Replica<Command> {
  readonly #state: ReplicaState<Command>
  #current: Role<Command>
  #isStarted = false

  constructor (options: ReplicaOptions<Command>) {
    this.#state = new ReplicaState(options)
    this.#current = new FollowerRole(this.#state)
  }

  /**
   * What a voter of the first set writes to its empty disk; it must be the same on all of them.
   *
   * @example
   * const { hardState, entries } = Replica.initialLog<MyCommand>(voters)
   * await storage.persist({ kind: 'persist', persistId: 0, hardState, entries })
   */
  static initialLog<Command> (voters: readonly VoterId[]): RecoveredLog<Command> & { readonly snapshot: null } {
    const body = { kind: 'voters', voters, outgoingVoters: [] } as const
    return {
      hardState: { term: firstTerm, votedFor: null },
      snapshot: null,
      entries: [{ index: 1, term: firstTerm, logTimeMs: 0, body }]
    }
  }

  /** What an empty disk holds. A replica that starts from it never votes and waits to be added. */
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

  /** The voter set; the old one until a replacement is through. */
  get voters (): readonly VoterId[] {
    const { configuration } = this.#state
    return isJoint(configuration) ? configuration.outgoingVoters : configuration.voters
  }

  /** Both voter sets. */
  get configuration (): VoterConfiguration {
    return this.#state.configuration
  }

  get commitIndex (): number {
    return this.#state.commitIndex
  }

  get lastIndex (): number {
    return this.#state.log.lastIndex
  }

  /** Estimated size of the log after the latest snapshot, for the decision when to take the next. */
  get bytesAfterSnapshot (): number {
    return this.#state.log.sizeAfterBytes(this.#state.log.snapshot?.lastIndex ?? 0)
  }

  /** Monotonic time at which the next `tick` is due; `Infinity` where none is, as for a replica without a vote. */
  nextWakeAtMs (): number {
    return this.#isStarted ? this.#current.nextWakeAtMs() : this.#state.nowMs
  }

  /**
   * Whether this replica leads and a majority took it for the leader within `leaseMs`, so that no other replica can
   * have committed anything that this one does not know. It holds only for a clock that goes on while the process
   * stands still.
   *
   * @example
   * if (replica.hasQuorumLease(clock.monotonicMs())) answerFromState()
   */
  hasQuorumLease (nowMs: number): boolean {
    return this.#current.hasQuorumLease(nowMs)
  }

  /** How many more voters may be lost while the rest goes on with everything; null on a replica that does not lead. */
  get survivableLosses (): number | null {
    return this.#current.survivableLosses()
  }

  /**
   * Position and voter sets for a snapshot of the state machine after the entry at `lastIndex`.
   *
   * @example
   * await storage.saveSnapshot({ ...replica.describeSnapshot(appliedIndex), content })
   */
  describeSnapshot (lastIndex: number): Omit<Snapshot, 'content'> {
    return this.#state.describeSnapshot(lastIndex)
  }

  /** Runs one event to its end and returns what the adapters have to do. */
  step (event: ReplicaEvent<Command>, nowMs: number): Array<ReplicaEffect<Command>> {
    this.#state.advanceTo(nowMs)
    if (!this.#isStarted) this.#start()
    this.#change(this.#current.checkExpiry())
    this.#change(this.#handle(event))
    return this.#state.takeEffects()
  }

  /** A replica that restarts may have answered a leader just before, so it refuses votes for a while. */
  #start (): void {
    this.#isStarted = true
    this.#state.heardLeader()
    this.#state.restoreRecovered()
  }

  #handle (event: ReplicaEvent<Command>): RoleResult {
    switch (event.kind) {
      case 'tick': return this.#current.tick()
      case 'message': return this.#receive(event.from, event.message)
      case 'propose': return this.#current.propose(event)
      case 'replace_voter': return this.#current.replaceVoter(event)
      case 'persisted': return this.#persisted(event.persistId)
      case 'snapshot_saved': return this.#compact(event.snapshot)
      case 'step_down': return this.#current.stepDown()
    }
  }

  #compact (snapshot: Snapshot): undefined {
    this.#state.compact(snapshot)
  }

  #persisted (persistId: number): RoleResult {
    for (const { to, message } of this.#state.completePersist(persistId)) {
      if (sameVoter(to, this.#state.id)) this.#change(this.#current.receive(to, message))
      else this.#state.send(to, message)
    }
    return this.#current.persisted()
  }

  #receive (from: VoterId, message: ConsensusMessage<Command>): RoleResult {
    if (message.kind === 'vote_request') {
      this.#receiveVoteRequest(from, message)
      return undefined
    }
    if (isPreVoteGrant(message)) return this.#receivePreVoteGrant(from, message)
    if (message.term > this.#state.term) this.#enterTerm(message.term)
    if (message.term < this.#state.term) return this.#refuseStale(from, message)
    if (isFromLeader(message)) this.#recognise(from)
    return this.#current.receive(from, message)
  }

  #receiveVoteRequest (from: VoterId, message: MessageOf<Command, 'vote_request'>): void {
    const verdict = examineVoteRequest(this.#state, message)
    if (verdict === 'refuse') refuseVote(this.#state, from, message.isPreVote)
    if (verdict !== 'consider') return
    if (message.isPreVote) answerPreVote(this.#state, from, message)
    else this.#answerVote(from, message)
  }

  #answerVote (from: VoterId, message: MessageOf<Command, 'vote_request'>): void {
    if (message.term > this.#state.term) this.#enterTerm(message.term)
    answerVote(this.#state, from, message)
  }

  /** A granted pre-vote carries the term that was asked for, which nobody has entered. */
  #receivePreVoteGrant (from: VoterId, message: ConsensusMessage<Command>): RoleResult {
    return message.term === this.#state.term + 1 ? this.#current.receive(from, message) : undefined
  }

  #enterTerm (term: number): void {
    this.#state.setHardState(term, null)
    this.#change({ kind: 'follow', leader: null })
  }

  /** Tells a leader of an earlier term about the current one. */
  #refuseStale (from: VoterId, message: ConsensusMessage<Command>): undefined {
    if (!isFromLeader(message)) return
    const { term, commitIndex } = this.#state
    this.#state.sendInTerm(from, { kind: 'append_response', term, success: false, matchIndex: commitIndex, round: 0 })
  }

  #recognise (leader: VoterId): void {
    if (this.#state.role === 'leader') throw new Error(`two leaders in term ${this.#state.term}`)
    const known = this.#state.leader
    if (known === null || !sameVoter(known, leader)) this.#change({ kind: 'follow', leader })
  }

  #change (change: RoleResult): void {
    if (change === undefined) return
    this.#current.end()
    this.#current = this.#roleFor(change)
    this.#state.setRole(this.#current.name, this.#leaderAfter(change))
    this.#state.postponeElection()
    this.#change(this.#current.begin())
  }

  #roleFor (change: RoleChange): Role<Command> {
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
