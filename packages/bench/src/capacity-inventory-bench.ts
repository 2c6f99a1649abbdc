/** Memory, load time, restart time and change latency with inventories of several sizes. */
import { performance } from 'node:perf_hooks'
import { encodeFrame } from '@comfreygrade/node'
import type { BenchTable } from './format.js'
import { meanOfRole, measureIdleResourceUse, type MeasuredRole, type ResourceUse } from './capacity-cost.js'
import { awaitVersion, createInventory, loadInventory, createChange } from './capacity-inventory.js'
import { LocalCluster } from './capacity-system.js'

const SIZES = [0, 300, 3_000, 21_000]
const QUICK_SIZES = [0, 300]
const CHANGES = 10
const IDLE_MS = 10_000
const ROLES: readonly MeasuredRole[] = ['leader', 'voter', 'entry']

interface ChangeTimes { readonly acceptedMs: number, readonly inForceMs: number }

/** Measures 5 nodes, 3 of them control nodes, at each size of the inventory. */
export async function run ({ quick }: { readonly quick: boolean }): Promise<BenchTable[]> {
  const memory: string[][] = []
  const times: string[][] = []
  for (const workers of quick ? QUICK_SIZES : SIZES) {
    const measured = await measureSize(workers)
    memory.push([String(workers), ...ROLES.flatMap(role => memoryCells(measured.idle, role))])
    times.push([String(workers), ...measured.times])
  }
  return [
    {
      title: 'Idle nodes holding an inventory: MiB and % of a core',
      columns: ['workers', ...ROLES.flatMap(role => [`${role} MiB`, `${role} %`])],
      rows: memory
    },
    {
      title: `Times with an inventory, ms (changes: median of ${CHANGES})`,
      columns: [
        'workers', 'all loaded', 'frame of a full copy, bytes', 'its encoding', 'entry node restarted',
        'organisation accepted', 'in force', 'worker accepted', 'in force'
      ],
      rows: times
    }
  ]
}

async function measureSize (workers: number) {
  const cluster = await LocalCluster.start({ nodes: 5, controlNodes: 3 })
  try {
    const loadMs = await loadInventory(cluster, workers)
    const idle = await measureIdleResourceUse(cluster, IDLE_MS)
    const restartMs = await measureRestartMs(cluster)
    const organisation = await measureChanges(cluster, 'organisation')
    const worker = workers === 0 ? undefined : await measureChanges(cluster, 'worker')
    const copy = measureFullCopy(workers)
    const figures = [
      loadMs, copy.bytes, copy.encodeMs, restartMs, organisation.acceptedMs, organisation.inForceMs,
      worker?.acceptedMs, worker?.inForceMs
    ]
    return { idle, times: figures.map(value => value?.toFixed(value < 100 ? 1 : 0) ?? '-') }
  } finally {
    await cluster.stop()
  }
}

/** Time from killing an entry node until its new process has the configuration and a configuration lease. */
async function measureRestartMs (cluster: LocalCluster): Promise<number> {
  const last = (await cluster.statuses()).at(-1)
  const startedMs = performance.now()
  await cluster.restart(last?.nodeId ?? '')
  await awaitVersion(cluster, last?.configurationVersion ?? 0)
  return performance.now() - startedMs
}

async function measureChanges (cluster: LocalCluster, kind: 'organisation' | 'worker'): Promise<ChangeTimes> {
  const client = cluster.client(4)
  const accepted: number[] = []
  const inForce: number[] = []
  for (let count = 0; count < CHANGES; count += 1) {
    const version = await currentVersion(cluster)
    const startedMs = performance.now()
    const answer = await client.applyChange(createChange(version, kind))
    accepted.push(performance.now() - startedMs)
    await awaitVersion(cluster, answer.version)
    inForce.push(performance.now() - startedMs)
  }
  return { acceptedMs: median(accepted), inForceMs: median(inForce) }
}

async function currentVersion (cluster: LocalCluster): Promise<number> {
  const statuses = await cluster.statuses()
  return Math.max(...statuses.map(status => status.configurationVersion))
}

/** Returns the size of the frame of a full copy, and the time to build its inventory and encode it. */
function measureFullCopy (workers: number): { bytes: number, encodeMs: number } {
  const startedMs = performance.now()
  const frame = encodeFrame({
    kind: 'feed',
    term: 1,
    leaderNodeId: 'montevideo-1',
    content: { kind: 'full', version: 1, document: createInventory(workers) },
    drains: [],
    requestSentAtMs: 1.5,
    leaseMs: 5_000
  }, 'numbered')
  return { bytes: frame.length, encodeMs: performance.now() - startedMs }
}

function memoryCells (uses: readonly ResourceUse[], role: MeasuredRole): string[] {
  const use = meanOfRole(uses, role)
  return [use?.residentMib.toFixed(0) ?? '-', use?.corePercent.toFixed(2) ?? '-']
}

function median (values: readonly number[]): number {
  return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0
}
