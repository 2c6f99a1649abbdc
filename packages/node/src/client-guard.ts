/**
 * Applies the decisions of {@link ClientAdmission} to HTTP servers: connections, requests sent ahead, bodies, unread
 * answers and timeouts, against clients that would otherwise exhaust the process's memory or descriptors.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import {
  ClientAdmission, failure, type Admission, type ClientAdmissionLimits, type ClientLimit, type Clock,
  type ConnectionPool, type EventLog, type Failure, type Metrics
} from '@comfreygrade/core'
import { SegmentedBody } from './segmented-body.js'

/** Limits of the requests of a server. They may change while it runs. */
export interface RequestLimits {
  readonly maxHeaderBytes: number
  readonly maxBodyBytes: number
  /** Time in which the headers of a request must be complete, also those of the first one on a new connection. */
  readonly headerTimeoutMs: number
  /** Time in which a whole request must be received. */
  readonly bodyTimeoutMs: number
  /** Time without any bytes in either direction while a request or its answer is incomplete. */
  readonly idleTimeoutMs: number
}

/** Options of {@link ClientGuard}. */
export interface ClientGuardOptions {
  readonly limits: ClientAdmissionLimits
  readonly clock: Clock
  readonly metrics: Metrics
  readonly log: EventLog
}

/** How a body that a guard reads ends. */
export interface BodyHandlers {
  readonly onBody: (body: Buffer) => void
  /** The body was refused before it was complete, so that the request has not run. */
  readonly onRefused: (cause: Failure) => void
}

interface OpenBody {
  readonly refuse: (limit: ClientLimit) => void
}

/** Time without a refusal after which a limit has ceased to bind. */
const LIMIT_CLEAR_MS = 5_000
/** Interval at which timeouts of incomplete requests are checked. */
const TIMEOUT_CHECK_INTERVAL_MS = 500
/** Time for which a refused client may go on sending, so that it can read the refusal before it is disconnected. */
const LINGER_MS = 300
/** Bytes of a refused body that are discarded before the client is disconnected. */
const MAX_LINGER_BYTES = 256 * 1024

const CLIENT_ERROR_LIMITS: Readonly<Record<string, ClientLimit>> = {
  HPE_HEADER_OVERFLOW: 'header_bytes',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 'header_bytes',
  ERR_HTTP_REQUEST_TIMEOUT: 'receive_time'
}

/** One instance per process, shared by all its HTTP servers. */
export class ClientGuard {
  readonly #options: ClientGuardOptions
  readonly #admission: ClientAdmission<Socket, IncomingMessage>
  readonly #openBodies = new Map<IncomingMessage, OpenBody>()
  readonly #answerBytes = new WeakMap<ServerResponse, number>()
  /** Limits that bind at present, with the time and number of their refusals. */
  readonly #binding = new Map<ClientLimit, { lastMs: number, count: number }>()
  #clearTimer: NodeJS.Timeout | undefined

  constructor (options: ClientGuardOptions) {
    this.#options = options
    this.#admission = new ClientAdmission(options.limits)
  }

  /** Options that `createServer` needs for the timeouts to be exact. */
  static readonly serverOptions = { connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS }

