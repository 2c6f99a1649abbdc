/** TCP links between nodes: each node dials every peer, and accepts the links that peers dial. */
import { createConnection, createServer, type Server, type Socket } from 'node:net'
import { ClientAdmission, type AdmittedBody, type Clock, type EventLog, type Metrics } from '@comfreygrade/core'
import { startInterval, startTimer } from '@comfreygrade/timers'
import {
  encodeFrame, FrameDecoder, MAX_FRAME_BYTES, type FrameFormat, type HelloMessage, type LinkMessage, type PeerMessage
} from './peer-messages.js'

/** Unfinished frames of all links together, if the options state no other limit; holds two of the largest. */
const DEFAULT_MAX_RECEIVE_BYTES = 2 * MAX_FRAME_BYTES
/** A node that is not known yet sends only its `hello`. */
const MAX_UNIDENTIFIED_FRAME_BYTES = 64 * 1024
/** Messages are dropped while a link has more unsent bytes than this, as the peer is not reading. */
const MAX_SEND_BUFFER_BYTES = 16 * 1024 * 1024

/** Listening address of a peer. */
export interface PeerAddress {
  readonly nodeId: string
  readonly host: string
  readonly port: number
}

/** Options of {@link PeerLinks}. */
export interface PeerLinksOptions<Message extends LinkMessage = PeerMessage> {
  readonly nodeId: string
  readonly host: string
  readonly port: number
  readonly peers: readonly PeerAddress[]
  /** Whether nodes outside `peers` may connect; messages to them are sent on the links that they dialled. */
  readonly acceptsUnknownNodes?: boolean
  readonly pingIntervalMs: number
  readonly silenceTimeoutMs: number
  readonly redialDelayMs: number
  /** Memory of the unfinished frames of all accepted links. */
  readonly maxReceiveBytes?: number
  /** Accepted links; further ones replace those that have not identified themselves, or are refused. */
  readonly maxIncomingLinks?: number
  readonly clock: Clock
  readonly metrics: Metrics
  readonly log: EventLog
  /** Creates the first message on every link that this node dials. */
  readonly hello: () => Message
  readonly onMessage: (fromNodeId: string, message: Message) => void
  /** Called when a dialled link is up and `hello` has been sent on it. */
  readonly onConnect: (nodeId: string) => void
  /** Called when a dialled link is down, so that requests which wait for an answer of the peer can be ended. */
  readonly onDisconnect: (nodeId: string) => void
}

/** Dials a link to each peer and accepts those that peers dial; closes links without traffic and redials its own. */
export class PeerLinks<Message extends LinkMessage = PeerMessage> {
  readonly #options: PeerLinksOptions<Message>
  readonly #receiver: PeerLinksOptions<Message>['onMessage']
  readonly #outgoing = new Map<string, OutgoingLink<Message>>()
  readonly #incoming = new Set<IncomingLink<Message>>()
  readonly #server: Server
  /** Keeps unfinished frames within their budget; an untrusted client on the port could announce many large ones. */
  readonly #frames: FrameAdmission
  #livenessTimer: NodeJS.Timeout | undefined

