/** A stand-in for a users' backend server: announces itself, executes short requests and records each execution. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { setTimeout as delay } from 'node:timers/promises'
import type { BackendServerRecord, Clock } from '@comfreygrade/core'
import { type BackendBehaviour, type BackendExchange, ServeBehaviour } from './backend-behaviour.js'
import { EntryClient } from './entry-client.js'
import { Heartbeat } from './heartbeat.js'
import { LoopbackServer, readBody } from './loopback-server.js'
import { Slots } from './slots.js'
import { SystemClock } from './system-clock.js'

/** Settings of a stand-in backend server. */
export interface BackendServerSettings {
  readonly backendServerId: string
  /** Base URLs of entry nodes; none for a server that is only called directly. */
  readonly entries: readonly string[]
  readonly region: string
  readonly availabilityZone: string
  readonly services: readonly string[]
  readonly slots: number
  readonly connections: number
  /** Service time where the request names none. */
  readonly serviceMs: number
  /** 0 takes a free port. */
  readonly port: number
  readonly heartbeatTimeoutMs: number
}

/** One execution of a request. Times are monotonic milliseconds of the process. */
export interface ExecutionRecord {
  readonly requestId: string
  readonly attempt: string
  readonly organisationId: string
  readonly idempotencyKey: string
  readonly service: string
  readonly body: Buffer
  readonly startedMs: number
  readonly endedMs: number
}

const DEFAULT_SETTINGS: BackendServerSettings = {
  backendServerId: 'backend-server-1',
  entries: [],
  region: 'montevideo',
  availabilityZone: 'montevideo-a',
  services: ['charge'],
  slots: 8,
  connections: 60,
  serviceMs: 5,
  port: 0,
  heartbeatTimeoutMs: 1_000
}

/** Interval until an entry node has answered with its own. */
const FIRST_HEARTBEAT_INTERVAL_MS = 500

/** Announces itself under one incarnation and serves `POST /{service}`. */
export class StandInBackendServer {
  readonly #settings: BackendServerSettings
  readonly #clock: Clock
  readonly #server = new LoopbackServer(async (request, response) => { await this.#handle(request, response) })
  readonly #entries: EntryClient
  readonly #heartbeat = new Heartbeat(async () => { await this.#announce() }, () => this.#heartbeatIntervalMs)
  readonly #slots: Slots
  readonly #executions: ExecutionRecord[] = []
  #behaviour: BackendBehaviour = new ServeBehaviour()
  #incarnation = 0
  #sequence = 0
  #heartbeatIntervalMs = FIRST_HEARTBEAT_INTERVAL_MS
  #openRequests = 0
  readonly #unanswered = new Set<HttpExchange>()
  #isStopping = false
  #acceptedHeartbeats = 0
  #serviceMs: number

  /**
   * @example
   * const server = new StandInBackendServer({ backendServerId: 'b1', entries: ['http://127.0.0.1:8080'] })
   * await server.start()
   * server.executions // []
   * await server.stop()
   */
  constructor (settings: Partial<BackendServerSettings> = {}, clock: Clock = new SystemClock()) {
    this.#settings = { ...DEFAULT_SETTINGS, ...settings }
    this.#clock = clock
    this.#serviceMs = this.#settings.serviceMs
    this.#slots = new Slots(this.#settings.slots)
    this.#entries = new EntryClient(this.#settings.entries, this.#settings.heartbeatTimeoutMs)
  }

  /** Base URL that requests are sent to. */
  get address (): string {
    return this.#server.address
  }

  /** Every execution so far, in order of its end. */
  get executions (): readonly ExecutionRecord[] {
    return this.#executions
  }

  /** Heartbeats that an entry node accepted. */
  get acceptedHeartbeats (): number {
    return this.#acceptedHeartbeats
  }

  /** Requests received and not answered yet. */
  get openRequests (): number {
    return this.#openRequests
  }

  /** Requests that a behaviour left without an answer. */
  get unansweredRequests (): number {
    return this.#unanswered.size
  }

  /** Replaces the behaviour for requests that arrive from now on. */
  behave (behaviour: BackendBehaviour): void {
    this.#behaviour = behaviour
  }

  /** Replaces the service time of requests that name none. */
  setServiceMs (serviceMs: number): void {
    this.#serviceMs = serviceMs
  }

