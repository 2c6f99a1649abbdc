/** Routing of the requests of one entry VM, the node that accepts requests from callers, to backend servers. */
import {
  failure, type Failure, type Metrics, type Random, type RequestSpec, type SendProgress
} from '@comfreygrade/core'
import { Admission } from './admission.js'
import { AttemptTiming } from './attempt-timing.js'
import type { AnswerStatus, AttemptFailureReason, ClaimDecision, ClaimOutcome, RoutingEffect, RoutingEvent } from './events.js'
import { Dispatcher } from './dispatcher.js'
import { LoadExchange } from './load-exchange.js'
import { HeldRequest, executionStatusOfFailure, type Attempt, type ExecutionStatus, type RetryReason } from './held-request.js'
import type { LoadReport } from './peer-load.js'
import type { RoutingPolicy } from './policy.js'
import type { BackendRegistry } from './registry.js'
import { RetryBudgets } from './retry-budgets.js'
import { AttemptObserver } from './attempt-observer.js'
import { ServerPool, type Location, type ServerState } from './server-pool.js'
import { ServiceTimeEstimator } from './service-time-estimator.js'
import { ServiceQueues } from './service-queues.js'
import type { RoutingSettings } from './settings.js'
import { TimerHeap } from './timer-heap.js'

/** Dependencies of a router. */
export interface RequestRouterOptions {
  readonly settings: RoutingSettings
  readonly registry: BackendRegistry
  readonly policy: RoutingPolicy
  readonly random: Random
  readonly metrics: Metrics
  /** Location of the entry VM; nearer backend servers are preferred. */
  readonly location: Location
}

/**
 * Routes requests to backend servers. The router is a deterministic state machine: it gets events and returns effects.
 * After each event, load report of a peer and change of the registry, the front end sets its timer to `nextWakeAtMs`;
 * when the timer fires, it sends a `tick`.
 *
 * The front end gives every request an ID that no other held request has, answers every `claim` with `claim_decided`
 * and reports the end of every `dispatch`. The router replaces a missing report by a timeout. A missing claim decision
 * is not replaced: the request is refused at its deadline, but it is held until the decision arrives.
 *
 * @example
 * const router = new RequestRouter({ settings, registry, policy, random, metrics, location })
 * router.setOrganisations(new Map([['salto-university', 1]]))
 * const effects = router.handle({ kind: 'arrived', request }, clock.monotonicMs())
 */
export class RequestRouter {
  readonly #settings: RoutingSettings
  readonly #metrics: Metrics
  readonly #pool: ServerPool
  readonly #serviceTimes: ServiceTimeEstimator
  readonly #queues: ServiceQueues
  readonly #admission: Admission
  readonly #attemptTiming: AttemptTiming
  readonly #retryBudgets: RetryBudgets
  readonly #attemptObserver: AttemptObserver
  readonly #loadExchange: LoadExchange
  readonly #dispatcher: Dispatcher
  readonly #timers = new TimerHeap()
  readonly #heldRequests = new Map<string, HeldRequest>()
  #weights: ReadonlyMap<string, number> = new Map()
  #effects: RoutingEffect[] = []
  #openRequestCount = 0
  #isShuttingDown = false
  #lastEventAtMs = 0

