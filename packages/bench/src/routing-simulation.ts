/** Simulation of entry nodes with a router each, backend servers, callers and the network between them. */
import { InMemoryMetrics, Random, type BackendServerRecord, type RequestSpec } from '@comfreygrade/core'
import {
  BackendRegistry, defaultRoutingSettings, LocalityPolicy, RequestRouter, RoundRobinPolicy,
  type AttemptFailureReason, type LoadReport, type RoutingEffect, type RoutingEvent, type RoutingPolicy,
  type RoutingSettings
} from '@comfreygrade/routing'
import { EventQueue } from './routing-event-queue.js'
import {
  clientDelayMs, drawArrival, drawInterarrivalMs, drawLongRequest, drawWeighted, loadFactor, loadSpike,
  longRequestBurst, meanServiceMs, organisationShares, regionShares, type Deployment, type PlannedArrival
} from './routing-load.js'
import { computeMeasures, type Measures, type RequestTrace } from './routing-measures.js'
import { SimulatedServer, type ServerResult } from './routing-servers.js'

/** Policy of the routers under test. */
export type PolicyName = 'locality' | 'round_robin'

/** Options of {@link RoutingSimulation}. */
export interface RoutingSimulationOptions {
  readonly seed: number
  readonly deployment: Deployment
  /** Factor on 8 entry nodes, 30 backend servers and their load. */
  readonly size: number
  readonly policy: PolicyName
  readonly settings?: Partial<RoutingSettings>
  readonly isLoadShared?: boolean
  /** If false, the routers see all requests as of one organisation, so that no organisation gets a fair share. */
  readonly hasFairQueue?: boolean
}

const ENTRY_NODES = 8
const BACKEND_SERVERS = 30
const SLOTS_PER_SERVER = 8
const CONNECTIONS_PER_SERVER = 60
const REGIONS = ['r1', 'r2', 'r3']
const ZONES = ['a', 'b']
const SERVICE = 'work'
/** Share of all slots in use at normal load. The tenfold load of the spike exceeds the capacity. */
const NORMAL_UTILISATION = 0.18
const SAME_ZONE_DELAY_MS = 0.2
const CROSS_ZONE_DELAY_MS = 1
const CROSS_REGION_DELAY_MS = 12
const HEARTBEAT_INTERVAL_MS = 1_000
const RECORD_EXPIRY_MS = 3_000
const GOSSIP_INTERVAL_MS = 200
/** Time to commit a claim over three regions. */
const CLAIM_COMMIT_MS = 26
/** Time for outstanding requests to end after the last arrival; the longest deadline is 20 s. */
const AFTER_ARRIVALS_MS = 22_000
const FAST_FAILURE_PERIOD = { fromMs: 2_000, untilMs: 12_000 }
const SLOW_PERIOD = { fromMs: 3_000, untilMs: 18_000 }
const FREEZE_PERIOD = { fromMs: 3_000, untilMs: 9_000 }
const DEPARTURES = { firstAtMs: 2_500, intervalMs: 1_500, stoppedAfterMs: 2_000, restartedAfterMs: 5_000, count: 3 }

/** An entry node with its router, registry and single wake-up timer. */
class EntryNode {
  readonly nodeId: string
  readonly region: string
  readonly availabilityZone: string
  readonly registry = new BackendRegistry(RECORD_EXPIRY_MS)
  readonly metrics = new InMemoryMetrics()
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

export class RoutingSimulation {
  readonly #options: RoutingSimulationOptions
  readonly #settings: RoutingSettings
  readonly #events = new EventQueue()
  readonly #random: Random
  readonly #nodes: EntryNode[] = []
  readonly #servers = new Map<string, SimulatedServer>()
  readonly #traces = new Map<string, RequestTrace>()
  readonly #attemptResults = new Map<string, 'success' | 'server_error'>()
  #dispatches = 0
  #crossRegionDispatches = 0
  #routerMs = 0
  #reports = 0
  #reportBytes = 0

  constructor (options: RoutingSimulationOptions) {
    this.#options = options
    this.#settings = { ...defaultRoutingSettings, ...options.settings }
    this.#random = new Random(options.seed)
    for (let index = 0; index < ENTRY_NODES * options.size; index++) this.#addEntryNode(index)
    for (let index = 0; index < BACKEND_SERVERS * options.size; index++) this.#addServer(index)
  }

