/** HTTP front end: a moleculer broker without transporter, with `moleculer-web` as its gateway. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { ServiceBroker, type Context } from 'moleculer'
import ApiGateway, { type GatewayResponse, type IncomingRequest } from 'moleculer-web'
import getRawBody from 'raw-body'
import { errorBody, errorTable, failure, succeed, type Failure, type Metrics, type Result } from '@comfreygrade/core'
import type { Application } from './application.js'
import { EndpointMethods } from './http-endpoints.js'
import { backendServerSchema, checkInput, emptyQuerySchema, pathIdentifierSchema } from './http-schemas.js'
import { readRequest } from './http-requests.js'
import { controlRoutes, type ControlRoute, type RouteInput } from './http-routes.js'

/** Options of {@link HttpApi}. */
export interface HttpApiOptions {
  readonly application: Application
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

const requestPath = /^\/v1\/services\/([^/?]+)\/requests(?:\?(.*))?$/
/** More headers than this are refused before anything else is read. */
const MAX_HEADERS = 100
const MAX_JSON_BYTES = 8 * 1024 * 1024
const KEEP_ALIVE_TIMEOUT_MS = 65_000

const memberAliases = {
  'PUT /backend-servers/:id': 'members.announce',
  'DELETE /backend-servers/:id': 'members.leave',
  'GET /status': 'members.status',
  'GET /health': 'members.health'
}

const endpoints = new EndpointMethods([
  'POST /services/:service/requests', ...Object.keys(memberAliases), ...controlRoutes.map(route => route.alias)
])

/** Serves callers, backend servers, workers and operators. */
export class HttpApi {
  readonly #options: HttpApiOptions
  readonly #broker: ServiceBroker
  #server: Server | undefined

  constructor (options: HttpApiOptions) {
    this.#options = options
    this.#broker = new ServiceBroker({ nodeID: options.nodeId, logger: false, transporter: null })
    this.#broker.createService({ name: 'control', actions: this.#controlActions() })
    this.#broker.createService({ name: 'members', actions: this.#memberActions() })
    this.#broker.createService(this.#gateway())
  }

  /** Opens the port. */
  async start (): Promise<void> {
    await this.#broker.start()
  }

  /** Closes the port after open requests have ended. */
  async stop (): Promise<void> {
    this.#server?.closeIdleConnections()
    await this.#broker.stop()
  }

  #gateway () {
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
            aliases: { ...aliases, ...memberAliases }
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
    const { maxHeaderBytes, requestReceiveTimeoutMs } = this.#options
    const server = createServer({
      maxHeaderSize: maxHeaderBytes,
      requestTimeout: requestReceiveTimeoutMs,
      headersTimeout: requestReceiveTimeoutMs,
      connectionsCheckingInterval: Math.min(1_000, requestReceiveTimeoutMs),
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS
    }, (req, res) => {
      if (req.rawHeaders.length / 2 > MAX_HEADERS) {
        const detail = `${req.rawHeaders.length / 2} headers, at most ${MAX_HEADERS} are allowed`
        this.#sendFailure(res, failure('headers_too_large', detail))
        return
      }
      const [, service, query = ''] = requestPath.exec(req.url ?? '') ?? []
      // Short requests stay off the gateway, which costs more than the rest of their path.
      if (service !== undefined && req.method === 'POST') this.#execute(service, query, req, res)
      else handler(req, res)
    })
    // Bounded by `maxHeaderSize`; with a count limit Node.js would drop the rest without an error.
    server.maxHeadersCount = 0
    server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => { this.#sendClientError(error, socket) })
    this.#server = server
    return server
  }

  #controlActions () {
    return Object.fromEntries(controlRoutes.map(route => [
      route.action,
      async (ctx: Context<ActionParams, ActionMeta>) => await this.#askControl(route, ctx)
    ]))
  }

