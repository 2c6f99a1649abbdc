/** An HTTP server on the loopback interface, shared by the stand-ins. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'

/** The only interface that stand-ins listen on. */
export const LOOPBACK_HOST = '127.0.0.1'

/** Largest body that a stand-in reads; the limit of the product itself is lower. */
const MAX_BODY_BYTES = 64 * 1024 * 1024

/** Handles one request; a rejection closes the connection. */
export type RequestHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>

/**
 * Listens on a port of the loopback interface; port 0 selects a free one.
 *
 * @example
 * const server = new LoopbackServer(async (_request, response) => { response.end('ok') })
 * const port = await server.listen(0)
 */
export class LoopbackServer {
  readonly #server: Server
  #port = 0
  #isClosing = false

  constructor (handler: RequestHandler) {
    this.#server = createServer((request, response) => {
      response.once('finish', () => this.#closeIdleConnectionsIfClosing())
      handler(request, response).catch(() => request.socket.destroy())
    })
    // A client that reuses an idle connection while the server closes it sees a reset, so idle ones stay open for long.
    this.#server.keepAliveTimeout = 60_000
  }

  /** Base URL; valid after `listen`. */
  get address (): string {
    return `http://${LOOPBACK_HOST}:${this.#port}`
  }

  /** Opens the port and returns its number. */
  async listen (port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(port, LOOPBACK_HOST, resolve)
    })
    this.#port = (this.#server.address() as AddressInfo).port
    return this.#port
  }

  /** Closes the port and idle connections, and waits for open requests to complete. */
  async close (): Promise<void> {
    this.#isClosing = true
    const closed = new Promise<void>(resolve => this.#server.close(() => resolve()))
    this.#server.closeIdleConnections()
    await closed
  }

  /** Closes the port and every connection at once, like a killed process. */
  async destroy (): Promise<void> {
    const closed = this.close()
    this.#server.closeAllConnections()
    await closed
  }

  /** A connection that becomes idle after the call of `close` would otherwise keep the server open. */
  #closeIdleConnectionsIfClosing (): void {
    if (this.#isClosing) setImmediate(() => this.#server.closeIdleConnections())
  }
}

/**
 * Reads a whole request body.
 *
 * @returns the bytes; rejects where they exceed 64 MiB or the connection is lost
 */
export async function readBody (request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  let sizeBytes = 0
  for await (const chunk of request as AsyncIterable<Buffer>) {
    sizeBytes += chunk.length
    if (sizeBytes > MAX_BODY_BYTES) throw new RangeError(`request body exceeds ${MAX_BODY_BYTES} bytes`)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks)
}

/** Sends a JSON response. */
export function sendJson (response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(value))
}
