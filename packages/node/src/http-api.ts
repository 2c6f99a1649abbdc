/** HTTP front end: a local moleculer broker with `moleculer-web` as its gateway. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { gunzipSync, inflateSync } from 'node:zlib'
import { ServiceBroker, type Context } from 'moleculer'
import ApiGateway, { type GatewayResponse, type IncomingRequest } from 'moleculer-web'
import {
  errorBody, errorTable, fail, failure, succeed, type Failure, type Metrics, type Result, type Rules
} from '@comfreygrade/core'
import type { Application } from './application.js'
import type { ClientGuard, GuardedRequest } from './client-guard.js'
import { EndpointMethods } from './endpoint-methods.js'
import { backendServerSchema, checkInput, emptyQuerySchema, identifierSchema } from './http-schemas.js'
import { readShortRequest } from './short-request-headers.js'
import { controlRoutes, type ControlRoute, type RouteInput } from './http-routes.js'

/** An admitted request and its response. */
interface Exchange {
  readonly req: IncomingMessage
  readonly res: ServerResponse
  readonly guarded: GuardedRequest
}

/** Options of {@link HttpApi}. */
export interface HttpApiOptions {
  readonly application: Application
  readonly guard: ClientGuard
  readonly metrics: Metrics
  readonly nodeId: string
  readonly host: string
  readonly port: number
  readonly maxBodyBytes: number
  readonly maxHeaderBytes: number
  readonly requestReceiveTimeoutMs: number
}

interface ActionParams {
  readonly params: Record<string, string>
  readonly query: Record<string, unknown>
  readonly body: unknown
}

interface ActionMeta {
  $statusCode?: number
  $responseHeaders?: Record<string, string>
}

const SHORT_REQUEST_PATH = /^\/v1\/services\/([^/?]+)\/requests(?:\?(.*))?$/
/** Requests with more headers are refused before anything else is read. */
const MAX_HEADERS = 100
const MAX_JSON_BYTES = 8 * 1024 * 1024
const KEEP_ALIVE_TIMEOUT_MS = 65_000

/**
 * Endpoints that this node answers itself, from the backend servers that it knows and its own status. Those of
 * `controlRoutes` are executed by the control leader. `members` is the Moleculer service of these endpoints.
 */
const nodeAliases = {
  'PUT /backend-servers/:id': 'members.announce',
  'DELETE /backend-servers/:id': 'members.leave',
  'GET /status': 'members.status',
  'GET /health': 'members.health'
}

const endpoints = new EndpointMethods([
  'POST /services/:service/requests', ...Object.keys(nodeAliases), ...controlRoutes.map(route => route.alias)
])

/** HTTP server for callers, backend servers, workers and operators. */
export class HttpApi {
  readonly #options: HttpApiOptions
  readonly #broker: ServiceBroker
  #server: Server | undefined

  constructor (options: HttpApiOptions) {
    this.#options = options
    this.#broker = new ServiceBroker({ nodeID: options.nodeId, logger: false, transporter: null })
    this.#broker.createService({ name: 'control', actions: this.#createControlActions() })
    this.#broker.createService({ name: 'members', actions: this.#createNodeActions() })
    this.#broker.createService(this.#createGatewaySchema())
  }

  /** Starts to listen. */
  async start (): Promise<void> {
    await this.#broker.start()
  }

  /** Stops listening and waits, without a limit, for open requests to complete. */
  async stop (): Promise<void> {
    this.#server?.closeIdleConnections()
    await this.#broker.stop()
  }