  /** Applies the limits to the connections of a server. */
  protect (server: Server, pool: ConnectionPool, limits: RequestLimits): void {
    this.setLimits(server, limits)
    server.prependListener('connection', (socket: Socket) => { this.#openConnection(socket, pool) })
    server.on('timeout', (socket: Socket) => { this.#closeIdle(socket) })
  }

  /** Applies to connections and requests that arrive from now on, the timeouts to those in progress too. */
  setLimits (server: Server, limits: RequestLimits): void {
    Object.assign(server, {
      maxHeaderSize: limits.maxHeaderBytes,
      headersTimeout: limits.headerTimeoutMs,
      requestTimeout: limits.bodyTimeoutMs,
      timeout: limits.idleTimeoutMs
    })
  }

  /**
   * Admits a request, or disconnects a client that sends too many ahead. A request of a disconnected client is not
   * admitted, so that it does not run although its client cannot be answered.
   */
  admitRequest (request: IncomingMessage, response: ServerResponse): boolean {
    const { socket } = request
    if (socket.destroyed) return false
    const { refused } = this.#admission.beginRequest(socket)
    if (refused !== undefined) {
      this.#disconnect(socket, refused)
      return false
    }
    response.once('close', () => { this.#endRequest(request, response, socket) })
    return true
  }

  /** Counts the bytes of an answer that is about to be written. */
  beginAnswer (response: ServerResponse, answerBytes: number): void {
    const { socket } = response.req
    this.#answerBytes.set(response, answerBytes)
    const { dropped, droppedFor } = this.#admission.beginAnswer(socket, answerBytes)
    for (const victim of dropped) this.#disconnect(victim, droppedFor ?? 'unread_answers')
  }

  /** Counts what an HTTP parser refused. */
  recordClientError ({ code }: NodeJS.ErrnoException): void {
    const limit = CLIENT_ERROR_LIMITS[code ?? '']
    if (limit !== undefined) this.#record(limit)
  }

  /** Reads the body of an admitted request. Neither handler is called if the client disconnects. */
  readBody (request: IncomingMessage, maxBodyBytes: number, { onBody, onRefused }: BodyHandlers): void {
    const announced = request.headers['content-length']
    const announcedBytes = announced === undefined ? undefined : Number(announced)
    if (announcedBytes === undefined && request.headers['transfer-encoding'] === undefined) {
      request.on('end', () => { onBody(NO_BODY) })
      request.resume()
      return
    }
    const nowMs = this.#options.clock.monotonicMs()
    const bounds = { maxBodyBytes, ...(announcedBytes === undefined ? {} : { announcedBytes }) }
    const { refused } = this.#admission.beginBody(request, request.socket, bounds, nowMs)
    if (refused !== undefined) {
      this.#record(refused)
      onRefused(failureOf(refused, maxBodyBytes))
      return
    }
    this.#collect(request, maxBodyBytes, announcedBytes, { onBody, onRefused })
  }

  /**
   * Ends a refusal whose bytes have all been written, and disconnects the client. The client gets some time to read the
   * refusal: data that arrives after the connection is closed would make its system discard it.
   */
  endRefusal (request: IncomingMessage, response: ServerResponse): void {
    if (request.complete) {
      response.end()
      return
    }
    let discardedBytes = 0
    const end = (): void => {
      clearTimeout(timer)
      response.end()
      request.socket.destroySoon()
    }
    const timer = setTimeout(end, LINGER_MS)
    request.on('data', (chunk: Buffer) => {
      discardedBytes += chunk.length
      if (discardedBytes > MAX_LINGER_BYTES) request.socket.destroy()
    })
    request.once('end', end)
    request.once('close', end)
    request.resume()
  }

  #openConnection (socket: Socket, pool: ConnectionPool): void {
    const address = socket.remoteAddress ?? ''
    const nowMs = this.#options.clock.monotonicMs()
    const { refused, dropped, droppedFor } = this.#admission.openConnection(socket, { address, pool, nowMs })
    if (refused !== undefined) return this.#disconnect(socket, refused)
    for (const victim of dropped) this.#disconnect(victim, droppedFor ?? 'connections')
    socket.once('close', () => { this.#admission.closeConnection(socket) })
  }

  /** The end of a kept-alive connection without a request is no refusal. */
  #closeIdle (socket: Socket): void {
    if (this.#admission.hasOpenRequest(socket)) this.#disconnect(socket, 'idle_time')
    else socket.destroy()
  }

  #endRequest (request: IncomingMessage, response: ServerResponse, socket: Socket): void {
    this.#openBodies.delete(request)
    this.#admission.endBody(request)
    this.#admission.endRequest(socket, this.#answerBytes.get(response) ?? 0)
  }

  #collect (
    request: IncomingMessage, maxBodyBytes: number, announcedBytes: number | undefined, handlers: BodyHandlers
  ): void {
    const body = new SegmentedBody()
    const append = (chunk: Buffer): void => {
      body.append(chunk, announcedBytes)
      this.#apply(request, this.#admission.receiveChunk(
        request, chunk.length, body.heldBytes, this.#options.clock.monotonicMs()
      ))
    }
    const end = (): void => {
      this.#openBodies.delete(request)
      this.#admission.completeBody(request)
      handlers.onBody(body.toBuffer())
    }
    const refuse = (limit: ClientLimit): void => {
      request.off('data', append)
      request.off('end', end)
      this.#openBodies.delete(request)
      this.#record(limit)
      // An answer would take as long to reach this client as its body costs in processor time.
      if (limit === 'chunk_size') request.socket.destroy()
      else handlers.onRefused(failureOf(limit, maxBodyBytes))
    }
    this.#openBodies.set(request, { refuse })
    request.on('data', append)
    request.on('end', end)
  }

  #apply (request: IncomingMessage, { refused, dropped, droppedFor }: Admission<IncomingMessage>): void {
    for (const victim of dropped) this.#openBodies.get(victim)?.refuse(droppedFor ?? 'body_budget')
    if (refused !== undefined) this.#openBodies.get(request)?.refuse(refused)
  }

  #disconnect (socket: Socket, limit: ClientLimit): void {
    this.#record(limit)
    socket.destroy()
  }

  /** Counts a refusal, and logs the first one of a series. */
  #record (limit: ClientLimit): void {
    const lastMs = this.#options.clock.monotonicMs()
    this.#options.metrics.increment('client.limited', { limit })
    const binding = this.#binding.get(limit)
    if (binding !== undefined) {
      binding.lastMs = lastMs
      binding.count++
      return
    }
    this.#binding.set(limit, { lastMs, count: 1 })
    this.#options.log.warn('client limit reached', { limit })
    this.#clearTimer ??= setInterval(() => { this.#logCleared() }, LIMIT_CLEAR_MS).unref()
  }

  #logCleared (): void {
    const nowMs = this.#options.clock.monotonicMs()
    for (const [limit, { lastMs, count }] of this.#binding) {
      if (nowMs - lastMs < LIMIT_CLEAR_MS) continue
      this.#binding.delete(limit)
      this.#options.log.info('client limit no longer reached', { limit, count })
    }
    if (this.#binding.size > 0) return
    clearInterval(this.#clearTimer)
    this.#clearTimer = undefined
  }
}

const NO_BODY = Buffer.alloc(0)

function failureOf (limit: ClientLimit, maxBodyBytes: number): Failure {
  if (limit === 'body_bytes') return failure('body_too_large', `the body exceeds the limit of ${maxBodyBytes} bytes`)
  return failure('overloaded', 'the process has no memory for the body at present')
}
