/** A replica that follows a leader, or waits for one. */
import type { ConsensusMessage, LogEntry, Snapshot, VoterId } from './messages.js'
import { Role, type MessageOf, type RoleResult } from './role.js'
import { SnapshotReceiver } from './snapshot-transfer.js'

/** Stores what the leader sends (section 5.3 of the Raft paper) and campaigns when it is silent. */
export class FollowerRole<Command> extends Role<Command> {
  readonly name = 'follower'
  readonly #receiver = new SnapshotReceiver<Command>()

  override nextWakeAtMs (): number {
    return this.state.isVoter ? this.state.electionAtMs : Infinity
  }

  override tick (): RoleResult {
    const isDue = this.state.nowMs >= this.nextWakeAtMs()
    return isDue ? { kind: 'pre_campaign' } : undefined
  }

  override receive (from: VoterId, message: ConsensusMessage<Command>): RoleResult {
    switch (message.kind) {
      case 'append_request': return this.#append(from, message)
      case 'snapshot_chunk': return this.#receiveChunk(from, message)
      case 'transfer_leadership': return this.state.isVoter ? { kind: 'campaign', isTransfer: true } : undefined
      default: return undefined
    }
  }

  #append (from: VoterId, request: MessageOf<Command, 'append_request'>): undefined {
    this.state.heardLeader()
    const { log, commitIndex } = this.state
    if (request.previousIndex < log.baseIndex) return this.#acknowledge(from, request.round, commitIndex)
    if (log.termAt(request.previousIndex) !== request.previousTerm) return this.#refuse(from, request)
    const matchIndex = request.previousIndex + request.entries.length
    const fresh = this.#freshEntries(request.entries)
    this.state.append(fresh)
    this.state.commitTo(Math.min(request.commitIndex, matchIndex))
    if (fresh.length === 0) this.#acknowledge(from, request.round, matchIndex)
    else this.state.sendWhenDurable(from, this.#response(true, matchIndex, request.round))
  }

  /** The part of the entries that the log does not hold yet; it starts at the first conflict. */
  #freshEntries (entries: ReadonlyArray<LogEntry<Command>>): ReadonlyArray<LogEntry<Command>> {
    const start = entries.findIndex(entry => this.state.log.termAt(entry.index) !== entry.term)
    return start === -1 ? [] : entries.slice(start)
  }

  /** Answers at once with what is durable, so that a slow disk does not look like a lost replica. */
  #acknowledge (from: VoterId, round: number, matchIndex: number): undefined {
    const durableIndex = Math.min(matchIndex, this.state.durableIndex)
    this.state.sendInTerm(from, this.#response(true, durableIndex, round))
  }

  #refuse (from: VoterId, request: MessageOf<Command, 'append_request'>): undefined {
    const hint = this.state.log.conflictHint(request.previousIndex, this.state.commitIndex)
    this.state.sendInTerm(from, this.#response(false, hint, request.round))
  }

  #response (success: boolean, matchIndex: number, round: number): MessageOf<Command, 'append_response'> {
    return { kind: 'append_response', term: this.state.term, success, matchIndex, round }
  }

  #receiveChunk (from: VoterId, message: MessageOf<Command, 'snapshot_chunk'>): undefined {
    this.state.heardLeader()
    const { lastIndex, lastTerm } = message.snapshot
    if (this.state.log.termAt(lastIndex) === lastTerm || lastIndex <= this.state.commitIndex) {
      this.state.commitTo(lastIndex)
      return this.#confirmSnapshot(from, message)
    }
    const snapshot = this.#receiver.receive(from, message)
    if (snapshot === undefined) return this.#confirmChunk(from, lastIndex)
    this.#install(snapshot)
    this.#confirmSnapshot(from, message)
  }

  #install (snapshot: Snapshot): void {
    this.state.install(snapshot)
  }

  #confirmChunk (from: VoterId, lastIndex: number): undefined {
    const { receivedBytes } = this.#receiver
    this.state.sendInTerm(from, { kind: 'snapshot_ack', term: this.state.term, lastIndex, receivedBytes })
  }

  /** Acknowledges all of a snapshot once everything up to it is on disk. */
  #confirmSnapshot (from: VoterId, message: MessageOf<Command, 'snapshot_chunk'>): undefined {
    const { snapshot: { lastIndex }, totalBytes } = message
    const ack = { kind: 'snapshot_ack', term: this.state.term, lastIndex, receivedBytes: totalBytes } as const
    this.state.sendWhenDurable(from, ack)
  }
}
