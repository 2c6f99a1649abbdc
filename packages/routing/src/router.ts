/** Decides what happens to each short request of one entry VM. */
import {
  failure, type Failure, type Metrics, type Random, type RequestSpec, type SendProgress
} from '@comfreygrade/core'
import { Admission } from './admission.js'
import { AttemptTiming } from './attempt-timing.js'
import type { AnswerQuality, AttemptFailureReason, ClaimDecision, ClaimOutcome, RoutingEffect, RoutingEvent } from './events.js'
import { Dispatcher } from './dispatcher.js'
import { LoadSharing } from './load-sharing.js'
import { OpenRequest, resolutionOf, type Attempt, type AttemptResolution, type RetryReason } from './open-request.js'
import type { LoadReport } from './peer-load.js'
import type { RoutingPolicy } from './policy.js'
import type { BackendRegistry } from './registry.js'
import { RetryBudgets } from './retry-budget.js'
import { ServerObserver } from './server-observer.js'
import { ServerPool, type Location, type ServerState } from './servers.js'
import { ServiceClasses } from './service-classes.js'
import { ServiceQueues } from './service-queues.js'
import type { RoutingSettings } from './settings.js'
import { TimerHeap } from './timers.js'

/** What a router needs. */
export interface RequestRouterOptions {
  readonly settings: RoutingSettings
  readonly registry: BackendRegistry
  readonly policy: RoutingPolicy
  readonly random: Random
  readonly metrics: Metrics
  /** Where the entry VM stands; nearer backend servers are preferred. */
  readonly location: Location
}

