/** Configuration and requests shared by the tests with real processes. */
import { diffDocument, emptyConfiguration, toDocument, type ConfigurationDocument } from '@comfreygrade/core'
import type { ExecutionContext } from 'ava'
import { request } from 'undici'
import { v7 } from 'uuid'
import { LocalSystem, type LocalSystemOptions, StandInBackendServer, waitFor } from '../src/index.js'

/** Two racks of two workers with 8 accelerators, two organisations. */
export const document: ConfigurationDocument = {
  racks: ['montevideo', 'salto'].map(region => ({
    rackId: `${region}-r1`, region, availabilityZone: `${region}-a`
  })),
  workers: ['montevideo', 'salto'].flatMap(region => [0, 1].map(rackPosition => ({
    workerId: `${region}-w${rackPosition}`,
    rackId: `${region}-r1`,
    rackPosition,
    cores: 64,
    memoryGb: 256,
    acceleratorModel: 'gpu',
    accelerators: 8
  }))),
  organisations: [
    { organisationId: 'o1', quotaAccelerators: 32, weight: 1 },
    { organisationId: 'o2', quotaAccelerators: 32, weight: 1 }
  ],
  guarantees: [],
  rules: toDocument(emptyConfiguration()).rules
}

/** Starts a system with the document in force everywhere; it is stopped with the test, whatever its result. */
export async function startConfigured (t: ExecutionContext, options: LocalSystemOptions = {}): Promise<LocalSystem> {
  const system = await LocalSystem.start(options)
  t.teardown(async () => { await system.stop() })
  await configure(system)
  return system
}

async function configure (system: LocalSystem): Promise<void> {
  const client = system.client(system.nodes[0]?.nodeId ?? '')
  await waitFor('the configuration to be accepted', 20_000, async () =>
    await client.applyChange(diffDocument(emptyConfiguration(), document)))
  await waitFor('the configuration to be in force', 20_000, async () =>
    (await client.configurationStatus()).isInForceEverywhere || undefined)
}

/** Starts backend servers of service `billing` and waits until every node knows them. */
export async function startBackends (
  t: ExecutionContext, system: LocalSystem, count: number, serviceMs: number
): Promise<StandInBackendServer[]> {
  const backends = Array.from({ length: count }, (_, index) => new StandInBackendServer({
    backendServerId: `b${index}`,
    entries: system.addresses,
    region: 'montevideo',
    availabilityZone: 'montevideo-a',
    services: ['billing'],
    slots: 16,
    connections: 64,
    serviceMs
  }))
  t.teardown(async () => { await Promise.all(backends.map(async backend => { await backend.kill() })) })
  await Promise.all(backends.map(async backend => { await backend.start() }))
  await waitFor('every node to know the backend servers', 20_000, async () => {
    const statuses = await Promise.all(system.nodes.map(async node => await system.client(node.nodeId).status()))
    return statuses.every(status => status.backendServers >= count) || undefined
  })
  return backends
}

/** How a caller's request ended, and what it was told about the work. */
export interface CallResult {
  readonly requestId: string
  readonly key: string
  readonly status: number
  /** `unknown` where the connection broke. */
  readonly outcome: 'completed' | 'not_run' | 'unknown' | 'not_applicable'
  readonly body: string
}

/** Sends one non-repeatable request. */
export async function call (address: string, requestId: string, key = v7(), deadlineMs = 5_000): Promise<CallResult> {
  try {
    const response = await request(`${address}/v1/services/billing/requests`, {
      method: 'POST',
      headers: {
        'comfreygrade-organisation': 'o1',
        'comfreygrade-request-id': requestId,
        'comfreygrade-deadline-ms': String(deadlineMs),
        'comfreygrade-repeatable': 'non-repeatable',
        'idempotency-key': key
      },
      body: key,
      signal: AbortSignal.timeout(deadlineMs + 2_000)
    })
    const body = await response.body.text()
    const outcome = response.statusCode < 300 ? 'completed' : (JSON.parse(body) as CallResult).outcome
    return { requestId, key, status: response.statusCode, outcome, body }
  } catch {
    return { requestId, key, status: 0, outcome: 'unknown', body: '' }
  }
}

/** Executions by idempotency key, as the backend servers recorded them. */
export function executionsByKey (backends: readonly StandInBackendServer[]): Map<string, number> {
  const counts = new Map<string, number>()
  for (const { idempotencyKey } of backends.flatMap(backend => backend.executions)) {
    counts.set(idempotencyKey, (counts.get(idempotencyKey) ?? 0) + 1)
  }
  return counts
}
