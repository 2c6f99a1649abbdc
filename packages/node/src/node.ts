/** Wires the components of a node together and manages its lifecycle: start, serving, graceful shutdown. */
import {
  fail, failure, succeed, type BackendServerRecord, type Clock, type Configuration, type EventLog, type Failure,
  type Random, type RequestSpec, type Result, type Rules
} from '@comfreygrade/core'
import type { ControlOperation, ControlResult, Drain } from '@comfreygrade/control'
import { BackendRegistry, LocalityPolicy, RequestRouter, type RoutingSettings } from '@comfreygrade/routing'
import { pause, startInterval } from '@comfreygrade/timers'
import { Application, type BackendServerAnnouncement, type HeartbeatIntervals, type NodeStatus } from './application.js'
import { BackendClient } from './backend-client.js'
import { ConfigurationCopy } from './configuration-copy.js'
import { isConsensusMessage, isVoter } from './consensus-message-check.js'
import { ControlClient } from './control-client.js'
import type { ControlService } from './control-service.js'
import { HttpApi } from './http-api.js'
import { BackendStateBroadcast } from './backend-state-broadcast.js'
import { ClientGuard } from './client-guard.js'
import { PeerLinks } from './peer-links.js'
import type { PeerMessage } from './peer-messages.js'
import { RequestService, type RequestResult } from './request-service.js'
import type { Settings } from './settings.js'
import type { StatsdMetrics } from './statsd-metrics.js'

/** Creates the control service with access to the links of its node. */
export type ControlFactory = (connections: {
  readonly send: (nodeId: string, message: PeerMessage) => boolean
  readonly deliverFeedLocally: (feed: Extract<PeerMessage, { kind: 'feed' }>) => void
}) => ControlService

/** Options of {@link Node}. */
export interface NodeOptions {
  readonly settings: Settings
  readonly routingSettings: RoutingSettings
  readonly clock: Clock
  readonly random: Random
  readonly metrics: StatsdMetrics
  readonly log: EventLog
  /** Absent on nodes without the control role. */
  readonly createControl?: ControlFactory
}

/** Interval at which a control node repeats `hello`, so that its peers learn of its bootstrap or new disk. */
const HELLO_INTERVAL_MS = 1_000
/**
 * Interval once every control node is a voter with its current disk (`isVoterSetStable`). A `hello` contains the voter
 * set, so that frequent ones cost traffic: one to each of 39 peers every second takes more than 12 KB/s.
 */
const STABLE_HELLO_INTERVAL_MS = 10_000
/** Interval at which a graceful shutdown checks whether all requests have completed. */
const SHUTDOWN_POLL_INTERVAL_MS = 20
/** Time that a shutdown leaves for the transfer of leadership to reach the peers. */
const STEP_DOWN_DELAY_MS = 200

/** A node of the system: every node serves HTTP, and one with the control role also runs a {@link ControlService}. */
export class Node extends Application {
  readonly #options: NodeOptions
  readonly #configuration: ConfigurationCopy
  readonly #registry: BackendRegistry
  readonly #router: RequestRouter
  readonly #requests: RequestService
  readonly #backendClient: BackendClient
  readonly #links: PeerLinks
  readonly #control: ControlService | undefined
  readonly #controlClient: ControlClient
  readonly #backendBroadcast: BackendStateBroadcast
  readonly #http: HttpApi
  readonly #startedAtMs: number
  #phase: Exclude<NodeStatus['state'], 'drained'> = 'starting'
  #feedTimer: NodeJS.Timeout | undefined
  #helloTimer: NodeJS.Timeout | undefined
  #lastHelloAtMs = -Infinity