/**
 * Routes short requests to backend servers; deterministic, driven by events. After each call of `handle` or `peerLoad`
 * and after each change of the registry, the front end sets its timer to `nextWakeAtMs` and then sends a `tick`.
 *
 * The front end gives every request an ID that no other open request has, answers every `claim` with `claim_decided`
 * and reports the end of every `dispatch`; a report that is missing is replaced by a timeout, a decision is not.
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
  readonly #classes: ServiceClasses
  readonly #queues: ServiceQueues
  readonly #admission: Admission
  readonly #timing: AttemptTiming
  readonly #budgets: RetryBudgets
  readonly #observer: ServerObserver
  readonly #loadSharing: LoadSharing
  readonly #dispatcher: Dispatcher
  readonly #timers = new TimerHeap()
  readonly #requests = new Map<string, OpenRequest>()
  #weights: ReadonlyMap<string, number> = new Map()
  #effects: RoutingEffect[] = []
  #unfinished = 0
  #isDraining = false
  #handledAtMs = 0

  constructor (options: RequestRouterOptions) {
    const { settings, registry, policy, random, metrics, location } = options
    this.#settings = settings
    this.#metrics = metrics
    this.#pool = new ServerPool(registry, settings, location)
    this.#classes = new ServiceClasses(settings)
    this.#queues = new ServiceQueues(settings)
    this.#admission = new Admission(settings, this.#classes, this.#queues)
    this.#timing = new AttemptTiming(settings, this.#classes, random)
    this.#budgets = new RetryBudgets(settings)
    this.#observer = new ServerObserver(settings, this.#pool, this.#classes)
    this.#loadSharing = new LoadSharing(settings, this.#pool)
    this.#dispatcher = new Dispatcher({
      settings,
      policy,
      random,
      pool: this.#pool,
      queues: this.#queues,
      classes: this.#classes,
      admission: this.#admission,
      loadSharing: this.#loadSharing,
      timers: this.#timers,
      dispatch: (open, server, nowMs) => this.#dispatch(open, server, nowMs),
      refuse: (open, notRun) => this.#refuse(open, open.endFailure(notRun))
    })
  }

  /** Requests without an outcome, or whose claim decision is outstanding; 0 ends a drain. */
  get openRequests (): number {
    return this.#unfinished
  }

  /** Requests that wait for a slot. */
  get queuedRequests (): number {
    return this.#queues.size
  }

  /** Takes the weights of all organisations; requests of others are refused. */
  setOrganisations (weights: ReadonlyMap<string, number>): void {
    this.#weights = new Map(weights)
    this.#budgets.keepOnly(weights)
  }

  /** Handles one event and returns what the front end has to do, in order. */
  handle (event: RoutingEvent, nowMs: number): RoutingEffect[] {
    this.#effects = []
    this.#handledAtMs = nowMs
    this.#dispatcher.refresh()
    this.#apply(event, nowMs)
    this.#timers.fireDue(nowMs)
    this.#dispatcher.pump(nowMs)
    return this.#effects
  }

  /** When the front end has to send a `tick`; undefined while nothing is pending. */
  nextWakeAtMs (): number | undefined {
    if (this.#dispatcher.isPumpDue) return this.#handledAtMs
    return this.#timers.nextAtMs()
  }

  /** In-flight counts for the peers; an empty report need not be sent. */
  loadReport (maxBytesHint: number, nowMs: number): LoadReport {
    return this.#loadSharing.report(maxBytesHint, nowMs)
  }

  /** Takes a report of a peer. */
  peerLoad (nodeId: string, report: LoadReport, nowMs: number): void {
    this.#loadSharing.take(nodeId, report, nowMs)
    this.#dispatcher.capacityChanged()
  }

  #apply (event: RoutingEvent, nowMs: number): void {
    switch (event.kind) {
      case 'arrived': return this.#arrived(event.request, nowMs)
      case 'claim_decided': return this.#claimDecided(event.requestId, event.decision, nowMs)
      case 'answered': return this.#answered(event.requestId, event.attempt, event.quality, nowMs)
      case 'attempt_failed':
        return this.#attemptFailed(event.requestId, event.attempt, event.progress, event.reason, nowMs)
      case 'caller_gone': return this.#callerGone(event.requestId)
      case 'drain_started': return this.#drainStarted()
      case 'tick':
    }
  }

  #arrived (request: RequestSpec, nowMs: number): void {
    if (this.#requests.has(request.requestId)) return this.#metrics.increment('duplicate_request')
    const refusal = this.#refusalAtArrival(request, nowMs)
    if (refusal !== undefined) return this.#emitRefusal(request.requestId, refusal)
    this.#budgets.requestArrived(request.organisationId, nowMs)
    const open = new OpenRequest(request)
    this.#requests.set(request.requestId, open)
    this.#unfinished++
    open.deadlineTimer = this.#timers.set(request.deadlineAtMs, () => this.#deadlineReached(open))
    if (open.isIdempotent || request.idempotencyKey === undefined) return this.#enqueue(open, nowMs)
    open.phase = 'claiming'
    open.claim = 'pending'
    this.#effects.push({ kind: 'claim', request })
  }

  #refusalAtArrival (request: RequestSpec, nowMs: number): Failure | undefined {
    const { organisationId, service, deadlineAtMs } = request
    if (this.#isDraining) return failure('shutting_down', 'this entry VM takes no new requests')
    const weight = this.#weights.get(organisationId)
    if (weight === undefined) return failure('unknown_organisation', `organisation ${organisationId} is not configured`)
    if (deadlineAtMs <= nowMs) return failure('deadline_exceeded', 'the deadline had passed at arrival')
    if (this.#pool.tiers(service).length === 0) {
      return failure('no_backend_server', `no backend server announced service ${service}`)
    }
    if (this.#requests.size >= this.#settings.maxOpenRequests) {
      const detail = `${this.#requests.size} requests are open, ${this.#settings.maxOpenRequests} are allowed`
      return failure('queue_full', detail)
    }
    return this.#admission.refusal(request, weight, nowMs)
  }

  #claimDecided (requestId: string, decision: ClaimDecision, nowMs: number): void {
    const open = this.#requests.get(requestId)
    if (open === undefined || open.claim !== 'pending') return
    open.claim = decision.kind === 'granted' ? 'granted' : 'none'
    if (open.phase === 'ended') return this.#claimDecidedLate(open)
    if (decision.kind === 'refused') return this.#refuse(open, decision.failure)
    this.#enqueue(open, nowMs)
  }

  /** The request ended before its claim was decided, so it was never dispatched. */
  #claimDecidedLate (open: OpenRequest): void {
    this.#unfinished--
    this.#settleClaim(open, 'not_run')
    this.#forgetIfDone(open)
  }

  #enqueue (open: OpenRequest, nowMs: number): void {
    const { requestClass, organisationId } = open.request
    open.phase = 'queued'
    open.workClass = this.#classes.workClass(requestClass)
    open.workMs = this.#classes.meanMs(requestClass)
    open.queuedAtMs = nowMs
    open.weight = this.#weights.get(organisationId) ?? open.weight
    this.#dispatcher.add(open, nowMs)
  }

  #dispatch (open: OpenRequest, server: ServerState, nowMs: number): void {
    this.#metrics.timing('queue_wait', nowMs - open.queuedAtMs, { workClass: open.workClass })
    const attempt = open.begin(server, nowMs)
    server.dispatched(attempt.workClass, nowMs)
    const timeoutAtMs = this.#timing.timeoutAtMs(open, nowMs)
    const lostReportAtMs = timeoutAtMs + this.#settings.attemptReportGraceMs
    attempt.timer = this.#timers.set(lostReportAtMs, firedAtMs =>
      this.#attemptFailed(open.request.requestId, attempt.number, 'maybe_sent', 'attempt_timeout', firedAtMs))
    const backendServer = server.known.record
    this.#effects.push({ kind: 'dispatch', request: open.request, attempt: attempt.number, backendServer, timeoutAtMs })
  }

  #answered (requestId: string, number: number, quality: AnswerQuality, nowMs: number): void {
    const open = this.#requests.get(requestId)
    const attempt = open?.attempt(number)
    if (open === undefined || attempt === undefined) return
    if (attempt.resolution !== 'open') return this.#answeredLate(open, attempt, quality, nowMs)
    this.#close(open, attempt, 'may_have_run')
    if (quality === 'success') this.#observer.succeeded(attempt, open.request, nowMs)
    else this.#observeFailure(attempt, open.request, 'server_error', nowMs)
    if (open.phase === 'ended') return this.#forgetIfDone(open)
    if (quality === 'server_error' && this.#retryServerError(open, attempt, nowMs)) return
    this.#answer(open, attempt, quality)
  }

  /** The answer of an attempt that was given up is still the answer of an idempotent request without one. */
  #answeredLate (open: OpenRequest, attempt: Attempt, quality: AnswerQuality, nowMs: number): void {
    const isWanted = open.phase !== 'ended' && open.isIdempotent && quality === 'success'
    if (!isWanted || attempt.resolution !== 'may_have_run' || attempt.reason === 'server_error') return
    this.#classes.observe(open.request.requestClass, nowMs - attempt.startedAtMs)
    this.#answer(open, attempt, quality)
  }

  /** A server error is answered as it is where a retry is not possible at once. */
  #retryServerError (open: OpenRequest, attempt: Attempt, nowMs: number): boolean {
    if (!open.isIdempotent || open.isCallerGone) return false
    const delayMs = this.#timing.backoffMs(open.attempts)
    if (nowMs + delayMs >= open.deadlineAtMs) return false
    if (!this.#budgets.tryTake(open.organisationId, nowMs)) return false
    attempt.reason = 'server_error'
    open.phase = 'backing_off'
    open.backoffTimer = this.#timers.set(nowMs + delayMs, firedAtMs => this.#repeat(open, 'server_error', firedAtMs))
    return true
  }

  #attemptFailed (
    requestId: string, number: number, progress: SendProgress, reason: AttemptFailureReason, nowMs: number
  ): void {
    const open = this.#requests.get(requestId)
    const attempt = open?.attempt(number)
    if (open === undefined || attempt === undefined || attempt.resolution !== 'open') return
    attempt.reason = reason
    this.#close(open, attempt, resolutionOf(progress, reason))
    this.#observeFailure(attempt, open.request, reason, nowMs)
    if (open.phase === 'ended') return this.#forgetIfDone(open)
    this.#retryOrRefuse(open, reason, nowMs)
  }

  #close (open: OpenRequest, attempt: Attempt, resolution: AttemptResolution): void {
    attempt.resolution = resolution
    attempt.server.released(attempt.workClass)
    open.avoid.add(attempt.server.id)
    this.#timers.cancel(attempt.timer)
    this.#dispatcher.slotFreed(attempt.server)
  }

  #observeFailure (attempt: Attempt, request: RequestSpec, reason: RetryReason, nowMs: number): void {
    const isEjected = this.#observer.failed(attempt, request, reason, nowMs)
    if (!isEjected) return
    this.#metrics.increment('ejection', { backendServerId: attempt.server.id })
    this.#timers.set(attempt.server.ejection.endsAtMs, () => this.#dispatcher.capacityChanged())
  }

  #retryOrRefuse (open: OpenRequest, reason: RetryReason, nowMs: number): void {
    if (open.isCallerGone) return this.#refuse(open, open.endFailure(failure('cancelled', 'the caller is gone')))
    const delayMs = this.#timing.backoffMs(open.attempts)
    const isInTime = nowMs + delayMs < open.deadlineAtMs
    if (!isInTime || !open.mayBeRepeated) return this.#refuse(open, open.endFailure(open.lateFailure()))
    open.phase = 'backing_off'
    open.backoffTimer = this.#timers.set(nowMs + delayMs, firedAtMs => this.#backoffEnded(open, reason, firedAtMs))
  }

  /** Waits for the retry budget while the deadline allows, as waiting is better than a refusal. */
  #backoffEnded (open: OpenRequest, reason: RetryReason, nowMs: number): void {
    open.isOutOfBudget = !this.#budgets.tryTake(open.organisationId, nowMs)
    if (!open.isOutOfBudget) return this.#repeat(open, reason, nowMs)
    const delayMs = Math.max(this.#settings.backoffBaseMs, this.#timing.backoffMs(open.attempts))
    open.backoffTimer = this.#timers.set(nowMs + delayMs, firedAtMs => this.#backoffEnded(open, reason, firedAtMs))
  }

  #repeat (open: OpenRequest, reason: RetryReason, nowMs: number): void {
    this.#metrics.increment('retry', { reason })
    this.#enqueue(open, nowMs)
  }

  /** While an attempt runs, its own timeout decides, so that an answer at the last moment is not lost. */
  #deadlineReached (open: OpenRequest): void {
    if (open.phase === 'running') return
    this.#refuse(open, open.endFailure(open.lateFailure()))
  }

  #callerGone (requestId: string): void {
    const open = this.#requests.get(requestId)
    if (open === undefined || open.phase === 'ended') return
    open.isCallerGone = true
    if (open.phase === 'running') return
    this.#refuse(open, open.endFailure(failure('cancelled', 'the caller is gone')))
  }

  #drainStarted (): void {
    this.#isDraining = true
    for (const open of [...this.#requests.values()]) {
      if (open.phase === 'ended' || open.phase === 'running' || open.mayHaveRun) continue
      this.#refuse(open, failure('shutting_down', 'this entry VM stops; the request was not sent'))
    }
  }

  #answer (open: OpenRequest, attempt: Attempt, quality: AnswerQuality): void {
    this.#effects.push({ kind: 'answer', requestId: open.request.requestId, attempt: attempt.number })
    this.#end(open)
    if (open.claim === 'granted') this.#settleClaim(open, quality === 'success' ? 'completed' : 'unknown')
    this.#forgetIfDone(open)
  }

  #refuse (open: OpenRequest, cause: Failure): void {
    this.#emitRefusal(open.request.requestId, cause)
    this.#end(open)
    if (open.claim === 'granted') this.#settleClaim(open, open.claimOutcome)
    this.#forgetIfDone(open)
  }

  #emitRefusal (requestId: string, cause: Failure): void {
    this.#metrics.increment('refusal', { kind: cause.kind })
    this.#effects.push({ kind: 'refuse', requestId, failure: cause })
  }

  #end (open: OpenRequest): void {
    if (open.phase === 'queued') this.#queues.remove(open)
    open.phase = 'ended'
    if (open.claim !== 'pending') this.#unfinished--
    this.#timers.cancel(open.deadlineTimer)
    this.#timers.cancel(open.backoffTimer)
  }

  #settleClaim (open: OpenRequest, outcome: ClaimOutcome): void {
    if (open.claim !== 'granted') return
    open.claim = 'settled'
    this.#effects.push({ kind: 'settle_claim', request: open.request, outcome })
  }

  #forgetIfDone (open: OpenRequest): void {
    if (open.openAttempt !== undefined || open.claim === 'pending') return
    this.#requests.delete(open.request.requestId)
  }
}
