/** TCP links between nodes: each node dials every other one and listens for their links. */
import { createConnection, createServer, type Server, type Socket } from 'node:net'
import type { Clock, EventLog, Metrics } from '@comfreygrade/core'
import {
  encodeFrame, FrameDecoder, type FrameFormat, type LinkHello, type LinkMessage, type PeerMessage
} from './peer-messages.js'

/** Bytes that may wait on one link; more means that the peer does not read, and messages are dropped. */
const MAX_BACKLOG_BYTES = 16 * 1024 * 1024

/** Where a peer listens. */
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
  /** Whether nodes outside `peers` may connect; they are answered on the links that they dialled. */
  readonly acceptsUnknownNodes?: boolean
  readonly pingIntervalMs: number
  readonly silenceMs: number
  readonly redialMs: number
  readonly clock: Clock
  readonly metrics: Metrics
  readonly log: EventLog
  /** Sent first on every link that this node dials. */
  readonly hello: () => Message
  readonly onMessage: (fromNodeId: string, message: Message) => void
  /** A dialled link is up, and `hello` was sent on it. */
  readonly onConnect: (nodeId: string) => void
  /** A dialled link is gone; requests that wait for answers on it end. */
  readonly onDisconnect: (nodeId: string) => void
}

/** Keeps one outgoing and one incoming link with each peer, and replaces links that went silent. */
export class PeerLinks<Message extends LinkMessage = PeerMessage> {
  readonly #options: PeerLinksOptions<Message>
  readonly #outgoing = new Map<string, OutgoingLink<Message>>()
  readonly #incoming = new Set<IncomingLink<Message>>()
  readonly #server: Server
  #timer: NodeJS.Timeout | undefined

  constructor (options: PeerLinksOptions<Message>) {
    this.#options = options
    this.#server = createServer(socket => { this.#accept(socket) })
    for (const peer of options.peers) {
      if (peer.nodeId !== options.nodeId) this.#outgoing.set(peer.nodeId, new OutgoingLink(peer, options))
    }
  }

  /** Listens and starts dialling. */
  async start (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(this.#options.port, this.#options.host, resolve)
    })
    for (const link of this.#outgoing.values()) link.dial()
    this.#timer = setInterval(() => { this.#checkLinks() }, this.#options.pingIntervalMs)
  }

  /**
   * Sends a message, or drops it when the link is down.
   *
   * @returns whether the message was handed to the operating system
   */
  send (nodeId: string, message: Message): boolean {
    const link = this.#outgoing.get(nodeId)
    return link === undefined ? this.#answer(nodeId, message) : link.send(message)
  }

