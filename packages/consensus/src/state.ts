/** State of a replica that all its roles share. */
import type { Random } from '@comfreygrade/core'
import { ReplicatedLog } from './log.js'
import { ConfigurationHistory } from './configuration-history.js'
import type {
  ConsensusMessage, LogEntry, RecoveredLog, RejectionReason, ReplicaEffect, ReplicaRole, Snapshot, VoterId
} from './messages.js'
import { PersistQueue, type OutgoingMessage } from './persist-queue.js'
import { PendingProposals } from './pending-proposals.js'
import { validateSettings, type ReplicaSettings } from './settings.js'
import { allVoters, includesVoter, isSameVoter, type VoterConfiguration } from './voters.js'

/** Constructor options of a replica. */
export interface ReplicaOptions<Command> {
  readonly id: VoterId
  readonly settings: ReplicaSettings
  readonly recovered: RecoveredLog<Command>
  readonly random: Random
  /**
   * Initial log time in milliseconds for the first leader of an empty log, usually the wall-clock time at which the
   * node started. Not used once the log contains a log time.
   */
  readonly originLogTimeMs?: number
}

/** Term, vote, log, commit index and election timeout, and the effects of the current step. */
export class ReplicaState<Command> {
  readonly id: VoterId
  readonly settings: ReplicaSettings
  readonly log: ReplicatedLog<Command>
  readonly originLogTimeMs: number
  readonly #random: Random
  readonly #configurations = new ConfigurationHistory<Command>()
  readonly #persistQueue = new PersistQueue<Command>()
  readonly #pendingProposals = new PendingProposals()
  #effects: Array<ReplicaEffect<Command>> = []
  #term: number
  #votedFor: VoterId | null
  #role: ReplicaRole = 'follower'
  #leader: VoterId | null = null
  #commitIndex: number
  #nowMs = -Infinity
  #leaderContactAtMs = -Infinity
  #electionTimeoutAtMs = Infinity

  constructor (options: ReplicaOptions<Command>) {
    validateSettings(options.settings)
    this.id = options.id
    this.settings = options.settings
    this.originLogTimeMs = options.originLogTimeMs ?? 0
    this.#random = options.random
    this.log = new ReplicatedLog(options.recovered)
    this.#term = options.recovered.hardState.term
    this.#votedFor = options.recovered.hardState.votedFor
    this.#commitIndex = options.recovered.snapshot?.lastIndex ?? 0
    if (options.recovered.snapshot !== null) this.#configurations.resetTo(options.recovered.snapshot)
    this.#configurations.append(options.recovered.entries)
  }

  get term (): number {
    return this.#term
  }

  get votedFor (): VoterId | null {
    return this.#votedFor
  }

  get role (): ReplicaRole {
    return this.#role
  }

  get leader (): VoterId | null {
    return this.#leader
  }

  get commitIndex (): number {
    return this.#commitIndex
  }

  get nowMs (): number {
    return this.#nowMs
  }

  /** Monotonic time at which a follower starts a pre-vote. */
  get electionTimeoutAtMs (): number {
    return this.#electionTimeoutAtMs
  }

  /** The voter configuration in effect. */
  get configuration (): VoterConfiguration {
    return this.#configurations.current.configuration
  }

  /** Index of the entry that introduced the configuration in effect. */
  get configurationIndex (): number {
    return this.#configurations.current.index
  }

  get isVoter (): boolean {
    return includesVoter(allVoters(this.configuration), this.id)
  }

  /** Last index up to which the log is synced to this replica's disk. */
  get durableIndex (): number {
    return this.#persistQueue.durableIndex(this.log.lastIndex)
  }

  /** Whether the last contact with a leader is so recent that its lease may still be valid. */
  get hasRecentLeader (): boolean {
    return this.#nowMs - this.#leaderContactAtMs < this.settings.electionMinMs
  }

  /** Starts a step at `nowMs`; time never goes back. */
  beginStep (nowMs: number): void {
    this.#nowMs = Math.max(this.#nowMs, nowMs)
  }

  /** Ends the current step and returns its effects. */
  takeEffects (): Array<ReplicaEffect<Command>> {
    const effects = this.#effects
    this.#effects = []
    return effects
  }

  /** Returns a random whole number of milliseconds between both bounds, inclusive. */
  randomDelayMs (minMs: number, maxMs: number): number {
    return this.#random.nextInt(minMs, maxMs)
  }

  /** Records contact with the leader and resets the election timeout. */
  recordLeaderContact (): void {
    this.#leaderContactAtMs = this.#nowMs
    this.resetElectionTimeout()
  }

  /** Chooses a new random election timeout that starts now. */
  resetElectionTimeout (): void {
    const { electionMinMs, electionMaxMs } = this.settings
    this.#electionTimeoutAtMs = this.#nowMs + this.randomDelayMs(electionMinMs, electionMaxMs)
  }

