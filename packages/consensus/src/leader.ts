/** Leader role. */
import { LogClock } from './log-clock.js'
import type { ConsensusMessage, EntryBody, VoterId } from './messages.js'
import { VoterReplacement } from './voter-replacement.js'
import { Replication } from './replication.js'
import { Role, type EventOf, type RoleResult } from './role.js'
import type { ReplicaState } from './state.js'
import { LeadershipTransfer } from './leadership-transfer.js'
import { allVoters, includesVoter, isJoint, majorityValue, isSameVoter } from './voters.js'

/** Appends, replicates and commits entries (sections 5.3 and 5.4 of the Raft paper), with check-quorum and leases. */
export class LeaderRole<Command> extends Role<Command> {
  readonly name = 'leader'
  readonly #replication: Replication<Command>
  readonly #replacement: VoterReplacement<Command>
  readonly #transfer: LeadershipTransfer<Command>
  readonly #logClock: LogClock
  #nextHeartbeatAtMs = 0
  #hasCommittedInTerm = false

  constructor (state: ReplicaState<Command>) {
    super(state)
    this.#replication = new Replication(state)
    this.#replacement = new VoterReplacement(state, this.#replication)
    this.#transfer = new LeadershipTransfer(state, this.#replication)
    // A log time of 0 means that no leader has written one yet: only the initial entry has it.
    const originMs = state.log.lastLogTimeMs === 0 ? state.originLogTimeMs : state.log.lastLogTimeMs
    this.#logClock = new LogClock(originMs, state.nowMs)
  }

  override enter (): RoleResult {
    this.#replication.setPeers(allVoters(this.state.configuration))
    this.#append({ kind: 'noop' })
    this.#sendHeartbeats()
    return this.#commitAndContinue()
  }

  override exit (): void {
    this.#replacement.cancel()
  }