  /** Runs the simulation to its end and returns its measures. */
  run (): Measures {
    this.#scheduleMembership()
    this.#scheduleFaults()
    this.#generateArrivals()
    this.#scheduleLongRequestBurst()
    this.#events.runUntil(loadSpike.arrivalsEndMs + AFTER_ARRIVALS_MS)
    return computeMeasures([...this.#traces.values()], {
      dispatches: this.#dispatches,
      crossRegionDispatches: this.#crossRegionDispatches,
      retries: this.#countRetries(),
      routerMs: this.#routerMs,
      reports: this.#reports,
      reportBytes: this.#reportBytes
    })
  }

  #addEntryNode (index: number): void {
    const isLocality = this.#options.policy === 'locality'
    const policy = isLocality ? new LocalityPolicy(this.#settings.randomChoices) : new RoundRobinPolicy()
    const node = new EntryNode(index, this.#settings, policy, this.#options.seed * 1_000 + index)
    const organisations = this.#options.hasFairQueue === false ? ['all'] : [...organisationShares.keys()]
    node.router.setOrganisations(new Map(organisations.map(each => [each, 1])))
    this.#nodes.push(node)
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
      slots: SLOTS_PER_SERVER,
      connections: CONNECTIONS_PER_SERVER,
      state: 'active'
    }
    this.#servers.set(record.backendServerId, new SimulatedServer(record, this.#events))
    for (const node of this.#nodes) node.registry.announce(record, 0)
  }

  /** Schedules heartbeats, gossip and load reports. */
  #scheduleMembership (): void {
    for (const server of this.#servers.values()) this.#scheduleHeartbeats(server)
    for (const node of this.#nodes) {
      this.#scheduleRepeating(GOSSIP_INTERVAL_MS, () => this.#gossip(node))
      if (this.#options.isLoadShared === false) continue
      this.#scheduleRepeating(this.#settings.loadShareIntervalMs, () => this.#shareLoad(node))
    }
  }

  #scheduleHeartbeats (server: SimulatedServer): void {
    this.#scheduleRepeating(HEARTBEAT_INTERVAL_MS, () => {
      if (server.behaviour !== 'stopped' && server.record.state === 'active') this.#announce(server.nextRecord())
    })
  }

  /** Starts at a random phase, so that the nodes do not act at the same time. */
  #scheduleRepeating (intervalMs: number, callback: () => void): void {
    const repeat = (): void => {
      callback()
      if (this.#events.nowMs < loadSpike.arrivalsEndMs) this.#events.schedule(this.#events.nowMs + intervalMs, repeat)
    }
    this.#events.schedule(this.#random.nextFloat() * intervalMs, repeat)
  }

  /** A heartbeat reaches one entry node through the load balancer; a departure is gossiped at once. */
  #announce (record: BackendServerRecord): void {
    const node = this.#nodes[this.#random.nextInt(0, this.#nodes.length - 1)]!
    node.registry.announce(record, this.#events.nowMs)
    this.#scheduleWake(node)
    if (record.state === 'leaving') this.#gossip(node)
  }

