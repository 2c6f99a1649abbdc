/** Helpers of several tests: an application without a control role, its HTTP front end, and local servers and ports. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import {
  InMemoryMetrics, defaultRules, fail, failure, NullEventLog, Random, succeed, type BackendServerRecord,
  type ClientAdmissionLimits, type Clock, type Failure, type Metrics, type RequestSpec, type Result, type Rules
} from '@comfreygrade/core'
import { BackendRegistry, defaultRoutingSettings, LocalityPolicy, RequestRouter } from '@comfreygrade/routing'
import type { ControlOperation, ControlResult } from '@comfreygrade/control'
import { Application, type BackendServerAnnouncement, type NodeStatus } from '../src/application.js'
import { BackendClient } from '../src/backend-client.js'
import { ClientGuard } from '../src/client-guard.js'
import { HttpApi } from '../src/http-api.js'
import { RequestService, type RequestResult } from '../src/request-service.js'
import { SystemClock } from '../src/system-clock.js'

/** Limits that only the tests of limits reach; those change some of them. */
export function createGuard (
  clock: Clock, metrics: Metrics, changes: Partial<ClientAdmissionLimits> = {}
): ClientGuard {
  const limits = {
    budgetBytes: 16 * 1024 * 1024,
    maxAddressPercent: 100,
    maxConnections: { client: 1_000, control: 0, readiness: 0, metrics: 0 },
    maxPipelinedRequests: 8,
    maxFragmentedBodies: 2,
    ...changes
  }
  return new ClientGuard({ limits, clock, metrics, log: new NullEventLog() })
}

/** Application with a real request service, which records the control operations that it is asked to execute. */
export class EntryApplication extends Application {
  readonly clock = new SystemClock()
  readonly metrics = new InMemoryMetrics()
  readonly registry = new BackendRegistry(10_000)
  readonly guard = createGuard(this.clock, this.metrics)
  readonly backendClient = new BackendClient({ maxAnswerBytes: 1024 * 1024, guard: this.guard, connectTimeoutMs: 500 })
  readonly operations: ControlOperation[] = []
  isConfigurationStale = false
  isDrained = false
  answerControl: (operation: ControlOperation) => ControlResult = () => fail('control_unavailable', 'no control leader')
  readonly requests: RequestService

  constructor () {
    super()
    const router = new RequestRouter({
      settings: defaultRoutingSettings,
      registry: this.registry,
      policy: new LocalityPolicy(defaultRoutingSettings.randomChoices),
      random: new Random(1),
      metrics: this.metrics,
      location: { region: 'r', availabilityZone: 'z' }
    })
    router.setOrganisations(new Map([['o1', 1]]))
    this.requests = new RequestService({
      router,
      backendClient: this.backendClient,
      clock: this.clock,
      metrics: this.metrics,
      executeOperation: async operation => await this.executeOperation(operation)
    })
  }

  override checkAdmission (): Result<Rules> {
    if (this.isDrained) return fail('shutting_down', 'this node is drained by an operator')
    return this.isConfigurationStale ? fail('configuration_stale', 'this node has no valid configuration lease') : succeed(defaultRules)
  }

  override nowMs (): number {
    return this.clock.monotonicMs()
  }

  override async executeRequest (
    spec: RequestSpec, body: Buffer, onCancel: (cancel: () => void) => void
  ): Promise<Result<RequestResult>> {
    return await this.requests.execute(spec, body, onCancel)
  }

  override async executeOperation (operation: ControlOperation): Promise<ControlResult> {
    this.operations.push(operation)
    return this.answerControl(operation)
  }

  override announceBackendServer (announcement: BackendServerAnnouncement) {
    this.registry.announce({ ...announcement, state: 'active' }, this.nowMs())
    return { heartbeatIntervalMs: 1000, expireAfterMs: 10_000 }
  }

  override deregisterBackendServer (backendServerId: string): Failure | undefined {
    const record = this.backendServers().find(known => known.backendServerId === backendServerId)
    if (record === undefined) return failure('not_found', `backend server ${backendServerId} is not known to this node`)
    this.registry.announce({ ...record, sequence: record.sequence + 1, state: 'leaving' }, this.nowMs())
    return undefined
  }

  override backendServers (): readonly BackendServerRecord[] {
    return this.registry.allRecords(this.nowMs())
  }

  override status (): NodeStatus {
    return {
      nodeId: 'n1',
      region: 'r',
      availabilityZone: 'z',
      roles: ['entry'],
      state: this.isDrained ? 'drained' : 'serving',
      configurationVersion: 1,
      hasConfigurationLease: !this.isConfigurationStale,
      leaderNodeId: null,
      replica: null,
      connectedNodeIds: [],
      openRequests: this.requests.openRequests,
      backendServers: this.backendServers().length,
      uptimeMs: 0,
      residentMemoryBytes: 0,
      processorTimeMs: 0,
      counters: this.metrics.snapshot()
    }
  }
}

/** Listens on a free loopback port. */
export async function listen (
  handler: (req: IncomingMessage, res: ServerResponse) => void
): Promise<Server & { port: number }> {
  const server = createServer(handler)
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return Object.assign(server, { port: (server.address() as AddressInfo).port })
}

/** Finds a free loopback port. */
export async function findFreePort (): Promise<number> {
  const server = await listen(() => {})
  await new Promise(resolve => { server.close(resolve) })
  return server.port
}

/** Waits until the condition holds; the timeout of the test applies. */
export async function waitUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise<void>(resolve => { setTimeout(resolve, 5) })
}

/** Starts the HTTP front end of an application and returns it with its base URL. */
export async function startHttpApi (application: EntryApplication): Promise<{ api: HttpApi, url: string }> {
  const port = await findFreePort()
  const api = new HttpApi({
    application,
    guard: application.guard,
    metrics: application.metrics,
    nodeId: 'n1',
    host: '127.0.0.1',
    port,
    maxBodyBytes: 2 * 1024 * 1024,
    maxHeaderBytes: 8 * 1024,
    requestReceiveTimeoutMs: 400
  })
  await api.start()
  return { api, url: `http://127.0.0.1:${port}` }
}
