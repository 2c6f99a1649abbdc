/** Inventories of a given number of workers, and functions to load them into a cluster. */
import { performance } from 'node:perf_hooks'
import type { NodeClient } from '@comfreygrade/cli'
import {
  defaultRules, diffDocument, emptyConfiguration, type ConfigurationChange, type ConfigurationDocument, type Upsert
} from '@comfreygrade/core'
import { waitFor } from '@comfreygrade/standins'
import { pause } from '@comfreygrade/timers'
import type { LocalCluster } from './capacity-system.js'

const WORKERS_PER_RACK = 8
const ORGANISATIONS = 830
const POLL_INTERVAL_MS = 5
const TIMEOUT_MS = 120_000

/** Inventory with 2.25 accelerators per worker, as planned: 47,000 accelerators on 21,000 workers. */
export function createInventory (workers: number): ConfigurationDocument {
  return {
    racks: Array.from({ length: Math.ceil(workers / WORKERS_PER_RACK) }, (_, rack) =>
      ({ rackId: `rack-${rack}`, region: `region-${rack % 7}`, availabilityZone: `zone-${rack % 23}` })),
    workers: Array.from({ length: workers }, (_, worker) => workerRecord(worker, 256)),
    organisations: Array.from({ length: ORGANISATIONS }, (_, organisation) =>
      ({ organisationId: `organisation-${organisation}`, quotaAccelerators: 1_000, weight: 1 })),
    guarantees: [],
    rules: defaultRules
  }
}

/** Loads the inventory and returns the time in milliseconds until it is in force on all nodes. */
export async function loadInventory (cluster: LocalCluster, workers: number): Promise<number> {
  const startedMs = performance.now()
  const change = diffDocument(emptyConfiguration(), createInventory(workers))
  await applyChangeWithRetries(cluster.client(0), change)
  await awaitVersion(cluster, change.version)
  return performance.now() - startedMs
}

/** Repeats are harmless: an accepted change that is sent again is recognised by its version and content. */
async function applyChangeWithRetries (client: NodeClient, change: ConfigurationChange): Promise<void> {
  await waitFor('the inventory to be accepted', TIMEOUT_MS, async () => await client.applyChange(change))
}

/** Returns a change of one organisation or one worker. */
export function createChange (baseVersion: number, kind: 'organisation' | 'worker'): ConfigurationChange {
  const upsert: Upsert = kind === 'worker'
    ? { kind, record: workerRecord(17, 256 + baseVersion % 2) }
    : { kind, record: { organisationId: 'organisation-7', quotaAccelerators: baseVersion, weight: 1 } }
  return { version: baseVersion + 1, baseVersion, upserts: [upsert], removes: [] }
}

/** Polls the nodes until each reports this or a later version and a configuration lease. */
export async function awaitVersion (cluster: LocalCluster, version: number): Promise<void> {
  const deadlineMs = performance.now() + TIMEOUT_MS
  while (performance.now() < deadlineMs) {
    const statuses = await cluster.statuses()
    if (statuses.every(status => status.configurationVersion >= version && status.hasConfigurationLease)) return
    await pause(POLL_INTERVAL_MS)
  }
  throw new Error(`configuration version ${version} was not in force on all nodes within ${TIMEOUT_MS} ms`)
}

function workerRecord (worker: number, memoryGb: number) {
  const rackPosition = worker % WORKERS_PER_RACK
  return {
    workerId: `worker-${worker}`,
    rackId: `rack-${Math.floor(worker / WORKERS_PER_RACK)}`,
    rackPosition,
    cores: 64,
    memoryGb,
    acceleratorModel: 'gpu',
    accelerators: rackPosition === 0 ? 4 : 2
  }
}