  /** Sets the role and the known leader; emits `role_changed` if either differs from before. */
  setRole (role: ReplicaRole, leader: VoterId | null): void {
    if (role === this.#role && isSameLeader(leader, this.#leader)) return
    this.#role = role
    this.#leader = leader
    this.#effects.push({ kind: 'role_changed', role, term: this.#term, leader })
  }

  /** Sets term and vote and persists them. */
  setHardState (term: number, votedFor: VoterId | null): void {
    this.#term = term
    this.#votedFor = votedFor
    this.#effects.push(this.#persistQueue.enqueue({ hardState: { term, votedFor }, entries: [] }))
  }

  /** Sends a message at once; only for messages that do not depend on durable state. */
  send (to: VoterId, message: ConsensusMessage<Command>): void {
    this.#effects.push({ kind: 'send', to, message })
  }

  /** Sends a message once the latest term and vote are on disk. */
  sendAfterHardStateSync (to: VoterId, message: ConsensusMessage<Command>): void {
    if (!this.#persistQueue.deferUntilHardStateSynced({ to, message })) this.send(to, message)
  }

  /** Sends a message that promises durability, once all pending writes are synced. */
  sendAfterSync (to: VoterId, message: ConsensusMessage<Command>): void {
    if (!this.#persistQueue.deferUntilSynced({ to, message })) this.send(to, message)
  }

  /** Records a completed sync; returns the messages deferred until it that still belong to the current term. */
  completePersist (persistId: number): Array<OutgoingMessage<Command>> {
    return this.#persistQueue.complete(persistId).filter(({ message }) => message.term === this.#term)
  }

  /** Appends entries and persists them; if the first one's index already exists, the log is truncated from there on. */
  append (entries: ReadonlyArray<LogEntry<Command>>): void {
    const first = entries[0]
    if (first === undefined) return
    if (first.index <= this.log.lastIndex) this.#truncateFrom(first.index)
    this.log.append(entries)
    this.#configurations.append(entries)
    this.#effects.push(this.#persistQueue.enqueue({ entries }))
  }

  #truncateFrom (index: number): void {
    if (index <= this.#commitIndex) throw new Error(`cannot overwrite the committed entry at index ${index}`)
    this.log.truncateFrom(index)
    this.#configurations.truncateFrom(index)
    for (const proposalId of this.#pendingProposals.takeFrom(index)) this.rejectProposal(proposalId, 'lost')
  }

  /** Records that a proposal made on this replica was appended at `index`. */
  trackProposal (index: number, proposalId: string): void {
    this.#pendingProposals.add(index, proposalId)
  }

  /** Reports that a proposal was rejected; see `RejectionReason` for what each reason means. */
  rejectProposal (proposalId: string, reason: RejectionReason): void {
    this.#effects.push({ kind: 'proposal_rejected', proposalId, reason, leader: this.#leader })
  }

  /** Commits the entries up to `index` and emits `apply` for them. */
  commitTo (index: number): void {
    const newCommitIndex = Math.min(index, this.log.lastIndex)
    if (newCommitIndex <= this.#commitIndex) return
    const entries = this.log.range(this.#commitIndex + 1, newCommitIndex)
    this.#commitIndex = newCommitIndex
    for (const entry of entries) this.#pendingProposals.remove(entry.index)
    this.#effects.push({ kind: 'apply', entries })
  }

  /** Restores the state machine from the snapshot recovered from disk, if there is one. */
  restoreRecoveredSnapshot (): void {
    if (this.log.snapshot !== null) this.#effects.push({ kind: 'restore', snapshot: this.log.snapshot })
  }

  /** Replaces the log and the state machine with a snapshot received from the leader. */
  installSnapshot (snapshot: Snapshot): void {
    this.log.resetTo(snapshot)
    this.#configurations.resetTo(snapshot)
    this.#commitIndex = snapshot.lastIndex
    for (const proposalId of this.#pendingProposals.takeFrom(0)) this.rejectProposal(proposalId, 'unknown')
    this.#effects.push(this.#persistQueue.enqueue({ snapshot, entries: [] }), { kind: 'restore', snapshot })
  }

  /** Discards the entries that a saved snapshot covers, apart from the trailing ones to keep. */
  compact (snapshot: Snapshot): void {
    if (snapshot.lastIndex > this.#commitIndex) throw new RangeError('the snapshot includes entries beyond the commit index')
    const { keepTailEntries, keepTailBytes } = this.settings
    this.log.compact(snapshot, { maxEntries: keepTailEntries, maxBytes: keepTailBytes })
    this.#configurations.compact(this.log.baseIndex)
  }

  /** Returns the metadata of a snapshot at `lastIndex`: position, log time and voter configuration. */
  describeSnapshot (lastIndex: number): Omit<Snapshot, 'content'> {
    const lastTerm = this.log.termAt(lastIndex)
    const logTimeMs = this.log.logTimeAt(lastIndex)
    if (lastTerm === undefined || logTimeMs === undefined || lastIndex > this.#commitIndex) {
      throw new RangeError(`no committed entry at index ${lastIndex} in memory`)
    }
    return { lastIndex, lastTerm, logTimeMs, ...this.#configurations.at(lastIndex) }
  }
}

function isSameLeader (left: VoterId | null, right: VoterId | null): boolean {
  if (left === null || right === null) return left === right
  return isSameVoter(left, right)
}