  constructor (options: PeerLinksOptions<Message>) {
    this.#options = { ...options, onMessage: (nodeId, message) => { this.#deliver(nodeId, message) } }
    this.#receiver = options.onMessage
    this.#frames = new ClientAdmission({
      budgetBytes: options.maxReceiveBytes ?? DEFAULT_MAX_RECEIVE_BYTES,
      maxAddressPercent: 100,
      maxConnections: { client: Infinity, control: Infinity, readiness: Infinity, metrics: Infinity },
      maxPipelinedRequests: Infinity,
      maxFragmentedBodies: Infinity
    })
    this.#server = createServer(socket => { this.#accept(socket) })
    for (const peer of options.peers) {
      if (peer.nodeId !== options.nodeId) this.#outgoing.set(peer.nodeId, new OutgoingLink(peer, this.#options))
    }
  }

  /** A message at which its receiver throws is ignored: a malformed one must not end the process. */
  #deliver (nodeId: string, message: Message): void {
    try {
      this.#receiver(nodeId, message)
    } catch (error) {
      this.#options.metrics.increment('peer.malformed_message')
      this.#options.log.warn('malformed message of a peer ignored', {
        peerId: nodeId, kind: message.kind, detail: String(error)
      })
    }
  }

  /** Starts to listen and dials all peers. */
  async start (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(this.#options.port, this.#options.host, resolve)
    })
    for (const link of this.#outgoing.values()) link.dial()
    this.#livenessTimer = startInterval(this.#options.pingIntervalMs, () => { this.#checkLinks() })
  }

  /**
   * Sends a message, or drops it if the link is down or its send buffer is full.
   *
   * @returns whether the message was queued on the link; it may still be lost
   */
  send (nodeId: string, message: Message): boolean {
    const link = this.#outgoing.get(nodeId)
    return link === undefined ? this.#sendOnIncomingLink(nodeId, message) : link.send(message)
  }

  /** Adds a peer and dials it; a known peer with another address is redialled there. */
  addPeer (peer: PeerAddress): void {
    if (peer.nodeId === this.#options.nodeId) return
    const known = this.#outgoing.get(peer.nodeId)
    if (known?.hasAddress(peer) === true) return
    known?.close()
    const link = new OutgoingLink(peer, this.#options)
    this.#outgoing.set(peer.nodeId, link)
    link.dial()
  }

  /** IDs of all peers that this node dials, connected or not. */
  peerNodeIds (): string[] {
    return [...this.#outgoing.keys()]
  }

  /** Closes the link to a peer and no longer dials it. */
  removePeer (nodeId: string): void {
    this.#outgoing.get(nodeId)?.close()
    this.#outgoing.delete(nodeId)
  }

  /** Sends to a node that this node does not dial, on the latest link which that node dialled. */
  #sendOnIncomingLink (nodeId: string, message: Message): boolean {
    const link = [...this.#incoming].findLast(candidate => candidate.peerId === nodeId)
    return link?.send(message) ?? false
  }

  /** Sends a message to every connected peer, encoding it once per format. */
  broadcast (message: Message): void {
    const frames = new Map<FrameFormat, Buffer>()
    for (const link of this.#outgoing.values()) {
      const frame = frames.get(link.format) ?? encodeFrame(message, link.format)
      frames.set(link.format, frame)
      link.sendFrame(frame, message.kind)
    }
  }

  /** Sends a message to every connected peer, and to the nodes that dialled this one and are not dialled by it. */
  broadcastToAll (message: Message): void {
    this.broadcast(message)
    const others = new Set([...this.#incoming].flatMap(({ peerId }) => peerId ?? []))
    for (const nodeId of others) if (!this.#outgoing.has(nodeId)) this.#sendOnIncomingLink(nodeId, message)
  }

  /** IDs of the peers whose outgoing link is up. */
  connectedNodeIds (): string[] {
    return [...this.#outgoing.values()].filter(link => link.isConnected).map(link => link.nodeId)
  }

  /** Stops listening and closes all links. */
  async stop (): Promise<void> {
    clearInterval(this.#livenessTimer)
    for (const link of this.#outgoing.values()) link.close()
    for (const link of this.#incoming) link.close()
    await new Promise<void>(resolve => { this.#server.close(() => { resolve() }) })
  }

  #accept (socket: Socket): void {
    if (!this.#makeRoom()) {
      socket.destroy()
      return
    }
    const link = new IncomingLink(socket, this.#options, {
      frames: this.#frames,
      onHello: hello => { this.#setFrameFormat(hello) },
      onClose: () => { this.#incoming.delete(link) }
    })
    this.#incoming.add(link)
  }

  /** Closes the oldest link that has not identified itself where the limit of links is reached. */
  #makeRoom (): boolean {
    if (this.#incoming.size < (this.#options.maxIncomingLinks ?? Infinity)) return true
    this.#options.metrics.increment('peer.links_limited')
    const unidentified = [...this.#incoming].find(link => link.peerId === undefined)
    if (unidentified === undefined) return false
    this.#incoming.delete(unidentified)
    unidentified.close()
    return true
  }

  /** Uses the format that the peer announced in its `hello`, so that two versions interoperate during an upgrade. */
  #setFrameFormat (hello: HelloMessage): void {
    const link = this.#outgoing.get(hello.nodeId)
    if (link !== undefined) link.format = frameFormatOf(hello)
  }

  #checkLinks (): void {
    for (const link of this.#outgoing.values()) link.checkLiveness()
    for (const link of this.#incoming) link.checkLiveness()
  }
}

/** A link that this node dialled: sends messages and pings, and receives pongs. */
class OutgoingLink<Message extends LinkMessage> {
  readonly #peer: PeerAddress
  readonly #options: PeerLinksOptions<Message>
  /** Format of the frames to this peer; `named` until the peer announces that it reads numbered fields. */
  format: FrameFormat = 'named'
  #socket: Socket | undefined
  #isConnected = false
  #lastReceivedAtMs = 0
  #redialTimer: NodeJS.Timeout | undefined
  #isClosed = false

  constructor (peer: PeerAddress, options: PeerLinksOptions<Message>) {
    this.#peer = peer
    this.#options = options
  }

  get nodeId (): string {
    return this.#peer.nodeId
  }

  get isConnected (): boolean {
    return this.#isConnected
  }

  hasAddress ({ host, port }: PeerAddress): boolean {
    return this.#peer.host === host && this.#peer.port === port
  }

  dial (): void {
    const socket = createConnection({ host: this.#peer.host, port: this.#peer.port, noDelay: true })
    const decoder = new FrameDecoder<Message>()
    this.#socket = socket
    this.#lastReceivedAtMs = this.#options.clock.monotonicMs()
    socket.on('connect', () => { this.#onConnect() })
    socket.on('data', chunk => {
      this.#lastReceivedAtMs = this.#options.clock.monotonicMs()
      for (const message of decodeOrClose(decoder, chunk, socket, this.#options.metrics)) this.#receive(message)
    })
    // Every error is followed by 'close', which handles it.
    socket.on('error', () => {})
    socket.on('close', () => { this.#onClose(socket) })
  }

  /** A peer that does not dial this node sends its messages on this link. */
  #receive (message: Message): void {
    if (message.kind !== 'pong') this.#options.onMessage(this.nodeId, message)
  }

  send (message: LinkMessage): boolean {
    return this.#isConnected && this.sendFrame(this.#encode(message), message.kind)
  }

  /** `hello` is sent in the format that all versions read, as the peer may have been downgraded since the last link. */
  #encode (message: LinkMessage): Buffer {
    return encodeFrame(message, message.kind === 'hello' ? 'named' : this.format)
  }

  sendFrame (frame: Buffer, kind: string): boolean {
    if (!this.#isConnected || this.#socket === undefined) return false
    if (this.#socket.writableLength > MAX_SEND_BUFFER_BYTES) {
      this.#options.metrics.increment('peer.dropped', { message: kind })
      return false
    }
    this.#socket.write(frame)
    this.#options.metrics.increment('peer.sent_bytes', { message: kind }, frame.length)
    return true
  }

  checkLiveness (): void {
    if (this.#socket === undefined) return
    const silentMs = this.#options.clock.monotonicMs() - this.#lastReceivedAtMs
    if (silentMs >= this.#options.silenceTimeoutMs) {
      this.#options.metrics.increment('peer.silent_link_closed', { peer: this.#peer.nodeId })
      this.#socket.destroy()
      return
    }
    this.send({ kind: 'ping' })
  }

  close (): void {
    this.#isClosed = true
    clearTimeout(this.#redialTimer)
    this.#socket?.destroy()
  }

  #onConnect (): void {
    this.#isConnected = true
    this.#options.log.info('peer link is up', { peerId: this.#peer.nodeId })
    this.send(this.#options.hello())
    this.#options.onConnect(this.#peer.nodeId)
  }

  #onClose (socket: Socket): void {
    if (this.#socket !== socket) return
    this.#socket = undefined
    if (this.#isConnected) {
      this.#isConnected = false
      this.#options.log.warn('peer link is down', { peerId: this.#peer.nodeId })
      this.#options.onDisconnect(this.#peer.nodeId)
    }
    if (!this.#isClosed) this.#redialTimer = startTimer(this.#options.redialDelayMs, () => { this.dial() })
  }
}

/** Frames that are not complete, each with the action that closes its link. */
type FrameAdmission = ClientAdmission<object, () => void>

interface IncomingLinkHandlers {
  readonly frames: FrameAdmission
  readonly onHello: (hello: HelloMessage) => void
  readonly onClose: () => void
}

/** A link that a peer dialled: receives messages, answers pings, and sends messages to nodes that are not dialled. */
class IncomingLink<Message extends LinkMessage> {
  readonly #socket: Socket
  readonly #options: PeerLinksOptions<Message>
  readonly #onHello: (hello: HelloMessage) => void
  readonly #frames: FrameAdmission
  readonly #decoder = new FrameDecoder<Message>()
  readonly #openedAtMs: number
  #frame: AdmittedBody<() => void> | undefined
  #peerId: string | undefined
  #format: FrameFormat = 'named'
  #lastReceivedAtMs: number

  constructor (socket: Socket, options: PeerLinksOptions<Message>, handlers: IncomingLinkHandlers) {
    this.#socket = socket
    this.#onHello = handlers.onHello
    this.#options = options
    this.#frames = handlers.frames
    this.#openedAtMs = options.clock.monotonicMs()
    this.#lastReceivedAtMs = this.#openedAtMs
    socket.setNoDelay(true)
    socket.on('data', chunk => {
      this.#lastReceivedAtMs = options.clock.monotonicMs()
      options.metrics.increment('peer.received_bytes', {}, chunk.length)
      const messages = decodeOrClose(this.#decoder, chunk, socket, options.metrics)
      if (messages.length > 0) this.#endFrame()
      for (const message of messages) this.#receive(message)
      if (!socket.destroyed) this.#countUnfinishedFrame()
    })
    socket.on('error', () => {})
    socket.on('close', () => {
      this.#endFrame()
      handlers.onClose()
    })
  }

  /** A link that stays unidentified is closed even if bytes keep arriving. */
  checkLiveness (): void {
    const sinceMs = this.#peerId === undefined ? this.#openedAtMs : this.#lastReceivedAtMs
    if (this.#options.clock.monotonicMs() - sinceMs >= this.#options.silenceTimeoutMs) this.close()
  }

  /** Closes this link or another one if the unfinished frames of all links take too much memory. */
  #countUnfinishedFrame (): void {
    const { heldBytes, frameBytes } = this.#decoder
    if (heldBytes === 0) return this.#endFrame()
    if (this.#peerId === undefined && frameBytes > MAX_UNIDENTIFIED_FRAME_BYTES) return this.#drop()
    const nowMs = this.#options.clock.monotonicMs()
    this.#frame ??= this.#beginFrame(nowMs)
    if (this.#frame === undefined) return
    const { refused, dropped } = this.#frames.receiveChunk(this.#frame, 0, heldBytes, nowMs)
    for (const drop of refused === undefined ? dropped : [...dropped, this.#drop]) drop()
  }

  #beginFrame (nowMs: number): AdmittedBody<() => void> | undefined {
    const admitted = this.#frames.beginBody(this.#drop, this, { maxBodyBytes: MAX_FRAME_BYTES }, nowMs)
    return typeof admitted === 'string' ? undefined : admitted
  }

  #endFrame (): void {
    if (this.#frame !== undefined) this.#frames.endBody(this.#frame)
    this.#frame = undefined
  }

  readonly #drop = (): void => {
    this.#options.metrics.increment('peer.frame_dropped')
    this.#options.log.warn('peer link closed: its unfinished frame takes too much memory', { peerId: this.#peerId })
    this.close()
  }

  close (): void {
    this.#socket.destroy()
  }

  get peerId (): string | undefined {
    return this.#peerId
  }

  send (message: Message): boolean {
    if (this.#socket.destroyed || this.#socket.writableLength > MAX_SEND_BUFFER_BYTES) return false
    this.#socket.write(encodeFrame(message, this.#format))
    return true
  }

  #receive (message: Message): void {
    if (message.kind === 'ping') {
      this.#socket.write(encodeFrame({ kind: 'pong' }, this.#format))
      return
    }
    if (isHello(message)) this.#identify(message)
    if (this.#peerId !== undefined) this.#options.onMessage(this.#peerId, message)
  }

  #identify (hello: HelloMessage): void {
    const { nodeId } = hello
    if (this.#options.acceptsUnknownNodes === true || this.#options.peers.some(peer => peer.nodeId === nodeId)) {
      this.#peerId = nodeId
      this.#format = frameFormatOf(hello)
      this.#onHello(hello)
      return
    }
    this.#options.log.warn('peer link from unknown node refused', { peerId: nodeId })
    this.close()
  }
}

function frameFormatOf ({ readsNumberedFields }: HelloMessage): FrameFormat {
  return readsNumberedFields === true ? 'numbered' : 'named'
}

function isHello (message: LinkMessage): message is HelloMessage {
  return message.kind === 'hello'
}

function decodeOrClose<Message extends LinkMessage> (
  decoder: FrameDecoder<Message>, chunk: Buffer, socket: Socket, metrics: Metrics
): Message[] {
  try {
    return decoder.push(chunk)
  } catch {
    metrics.increment('peer.malformed_frame')
    socket.destroy()
    return []
  }
}
