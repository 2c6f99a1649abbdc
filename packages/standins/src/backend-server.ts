/** A stand-in for a user's backend server: registers itself, executes short requests and records each execution. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { BackendServerRecord, Clock } from '@comfreygrade/core'
import { pause } from '@comfreygrade/timers'
import { type BackendBehaviour, type BackendExchange, ServeBehaviour } from './backend-behaviour.js'
import { EntryClient } from './entry-client.js'
import { Heartbeat } from './heartbeat.js'
import { LoopbackServer, readBody } from './loopback-server.js'
import { SlotSemaphore } from './slots.js'
import { SystemClock } from './system-clock.js'

export interface BackendServerSettings {
  readonly backendServerId: string
  /** Base URLs of entry nodes; empty for a server that is only called directly. */
  readonly entryAddresses: readonly string[]
  readonly region: string
  readonly availabilityZone: string
  readonly services: readonly string[]
  /** Maximum number of concurrent executions; more requests wait. */
  readonly slots: number
  /** Maximum number of open requests, not of TCP connections; more requests are refused with 503. */
  readonly connections: number
  /** Service time of requests without the header `standin-service-ms` or the query parameter `serviceMs`. */
  readonly serviceMs: number
  /** 0 selects a free port. */
  readonly port: number
  readonly heartbeatTimeoutMs: number
}

/** One execution of a request. Times are in milliseconds on the process's monotonic clock. */
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
  entryAddresses: [],
  region: 'montevideo',
  availabilityZone: 'montevideo-a',
  services: ['charge'],
  slots: 8,
  connections: 60,
  serviceMs: 5,
  port: 0,
  heartbeatTimeoutMs: 1_000
}

/** Heartbeat interval until an entry node's response specifies one. */
const INITIAL_HEARTBEAT_INTERVAL_MS = 500

/** Registers itself under one incarnation and serves `POST /{service}`. */
export class StandInBackendServer {
  readonly #settings: BackendServerSettings
  readonly #clock: Clock
  readonly #server = new LoopbackServer(async (request, response) => { await this.#handleRequest(request, response) })
  readonly #entryClient: EntryClient
  readonly #heartbeat = new Heartbeat(async () => { await this.#sendHeartbeat() }, () => this.#heartbeatIntervalMs)
  readonly #slotSemaphore: SlotSemaphore
  readonly #executions: ExecutionRecord[] = []
  #behaviour: BackendBehaviour = new ServeBehaviour()
  #incarnation = 0
  #sequence = 0
  #heartbeatIntervalMs = INITIAL_HEARTBEAT_INTERVAL_MS
  #openRequests = 0
  readonly #unansweredExchanges = new Set<HttpExchange>()
  #isStopping = false
  #acceptedHeartbeats = 0
  #serviceMs: number

  /**
   * @example
   * const server = new StandInBackendServer({ backendServerId: 'b1', entryAddresses: ['http://127.0.0.1:8080'] })
   * await server.start()
   * server.executions // []
   * await server.stop()
   */
  constructor (settings: Partial<BackendServerSettings> = {}, clock: Clock = new SystemClock()) {
    this.#settings = { ...DEFAULT_SETTINGS, ...settings }
    this.#clock = clock
    this.#serviceMs = this.#settings.serviceMs
    this.#slotSemaphore = new SlotSemaphore(this.#settings.slots)
    this.#entryClient = new EntryClient(this.#settings.entryAddresses, this.#settings.heartbeatTimeoutMs)
  }

  /** Base URL that requests are sent to. */
  get address (): string {
    return this.#server.address
  }

  /** Every execution so far, in order of completion. */
  get executions (): readonly ExecutionRecord[] {
    return this.#executions
  }

  /** Number of heartbeats that an entry node accepted. */
  get acceptedHeartbeats (): number {
    return this.#acceptedHeartbeats
  }

  /** Number of requests that the behaviour is still handling. */
  get openRequests (): number {
    return this.#openRequests
  }

  /** Number of requests that a behaviour left without a response. */
  get unansweredRequests (): number {
    return this.#unansweredExchanges.size
  }

  /** Sets the behaviour for requests that arrive from now on. */
  setBehaviour (behaviour: BackendBehaviour): void {
    this.#behaviour = behaviour
  }

  /** Sets the service time of requests without the header `standin-service-ms` or the query parameter `serviceMs`. */
  setServiceMs (serviceMs: number): void {
    this.#serviceMs = serviceMs
  }

