/** What every role of a replica works on. */
import type { Random } from '@comfreygrade/core'
import { ReplicatedLog } from './log.js'
import { Membership } from './membership.js'
import type {
  ConsensusMessage, LogEntry, RecoveredLog, RejectionReason, ReplicaEffect, ReplicaRole, Snapshot, VoterId
} from './messages.js'
import { PersistQueue, type OutgoingMessage } from './persistence.js'
import { ProposalTable } from './proposals.js'
import { checkSettings, type ReplicaSettings } from './settings.js'
import { allVoters, includesVoter, sameVoter, type VoterConfiguration } from './voters.js'

/** What a replica is built from. */
export interface ReplicaOptions<Command> {
  readonly id: VoterId
  readonly settings: ReplicaSettings
  readonly recovered: RecoveredLog<Command>
  readonly random: Random
  /**
   * Log time in milliseconds from which the first leader of an empty log starts, usually the wall clock at the start of
   * the node. It is not used once the log holds a log time.
   */
  readonly originLogTimeMs?: number
}

/** Terms, votes, log, commits and the effects of the step at hand. */
export class ReplicaState<Command> {
  readonly id: VoterId
  readonly settings: ReplicaSettings
  readonly log: ReplicatedLog<Command>
  readonly originLogTimeMs: number
  readonly #random: Random
  readonly #membership = new Membership<Command>()
  readonly #disk = new PersistQueue<Command>()
  readonly #proposals = new ProposalTable()
  #effects: Array<ReplicaEffect<Command>> = []
  #term: number
  #votedFor: VoterId | null
  #role: ReplicaRole = 'follower'
  #leader: VoterId | null = null
  #commitIndex: number
  #nowMs = -Infinity
  #heardLeaderMs = -Infinity
  #electionAtMs = Infinity

