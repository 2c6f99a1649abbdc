/** Typed client of the node's HTTP API (docs/api.md). */
import type { ConfigurationChange, JobExplanation, JobPhase, JobSpec, Repeatability } from '@comfreygrade/core'
import type {
  ChangeResponse, ClaimResponse, ConfigurationResponse, ConfigurationStatusResponse, Drain, EvacuationListResponse,
  FleetResponse, GuaranteeSummary, JobResponse, JobListResponse, ShortRequestResponse, StatusResponse
} from './api-types.js'
import { ClientError } from './client-error.js'
import { findRefusal, type NodeCall, type NodeResponse, NodeTransport } from './node-transport.js'

/** Filter of `GET /v1/jobs`. */
export interface JobFilter {
  readonly phase?: JobPhase
  readonly organisation?: string
  readonly limit?: number
}

/** A short request to a service. */
export interface ShortRequest {
  readonly service: string
  readonly organisationId: string
  readonly repeatability: Repeatability
  readonly body: Buffer
  readonly contentType?: string
  readonly deadlineMs?: number
  readonly requestId?: string
  readonly requestClass?: string
  /** A UUID of version 7; with it, retries of a non-repeatable request execute it at most once. */
  readonly idempotencyKey?: string
}

/**
 * Margin of the client's timeout over the deadline that a request sets. A node responds by the deadline at the latest;
 * a client that timed out earlier would repeat a request that is still being executed.
 */
const DEADLINE_MARGIN_MS = 1_000

/** Calls the API; every method throws a {@link ClientError} when the call fails. */
export class NodeClient {
  readonly #transport: NodeTransport

  /**
   * @param nodeUrls base URLs of nodes, tried in this order
   * @param timeoutMs timeout of one attempt at one node
   * @example
   * const client = new NodeClient(['http://127.0.0.1:8080'], 5_000)
   * const { version } = await client.configuration()
   */
  constructor (nodeUrls: readonly string[], timeoutMs: number) {
    this.#transport = new NodeTransport(nodeUrls, timeoutMs)
  }

  /** Returns the configuration in force. */
  async configuration (): Promise<ConfigurationResponse> {
    return await this.#getJson('/v1/configuration')
  }

  /** Returns which nodes have acknowledged the configuration in force. */
  async configurationStatus (): Promise<ConfigurationStatusResponse> {
    return await this.#getJson('/v1/configuration/status')
  }

  /** Applies a change, or only checks it in a dry run. A repeated identical change gets the same response. */
  async applyChange (change: ConfigurationChange, isDryRun = false): Promise<ChangeResponse> {
    return await this.#postJson(`/v1/configuration/changes${isDryRun ? '?dryRun=true' : ''}`, change)
  }

  /** Returns workers, backend servers, drains and totals. */
  async fleet (): Promise<FleetResponse> {
    return await this.#getJson('/v1/fleet')
  }

  /** Returns the waiting jobs in the order in which they were queued. */
  async queue (): Promise<JobListResponse> {
    return await this.#getJson('/v1/queue')
  }

  /** Returns the usage of every guarantee. */
  async guarantees (): Promise<readonly GuaranteeSummary[]> {
    const { guarantees } = await this.#getJson<{ guarantees: readonly GuaranteeSummary[] }>('/v1/guarantees')
    return guarantees
  }

  /** Returns jobs in order of submission; a limit keeps the first ones. */
  async jobs (filter: JobFilter = {}): Promise<JobListResponse> {
    const query = new URLSearchParams()
    for (const [name, value] of Object.entries(filter)) {
      if (value !== undefined) query.set(name, String(value))
    }
    return await this.#getJson(query.size === 0 ? '/v1/jobs' : `/v1/jobs?${query.toString()}`)
  }

  /** Submits a gang job. A repeated submission with the same job ID does not create a second job. */
  async submitJob (job: JobSpec): Promise<JobResponse> {
    return await this.#postJson('/v1/jobs', job)
  }

  async job (jobId: string): Promise<JobResponse> {
    return await this.#getJson(`/v1/jobs/${encodeURIComponent(jobId)}`)
  }

