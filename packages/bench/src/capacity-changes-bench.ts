/** Resource use and latency of configuration changes at several rates. */
import { performance } from 'node:perf_hooks'
import { setTimeout as delay } from 'node:timers/promises'
import { build } from 'hdr-histogram-js'
import type { BenchTable } from './format.js'
import { meanOfRole, measureCost, measureIdleCost, type NodeCost } from './capacity-cost.js'
import { awaitVersion, loadInventory, smallChange } from './capacity-inventory.js'
import { CapacitySystem } from './capacity-system.js'

const NODES = 5
const WORKERS = 300
/** 0.54 per second is 47,000 changes per day. */
const RATES_PER_SECOND = [0.54, 5, 20]
const DURATION_MS = 15_000
const QUICK_DURATION_MS = 4_000
const IDLE_MS = 10_000
const MICROS_PER_MS = 1_000

interface ChangeRun {
  readonly changes: number
  readonly elapsedMs: number
  readonly costs: readonly NodeCost[]
  readonly acceptedMs: readonly number[]
}

/** Measures 5 nodes, 3 of them control nodes, with an inventory of 300 workers. */
export async function run ({ quick }: { readonly quick: boolean }): Promise<BenchTable[]> {
  const system = await CapacitySystem.start({ nodes: NODES, controlNodes: 3 })
  try {
    await loadInventory(system, WORKERS)
    const idle = await measureIdleCost(system, quick ? QUICK_DURATION_MS : IDLE_MS)
    const rows = [toRow('none', { changes: 0, elapsedMs: 1, costs: idle, acceptedMs: [] }, idle)]
    for (const rate of RATES_PER_SECOND) {
      rows.push(toRow(`${rate}/s`, await runChanges(system, quick ? QUICK_DURATION_MS : DURATION_MS, rate), idle))
    }
    rows.push(toRow('one after the other', await runChanges(system, quick ? QUICK_DURATION_MS : DURATION_MS), idle))
    return [{
      title: `Changes of one organisation, ${NODES} nodes, ${WORKERS} workers`,
      columns: [
        'rate', 'changes', 'changes/s', 'p50 ms', 'p99 ms', 'leader %', 'voter %', 'entry %',
        'leader sent B/s', 'entry received B/s', 'feed B per change and node', 'raft B per change and voter'
      ],
      rows
    }]
  } finally {
    await system.stop()
  }
}

/** Sends changes through an entry node, each at its planned time or, without a rate, after the previous response. */
async function runChanges (system: CapacitySystem, durationMs: number, rate?: number): Promise<ChangeRun> {
  const acceptedMs: number[] = []
  let version = (await system.statuses())[0]?.configurationVersion ?? 0
  let elapsedMs = 0
  const costs = await measureCost(system, async () => {
    const startedMs = performance.now()
    while (performance.now() - startedMs < durationMs) {
      if (rate !== undefined) await delay(startedMs + acceptedMs.length * 1_000 / rate - performance.now())
      const sentMs = performance.now()
      version = (await system.client(NODES - 1).applyChange(smallChange(version, 'organisation'))).version
      acceptedMs.push(performance.now() - sentMs)
    }
    elapsedMs = performance.now() - startedMs
  })
  await awaitVersion(system, version)
  return { changes: acceptedMs.length, elapsedMs, costs, acceptedMs }
}

function toRow (name: string, measured: ChangeRun, idle: readonly NodeCost[]): string[] {
  const { changes, elapsedMs, costs, acceptedMs } = measured
  const [leader, voter, entry] = (['leader', 'voter', 'entry'] as const).map(role => meanOfRole(costs, role))
  const idleLeader = meanOfRole(idle, 'leader')
  const perSecond = changes * 1_000 / elapsedMs
  const extra = (message: string) =>
    (leader?.sentBytesByMessage.get(message) ?? 0) - (idleLeader?.sentBytesByMessage.get(message) ?? 0)
  const perChange = (message: string, peers: number) => changes === 0 ? 0 : extra(message) / perSecond / peers
  const histogram = build()
  for (const value of acceptedMs) histogram.recordValue(Math.round(value * MICROS_PER_MS))
  const percentile = (percent: number) => (histogram.getValueAtPercentile(percent) / MICROS_PER_MS).toFixed(1)
  return [
    name,
    String(changes),
    perSecond.toFixed(2),
    percentile(50),
    percentile(99),
    ...[leader, voter, entry].map(cost => cost?.corePercent.toFixed(2) ?? '-'),
    leader?.sentBytesPerSecond.toFixed(0) ?? '-',
    entry?.receivedBytesPerSecond.toFixed(0) ?? '-',
    perChange('feed', NODES - 1).toFixed(0),
    perChange('raft', 2).toFixed(0)
  ]
}
