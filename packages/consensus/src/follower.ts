/** Follower role. */
import type { ConsensusMessage, LogEntry, Snapshot, VoterId } from './messages.js'
import { Role, type MessageOf, type RoleResult } from './role.js'
import { SnapshotReceiver } from './snapshot-transfer.js'

/** Appends the leader's entries (section 5.3 of the Raft paper) and starts a pre-vote at the election timeout. */
export class FollowerRole<Command> extends Role<Command> {
  readonly name = 'follower'
  readonly #snapshotReceiver = new SnapshotReceiver<Command>()

  override nextWakeAtMs (): number {
    return this.state.isVoter ? this.state.electionTimeoutAtMs : Infinity
  }

  override tick (): RoleResult {
    const isDue = this.state.nowMs >= this.nextWakeAtMs()
    return isDue ? { kind: 'pre_campaign' } : undefined
  }

  override receive (from: VoterId, message: ConsensusMessage<Command>): RoleResult {
    switch (message.kind) {
      case 'append_request': return this.#handleAppend(from, message)
      case 'snapshot_chunk': return this.#handleSnapshotChunk(from, message)
      case 'transfer_leadership': return this.state.isVoter ? { kind: 'campaign', isTransfer: true } : undefined
      default: return undefined
    }
  }

  #handleAppend (from: VoterId, request: MessageOf<Command, 'append_request'>): undefined {
    this.state.recordLeaderContact()
    const { log, commitIndex } = this.state
    // Entries up to the base index are covered by a snapshot and hence committed, so the log matches the leader's up to
    // the commit index.
    if (request.previousIndex < log.baseIndex) return this.#acknowledge(from, request.round, commitIndex)
    if (log.termAt(request.previousIndex) !== request.previousTerm) return this.#reject(from, request)
    const matchIndex = request.previousIndex + request.entries.length
    const newEntries = this.#newEntries(request.entries)
    this.state.append(newEntries)
    this.state.commitTo(Math.min(request.commitIndex, matchIndex))
    if (newEntries.length === 0) this.#acknowledge(from, request.round, matchIndex)
    else this.state.sendAfterSync(from, this.#response(true, matchIndex, request.round))
  }

  /** The entries from the first one on that is missing from the log or conflicts with it. */
  #newEntries (entries: ReadonlyArray<LogEntry<Command>>): ReadonlyArray<LogEntry<Command>> {
    const start = entries.findIndex(entry => this.state.log.termAt(entry.index) !== entry.term)
    return start === -1 ? [] : entries.slice(start)
  }

  /**
   * Responds with the durable part of the log, without waiting for pending entries to be synced, so that a slow disk is
   * not mistaken for a failed replica.
   */
  #acknowledge (from: VoterId, round: number, matchIndex: number): undefined {
    const durableIndex = Math.min(matchIndex, this.state.durableIndex)
    this.state.sendAfterHardStateSync(from, this.#response(true, durableIndex, round))
  }

  #reject (from: VoterId, request: MessageOf<Command, 'append_request'>): undefined {
    const hint = this.state.log.conflictHint(request.previousIndex, this.state.commitIndex)
    this.state.sendAfterHardStateSync(from, this.#response(false, hint, request.round))
  }

  #response (success: boolean, matchIndex: number, round: number): MessageOf<Command, 'append_response'> {
    return { kind: 'append_response', term: this.state.term, success, matchIndex, round }
  }

  #handleSnapshotChunk (from: VoterId, message: MessageOf<Command, 'snapshot_chunk'>): undefined {
    this.state.recordLeaderContact()
    const { lastIndex, lastTerm } = message.snapshot
    if (this.state.log.termAt(lastIndex) === lastTerm || lastIndex <= this.state.commitIndex) {
      this.state.commitTo(lastIndex)
      return this.#acknowledgeSnapshot(from, message)
    }
    const snapshot = this.#snapshotReceiver.receive(from, message)
    if (snapshot === undefined) return this.#acknowledgeChunk(from, lastIndex)
    this.#installSnapshot(snapshot)
    this.#acknowledgeSnapshot(from, message)
  }

  #installSnapshot (snapshot: Snapshot): void {
    this.state.installSnapshot(snapshot)
  }

  #acknowledgeChunk (from: VoterId, lastIndex: number): undefined {
    const { receivedBytes } = this.#snapshotReceiver
    this.state.sendAfterHardStateSync(from, { kind: 'snapshot_ack', term: this.state.term, lastIndex, receivedBytes })
  }

  /** Acknowledges the complete snapshot once all pending writes are synced. */
  #acknowledgeSnapshot (from: VoterId, message: MessageOf<Command, 'snapshot_chunk'>): undefined {
    const { snapshot: { lastIndex }, totalBytes } = message
    const ack = { kind: 'snapshot_ack', term: this.state.term, lastIndex, receivedBytes: totalBytes } as const
    this.state.sendAfterSync(from, ack)
  }
}
