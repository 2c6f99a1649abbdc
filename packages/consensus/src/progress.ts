/** Replication state that a leader keeps for each other replica. */
import type { VoterId } from './messages.js'
import type { ReplicaSettings } from './settings.js'
import type { SnapshotSender } from './snapshot-transfer.js'

/**
 * How the leader replicates to a peer: `probe` sends one append at a time until the matching index is known,
 * `replicate` pipelines appends, `snapshot` transfers a snapshot.
 */
export type ReplicationMode = 'probe' | 'replicate' | 'snapshot'

interface InflightAppend {
  readonly lastIndex: number
  readonly sizeBytes: number
}

/** Match index, in-flight appends and last contact of one peer (section 10.2 of the Raft thesis). */
export class PeerProgress {
  readonly id: VoterId
  readonly createdAtMs: number
  mode: ReplicationMode = 'probe'
  nextIndex: number
  snapshotSender: SnapshotSender | null = null
  #matchIndex = 0
  #lastContactAtMs: number
  #isProbeSent = false
  #inflight: InflightAppend[] = []
  #inflightBytes = 0

  constructor (id: VoterId, nextIndex: number, nowMs: number) {
    this.id = id
    this.nextIndex = nextIndex
    this.createdAtMs = nowMs
    this.#lastContactAtMs = nowMs
  }

  /** Last index that the peer is known to have synced. */
  get matchIndex (): number {
    return this.#matchIndex
  }

  /**
   * Start of the latest round of heartbeats that the peer is known to have responded to; before its first response, the
   * time at which it was added. The start of a round is at or before the time at which the request was sent.
   */
  get lastContactAtMs (): number {
    return this.#lastContactAtMs
  }

  /** Records a response to a request of the round of heartbeats that started at `roundStartedAtMs`. */
  recordContact (roundStartedAtMs: number): void {
    this.#lastContactAtMs = Math.max(this.#lastContactAtMs, roundStartedAtMs)
  }

  /** Whether the in-flight limits allow another append. */
  canSendAppend (settings: ReplicaSettings): boolean {
    if (this.mode === 'snapshot') return false
    if (this.mode === 'probe') return !this.#isProbeSent
    return this.#inflight.length < settings.maxInflightAppends && this.#inflightBytes < settings.maxInflightBytes
  }

  /** Records that an append with entries up to `lastIndex` was sent. */
  recordAppend (lastIndex: number, sizeBytes: number): void {
    if (this.mode === 'probe') {
      this.#isProbeSent = true
      return
    }
    this.nextIndex = lastIndex + 1
    this.#inflight.push({ lastIndex, sizeBytes })
    this.#inflightBytes += sizeBytes
  }

  /** Allows another probe although the previous one has no response. */
  allowProbe (): void {
    this.#isProbeSent = false
  }

  /** Records that the peer has synced all entries up to `index`. */
  recordMatch (index: number): void {
    this.#matchIndex = Math.max(this.#matchIndex, index)
    this.nextIndex = Math.max(this.nextIndex, this.#matchIndex + 1)
    this.#inflight = this.#inflight.filter(append => append.lastIndex > this.#matchIndex)
    this.#inflightBytes = this.#inflight.reduce((sum, append) => sum + append.sizeBytes, 0)
    if (this.mode === 'probe') this.#enterMode('replicate')
  }

  /** Records a mismatch; `hint` is the previous index for the next attempt. Delayed responses have no effect. */
  recordMismatch (hint: number): void {
    if (this.mode === 'snapshot') return
    if (this.mode === 'probe' && hint + 1 >= this.nextIndex) return
    this.nextIndex = Math.max(this.#matchIndex + 1, Math.min(this.nextIndex, hint + 1))
    this.#enterMode('probe')
  }

  /** Switches to the transfer of a snapshot. */
  startSnapshot (sender: SnapshotSender): void {
    this.snapshotSender = sender
    this.#enterMode('snapshot')
  }

  /** Ends the transfer of a snapshot whose last index is `lastIndex`. */
  endSnapshot (lastIndex: number): void {
    this.snapshotSender = null
    this.#enterMode('probe')
    this.recordMatch(lastIndex)
  }

  #enterMode (mode: ReplicationMode): void {
    this.mode = mode
    this.#isProbeSent = false
    this.#inflight = []
    this.#inflightBytes = 0
  }
}
