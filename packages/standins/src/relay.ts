/** A TCP relay, on loopback by default, that blocks, silences or resets connections, to test network failures. */
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net'
import { LOOPBACK_HOST } from './loopback-server.js'

/** The direction in which a relay holds data back. */
export type BlockedDirection = 'to_target' | 'to_client' | 'both'

/** The hosts that a relay listens on and forwards to. */
export interface RelayHosts {
  readonly host: string
  readonly targetHost: string
}

/** Forwards TCP connections to a target port, with faults on demand. */
export class Relay {
  readonly #server: Server
  readonly #hosts: RelayHosts
  readonly #connections = new Set<RelayedConnection>()
  #blocked: BlockedDirection | undefined
  #port = 0

  /**
   * @example
   * const relay = new Relay(8080)
   * const port = await relay.start()
   * relay.block('both')
   * relay.restore()
   * await relay.stop()
   */
  constructor (targetPort: number, hosts: RelayHosts = { host: LOOPBACK_HOST, targetHost: LOOPBACK_HOST }) {
    this.#hosts = hosts
    this.#server = createServer({ allowHalfOpen: true }, client => this.#accept(client, targetPort))
  }

  /** Port that clients connect to; valid after `start`. */
  get port (): number {
    return this.#port
  }

  get openConnections (): number {
    return this.#connections.size
  }

  /** Opens a port, a free one by default, and returns its number. */
  async start (port = 0): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, this.#hosts.host, resolve)
    })
    this.#port = (this.#server.address() as AddressInfo).port
    return this.#port
  }

  /**
   * Holds back data and the end or close of a connection in the given direction, on open and on new connections, so
   * that the receiving end sees only silence.
   */
  block (direction: BlockedDirection): void {
    this.#blocked = direction
    for (const connection of this.#connections) connection.block(direction)
  }

  /** Ends a block; data that was held back is delivered, as TCP does after a network partition. */
  restore (): void {
    this.#blocked = undefined
    for (const connection of this.#connections) connection.restore()
  }

  /**
   * Blocks the open connections in both directions; new ones are forwarded normally. `restore` does not unblock
   * them, but a later `block` in one direction unblocks the other.
   */
  silenceOpenConnections (): void {
    for (const connection of this.#connections) connection.silence()
  }

  resetOpenConnections (): void {
    for (const connection of this.#connections) connection.reset()
  }

  /** Closes the port and every connection. */
  async stop (): Promise<void> {
    const closed = new Promise<void>(resolve => this.#server.close(() => resolve()))
    for (const connection of this.#connections) connection.destroy()
    await closed
  }

  #accept (client: Socket, targetPort: number): void {
    const target = connect({ port: targetPort, host: this.#hosts.targetHost, allowHalfOpen: true })
    const connection = new RelayedConnection(client, target, () => this.#connections.delete(connection))
    this.#connections.add(connection)
    if (this.#blocked !== undefined) connection.block(this.#blocked)
  }
}

/** One client connection and its connection to the target. */
class RelayedConnection {
  readonly #toTarget: OneWayForwarder
  readonly #toClient: OneWayForwarder
  #isSilenced = false
  #openSockets = 2

  constructor (client: Socket, target: Socket, onClosed: () => void) {
    this.#toTarget = new OneWayForwarder(client, target)
    this.#toClient = new OneWayForwarder(target, client)
    // While blocked, one end can close long before the other; the connection is tracked until both have closed.
    const countClosedSocket = () => { if (--this.#openSockets === 0) onClosed() }
    client.on('close', countClosedSocket)
    target.on('close', countClosedSocket)
  }

  block (direction: BlockedDirection): void {
    this.#toTarget.setBlocked(direction !== 'to_client')
    this.#toClient.setBlocked(direction !== 'to_target')
  }

  restore (): void {
    if (this.#isSilenced) return
    this.#toTarget.setBlocked(false)
    this.#toClient.setBlocked(false)
  }

  silence (): void {
    this.block('both')
    this.#isSilenced = true
  }

  reset (): void {
    this.#toTarget.reset()
    this.#toClient.reset()
  }

  destroy (): void {
    this.#toTarget.destroy()
    this.#toClient.destroy()
  }
}

/** Forwards the data, the end of data and the close of one socket to another, with backpressure. */
class OneWayForwarder {
  readonly #from: Socket
  readonly #to: Socket
  #isBlocked = false
  #isEnded = false
  #isClosed = false

  constructor (from: Socket, to: Socket) {
    this.#from = from
    this.#to = to
    from.on('data', chunk => { if (!to.write(chunk)) from.pause() })
    from.on('end', () => { this.#isEnded = true; this.#forwardClose() })
    from.on('close', () => { this.#isClosed = true; this.#forwardClose() })
    from.on('error', () => from.destroy())
    to.on('drain', () => { if (!this.#isBlocked) from.resume() })
  }

  /** Reading stops while blocked, so unread data stays with the sender, as in a network that loses packets. */
  setBlocked (isBlocked: boolean): void {
    this.#isBlocked = isBlocked
    if (isBlocked) this.#from.pause()
    else this.#from.resume()
    this.#forwardClose()
  }

  destroy (): void {
    this.#from.destroy()
  }

  reset (): void {
    this.#from.resetAndDestroy()
  }

  /** A paused socket still emits `end` and `close`, so they are held back here while blocked. */
  #forwardClose (): void {
    if (this.#isBlocked) return
    if (this.#isEnded) this.#to.end()
    if (this.#isClosed) this.#to.destroySoon()
  }
}
