/** Transfer of a snapshot in pieces (section 7 of the Raft paper). */
import type { Snapshot, VoterId } from './messages.js'
import type { MessageOf } from './role.js'
import { sameVoter } from './voters.js'

/** The leader's side: one piece is under way at a time. */
export class SnapshotSender {
  readonly snapshot: Snapshot
  readonly #chunkBytes: number
  #offsetBytes = 0
  #sentAtMs = -Infinity

  constructor (snapshot: Snapshot, chunkBytes: number) {
    this.snapshot = snapshot
    this.#chunkBytes = chunkBytes
  }

  /** Whether the piece under way was sent `resendMs` ago or earlier. */
  isStalled (nowMs: number, resendMs: number): boolean {
    return nowMs - this.#sentAtMs >= resendMs
  }

  /** The piece to send now. */
  nextChunk<Command> (term: number, nowMs: number): MessageOf<Command, 'snapshot_chunk'> {
    const { content, ...description } = this.snapshot
    this.#sentAtMs = nowMs
    return {
      kind: 'snapshot_chunk',
      term,
      snapshot: description,
      offsetBytes: this.#offsetBytes,
      totalBytes: content.byteLength,
      chunk: content.subarray(this.#offsetBytes, this.#offsetBytes + this.#chunkBytes)
    }
  }

  /**
   * Takes an acknowledgement in: `done` when all of it is durable, `continue` when the next piece should be sent,
   * `ignore` for one that was delayed or doubled.
   */
  acknowledge (lastIndex: number, receivedBytes: number): 'done' | 'continue' | 'ignore' {
    const totalBytes = this.snapshot.content.byteLength
    if (lastIndex !== this.snapshot.lastIndex) return 'ignore'
    if (receivedBytes === totalBytes) return 'done'
    const underWayBytes = Math.min(totalBytes, this.#offsetBytes + this.#chunkBytes)
    const isRestart = receivedBytes === 0 && this.#offsetBytes > 0
    if (receivedBytes !== underWayBytes && !isRestart) return 'ignore'
    this.#offsetBytes = receivedBytes
    return 'continue'
  }
}

/** The follower's side: puts the pieces of one snapshot of one leader together. */
export class SnapshotReceiver<Command> {
  #from: VoterId | null = null
  #description: Omit<Snapshot, 'content'> | null = null
  #term = 0
  #totalBytes = 0
  #chunks: Uint8Array[] = []
  #receivedBytes = 0

  get receivedBytes (): number {
    return this.#receivedBytes
  }

  /** Takes a piece in; returns the snapshot once it is complete. */
  receive (from: VoterId, message: MessageOf<Command, 'snapshot_chunk'>): Snapshot | undefined {
    if (!this.#continues(from, message)) this.#restart(from, message)
    if (message.offsetBytes !== this.#receivedBytes) return undefined
    this.#chunks.push(message.chunk)
    this.#receivedBytes += message.chunk.byteLength
    if (this.#receivedBytes < message.totalBytes) return undefined
    const snapshot = { ...message.snapshot, content: joinChunks(this.#chunks, this.#receivedBytes) }
    this.clear()
    return snapshot
  }

  /** Drops what was received. */
  clear (): void {
    this.#from = null
    this.#chunks = []
    this.#receivedBytes = 0
  }

  #continues (from: VoterId, message: MessageOf<Command, 'snapshot_chunk'>): boolean {
    return this.#from !== null && sameVoter(this.#from, from) && this.#term === message.term &&
      this.#totalBytes === message.totalBytes && this.#description?.lastIndex === message.snapshot.lastIndex
  }

  #restart (from: VoterId, message: MessageOf<Command, 'snapshot_chunk'>): void {
    this.clear()
    this.#from = from
    this.#term = message.term
    this.#totalBytes = message.totalBytes
    this.#description = message.snapshot
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
