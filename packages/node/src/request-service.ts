/**
 * Executes short requests, which are sent to a backend server while the caller waits: keeps their bodies and answers,
 * and executes the effects of the request router.
 */
import { createHash, randomUUID } from 'node:crypto'
import { failure, type Clock, type Failure, type Metrics, type RequestSpec, type Result } from '@comfreygrade/core'
import type { ControlOperation, ControlResult, RecordedAnswer } from '@comfreygrade/control'
import type { ClaimDecision, ClaimOutcome, RequestRouter, RoutingEffect, RoutingEvent } from '@comfreygrade/routing'
import { startTimer } from '@comfreygrade/timers'
import type { BackendAnswer, BackendClient, PendingAttempt } from './backend-client.js'

/** Answer to a short request, with details of its execution for the caller. */
export interface RequestResult {
  readonly answer: BackendAnswer
  /** Number of the attempt that gave the answer, from 1; 0 for a replayed answer. */
  readonly attempts: number
  /**
   * `recorded` if the request held a claim, whose settlement follows after the answer and stores only answers with a
   * status below 500; `replayed` if the answer was taken from a completed claim.
   */
  readonly claim: 'none' | 'recorded' | 'replayed'
}

/** Options of {@link RequestService}. */
export interface RequestServiceOptions {
  readonly router: RequestRouter
  readonly backendClient: BackendClient
  readonly clock: Clock
  readonly metrics: Metrics
  readonly executeOperation: (operation: ControlOperation, timeoutMs?: number) => Promise<ControlResult>
}

interface OpenRequest {
  /** The request with the caller's ID; the router sees it under `id`. */
  readonly spec: RequestSpec
  readonly body: Buffer
  readonly id: string
  readonly finish: (result: Result<RequestResult>) => void
  readonly attempts: Map<number, PendingAttempt>
  readonly answers: Map<number, BackendAnswer>
  isClaimed: boolean
  /** Recorded answer of a completed claim with the same idempotency key. */
  replayedAnswer: RecordedAnswer | undefined
}

/** Time for which the settlement of a claim is retried. */
const SETTLEMENT_TIMEOUT_MS = 30_000

/**
 * Executes short requests through the router, with a claim for each request that has an idempotency key.
 *
 * A claim reserves an idempotency key on the control leader for one execution and is settled with its outcome.
 */
export class RequestService {
  readonly #options: RequestServiceOptions
  readonly #requests = new Map<string, OpenRequest>()
  readonly #settlements = new Set<Promise<unknown>>()
  /** Answers of claimed requests, kept from the `answer` effect until `settle_claim`. */
  readonly #claimedAnswers = new Map<string, RecordedAnswer>()
  /** Requests that hold a granted claim which is not settled yet. */
  readonly #claimedRequests = new Map<string, OpenRequest>()
  #timer: NodeJS.Timeout | undefined
  #timerDueAtMs = Infinity

  constructor (options: RequestServiceOptions) {
    this.#options = options
  }

  /** Number of requests that have not been answered yet. */
  get openRequests (): number {
    return this.#requests.size
  }

  /** Executes one request; `onCancel` receives a function to call when the caller disconnects. */
  async execute (
    spec: RequestSpec,
    body: Buffer,
    onCancel: (cancel: () => void) => void
  ): Promise<Result<RequestResult>> {
    const arrivedAtMs = this.#options.clock.monotonicMs()
    // Callers choose their request IDs, so two open requests may have the same one.
    const id = randomUUID()
    return await new Promise(resolve => {
      const finish = (result: Result<RequestResult>): void => {
        this.#requests.delete(id)
        this.#options.metrics.timing('request.duration', this.#options.clock.monotonicMs() - arrivedAtMs)
        resolve(result)
      }
      const openRequest = {
        spec,
        body,
        id,
        finish,
        attempts: new Map(),
        answers: new Map(),
        isClaimed: false,
        replayedAnswer: undefined
      }
      this.#requests.set(id, openRequest)
      onCancel(() => { this.handleEvent({ kind: 'caller_gone', requestId: id }) })
      this.handleEvent({ kind: 'arrived', request: { ...spec, requestId: id } })
    })
  }

