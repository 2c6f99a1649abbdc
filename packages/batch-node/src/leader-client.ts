/** Sends requests of clients, workers and operators to the control leader. */
import { randomUUID } from 'node:crypto'
import { errorTable, fail, type Clock, type ErrorKind, type Failure, type Metrics } from '@comfreygrade/core'
import type { BatchOperation, BatchResult } from '@comfreygrade/batch'
import { pause, startTimer } from '@comfreygrade/timers'
import type { LeaderRequest, LeaderResponse, BatchMessage } from './messages.js'

/** Options of {@link LeaderClient}. */
export interface LeaderClientOptions {
  readonly nodeId: string
  readonly clock: Clock
  readonly metrics: Metrics
  /** Nodes to try, the presumed leader first. */
  readonly candidates: () => readonly string[]
  /** Returns false if the message was not sent. */
  readonly send: (nodeId: string, message: BatchMessage) => boolean
  /** Passes a request to the control service of this process. */
  readonly handleLocally: (request: LeaderRequest) => Promise<LeaderResponse>
  /** Called with the leader that a node names when it does not lead itself. */
  readonly onLeaderHint: (nodeId: string) => void
}

/** Pause between two rounds over all candidates while none of them leads. */
const ROUND_INTERVAL_MS = 60
/** Time limit of one attempt; covers the longest commit on a slow disk. */
const ATTEMPT_TIMEOUT_MS = 1_000

type AttemptOutcome =
  | { readonly kind: 'answered', readonly response: LeaderResponse }
  /** Another node leads now, so no answer is awaited any more; the request may have taken effect. */
  | { readonly kind: 'superseded' }
  /** The request has certainly had no effect. */
  | { readonly kind: 'not_executed' }
  /** No response arrived, so the request may have taken effect. */
  | { readonly kind: 'unknown' }

/** A round of attempts over all candidates. */
type Round =
  | { readonly kind: 'done', readonly outcome: AttemptOutcome }
  | { readonly kind: 'leader_changed' | 'exhausted' }

interface PendingRequest {
  readonly nodeId: string
  readonly settle: (outcome: AttemptOutcome) => void
}

/** Sends requests over the peer links, and retries operations until a leader answers. */
export class LeaderClient {
  readonly #options: LeaderClientOptions
  readonly #pendingRequests = new Map<string, PendingRequest>()

  constructor (options: LeaderClientOptions) {
    this.#options = options
  }

  /** Completes the pending request that a response from a link belongs to. */
  receiveResponse ({ requestId, answer: response }: Extract<BatchMessage, { kind: 'answer' }>): void {
    this.#pendingRequests.get(requestId)?.settle({ kind: 'answered', response: withKnownFailure(response) })
  }