  /** Opens the port and announces the server. */
  async start (): Promise<void> {
    await this.#server.listen(this.#settings.port)
    this.#incarnation = this.#clock.wallMs()
    if (this.#settings.entries.length > 0) this.#heartbeat.start()
  }

  /**
   * Leaves gracefully: tells an entry node, finishes open requests, then closes the port. Requests that a behaviour
   * left without an answer, as a frozen server does, are cut, since nothing would ever end them.
   */
  async stop (): Promise<void> {
    await this.leave()
    this.#isStopping = true
    for (const exchange of this.#unanswered) exchange.cut()
    await this.#server.close()
    await this.#entries.close()
  }

  /** Ends the heartbeats and tells an entry node; the port stays open for requests under way. */
  async leave (): Promise<void> {
    await this.#heartbeat.stop()
    if (this.#settings.entries.length > 0) await this.#entries.send('DELETE', this.#path)
  }

  /** Ends at once, as a killed process does. */
  async kill (): Promise<void> {
    const stopped = this.#heartbeat.stop()
    await this.#entries.close()
    await this.#server.destroy()
    await stopped
  }

  get #path (): string {
    return `/v1/backend-servers/${this.#settings.backendServerId}`
  }

  async #announce (): Promise<void> {
    if (!this.#behaviour.isAnnounced) return
    const answer = await this.#entries.send('PUT', this.#path, this.#record())
    if (answer.kind !== 'answered' || answer.status >= 300) return
    this.#acceptedHeartbeats++
    const { heartbeatIntervalMs } = answer.body as { heartbeatIntervalMs?: number }
    this.#heartbeatIntervalMs = heartbeatIntervalMs ?? this.#heartbeatIntervalMs
  }

  #record (): Omit<BackendServerRecord, 'backendServerId' | 'state'> {
    const { region, availabilityZone, services, slots, connections } = this.#settings
    this.#sequence++
    return {
      incarnation: this.#incarnation,
      sequence: this.#sequence,
      address: this.address,
      region,
      availabilityZone,
      services,
      slots,
      connections
    }
  }

  async #handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', this.address)
    const service = url.pathname.slice(1)
    const body = await readBody(request)
    const exchange = new HttpExchange(response, body, async () => {
      await this.#execute(request, service, body, this.#requestedServiceMs(request, url))
    })
    if (request.method !== 'POST' || !this.#settings.services.includes(service)) {
      exchange.refuse(404, true)
      return
    }
    await this.#serve(exchange)
  }

  async #serve (exchange: HttpExchange): Promise<void> {
    if (this.#openRequests >= this.#settings.connections) {
      exchange.refuse(503, true)
      return
    }
    this.#openRequests++
    try {
      await this.#behaviour.handle(exchange)
    } finally {
      this.#openRequests--
    }
    if (exchange.isEnded) return
    if (this.#isStopping) exchange.cut()
    else this.#unanswered.add(exchange)
  }

  #requestedServiceMs (request: IncomingMessage, url: URL): number {
    const requested = request.headers['standin-service-ms'] ?? url.searchParams.get('serviceMs')
    return requested === null ? this.#serviceMs : Number(requested)
  }

  async #execute (request: IncomingMessage, service: string, body: Buffer, serviceMs: number): Promise<void> {
    await this.#slots.take()
    try {
      const startedMs = this.#clock.monotonicMs()
      if (serviceMs > 0) await delay(serviceMs)
      this.#executions.push({ ...requestLabels(request), service, body, startedMs, endedMs: this.#clock.monotonicMs() })
    } finally {
      this.#slots.release()
    }
  }
}

function requestLabels (request: IncomingMessage) {
  const header = (name: string): string => String(request.headers[name] ?? '')
  return {
    requestId: header('comfreygrade-request-id'),
    attempt: header('comfreygrade-attempt'),
    organisationId: header('comfreygrade-organisation'),
    idempotencyKey: header('idempotency-key')
  }
}

/** One request over HTTP. */
class HttpExchange implements BackendExchange {
  readonly #response: ServerResponse
  readonly #body: Buffer
  readonly #execute: () => Promise<void>

  constructor (response: ServerResponse, body: Buffer, execute: () => Promise<void>) {
    this.#response = response
    this.#body = body
    this.#execute = execute
  }

  /** Whether an answer was sent or the connection was lost. */
  get isEnded (): boolean {
    return this.#response.writableEnded || this.#response.destroyed
  }

  async execute (): Promise<void> {
    await this.#execute()
  }

  answer (): void {
    this.#response.writeHead(200, { 'content-type': this.#response.req.headers['content-type'] ?? 'text/plain' })
    this.#response.end(this.#body)
  }

  refuse (status: number, isNotRun: boolean): void {
    this.#response.writeHead(status, {
      'content-type': 'text/plain',
      ...(isNotRun ? { 'comfreygrade-not-run': 'true' } : {})
    })
    this.#response.end(isNotRun ? 'not run' : 'failed')
  }

  cut (): void {
    this.#response.req.socket.destroy()
  }
}