  /** Reschedules the timer, as a change of the backend servers or of the peers' load may change the next due time. */
  reschedule (): void {
    this.#scheduleTick()
  }

  /** Passes an event to the router and executes the effects. */
  handleEvent (event: RoutingEvent): void {
    const effects = this.#options.router.handle(event, this.#options.clock.monotonicMs())
    for (const effect of effects) if (effect.kind !== 'settle_claim') this.#executeEffect(effect)
    // A claim is settled with the answer that the caller got, so `answer` effects are executed first.
    for (const effect of effects) if (effect.kind === 'settle_claim') this.#settleClaim(effect)
    this.#scheduleTick()
  }

  /** Resolves when the settlements that are in progress at the call have ended. */
  async awaitSettlements (): Promise<void> {
    await Promise.allSettled([...this.#settlements])
  }

  close (): void {
    clearTimeout(this.#timer)
  }

  #executeEffect (effect: Exclude<RoutingEffect, { kind: 'settle_claim' }>): void {
    switch (effect.kind) {
      case 'claim': this.#claim(effect.request); break
      case 'dispatch': this.#dispatch(effect); break
      case 'answer': this.#answer(effect.requestId, effect.attempt); break
      case 'refuse': this.#refuseOrReplay(effect.requestId, effect.failure); break
    }
  }

  #dispatch (effect: Extract<RoutingEffect, { kind: 'dispatch' }>): void {
    const { request, attempt, backendServer } = effect
    const openRequest = this.#requests.get(request.requestId)
    if (openRequest === undefined) return
    const nowMs = this.#options.clock.monotonicMs()
    const pending = this.#options.backendClient.send({
      backendServer,
      service: request.service,
      headers: createAttemptHeaders(openRequest.spec, attempt, nowMs),
      body: openRequest.body,
      timeoutMs: Math.max(1, effect.timeoutAtMs - nowMs)
    })
    openRequest.attempts.set(attempt, pending)
    this.#awaitAttempt(openRequest, attempt, pending)
  }

  async #awaitAttempt (openRequest: OpenRequest, attempt: number, pending: PendingAttempt): Promise<void> {
    const requestId = openRequest.id
    const result = await pending.result
    openRequest.attempts.delete(attempt)
    if (result.kind === 'answered') {
      openRequest.answers.set(attempt, result.answer)
      const status = result.answer.status >= 500 ? 'server_error' : 'success'
      this.handleEvent({ kind: 'answered', requestId, attempt, status })
    } else {
      const { progress, reason } = result
      this.handleEvent({ kind: 'attempt_failed', requestId, attempt, progress, reason })
    }
  }

  #answer (requestId: string, attempt: number): void {
    const openRequest = this.#requests.get(requestId)
    const answer = openRequest?.answers.get(attempt)
    if (openRequest === undefined || answer === undefined) return
    this.#abortAttempts(openRequest)
    if (openRequest.isClaimed) this.#claimedAnswers.set(requestId, answer)
    const claim = openRequest.isClaimed ? 'recorded' : 'none'
    openRequest.finish({ ok: true, value: { answer, attempts: attempt, claim } })
  }

  /** The router sees a completed claim as a refusal; the answer that it recorded, if any, is replayed to the caller. */
  #refuseOrReplay (requestId: string, cause: Failure): void {
    const openRequest = this.#requests.get(requestId)
    if (openRequest === undefined) return
    this.#abortAttempts(openRequest)
    if (openRequest.replayedAnswer !== undefined) {
      const { status, contentType, body } = openRequest.replayedAnswer
      const answer = { status, contentType, body: Buffer.from(body) }
      openRequest.finish({ ok: true, value: { answer, attempts: 0, claim: 'replayed' } })
      return
    }
    openRequest.finish({ ok: false, failure: cause })
  }

  #abortAttempts (openRequest: OpenRequest): void {
    for (const pending of openRequest.attempts.values()) pending.abort()
  }

  async #claim (request: RequestSpec): Promise<void> {
    const openRequest = this.#requests.get(request.requestId)
    if (openRequest === undefined || request.idempotencyKey === undefined) return
    const remainingMs = request.deadlineAtMs - this.#options.clock.monotonicMs()
    const result = await this.#options.executeOperation({
      kind: 'claim_request',
      organisationId: request.organisationId,
      key: request.idempotencyKey,
      digest: computeDigest(request.service, openRequest.body),
      claimantId: openRequest.id
    }, Math.max(1, remainingMs))
    const decision = this.#decideClaim(openRequest, result)
    openRequest.isClaimed = decision.kind === 'granted'
    if (openRequest.isClaimed) this.#claimedRequests.set(request.requestId, openRequest)
    // The claim may have been granted although its result was lost. As nothing was sent, it is settled as not run, so
    // that it does not stay pending.
    if (!result.ok && result.failure.kind === 'outcome_unknown') this.#sendSettlement(openRequest, 'not_run', null)
    this.handleEvent({ kind: 'claim_decided', requestId: request.requestId, decision })
  }

  #decideClaim (openRequest: OpenRequest, result: ControlResult): ClaimDecision {
    if (!result.ok) return { kind: 'refused', failure: result.failure }
    if (result.value.kind !== 'claim') {
      return { kind: 'refused', failure: failure('internal_error', 'the control leader sent a result of the wrong kind') }
    }
    const { granted, claim } = result.value
    if (granted) return { kind: 'granted' }
    if (claim.state === 'completed' && claim.answer !== null) openRequest.replayedAnswer = claim.answer
    return { kind: 'refused', failure: claimFailure(claim.state) }
  }

  #settleClaim (effect: Extract<RoutingEffect, { kind: 'settle_claim' }>): void {
    const { request, outcome } = effect
    const answer = outcome === 'completed' ? this.#claimedAnswers.get(request.requestId) ?? null : null
    this.#claimedAnswers.delete(request.requestId)
    const openRequest = this.#claimedRequests.get(request.requestId)
    this.#claimedRequests.delete(request.requestId)
    if (openRequest !== undefined) this.#sendSettlement(openRequest, outcome, answer)
  }

  #sendSettlement (openRequest: OpenRequest, state: ClaimOutcome, answer: RecordedAnswer | null): void {
    const { organisationId, idempotencyKey } = openRequest.spec
    if (idempotencyKey === undefined) return
    const settlement = this.#options.executeOperation({
      kind: 'settle_claim',
      organisationId,
      key: idempotencyKey,
      claimantId: openRequest.id,
      state,
      answer
    }, SETTLEMENT_TIMEOUT_MS)
    this.#settlements.add(settlement)
    settlement.finally(() => { this.#settlements.delete(settlement) })
  }

  #scheduleTick (): void {
    const wakeAtMs = this.#options.router.nextWakeAtMs() ?? Infinity
    if (wakeAtMs === this.#timerDueAtMs) return
    clearTimeout(this.#timer)
    this.#timerDueAtMs = wakeAtMs
    if (wakeAtMs === Infinity) return
    this.#timer = startTimer(wakeAtMs - this.#options.clock.monotonicMs(), () => {
      this.#timerDueAtMs = Infinity
      this.handleEvent({ kind: 'tick' })
    })
  }
}

function createAttemptHeaders (request: RequestSpec, attempt: number, nowMs: number): Record<string, string> {
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
    case 'completed': return failure('claim_completed', 'the request with this key has completed; no answer is recorded for it')
    case 'pending': return failure('claim_in_progress', 'a request with this key is in progress')
    default: return failure('outcome_unknown', 'an earlier request with this key ended with an unknown outcome')
  }
}

/** Digest of service and body, which detects an idempotency key that is reused for another request. */
function computeDigest (service: string, body: Buffer): string {
  return createHash('sha256').update(service).update('\0').update(body).digest('base64url')
}
