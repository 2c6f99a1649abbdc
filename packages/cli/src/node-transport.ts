/** Sends HTTP requests to a list of nodes, with failover. */
import { timeoutSignal } from '@comfreygrade/timers'
import { Agent, type Dispatcher, request } from 'undici'
import { ClientError, type ClientProblem, parseErrorBody } from './client-error.js'

/** An HTTP request to any of the nodes. */
export interface NodeCall {
  readonly method: 'GET' | 'POST' | 'DELETE'
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string | Buffer
  /** Whether executing the call a second time has no further effect, so that it can be retried. */
  readonly isIdempotent: boolean
  /** Timeout of one attempt; defaults to that of the transport. */
  readonly timeoutMs?: number
}

/** A complete HTTP response of a node. */
export interface NodeResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer
}

type AttemptResult =
  | { readonly kind: 'answered', readonly response: NodeResponse }
  | { readonly kind: 'failed', readonly problem: ClientProblem & { kind: 'unreachable' } }

/** Error codes that occur only before any byte of a request is sent. */
const NOT_SENT_ERROR_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT', 'ENOTFOUND'])

/**
 * Tries the nodes in the given order until one responds; a call that is not idempotent goes to the first node only.
 *
 * @example
 * const transport = new NodeTransport(['http://127.0.0.1:8080'], 5_000)
 * await transport.send({ method: 'GET', path: '/v1/status', isIdempotent: true })
 */
export class NodeTransport {
  readonly #nodeUrls: readonly string[]
  readonly #timeoutMs: number
  readonly #agent: Agent

  constructor (nodeUrls: readonly string[], timeoutMs: number) {
    this.#nodeUrls = nodeUrls.map(url => url.replace(/\/+$/, ''))
    this.#timeoutMs = timeoutMs
    this.#agent = new Agent({ connect: { timeout: timeoutMs } })
  }

  /**
   * Returns the first complete response that does not advise an immediate retry; failing that, the last refusal, unless
   * an attempt at another node may have been executed. Otherwise throws a {@link ClientError}.
   */
  async send (call: NodeCall): Promise<NodeResponse> {
    let failure: ClientProblem & { kind: 'unreachable' } | undefined
    let refusal: NodeResponse | undefined
    for (const nodeUrl of this.#urlsToTry(call)) {
      const attempt = await this.#attempt(nodeUrl, call)
      if (attempt.kind === 'failed') failure = mergeFailures(failure, attempt.problem)
      else if (advisesImmediateRetry(attempt.response)) refusal = attempt.response
      else return attempt.response
    }
    // A refusal by one node does not tell the outcome of an attempt that another node may have executed.
    if (refusal !== undefined && failure?.progress !== 'maybe_sent') return refusal
    throw new ClientError(failure ?? { kind: 'unreachable', progress: 'not_sent', detail: 'no node URL given' })
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.#agent.destroy()
  }

  /** A single node is tried twice, so that one lost response does not fail an idempotent call. */
  #urlsToTry ({ isIdempotent }: NodeCall): readonly string[] {
    if (!isIdempotent) return this.#nodeUrls.slice(0, 1)
    return this.#nodeUrls.length === 1 ? [...this.#nodeUrls, ...this.#nodeUrls] : this.#nodeUrls
  }

  async #attempt (nodeUrl: string, { method, path, headers, body, timeoutMs }: NodeCall): Promise<AttemptResult> {
    try {
      const signal = timeoutSignal(timeoutMs ?? this.#timeoutMs)
      const response = await request(nodeUrl + path, { method, headers, body, signal, dispatcher: this.#agent })
      return { kind: 'answered', response: await readResponse(response) }
    } catch (error) {
      return { kind: 'failed', problem: toUnreachable(nodeUrl, error) }
    }
  }
}

/** Returns the error body of a response as a problem; undefined when the response is not a refusal. */
export function findRefusal (response: NodeResponse): ClientProblem | undefined {
  if (response.status < 400) return undefined
  const body = parseErrorBody(response.body.toString('utf8'))
  return body === undefined ? undefined : { kind: 'refused', status: response.status, body }
}

/** For example, a node that is shutting down advises a retry at once, because another node may accept the call. */
function advisesImmediateRetry (response: NodeResponse): boolean {
  const refusal = findRefusal(response)
  return refusal?.kind === 'refused' && refusal.body.repeat === 'now'
}

async function readResponse (response: Dispatcher.ResponseData): Promise<NodeResponse> {
  const headers = Object.entries(response.headers).map(([name, value]) => [name, String(value)])
  const body = Buffer.from(await response.body.arrayBuffer())
  return { status: response.statusCode, headers: Object.fromEntries(headers), body }
}

function toUnreachable (nodeUrl: string, error: unknown): ClientProblem & { kind: 'unreachable' } {
  const { code, message } = error as { code?: unknown, message?: string }
  const progress = NOT_SENT_ERROR_CODES.has(String(code)) ? 'not_sent' : 'maybe_sent'
  return { kind: 'unreachable', progress, detail: `${nodeUrl}: ${message ?? String(error)}` }
}

function mergeFailures (
  earlier: ClientProblem & { kind: 'unreachable' } | undefined,
  later: ClientProblem & { kind: 'unreachable' }
): ClientProblem & { kind: 'unreachable' } {
  if (earlier === undefined) return later
  const progress = earlier.progress === 'maybe_sent' ? 'maybe_sent' : later.progress
  const detail = earlier.detail === later.detail ? later.detail : `${earlier.detail}; ${later.detail}`
  return { kind: 'unreachable', progress, detail }
}
