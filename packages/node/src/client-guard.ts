/**
 * Applies the decisions of {@link ClientAdmission} to HTTP servers: connections, requests sent ahead, bodies, unread
 * answers and timeouts, against clients that would otherwise exhaust the process's memory or descriptors.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import {
  ClientAdmission, failure, type Admission, type AdmittedBody, type ClientAdmissionLimits, type ClientLimit, type Clock,
  type ConnectionPool, type EventLog, type Failure, type Metrics
} from '@comfreygrade/core'
import { startInterval, startTimer, toDelayMs } from '@comfreygrade/timers'
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

/** Time without a refusal after which a limit is logged as no longer reached. */
const LIMIT_CLEAR_MS = 5_000
/** Interval at which timeouts of incomplete requests are checked. */
const TIMEOUT_CHECK_INTERVAL_MS = 500
/** Time for which a refused client may go on sending, so that it can read the refusal before it is disconnected. */
const LINGER_MS = 300
/** Bodies and answers below this are not counted: they take less memory than their connection. */
const MIN_COUNTED_BYTES = 4 * 1024
/** Bytes of a refused body that are discarded before the client is disconnected. */
const MAX_LINGER_BYTES = 256 * 1024

const NO_BODY = Buffer.alloc(0)
/** Answers come on connections that the process has opened itself, which the admission does not know. */
const UNKNOWN_CONNECTION = {} as Socket

const CLIENT_ERROR_LIMITS: Readonly<Record<string, ClientLimit>> = {
  HPE_HEADER_OVERFLOW: 'header_bytes',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 'header_bytes',
  ERR_HTTP_REQUEST_TIMEOUT: 'receive_time'
}

function doNothing (): void {}

/** One instance per process, shared by all its HTTP servers. */
export class ClientGuard {
  readonly #options: ClientGuardOptions
  readonly #admission: ClientAdmission<Socket, BodyOwner>
  /** Limits that refuse clients at present, with the time of the latest refusal and the number of refusals. */
  readonly #binding = new Map<ClientLimit, { lastMs: number, count: number }>()
  #clearTimer: NodeJS.Timeout | undefined
  /**
   * Requests that were sent ahead and have not ended. Their responses emit no event if the connection closes before
   * their turn.
   */
  readonly #requestsAhead = new WeakMap<Socket, readonly GuardedRequest[]>()
  readonly #limiter: Limiter

