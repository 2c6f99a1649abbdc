/** Simulation of the front end, the control plane and the backend servers; it records which requests were executed. */
import {
  InMemoryMetrics, errorTable, Random, type BackendServerRecord, type Failure, type Repeatability, type RequestSpec
} from '@comfreygrade/core'
import {
  BackendRegistry, defaultRoutingSettings, LocalityPolicy, RequestRouter,
  type AttemptFailureReason, type RoutingEffect, type RoutingEvent, type RoutingSettings
} from '../src/index.js'

/**
 * What the simulated backend server and connection do with one attempt. Behaviours that begin with `answer` and
 * `server_error` execute the request before they answer. Some of the others:
 *
 * - `answer_after_loss`: the connection is reported as lost, and the answer still arrives
 * - `rejected_then_timeout`: a rejection and then a timeout are reported for the same attempt
 * - `lost_before_execution`, `lost_after_execution`: the connection is lost; the request is never or has been executed
 * - `executed_after_timeout`: the request is executed after its timeout was reported
 * - `no_report`: the request is executed, but the router hears nothing of it
 */
export type AttemptBehaviour =
  | 'answer' | 'answer_twice' | 'answer_after_timeout' | 'answer_after_loss' | 'server_error'
  | 'connect_failed' | 'rejected' | 'rejected_then_timeout' | 'lost_before_execution' | 'lost_after_execution'
  | 'executed_after_timeout' | 'no_report'

/** How the simulated control plane decides one claim. */
export type ClaimBehaviour = 'granted' | 'granted_twice' | 'granted_late' | 'refused'

/** One request of a scenario. */
export interface RequestPlan {
  readonly atMs: number
  readonly repeatability: Repeatability
  readonly hasKey: boolean
  readonly deadlineMs: number
  readonly isCallerDisconnected: boolean
}

/**
 * Input of a simulation run. Behaviours are used in turn and repeated. A delay is selected by the number of actions
 * scheduled so far, so that two delays without an action between them are equal.
 */
export interface Scenario {
  readonly requests: readonly RequestPlan[]
  readonly attemptBehaviours: readonly AttemptBehaviour[]
  readonly claimBehaviours: readonly ClaimBehaviour[]
  /** When server `b1` announces that it leaves. */
  readonly leaveAtMs: number
  /** From when on server `b2` sends no heartbeats. */
  readonly silentFromMs: number
  /** When the entry VM starts to shut down. */
  readonly shutdownAtMs: number
  readonly delaysMs: readonly number[]
  readonly seed: number
}

/** The part of the router interface that a mutation may wrap. */
export interface RouterLike {
  handle (event: RoutingEvent, nowMs: number): RoutingEffect[]
  nextWakeAtMs (): number | undefined
  readonly openRequests: number
}

/** A fault built into the router or the registry, to show that an invariant check detects it. */
export interface Mutation {
  readonly wrap?: (router: RequestRouter) => RouterLike
  readonly registry?: () => BackendRegistry
}

/** Record of a run, on which the invariants are checked. */
export interface RunTrace {
  readonly specs: Map<string, RequestSpec>
  /** Number of executions by request ID. */
  readonly executions: Map<string, number>
  /** Attempts for which an answer was sent to the router, as `requestId#attempt`. */
  readonly answered: Set<string>
  readonly outcomes: Array<{ requestId: string, attempt?: number, failure?: Failure }>
  /** `wasServing` is the view of the simulation, which does not depend on the registry. */
  readonly dispatches: Array<{ requestId: string, wasServing: boolean, wasGranted: boolean }>
  /** IDs of the requests whose claim was granted. */
  readonly granted: Set<string>
  readonly settled: Array<{ requestId: string, outcome: string }>
  openRequestsAtEnd: number
}

const EXPIRE_AFTER_MS = 400
const HEARTBEAT_INTERVAL_MS = 100
const END_MS = 8_000
const SERVERS = ['b1', 'b2', 'b3']

/** Settings with limits so low that a short run fills the queue, exhausts the retry budget and reaches the timeouts. */
export const smallLimitSettings: RoutingSettings = {
  ...defaultRoutingSettings, maxQueuedRequests: 6, retryBudgetMaxTokens: 8, attemptTimeoutMinMs: 60
}

