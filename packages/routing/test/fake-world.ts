/** Fake front end, claims and backend servers that record what they really executed. */
import {
  CountingMetrics, errorTable, Random, type BackendServerRecord, type Failure, type Repeatability, type RequestSpec
} from '@comfreygrade/core'
import {
  BackendRegistry, defaultRoutingSettings, LocalityPolicy, RequestRouter,
  type AttemptFailureReason, type RoutingEffect, type RoutingEvent, type RoutingSettings
} from '../src/index.js'

/** What happens to one dispatch. */
export type Fate =
  | 'answer' | 'answer_twice' | 'answer_after_timeout' | 'answer_after_loss' | 'server_error'
  | 'connect_failed' | 'rejected' | 'rejected_then_timeout' | 'lost_before_execution' | 'lost_after_execution'
  | 'executed_after_timeout' | 'no_report'

/** What happens to one claim. */
export type ClaimFate = 'granted' | 'granted_twice' | 'granted_late' | 'refused'

/** One request of a scenario. */
export interface PlannedRequest {
  readonly atMs: number
  readonly repeatability: Repeatability
  readonly hasKey: boolean
  readonly deadlineMs: number
  readonly isCallerGone: boolean
}

/** A whole run; fates are used in turn. */
export interface Scenario {
  readonly requests: readonly PlannedRequest[]
  readonly fates: readonly Fate[]
  readonly claimFates: readonly ClaimFate[]
  readonly leaveAtMs: number
  readonly silentFromMs: number
  readonly drainAtMs: number
  readonly delaysMs: readonly number[]
  readonly seed: number
}

/** The part of a router that a test may wrap. */
export interface RouterLike {
  handle (event: RoutingEvent, nowMs: number): RoutingEffect[]
  nextWakeAtMs (): number | undefined
  readonly openRequests: number
}

/** How a test builds a faulty system, to show that a checker can fail. */
export interface Mutation {
  readonly wrap?: (router: RequestRouter) => RouterLike
  readonly registry?: () => BackendRegistry
}

/** Everything that the checkers look at. */
export interface RunRecord {
  readonly specs: Map<string, RequestSpec>
  readonly executions: Map<string, number>
  readonly answered: Set<string>
  readonly outcomes: Array<{ requestId: string, attempt?: number, failure?: Failure }>
  readonly dispatches: Array<{ requestId: string, wasServing: boolean, wasGranted: boolean }>
  readonly granted: Set<string>
  readonly settled: Array<{ requestId: string, outcome: string }>
  openAtEnd: number
}

const EXPIRE_AFTER_MS = 400
const HEARTBEAT_MS = 100
const END_MS = 8_000
const SERVERS = ['b1', 'b2', 'b3']

/** Settings under which the queue, the budget and the timeouts are reached within a short run. */
export const tightSettings: RoutingSettings = {
  ...defaultRoutingSettings, maxQueuedRequests: 6, retryBudgetMaxTokens: 8, attemptTimeoutMinMs: 60
}

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

/** Runs one scenario to its end. */
export class FakeWorld {
  readonly record: RunRecord = {
    specs: new Map(),
    executions: new Map(),
    answered: new Set(),
    outcomes: [],
    dispatches: [],
    granted: new Set(),
    settled: [],
    openAtEnd: 0
  }

  readonly metrics = new CountingMetrics()
  readonly #scenario: Scenario
  readonly #router: RouterLike
  readonly #registry: BackendRegistry
  readonly #agenda: Array<{ atMs: number, order: number, run: () => void }> = []
  readonly #goneServers = new Set<string>()
  readonly #heardAtMs = new Map<string, number>()
  #nowMs = 0
  #order = 0
  #fates = 0
  #claims = 0

  constructor (scenario: Scenario, mutation: Mutation = {}) {
    this.#scenario = scenario
    this.#registry = mutation.registry?.() ?? new BackendRegistry(EXPIRE_AFTER_MS)
    const router = new RequestRouter({
      settings: tightSettings,
      registry: this.#registry,
      policy: new LocalityPolicy(tightSettings.randomChoices),
      random: new Random(scenario.seed),
      metrics: this.metrics,
      location: { region: 'salto', availabilityZone: 'b1' }
    })
    router.setOrganisations(new Map([['o0', 1], ['o1', 2]]))
    this.#router = mutation.wrap?.(router) ?? router
  }