  constructor (options: NodeOptions) {
    super()
    const { settings, clock, metrics, log } = options
    const { node, timing, limits } = settings
    this.#options = options
    this.#startedAtMs = clock.monotonicMs()
    this.#configuration = new ConfigurationCopy(clock, log)
    this.#configuration.onChange((configuration, drains) => { this.#onConfigurationChange(configuration, drains) })
    this.#registry = new BackendRegistry(timing.backendExpireAfterMs)
    this.#router = this.#createRouter()
    this.#links = this.#createLinks()
    this.#control = options.createControl?.({
      send: (nodeId, message) => this.#links.send(nodeId, message),
      deliverFeedLocally: feed => { this.#configuration.receive(feed) }
    })
    this.#controlClient = new ControlClient({
      nodeId: node.nodeId,
      timeoutMs: timing.controlTimeoutMs,
      attemptTimeoutMs: timing.controlAttemptTimeoutMs,
      clock,
      metrics,
      leaderNodeId: () => this.#leaderNodeId(),
      send: (nodeId, message) => this.#links.send(nodeId, message),
      executeLocally: async operation => await this.#executeLocally(operation)
    })
    const guard = createGuard(options)
    this.#backendClient = new BackendClient({ maxAnswerBytes: limits.maxAnswerBytes, guard, connectTimeoutMs: 1_000 })
    this.#requests = new RequestService({
      router: this.#router,
      backendClient: this.#backendClient,
      clock,
      metrics,
      executeOperation: async (operation, timeoutMs) => await this.#controlClient.execute(operation, timeoutMs)
    })
    this.#backendBroadcast = this.#createBackendStateBroadcast()
    this.#http = new HttpApi({
      application: this,
      guard,
      metrics,
      nodeId: node.nodeId,
      host: settings.http.host,
      port: settings.http.port,
      maxBodyBytes: limits.maxBodyBytes,
      maxHeaderBytes: limits.maxHeaderBytes,
      requestReceiveTimeoutMs: limits.requestReceiveTimeoutMs
    })
  }

  /** Connects to the other nodes and starts the HTTP server. */
  async start (): Promise<void> {
    const { timing } = this.#options.settings
    await this.#links.start()
    this.#backendBroadcast.start()
    this.#feedTimer = startInterval(timing.feedIntervalMs, () => { this.#requestFeed() })
    this.#helloTimer = startInterval(HELLO_INTERVAL_MS, () => { this.#broadcastHello() })
    await this.#http.start()
    this.#phase = 'serving'
    this.#options.log.info('node is serving', { http: this.#options.settings.http })
  }

  /**
   * Shuts down gracefully: refuses new requests, waits for open ones up to the shutdown limit, and closes everything.
   * Closing waits without a limit for HTTP requests that are still open; an attempt ends at the latest by its timeout.
   */
  async stop (): Promise<void> {
    if (this.#phase === 'stopping') return
    this.#phase = 'stopping'
    this.#options.log.info('graceful shutdown started', { openRequests: this.#requests.openRequests })
    this.#requests.handleEvent({ kind: 'drain_started' })
    await this.#awaitOpenRequests()
    this.#control?.stepDown()
    await pause(STEP_DOWN_DELAY_MS)
    await this.#closeAll()
    this.#options.log.info('graceful shutdown ended', { openRequests: this.#requests.openRequests })
    await this.#options.metrics.close()
  }

  override checkAdmission (): Result<Rules> {
    const state = this.#state
    if (state === 'stopping') return fail('shutting_down', 'this node is shutting down')
    if (state === 'drained') return fail('shutting_down', 'this node is drained by an operator')
    if (!this.#configuration.hasLease) {
      return fail('configuration_stale', 'this node has no valid configuration lease')
    }
    return succeed(this.#configuration.configuration.rules)
  }

  override nowMs (): number {
    return this.#options.clock.monotonicMs()
  }

  override async executeRequest (
    spec: RequestSpec, body: Buffer, onCancel: (cancel: () => void) => void
  ): Promise<Result<RequestResult>> {
    return await this.#requests.execute(spec, body, onCancel)
  }

  override async executeOperation (operation: ControlOperation): Promise<ControlResult> {
    const result = await this.#controlClient.execute(operation)
    // Backend servers are known to the nodes, not to the control leader, so the node adds them to its answer.
    if (!result.ok || result.value.kind !== 'fleet') return result
    return { ok: true, value: { ...result.value, backendServers: this.backendServers() } }
  }

  override announceBackendServer (announcement: BackendServerAnnouncement): HeartbeatIntervals {
    const { heartbeatIntervalMs, backendExpireAfterMs } = this.#options.settings.timing
    this.#backendBroadcast.announce({ ...announcement, state: 'active' })
    return { heartbeatIntervalMs, expireAfterMs: backendExpireAfterMs }
  }

  override deregisterBackendServer (backendServerId: string): Failure | undefined {
    const record = this.backendServers().find(known => known.backendServerId === backendServerId)
    if (record === undefined) return failure('not_found', `backend server ${backendServerId} is not known to this node`)
    this.#backendBroadcast.announce({ ...record, sequence: record.sequence + 1, state: 'leaving' })
    return undefined
  }

  override backendServers (): readonly BackendServerRecord[] {
    return this.#registry.allRecords(this.nowMs())
  }

  override status (): NodeStatus {
    const { node } = this.#options.settings
    const replica = this.#control?.replica ?? null
    const processor = process.cpuUsage()
    return {
      nodeId: node.nodeId,
      region: node.region,
      availabilityZone: node.availabilityZone,
      roles: node.roles,
      state: this.#state,
      configurationVersion: this.#configuration.configuration.version,
      hasConfigurationLease: this.#configuration.hasLease,
      leaderNodeId: this.#leaderNodeId(),
      replica: replica === null
        ? null
        : {
            role: replica.role,
            term: replica.term,
            commitIndex: replica.commitIndex,
            survivableLosses: replica.survivableLosses
          },
      connectedNodeIds: this.#links.connectedNodeIds(),
      openRequests: this.#requests.openRequests,
      backendServers: this.backendServers().length,
      uptimeMs: this.nowMs() - this.#startedAtMs,
      residentMemoryBytes: process.memoryUsage.rss(),
      processorTimeMs: (processor.user + processor.system) / 1000,
      counters: this.#options.metrics.snapshot()
    }
  }

  /**
   * `drained` replaces `serving` while the feed contains a drain of this VM; as it is derived from the feed, a drain
   * made before or during the start takes effect once the node serves.
   */
  get #state (): NodeStatus['state'] {
    const { nodeId } = this.#options.settings.node
    const isDrained = this.#configuration.drains.some(drain => drain.kind === 'vm' && drain.id === nodeId)
    return this.#phase === 'serving' && isDrained ? 'drained' : this.#phase
  }

  #createRouter (): RequestRouter {
    const { settings, routingSettings, random, metrics } = this.#options
    const { region, availabilityZone } = settings.node
    return new RequestRouter({
      settings: routingSettings,
      registry: this.#registry,
      policy: new LocalityPolicy(routingSettings.randomChoices),
      random,
      metrics,
      location: { region, availabilityZone }
    })
  }

  #createLinks (): PeerLinks {
    const { settings, clock, metrics, log } = this.#options
    const { node, peers, timing, limits } = settings
    return new PeerLinks({
      nodeId: node.nodeId,
      host: peers.host,
      port: peers.port,
      peers: peers.nodes,
      pingIntervalMs: timing.peerPingIntervalMs,
      silenceTimeoutMs: timing.peerSilenceMs,
      redialDelayMs: timing.peerRedialMs,
      maxReceiveBytes: limits.maxLinkReceiveBytes,
      maxIncomingLinks: limits.maxIncomingLinks,
      clock,
      metrics,
      log,
      hello: () => this.#createHello(),
      // A restarted peer knows no backend servers, so it gets all records as soon as the link is up.
      onConnect: nodeId => { this.#backendBroadcast.sendAllRecords(message => { this.#links.send(nodeId, message) }) },
      onMessage: (fromNodeId, message) => { this.#receive(fromNodeId, message) },
      onDisconnect: nodeId => { this.#controlClient.onDisconnect(nodeId) }
    })
  }

  #createBackendStateBroadcast (): BackendStateBroadcast {
    const { settings, routingSettings, clock } = this.#options
    return new BackendStateBroadcast({
      registry: this.#registry,
      router: this.#router,
      clock,
      recordIntervalMs: settings.timing.memberSpreadIntervalMs,
      loadIntervalMs: routingSettings.loadShareIntervalMs,
      maxLoadReportBytes: routingSettings.loadShareMaxBytes,
      broadcast: message => { this.#links.broadcast(message) },
      onChange: () => { this.#requests.reschedule() }
    })
  }

  #receive (fromNodeId: string, message: PeerMessage): void {
    switch (message.kind) {
      case 'hello': this.#receiveHello(message); break
      case 'raft': this.#receiveRaft(fromNodeId, message); break
      case 'control_request': this.#answerControlRequest(fromNodeId, message); break
      case 'control_response': this.#controlClient.receive(message); break
      case 'feed_request': this.#answerFeedRequest(fromNodeId, message); break
      case 'feed': this.#configuration.receive(message); break
      case 'members':
      case 'load': this.#backendBroadcast.receive(fromNodeId, message); break
    }
  }

  #receiveRaft (fromNodeId: string, message: Extract<PeerMessage, { kind: 'raft' }>): void {
    const isSound = isVoter(message.from) && isVoter(message.to) && isConsensusMessage(message.message)
    if (isSound) return this.#control?.receiveRaft(message)
    this.#options.metrics.increment('peer.malformed_message')
    this.#options.log.warn('malformed message of a peer ignored', { peerId: fromNodeId, kind: message.kind })
  }

  #receiveHello (message: Extract<PeerMessage, { kind: 'hello' }>): void {
    if (message.control !== null) this.#control?.receiveHello(message.control)
  }

  async #answerControlRequest (
    fromNodeId: string, message: Extract<PeerMessage, { kind: 'control_request' }>
  ): Promise<void> {
    const { requestId, operation } = message
    const result = await this.#executeLocally(operation)
    this.#links.send(fromNodeId, { kind: 'control_response', requestId, result })
  }

  async #executeLocally (operation: ControlOperation): Promise<ControlResult> {
    if (this.#control === undefined) return fail('not_leader', 'this node has no control role')
    return await this.#control.execute(operation).catch((error: unknown) => {
      this.#options.log.warn('unexpected error of the control service', { detail: String(error) })
      return fail('internal_error', 'the control service failed to handle the operation')
    })
  }

  #answerFeedRequest (fromNodeId: string, message: Extract<PeerMessage, { kind: 'feed_request' }>): void {
    const feed = this.#control?.answerFeedRequest(fromNodeId, message)
    if (feed !== undefined) this.#links.send(fromNodeId, feed)
  }

  /** Requests the feed from the known leader, or from every control node once the lease has expired. */
  #requestFeed (): void {
    const { node, peers } = this.#options.settings
    const message = {
      kind: 'feed_request' as const,
      version: this.#configuration.configuration.version,
      sentAtMs: this.nowMs()
    }
    const leader = this.#configuration.hasLease ? this.#leaderNodeId() : null
    const targets = peers.nodes.filter(peer => leader === null ? peer.roles.includes('control') : peer.nodeId === leader)
    for (const { nodeId } of targets) {
      if (nodeId !== node.nodeId) {
        this.#links.send(nodeId, message)
        continue
      }
      const feed = this.#control?.answerFeedRequest(nodeId, message)
      if (feed !== undefined) this.#configuration.receive(feed)
    }
  }

  /** The consensus replica learns of a new leader first; nodes without one learn it from the feed. */
  #leaderNodeId (): string | null {
    return this.#control?.leaderNodeId ?? this.#configuration.leaderNodeId
  }

  /** Repeats the `hello` that is sent when a link is up; only to the control nodes, as no others act on later ones. */
  #broadcastHello (): void {
    const control = this.#control
    const nowMs = this.nowMs()
    if (control === undefined) return
    if (control.isVoterSetStable && nowMs - this.#lastHelloAtMs < STABLE_HELLO_INTERVAL_MS) return
    this.#lastHelloAtMs = nowMs
    const message = this.#createHello()
    for (const { nodeId, roles } of this.#options.settings.peers.nodes) {
      if (roles.includes('control')) this.#links.send(nodeId, message)
    }
  }

  #createHello (): PeerMessage {
    const { nodeId } = this.#options.settings.node
    return { kind: 'hello', nodeId, control: this.#control?.controlPeer ?? null, readsNumberedFields: true }
  }

  #onConfigurationChange (configuration: Configuration, drains: readonly Drain[]): void {
    const weights = [...configuration.organisations].map(([id, organisation]) => [id, organisation.weight] as const)
    this.#router.setOrganisations(new Map(weights))
    this.#registry.setDraining(new Set(drains.filter(drain => drain.kind === 'backend-server').map(drain => drain.id)))
    this.#requests.reschedule()
  }

  /** Waits up to the shutdown limit for open requests, and then for the settlements of their claims. */
  async #awaitOpenRequests (): Promise<void> {
    const deadlineAtMs = this.nowMs() + this.#options.settings.limits.shutdownLimitMs
    while (this.#requests.openRequests > 0 && this.nowMs() < deadlineAtMs) await pause(SHUTDOWN_POLL_INTERVAL_MS)
    await Promise.race([this.#requests.awaitSettlements(), pause(Math.max(0, deadlineAtMs - this.nowMs()))])
  }

  async #closeAll (): Promise<void> {
    clearInterval(this.#feedTimer)
    clearInterval(this.#helloTimer)
    this.#backendBroadcast.stop()
    this.#requests.close()
    await this.#http.stop()
    await this.#control?.stop()
    await this.#links.stop()
    await this.#backendClient.close()
  }
}

function createGuard ({ settings, clock, metrics, log }: NodeOptions): ClientGuard {
  const { limits } = settings
  return new ClientGuard({
    limits: {
      budgetBytes: limits.bodyBudgetBytes,
      maxAddressPercent: limits.maxAddressPercent,
      maxConnections: { client: limits.maxConnections, control: 0, readiness: 0, metrics: 0 },
      maxPipelinedRequests: limits.maxPipelinedRequests,
      maxFragmentedBodies: limits.maxFragmentedBodies
    },
    clock,
    metrics,
    log
  })
}