/** Each server is in an availability zone of its own, which has the ID of the server as its name. */
function serverRecord (id: string, sequence: number, state: BackendServerRecord['state']): BackendServerRecord {
  return {
    backendServerId: id,
    incarnation: 1,
    sequence,
    address: `http://127.0.0.1/${id}`,
    region: id === 'b3' ? 'maldonado' : 'salto',
    availabilityZone: id,
    services: ['print'],
    slots: 2,
    connections: 2,
    state
  }
}

/** Simulates one scenario. */
export class RouterSimulation {
  readonly trace: RunTrace = {
    specs: new Map(),
    executions: new Map(),
    answered: new Set(),
    outcomes: [],
    dispatches: [],
    granted: new Set(),
    settled: [],
    openRequestsAtEnd: 0
  }

  readonly metrics = new InMemoryMetrics()
  readonly #scenario: Scenario
  readonly #router: RouterLike
  readonly #registry: BackendRegistry
  readonly #scheduledActions: Array<{ atMs: number, order: number, run: () => void }> = []
  readonly #leavingServers = new Set<string>()
  readonly #lastHeartbeatAtMs = new Map<string, number>()
  #nowMs = 0
  #scheduledCount = 0
  #attemptCount = 0
  #claimCount = 0

  constructor (scenario: Scenario, mutation: Mutation = {}) {
    this.#scenario = scenario
    this.#registry = mutation.registry?.() ?? new BackendRegistry(EXPIRE_AFTER_MS)
    const router = new RequestRouter({
      settings: smallLimitSettings,
      registry: this.#registry,
      policy: new LocalityPolicy(smallLimitSettings.randomChoices),
      random: new Random(scenario.seed),
      metrics: this.metrics,
      location: { region: 'salto', availabilityZone: 'b1' }
    })
    router.setOrganisations(new Map([['o0', 1], ['o1', 2]]))
    this.#router = mutation.wrap?.(router) ?? router
  }

  /** Runs the scenario to its end and returns the trace. */
  run (): RunTrace {
    this.#scheduleScenario()
    for (
      let nextAtMs = this.#nextActionAtMs(); nextAtMs !== undefined && nextAtMs <= END_MS;
      nextAtMs = this.#nextActionAtMs()
    ) this.#advanceTo(nextAtMs)
    this.trace.openRequestsAtEnd = this.#router.openRequests
    return this.trace
  }

  #scheduleScenario (): void {
    const { requests, leaveAtMs, shutdownAtMs, silentFromMs } = this.#scenario
    for (let atMs = 0, sequence = 1; atMs <= END_MS; atMs += HEARTBEAT_INTERVAL_MS, sequence++) {
      for (const id of SERVERS) this.#schedule(atMs, () => this.#heartbeat(id, sequence, silentFromMs))
    }
    this.#schedule(leaveAtMs, () => this.#leave('b1'))
    this.#schedule(shutdownAtMs, () => this.#send({ kind: 'drain_started' }))
    requests.forEach((plan, index) => this.#schedule(plan.atMs, () => this.#sendRequest(plan, index)))
  }

  #heartbeat (id: string, sequence: number, silentFromMs: number): void {
    if (id === 'b2' && this.#nowMs >= silentFromMs) return
    this.#lastHeartbeatAtMs.set(id, this.#nowMs)
    this.#registry.announce(serverRecord(id, sequence, 'active'), this.#nowMs)
  }