  constructor (options: ClientGuardOptions) {
    this.#options = options
    this.#admission = new ClientAdmission(options.limits)
    this.#limiter = {
      admission: this.#admission,
      clock: options.clock,
      record: limit => { this.#record(limit) },
      disconnect: (socket, limit) => { this.#disconnect(socket, limit) }
    }
  }

  /** Options that `createServer` needs for the timeouts to be exact. */
  static readonly serverOptions = { connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS }

  /** Applies the limits to the connections of a server. */
  protect (server: Server, pool: ConnectionPool, limits: RequestLimits): void {
    this.setLimits(server, limits)
    server.prependListener('connection', (socket: Socket) => { this.#openConnection(socket, pool) })
    server.on('timeout', (socket: Socket) => { this.#closeIdle(socket) })
  }

  /**
   * Applies to connections and requests that arrive from now on, the timeouts to those in progress too. A server takes
   * the first two timeouts modulo 2^32 ms.
   */
  setLimits (server: Server, limits: RequestLimits): void {
    Object.assign(server, {
      maxHeaderSize: limits.maxHeaderBytes,
      headersTimeout: toDelayMs(limits.headerTimeoutMs),
      requestTimeout: toDelayMs(limits.bodyTimeoutMs),
      timeout: toDelayMs(limits.idleTimeoutMs)
    })
  }

  /**
   * Admits a request, or disconnects a client that sends too many ahead. A request of a disconnected client is not
   * admitted, so that it does not run although its client cannot be answered. `onEnd` is called when the answer has
   * been passed on or the client has disconnected.
   */
  admitRequest (request: IncomingMessage, response: ServerResponse, onEnd = doNothing): GuardedRequest | undefined {
    const { socket } = request
    if (socket.destroyed) return undefined
    const { refused } = this.#admission.beginRequest(socket)
    if (refused !== undefined) {
      this.#disconnect(socket, refused)
      return undefined
    }
    const guarded = new GuardedRequest(request, response, this.#limiter, onEnd)
    // A response gets the socket when its turn comes.
    if (response.socket === null) this.#recordAhead(socket, guarded)
    return guarded
  }

  /** Collects an answer of another process within the same budget; `onRefused` is called once if it is refused. */
  collectAnswer (maxBytes: number, onRefused: () => void): AnswerCollector {
    return new AnswerCollector(this.#limiter, maxBytes, onRefused)
  }

  /** Counts what an HTTP parser refused. */
  recordClientError ({ code }: NodeJS.ErrnoException): void {
    const limit = CLIENT_ERROR_LIMITS[code ?? '']
    if (limit !== undefined) this.#record(limit)
  }

  #openConnection (socket: Socket, pool: ConnectionPool): void {
    const address = socket.remoteAddress ?? ''
    const nowMs = this.#options.clock.monotonicMs()
    const { refused, dropped, droppedFor } = this.#admission.openConnection(socket, { address, pool, nowMs })
    if (refused !== undefined) return this.#disconnect(socket, refused)
    for (const victim of dropped) this.#disconnect(victim, droppedFor ?? 'connections')
    socket.once('close', () => {
      for (const guarded of this.#requestsAhead.get(socket) ?? []) guarded.end()
      this.#admission.closeConnection(socket)
    })
  }

  #recordAhead (socket: Socket, guarded: GuardedRequest): void {
    const requests = [...this.#requestsAhead.get(socket) ?? [], guarded]
    this.#requestsAhead.set(socket, requests.filter(request => !request.hasEnded))
  }

  /**
   * A connection that waits for the answer of a running request is not idle. The end of a kept-alive connection without
   * a request is no refusal.
   */
  #closeIdle (socket: Socket): void {
    if (!this.#admission.hasOpenRequest(socket)) socket.destroy()
    else if (this.#admission.isReceivingBody(socket) || socket.writableLength > 0) this.#disconnect(socket, 'idle_time')
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
    this.#clearTimer ??= startInterval(LIMIT_CLEAR_MS, () => { this.#logCleared() }).unref()
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

/** What the requests of a guard share. */
interface Limiter {
  readonly admission: ClientAdmission<Socket, BodyOwner>
  readonly clock: Clock
  readonly record: (limit: ClientLimit) => void
  readonly disconnect: (socket: Socket, limit: ClientLimit) => void
}

/** Something whose bytes a guard counts. */
abstract class BodyOwner {
  /** Refuses a body that is not complete, in favour of others. */
  abstract drop (limit: ClientLimit): void
}

/** One answer of another process, of which chunks arrive until it is complete or too large. */
export class AnswerCollector extends BodyOwner {
  readonly #limiter: Limiter
  readonly #onRefused: () => void
  readonly #body = new SegmentedBody()
  readonly #admitted: AdmittedBody<BodyOwner> | undefined

  constructor (limiter: Limiter, maxBytes: number, onRefused: () => void) {
    super()
    this.#limiter = limiter
    this.#onRefused = onRefused
    const admitted = limiter.admission.beginBody(
      this, UNKNOWN_CONNECTION, { maxBodyBytes: maxBytes }, limiter.clock.monotonicMs()
    )
    this.#admitted = typeof admitted === 'object' ? admitted : undefined
  }

  append (chunk: Buffer): void {
    if (this.#admitted === undefined || this.#admitted.isFinished) return
    this.#body.append(chunk)
    const { admission, clock } = this.#limiter
    applyTo(this, admission.receiveChunk(this.#admitted, chunk.length, this.#body.heldBytes, clock.monotonicMs()))
  }

  /** The whole answer. Its memory is no longer counted. */
  take (): Buffer {
    this.end()
    return this.#body.toBuffer()
  }

  /** Gives up the answer. */
  end (): void {
    if (this.#admitted !== undefined) this.#limiter.admission.endBody(this.#admitted)
  }

  override drop (limit: ClientLimit): void {
    this.end()
    this.#limiter.record(limit)
    this.#onRefused()
  }
}

function applyTo (owner: BodyOwner, { refused, dropped, droppedFor = 'body_budget' }: Admission<BodyOwner>): void {
  for (const victim of dropped) victim.drop(droppedFor)
  if (refused !== undefined) owner.drop(refused)
}

/** One admitted request, from its header to the end of its answer. */
export class GuardedRequest extends BodyOwner {
  readonly #request: IncomingMessage
  readonly #response: ServerResponse
  readonly #limiter: Limiter
  readonly #onEnd: () => void
  #hasEnded = false
  #admitted: AdmittedBody<BodyOwner> | undefined
  #answerBytes = 0
  #refuse: (limit: ClientLimit) => void = doNothing

  constructor (request: IncomingMessage, response: ServerResponse, limiter: Limiter, onEnd: () => void) {
    super()
    this.#request = request
    this.#response = response
    this.#limiter = limiter
    this.#onEnd = onEnd
    response.once('close', () => { this.end() })
  }

  get hasEnded (): boolean {
    return this.#hasEnded
  }

  /** Releases what the request holds: its answer has been passed on, or the client has disconnected. */
  end (): void {
    if (this.#hasEnded) return
    this.#hasEnded = true
    const { admission, clock } = this.#limiter
    if (this.#admitted !== undefined) admission.endBody(this.#admitted)
    admission.endRequest(this.#request.socket, this.#answerBytes, clock.monotonicMs())
    this.#onEnd()
  }

  /** Reads the body. Neither handler is called if the client disconnects. */
  readBody (maxBodyBytes: number, handlers: BodyHandlers): void {
    const request = this.#request
    const length = request.headers['content-length']
    if (length === undefined && request.headers['transfer-encoding'] === undefined) {
      request.resume()
      handlers.onBody(NO_BODY)
      return
    }
    const bounds = { maxBodyBytes, announcedBytes: length === undefined ? undefined : Number(length) }
    const { admission, clock, record } = this.#limiter
    const admitted = admission.beginBody(this, request.socket, bounds, clock.monotonicMs())
    if (typeof admitted === 'object') return this.#collect(admitted, handlers)
    record(admitted)
    handlers.onRefused(failureOf(admitted, maxBodyBytes))
  }

  /** Counts the bytes of an answer that is about to be written. */
  beginAnswer (answerBytes: number): void {
    if (answerBytes < MIN_COUNTED_BYTES) return
    this.#answerBytes = answerBytes
    const { admission, clock, disconnect } = this.#limiter
    const { dropped, droppedBodies, droppedFor = 'unread_answers' } = admission.beginAnswer(
      this.#request.socket, answerBytes, clock.monotonicMs()
    )
    for (const body of droppedBodies) body.drop('body_budget')
    for (const victim of dropped) disconnect(victim, droppedFor)
  }

  /**
   * Ends a refusal whose bytes have all been written, and disconnects the client. The client gets some time to read the
   * refusal: data that arrives after the connection is closed would make its system discard it.
   */
  endRefusal (): void {
    const request = this.#request
    const { socket } = request
    if (request.complete) {
      this.#response.end()
      return
    }
    let discardedBytes = 0
    const end = (): void => {
      clearTimeout(timer)
      this.#response.end()
      socket.destroySoon()
    }
    const timer = startTimer(LINGER_MS, end)
    request.on('data', (chunk: Buffer) => {
      discardedBytes += chunk.length
      if (discardedBytes > MAX_LINGER_BYTES) socket.destroy()
    })
    request.once('end', end)
    request.once('close', end)
    request.resume()
  }

  override drop (limit: ClientLimit): void {
    this.#refuse(limit)
  }

  #collect (admitted: AdmittedBody<BodyOwner>, { onBody, onRefused }: BodyHandlers): void {
    const request = this.#request
    const { admission, clock, record } = this.#limiter
    const { maxBodyBytes, announcedBytes } = admitted.bounds
    const body = new CollectedBody()
    const append = (chunk: Buffer): void => {
      const heldBytes = body.append(chunk, announcedBytes)
      if (heldBytes === undefined) return
      applyTo(this, admission.receiveChunk(admitted, chunk.length, heldBytes, clock.monotonicMs()))
    }
    const end = (): void => {
      admission.completeBody(admitted)
      this.#refuse = doNothing
      onBody(body.toBuffer())
    }
    this.#admitted = admitted
    this.#refuse = limit => {
      request.off('data', append)
      request.off('end', end)
      this.#refuse = doNothing
      record(limit)
      // Reading on while the client reads an answer would cost the processor time that the limit saves.
      if (limit === 'chunk_size') request.socket.destroy()
      else onRefused(failureOf(limit, maxBodyBytes))
    }
    request.on('data', append)
    request.on('end', end)
  }
}

/** The bytes of a request body. */
class CollectedBody {
  #whole: Buffer | undefined
  #segments: SegmentedBody | undefined

  /** Returns the memory to count; undefined for a small body that arrives at once, which is the usual case. */
  append (chunk: Buffer, announcedBytes: number | undefined): number | undefined {
    if (chunk.length === announcedBytes && chunk.length < MIN_COUNTED_BYTES) {
      this.#whole = chunk
      return undefined
    }
    this.#segments ??= new SegmentedBody()
    this.#segments.append(chunk, announcedBytes)
    return this.#segments.heldBytes
  }

  toBuffer (): Buffer {
    return this.#whole ?? this.#segments?.toBuffer() ?? NO_BODY
  }
}

function failureOf (limit: ClientLimit, maxBodyBytes: number): Failure {
  if (limit === 'body_bytes') return failure('body_too_large', `the body exceeds the limit of ${maxBodyBytes} bytes`)
  return failure('overloaded', 'the process has no memory for the body at present')
}