  constructor (options: ReplicaOptions<Command>) {
    checkSettings(options.settings)
    this.id = options.id
    this.settings = options.settings
    this.originLogTimeMs = options.originLogTimeMs ?? 0
    this.#random = options.random
    this.log = new ReplicatedLog(options.recovered)
    this.#term = options.recovered.hardState.term
    this.#votedFor = options.recovered.hardState.votedFor
    this.#commitIndex = options.recovered.snapshot?.lastIndex ?? 0
    if (options.recovered.snapshot !== null) this.#membership.replaceBy(options.recovered.snapshot)
    this.#membership.append(options.recovered.entries)
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

  /** When a follower starts a pre-vote. */
  get electionAtMs (): number {
    return this.#electionAtMs
  }

  /** The voter sets in force. */
  get configuration (): VoterConfiguration {
    return this.#membership.current.configuration
  }

  /** Index of the entry that brought the voter sets in force. */
  get configurationIndex (): number {
    return this.#membership.current.index
  }

  get isVoter (): boolean {
    return includesVoter(allVoters(this.configuration), this.id)
  }

  /** Greatest index that is on this disk. */
  get durableIndex (): number {
    return this.#disk.durableIndex(this.log.lastIndex)
  }

  /** Whether a leader was heard so recently that its lease may still run. */
  get hasRecentLeader (): boolean {
    return this.#nowMs - this.#heardLeaderMs < this.settings.electionMinMs
  }

  /** Starts a step at `nowMs`. */
  advanceTo (nowMs: number): void {
    this.#nowMs = Math.max(this.#nowMs, nowMs)
  }

  /** Ends a step and returns its effects. */
  takeEffects (): Array<ReplicaEffect<Command>> {
    const effects = this.#effects
    this.#effects = []
    return effects
  }

  /** A random whole number of milliseconds between the two bounds. */
  randomMs (lowMs: number, highMs: number): number {
    return this.#random.nextInt(lowMs, highMs)
  }

  /** Notes that the leader was heard, which postpones the next election. */
  heardLeader (): void {
    this.#heardLeaderMs = this.#nowMs
    this.postponeElection()
  }

  /** Draws the next election timeout. */
  postponeElection (): void {
    const { electionMinMs, electionMaxMs } = this.settings
    this.#electionAtMs = this.#nowMs + this.randomMs(electionMinMs, electionMaxMs)
  }

  /** Changes the role and tells the adapters if anything about it changed. */
  setRole (role: ReplicaRole, leader: VoterId | null): void {
    if (role === this.#role && isSameOrNone(leader, this.#leader)) return
    this.#role = role
    this.#leader = leader
    this.#effects.push({ kind: 'role_changed', role, term: this.#term, leader })
  }

  /** Sets term and vote and gives them to the disk. */
  setHardState (term: number, votedFor: VoterId | null): void {
    this.#term = term
    this.#votedFor = votedFor
    this.#effects.push(this.#disk.add({ hardState: { term, votedFor }, entries: [] }))
  }

  /** Sends a message that promises nothing. */
  send (to: VoterId, message: ConsensusMessage<Command>): void {
    this.#effects.push({ kind: 'send', to, message })
  }

  /** Sends a message once the latest term and vote are on disk. */
  sendInTerm (to: VoterId, message: ConsensusMessage<Command>): void {
    if (!this.#disk.holdForHardState({ to, message })) this.send(to, message)
  }

  /** Sends a message that promises durability once everything given to the disk so far is synced. */
  sendWhenDurable (to: VoterId, message: ConsensusMessage<Command>): void {
    if (!this.#disk.holdForAll({ to, message })) this.send(to, message)
  }

  /** Notes a sync; returns the messages that waited for it and still belong to the current term. */
  completePersist (persistId: number): Array<OutgoingMessage<Command>> {
    return this.#disk.complete(persistId).filter(({ message }) => message.term === this.#term)
  }

  /** Appends entries, of which the first may overwrite the log from its index on, and gives them to the disk. */
  append (entries: ReadonlyArray<LogEntry<Command>>): void {
    const first = entries[0]
    if (first === undefined) return
    if (first.index <= this.log.lastIndex) this.#truncateFrom(first.index)
    this.log.append(entries)
    this.#membership.append(entries)
    this.#effects.push(this.#disk.add({ entries }))
  }

  #truncateFrom (index: number): void {
    if (index <= this.#commitIndex) throw new Error(`index ${index} is committed and cannot be overwritten`)
    this.log.truncateFrom(index)
    this.#membership.truncateFrom(index)
    for (const proposalId of this.#proposals.takeFrom(index)) this.reject(proposalId, 'lost')
  }

  /** Takes note of a proposal of this replica that was appended at `index`. */
  trackProposal (index: number, proposalId: string): void {
    this.#proposals.add(index, proposalId)
  }

  /** Answers a proposal that has no effect. */
  reject (proposalId: string, reason: RejectionReason): void {
    this.#effects.push({ kind: 'proposal_rejected', proposalId, reason, leader: this.#leader })
  }

  /** Commits everything up to `index` and applies it. */
  commitTo (index: number): void {
    const last = Math.min(index, this.log.lastIndex)
    if (last <= this.#commitIndex) return
    const entries = this.log.range(this.#commitIndex + 1, last)
    this.#commitIndex = last
    for (const entry of entries) this.#proposals.commit(entry.index)
    this.#effects.push({ kind: 'apply', entries })
  }

  /** Gives the snapshot found on the disk to the state machine. */
  restoreRecovered (): void {
    if (this.log.snapshot !== null) this.#effects.push({ kind: 'restore', snapshot: this.log.snapshot })
  }

  /** Replaces log and state machine by a snapshot of the leader. */
  install (snapshot: Snapshot): void {
    this.log.replaceBy(snapshot)
    this.#membership.replaceBy(snapshot)
    this.#commitIndex = snapshot.lastIndex
    for (const proposalId of this.#proposals.takeFrom(0)) this.reject(proposalId, 'unknown')
    this.#effects.push(this.#disk.add({ snapshot, entries: [] }), { kind: 'restore', snapshot })
  }

  /** Drops the part of the log that a saved snapshot covers. */
  compact (snapshot: Snapshot): void {
    if (snapshot.lastIndex > this.#commitIndex) throw new RangeError('a snapshot covers committed entries only')
    const { keepTailEntries, keepTailBytes } = this.settings
    this.log.compact(snapshot, { maxEntries: keepTailEntries, maxBytes: keepTailBytes })
    this.#membership.compact(this.log.baseIndex)
  }

  /** Position and voter sets of a snapshot at `lastIndex`. */
  describeSnapshot (lastIndex: number): Omit<Snapshot, 'content'> {
    const lastTerm = this.log.termAt(lastIndex)
    const logTimeMs = this.log.logTimeAt(lastIndex)
    if (lastTerm === undefined || logTimeMs === undefined || lastIndex > this.#commitIndex) {
      throw new RangeError(`index ${lastIndex} is not a committed entry of the log in memory`)
    }
    return { lastIndex, lastTerm, logTimeMs, ...this.#membership.at(lastIndex) }
  }
}

function isSameOrNone (one: VoterId | null, other: VoterId | null): boolean {
  if (one === null || other === null) return one === other
  return sameVoter(one, other)
}