  /** Cancels a job; has no effect on a job that has ended. */
  async cancelJob (jobId: string): Promise<JobResponse> {
    return await this.#callJson({ method: 'DELETE', path: `/v1/jobs/${encodeURIComponent(jobId)}`, isIdempotent: true })
  }

  /** Returns why a job waits, or how it was placed or refused. */
  async explainJob (jobId: string): Promise<JobExplanation> {
    return await this.#getJson(`/v1/jobs/${encodeURIComponent(jobId)}/explanation`)
  }

  /** Stops giving new work to a VM, worker or backend server. */
  async drain (drain: Drain): Promise<void> {
    await this.#postJson('/v1/drains', drain)
  }

  /** Gives new work again to a drained VM, worker or backend server. */
  async undrain ({ kind, id }: Drain): Promise<void> {
    await this.#callJson({ method: 'DELETE', path: `/v1/drains/${kind}/${encodeURIComponent(id)}`, isIdempotent: true })
  }

  /** Returns the evacuations; served on the metrics address of the batch scheduler. */
  async evacuations (): Promise<EvacuationListResponse> {
    return await this.#getJson('/evacuations')
  }

  /** Returns the status of the node that responds. */
  async status (): Promise<StatusResponse> {
    return await this.#getJson('/v1/status')
  }

  /** Returns the outcome of a non-repeatable request by its idempotency key. */
  async claim (organisationId: string, key: string): Promise<ClaimResponse> {
    return await this.#getJson(`/v1/claims/${encodeURIComponent(organisationId)}/${encodeURIComponent(key)}`)
  }

  /** Sends a short request. A non-repeatable request without an idempotency key is sent only once, to one node. */
  async sendRequest (request: ShortRequest): Promise<ShortRequestResponse> {
    const isIdempotent = request.repeatability === 'idempotent' || request.idempotencyKey !== undefined
    const response = await this.#transport.send({
      method: 'POST',
      path: `/v1/services/${encodeURIComponent(request.service)}/requests`,
      headers: toRequestHeaders(request),
      body: request.body,
      isIdempotent,
      timeoutMs: request.deadlineMs === undefined ? undefined : request.deadlineMs + DEADLINE_MARGIN_MS
    })
    const refusal = findRefusal(response)
    if (refusal !== undefined) throw new ClientError(refusal)
    return toShortRequestResponse(response)
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.#transport.close()
  }

  async #getJson<T> (path: string): Promise<T> {
    return await this.#callJson({ method: 'GET', path, isIdempotent: true })
  }

  /** Every JSON body sent here identifies its target (version, job ID, drained resource), so a retry has no effect. */
  async #postJson<T> (path: string, value: unknown): Promise<T> {
    const headers = { 'content-type': 'application/json' }
    return await this.#callJson({ method: 'POST', path, headers, body: JSON.stringify(value), isIdempotent: true })
  }

  async #callJson<T> (call: NodeCall): Promise<T> {
    const response = await this.#transport.send(call)
    const refusal = findRefusal(response)
    if (refusal !== undefined) throw new ClientError(refusal)
    const text = response.body.toString('utf8')
    const value = parseJson(text)
    if (response.status >= 300 || value === undefined) {
      throw new ClientError({ kind: 'unexpected', status: response.status, detail: text.slice(0, 200) })
    }
    return value as T
  }
}

/** Parses a JSON body; an empty body, as with status 204, gives an empty object, invalid JSON gives undefined. */
function parseJson (text: string): unknown {
  try {
    return text === '' ? {} : JSON.parse(text)
  } catch {
    return undefined
  }
}

function toRequestHeaders (request: ShortRequest): Record<string, string> {
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

function toShortRequestResponse ({ status, headers, body }: NodeResponse): ShortRequestResponse {
  return {
    status,
    contentType: headers['content-type'] ?? '',
    body,
    requestId: headers['comfreygrade-request-id'] ?? '',
    attempts: Number(headers['comfreygrade-attempts'] ?? 0),
    claim: headers['comfreygrade-claim'] ?? ''
  }
}
