/** One simulated run: entry VMs with a router each, fake backend servers, callers and the network between them. */
import { CountingMetrics, Random, type BackendServerRecord, type RequestSpec } from '@comfreygrade/core'
import {
  BackendRegistry, defaultRoutingSettings, LocalityPolicy, RequestRouter, RoundRobinPolicy,
  type AttemptFailureReason, type LoadReport, type RoutingEffect, type RoutingEvent, type RoutingPolicy,
  type RoutingSettings
} from '@comfreygrade/routing'
import { Agenda } from './routing-event-queue.js'
import {
  clientDelayMs, drawArrival, drawGapMs, drawLongArrival, loadFactor, longBurst, meanServiceMs, organisationShares,
  pick, regionShares, swing, type Deployment, type PlannedArrival
} from './routing-load.js'
import { measure, type Measures, type RequestTrace } from './routing-measures.js'
import { FakeServer, type ServerAnswer } from './routing-servers.js'

/** Policy of the routers under test. */
export type PolicyName = 'locality' | 'round_robin'

/** What one run is made of. */
export interface RunOptions {
  readonly seed: number
  readonly deployment: Deployment
  /** 1 is 8 entry VMs and 30 backend servers; 10 is ten times as many with ten times the load. */
  readonly size: number
  readonly policy: PolicyName
  readonly settings?: Partial<RoutingSettings>
  readonly isLoadShared?: boolean
  /** Without it, the routers see one organisation. */
  readonly isFair?: boolean
}

const ENTRY_VMS = 8
const BACKEND_SERVERS = 30
const SLOTS = 8
const CONNECTIONS = 60
const REGIONS = ['r1', 'r2', 'r3']
const ZONES = ['a', 'b']
const SERVICE = 'work'
/** Share of all slots in use at normal load; ten times as much is more than there are. */
const NORMAL_USE = 0.18
const SAME_ZONE_DELAY_MS = 0.2
const ZONE_DELAY_MS = 1
const REGION_DELAY_MS = 12
const HEARTBEAT_MS = 1_000
const EXPIRE_AFTER_MS = 3_000
const GOSSIP_MS = 200
/** Commit of a claim over three regions. */
const CLAIM_MS = 26
/** Time for the last requests to end after the last arrival. */
const RUN_OUT_MS = 22_000
const FAILS_FAST = { fromMs: 2_000, untilMs: 12_000 }
const SLOW = { fromMs: 3_000, untilMs: 18_000 }
const FREEZES = { fromMs: 3_000, untilMs: 9_000 }
const LEAVE = { firstAtMs: 2_500, everyMs: 1_500, goneAfterMs: 2_000, backAfterMs: 5_000, count: 3 }

/** An entry VM: its router, registry and single timer. */
class EntryVm {
  readonly nodeId: string
  readonly region: string
  readonly availabilityZone: string
  readonly registry = new BackendRegistry(EXPIRE_AFTER_MS)
  readonly metrics = new CountingMetrics()
  readonly router: RequestRouter
  gossipedVersion = 0
  wakeAtMs = Infinity

  constructor (index: number, settings: RoutingSettings, policy: RoutingPolicy, seed: number) {
    this.nodeId = `entry-${index}`
    this.region = REGIONS[index % REGIONS.length]!
    this.availabilityZone = `${this.region}-${ZONES[Math.floor(index / REGIONS.length) % ZONES.length]}`
    this.router = new RequestRouter({
      settings,
      registry: this.registry,
      policy,
      random: new Random(seed),
      metrics: this.metrics,
      location: { region: this.region, availabilityZone: this.availabilityZone }
    })
  }
}

/** A simulated system; `run` plays it to its end. */
export class RoutingWorld {
  readonly #options: RunOptions
  readonly #settings: RoutingSettings
  readonly #agenda = new Agenda()
  readonly #random: Random
  readonly #vms: EntryVm[] = []
  readonly #servers = new Map<string, FakeServer>()
  readonly #traces = new Map<string, RequestTrace>()
  readonly #lastAnswers = new Map<string, 'success' | 'server_error'>()
  #dispatches = 0
  #crossRegionDispatches = 0
  #routerMs = 0
  #reports = 0
  #reportBytes = 0

