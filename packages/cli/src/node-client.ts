/** Typed client of the node's HTTP API (docs/api.md). */
import type { ConfigurationChange, JobExplanation, JobPhase, JobSpec, Repeatability } from '@comfreygrade/core'
import type {
  ChangeAnswer, ClaimAnswer, ConfigurationAnswer, ConfigurationStatusAnswer, DrainAnswer, FleetAnswer, GuaranteeAnswer,
  JobAnswer, JobsAnswer, ShortRequestAnswer, StatusAnswer
} from './api-types.js'
import { ClientError } from './client-error.js'
import { findRefusal, type NodeAnswer, type NodeCall, NodeTransport } from './node-transport.js'

/** Filter of `GET /v1/jobs`. */
export interface JobFilter {
  readonly phase?: JobPhase
  readonly organisation?: string
  readonly limit?: number
}

/** A short request as a caller sends it. */
export interface ShortRequest {
  readonly service: string
  readonly organisationId: string
  readonly repeatability: Repeatability
  readonly body: Buffer
  readonly contentType?: string
  readonly deadlineMs?: number
  readonly requestId?: string
  readonly requestClass?: string
  /** A UUID of version 7; protects a non-repeatable request against the caller's own repeats. */
  readonly idempotencyKey?: string
}

/** A node answers at the deadline at the latest; a client that gave up before would repeat work that is under way. */
const DEADLINE_MARGIN_MS = 1_000

/** Calls nodes; every method throws a {@link ClientError} where it has no answer. */
export class NodeClient {
  readonly #transport: NodeTransport

  /**
   * @param nodes base URLs, tried in this order
   * @param timeoutMs time for one attempt at one node
   * @example
   * const client = new NodeClient(['http://127.0.0.1:8080'], 5_000)
   * const { version } = await client.configuration()
   */
  constructor (nodes: readonly string[], timeoutMs: number) {
    this.#transport = new NodeTransport(nodes, timeoutMs)
  }

  /** The configuration in force. */
  async configuration (): Promise<ConfigurationAnswer> {
    return await this.#get('/v1/configuration')
  }

  /** How far the configuration in force has spread. */
  async configurationStatus (): Promise<ConfigurationStatusAnswer> {
    return await this.#get('/v1/configuration/status')
  }

  /** Sends a change; the same change may be sent again and gets the same answer. */
  async applyChange (change: ConfigurationChange, isDryRun = false): Promise<ChangeAnswer> {
    return await this.#post(`/v1/configuration/changes${isDryRun ? '?dryRun=true' : ''}`, change)
  }

  /** Workers, backend servers, drains and totals. */
  async fleet (): Promise<FleetAnswer> {
    return await this.#get('/v1/fleet')
  }

  /** Waiting jobs in the order in which they began to wait. */
  async queue (): Promise<JobsAnswer> {
    return await this.#get('/v1/queue')
  }

  /** What every guarantee holds and lends. */
  async guarantees (): Promise<readonly GuaranteeAnswer[]> {
    const { guarantees } = await this.#get<{ guarantees: readonly GuaranteeAnswer[] }>('/v1/guarantees')
    return guarantees
  }

  /** Jobs in order of submission, the first ones where a limit applies. */
  async jobs (filter: JobFilter = {}): Promise<JobsAnswer> {
    const query = new URLSearchParams()
    for (const [name, value] of Object.entries(filter)) {
      if (value !== undefined) query.set(name, String(value))
    }
    return await this.#get(query.size === 0 ? '/v1/jobs' : `/v1/jobs?${query.toString()}`)
  }

  /** Submits a gang job; its job ID keeps a repeated submission from creating a second job. */
  async submitJob (job: JobSpec): Promise<JobAnswer> {
    return await this.#post('/v1/jobs', job)
  }

  /** One job. */
  async job (jobId: string): Promise<JobAnswer> {
    return await this.#get(`/v1/jobs/${encodeURIComponent(jobId)}`)
  }

  /** Cancels a job; a job that has ended stays as it is. */
  async cancelJob (jobId: string): Promise<JobAnswer> {
    return await this.#json({ method: 'DELETE', path: `/v1/jobs/${encodeURIComponent(jobId)}`, isSafeToRepeat: true })
  }

