/** Sends attempts of short requests to backend servers over HTTP. */
import { Agent, type Dispatcher } from 'undici'
import type { BackendServerRecord, SendProgress } from '@comfreygrade/core'
import type { AttemptFailureReason } from '@comfreygrade/routing'
import { startTimer } from '@comfreygrade/timers'
import type { AnswerCollector, ClientGuard } from './client-guard.js'

/** Complete answer of a backend server. */
export interface BackendAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: Buffer
}

/** How an attempt ended. */
export type AttemptResult =
  | { readonly kind: 'answered', readonly answer: BackendAnswer }
  | { readonly kind: 'failed', readonly progress: SendProgress, readonly reason: AttemptFailureReason }

/** Parameters of one attempt to send a request. */
export interface Attempt {
  readonly backendServer: BackendServerRecord
  readonly service: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Buffer
  readonly timeoutMs: number
}

/** An attempt in progress. */
export interface PendingAttempt {
  readonly result: Promise<AttemptResult>
  /** Aborts the attempt, which then fails with `connection_lost` although the abort came from this node. */
  readonly abort: () => void
}

/** Options of {@link BackendClient}. */
export interface BackendClientOptions {
  readonly maxAnswerBytes: number
  /** Keeps the answers in progress within the budget of the process, together with the bodies of clients. */
  readonly guard: ClientGuard
  readonly connectTimeoutMs: number
}

/** Header by which a backend server states, with status 503 and value `true`, that it did not execute the request. */
export const NOT_RUN_HEADER = 'comfreygrade-not-run'

/** Sends attempts over pooled connections and reports for each failure whether the request may have been sent. */
export class BackendClient {
  readonly #agent: Agent
  readonly #options: BackendClientOptions

  constructor (options: BackendClientOptions) {
    this.#options = options
    this.#agent = new Agent({
      connect: { timeout: options.connectTimeoutMs },
      // The router limits the connections per server; a limit here would add a queue without deadlines.
      connections: null,
      pipelining: 1,
      // `timeoutMs` of the attempt applies instead.
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: 4_000
    })
  }

  /** Starts an attempt. */
  send (attempt: Attempt): PendingAttempt {
    const handler = new AttemptHandler(this.#options)
    const timer = startTimer(attempt.timeoutMs, () => { handler.abort('attempt_timeout') })
    this.#agent.dispatch({
      origin: attempt.backendServer.address,
      path: `/${encodeURIComponent(attempt.service)}`,
      method: 'POST',
      headers: attempt.headers,
      body: attempt.body
    }, handler)
    const result = handler.result.finally(() => { clearTimeout(timer) })
    return { result, abort: () => { handler.abort('connection_lost') } }
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await this.#agent.destroy()
  }
}

/** Collects one answer and tracks whether the request was passed to a connection. */
class AttemptHandler implements Dispatcher.DispatchHandler {
  readonly result: Promise<AttemptResult>
  readonly #answer: AnswerCollector
  #resolve: (result: AttemptResult) => void = () => {}
  #controller: Dispatcher.DispatchController | undefined
  #progress: SendProgress = 'not_sent'
  #abortReason: AttemptFailureReason | undefined
  #status = 0
  #contentType = ''
  #isRejected = false

  constructor ({ guard, maxAnswerBytes }: BackendClientOptions) {
    // The attempt then fails with `connection_lost`.
    this.#answer = guard.collectAnswer(maxAnswerBytes, () => {
      this.#controller?.abort(new Error('the answer exceeds the size limit'))
    })
    this.result = new Promise(resolve => { this.#resolve = resolve })
  }

  abort (reason: AttemptFailureReason): void {
    this.#abortReason ??= reason
    this.#controller?.abort(new Error(reason))
    this.#fail()
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    this.#controller = controller
    if (this.#abortReason !== undefined) {
      controller.abort(new Error(this.#abortReason))
      return
    }
    this.#progress = 'maybe_sent'
  }

  onResponseStart (
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: Record<string, string | string[] | undefined>
  ): void {
    // Skips informational responses such as 100 Continue.
    if (status < 200) return
    this.#status = status
    this.#contentType = String(headers['content-type'] ?? 'application/octet-stream')
    this.#isRejected = status === 503 && headers[NOT_RUN_HEADER] === 'true'
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#answer.append(chunk)
  }

  onResponseEnd (): void {
    if (this.#isRejected) {
      this.#answer.end()
      // The request was sent but did not run; the router sees this from the reason.
      this.#resolve({ kind: 'failed', progress: 'maybe_sent', reason: 'rejected' })
      return
    }
    const body = this.#answer.take()
    this.#resolve({ kind: 'answered', answer: { status: this.#status, contentType: this.#contentType, body } })
  }

  onResponseError (): void {
    this.#fail()
  }

  #fail (): void {
    this.#answer.end()
    const reason = this.#abortReason ?? (this.#progress === 'not_sent' ? 'connect_failed' : 'connection_lost')
    this.#resolve({ kind: 'failed', progress: this.#progress, reason })
  }
}