  /** Ends the requests to a node whose link was closed; their outcome is unknown. */
  handleDisconnect (nodeId: string): void {
    for (const pending of [...this.#pendingRequests.values()]) {
      if (pending.nodeId === nodeId) pending.settle({ kind: 'unknown' })
    }
  }

  /** Ends the requests to other nodes than the new leader, so that they are sent to it at once. */
  handleLeaderChange (leaderNodeId: string): void {
    for (const pending of [...this.#pendingRequests.values()]) {
      if (pending.nodeId !== leaderNodeId) pending.settle({ kind: 'superseded' })
    }
  }

  /**
   * Retries until a leader answers or the time limit is reached. All operations are idempotent, so an attempt with an
   * unknown outcome is retried too; the outcome of the operation is unknown only if no later attempt yields a result
   * that holds for all attempts.
   */
  async execute (operation: BatchOperation, timeoutMs: number): Promise<BatchResult> {
    const deadlineMs = this.#nowMs + timeoutMs
    let mayHaveTakenEffect = false
    while (this.#nowMs < deadlineMs) {
      const round = await this.#tryCandidates({ kind: 'operation', operation }, deadlineMs, outcome => {
        const result = this.#resultOf(outcome)
        const isDone = result !== undefined && isFinal(result, operation, mayHaveTakenEffect)
        mayHaveTakenEffect ||= !isDone && (isWithoutAnswer(outcome) || isUnknown(result))
        return isDone
      })
      const result = round.kind === 'done' ? this.#resultOf(round.outcome) : undefined
      if (result !== undefined) return result
      if (round.kind === 'exhausted') await pause(Math.min(ROUND_INTERVAL_MS, deadlineMs - this.#nowMs))
    }
    return mayHaveTakenEffect
      ? fail('outcome_unknown', 'no control leader answered in time; an attempt may have taken effect')
      : fail('control_unavailable', 'no control leader could be reached')
  }

  /**
   * Tries each candidate once until the leader answers, and again where the leader has changed meanwhile. Stops at the
   * first unknown outcome, so that no two leaders handle the request.
   */
  async requestOnce (request: LeaderRequest, timeoutMs: number): Promise<LeaderResponse | undefined> {
    const deadlineMs = this.#nowMs + timeoutMs
    for (;;) {
      const round = await this.#tryCandidates(request, deadlineMs, outcome => outcome.kind === 'unknown' ||
        (outcome.kind === 'answered' && outcome.response.kind !== 'not_leader'))
      if (round.kind === 'leader_changed' && this.#nowMs < deadlineMs) continue
      return round.kind === 'done' && round.outcome.kind === 'answered' ? round.outcome.response : undefined
    }
  }

  /** Tries the candidates in turn until an attempt is the last one, the leader changes or the time is over. */
  async #tryCandidates (
    request: LeaderRequest, deadlineMs: number, isLast: (outcome: AttemptOutcome) => boolean
  ): Promise<Round> {
    for (const nodeId of this.#options.candidates()) {
      const outcome = await this.#attempt(nodeId, request, deadlineMs - this.#nowMs)
      if (isLast(outcome)) return { kind: 'done', outcome }
      if (outcome.kind === 'superseded') return { kind: 'leader_changed' }
      if (this.#nowMs >= deadlineMs) break
    }
    return { kind: 'exhausted' }
  }

  #resultOf (outcome: AttemptOutcome): BatchResult | undefined {
    return outcome.kind === 'answered' && outcome.response.kind === 'result' ? outcome.response.result : undefined
  }

  async #attempt (nodeId: string, request: LeaderRequest, remainingMs: number): Promise<AttemptOutcome> {
    const timeoutMs = Math.max(1, Math.min(remainingMs, ATTEMPT_TIMEOUT_MS))
    const outcome = nodeId === this.#options.nodeId
      ? await outcomeWithin(this.#options.handleLocally(request), timeoutMs)
      : await this.#requestFromPeer(nodeId, request, timeoutMs)
    if (outcome.kind !== 'answered' || outcome.response.kind !== 'not_leader') return outcome
    if (outcome.response.leaderNodeId !== null) this.#options.onLeaderHint(outcome.response.leaderNodeId)
    return { kind: 'not_executed' }
  }

  async #requestFromPeer (nodeId: string, request: LeaderRequest, timeoutMs: number): Promise<AttemptOutcome> {
    const requestId = randomUUID()
    return await new Promise<AttemptOutcome>(resolve => {
      const timer = startTimer(timeoutMs, () => { settle({ kind: 'unknown' }) })
      const settle = (outcome: AttemptOutcome): void => {
        clearTimeout(timer)
        this.#pendingRequests.delete(requestId)
        // Counts requests sent to peers that got no response, whether or not a retry follows.
        if (outcome.kind === 'unknown') this.#options.metrics.increment('retry', { reason: 'leader_silent' })
        resolve(outcome)
      }
      this.#pendingRequests.set(requestId, { nodeId, settle })
      if (!this.#options.send(nodeId, { kind: 'ask', requestId, ask: request })) settle({ kind: 'not_executed' })
    })
  }

  get #nowMs (): number {
    return this.#options.clock.monotonicMs()
  }
}

/** Failures that depend on the request alone, so that every attempt fails in the same way. */
const STATELESS_FAILURES: ReadonlySet<ErrorKind> = new Set(['invalid_request', 'invalid_configuration'])
/** Operations without an effect, so that no attempt can have had one. */
const READS: ReadonlySet<BatchOperation['kind']> = new Set([
  'job_state', 'get_configuration', 'wave_state', 'list_evacuations'
])

function isWithoutAnswer (outcome: AttemptOutcome): boolean {
  return outcome.kind === 'unknown' || outcome.kind === 'superseded'
}

function isUnknown (result: BatchResult | undefined): boolean {
  return result?.ok === false && result.failure.kind === 'outcome_unknown'
}

/**
 * Whether a result holds for the operation as a whole. After an attempt that may have taken effect, a refusal of a
 * later one does not say that the operation was not executed: the earlier one may have been accepted under a
 * configuration that has been replaced since, or by a leader that has lost its role since.
 */
function isFinal (result: BatchResult, operation: BatchOperation, mayHaveTakenEffect: boolean): boolean {
  if (result.ok) return true
  if (result.failure.kind === 'outcome_unknown') return false
  return !mayHaveTakenEffect || READS.has(operation.kind) || !deniesExecution(result.failure)
}

function deniesExecution ({ kind }: Failure): boolean {
  return errorTable[kind].outcome === 'not_run' && !STATELESS_FAILURES.has(kind)
}

/** Resolves to the outcome `unknown` if there is no response within the time limit. */
async function outcomeWithin (response: Promise<LeaderResponse>, timeoutMs: number): Promise<AttemptOutcome> {
  return await new Promise<AttemptOutcome>(resolve => {
    const timer = startTimer(timeoutMs, () => { resolve({ kind: 'unknown' }) })
    const settle = (outcome: AttemptOutcome): void => {
      clearTimeout(timer)
      resolve(outcome)
    }
    response.then(value => { settle({ kind: 'answered', response: value }) }, () => { settle({ kind: 'unknown' }) })
  })
}

/** A leader of a later version may know further kinds of failures. */
function withKnownFailure (response: LeaderResponse): LeaderResponse {
  if (response.kind !== 'result' || response.result.ok) return response
  const { kind, detail } = response.result.failure
  if (Object.hasOwn(errorTable, kind)) return response
  return { kind: 'result', result: fail('internal_error', `${String(kind)}: ${detail}`) }
}
