/** Fixture of the tests that run a local cluster: its inventory, backend servers and requests. */
import { diffDocument, emptyConfiguration, toDocument, type ConfigurationDocument } from '@comfreygrade/core'
import type { ExecutionContext } from 'ava'
import { request } from 'undici'
import { v7 } from 'uuid'
import { LocalCluster, type LocalClusterOptions, StandInBackendServer, waitFor } from '../src/index.js'

/** Two racks with two workers of 8 accelerators each, and two organisations. */
export const testInventory: ConfigurationDocument = {
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

/** Starts a cluster with `testInventory` in force on every node, and stops it when the test ends. */
export async function startConfiguredCluster (
  t: ExecutionContext, options: LocalClusterOptions = {}
): Promise<LocalCluster> {
  const cluster = await LocalCluster.start(options)
  t.teardown(async () => { await cluster.stop() })
  await applyInventory(cluster)
  return cluster
}

async function applyInventory (cluster: LocalCluster): Promise<void> {
  const client = cluster.client(cluster.nodes[0]?.nodeId ?? '')
  await waitFor('the configuration to be accepted', 20_000, async () =>
    await client.applyChange(diffDocument(emptyConfiguration(), testInventory)))
  await waitFor('the configuration to be in force', 20_000, async () =>
    (await client.configurationStatus()).isInForceEverywhere || undefined)
}

/** Starts backend servers of service `billing` and waits until every node knows them. */
export async function startBackendServers (
  t: ExecutionContext, cluster: LocalCluster, count: number, serviceMs: number
): Promise<StandInBackendServer[]> {
  const backendServers = Array.from({ length: count }, (_, index) => new StandInBackendServer({
    backendServerId: `b${index}`,
    entryAddresses: cluster.entryAddresses,
    region: 'montevideo',
    availabilityZone: 'montevideo-a',
    services: ['billing'],
    slots: 16,
    connections: 64,
    serviceMs
  }))
  t.teardown(async () => { await Promise.all(backendServers.map(async server => { await server.kill() })) })
  await Promise.all(backendServers.map(async server => { await server.start() }))
  await waitFor('every node to know the backend servers', 20_000, async () => {
    const statuses = await Promise.all(cluster.nodes.map(async node => await cluster.client(node.nodeId).status()))
    return statuses.every(status => status.backendServers >= count) || undefined
  })
  return backendServers
}

/** Result of a request, and what the response says about its execution. */
export interface RequestResult {
  readonly requestId: string
  readonly idempotencyKey: string
  readonly status: number
  /** `unknown` also if there was no valid response; the status is then 0. */
  readonly outcome: 'completed' | 'not_run' | 'unknown' | 'not_applicable'
  readonly body: string
}

/** Sends one non-repeatable request. */
export async function sendRequest (
  address: string, requestId: string, key = v7(), deadlineMs = 5_000
): Promise<RequestResult> {
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
    const outcome = response.statusCode < 300 ? 'completed' : (JSON.parse(body) as RequestResult).outcome
    return { requestId, idempotencyKey: key, status: response.statusCode, outcome, body }
  } catch {
    return { requestId, idempotencyKey: key, status: 0, outcome: 'unknown', body: '' }
  }
}

/** Counts the executions that the backend servers recorded, by idempotency key. */
export function countExecutionsByKey (backendServers: readonly StandInBackendServer[]): Map<string, number> {
  const counts = new Map<string, number>()
  for (const { idempotencyKey } of backendServers.flatMap(server => server.executions)) {
    counts.set(idempotencyKey, (counts.get(idempotencyKey) ?? 0) + 1)
  }
  return counts
}