  /** Plays the scenario and returns what happened. */
  run (): RunRecord {
    this.#plan()
    for (let next = this.#next(); next !== undefined && next <= END_MS; next = this.#next()) this.#advance(next)
    this.record.openAtEnd = this.#router.openRequests
    return this.record
  }

  #plan (): void {
    const { requests, leaveAtMs, drainAtMs, silentFromMs } = this.#scenario
    for (let atMs = 0, sequence = 1; atMs <= END_MS; atMs += HEARTBEAT_MS, sequence++) {
      for (const id of SERVERS) this.#at(atMs, () => this.#heartbeat(id, sequence, silentFromMs))
    }
    this.#at(leaveAtMs, () => this.#leave('b1'))
    this.#at(drainAtMs, () => this.#send({ kind: 'drain_started' }))
    requests.forEach((planned, index) => this.#at(planned.atMs, () => this.#arrive(planned, index)))
  }

  #heartbeat (id: string, sequence: number, silentFromMs: number): void {
    if (id === 'b2' && this.#nowMs >= silentFromMs) return
    this.#heardAtMs.set(id, this.#nowMs)
    this.#registry.announce(serverRecord(id, sequence, 'active'), this.#nowMs)
  }

  #leave (id: string): void {
    this.#goneServers.add(id)
    this.#registry.announce(serverRecord(id, 0, 'leaving'), this.#nowMs)
  }

  #arrive (planned: PlannedRequest, index: number): void {
    const request: RequestSpec = {
      requestId: `r${index}`,
      organisationId: `o${index % 2}`,
      service: 'print',
      requestClass: `c${index % 3}`,
      repeatability: planned.repeatability,
      ...(planned.hasKey ? { idempotencyKey: `key${index}` } : {}),
      deadlineAtMs: this.#nowMs + planned.deadlineMs
    }
    this.record.specs.set(request.requestId, request)
    this.#send({ kind: 'arrived', request })
    const gone: RoutingEvent = { kind: 'caller_gone', requestId: request.requestId }
    if (planned.isCallerGone) this.#at(this.#nowMs + this.#delayMs(), () => this.#send(gone))
  }

  #send (event: RoutingEvent): void {
    for (const effect of this.#router.handle(event, this.#nowMs)) this.#execute(effect)
  }

  #execute (effect: RoutingEffect): void {
    switch (effect.kind) {
      case 'claim': return this.#decideClaim(effect.request.requestId)
      case 'dispatch': return this.#dispatch(effect)
      case 'answer':
      case 'refuse':
        this.record.outcomes.push(effect)
        return
      case 'settle_claim':
        this.record.settled.push({ requestId: effect.request.requestId, outcome: effect.outcome })
    }
  }

  #decideClaim (requestId: string): void {
    const { claimFates } = this.#scenario
    const fate = claimFates[this.#claims++ % claimFates.length]!
    const atMs = this.#nowMs + this.#delayMs() + (fate === 'granted_late' ? 1_000 : 0)
    const isGranted = fate !== 'refused'
    const failure: Failure = { kind: 'key_reused', detail: 'refused by the fake control' }
    const decision = isGranted ? { kind: 'granted' as const } : { kind: 'refused' as const, failure }
    const decide = () => {
      if (isGranted) this.record.granted.add(requestId)
      this.#send({ kind: 'claim_decided', requestId, decision })
    }
    this.#at(atMs, decide)
    if (fate === 'granted_twice') this.#at(atMs + this.#delayMs(), decide)
  }

  #dispatch (effect: Extract<RoutingEffect, { kind: 'dispatch' }>): void {
    const { request: { requestId }, attempt, backendServer, timeoutAtMs } = effect
    const id = backendServer.backendServerId
    const isSilent = this.#nowMs - (this.#heardAtMs.get(id) ?? -Infinity) >= EXPIRE_AFTER_MS
    const wasServing = !this.#goneServers.has(id) && !isSilent
    this.record.dispatches.push({ requestId, wasServing, wasGranted: this.record.granted.has(requestId) })
    const fate = this.#scenario.fates[this.#fates++ % this.#scenario.fates.length]!
    const sentMs = this.#nowMs + this.#delayMs()
    this.#meet(fate, requestId, attempt, sentMs, timeoutAtMs)
  }

  #meet (fate: Fate, requestId: string, attempt: number, sentMs: number, timeoutAtMs: number): void {
    const run = (atMs: number) => this.#at(atMs, () => this.#runWork(requestId))
    const answer = (atMs: number, quality: 'success' | 'server_error' = 'success') => this.#at(atMs, () => {
      this.record.answered.add(`${requestId}#${attempt}`)
      this.#send({ kind: 'answered', requestId, attempt, quality })
    })
    const fail = (atMs: number, progress: 'not_sent' | 'maybe_sent', reason: AttemptFailureReason) =>
      this.#at(atMs, () => this.#send({ kind: 'attempt_failed', requestId, attempt, progress, reason }))
    const answeredMs = sentMs + this.#delayMs()
    if (fate.startsWith('answer') || fate === 'server_error' || fate === 'lost_after_execution') run(sentMs)
    switch (fate) {
      case 'answer': return answer(answeredMs)
      case 'answer_twice': return [answeredMs, answeredMs + this.#delayMs()].forEach(atMs => answer(atMs))
      case 'answer_after_timeout':
        fail(timeoutAtMs, 'maybe_sent', 'attempt_timeout')
        return answer(timeoutAtMs + this.#delayMs())
      case 'answer_after_loss':
        fail(sentMs, 'maybe_sent', 'connection_lost')
        return answer(answeredMs)
      case 'server_error': return answer(answeredMs, 'server_error')
      case 'connect_failed': return fail(sentMs, 'not_sent', 'connect_failed')
      case 'rejected': return fail(answeredMs, 'maybe_sent', 'rejected')
      case 'rejected_then_timeout':
        fail(answeredMs, 'maybe_sent', 'rejected')
        return fail(timeoutAtMs, 'maybe_sent', 'attempt_timeout')
      case 'lost_before_execution': return fail(sentMs, 'maybe_sent', 'connection_lost')
      case 'lost_after_execution': return fail(answeredMs, 'maybe_sent', 'connection_lost')
      case 'executed_after_timeout':
        fail(timeoutAtMs, 'maybe_sent', 'attempt_timeout')
        return run(timeoutAtMs + this.#delayMs())
      case 'no_report': return run(answeredMs)
    }
  }

  #runWork (requestId: string): void {
    this.record.executions.set(requestId, (this.record.executions.get(requestId) ?? 0) + 1)
  }

  #delayMs (): number {
    const { delaysMs } = this.#scenario
    return delaysMs[this.#order % delaysMs.length]!
  }

  #at (atMs: number, run: () => void): void {
    this.#agenda.push({ atMs, order: this.#order++, run })
  }

  #next (): number | undefined {
    const times = this.#agenda.map(each => each.atMs)
    const wakeAtMs = this.#router.nextWakeAtMs()
    if (wakeAtMs !== undefined) times.push(wakeAtMs)
    return times.length === 0 ? undefined : Math.max(this.#nowMs, Math.min(...times))
  }

  #advance (atMs: number): void {
    this.#nowMs = atMs
    const due = this.#agenda.filter(each => each.atMs <= atMs).sort((left, right) => left.order - right.order)
    for (const each of due) {
      this.#agenda.splice(this.#agenda.indexOf(each), 1)
      each.run()
    }
    if ((this.#router.nextWakeAtMs() ?? Infinity) <= atMs) this.#send({ kind: 'tick' })
  }
}