  /** Opens the port and starts the heartbeats, which register the server. */
  async start (): Promise<void> {
    await this.#server.listen(this.#settings.port)
    this.#incarnation = this.#clock.wallMs()
    if (this.#settings.entryAddresses.length > 0) this.#heartbeat.start()
  }

  /**
   * Shuts down gracefully: deregisters, finishes open requests, then closes the port. Connections of requests that a
   * behaviour left without a response, such as those of a frozen server, are closed, since nothing else would end them.
   */
  async stop (): Promise<void> {
    await this.deregister()
    this.#isStopping = true
    for (const exchange of this.#unansweredExchanges) exchange.closeConnection()
    await this.#server.close()
    await this.#entryClient.close()
  }

  /** Stops the heartbeats and deregisters at an entry node; the port stays open for requests in progress. */
  async deregister (): Promise<void> {
    await this.#heartbeat.stop()
    if (this.#settings.entryAddresses.length > 0) await this.#entryClient.send('DELETE', this.#registrationPath)
  }

  /** Closes the port and all connections without deregistering, like a killed process. */
  async kill (): Promise<void> {
    const heartbeatStopped = this.#heartbeat.stop()
    await this.#entryClient.close()
    await this.#server.destroy()
    await heartbeatStopped
  }

  get #registrationPath (): string {
    return `/v1/backend-servers/${this.#settings.backendServerId}`
  }

  async #sendHeartbeat (): Promise<void> {
    if (!this.#behaviour.sendsHeartbeats) return
    const response = await this.#entryClient.send('PUT', this.#registrationPath, this.#createHeartbeatBody())
    if (response.kind !== 'answered' || response.status >= 300) return
    this.#acceptedHeartbeats++
    const { heartbeatIntervalMs } = response.body as { heartbeatIntervalMs?: number }
    this.#heartbeatIntervalMs = heartbeatIntervalMs ?? this.#heartbeatIntervalMs
  }

  #createHeartbeatBody (): Omit<BackendServerRecord, 'backendServerId' | 'state'> {
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

  async #handleRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', this.address)
    const service = url.pathname.slice(1)
    const body = await readBody(request)
    const exchange = new HttpExchange(response, body, async () => {
      await this.#execute(request, service, body, this.#requestedServiceMs(request, url))
    })
    if (request.method !== 'POST' || !this.#settings.services.includes(service)) {
      exchange.respondWithError(404, true)
      return
    }
    await this.#serve(exchange)
  }

  async #serve (exchange: HttpExchange): Promise<void> {
    if (this.#openRequests >= this.#settings.connections) {
      exchange.respondWithError(503, true)
      return
    }
    this.#openRequests++
    try {
      await this.#behaviour.handle(exchange)
    } finally {
      this.#openRequests--
    }
    if (exchange.isEnded) return
    if (this.#isStopping) exchange.closeConnection()
    else this.#unansweredExchanges.add(exchange)
  }

  #requestedServiceMs (request: IncomingMessage, url: URL): number {
    const requestedMs = request.headers['standin-service-ms'] ?? url.searchParams.get('serviceMs')
    return requestedMs === null ? this.#serviceMs : Number(requestedMs)
  }

  async #execute (request: IncomingMessage, service: string, body: Buffer, serviceMs: number): Promise<void> {
    await this.#slotSemaphore.acquire()
    try {
      const startedMs = this.#clock.monotonicMs()
      if (serviceMs > 0) await pause(serviceMs)
      this.#executions.push({
        ...readRequestHeaders(request), service, body, startedMs, endedMs: this.#clock.monotonicMs()
      })
    } finally {
      this.#slotSemaphore.release()
    }
  }
}

function readRequestHeaders (request: IncomingMessage) {
  const header = (name: string): string => String(request.headers[name] ?? '')
  return {
    requestId: header('comfreygrade-request-id'),
    attempt: header('comfreygrade-attempt'),
    organisationId: header('comfreygrade-organisation'),
    idempotencyKey: header('idempotency-key')
  }
}

class HttpExchange implements BackendExchange {
  readonly #response: ServerResponse
  readonly #body: Buffer
  readonly #execute: () => Promise<void>

  constructor (response: ServerResponse, body: Buffer, execute: () => Promise<void>) {
    this.#response = response
    this.#body = body
    this.#execute = execute
  }

  /** Whether a response was sent or the connection was lost. */
  get isEnded (): boolean {
    return this.#response.writableEnded || this.#response.destroyed
  }

  async execute (): Promise<void> {
    await this.#execute()
  }

  respond (): void {
    this.#response.writeHead(200, { 'content-type': this.#response.req.headers['content-type'] ?? 'text/plain' })
    this.#response.end(this.#body)
  }

  respondWithError (status: number, isNotExecuted: boolean): void {
    this.#response.writeHead(status, {
      'content-type': 'text/plain',
      ...(isNotExecuted ? { 'comfreygrade-not-run': 'true' } : {})
    })
    this.#response.end(isNotExecuted ? 'not run' : 'failed')
  }

  closeConnection (): void {
    this.#response.req.socket.destroy()
  }
}