  #gossip (node: EntryNode): void {
    const batch = node.registry.changedSince(node.gossipedVersion, this.#events.nowMs)
    node.gossipedVersion = batch.version
    if (batch.records.length === 0) return
    this.#sendToPeers(node, peer => {
      for (const { record, ageMs } of batch.records) peer.registry.announce(record, this.#events.nowMs, ageMs)
    })
  }

  #shareLoad (node: EntryNode): void {
    const report: LoadReport = node.router.nextLoadReport(this.#settings.loadShareMaxBytes, this.#events.nowMs)
    if (report.entries.length === 0) return
    this.#reports++
    this.#reportBytes += JSON.stringify(report).length
    this.#sendToPeers(node, peer => peer.router.applyPeerLoadReport(node.nodeId, report, this.#events.nowMs))
  }

  #sendToPeers (node: EntryNode, deliver: (peer: EntryNode) => void): void {
    for (const peer of this.#nodes) {
      if (peer === node) continue
      this.#events.schedule(this.#events.nowMs + oneWayDelayMs(node, peer), () => {
        deliver(peer)
        this.#scheduleWake(peer)
      })
    }
  }

  #scheduleFaults (): void {
    const servers = [...this.#servers.values()]
    const { size } = this.#options
    for (const server of servers.slice(0, size)) this.#scheduleFault(server, 'fails_fast', FAST_FAILURE_PERIOD)
    for (const server of servers.slice(size, 2 * size)) this.#scheduleFault(server, 'frozen', FREEZE_PERIOD)
    for (const server of servers.slice(2 * size, 3 * size)) this.#scheduleFault(server, 'slow', SLOW_PERIOD)
    for (let index = 0; index < DEPARTURES.count * size; index++) {
      const leavesAtMs = DEPARTURES.firstAtMs + DEPARTURES.intervalMs * Math.floor(index / size)
      this.#scheduleDeparture(servers[3 * size + index]!, leavesAtMs)
    }
  }

  #scheduleFault (server: SimulatedServer, behaviour: 'fails_fast' | 'frozen' | 'slow', period: Period): void {
    this.#events.schedule(period.fromMs, () => server.setBehaviour(behaviour))
    this.#events.schedule(period.untilMs, () => server.setBehaviour('normal'))
  }

  #scheduleDeparture (server: SimulatedServer, leavesAtMs: number): void {
    this.#events.schedule(leavesAtMs, () => this.#announce(server.startLeaving()))
    this.#events.schedule(leavesAtMs + DEPARTURES.stoppedAfterMs, () => server.setBehaviour('stopped'))
    this.#events.schedule(leavesAtMs + DEPARTURES.restartedAfterMs, () => this.#announce(server.restart()))
  }

  #generateArrivals (): void {
    const { nowMs } = this.#events
    if (nowMs >= loadSpike.arrivalsEndMs) return
    this.#submit(drawArrival(this.#random))
    const slots = BACKEND_SERVERS * this.#options.size * SLOTS_PER_SERVER
    const perSecond = slots * NORMAL_UTILISATION / meanServiceMs() * 1000 * loadFactor(nowMs)
    this.#events.schedule(nowMs + drawInterarrivalMs(this.#random, perSecond), () => this.#generateArrivals())
  }

  #scheduleLongRequestBurst (): void {
    for (let index = 0; index < longRequestBurst.requests * this.#options.size; index++) {
      const atMs = longRequestBurst.atMs + this.#random.nextFloat() * longRequestBurst.durationMs
      this.#events.schedule(atMs, () => this.#submit(drawLongRequest(this.#random)))
    }
  }

  #submit (arrival: PlannedArrival): void {
    const region = drawWeighted(this.#random, REGIONS.map((each, index) => [each, regionShares[index]!]))
    // A caller sends to an entry node of its own region.
    const regionalNodes = this.#nodes.filter(node => node.region === region)
    const node = regionalNodes[this.#random.nextInt(0, regionalNodes.length - 1)]!
    const requestId = `q${this.#traces.size}`
    const sentAtMs = this.#events.nowMs
    const deadlineAtMs = sentAtMs + arrival.kind.deadlineMs
    this.#traces.set(requestId, { arrival, sentAtMs, deadlineAtMs, outcomeCount: 0, executionCount: 0 })
    const request: RequestSpec = {
      requestId,
      organisationId: this.#options.hasFairQueue === false ? 'all' : arrival.organisationId,
      service: SERVICE,
      requestClass: arrival.kind.requestClass,
      repeatability: arrival.repeatability,
      ...(arrival.hasIdempotencyKey ? { idempotencyKey: requestId } : {}),
      deadlineAtMs: deadlineAtMs - this.#clientDelayMs
    }
    this.#events.schedule(sentAtMs + this.#clientDelayMs, () => this.#handle(node, { kind: 'arrived', request }))
  }

  get #clientDelayMs (): number {
    return clientDelayMs[this.#options.deployment]
  }

  #handle (node: EntryNode, event: RoutingEvent): void {
    const startedMs = performance.now()
    const effects = node.router.handle(event, this.#events.nowMs)
    this.#routerMs += performance.now() - startedMs
    for (const effect of effects) this.#execute(node, effect)
    this.#scheduleWake(node)
  }

  #scheduleWake (node: EntryNode): void {
    const wakeAtMs = node.router.nextWakeAtMs()
    if (wakeAtMs === undefined || wakeAtMs >= node.wakeAtMs) return
    node.wakeAtMs = wakeAtMs
    this.#events.schedule(wakeAtMs, () => {
      if (node.wakeAtMs !== wakeAtMs) return
      node.wakeAtMs = Infinity
      this.#handle(node, { kind: 'tick' })
    })
  }

  #execute (node: EntryNode, effect: RoutingEffect): void {
    switch (effect.kind) {
      case 'claim': {
        const { requestId } = effect.request
        const decided: RoutingEvent = { kind: 'claim_decided', requestId, decision: { kind: 'granted' } }
        return this.#events.schedule(this.#events.nowMs + CLAIM_COMMIT_MS, () => this.#handle(node, decided))
      }
      case 'dispatch': return this.#dispatch(node, effect)
      case 'answer': return this.#recordOutcome(effect.requestId, this.#attemptResults.get(`${effect.requestId}#${effect.attempt}`)!)
      case 'refuse': return this.#recordOutcome(effect.requestId, effect.failure.kind)
      case 'settle_claim':
    }
  }

  #recordOutcome (requestId: string, outcome: NonNullable<RequestTrace['outcome']>): void {
    const trace = this.#traces.get(requestId)!
    trace.outcomeCount++
    trace.outcome = outcome
    trace.endedAtMs = this.#events.nowMs + this.#clientDelayMs
  }

  #dispatch (node: EntryNode, effect: Extract<RoutingEffect, { kind: 'dispatch' }>): void {
    const { request: { requestId }, attempt, backendServer, timeoutAtMs } = effect
    const trace = this.#traces.get(requestId)!
    const server = this.#servers.get(backendServer.backendServerId)!
    const delayMs = oneWayDelayMs(node, backendServer)
    this.#dispatches++
    if (backendServer.region !== node.region) this.#crossRegionDispatches++
    let isOpen = true
    const reportOnce = (event: RoutingEvent): void => {
      if (!isOpen) return
      isOpen = false
      this.#handle(node, event)
    }
    const onEnded = (result: ServerResult): void => this.#events.schedule(this.#events.nowMs + delayMs, () => {
      if (isOpen && (result === 'success' || result === 'server_error')) {
        this.#attemptResults.set(`${requestId}#${attempt}`, result)
      }
      reportOnce(toRoutingEvent(requestId, attempt, result))
    })
    const onStarted = (): void => { trace.executionCount++ }
    this.#events.schedule(this.#events.nowMs + delayMs, () =>
      server.handle({ serviceMs: trace.arrival.serviceMs, onStarted, onEnded }))
    this.#events.schedule(timeoutAtMs, () => reportOnce(attemptFailed(requestId, attempt, 'maybe_sent', 'attempt_timeout')))
  }

  #countRetries (): number {
    return this.#nodes.flatMap(node => Object.entries(node.metrics.snapshot()))
      .filter(([name]) => name.startsWith('retry{'))
      .reduce((sum, [, count]) => sum + count, 0)
  }
}

function toRoutingEvent (requestId: string, attempt: number, result: ServerResult): RoutingEvent {
  switch (result) {
    case 'connect_failed': return attemptFailed(requestId, attempt, 'not_sent', 'connect_failed')
    case 'rejected': return attemptFailed(requestId, attempt, 'maybe_sent', 'rejected')
    default: return { kind: 'answered', requestId, attempt, status: result }
  }
}

function attemptFailed (
  requestId: string, attempt: number, progress: 'not_sent' | 'maybe_sent', reason: AttemptFailureReason
): RoutingEvent {
  return { kind: 'attempt_failed', requestId, attempt, progress, reason }
}

interface Period { readonly fromMs: number, readonly untilMs: number }

interface Location { readonly region: string, readonly availabilityZone: string }

function oneWayDelayMs (from: Location, to: Location): number {
  if (from.region !== to.region) return CROSS_REGION_DELAY_MS
  return from.availabilityZone === to.availabilityZone ? SAME_ZONE_DELAY_MS : CROSS_ZONE_DELAY_MS
}
