/** A replica that leads its term. */
import { LogTime } from './log-time.js'
import type { ConsensusMessage, EntryBody, VoterId } from './messages.js'
import { Replacement } from './replacement.js'
import { Replication } from './replication.js'
import { Role, type EventOf, type RoleResult } from './role.js'
import type { ReplicaState } from './state.js'
import { Transfer } from './transfer.js'
import { allVoters, includesVoter, isJoint, majorityValue, sameVoter } from './voters.js'

/** Appends, replicates and commits (sections 5.3 and 5.4 of the Raft paper), with check-quorum and leases. */
export class LeaderRole<Command> extends Role<Command> {
  readonly name = 'leader'
  readonly #replication: Replication<Command>
  readonly #replacement: Replacement<Command>
  readonly #transfer: Transfer<Command>
  readonly #logTime: LogTime
  #nextHeartbeatMs = 0
  #hasCommittedInTerm = false

  constructor (state: ReplicaState<Command>) {
    super(state)
    this.#replication = new Replication(state)
    this.#replacement = new Replacement(state, this.#replication)
    this.#transfer = new Transfer(state, this.#replication)
    const originMs = state.log.lastLogTimeMs === 0 ? state.originLogTimeMs : state.log.lastLogTimeMs
    this.#logTime = new LogTime(originMs, state.nowMs)
  }

  override begin (): RoleResult {
    this.#replication.setPeers(allVoters(this.state.configuration))
    this.#append({ kind: 'noop' })
    this.#heartbeat()
    return this.#advance()
  }

  override end (): void {
    this.#replacement.abandon()
  }

  override nextWakeAtMs (): number {
    return Math.min(this.#nextHeartbeatMs, this.#expiresAtMs(), this.#transfer.deadlineMs)
  }

  override checkExpiry (): RoleResult {
    return this.state.nowMs >= this.#expiresAtMs() ? { kind: 'follow', leader: null } : undefined
  }

  override tick (): RoleResult {
    if (this.#transfer.isExpired) return { kind: 'follow', leader: null }
    this.#replacement.checkSilence()
    if (this.state.nowMs >= this.#nextHeartbeatMs) this.#heartbeat()
    return this.#advance()
  }

  override receive (from: VoterId, message: ConsensusMessage<Command>): RoleResult {
    if (message.kind === 'append_response') this.#replication.appendAnswered(from, message)
    if (message.kind === 'snapshot_ack') this.#replication.snapshotAnswered(from, message)
    return this.#advance()
  }

  override persisted (): RoleResult {
    return this.#advance()
  }

  override propose (event: EventOf<Command, 'propose'>): RoleResult {
    const { proposalId, command } = event
    if (this.#transfer.isActive) this.state.reject(proposalId, 'not_leader')
    else if (this.#isFull()) this.state.reject(proposalId, 'queue_full')
    else this.#appendCommand({ kind: 'command', proposalId, command })
    return undefined
  }

  #isFull (): boolean {
    const { log, commitIndex, settings } = this.state
    if (log.lastIndex - commitIndex >= settings.maxUncommittedEntries) return true
    return log.sizeAfterBytes(commitIndex) >= settings.maxUncommittedBytes
  }

  #appendCommand (body: Extract<EntryBody<Command>, { kind: 'command' }>): void {
    this.#append(body, body.proposalId)
    this.#replication.pump()
  }

  override replaceVoter (event: EventOf<Command, 'replace_voter'>): RoleResult {
    if (this.#transfer.isActive) this.state.reject(event.proposalId, 'not_leader')
    else this.#replacement.start(event)
    return undefined
  }

  override stepDown (): RoleResult {
    this.#transfer.start()
    return undefined
  }

  override hasQuorumLease (nowMs: number): boolean {
    if (!this.#hasCommittedInTerm || this.#transfer.isSent) return false
    return nowMs < this.#quorumContactMs() + this.state.settings.leaseMs
  }

  /** Voters beyond a majority that answer and hold everything that is committed; in a replacement, of both sets. */
  override survivableLosses (): number {
    const { voters, outgoingVoters } = this.state.configuration
    const sets = outgoingVoters.length === 0 ? [voters] : [voters, outgoingVoters]
    return Math.min(...sets.map(set => set.filter(voter => this.#isIntact(voter)).length - majorityOf(set)))
  }

  #isIntact (voter: VoterId): boolean {
    const { nowMs, commitIndex, settings } = this.state
    return this.#matchIndex(voter) >= commitIndex && nowMs - this.#contactMs(voter) < settings.checkQuorumMs
  }

  #append (body: EntryBody<Command>, proposalId?: string): void {
    const { state } = this
    const index = state.log.lastIndex + 1
    if (proposalId !== undefined) state.trackProposal(index, proposalId)
    state.append([{ index, term: state.term, logTimeMs: this.#logTime.at(state.nowMs), body }])
  }

  #heartbeat (): void {
    this.#nextHeartbeatMs = this.state.nowMs + this.state.settings.heartbeatMs
    this.#replication.heartbeat()
  }

  /** Commits what can be committed and continues a replacement or a transfer that waited for it. */
  #advance (): RoleResult {
    this.#commit()
    const entry = this.#replacement.nextEntry(this.#hasCommittedInTerm)
    if (entry !== undefined) {
      this.#append(entry.body, entry.proposalId)
      this.#replacement.appended()
      this.#replication.pump()
    }
    this.#transfer.proceed()
    return this.#isRemoved() ? this.#leave() : undefined
  }

  /** Only entries of the current term are committed by counting (section 5.4.2). */
  #commit (): void {
    const { state } = this
    const index = majorityValue(state.configuration, voter => this.#matchIndex(voter))
    if (index <= state.commitIndex || state.log.termAt(index) !== state.term) return
    state.commitTo(index)
    this.#hasCommittedInTerm = true
    this.#replacement.committed()
  }

  #matchIndex (voter: VoterId): number {
    if (sameVoter(voter, this.state.id)) return this.state.durableIndex
    return this.#replication.peer(voter)?.matchIndex ?? 0
  }

  /** The latest time at which a majority certainly took this replica for the leader. */
  #quorumContactMs (): number {
    return majorityValue(this.state.configuration, voter => this.#contactMs(voter))
  }

  #contactMs (voter: VoterId): number {
    if (sameVoter(voter, this.state.id)) return this.state.nowMs
    return this.#replication.peer(voter)?.contactMs ?? -Infinity
  }

  #expiresAtMs (): number {
    return this.#quorumContactMs() + this.state.settings.checkQuorumMs
  }

  #leave (): RoleResult {
    this.#transfer.sendNow()
    return { kind: 'follow', leader: null }
  }

  /** A leader that is replaced leads until the new set is committed (section 4.2.2 of the thesis). */
  #isRemoved (): boolean {
    const { configuration, configurationIndex, commitIndex, id } = this.state
    if (isJoint(configuration) || configurationIndex > commitIndex) return false
    return !includesVoter(configuration.voters, id)
  }
}

function majorityOf (voters: readonly VoterId[]): number {
  return Math.floor(voters.length / 2) + 1
}
