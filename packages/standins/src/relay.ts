/** A TCP relay on loopback that delays, cuts, resets or silences connections, for tests of networks that fail. */
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net'
import { LOOPBACK_HOST } from './loopback-server.js'

/** Which bytes are held back. */
export type BlockedDirection = 'to_target' | 'to_client' | 'both'

/** Where a relay listens and forwards to. */
export interface RelayHosts {
  readonly host: string
  readonly targetHost: string
}

/** Forwards TCP connections to a target port until told to hold bytes back. */
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

  /** Connections that are open at present. */
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

  /** Holds bytes and closures back, on open connections and new ones. No end notices anything but silence. */
  block (direction: BlockedDirection): void {
    this.#blocked = direction
    for (const connection of this.#connections) connection.block(direction)
  }

  /** Forwards again; bytes that were held back are delivered, as TCP does after a partition. */
  restore (): void {
    this.#blocked = undefined
    for (const connection of this.#connections) connection.restore()
  }

  /** Makes the open connections silent for good, while new ones work. */
  silenceOpenConnections (): void {
    for (const connection of this.#connections) connection.silence()
  }

  /** Resets the open connections. */
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
  readonly #toTarget: OneWay
  readonly #toClient: OneWay
  #isSilenced = false
  #openSockets = 2

  constructor (client: Socket, target: Socket, closed: () => void) {
    this.#toTarget = new OneWay(client, target)
    this.#toClient = new OneWay(target, client)
    // While blocked, one end may close long before the other; the connection is kept until both have.
    const count = () => { if (--this.#openSockets === 0) closed() }
    client.on('close', count)
    target.on('close', count)
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

/** Copies bytes, the end and the loss of one socket to another, with backpressure. */
class OneWay {
  readonly #from: Socket
  readonly #to: Socket
  #isBlocked = false
  #isEnded = false
  #isLost = false

  constructor (from: Socket, to: Socket) {
    this.#from = from
    this.#to = to
    from.on('data', chunk => { if (!to.write(chunk)) from.pause() })
    from.on('end', () => { this.#isEnded = true; this.#forwardClosure() })
    from.on('close', () => { this.#isLost = true; this.#forwardClosure() })
    from.on('error', () => from.destroy())
    to.on('drain', () => { if (!this.#isBlocked) from.resume() })
  }

  /** Reading stops while blocked, so the bytes stay with the sender as in a network that loses packets. */
  setBlocked (isBlocked: boolean): void {
    this.#isBlocked = isBlocked
    if (isBlocked) this.#from.pause()
    else this.#from.resume()
    this.#forwardClosure()
  }

  destroy (): void {
    this.#from.destroy()
  }

  reset (): void {
    this.#from.resetAndDestroy()
  }

  /** A paused socket still reports its end and its loss, so they are held back here. */
  #forwardClosure (): void {
    if (this.#isBlocked) return
    if (this.#isEnded) this.#to.end()
    if (this.#isLost) this.#to.destroySoon()
  }
}