  constructor (options: RunOptions) {
    this.#options = options
    this.#settings = { ...defaultRoutingSettings, ...options.settings }
    this.#random = new Random(options.seed)
    for (let index = 0; index < ENTRY_VMS * options.size; index++) this.#addVm(index)
    for (let index = 0; index < BACKEND_SERVERS * options.size; index++) this.#addServer(index)
  }

  /** Plays the run and returns its measures. */
  run (): Measures {
    this.#planMembership()
    this.#planFaults()
    this.#planArrival()
    this.#planLongBurst()
    this.#agenda.runUntil(swing.endMs + RUN_OUT_MS)
    return measure([...this.#traces.values()], {
      dispatches: this.#dispatches,
      crossRegionDispatches: this.#crossRegionDispatches,
      retries: this.#countRetries(),
      routerMs: this.#routerMs,
      reports: this.#reports,
      reportBytes: this.#reportBytes
    })
  }

  #addVm (index: number): void {
    const isLocality = this.#options.policy === 'locality'
    const policy = isLocality ? new LocalityPolicy(this.#settings.randomChoices) : new RoundRobinPolicy()
    const vm = new EntryVm(index, this.#settings, policy, this.#options.seed * 1_000 + index)
    const organisations = this.#options.isFair === false ? ['all'] : [...organisationShares.keys()]
    vm.router.setOrganisations(new Map(organisations.map(each => [each, 1])))
    this.#vms.push(vm)
  }

  #addServer (index: number): void {
    const region = REGIONS[index % REGIONS.length]!
    const record: BackendServerRecord = {
      backendServerId: `backend-${index}`,
      incarnation: 1,
      sequence: 1,
      address: `http://127.0.0.1/${index}`,
      region,
      availabilityZone: `${region}-${ZONES[Math.floor(index / REGIONS.length) % ZONES.length]}`,
      services: [SERVICE],
      slots: SLOTS,
      connections: CONNECTIONS,
      state: 'active'
    }
    this.#servers.set(record.backendServerId, new FakeServer(record, this.#agenda))
    for (const vm of this.#vms) vm.registry.announce(record, 0)
  }

  #planMembership (): void {
    for (const server of this.#servers.values()) this.#heartbeat(server)
    for (const vm of this.#vms) {
      this.#every(GOSSIP_MS, () => this.#gossip(vm))
      if (this.#options.isLoadShared === false) continue
      this.#every(this.#settings.loadShareIntervalMs, () => this.#shareLoad(vm))
    }
  }

  #heartbeat (server: FakeServer): void {
    this.#every(HEARTBEAT_MS, () => {
      if (server.behaviour !== 'gone' && server.record.state === 'active') this.#announce(server.nextRecord())
    })
  }

  /** Starts at a random phase, so that the VMs do not act at the same moments. */
  #every (intervalMs: number, run: () => void): void {
    const repeat = (): void => {
      run()
      if (this.#agenda.nowMs < swing.endMs) this.#agenda.at(this.#agenda.nowMs + intervalMs, repeat)
    }
    this.#agenda.at(this.#random.nextFloat() * intervalMs, repeat)
  }

  /** A heartbeat reaches one entry VM through the balancer; a departure is passed on at once. */
  #announce (record: BackendServerRecord): void {
    const vm = this.#vms[this.#random.nextInt(0, this.#vms.length - 1)]!
    vm.registry.announce(record, this.#agenda.nowMs)
    this.#rewake(vm)
    if (record.state === 'leaving') this.#gossip(vm)
  }

  #gossip (vm: EntryVm): void {
    const batch = vm.registry.changedSince(vm.gossipedVersion, this.#agenda.nowMs)
    vm.gossipedVersion = batch.version
    if (batch.records.length === 0) return
    this.#toPeers(vm, peer => {
      for (const { record, ageMs } of batch.records) peer.registry.announce(record, this.#agenda.nowMs, ageMs)
    })
  }

  #shareLoad (vm: EntryVm): void {
    const report: LoadReport = vm.router.loadReport(this.#settings.loadShareMaxBytes, this.#agenda.nowMs)
    if (report.entries.length === 0) return
    this.#reports++
    this.#reportBytes += JSON.stringify(report).length
    this.#toPeers(vm, peer => peer.router.peerLoad(vm.nodeId, report, this.#agenda.nowMs))
  }

  #toPeers (vm: EntryVm, deliver: (peer: EntryVm) => void): void {
    for (const peer of this.#vms) {
      if (peer === vm) continue
      this.#agenda.at(this.#agenda.nowMs + delayMs(vm, peer), () => {
        deliver(peer)
        this.#rewake(peer)
      })
    }
  }

  #planFaults (): void {
    const servers = [...this.#servers.values()]
    const { size } = this.#options
    for (const server of servers.slice(0, size)) this.#misbehave(server, 'fails_fast', FAILS_FAST)
    for (const server of servers.slice(size, 2 * size)) this.#misbehave(server, 'frozen', FREEZES)
    for (const server of servers.slice(2 * size, 3 * size)) this.#misbehave(server, 'slow', SLOW)
    for (let index = 0; index < LEAVE.count * size; index++) {
      const leavesAtMs = LEAVE.firstAtMs + LEAVE.everyMs * Math.floor(index / size)
      this.#planDeparture(servers[3 * size + index]!, leavesAtMs)
    }
  }

  #misbehave (server: FakeServer, behaviour: 'fails_fast' | 'frozen' | 'slow', times: Period): void {
    this.#agenda.at(times.fromMs, () => server.behave(behaviour))
    this.#agenda.at(times.untilMs, () => server.behave('normal'))
  }

  #planDeparture (server: FakeServer, leavesAtMs: number): void {
    this.#agenda.at(leavesAtMs, () => this.#announce(server.leave()))
    this.#agenda.at(leavesAtMs + LEAVE.goneAfterMs, () => server.behave('gone'))
    this.#agenda.at(leavesAtMs + LEAVE.backAfterMs, () => this.#announce(server.restart()))
  }

  #planArrival (): void {
    const { nowMs } = this.#agenda
    if (nowMs >= swing.endMs) return
    this.#arrive(drawArrival(this.#random))
    const slots = BACKEND_SERVERS * this.#options.size * SLOTS
    const perSecond = slots * NORMAL_USE / meanServiceMs() * 1000 * loadFactor(nowMs)
    this.#agenda.at(nowMs + drawGapMs(this.#random, perSecond), () => this.#planArrival())
  }

  #planLongBurst (): void {
    for (let index = 0; index < longBurst.requests * this.#options.size; index++) {
      const atMs = longBurst.atMs + this.#random.nextFloat() * longBurst.durationMs
      this.#agenda.at(atMs, () => this.#arrive(drawLongArrival(this.#random)))
    }
  }

  #arrive (arrival: PlannedArrival): void {
    const region = pick(this.#random, REGIONS.map((each, index) => [each, regionShares[index]!]))
    const near = this.#vms.filter(vm => vm.region === region)
    const vm = near[this.#random.nextInt(0, near.length - 1)]!
    const requestId = `q${this.#traces.size}`
    const sentAtMs = this.#agenda.nowMs
    const deadlineAtMs = sentAtMs + arrival.kind.deadlineMs
    this.#traces.set(requestId, { arrival, sentAtMs, deadlineAtMs, outcomes: 0, executions: 0 })
    const request: RequestSpec = {
      requestId,
      organisationId: this.#options.isFair === false ? 'all' : arrival.organisationId,
      service: SERVICE,
      requestClass: arrival.kind.requestClass,
      repeatability: arrival.repeatability,
      ...(arrival.hasKey ? { idempotencyKey: requestId } : {}),
      deadlineAtMs: deadlineAtMs - this.#clientDelayMs
    }
    this.#agenda.at(sentAtMs + this.#clientDelayMs, () => this.#send(vm, { kind: 'arrived', request }))
  }

  get #clientDelayMs (): number {
    return clientDelayMs[this.#options.deployment]
  }

  #send (vm: EntryVm, event: RoutingEvent): void {
    const startedMs = performance.now()
    const effects = vm.router.handle(event, this.#agenda.nowMs)
    this.#routerMs += performance.now() - startedMs
    for (const effect of effects) this.#execute(vm, effect)
    this.#rewake(vm)
  }

  #rewake (vm: EntryVm): void {
    const wakeAtMs = vm.router.nextWakeAtMs()
    if (wakeAtMs === undefined || wakeAtMs >= vm.wakeAtMs) return
    vm.wakeAtMs = wakeAtMs
    this.#agenda.at(wakeAtMs, () => {
      if (vm.wakeAtMs !== wakeAtMs) return
      vm.wakeAtMs = Infinity
      this.#send(vm, { kind: 'tick' })
    })
  }

  #execute (vm: EntryVm, effect: RoutingEffect): void {
    switch (effect.kind) {
      case 'claim': {
        const { requestId } = effect.request
        const decided: RoutingEvent = { kind: 'claim_decided', requestId, decision: { kind: 'granted' } }
        return this.#agenda.at(this.#agenda.nowMs + CLAIM_MS, () => this.#send(vm, decided))
      }
      case 'dispatch': return this.#dispatch(vm, effect)
      case 'answer': return this.#end(effect.requestId, this.#lastAnswers.get(`${effect.requestId}#${effect.attempt}`)!)
      case 'refuse': return this.#end(effect.requestId, effect.failure.kind)
      case 'settle_claim':
    }
  }

  #end (requestId: string, outcome: NonNullable<RequestTrace['outcome']>): void {
    const trace = this.#traces.get(requestId)!
    trace.outcomes++
    trace.outcome = outcome
    trace.endedAtMs = this.#agenda.nowMs + this.#clientDelayMs
  }

  #dispatch (vm: EntryVm, effect: Extract<RoutingEffect, { kind: 'dispatch' }>): void {
    const { request: { requestId }, attempt, backendServer, timeoutAtMs } = effect
    const trace = this.#traces.get(requestId)!
    const server = this.#servers.get(backendServer.backendServerId)!
    const oneWayMs = delayMs(vm, backendServer)
    this.#dispatches++
    if (backendServer.region !== vm.region) this.#crossRegionDispatches++
    let isOpen = true
    const report = (event: RoutingEvent): void => {
      if (!isOpen) return
      isOpen = false
      this.#send(vm, event)
    }
    const ended = (answer: ServerAnswer): void => this.#agenda.at(this.#agenda.nowMs + oneWayMs, () => {
      if (isOpen && (answer === 'success' || answer === 'server_error')) {
        this.#lastAnswers.set(`${requestId}#${attempt}`, answer)
      }
      report(eventOf(requestId, attempt, answer))
    })
    const started = (): void => { trace.executions++ }
    this.#agenda.at(this.#agenda.nowMs + oneWayMs, () =>
      server.take({ serviceMs: trace.arrival.serviceMs, started, ended }))
    this.#agenda.at(timeoutAtMs, () => report(failed(requestId, attempt, 'maybe_sent', 'attempt_timeout')))
  }

  #countRetries (): number {
    return this.#vms.flatMap(vm => Object.entries(vm.metrics.snapshot()))
      .filter(([name]) => name.startsWith('retry{'))
      .reduce((sum, [, count]) => sum + count, 0)
  }
}

function eventOf (requestId: string, attempt: number, answer: ServerAnswer): RoutingEvent {
  switch (answer) {
    case 'connect_failed': return failed(requestId, attempt, 'not_sent', 'connect_failed')
    case 'rejected': return failed(requestId, attempt, 'maybe_sent', 'rejected')
    default: return { kind: 'answered', requestId, attempt, quality: answer }
  }
}

function failed (
  requestId: string, attempt: number, progress: 'not_sent' | 'maybe_sent', reason: AttemptFailureReason
): RoutingEvent {
  return { kind: 'attempt_failed', requestId, attempt, progress, reason }
}

interface Period { readonly fromMs: number, readonly untilMs: number }

interface Place { readonly region: string, readonly availabilityZone: string }

function delayMs (from: Place, to: Place): number {
  if (from.region !== to.region) return REGION_DELAY_MS
  return from.availabilityZone === to.availabilityZone ? SAME_ZONE_DELAY_MS : ZONE_DELAY_MS
}