  override nextWakeAtMs (): number {
    return Math.min(this.#nextHeartbeatAtMs, this.#checkQuorumDeadlineAtMs(), this.#transfer.deadlineAtMs)
  }

  override checkExpiry (): RoleResult {
    return this.state.nowMs >= this.#checkQuorumDeadlineAtMs() ? { kind: 'follow', leader: null } : undefined
  }

  override tick (): RoleResult {
    if (this.#transfer.isExpired) return { kind: 'follow', leader: null }
    this.#replacement.checkLearnerTimeout()
    if (this.state.nowMs >= this.#nextHeartbeatAtMs) this.#sendHeartbeats()
    return this.#commitAndContinue()
  }

  override receive (from: VoterId, message: ConsensusMessage<Command>): RoleResult {
    if (message.kind === 'append_response') this.#replication.handleAppendResponse(from, message)
    if (message.kind === 'snapshot_ack') this.#replication.handleSnapshotAck(from, message)
    return this.#commitAndContinue()
  }

  override onPersisted (): RoleResult {
    return this.#commitAndContinue()
  }

  override propose (event: EventOf<Command, 'propose'>): RoleResult {
    const { proposalId, command } = event
    if (this.#transfer.isActive) this.state.rejectProposal(proposalId, 'not_leader')
    else if (this.#isBacklogFull()) this.state.rejectProposal(proposalId, 'queue_full')
    else this.#appendCommand({ kind: 'command', proposalId, command })
    return undefined
  }

  #isBacklogFull (): boolean {
    const { log, commitIndex, settings } = this.state
    if (log.lastIndex - commitIndex >= settings.maxUncommittedEntries) return true
    return log.bytesAfter(commitIndex) >= settings.maxUncommittedBytes
  }

  #appendCommand (body: Extract<EntryBody<Command>, { kind: 'command' }>): void {
    this.#append(body, body.proposalId)
    this.#replication.sendAppends()
  }

  override replaceVoter (event: EventOf<Command, 'replace_voter'>): RoleResult {
    if (this.#transfer.isActive) this.state.rejectProposal(event.proposalId, 'not_leader')
    else this.#replacement.start(event)
    return undefined
  }

  override transferLeadership (): RoleResult {
    this.#transfer.start()
    return undefined
  }

  /**
   * Until a new leader has committed an entry of its own term, it does not know which entries are committed, so it must
   * not serve reads (section 6.4 of the Raft thesis). After it has sent a transfer request, voters consider the
   * target's vote request in spite of this lease, so another leader may be elected at any time.
   */
  override hasQuorumLease (nowMs: number): boolean {
    if (!this.#hasCommittedInTerm || this.#transfer.isRequestSent) return false
    return nowMs < this.#quorumContactAtMs() + this.state.settings.leaseMs
  }

  /**
   * Number of in-sync voters beyond a majority; during joint consensus the smaller number of both voter sets. Negative
   * if fewer than a majority are in sync, as before the first responses to a new leader.
   */
  override survivableLosses (): number {
    const { voters, outgoingVoters } = this.state.configuration
    const sets = outgoingVoters.length === 0 ? [voters] : [voters, outgoingVoters]
    return Math.min(...sets.map(set => set.filter(voter => this.#isInSync(voter)).length - majoritySize(set)))
  }

  /** Whether a voter has responded recently and has synced all committed entries. */
  #isInSync (voter: VoterId): boolean {
    const { nowMs, commitIndex, settings } = this.state
    return this.#matchIndex(voter) >= commitIndex && nowMs - this.#lastContactAtMs(voter) < settings.checkQuorumMs
  }

  #append (body: EntryBody<Command>, proposalId?: string): void {
    const { state } = this
    const index = state.log.lastIndex + 1
    if (proposalId !== undefined) state.trackProposal(index, proposalId)
    state.append([{ index, term: state.term, logTimeMs: this.#logClock.timeAtMs(state.nowMs), body }])
  }

  #sendHeartbeats (): void {
    this.#nextHeartbeatAtMs = this.state.nowMs + this.state.settings.heartbeatMs
    this.#replication.sendHeartbeats()
  }

  /** Advances the commit index and continues a pending replacement or leadership transfer. */
  #commitAndContinue (): RoleResult {
    this.#commit()
    const entry = this.#replacement.takeNextEntry(this.#hasCommittedInTerm)
    if (entry !== undefined) {
      this.#append(entry.body, entry.proposalId)
      this.#replacement.onEntryAppended()
      this.#replication.sendAppends()
    }
    this.#transfer.sendWhenCaughtUp()
    return this.#isRemoved() ? this.#stepDown() : undefined
  }

  /** Only entries of the current term are committed by counting replicas (section 5.4.2). */
  #commit (): void {
    const { state } = this
    const index = majorityValue(state.configuration, voter => this.#matchIndex(voter))
    if (index <= state.commitIndex || state.log.termAt(index) !== state.term) return
    state.commitTo(index)
    this.#hasCommittedInTerm = true
    this.#replacement.onCommit()
  }

  #matchIndex (voter: VoterId): number {
    if (isSameVoter(voter, this.state.id)) return this.state.durableIndex
    return this.#replication.peer(voter)?.matchIndex ?? 0
  }

  /** The latest time at which a majority is known to have recognised this replica as the leader. */
  #quorumContactAtMs (): number {
    return majorityValue(this.state.configuration, voter => this.#lastContactAtMs(voter))
  }

  #lastContactAtMs (voter: VoterId): number {
    if (isSameVoter(voter, this.state.id)) return this.state.nowMs
    return this.#replication.peer(voter)?.lastContactAtMs ?? -Infinity
  }

  #checkQuorumDeadlineAtMs (): number {
    return this.#quorumContactAtMs() + this.state.settings.checkQuorumMs
  }

  /** Becomes a follower and, if another voter has the whole log, asks that one to start an election. */
  #stepDown (): RoleResult {
    this.#transfer.sendIfCaughtUp()
    return { kind: 'follow', leader: null }
  }

  /** Whether this replica is no longer a voter; it leads until the new configuration is committed (thesis, 4.2.2). */
  #isRemoved (): boolean {
    const { configuration, configurationIndex, commitIndex, id } = this.state
    if (isJoint(configuration) || configurationIndex > commitIndex) return false
    return !includesVoter(configuration.voters, id)
  }
}

function majoritySize (voters: readonly VoterId[]): number {
  return Math.floor(voters.length / 2) + 1
}
