/** Front end of the request router: holds bodies and answers, carries out its effects. */
import { createHash, randomUUID } from 'node:crypto'
import { failure, type Clock, type Failure, type Metrics, type RequestSpec, type Result } from '@comfreygrade/core'
import type { ControlOperation, ControlResult, RecordedAnswer } from '@comfreygrade/control'
import type { ClaimDecision, ClaimOutcome, RequestRouter, RoutingEffect, RoutingEvent } from '@comfreygrade/routing'
import type { BackendAnswer, BackendClient, PendingAttempt } from './backend-client.js'

/** What a caller gets back. */
export interface RequestAnswer {
  readonly answer: BackendAnswer
  readonly attempts: number
  /** Whether the answer was recorded under the idempotency key, or is such a record. */
  readonly claim: 'none' | 'recorded' | 'replayed'
}

/** Options of {@link RequestService}. */
export interface RequestServiceOptions {
  readonly router: RequestRouter
  readonly backendClient: BackendClient
  readonly clock: Clock
  readonly metrics: Metrics
  readonly askControl: (operation: ControlOperation, timeoutMs?: number) => Promise<ControlResult>
}

interface OpenRequest {
  /** As the caller sent it; the router knows the request by an ID of this node. */
  readonly spec: RequestSpec
  readonly body: Buffer
  readonly id: string
  readonly finish: (result: Result<RequestAnswer>) => void
  readonly attempts: Map<number, PendingAttempt>
  readonly answers: Map<number, BackendAnswer>
  isClaimed: boolean
  replay: RecordedAnswer | undefined
}

/** How long the outcome of a claim is offered to the leader again. */
const SETTLE_TIMEOUT_MS = 30_000
/** Header value limit for times; `setTimeout` takes no more. */
const MAX_TIMER_MS = 2_147_483_647

/** Executes short requests through the router. */
export class RequestService {
  readonly #options: RequestServiceOptions
  readonly #open = new Map<string, OpenRequest>()
  readonly #settling = new Set<Promise<unknown>>()
  /** Answers of claimed requests between `answer` and `settle_claim`. */
  readonly #claimedAnswers = new Map<string, RecordedAnswer>()
  /** Requests whose claim was granted, until it is settled. */
  readonly #claimants = new Map<string, OpenRequest>()
  #timer: NodeJS.Timeout | undefined
  #timerAtMs = Infinity

  constructor (options: RequestServiceOptions) {
    this.#options = options
  }

  /** Number of requests without an answer yet. */
  get openRequests (): number {
    return this.#open.size
  }

  /** Runs one request to its end. `onCancel` receives a function for when the caller goes away. */
  async execute (
    spec: RequestSpec,
    body: Buffer,
    onCancel: (cancel: () => void) => void
  ): Promise<Result<RequestAnswer>> {
    const arrivedAtMs = this.#options.clock.monotonicMs()
    // Callers choose their request IDs, so two open requests may share one.
    const id = randomUUID()
    return await new Promise(resolve => {
      const finish = (result: Result<RequestAnswer>): void => {
        this.#open.delete(id)
        this.#options.metrics.timing('request.duration', this.#options.clock.monotonicMs() - arrivedAtMs)
        resolve(result)
      }
      const open = {
        spec,
        body,
        id,
        finish,
        attempts: new Map(),
        answers: new Map(),
        isClaimed: false,
        replay: undefined
      }
      this.#open.set(id, open)
      onCancel(() => { this.dispatchEvent({ kind: 'caller_gone', requestId: id }) })
      this.dispatchEvent({ kind: 'arrived', request: { ...spec, requestId: id } })
    })
  }

  /** Reads the router's next due time again, after servers or the load of peers have changed. */
  wake (): void {
    this.#schedule()
  }

  /** Feeds one event to the router and carries out the effects. */
  dispatchEvent (event: RoutingEvent): void {
    const effects = this.#options.router.handle(event, this.#options.clock.monotonicMs())
    for (const effect of effects) if (effect.kind !== 'settle_claim') this.#carryOut(effect)
    // A claim is settled with the answer that the caller got, so answers go first.
    for (const effect of effects) if (effect.kind === 'settle_claim') this.#settle(effect)
    this.#schedule()
  }