/** A statement about a run; returns the request that contradicts it. */
export type Checker = (record: RunRecord) => string | undefined

/** Every property of a run, by name. */
export const checkers = {
  atMostOnce: record => find(record, spec => spec.repeatability === 'non-repeatable' && runs(record, spec) > 1),
  notRunIsTrue: record => record.outcomes.find(({ requestId, failure }) =>
    failure !== undefined && errorTable[failure.kind].outcome === 'not_run' &&
    (record.executions.get(requestId) ?? 0) > 0)?.requestId,
  exactlyOneOutcome: record => find(record, spec =>
    record.outcomes.filter(each => each.requestId === spec.requestId).length !== 1),
  answerIsOwn: record => record.outcomes.find(({ requestId, attempt }) =>
    attempt !== undefined && !record.answered.has(`${requestId}#${attempt}`))?.requestId,
  claimedBeforeDispatch: record => record.dispatches.find(({ requestId, wasGranted }) =>
    needsClaim(record.specs.get(requestId)!) && !wasGranted)?.requestId,
  settledOnce: record => find(record, ({ requestId }) =>
    record.settled.filter(each => each.requestId === requestId).length !== (record.granted.has(requestId) ? 1 : 0)),
  settledTruly: record => record.settled.find(({ requestId, outcome }) => {
    const wasRun = (record.executions.get(requestId) ?? 0) > 0
    return outcome === 'not_run' ? wasRun : outcome === 'completed' && !wasRun
  })?.requestId,
  onlyServing: record => record.dispatches.find(each => !each.wasServing)?.requestId,
  nothingLeftOpen: record => record.openAtEnd === 0 ? undefined : `${record.openAtEnd} requests`
} satisfies Record<string, Checker>

/** Name of a property. */
export type CheckerName = keyof typeof checkers

function find (record: RunRecord, isWrong: (spec: RequestSpec) => boolean): string | undefined {
  return [...record.specs.values()].find(isWrong)?.requestId
}

function runs (record: RunRecord, spec: RequestSpec): number {
  return record.executions.get(spec.requestId) ?? 0
}

function needsClaim (spec: RequestSpec): boolean {
  return spec.repeatability === 'non-repeatable' && spec.idempotencyKey !== undefined
}
