/** Replication from the leader to its peers: appends, snapshots and heartbeats. */
import type { VoterId } from './messages.js'
import { PeerProgress } from './progress.js'
import type { MessageOf } from './role.js'
import { SnapshotSender } from './snapshot-transfer.js'
import type { ReplicaState } from './state.js'
import { isSameVoter, voterKey } from './voters.js'

/** Number of heartbeat rounds whose send time is kept; responses to older rounds do not count as recent contact. */
const trackedRounds = 64

/** Batched, pipelined appends with limits in flight (section 5.3 of the Raft paper, section 10.2 of the thesis). */
export class Replication<Command> {
  readonly #state: ReplicaState<Command>
  readonly #peers = new Map<string, PeerProgress>()
  readonly #roundStartedAtMs = new Map<number, number>()
  #heartbeatRound = 0

  constructor (state: ReplicaState<Command>) {
    this.#state = state
  }

  /** Replication progress of a peer; `undefined` if the replica is not a peer. */
  peer (id: VoterId): PeerProgress | undefined {
    return this.#peers.get(voterKey(id))
  }

  /** Sets the replicas to replicate to; this replica itself is left out. */
  setPeers (ids: readonly VoterId[]): void {
    const newPeerIds = new Map(ids.filter(id => !isSameVoter(id, this.#state.id)).map(id => [voterKey(id), id]))
    for (const key of this.#peers.keys()) if (!newPeerIds.has(key)) this.#peers.delete(key)
    for (const [key, id] of newPeerIds) {
      if (this.#peers.has(key)) continue
      this.#peers.set(key, new PeerProgress(id, this.#state.log.lastIndex + 1, this.#state.nowMs))
    }
  }

  /**
   * Starts a round of heartbeats: sends each peer the pending entries that its limits allow, or else an empty append;
   * also sends a snapshot chunk again that was not acknowledged in time.
   */
  sendHeartbeats (): void {
    this.#heartbeatRound++
    this.#roundStartedAtMs.set(this.#heartbeatRound, this.#state.nowMs)
    this.#roundStartedAtMs.delete(this.#heartbeatRound - trackedRounds)
    for (const peer of this.#peers.values()) this.#sendHeartbeatOrAppends(peer)
  }

  #sendHeartbeatOrAppends (peer: PeerProgress): void {
    const { settings, nowMs } = this.#state
    peer.allowProbe()
    this.#startSnapshotIfNeeded(peer)
    if (
      peer.snapshotSender?.isStalled(nowMs, settings.snapshotResendMs) === true
    ) this.#sendChunk(peer, peer.snapshotSender)
    if (this.#sendAppendsTo(peer) === 0) this.#sendHeartbeat(peer)
  }

  /** Sends pending entries to all peers, within their in-flight limits. */
  sendAppends (): void {
    for (const peer of this.#peers.values()) this.#sendAppendsTo(peer)
  }

  /** Returns the number of appends sent. */
  #sendAppendsTo (peer: PeerProgress): number {
    const { log, settings } = this.#state
    let sentCount = 0
    while (peer.nextIndex <= log.lastIndex && peer.canSendAppend(settings)) {
      if (this.#startSnapshotIfNeeded(peer)) return sentCount
      this.#sendEntries(peer)
      sentCount++
    }
    return sentCount
  }

  #sendEntries (peer: PeerProgress): void {
    const { log, settings } = this.#state
    const limits = { maxEntries: settings.maxAppendEntries, maxBytes: settings.maxAppendBytes }
    const { entries, sizeBytes } = log.slice(peer.nextIndex, limits)
    const previousIndex = peer.nextIndex - 1
    this.#sendAppend(peer, previousIndex, entries)
    peer.recordAppend(previousIndex + entries.length, sizeBytes)
  }

  /**
   * During a snapshot transfer the entry before `nextIndex` may be discarded, so the heartbeat refers to index 0, which
   * matches every log. A follower that has a snapshot of its own responds with its commit index.
   */
  #sendHeartbeat (peer: PeerProgress): void {
    this.#sendAppend(peer, peer.mode === 'snapshot' ? 0 : peer.nextIndex - 1, [])
  }

  #sendAppend (
    peer: PeerProgress, previousIndex: number, entries: MessageOf<Command, 'append_request'>['entries']
  ): void {
    const { log, term, commitIndex } = this.#state
    const previousTerm = previousIndex === 0 ? 0 : log.termAt(previousIndex) ?? 0
    const round = this.#heartbeatRound
    this.#state.send(peer.id, {
      kind: 'append_request', term, previousIndex, previousTerm, entries, commitIndex, round
    })
  }

  /**
   * Discarded entries can only be replaced by a snapshot, so it is sent even if the in-flight limits are reached.
   *
   * @returns whether a transfer was started
   */
  #startSnapshotIfNeeded (peer: PeerProgress): boolean {
    const { log, settings } = this.#state
    if (peer.mode === 'snapshot' || peer.nextIndex > log.baseIndex) return false
    if (log.snapshot === null) throw new Error('entries were discarded from the log without a snapshot')
    const sender = new SnapshotSender(log.snapshot, settings.snapshotChunkBytes)
    peer.startSnapshot(sender)
    this.#sendChunk(peer, sender)
    return true
  }

  #sendChunk (peer: PeerProgress, sender: SnapshotSender): void {
    this.#state.send(peer.id, sender.nextChunk(this.#state.term, this.#state.nowMs))
  }

  /** Handles the response to an append. */
  handleAppendResponse (from: VoterId, message: MessageOf<Command, 'append_response'>): void {
    const peer = this.peer(from)
    if (peer === undefined) return
    peer.recordContact(this.#roundStartedAtMs.get(message.round) ?? -Infinity)
    if (message.success) this.#recordMatch(peer, message.matchIndex)
    else peer.recordMismatch(message.matchIndex)
    this.#sendAppendsTo(peer)
  }

  /** Ends a snapshot transfer if the match shows that the peer no longer needs discarded entries. */
  #recordMatch (peer: PeerProgress, matchIndex: number): void {
    peer.recordMatch(matchIndex)
    const isPastSnapshot = peer.mode === 'snapshot' && peer.nextIndex > this.#state.log.baseIndex
    if (isPastSnapshot) peer.endSnapshot(matchIndex)
  }

  /** Handles the acknowledgement of a snapshot chunk. */
  handleSnapshotAck (from: VoterId, message: MessageOf<Command, 'snapshot_ack'>): void {
    const peer = this.peer(from)
    if (peer === undefined || peer.snapshotSender === null) return
    const result = peer.snapshotSender.handleAck(message.lastIndex, message.receivedBytes)
    if (result === 'continue') this.#sendChunk(peer, peer.snapshotSender)
    if (result !== 'done') return
    peer.endSnapshot(message.lastIndex)
    this.#sendAppendsTo(peer)
  }
}
