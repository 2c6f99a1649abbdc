/** Messages between nodes and their framing: a 4-byte big-endian length, followed by one CBOR value. */
import { Encoder } from 'cbor-x'
import { SegmentedBody } from './segmented-body.js'
import type { ConfigurationChange, ConfigurationDocument } from '@comfreygrade/core'
import type { ConsensusMessage, VoterId } from '@comfreygrade/consensus'
import type { ControlCommand, ControlOperation, ControlResult, Drain } from '@comfreygrade/control'
import type { AgedRecord, LoadReport } from '@comfreygrade/routing'
import type { ControlPeer } from './voter-bootstrap.js'

/** Content of a feed: the changes after `baseVersion`, or a full copy of the configuration. */
export type FeedContent =
  | { readonly kind: 'changes', readonly baseVersion: number, readonly changes: readonly ConfigurationChange[] }
  | { readonly kind: 'full', readonly version: number, readonly document: ConfigurationDocument }

/** Base type of all messages that a link carries. */
export interface LinkMessage {
  readonly kind: string
}

/** The part of `hello`, the first message on every link, that the link itself reads. */
export interface HelloMessage extends LinkMessage {
  readonly kind: 'hello'
  readonly nodeId: string
  /** Whether the sender reads frames with numbered fields; absent in versions that do not. */
  readonly readsNumberedFields?: boolean
}

/** Every message between nodes. */
export type PeerMessage =
  | {
    readonly kind: 'hello'
    readonly nodeId: string
    /** Null on nodes without the control role. */
    readonly control: ControlPeer | null
    /** Whether the sender reads frames with numbered fields; absent in versions that do not. */
    readonly readsNumberedFields?: boolean
  }
  | { readonly kind: 'ping' }
  | { readonly kind: 'pong' }
  | {
    readonly kind: 'raft'
    readonly from: VoterId
    readonly to: VoterId
    readonly message: ConsensusMessage<ControlCommand>
  }
  | { readonly kind: 'control_request', readonly requestId: string, readonly operation: ControlOperation }
  | {
    readonly kind: 'control_response'
    readonly requestId: string
    readonly result: ControlResult
  }
  /** `version` is the one that the sender holds; `sentAtMs` is its monotonic time, from which the lease is counted. */
  | { readonly kind: 'feed_request', readonly version: number, readonly sentAtMs: number }
  | {
    readonly kind: 'feed'
    readonly term: number
    readonly leaderNodeId: string
    readonly content: FeedContent
    readonly drains: readonly Drain[]
    /** Echo of `sentAtMs`; null if the leader pushes a change without a request, which renews no lease. */
    readonly requestSentAtMs: number | null
    readonly leaseMs: number
  }
  /** Records of backend servers that announced themselves to the sender, or all that it knows for a new link. */
  | { readonly kind: 'members', readonly records: readonly AgedRecord[] }
  /** The sender's in-flight counts at backend servers. */
  | { readonly kind: 'load', readonly report: LoadReport }

/** Size of the length prefix. */
export const FRAME_HEADER_BYTES = 4
/** A larger frame closes the link; snapshots are sent in smaller chunks. */
export const MAX_FRAME_BYTES = 32 * 1024 * 1024

/**
 * Encoding of field names: as text, which nodes of all versions read, or as positions in `NUMBERED_FIELDS`. The
 * decoder accepts both.
 */
export type FrameFormat = 'named' | 'numbered'

/**
 * Field names that are encoded as their position in this list: one byte for positions up to 23, two bytes above. All
 * other names are encoded as text. Positions are part of the protocol: only append names, never move or remove one.
 * Message keys must be strings, as a number is decoded as a position in this list.
 */
export const NUMBERED_FIELDS: readonly string[] = [
  'kind', 'from', 'to', 'message', 'nodeId', 'diskId', 'term', 'previousIndex', 'previousTerm', 'entries',
  'commitIndex', 'round', 'success', 'matchIndex', 'index', 'logTimeMs', 'body', 'proposalId', 'command', 'version',
  'sentAtMs', 'requestId', 'operation', 'result',
  'leaderNodeId', 'content', 'drains', 'requestSentAtMs', 'leaseMs', 'baseVersion', 'changes', 'upserts', 'removes',
  'record', 'records', 'ageMs', 'report', 'workerId', 'incarnation', 'sequence', 'address', 'tasks', 'jobId',
  'taskIndex', 'leaseId', 'state', 'ok', 'value', 'stopTasks', 'document', 'rackId', 'rackPosition', 'cores',
  'memoryGb', 'acceleratorModel', 'accelerators', 'organisationId', 'quotaAccelerators', 'weight', 'region',
  'availabilityZone', 'key', 'digest', 'claimantId', 'answer', 'firstAccelerator', 'acceleratorCount',
  'backendServerId', 'services', 'slots', 'connections'
]