  #createGatewaySchema () {
    const { host, port } = this.#options
    const aliases = Object.fromEntries(controlRoutes.map(route => [route.alias, `control.${route.action}`]))
    // The gateway calls its methods with the service as `this`.
    const startServer = (handler: (req: IncomingMessage, res: ServerResponse) => void) => this.#createServer(handler)
    return {
      name: 'gateway',
      mixins: [ApiGateway],
      settings: {
        ip: host,
        port,
        logRequest: null,
        logResponse: null,
        logRouteRegistration: null,
        requestTimeout: this.#options.requestReceiveTimeoutMs,
        onError: (req: IncomingRequest, res: GatewayResponse, error: Error) => {
          this.#sendGatewayError(req, res, error)
        },
        routes: [
          {
            path: '/v1',
            mergeParams: false,
            bodyParsers: { json: { type: () => true, limit: MAX_JSON_BYTES, strict: true } },
            aliases: { ...aliases, ...nodeAliases }
          }
        ]
      },
      methods: {
        createServer (this: { server: Server, httpHandler: (req: IncomingMessage, res: ServerResponse) => void }) {
          this.server = startServer(this.httpHandler)
        }
      }
    }
  }

  #createServer (handler: (req: IncomingMessage, res: ServerResponse) => void): Server {
    const { guard, maxHeaderBytes, maxBodyBytes, requestReceiveTimeoutMs } = this.#options
    const server = createServer({
      maxHeaderSize: maxHeaderBytes,
      requestTimeout: requestReceiveTimeoutMs,
      headersTimeout: requestReceiveTimeoutMs,
      connectionsCheckingInterval: Math.min(1_000, requestReceiveTimeoutMs),
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS
    }, (req, res) => { this.#receive(handler, req, res) })
    // With a count limit Node.js would silently drop the remaining headers; their size is limited by `maxHeaderSize`.
    server.maxHeadersCount = 0
    server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => { this.#sendClientError(error, socket) })
    guard.protect(server, 'client', {
      maxHeaderBytes,
      maxBodyBytes,
      headerTimeoutMs: requestReceiveTimeoutMs,
      bodyTimeoutMs: requestReceiveTimeoutMs,
      idleTimeoutMs: KEEP_ALIVE_TIMEOUT_MS
    })
    this.#server = server
    return server
  }

  #createControlActions () {
    return Object.fromEntries(controlRoutes.map(route => [
      route.action,
      async (ctx: Context<ActionParams, ActionMeta>) => await this.#executeControlRoute(route, ctx)
    ]))
  }

  async #executeControlRoute (route: ControlRoute, ctx: Context<ActionParams, ActionMeta>): Promise<unknown> {
    const input = toRouteInput(ctx.params)
    const query = route.hasQuery === true ? succeed({}) : checkInput(emptyQuerySchema, input.query, 'query')
    if (!query.ok) return this.#fail(ctx, query.failure)
    const operation = route.toOperation(input)
    if (!operation.ok) return this.#fail(ctx, operation.failure)
    const isCreation = await this.#isCreation(route, input)
    if (!isCreation.ok) return this.#fail(ctx, isCreation.failure)
    const result = await this.#options.application.executeOperation(operation.value)
    if (!result.ok) return this.#fail(ctx, result.failure)
    const answer = route.toAnswer(result.value)
    ctx.meta.$statusCode = isCreation.value ? 201 : answer.status
    return answer.body
  }

  /** Best effort: lookup and operation are separate steps, so two concurrent submissions of a job may both get 201. */
  async #isCreation (route: ControlRoute, input: RouteInput): Promise<Result<boolean>> {
    if (route.toLookup === undefined) return succeed(false)
    const lookup = route.toLookup(input)
    if (lookup === undefined) return succeed(true)
    const found = await this.#options.application.executeOperation(lookup)
    if (found.ok) return succeed(false)
    return found.failure.kind === 'not_found' ? succeed(true) : found
  }

  #createNodeActions () {
    const { application } = this.#options
    return {
      announce: (ctx: Context<ActionParams, ActionMeta>) => {
        const id = checkInput(identifierSchema, ctx.params.params.id, 'path.id')
        if (!id.ok) return this.#fail(ctx, id.failure)
        const body = checkInput(backendServerSchema, ctx.params.body, 'body')
        if (!body.ok) return this.#fail(ctx, body.failure)
        return application.announceBackendServer({ ...body.value, backendServerId: id.value })
      },
      leave: (ctx: Context<ActionParams, ActionMeta>) => {
        const id = checkInput(identifierSchema, ctx.params.params.id, 'path.id')
        if (!id.ok) return this.#fail(ctx, id.failure)
        const problem = application.deregisterBackendServer(id.value)
        return problem === undefined ? { state: 'leaving' } : this.#fail(ctx, problem)
      },
      status: () => application.status(),
      health: (ctx: Context<ActionParams, ActionMeta>) => {
        const { state, hasConfigurationLease } = application.status()
        // A node that has just started has no lease yet and would refuse requests from a load balancer.
        ctx.meta.$statusCode = state === 'serving' && hasConfigurationLease ? 200 : 503
        return { state, hasConfigurationLease }
      }
    }
  }

  #receive (
    handler: (req: IncomingMessage, res: ServerResponse) => void, req: IncomingMessage, res: ServerResponse
  ): void {
    const guarded = this.#options.guard.admitRequest(req, res)
    if (guarded === undefined) return
    const exchange = { req, res, guarded }
    req.on('error', () => {})
    if (req.rawHeaders.length / 2 > MAX_HEADERS) {
      const detail = `found ${req.rawHeaders.length / 2} headers, at most ${MAX_HEADERS} are allowed`
      this.#sendFailure(res, failure('headers_too_large', detail))
      return
    }
    const [, service, query = ''] = SHORT_REQUEST_PATH.exec(req.url ?? '') ?? []
    // Short requests bypass the gateway, whose overhead per request exceeds all their other handling.
    if (service !== undefined && req.method === 'POST') this.#executeShortRequest(service, query, exchange)
    else this.#passToGateway(handler, exchange)
  }

  #executeShortRequest (service: string, query: string, exchange: Exchange): void {
    const { application, maxBodyBytes } = this.#options
    const { res } = exchange
    if (query !== '') {
      this.#sendFailure(res, failure('unknown_field', `found query ${query}, short requests take no query parameters`))
      return
    }
    const rules = application.checkAdmission()
    if (!rules.ok) { this.#sendFailure(res, rules.failure); return }
    this.#readBody(exchange, maxBodyBytes, body => {
      this.#executeWithBody(service, body, rules.value, exchange)
    })
  }

  async #executeWithBody (
    service: string, body: Buffer, rules: Rules, { req, res, guarded }: Exchange
  ): Promise<void> {
    const { application } = this.#options
    if (body.length > rules.maxRequestBodyBytes) {
      const detail = `the body has ${body.length} bytes, at most ${rules.maxRequestBodyBytes} are allowed`
      this.#sendFailure(res, failure('body_too_large', detail))
      return
    }
    const spec = readShortRequest(service, req.headers, rules, application.nowMs())
    if (!spec.ok) { this.#sendFailure(res, spec.failure); return }
    const result = await application.executeRequest(spec.value, body, cancel => {
      res.on('close', () => { if (!res.writableFinished) cancel() })
    })
    res.setHeader('comfreygrade-request-id', spec.value.requestId)
    // The router has already counted its refusals.
    if (!result.ok) { this.#writeFailure(res, result.failure); return }
    const { answer, attempts, claim } = result.value
    res.writeHead(answer.status, {
      'content-type': answer.contentType,
      'content-length': answer.body.length,
      'comfreygrade-attempts': attempts,
      'comfreygrade-claim': claim
    })
    guarded.beginAnswer(answer.body.length)
    res.end(answer.body)
  }

  /** The gateway would keep each chunk of a body; it gets the body whole, in the property that its parser fills. */
  #passToGateway (handler: (req: IncomingMessage, res: ServerResponse) => void, exchange: Exchange): void {
    const { req, res } = exchange
    this.#readBody(exchange, MAX_JSON_BYTES, body => {
      const json = parseJsonBody(body, req.headers['content-encoding'])
      if (!json.ok) return this.#sendFailure(res, json.failure)
      handler(Object.assign(req, { _body: true, body: json.value }), res)
    })
  }

  #readBody ({ res, guarded }: Exchange, maxBytes: number, onBody: (body: Buffer) => void): void {
    guarded.readBody(maxBytes, { onBody, onRefused: cause => { this.#sendRefusal(res, guarded, cause) } })
  }

  /** Answers a request whose body was not read to its end, and closes its connection. */
  #sendRefusal (res: ServerResponse, guarded: GuardedRequest, cause: Failure): void {
    this.#countRefusal(cause)
    if (res.headersSent || res.destroyed) return
    res.write(this.#writeFailureHead(res, cause, { connection: 'close' }))
    guarded.endRefusal()
  }

  #fail (ctx: Context<ActionParams, ActionMeta>, cause: Failure): unknown {
    this.#countRefusal(cause)
    const body = errorBody(cause)
    ctx.meta.$statusCode = errorTable[cause.kind].httpStatus
    ctx.meta.$responseHeaders = retryHeaders(body.retryAfterMs)
    return body
  }

  #sendFailure (res: ServerResponse, cause: Failure, headers: Record<string, string> = {}): void {
    this.#countRefusal(cause)
    this.#writeFailure(res, cause, headers)
  }

  #writeFailure (res: ServerResponse, cause: Failure, headers: Record<string, string> = {}): void {
    if (res.headersSent || res.destroyed) return
    res.end(this.#writeFailureHead(res, cause, headers))
  }

  /** Returns the body. */
  #writeFailureHead (res: ServerResponse, cause: Failure, headers: Record<string, string>): string {
    const body = errorBody(cause)
    const text = JSON.stringify(body)
    res.writeHead(errorTable[cause.kind].httpStatus, {
      'content-type': 'application/json; charset=utf-8',
      'content-length': Buffer.byteLength(text),
      ...retryHeaders(body.retryAfterMs),
      ...headers
    })
    return text
  }

  /** Answers 405 where the path exists but not for this method, as the gateway reports 404 for both cases. */
  #sendGatewayError (req: IncomingRequest, res: GatewayResponse, error: Error): void {
    const cause = toRequestFailure(error)
    const methods = cause.kind === 'not_found' ? endpoints.methodsOf(req.originalUrl) : []
    if (methods.length === 0) {
      this.#sendFailure(res, cause)
      return
    }
    const allow = methods.join(', ')
    const detail = `found method ${req.method ?? ''}, allowed: ${allow}`
    this.#sendFailure(res, failure('method_not_allowed', detail), { allow })
  }

  /** Answers a connection whose request could not be parsed: oversized or malformed headers, or a slow sender. */
  #sendClientError (error: NodeJS.ErrnoException, socket: Socket): void {
    this.#options.guard.recordClientError(error)
    if (!socket.writable) { socket.destroy(); return }
    const cause = toParseFailure(error)
    this.#countRefusal(cause)
    const text = JSON.stringify(errorBody(cause))
    const status = errorTable[cause.kind].httpStatus
    socket.end(`HTTP/1.1 ${status} ${cause.kind}\r\ncontent-type: application/json; charset=utf-8\r\n` +
      `content-length: ${Buffer.byteLength(text)}\r\nconnection: close\r\n\r\n${text}`)
  }

  #countRefusal (cause: Failure): void {
    this.#options.metrics.increment('refusal', { kind: cause.kind })
  }
}