  /** Dials one more peer; a peer that is known at another address is dialled there. */
  addPeer (peer: PeerAddress): void {
    if (peer.nodeId === this.#options.nodeId) return
    const known = this.#outgoing.get(peer.nodeId)
    if (known?.isAt(peer) === true) return
    known?.stop()
    const link = new OutgoingLink(peer, this.#options)
    this.#outgoing.set(peer.nodeId, link)
    link.dial()
  }

  /** IDs of the peers that are dialled, connected or not. */
  peerNodeIds (): string[] {
    return [...this.#outgoing.keys()]
  }

  /** Stops dialling a peer. */
  removePeer (nodeId: string): void {
    this.#outgoing.get(nodeId)?.stop()
    this.#outgoing.delete(nodeId)
  }

  /** Sends to a node that is not dialled on the latest link that it dialled. */
  #answer (nodeId: string, message: Message): boolean {
    const link = [...this.#incoming].findLast(candidate => candidate.peerId === nodeId)
    return link?.send(message) ?? false
  }

  /** Sends one message to every peer whose link is up, encoding it once for each format. */
  broadcast (message: Message): void {
    const frames = new Map<FrameFormat, Buffer>()
    for (const link of this.#outgoing.values()) {
      const frame = frames.get(link.format) ?? encodeFrame(message, link.format)
      frames.set(link.format, frame)
      link.sendFrame(frame, message.kind)
    }
  }

  /** IDs of the peers whose links are up. */
  connectedNodeIds (): string[] {
    return [...this.#outgoing.values()].filter(link => link.isConnected).map(link => link.nodeId)
  }

  /** Closes every link. */
  async stop (): Promise<void> {
    clearInterval(this.#timer)
    for (const link of this.#outgoing.values()) link.stop()
    for (const link of this.#incoming) link.close()
    await new Promise<void>(resolve => { this.#server.close(() => { resolve() }) })
  }

  #accept (socket: Socket): void {
    const link = new IncomingLink(socket, this.#options, {
      onHello: hello => { this.#chooseFormat(hello) },
      onClose: () => { this.#incoming.delete(link) }
    })
    this.#incoming.add(link)
  }

  /** A peer says at each start what it reads, so that nodes of two versions understand each other in an upgrade. */
  #chooseFormat ({ nodeId, readsNumberedFields }: LinkHello): void {
    const link = this.#outgoing.get(nodeId)
    if (link !== undefined) link.format = readsNumberedFields === true ? 'numbered' : 'named'
  }

  #checkLinks (): void {
    for (const link of this.#outgoing.values()) link.check()
    for (const link of this.#incoming) link.check()
  }
}

/** A link that this node dialled; carries its messages, and pongs back. */
class OutgoingLink<Message extends LinkMessage> {
  readonly #peer: PeerAddress
  readonly #options: PeerLinksOptions<Message>
  /** Format of the frames to this peer; named until it says that it reads numbered ones. */
  format: FrameFormat = 'named'
  #socket: Socket | undefined
  #isConnected = false
  #heardAtMs = 0
  #redialTimer: NodeJS.Timeout | undefined
  #isStopped = false

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

  isAt ({ host, port }: PeerAddress): boolean {
    return this.#peer.host === host && this.#peer.port === port
  }

  dial (): void {
    const socket = createConnection({ host: this.#peer.host, port: this.#peer.port, noDelay: true })
    const decoder = new FrameDecoder<Message>()
    this.#socket = socket
    this.#heardAtMs = this.#options.clock.monotonicMs()
    socket.on('connect', () => { this.#connected() })
    socket.on('data', chunk => {
      this.#heardAtMs = this.#options.clock.monotonicMs()
      for (const message of decodeOrClose(decoder, chunk, socket, this.#options.metrics)) this.#receive(message)
    })
    // The 'close' event follows each error and does the work.
    socket.on('error', () => {})
    socket.on('close', () => { this.#closed(socket) })
  }

  /** A peer that does not dial this node answers on the link that it was dialled on. */
  #receive (message: Message): void {
    if (message.kind !== 'pong') this.#options.onMessage(this.nodeId, message)
  }

  send (message: LinkMessage): boolean {
    return this.#isConnected && this.sendFrame(this.#encode(message), message.kind)
  }

  /** The peer may have been replaced by an older version, so `hello` is readable by all. */
  #encode (message: LinkMessage): Buffer {
    return encodeFrame(message, message.kind === 'hello' ? 'named' : this.format)
  }

  sendFrame (frame: Buffer, kind: string): boolean {
    if (!this.#isConnected || this.#socket === undefined) return false
    if (this.#socket.writableLength > MAX_BACKLOG_BYTES) {
      this.#options.metrics.increment('peer.dropped', { message: kind })
      return false
    }
    this.#socket.write(frame)
    this.#options.metrics.increment('peer.sent_bytes', { message: kind }, frame.length)
    return true
  }

  check (): void {
    if (this.#socket === undefined) return
    const silentMs = this.#options.clock.monotonicMs() - this.#heardAtMs
    if (silentMs >= this.#options.silenceMs) {
      this.#options.metrics.increment('peer.silent_link_closed', { peer: this.#peer.nodeId })
      this.#socket.destroy()
      return
    }
    this.send({ kind: 'ping' })
  }

  stop (): void {
    this.#isStopped = true
    clearTimeout(this.#redialTimer)
    this.#socket?.destroy()
  }

  #connected (): void {
    this.#isConnected = true
    this.#options.log.info('peer link is up', { peerId: this.#peer.nodeId })
    this.send(this.#options.hello())
    this.#options.onConnect(this.#peer.nodeId)
  }

  #closed (socket: Socket): void {
    if (this.#socket !== socket) return
    this.#socket = undefined
    if (this.#isConnected) {
      this.#isConnected = false
      this.#options.log.warn('peer link is down', { peerId: this.#peer.nodeId })
      this.#options.onDisconnect(this.#peer.nodeId)
    }
    if (!this.#isStopped) this.#redialTimer = setTimeout(() => { this.dial() }, this.#options.redialMs)
  }
}

interface IncomingLinkHandlers {
  readonly onHello: (hello: LinkHello) => void
  readonly onClose: () => void
}

/** A link that a peer dialled; only receives, and answers pings. */
class IncomingLink<Message extends LinkMessage> {
  readonly #socket: Socket
  readonly #options: PeerLinksOptions<Message>
  readonly #onHello: (hello: LinkHello) => void
  #peerId: string | undefined
  #heardAtMs: number

  constructor (socket: Socket, options: PeerLinksOptions<Message>, handlers: IncomingLinkHandlers) {
    this.#socket = socket
    this.#onHello = handlers.onHello
    this.#options = options
    this.#heardAtMs = options.clock.monotonicMs()
    const decoder = new FrameDecoder<Message>()
    socket.setNoDelay(true)
    socket.on('data', chunk => {
      this.#heardAtMs = options.clock.monotonicMs()
      options.metrics.increment('peer.received_bytes', {}, chunk.length)
      for (const message of decodeOrClose(decoder, chunk, socket, options.metrics)) this.#receive(message)
    })
    socket.on('error', () => {})
    socket.on('close', handlers.onClose)
  }

  check (): void {
    if (this.#options.clock.monotonicMs() - this.#heardAtMs >= this.#options.silenceMs) this.close()
  }

  close (): void {
    this.#socket.destroy()
  }

  get peerId (): string | undefined {
    return this.#peerId
  }

  send (message: Message): boolean {
    if (this.#socket.destroyed || this.#socket.writableLength > MAX_BACKLOG_BYTES) return false
    this.#socket.write(encodeFrame(message))
    return true
  }

  #receive (message: Message): void {
    if (message.kind === 'ping') {
      this.#socket.write(encodeFrame({ kind: 'pong' }))
      return
    }
    if (isHello(message)) this.#identify(message)
    if (this.#peerId !== undefined) this.#options.onMessage(this.#peerId, message)
  }

  #identify (hello: LinkHello): void {
    const { nodeId } = hello
    if (this.#options.acceptsUnknownNodes === true || this.#options.peers.some(peer => peer.nodeId === nodeId)) {
      this.#peerId = nodeId
      this.#onHello(hello)
      return
    }
    this.#options.log.warn('link of an unknown node refused', { peerId: nodeId })
    this.close()
  }
}

function isHello (message: LinkMessage): message is LinkHello {
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