  async #askControl (route: ControlRoute, ctx: Context<ActionParams, ActionMeta>): Promise<unknown> {
    const input = inputOf(ctx.params)
    const query = route.hasQuery === true ? succeed({}) : checkInput(emptyQuerySchema, input.query, 'query')
    if (!query.ok) return this.#fail(ctx, query.failure)
    const operation = route.toOperation(input)
    if (!operation.ok) return this.#fail(ctx, operation.failure)
    const isCreation = await this.#isCreation(route, input)
    if (!isCreation.ok) return this.#fail(ctx, isCreation.failure)
    const result = await this.#options.application.ask(operation.value)
    if (!result.ok) return this.#fail(ctx, result.failure)
    const answer = route.toAnswer(result.value)
    ctx.meta.$statusCode = isCreation.value ? 201 : answer.status
    return answer.body
  }

  async #isCreation (route: ControlRoute, input: RouteInput): Promise<Result<boolean>> {
    if (route.toLookup === undefined) return succeed(false)
    const lookup = route.toLookup(input)
    if (lookup === undefined) return succeed(true)
    const found = await this.#options.application.ask(lookup)
    if (found.ok) return succeed(false)
    return found.failure.kind === 'not_found' ? succeed(true) : found
  }

  #memberActions () {
    const { application } = this.#options
    return {
      announce: (ctx: Context<ActionParams, ActionMeta>) => {
        const id = checkInput(pathIdentifierSchema, ctx.params.params.id, 'path.id')
        if (!id.ok) return this.#fail(ctx, id.failure)
        const body = checkInput(backendServerSchema, ctx.params.body, 'body')
        if (!body.ok) return this.#fail(ctx, body.failure)
        return application.announceBackendServer({ ...body.value, backendServerId: id.value })
      },
      leave: (ctx: Context<ActionParams, ActionMeta>) => {
        const id = checkInput(pathIdentifierSchema, ctx.params.params.id, 'path.id')
        if (!id.ok) return this.#fail(ctx, id.failure)
        const problem = application.leaveBackendServer(id.value)
        return problem === undefined ? { state: 'leaving' } : this.#fail(ctx, problem)
      },
      status: () => application.status(),
      health: (ctx: Context<ActionParams, ActionMeta>) => {
        const { state, hasConfigurationLease } = application.status()
        // A node that has just started has no lease yet, and would refuse what a balancer sends it.
        ctx.meta.$statusCode = state === 'serving' && hasConfigurationLease ? 200 : 503
        return { state, hasConfigurationLease }
      }
    }
  }

  async #execute (service: string, query: string, req: IncomingMessage, res: ServerResponse): Promise<void> {
    const { application } = this.#options
    if (query !== '') {
      this.#sendFailure(res, failure('unknown_field', `found the query ${query}, short requests have none`))
      return
    }
    const rules = application.admission()
    if (!rules.ok) { this.#sendFailure(res, rules.failure); return }
    const body = await this.#readBody(req)
    if (!Buffer.isBuffer(body)) { this.#sendFailure(res, body); return }
    if (body.length > rules.value.maxRequestBodyBytes) {
      const detail = `the body has ${body.length} bytes, at most ${rules.value.maxRequestBodyBytes} are allowed`
      this.#sendFailure(res, failure('body_too_large', detail))
      return
    }
    const spec = readRequest(service, req.headers, rules.value, application.nowMs())
    if (!spec.ok) { this.#sendFailure(res, spec.failure); return }
    const result = await application.execute(spec.value, body, cancel => {
      res.on('close', () => { if (!res.writableFinished) cancel() })
    })
    res.setHeader('comfreygrade-request-id', spec.value.requestId)
    // The router has counted what it refuses.
    if (!result.ok) { this.#writeFailure(res, result.failure); return }
    const { answer, attempts, claim } = result.value
    res.writeHead(answer.status, {
      'content-type': answer.contentType,
      'content-length': answer.body.length,
      'comfreygrade-attempts': attempts,
      'comfreygrade-claim': claim
    })
    res.end(answer.body)
  }

  async #readBody (req: IncomingMessage): Promise<Buffer | Failure> {
    const length = req.headers['content-length']
    return await getRawBody(req, { limit: this.#options.maxBodyBytes, length }).catch(gatewayFailure)
  }

  #fail (ctx: Context<ActionParams, ActionMeta>, cause: Failure): unknown {
    this.#count(cause)
    const body = errorBody(cause)
    ctx.meta.$statusCode = errorTable[cause.kind].httpStatus
    ctx.meta.$responseHeaders = retryHeaders(body.retryAfterMs)
    return body
  }

  #sendFailure (res: ServerResponse, cause: Failure, headers: Record<string, string> = {}): void {
    this.#count(cause)
    this.#writeFailure(res, cause, headers)
  }

  #writeFailure (res: ServerResponse, cause: Failure, headers: Record<string, string> = {}): void {
    if (res.headersSent || res.destroyed) return
    const body = errorBody(cause)
    const text = JSON.stringify(body)
    res.writeHead(errorTable[cause.kind].httpStatus, {
      'content-type': 'application/json; charset=utf-8',
      'content-length': Buffer.byteLength(text),
      ...retryHeaders(body.retryAfterMs),
      ...headers
    })
    res.end(text)
  }

  /** The gateway answers 404 for a wrong method too. */
  #sendGatewayError (req: IncomingRequest, res: GatewayResponse, error: Error): void {
    const cause = gatewayFailure(error)
    const methods = cause.kind === 'not_found' ? endpoints.methodsOf(req.originalUrl) : []
    if (methods.length === 0) {
      this.#sendFailure(res, cause)
      return
    }
    const allow = methods.join(', ')
    const detail = `found method ${req.method ?? ''}, allowed: ${allow}`
    this.#sendFailure(res, failure('method_not_allowed', detail), { allow })
  }

  /** Answers what never became a request: oversized or malformed headers, or a sender that is too slow. */
  #sendClientError (error: NodeJS.ErrnoException, socket: Socket): void {
    if (!socket.writable) { socket.destroy(); return }
    const cause = clientFailure(error)
    this.#count(cause)
    const text = JSON.stringify(errorBody(cause))
    const status = errorTable[cause.kind].httpStatus
    socket.end(`HTTP/1.1 ${status} ${cause.kind}\r\ncontent-type: application/json; charset=utf-8\r\n` +
      `content-length: ${Buffer.byteLength(text)}\r\nconnection: close\r\n\r\n${text}`)
  }

  #count (cause: Failure): void {
    this.#options.metrics.increment('refusal', { kind: cause.kind })
  }
}

function inputOf (params: ActionParams): RouteInput {
  return { params: params.params ?? {}, query: params.query ?? {}, body: params.body }
}

function retryHeaders (retryAfterMs: number): Record<string, string> {
  return retryAfterMs === 0 ? {} : { 'retry-after': String(Math.ceil(retryAfterMs / 1000)) }
}

function gatewayFailure (error: Error): Failure {
  const { code, type } = error as { code?: unknown, type?: unknown }
  if (type === 'entity.too.large' || code === 413) return failure('body_too_large', 'the body is above the limit')
  if (type === 'entity.parse.failed' || code === 400) return failure('invalid_request', 'the body is not valid JSON')
  if (type === 'request.aborted') return failure('request_timeout', 'the body was not sent completely')
  if (code === 404) return failure('not_found', 'no such endpoint')
  return failure('internal_error', 'the node could not handle the request')
}

function clientFailure (error: NodeJS.ErrnoException): Failure {
  if (error.code === 'HPE_HEADER_OVERFLOW') return failure('headers_too_large', 'the headers are above the limit')
  if (error.code === 'ERR_HTTP_REQUEST_TIMEOUT') return failure('request_timeout', 'the request was not sent in time')
  return failure('invalid_request', 'the request is not valid HTTP/1.1')
}