/** A request without a body has an empty object; the JSON must be an object or a list. */
function parseJsonBody (body: Buffer, encoding = 'identity'): Result<unknown> {
  if (body.length === 0) return succeed({})
  try {
    const json: unknown = JSON.parse(decompress(body, encoding.toLowerCase()).toString('utf8'))
    if (typeof json === 'object' && json !== null) return succeed(json)
  } catch (error) {
    const isTooLarge = (error as NodeJS.ErrnoException).code === 'ERR_BUFFER_TOO_LARGE'
    if (isTooLarge) return fail('body_too_large', 'the body exceeds the size limit')
  }
  return fail('invalid_request', 'the body is not valid JSON')
}

function decompress (body: Buffer, encoding: string): Buffer {
  switch (encoding) {
    case 'gzip': return gunzipSync(body, { maxOutputLength: MAX_JSON_BYTES })
    case 'deflate': return inflateSync(body, { maxOutputLength: MAX_JSON_BYTES })
    default: return body
  }
}

function toRouteInput (params: ActionParams): RouteInput {
  return { params: params.params ?? {}, query: params.query ?? {}, body: params.body }
}

function retryHeaders (retryAfterMs: number): Record<string, string> {
  return retryAfterMs === 0 ? {} : { 'retry-after': String(Math.ceil(retryAfterMs / 1000)) }
}

function toRequestFailure (error: Error): Failure {
  const { code, type } = error as { code?: unknown, type?: unknown }
  if (type === 'entity.too.large' || code === 413) return failure('body_too_large', 'the body exceeds the size limit')
  if (type === 'entity.parse.failed' || code === 400) return failure('invalid_request', 'the body is not valid JSON')
  if (type === 'request.aborted') return failure('request_timeout', 'the connection was closed before the whole body was received')
  if (code === 404) return failure('not_found', 'no such endpoint')
  return failure('internal_error', 'the request failed with an internal error')
}

function toParseFailure (error: NodeJS.ErrnoException): Failure {
  if (error.code === 'HPE_HEADER_OVERFLOW') return failure('headers_too_large', 'the headers exceed the size limit')
  if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') return failure('request_timeout', 'the request was not received in time')
  return failure('invalid_request', 'the request is not valid HTTP/1.1')
}
