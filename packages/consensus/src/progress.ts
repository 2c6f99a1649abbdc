/** What a leader knows about one other replica. */
import type { VoterId } from './messages.js'
import type { ReplicaSettings } from './settings.js'
import type { SnapshotSender } from './snapshot-transfer.js'

/** How a replica is supplied: one append at a time until its log is known, then pipelined, or by a snapshot. */
export type SupplyMode = 'probe' | 'replicate' | 'snapshot'

interface InflightAppend {
  readonly lastIndex: number
  readonly sizeBytes: number
}

/** Match index, window of unanswered appends and last contact of one replica (section 10.2 of the Raft thesis). */
export class PeerProgress {
  readonly id: VoterId
  readonly startedMs: number
  mode: SupplyMode = 'probe'
  nextIndex: number
  sender: SnapshotSender | null = null
  #matchIndex = 0
  #contactMs: number
  #isProbeSent = false
  #inflight: InflightAppend[] = []
  #inflightBytes = 0

  constructor (id: VoterId, nextIndex: number, nowMs: number) {
    this.id = id
    this.nextIndex = nextIndex
    this.startedMs = nowMs
    this.#contactMs = nowMs
  }

  /** Greatest index that the replica has synced. */
  get matchIndex (): number {
    return this.#matchIndex
  }

  /** Time at which the latest message that the replica answered was sent. */
  get contactMs (): number {
    return this.#contactMs
  }

  /** Notes an answer to a message that was sent at `sentMs`. */
  contact (sentMs: number): void {
    this.#contactMs = Math.max(this.#contactMs, sentMs)
  }

  /** Whether the window has room for another append. */
  hasRoom (settings: ReplicaSettings): boolean {
    if (this.mode === 'snapshot') return false
    if (this.mode === 'probe') return !this.#isProbeSent
    return this.#inflight.length < settings.maxInflightAppends && this.#inflightBytes < settings.maxInflightBytes
  }

  /** Notes an append that ends at `lastIndex`. */
  sent (lastIndex: number, sizeBytes: number): void {
    if (this.mode === 'probe') {
      this.#isProbeSent = true
      return
    }
    this.nextIndex = lastIndex + 1
    this.#inflight.push({ lastIndex, sizeBytes })
    this.#inflightBytes += sizeBytes
  }

  /** Allows an unanswered probe to be repeated. */
  repeatProbe (): void {
    this.#isProbeSent = false
  }

  /** Takes in that the replica has synced everything up to `index`. */
  matched (index: number): void {
    this.#matchIndex = Math.max(this.#matchIndex, index)
    this.nextIndex = Math.max(this.nextIndex, this.#matchIndex + 1)
    this.#inflight = this.#inflight.filter(append => append.lastIndex > this.#matchIndex)
    this.#inflightBytes = this.#inflight.reduce((sum, append) => sum + append.sizeBytes, 0)
    if (this.mode === 'probe') this.#supply('replicate')
  }

  /** Takes in a mismatch; `hint` is where to go back to. A late answer to an earlier append changes nothing. */
  mismatched (hint: number): void {
    if (this.mode === 'snapshot') return
    if (this.mode === 'probe' && hint + 1 >= this.nextIndex) return
    this.nextIndex = Math.max(this.#matchIndex + 1, Math.min(this.nextIndex, hint + 1))
    this.#supply('probe')
  }

  /** Starts the transfer of a snapshot. */
  startSnapshot (sender: SnapshotSender): void {
    this.sender = sender
    this.#supply('snapshot')
  }

  /** Ends the transfer of a snapshot that reaches up to `lastIndex`. */
  endSnapshot (lastIndex: number): void {
    this.sender = null
    this.#supply('probe')
    this.matched(lastIndex)
  }

  #supply (mode: SupplyMode): void {
    this.mode = mode
    this.#isProbeSent = false
    this.#inflight = []
    this.#inflightBytes = 0
  }
}