  /** Resolves when the outcomes of all claims were offered to the leader. */
  async settled (): Promise<void> {
    await Promise.allSettled([...this.#settling])
  }

  /** Stops the timer. */
  close (): void {
    clearTimeout(this.#timer)
  }

  #carryOut (effect: Exclude<RoutingEffect, { kind: 'settle_claim' }>): void {
    switch (effect.kind) {
      case 'claim': this.#claim(effect.request); break
      case 'dispatch': this.#dispatch(effect); break
      case 'answer': this.#answer(effect.requestId, effect.attempt); break
      case 'refuse': this.#refuse(effect.requestId, effect.failure); break
    }
  }

  #dispatch (effect: Extract<RoutingEffect, { kind: 'dispatch' }>): void {
    const { request, attempt, backendServer } = effect
    const open = this.#open.get(request.requestId)
    if (open === undefined) return
    const nowMs = this.#options.clock.monotonicMs()
    const pending = this.#options.backendClient.send({
      backendServer,
      service: request.service,
      headers: dispatchHeaders(open.spec, attempt, nowMs),
      body: open.body,
      timeoutMs: Math.max(1, effect.timeoutAtMs - nowMs)
    })
    open.attempts.set(attempt, pending)
    this.#awaitAttempt(open, attempt, pending)
  }

  async #awaitAttempt (open: OpenRequest, attempt: number, pending: PendingAttempt): Promise<void> {
    const requestId = open.id
    const result = await pending.result
    open.attempts.delete(attempt)
    if (result.kind === 'answered') {
      open.answers.set(attempt, result.answer)
      const quality = result.answer.status >= 500 ? 'server_error' : 'success'
      this.dispatchEvent({ kind: 'answered', requestId, attempt, quality })
    } else {
      const { progress, reason } = result
      this.dispatchEvent({ kind: 'attempt_failed', requestId, attempt, progress, reason })
    }
  }

  #answer (requestId: string, attempt: number): void {
    const open = this.#open.get(requestId)
    const answer = open?.answers.get(attempt)
    if (open === undefined || answer === undefined) return
    this.#abandonAttempts(open)
    if (open.isClaimed) this.#claimedAnswers.set(requestId, answer)
    const claim = open.isClaimed ? 'recorded' : 'none'
    open.finish({ ok: true, value: { answer, attempts: attempt, claim } })
  }

  #refuse (requestId: string, cause: Failure): void {
    const open = this.#open.get(requestId)
    if (open === undefined) return
    this.#abandonAttempts(open)
    if (open.replay !== undefined) {
      const { status, contentType, body } = open.replay
      const answer = { status, contentType, body: Buffer.from(body) }
      open.finish({ ok: true, value: { answer, attempts: 0, claim: 'replayed' } })
      return
    }
    open.finish({ ok: false, failure: cause })
  }

  #abandonAttempts (open: OpenRequest): void {
    for (const pending of open.attempts.values()) pending.abort()
  }

  async #claim (request: RequestSpec): Promise<void> {
    const open = this.#open.get(request.requestId)
    if (open === undefined || request.idempotencyKey === undefined) return
    const remainingMs = request.deadlineAtMs - this.#options.clock.monotonicMs()
    const result = await this.#options.askControl({
      kind: 'claim_request',
      organisationId: request.organisationId,
      key: request.idempotencyKey,
      digest: digestOf(request.service, open.body),
      claimantId: open.id
    }, Math.max(1, remainingMs))
    const decision = this.#decide(open, result)
    open.isClaimed = decision.kind === 'granted'
    if (open.isClaimed) this.#claimants.set(request.requestId, open)
    // The claim may have been granted without our knowing; nothing was sent, so it must not stay pending.
    if (!result.ok && result.failure.kind === 'outcome_unknown') this.#sendSettlement(open, 'not_run', null)
    this.dispatchEvent({ kind: 'claim_decided', requestId: request.requestId, decision })
  }

  #decide (open: OpenRequest, result: ControlResult): ClaimDecision {
    if (!result.ok) return { kind: 'refused', failure: result.failure }
    if (result.value.kind !== 'claim') {
      return { kind: 'refused', failure: failure('internal_error', 'the control leader answered another question') }
    }
    const { granted, claim } = result.value
    if (granted) return { kind: 'granted' }
    if (claim.state === 'completed' && claim.answer !== null) open.replay = claim.answer
    return { kind: 'refused', failure: claimFailure(claim.state) }
  }

  #settle (effect: Extract<RoutingEffect, { kind: 'settle_claim' }>): void {
    const { request, outcome } = effect
    const answer = outcome === 'completed' ? this.#claimedAnswers.get(request.requestId) ?? null : null
    this.#claimedAnswers.delete(request.requestId)
    const open = this.#claimants.get(request.requestId)
    this.#claimants.delete(request.requestId)
    if (open !== undefined) this.#sendSettlement(open, outcome, answer)
  }

  #sendSettlement (open: OpenRequest, state: ClaimOutcome, answer: RecordedAnswer | null): void {
    const { organisationId, idempotencyKey } = open.spec
    if (idempotencyKey === undefined) return
    const settling = this.#options.askControl({
      kind: 'settle_claim',
      organisationId,
      key: idempotencyKey,
      claimantId: open.id,
      state,
      answer
    }, SETTLE_TIMEOUT_MS)
    this.#settling.add(settling)
    settling.finally(() => { this.#settling.delete(settling) })
  }

  #schedule (): void {
    const wakeAtMs = this.#options.router.nextWakeAtMs() ?? Infinity
    if (wakeAtMs === this.#timerAtMs) return
    clearTimeout(this.#timer)
    this.#timerAtMs = wakeAtMs
    if (wakeAtMs === Infinity) return
    const delayMs = Math.min(MAX_TIMER_MS, Math.max(0, wakeAtMs - this.#options.clock.monotonicMs()))
    this.#timer = setTimeout(() => {
      this.#timerAtMs = Infinity
      this.dispatchEvent({ kind: 'tick' })
    }, delayMs)
  }
}

function dispatchHeaders (request: RequestSpec, attempt: number, nowMs: number): Record<string, string> {
  const headers: Record<string, string> = {
    'content-type': request.contentType ?? 'application/octet-stream',
    'comfreygrade-request-id': request.requestId,
    'comfreygrade-attempt': String(attempt),
    'comfreygrade-organisation': request.organisationId,
    'comfreygrade-deadline-ms': String(Math.max(0, Math.floor(request.deadlineAtMs - nowMs)))
  }
  if (request.idempotencyKey !== undefined) headers['idempotency-key'] = request.idempotencyKey
  return headers
}

function claimFailure (state: string): Failure {
  switch (state) {
    case 'completed': return failure('claim_completed', 'the request with this key has completed; its answer was not kept')
    case 'pending': return failure('claim_in_progress', 'a request with this key is under way')
    default: return failure('outcome_unknown', 'an earlier request with this key ended with an unknown outcome')
  }
}

/** Digest by which a repeated key with other content is recognised. */
function digestOf (service: string, body: Buffer): string {
  return createHash('sha256').update(service).update('\0').update(body).digest('base64url')
}
