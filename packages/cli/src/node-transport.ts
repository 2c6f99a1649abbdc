/** Sends HTTP requests to one of several nodes. */
import { Agent, type Dispatcher, request } from 'undici'
import { ClientError, type ClientProblem, parseErrorBody } from './client-error.js'

/** One call to a node. */
export interface NodeCall {
  readonly method: 'GET' | 'POST' | 'DELETE'
  readonly path: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string | Buffer
  /** Whether a second execution of the same call changes nothing. */
  readonly isIdempotent: boolean
  /** Time for one attempt; the transport's own where absent. */
  readonly timeoutMs?: number
}

/** A complete answer of a node. */
export interface NodeResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer
}

type Attempt =
  | { readonly kind: 'answered', readonly answer: NodeResponse }
  | { readonly kind: 'failed', readonly problem: ClientProblem & { kind: 'unreachable' } }

/** Errors that arise before any byte of a request is sent. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT', 'ENOTFOUND'])

/**
 * Tries nodes in the order given, as long as a call is safe to repeat.
 *
 * @example
 * const transport = new NodeTransport(['http://127.0.0.1:8080'], 5_000)
 * await transport.call({ method: 'GET', path: '/v1/status', isIdempotent: true })
 */
export class NodeTransport {
  readonly #nodes: readonly string[]
  readonly #timeoutMs: number
  readonly #agent: Agent

  constructor (nodes: readonly string[], timeoutMs: number) {
    this.#nodes = nodes.map(node => node.replace(/\/+$/, ''))
    this.#timeoutMs = timeoutMs
    this.#agent = new Agent({ connect: { timeout: timeoutMs } })
  }

  /**
   * Gives the first complete answer that does not advise to repeat the call now; throws a {@link ClientError} where no
   * node gave an answer.
   */
  async send (call: NodeCall): Promise<NodeResponse> {
    let failure: ClientProblem & { kind: 'unreachable' } | undefined
    let refusal: NodeResponse | undefined
    for (const node of this.#nodesToTry(call)) {
      const attempt = await this.#attempt(node, call)
      if (attempt.kind === 'failed') failure = mergeFailures(failure, attempt.problem)
      else if (advisesImmediateRetry(attempt.answer)) refusal = attempt.answer
      else return attempt.answer
    }
    // The refusal of one node says nothing of a call that another one may have carried out.
    if (refusal !== undefined && failure?.progress !== 'maybe_sent') return refusal
    throw new ClientError(failure ?? { kind: 'unreachable', progress: 'not_sent', detail: 'no node is given' })
  }

  /** Closes the connections. */
  async close (): Promise<void> {
    await this.#agent.destroy()
  }

  /** A single node is asked twice, since a lost answer is as likely as a lost node. */
  #nodesToTry ({ isIdempotent }: NodeCall): readonly string[] {
    if (!isIdempotent) return this.#nodes.slice(0, 1)
    return this.#nodes.length === 1 ? [...this.#nodes, ...this.#nodes] : this.#nodes
  }

  async #attempt (node: string, { method, path, headers, body, timeoutMs }: NodeCall): Promise<Attempt> {
    try {
      const signal = AbortSignal.timeout(timeoutMs ?? this.#timeoutMs)
      const response = await request(node + path, { method, headers, body, signal, dispatcher: this.#agent })
      return { kind: 'answered', answer: await readResponse(response) }
    } catch (error) {
      return { kind: 'failed', problem: toUnreachable(node, error) }
    }
  }
}

/** Reads a refusal out of an answer; undefined where it is not one. */
export function findRefusal (response: NodeResponse): ClientProblem | undefined {
  if (response.status < 400) return undefined
  const body = parseErrorBody(response.body.toString('utf8'))
  return body === undefined ? undefined : { kind: 'refused', status: response.status, body }
}

/** As of a node that is shutting down; another one may take the call. */
function advisesImmediateRetry (response: NodeResponse): boolean {
  const refusal = findRefusal(response)
  return refusal?.kind === 'refused' && refusal.body.repeat === 'now'
}

async function readResponse (response: Dispatcher.ResponseData): Promise<NodeResponse> {
  const headers = Object.entries(response.headers).map(([name, value]) => [name, String(value)])
  const body = Buffer.from(await response.body.arrayBuffer())
  return { status: response.statusCode, headers: Object.fromEntries(headers), body }
}

function toUnreachable (node: string, error: unknown): ClientProblem & { kind: 'unreachable' } {
  const { code, message } = error as { code?: unknown, message?: string }
  const progress = NOT_SENT_CODES.has(String(code)) ? 'not_sent' : 'maybe_sent'
  return { kind: 'unreachable', progress, detail: `${node}: ${message ?? String(error)}` }
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