/** Every message is self-contained: shared record structures would need state on both ends of a link. */
const namedCodec = new Encoder({ useRecords: false, mapsAsObjects: true })
const numberedCodec = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  keyMap: Object.fromEntries(NUMBERED_FIELDS.map((name, position) => [name, position]))
})

/**
 * Encodes a message as a frame.
 *
 * @example
 * socket.write(encodeFrame({ kind: 'ping' }))
 */
export function encodeFrame<Message extends LinkMessage = PeerMessage> (
  message: Message, format: FrameFormat = 'named'
): Buffer {
  const body = format === 'named' ? namedCodec.encode(message) : numberedCodec.encode(message)
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + body.length)
  frame.writeUInt32BE(body.length, 0)
  body.copy(frame, FRAME_HEADER_BYTES)
  return frame
}

/** Every link handles messages by kind, so a value without one is malformed, like a body that is not CBOR. */
function toMessage<Message extends LinkMessage> (value: unknown): Message {
  const isMessage = typeof value === 'object' && value !== null && 'kind' in value && typeof value.kind === 'string'
  if (!isMessage) throw new TypeError('a message without a kind')
  return value as Message
}

/** Splits a byte stream into messages. */
export class FrameDecoder<Message extends LinkMessage = PeerMessage> {
  readonly #header = Buffer.alloc(FRAME_HEADER_BYTES)
  #headerBytes = 0
  #body: SegmentedBody | undefined
  #frameBytes = 0
  #missingBytes = 0

  /** Announced length of the frame that is not complete yet; 0 if there is none. */
  get frameBytes (): number {
    return this.#body === undefined ? 0 : this.#frameBytes
  }

  /** Memory of the frame that is not complete yet. */
  get heldBytes (): number {
    return this.#body?.heldBytes ?? 0
  }

  /**
   * Appends received bytes and returns the messages that are now complete.
   *
   * @throws RangeError for a frame above `MAX_FRAME_BYTES`, the codec's error for a malformed body, and TypeError for a
   * value that is not a message
   */
  push (chunk: Buffer): Message[] {
    const messages: Message[] = []
    let rest = chunk
    while (rest.length > 0) {
      if (this.#body === undefined) rest = this.#readHeader(rest)
      if (this.#body === undefined) break
      const part = rest.subarray(0, this.#missingBytes)
      rest = rest.subarray(part.length)
      const body = this.#readBody(this.#body, part)
      if (body !== undefined) messages.push(toMessage<Message>(numberedCodec.decode(body)))
    }
    return messages
  }

  /** Returns the bytes after the length, or none if the length is not complete. */
  #readHeader (bytes: Buffer): Buffer {
    const copiedBytes = bytes.copy(this.#header, this.#headerBytes)
    this.#headerBytes += copiedBytes
    if (this.#headerBytes === FRAME_HEADER_BYTES) this.#beginBody(this.#header.readUInt32BE(0))
    return bytes.subarray(copiedBytes)
  }

  #beginBody (lengthBytes: number): void {
    if (lengthBytes > MAX_FRAME_BYTES) {
      throw new RangeError(`a frame of ${lengthBytes} bytes exceeds the limit of ${MAX_FRAME_BYTES}`)
    }
    this.#headerBytes = 0
    this.#frameBytes = lengthBytes
    this.#missingBytes = lengthBytes
    this.#body = new SegmentedBody()
  }

  /** Returns the body once it is complete. */
  #readBody (body: SegmentedBody, part: Buffer): Buffer | undefined {
    body.append(part, this.#missingBytes)
    this.#missingBytes -= part.length
    if (this.#missingBytes > 0) return undefined
    this.#body = undefined
    return body.toBuffer()
  }
}
