/** Memory, load time, restart time and change latency with inventories of several sizes. */
import { performance } from 'node:perf_hooks'
import { encodeFrame } from '@comfreygrade/node'
import type { BenchTable } from './format.js'
import { meanOfRole, measureIdleCost, type MeasuredRole, type NodeCost } from './capacity-cost.js'
import { awaitVersion, capacityInventory, loadInventory, smallChange } from './capacity-inventory.js'
import { CapacitySystem } from './capacity-system.js'

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
  const system = await CapacitySystem.start({ nodes: 5, controlNodes: 3 })
  try {
    const loadMs = await loadInventory(system, workers)
    const idle = await measureIdleCost(system, IDLE_MS)
    const restartMs = await measureRestartMs(system)
    const organisation = await measureChanges(system, 'organisation')
    const worker = workers === 0 ? undefined : await measureChanges(system, 'worker')
    const copy = measureFullCopy(workers)
    const figures = [
      loadMs, copy.bytes, copy.encodeMs, restartMs, organisation.acceptedMs, organisation.inForceMs,
      worker?.acceptedMs, worker?.inForceMs
    ]
    return { idle, times: figures.map(value => value?.toFixed(value < 100 ? 1 : 0) ?? '-') }
  } finally {
    await system.stop()
  }
}

/** Time from killing an entry node until its new process has the configuration and a configuration lease. */
async function measureRestartMs (system: CapacitySystem): Promise<number> {
  const last = (await system.statuses()).at(-1)
  const startedMs = performance.now()
  await system.restart(last?.nodeId ?? '')
  await awaitVersion(system, last?.configurationVersion ?? 0)
  return performance.now() - startedMs
}

async function measureChanges (system: CapacitySystem, kind: 'organisation' | 'worker'): Promise<ChangeTimes> {
  const client = system.client(4)
  const accepted: number[] = []
  const inForce: number[] = []
  for (let count = 0; count < CHANGES; count += 1) {
    const version = await currentVersion(system)
    const startedMs = performance.now()
    const answer = await client.applyChange(smallChange(version, kind))
    accepted.push(performance.now() - startedMs)
    await awaitVersion(system, answer.version)
    inForce.push(performance.now() - startedMs)
  }
  return { acceptedMs: median(accepted), inForceMs: median(inForce) }
}

async function currentVersion (system: CapacitySystem): Promise<number> {
  const statuses = await system.statuses()
  return Math.max(...statuses.map(status => status.configurationVersion))
}

function measureFullCopy (workers: number): { bytes: number, encodeMs: number } {
  const startedMs = performance.now()
  const frame = encodeFrame({
    kind: 'feed',
    term: 1,
    leaderNodeId: 'montevideo-1',
    content: { kind: 'full', version: 1, document: capacityInventory(workers) },
    drains: [],
    requestSentAtMs: 1.5,
    leaseMs: 5_000
  }, 'numbered')
  return { bytes: frame.length, encodeMs: performance.now() - startedMs }
}

function memoryCells (costs: readonly NodeCost[], role: MeasuredRole): string[] {
  const cost = meanOfRole(costs, role)
  return [cost?.residentMib.toFixed(0) ?? '-', cost?.corePercent.toFixed(2) ?? '-']
}

function median (values: readonly number[]): number {
  return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0
}
