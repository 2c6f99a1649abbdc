/** Transfer of a snapshot in chunks (section 7 of the Raft paper). */
import type { Snapshot, VoterId } from './messages.js'
import type { MessageOf } from './role.js'
import { isSameVoter } from './voters.js'

/** Sends the chunks of a snapshot from the leader; at most one chunk is in flight. */
export class SnapshotSender {
  readonly snapshot: Snapshot
  readonly #chunkBytes: number
  #offsetBytes = 0
  #sentAtMs = -Infinity

  constructor (snapshot: Snapshot, chunkBytes: number) {
    this.snapshot = snapshot
    this.#chunkBytes = chunkBytes
  }

  /** Whether the chunk in flight was sent at least `resendMs` ago. */
  isStalled (nowMs: number, resendMs: number): boolean {
    return nowMs - this.#sentAtMs >= resendMs
  }

  /** Returns the chunk to send now and records its send time. */
  nextChunk<Command> (term: number, nowMs: number): MessageOf<Command, 'snapshot_chunk'> {
    const { content, ...metadata } = this.snapshot
    this.#sentAtMs = nowMs
    return {
      kind: 'snapshot_chunk',
      term,
      snapshot: metadata,
      offsetBytes: this.#offsetBytes,
      totalBytes: content.byteLength,
      chunk: content.subarray(this.#offsetBytes, this.#offsetBytes + this.#chunkBytes)
    }
  }

  /**
   * Handles an acknowledgement. Returns `done` if the whole snapshot is durable, `continue` if a chunk should be
   * sent, and `ignore` for a delayed or duplicate acknowledgement. A follower that lost its chunks, for example by a
   * restart, reports 0 received bytes and gets the snapshot from the start.
   */
  handleAck (lastIndex: number, receivedBytes: number): 'done' | 'continue' | 'ignore' {
    const totalBytes = this.snapshot.content.byteLength
    if (lastIndex !== this.snapshot.lastIndex) return 'ignore'
    if (receivedBytes === totalBytes) return 'done'
    const inFlightEndBytes = Math.min(totalBytes, this.#offsetBytes + this.#chunkBytes)
    const hasLostChunks = receivedBytes === 0 && this.#offsetBytes > 0
    if (receivedBytes !== inFlightEndBytes && !hasLostChunks) return 'ignore'
    this.#offsetBytes = receivedBytes
    return 'continue'
  }
}

/** Assembles a snapshot on a follower from the chunks that one leader sends. */
export class SnapshotReceiver<Command> {
  #from: VoterId | null = null
  #metadata: Omit<Snapshot, 'content'> | null = null
  #term = 0
  #totalBytes = 0
  #chunks: Uint8Array[] = []
  #receivedBytes = 0

  get receivedBytes (): number {
    return this.#receivedBytes
  }

  /** Adds a chunk; returns the snapshot once it is complete. */
  receive (from: VoterId, message: MessageOf<Command, 'snapshot_chunk'>): Snapshot | undefined {
    if (!this.#isSameTransfer(from, message)) this.#restart(from, message)
    if (message.offsetBytes !== this.#receivedBytes) return undefined
    this.#chunks.push(message.chunk)
    this.#receivedBytes += message.chunk.byteLength
    if (this.#receivedBytes < message.totalBytes) return undefined
    const snapshot = { ...message.snapshot, content: joinChunks(this.#chunks, this.#receivedBytes) }
    this.reset()
    return snapshot
  }

  /** Discards the chunks received so far. */
  reset (): void {
    this.#from = null
    this.#chunks = []
    this.#receivedBytes = 0
  }

  #isSameTransfer (from: VoterId, message: MessageOf<Command, 'snapshot_chunk'>): boolean {
    return this.#from !== null && isSameVoter(this.#from, from) && this.#term === message.term &&
      this.#totalBytes === message.totalBytes && this.#metadata?.lastIndex === message.snapshot.lastIndex
  }

  #restart (from: VoterId, message: MessageOf<Command, 'snapshot_chunk'>): void {
    this.reset()
    this.#from = from
    this.#term = message.term
    this.#totalBytes = message.totalBytes
    this.#metadata = message.snapshot
  }
}

function joinChunks (chunks: readonly Uint8Array[], totalBytes: number): Uint8Array {
  const content = new Uint8Array(totalBytes)
  let offsetBytes = 0
  for (const chunk of chunks) {
    content.set(chunk, offsetBytes)
    offsetBytes += chunk.byteLength
  }
  return content
}