  constructor (options: RequestRouterOptions) {
    const { settings, registry, policy, random, metrics, location } = options
    this.#settings = settings
    this.#metrics = metrics
    this.#pool = new ServerPool(registry, settings, location)
    this.#serviceTimes = new ServiceTimeEstimator(settings)
    this.#queues = new ServiceQueues(settings)
    this.#admission = new Admission(settings, this.#serviceTimes, this.#queues)
    this.#attemptTiming = new AttemptTiming(settings, this.#serviceTimes, random)
    this.#retryBudgets = new RetryBudgets(settings)
    this.#attemptObserver = new AttemptObserver(settings, this.#pool, this.#serviceTimes)
    this.#loadExchange = new LoadExchange(settings, this.#pool)
    this.#dispatcher = new Dispatcher({
      settings,
      policy,
      random,
      pool: this.#pool,
      queues: this.#queues,
      serviceTimes: this.#serviceTimes,
      admission: this.#admission,
      loadExchange: this.#loadExchange,
      timers: this.#timers,
      dispatch: (request, server, nowMs) => this.#dispatch(request, server, nowMs),
      refuse: (request, notRunFailure) => this.#refuse(request, request.outcomeFailure(notRunFailure))
    })
  }

  /**
   * Number of requests without an outcome or with a pending claim decision; a shutdown may proceed when it is 0.
   * Requests that are held only because an attempt is pending after their outcome are not counted, but
   * `maxOpenRequests` includes them.
   */
  get openRequests (): number {
    return this.#openRequestCount
  }

  /** Number of requests that wait for capacity. */
  get queuedRequests (): number {
    return this.#queues.size
  }

  /** Sets the weights of all organisations; requests of other organisations are refused. */
  setOrganisations (weights: ReadonlyMap<string, number>): void {
    this.#weights = new Map(weights)
    this.#retryBudgets.retainOrganisations(weights)
  }

  /** Handles one event and returns the effects for the front end, in order. */
  handle (event: RoutingEvent, nowMs: number): RoutingEffect[] {
    this.#effects = []
    this.#lastEventAtMs = nowMs
    this.#dispatcher.applyRegistryChanges()
    this.#apply(event, nowMs)
    this.#timers.fireDue(nowMs)
    this.#dispatcher.dispatchWaiting(nowMs)
    return this.#effects
  }

  /**
   * When the front end has to send the next `tick`, or undefined if none is needed. A time that is not in the future
   * means at once.
   */
  nextWakeAtMs (): number | undefined {
    if (this.#dispatcher.isDispatchDue) return this.#lastEventAtMs
    return this.#timers.nextAtMs()
  }

  /**
   * Creates the next load report for the peers. Its entries count as sent, so the next call returns other entries. An
   * empty report need not be sent.
   *
   * @param maxBytesHint size that the encoded report should not exceed
   */
  nextLoadReport (maxBytesHint: number, nowMs: number): LoadReport {
    return this.#loadExchange.nextReport(maxBytesHint, nowMs)
  }

  /** Applies the load report of a peer; waiting requests are checked at the next event. */
  applyPeerLoadReport (nodeId: string, report: LoadReport, nowMs: number): void {
    this.#loadExchange.applyPeerReport(nodeId, report, nowMs)
    this.#dispatcher.markCapacityChanged()
  }

  #apply (event: RoutingEvent, nowMs: number): void {
    switch (event.kind) {
      case 'arrived': return this.#onArrived(event.request, nowMs)
      case 'claim_decided': return this.#onClaimDecided(event.requestId, event.decision, nowMs)
      case 'answered': return this.#onAnswered(event.requestId, event.attempt, event.status, nowMs)
      case 'attempt_failed':
        return this.#onAttemptFailed(event.requestId, event.attempt, event.progress, event.reason, nowMs)
      case 'caller_gone': return this.#onCallerGone(event.requestId)
      case 'drain_started': return this.#onShutdownStarted()
      case 'tick':
    }
  }

  #onArrived (spec: RequestSpec, nowMs: number): void {
    // The first request with this ID is still held and gets the only outcome for the ID.
    if (this.#heldRequests.has(spec.requestId)) return this.#metrics.increment('duplicate_request')
    const refusal = this.#arrivalRefusal(spec, nowMs)
    if (refusal !== undefined) return this.#emitRefusal(spec.requestId, refusal)
    this.#retryBudgets.deposit(spec.organisationId, nowMs)
    const request = new HeldRequest(spec)
    this.#heldRequests.set(spec.requestId, request)
    this.#openRequestCount++
    request.deadlineTimer = this.#timers.set(spec.deadlineAtMs, () => this.#onDeadline(request))
    // Without an idempotency key there is nothing to claim: the router keeps this request from running twice, but does
    // not recognise the same request when the caller sends it again.
    if (request.isIdempotent || spec.idempotencyKey === undefined) return this.#enqueue(request, nowMs)
    request.phase = 'claiming'
    request.claim = 'pending'
    this.#effects.push({ kind: 'claim', request: spec })
  }

  #arrivalRefusal (spec: RequestSpec, nowMs: number): Failure | undefined {
    const { organisationId, service, deadlineAtMs } = spec
    if (this.#isShuttingDown) return failure('shutting_down', 'this entry VM is shutting down and accepts no new requests')
    const weight = this.#weights.get(organisationId)
    if (weight === undefined) return failure('unknown_organisation', `organisation ${organisationId} is not configured`)
    if (deadlineAtMs <= nowMs) return failure('deadline_exceeded', 'the deadline had already passed on arrival')
    if (this.#pool.tiersOf(service).length === 0) {
      return failure('no_backend_server', `no backend server has announced service ${service}`)
    }
    if (this.#heldRequests.size >= this.#settings.maxOpenRequests) {
      const detail = `${this.#heldRequests.size} requests are held, the limit is ${this.#settings.maxOpenRequests}`
      return failure('queue_full', detail)
    }
    return this.#admission.refusalFor(spec, weight, nowMs)
  }

  #onClaimDecided (requestId: string, decision: ClaimDecision, nowMs: number): void {
    const request = this.#heldRequests.get(requestId)
    if (request === undefined || request.claim !== 'pending') return
    request.claim = decision.kind === 'granted' ? 'granted' : 'none'
    if (request.phase === 'ended') return this.#onClaimDecidedAfterEnd(request)
    if (decision.kind === 'refused') return this.#refuse(request, decision.failure)
    this.#enqueue(request, nowMs)
  }

  /** Handles the claim decision of a request that ended before the decision, and was therefore never dispatched. */
  #onClaimDecidedAfterEnd (request: HeldRequest): void {
    this.#openRequestCount--
    this.#settleClaim(request, 'not_run')
    this.#removeIfDone(request)
  }

  #enqueue (request: HeldRequest, nowMs: number): void {
    const { requestClass, organisationId } = request.spec
    request.phase = 'queued'
    request.workClass = this.#serviceTimes.workClass(requestClass)
    request.expectedServiceTimeMs = this.#serviceTimes.meanMs(requestClass)
    request.queuedAtMs = nowMs
    request.weight = this.#weights.get(organisationId) ?? request.weight
    this.#dispatcher.submit(request, nowMs)
  }

  #dispatch (request: HeldRequest, server: ServerState, nowMs: number): void {
    this.#metrics.timing('queue_wait', nowMs - request.queuedAtMs, { workClass: request.workClass })
    const attempt = request.beginAttempt(server, nowMs)
    server.recordDispatch(attempt.workClass, nowMs)
    const timeoutAtMs = this.#attemptTiming.timeoutAtMs(request, nowMs)
    // A missing report counts as a timeout; the grace period lets the report of the front end arrive first.
    const reportDeadlineAtMs = timeoutAtMs + this.#settings.attemptReportGraceMs
    attempt.timer = this.#timers.set(reportDeadlineAtMs, firedAtMs =>
      this.#onAttemptFailed(
        request.spec.requestId, attempt.attemptNumber, 'maybe_sent', 'attempt_timeout', firedAtMs))
    const backendServer = server.registration.record
    this.#effects.push({
      kind: 'dispatch',
      request: request.spec,
      attempt: attempt.attemptNumber,
      backendServer,
      timeoutAtMs
    })
  }

  #onAnswered (requestId: string, attemptNumber: number, status: AnswerStatus, nowMs: number): void {
    const request = this.#heldRequests.get(requestId)
    const attempt = request?.attemptByNumber(attemptNumber)
    if (request === undefined || attempt === undefined) return
    if (attempt.executionStatus !== 'open') return this.#onLateAnswer(request, attempt, status, nowMs)
    this.#closeAttempt(request, attempt, 'may_have_run')
    if (status === 'success') this.#attemptObserver.recordSuccess(attempt, request.spec, nowMs)
    else this.#observeFailure(attempt, request.spec, 'server_error', nowMs)
    if (request.phase === 'ended') return this.#removeIfDone(request)
    if (status === 'server_error' && this.#tryRetryServerError(request, attempt, nowMs)) return
    this.#answer(request, attempt, status)
  }

  /**
   * Answers an idempotent request that has no outcome with the late success of an attempt that had timed out or whose
   * connection was lost.
   */
  #onLateAnswer (request: HeldRequest, attempt: Attempt, status: AnswerStatus, nowMs: number): void {
    const isUsable = request.phase !== 'ended' && request.isIdempotent && status === 'success'
    if (!isUsable || attempt.executionStatus !== 'may_have_run' || attempt.failureReason === 'server_error') return
    this.#serviceTimes.observe(request.spec.requestClass, nowMs - attempt.startedAtMs)
    this.#answer(request, attempt, status)
  }

  /**
   * Schedules a retry after a server error, or returns false to pass the error to the caller as the answer. Unlike
   * other failures, a server error is already an answer, so the retry does not wait for the retry budget.
   */
  #tryRetryServerError (request: HeldRequest, attempt: Attempt, nowMs: number): boolean {
    if (!request.isIdempotent || request.isCallerDisconnected) return false
    const delayMs = this.#attemptTiming.backoffMs(request.attemptCount)
    if (nowMs + delayMs >= request.deadlineAtMs) return false
    if (!this.#retryBudgets.tryWithdraw(request.organisationId, nowMs)) return false
    attempt.failureReason = 'server_error'
    request.phase = 'backing_off'
    request.backoffTimer = this.#timers.set(nowMs + delayMs, firedAtMs =>
      this.#retry(request, 'server_error', firedAtMs))
    return true
  }

  #onAttemptFailed (
    requestId: string, attemptNumber: number, progress: SendProgress, reason: AttemptFailureReason, nowMs: number
  ): void {
    const request = this.#heldRequests.get(requestId)
    const attempt = request?.attemptByNumber(attemptNumber)
    if (request === undefined || attempt === undefined || attempt.executionStatus !== 'open') return
    attempt.failureReason = reason
    this.#closeAttempt(request, attempt, executionStatusOfFailure(progress, reason))
    this.#observeFailure(attempt, request.spec, reason, nowMs)
    if (request.phase === 'ended') return this.#removeIfDone(request)
    this.#retryOrRefuse(request, reason, nowMs)
  }

  #closeAttempt (request: HeldRequest, attempt: Attempt, executionStatus: ExecutionStatus): void {
    attempt.executionStatus = executionStatus
    attempt.server.recordEnd(attempt.workClass)
    request.attemptedServerIds.add(attempt.server.id)
    this.#timers.cancel(attempt.timer)
    this.#dispatcher.markSlotFreed(attempt.server)
  }

  #observeFailure (attempt: Attempt, spec: RequestSpec, reason: RetryReason, nowMs: number): void {
    const isEjected = this.#attemptObserver.recordFailure(attempt, spec, reason, nowMs)
    if (!isEjected) return
    this.#metrics.increment('ejection', { backendServerId: attempt.server.id })
    this.#timers.set(attempt.server.ejection.endsAtMs, () => this.#dispatcher.markCapacityChanged())
  }

  #retryOrRefuse (request: HeldRequest, reason: RetryReason, nowMs: number): void {
    if (request.isCallerDisconnected) return this.#refuse(request, request.outcomeFailure(failure('cancelled', 'the caller disconnected')))
    const delayMs = this.#attemptTiming.backoffMs(request.attemptCount)
    const isInTime = nowMs + delayMs < request.deadlineAtMs
    if (!isInTime || !request.mayRetry) return this.#refuse(request, request.outcomeFailure(request.deadlineFailure()))
    request.phase = 'backing_off'
    request.backoffTimer = this.#timers.set(nowMs + delayMs, firedAtMs =>
      this.#onBackoffEnded(request, reason, firedAtMs))
  }

  /** Retries, or waits for the retry budget until the deadline, as waiting is better than a refusal. */
  #onBackoffEnded (request: HeldRequest, reason: RetryReason, nowMs: number): void {
    request.isRetryBudgetExhausted = !this.#retryBudgets.tryWithdraw(request.organisationId, nowMs)
    if (!request.isRetryBudgetExhausted) return this.#retry(request, reason, nowMs)
    // With full jitter the backoff may be close to 0, so that the budget would be checked in a tight loop.
    const delayMs = Math.max(this.#settings.backoffBaseMs, this.#attemptTiming.backoffMs(request.attemptCount))
    request.backoffTimer = this.#timers.set(nowMs + delayMs, firedAtMs =>
      this.#onBackoffEnded(request, reason, firedAtMs))
  }

  #retry (request: HeldRequest, reason: RetryReason, nowMs: number): void {
    this.#metrics.increment('retry', { reason })
    this.#enqueue(request, nowMs)
  }

  /** A running attempt ends by its own timeout instead, so that an answer at the last moment is not lost. */
  #onDeadline (request: HeldRequest): void {
    if (request.phase === 'running') return
    this.#refuse(request, request.outcomeFailure(request.deadlineFailure()))
  }

  #onCallerGone (requestId: string): void {
    const request = this.#heldRequests.get(requestId)
    if (request === undefined || request.phase === 'ended') return
    request.isCallerDisconnected = true
    if (request.phase === 'running') return
    this.#refuse(request, request.outcomeFailure(failure('cancelled', 'the caller disconnected')))
  }

  /** Refuses all requests that cannot have run; the others could no longer be reported as not run, so they go on. */
  #onShutdownStarted (): void {
    this.#isShuttingDown = true
    for (const request of [...this.#heldRequests.values()]) {
      if (request.phase === 'ended' || request.phase === 'running' || request.mayHaveRun) continue
      this.#refuse(request, failure('shutting_down', 'this entry VM is shutting down; the request was not run'))
    }
  }

  #answer (request: HeldRequest, attempt: Attempt, status: AnswerStatus): void {
    this.#effects.push({ kind: 'answer', requestId: request.spec.requestId, attempt: attempt.attemptNumber })
    this.#endRequest(request)
    if (request.claim === 'granted') this.#settleClaim(request, status === 'success' ? 'completed' : 'unknown')
    this.#removeIfDone(request)
  }

  #refuse (request: HeldRequest, cause: Failure): void {
    this.#emitRefusal(request.spec.requestId, cause)
    this.#endRequest(request)
    if (request.claim === 'granted') this.#settleClaim(request, request.claimOutcome)
    this.#removeIfDone(request)
  }

  #emitRefusal (requestId: string, cause: Failure): void {
    this.#metrics.increment('refusal', { kind: cause.kind })
    this.#effects.push({ kind: 'refuse', requestId, failure: cause })
  }

  #endRequest (request: HeldRequest): void {
    if (request.phase === 'queued') this.#queues.remove(request)
    request.phase = 'ended'
    if (request.claim !== 'pending') this.#openRequestCount--
    this.#timers.cancel(request.deadlineTimer)
    this.#timers.cancel(request.backoffTimer)
  }

  #settleClaim (request: HeldRequest, outcome: ClaimOutcome): void {
    if (request.claim !== 'granted') return
    request.claim = 'settled'
    this.#effects.push({ kind: 'settle_claim', request: request.spec, outcome })
  }

  #removeIfDone (request: HeldRequest): void {
    if (request.pendingAttempt !== undefined || request.claim === 'pending') return
    this.#heldRequests.delete(request.spec.requestId)
  }
}