  /** Why a job waits, or how it was placed or refused. */
  async explainJob (jobId: string): Promise<JobExplanation> {
    return await this.#get(`/v1/jobs/${encodeURIComponent(jobId)}/explanation`)
  }

  /** Starts a drain. */
  async drain (drain: DrainAnswer): Promise<void> {
    await this.#post('/v1/drains', drain)
  }

  /** Ends a drain. */
  async undrain ({ kind, id }: DrainAnswer): Promise<void> {
    await this.#json({ method: 'DELETE', path: `/v1/drains/${kind}/${encodeURIComponent(id)}`, isSafeToRepeat: true })
  }

  /** Status of the node that answers. */
  async status (): Promise<StatusAnswer> {
    return await this.#get('/v1/status')
  }

  /** Outcome of a non-repeatable request with a key. */
  async claim (organisationId: string, key: string): Promise<ClaimAnswer> {
    return await this.#get(`/v1/claims/${encodeURIComponent(organisationId)}/${encodeURIComponent(key)}`)
  }

  /** Sends a short request. A non-repeatable one without a key is sent to one node, once. */
  async sendRequest (request: ShortRequest): Promise<ShortRequestAnswer> {
    const isSafeToRepeat = request.repeatability === 'idempotent' || request.idempotencyKey !== undefined
    const answer = await this.#transport.call({
      method: 'POST',
      path: `/v1/services/${encodeURIComponent(request.service)}/requests`,
      headers: shortRequestHeaders(request),
      body: request.body,
      isSafeToRepeat,
      timeoutMs: request.deadlineMs === undefined ? undefined : request.deadlineMs + DEADLINE_MARGIN_MS
    })
    const refusal = findRefusal(answer)
    if (refusal !== undefined) throw new ClientError(refusal)
    return toShortRequestAnswer(answer)
  }

  /** Closes the connections. */
  async close (): Promise<void> {
    await this.#transport.close()
  }

  async #get<T> (path: string): Promise<T> {
    return await this.#json({ method: 'GET', path, isSafeToRepeat: true })
  }

  /** Every JSON body sent here names its own identity (version, job ID, drained part), so a repeat changes nothing. */
  async #post<T> (path: string, value: unknown): Promise<T> {
    const headers = { 'content-type': 'application/json' }
    return await this.#json({ method: 'POST', path, headers, body: JSON.stringify(value), isSafeToRepeat: true })
  }

  async #json<T> (call: NodeCall): Promise<T> {
    const answer = await this.#transport.call(call)
    const refusal = findRefusal(answer)
    if (refusal !== undefined) throw new ClientError(refusal)
    const text = answer.body.toString('utf8')
    const value = parseJson(text)
    if (answer.status >= 300 || value === undefined) {
      throw new ClientError({ kind: 'unexpected', status: answer.status, detail: text.slice(0, 200) })
    }
    return value as T
  }
}

/** An empty body, as of status 204, counts as an empty object. */
function parseJson (text: string): unknown {
  try {
    return text === '' ? {} : JSON.parse(text)
  } catch {
    return undefined
  }
}

function shortRequestHeaders (request: ShortRequest): Record<string, string> {
  const optional = {
    'comfreygrade-deadline-ms': request.deadlineMs,
    'comfreygrade-request-id': request.requestId,
    'comfreygrade-request-class': request.requestClass,
    'idempotency-key': request.idempotencyKey
  }
  const headers: Record<string, string> = {
    'content-type': request.contentType ?? 'application/octet-stream',
    'comfreygrade-organisation': request.organisationId,
    'comfreygrade-repeatable': request.repeatability
  }
  for (const [name, value] of Object.entries(optional)) {
    if (value !== undefined) headers[name] = String(value)
  }
  return headers
}

function toShortRequestAnswer ({ status, headers, body }: NodeAnswer): ShortRequestAnswer {
  return {
    status,
    contentType: headers['content-type'] ?? '',
    body,
    requestId: headers['comfreygrade-request-id'] ?? '',
    attempts: Number(headers['comfreygrade-attempts'] ?? 0),
    claim: headers['comfreygrade-claim'] ?? ''
  }
}
