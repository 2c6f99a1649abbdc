/** Supplies the other replicas with entries, snapshots and heartbeats. */
import type { VoterId } from './messages.js'
import { PeerProgress } from './progress.js'
import type { MessageOf } from './role.js'
import { SnapshotSender } from './snapshot-transfer.js'
import type { ReplicaState } from './state.js'
import { sameVoter, voterKey } from './voters.js'

/** Rounds of heartbeats whose send time is remembered. Older answers say nothing about the present. */
const rememberedRounds = 64

/** Batched and pipelined appends with bounded windows (section 5.3 of the Raft paper, section 10.2 of the thesis). */
export class Replication<Command> {
  readonly #state: ReplicaState<Command>
  readonly #peers = new Map<string, PeerProgress>()
  readonly #roundSentMs = new Map<number, number>()
  #round = 0

  constructor (state: ReplicaState<Command>) {
    this.#state = state
  }

  /** Progress of a replica that is supplied. */
  peer (id: VoterId): PeerProgress | undefined {
    return this.#peers.get(voterKey(id))
  }

  /** Supplies exactly these replicas, this one left out. */
  setPeers (ids: readonly VoterId[]): void {
    const wanted = new Map(ids.filter(id => !sameVoter(id, this.#state.id)).map(id => [voterKey(id), id]))
    for (const key of this.#peers.keys()) if (!wanted.has(key)) this.#peers.delete(key)
    for (const [key, id] of wanted) {
      if (this.#peers.has(key)) continue
      this.#peers.set(key, new PeerProgress(id, this.#state.log.lastIndex + 1, this.#state.nowMs))
    }
  }

  /** Starts a round of heartbeats and sends one to each replica. */
  heartbeat (): void {
    this.#round++
    this.#roundSentMs.set(this.#round, this.#state.nowMs)
    this.#roundSentMs.delete(this.#round - rememberedRounds)
    for (const peer of this.#peers.values()) this.#heartbeatPeer(peer)
  }

  #heartbeatPeer (peer: PeerProgress): void {
    const { settings, nowMs } = this.#state
    peer.repeatProbe()
    this.#startSnapshotIfNeeded(peer)
    if (peer.sender?.isStalled(nowMs, settings.snapshotResendMs) === true) this.#sendChunk(peer, peer.sender)
    if (this.#pumpPeer(peer) === 0) this.#sendHeartbeat(peer)
  }

  /** Sends what the windows allow. */
  pump (): void {
    for (const peer of this.#peers.values()) this.#pumpPeer(peer)
  }

  #pumpPeer (peer: PeerProgress): number {
    const { log, settings } = this.#state
    let sent = 0
    while (peer.nextIndex <= log.lastIndex && peer.hasRoom(settings)) {
      if (this.#startSnapshotIfNeeded(peer)) return sent
      this.#sendEntries(peer)
      sent++
    }
    return sent
  }

  #sendEntries (peer: PeerProgress): void {
    const { log, settings } = this.#state
    const limits = { maxEntries: settings.maxAppendEntries, maxBytes: settings.maxAppendBytes }
    const { entries, sizeBytes } = log.slice(peer.nextIndex, limits)
    const previousIndex = peer.nextIndex - 1
    this.#send(peer, previousIndex, entries)
    peer.sent(previousIndex + entries.length, sizeBytes)
  }

  #sendHeartbeat (peer: PeerProgress): void {
    this.#send(peer, peer.mode === 'snapshot' ? 0 : peer.nextIndex - 1, [])
  }

  #send (
    peer: PeerProgress, previousIndex: number, entries: MessageOf<Command, 'append_request'>['entries']
  ): void {
    const { log, term, commitIndex } = this.#state
    const previousTerm = previousIndex === 0 ? 0 : log.termAt(previousIndex) ?? 0
    const round = this.#round
    this.#state.send(peer.id, {
      kind: 'append_request', term, previousIndex, previousTerm, entries, commitIndex, round
    })
  }

  /** Entries that were dropped can only be replaced by a snapshot, even if the window of the replica is full. */
  #startSnapshotIfNeeded (peer: PeerProgress): boolean {
    const { log, settings } = this.#state
    if (peer.mode === 'snapshot' || peer.nextIndex > log.baseIndex) return false
    if (log.snapshot === null) throw new Error('the log was truncated without a snapshot')
    const sender = new SnapshotSender(log.snapshot, settings.snapshotChunkBytes)
    peer.startSnapshot(sender)
    this.#sendChunk(peer, sender)
    return true
  }

  #sendChunk (peer: PeerProgress, sender: SnapshotSender): void {
    this.#state.send(peer.id, sender.nextChunk(this.#state.term, this.#state.nowMs))
  }

  /** Takes in the answer to an append. */
  appendAnswered (from: VoterId, message: MessageOf<Command, 'append_response'>): void {
    const peer = this.peer(from)
    if (peer === undefined) return
    peer.contact(this.#roundSentMs.get(message.round) ?? -Infinity)
    if (message.success) this.#matched(peer, message.matchIndex)
    else peer.mismatched(message.matchIndex)
    this.#pumpPeer(peer)
  }

  #matched (peer: PeerProgress, matchIndex: number): void {
    peer.matched(matchIndex)
    const isPastSnapshot = peer.mode === 'snapshot' && peer.nextIndex > this.#state.log.baseIndex
    if (isPastSnapshot) peer.endSnapshot(matchIndex)
  }

  /** Takes in the answer to a piece of a snapshot. */
  snapshotAnswered (from: VoterId, message: MessageOf<Command, 'snapshot_ack'>): void {
    const peer = this.peer(from)
    if (peer === undefined || peer.sender === null) return
    const verdict = peer.sender.acknowledge(message.lastIndex, message.receivedBytes)
    if (verdict === 'continue') this.#sendChunk(peer, peer.sender)
    if (verdict !== 'done') return
    peer.endSnapshot(message.lastIndex)
    this.#pumpPeer(peer)
  }
}