  /**
   * Announces `leaving` with a sequence older than all heartbeats, as if the record were late. It must still apply, and
   * the later heartbeats with state `active` must not undo it.
   */
  #leave (id: string): void {
    this.#leavingServers.add(id)
    this.#registry.announce(serverRecord(id, 0, 'leaving'), this.#nowMs)
  }

  #sendRequest (plan: RequestPlan, index: number): void {
    const request: RequestSpec = {
      requestId: `r${index}`,
      organisationId: `o${index % 2}`,
      service: 'print',
      requestClass: `c${index % 3}`,
      repeatability: plan.repeatability,
      ...(plan.hasKey ? { idempotencyKey: `key${index}` } : {}),
      deadlineAtMs: this.#nowMs + plan.deadlineMs
    }
    this.trace.specs.set(request.requestId, request)
    this.#send({ kind: 'arrived', request })
    const disconnect: RoutingEvent = { kind: 'caller_gone', requestId: request.requestId }
    if (plan.isCallerDisconnected) this.#schedule(this.#nowMs + this.#delayMs(), () => this.#send(disconnect))
  }

  #send (event: RoutingEvent): void {
    for (const effect of this.#router.handle(event, this.#nowMs)) this.#applyEffect(effect)
  }

  #applyEffect (effect: RoutingEffect): void {
    switch (effect.kind) {
      case 'claim': return this.#decideClaim(effect.request.requestId)
      case 'dispatch': return this.#dispatch(effect)
      case 'answer':
      case 'refuse':
        this.trace.outcomes.push(effect)
        return
      case 'settle_claim':
        this.trace.settled.push({ requestId: effect.request.requestId, outcome: effect.outcome })
    }
  }

  #decideClaim (requestId: string): void {
    const { claimBehaviours } = this.#scenario
    const behaviour = claimBehaviours[this.#claimCount++ % claimBehaviours.length]!
    const atMs = this.#nowMs + this.#delayMs() + (behaviour === 'granted_late' ? 1_000 : 0)
    const isGranted = behaviour !== 'refused'
    const failure: Failure = { kind: 'key_reused', detail: 'refused by the simulated control plane' }
    const decision = isGranted ? { kind: 'granted' as const } : { kind: 'refused' as const, failure }
    const decide = () => {
      if (isGranted) this.trace.granted.add(requestId)
      this.#send({ kind: 'claim_decided', requestId, decision })
    }
    this.#schedule(atMs, decide)
    if (behaviour === 'granted_twice') this.#schedule(atMs + this.#delayMs(), decide)
  }

  #dispatch (effect: Extract<RoutingEffect, { kind: 'dispatch' }>): void {
    const { request: { requestId }, attempt, backendServer, timeoutAtMs } = effect
    const id = backendServer.backendServerId
    const isSilent = this.#nowMs - (this.#lastHeartbeatAtMs.get(id) ?? -Infinity) >= EXPIRE_AFTER_MS
    const wasServing = !this.#leavingServers.has(id) && !isSilent
    this.trace.dispatches.push({ requestId, wasServing, wasGranted: this.trace.granted.has(requestId) })
    const behaviour = this.#scenario.attemptBehaviours[this.#attemptCount++ % this.#scenario.attemptBehaviours.length]!
    const sentAtMs = this.#nowMs + this.#delayMs()
    this.#simulateAttempt(behaviour, requestId, attempt, sentAtMs, timeoutAtMs)
  }

  #simulateAttempt (
    behaviour: AttemptBehaviour, requestId: string, attempt: number, sentAtMs: number, timeoutAtMs: number
  ): void {
    const execute = (atMs: number) => this.#schedule(atMs, () => this.#recordExecution(requestId))
    const answer = (atMs: number, status: 'success' | 'server_error' = 'success') => this.#schedule(atMs, () => {
      this.trace.answered.add(`${requestId}#${attempt}`)
      this.#send({ kind: 'answered', requestId, attempt, status })
    })
    const fail = (atMs: number, progress: 'not_sent' | 'maybe_sent', reason: AttemptFailureReason) =>
      this.#schedule(atMs, () => this.#send({ kind: 'attempt_failed', requestId, attempt, progress, reason }))
    const answeredAtMs = sentAtMs + this.#delayMs()
    if (behaviour.startsWith('answer') || behaviour === 'server_error' || behaviour === 'lost_after_execution') execute(sentAtMs)
    switch (behaviour) {
      case 'answer': return answer(answeredAtMs)
      case 'answer_twice': return [answeredAtMs, answeredAtMs + this.#delayMs()].forEach(atMs => answer(atMs))
      case 'answer_after_timeout':
        fail(timeoutAtMs, 'maybe_sent', 'attempt_timeout')
        return answer(timeoutAtMs + this.#delayMs())
      case 'answer_after_loss':
        fail(sentAtMs, 'maybe_sent', 'connection_lost')
        return answer(answeredAtMs)
      case 'server_error': return answer(answeredAtMs, 'server_error')
      case 'connect_failed': return fail(sentAtMs, 'not_sent', 'connect_failed')
      case 'rejected': return fail(answeredAtMs, 'maybe_sent', 'rejected')
      case 'rejected_then_timeout':
        fail(answeredAtMs, 'maybe_sent', 'rejected')
        return fail(timeoutAtMs, 'maybe_sent', 'attempt_timeout')
      case 'lost_before_execution': return fail(sentAtMs, 'maybe_sent', 'connection_lost')
      case 'lost_after_execution': return fail(answeredAtMs, 'maybe_sent', 'connection_lost')
      case 'executed_after_timeout':
        fail(timeoutAtMs, 'maybe_sent', 'attempt_timeout')
        return execute(timeoutAtMs + this.#delayMs())
      case 'no_report': return execute(answeredAtMs)
    }
  }

  #recordExecution (requestId: string): void {
    this.trace.executions.set(requestId, (this.trace.executions.get(requestId) ?? 0) + 1)
  }

  #delayMs (): number {
    const { delaysMs } = this.#scenario
    return delaysMs[this.#scheduledCount % delaysMs.length]!
  }

  #schedule (atMs: number, run: () => void): void {
    this.#scheduledActions.push({ atMs, order: this.#scheduledCount++, run })
  }

  #nextActionAtMs (): number | undefined {
    const times = this.#scheduledActions.map(each => each.atMs)
    const wakeAtMs = this.#router.nextWakeAtMs()
    if (wakeAtMs !== undefined) times.push(wakeAtMs)
    return times.length === 0 ? undefined : Math.max(this.#nowMs, Math.min(...times))
  }

  #advanceTo (atMs: number): void {
    this.#nowMs = atMs
    const due = this.#scheduledActions.filter(each => each.atMs <= atMs).sort((left, right) => left.order - right.order)
    for (const each of due) {
      this.#scheduledActions.splice(this.#scheduledActions.indexOf(each), 1)
      each.run()
    }
    if ((this.#router.nextWakeAtMs() ?? Infinity) <= atMs) this.#send({ kind: 'tick' })
  }
}

/**
 * Checks a property of a run; returns the ID of a request that violates it, or another description of the violation.
 */
export type Invariant = (trace: RunTrace) => string | undefined

/** All invariants by name. */
export const invariants = {
  atMostOnce: trace => findViolation(trace, spec =>
    spec.repeatability === 'non-repeatable' && executionCount(trace, spec) > 1),
  neverRunAfterNotRun: trace => trace.outcomes.find(({ requestId, failure }) =>
    failure !== undefined && errorTable[failure.kind].outcome === 'not_run' &&
    (trace.executions.get(requestId) ?? 0) > 0)?.requestId,
  exactlyOneOutcome: trace => findViolation(trace, spec =>
    trace.outcomes.filter(each => each.requestId === spec.requestId).length !== 1),
  answerFromBackendServer: trace => trace.outcomes.find(({ requestId, attempt }) =>
    attempt !== undefined && !trace.answered.has(`${requestId}#${attempt}`))?.requestId,
  claimedBeforeDispatch: trace => trace.dispatches.find(({ requestId, wasGranted }) =>
    needsClaim(trace.specs.get(requestId)!) && !wasGranted)?.requestId,
  claimSettledOnce: trace => findViolation(trace, ({ requestId }) =>
    trace.settled.filter(each => each.requestId === requestId).length !== (trace.granted.has(requestId) ? 1 : 0)),
  claimSettledCorrectly: trace => trace.settled.find(({ requestId, outcome }) => {
    const wasRun = (trace.executions.get(requestId) ?? 0) > 0
    return outcome === 'not_run' ? wasRun : outcome === 'completed' && !wasRun
  })?.requestId,
  onlyServingServers: trace => trace.dispatches.find(each => !each.wasServing)?.requestId,
  everyRequestEnds: trace => trace.openRequestsAtEnd === 0 ? undefined : `${trace.openRequestsAtEnd} requests`
} satisfies Record<string, Invariant>

export type InvariantName = keyof typeof invariants

function findViolation (trace: RunTrace, isViolated: (spec: RequestSpec) => boolean): string | undefined {
  return [...trace.specs.values()].find(isViolated)?.requestId
}

function executionCount (trace: RunTrace, spec: RequestSpec): number {
  return trace.executions.get(spec.requestId) ?? 0
}

function needsClaim (spec: RequestSpec): boolean {
  return spec.repeatability === 'non-repeatable' && spec.idempotencyKey !== undefined
}
