/** Resource use and latency of configuration changes at several rates. */
import { performance } from 'node:perf_hooks'
import { build } from 'hdr-histogram-js'
import { pause } from '@comfreygrade/timers'
import type { BenchTable } from './format.js'
import { meanOfRole, measureResourceUse, measureIdleResourceUse, type ResourceUse } from './capacity-cost.js'
import { awaitVersion, loadInventory, createChange } from './capacity-inventory.js'
import { LocalCluster } from './capacity-system.js'

const NODES = 5
const WORKERS = 300
/** Changes per second. 47,000 changes per day are 0.54 per second. */
const RATES_PER_SECOND = [0.54, 5, 20]
const DURATION_MS = 15_000
const QUICK_DURATION_MS = 4_000
const IDLE_MS = 10_000
const MICROS_PER_MS = 1_000

interface ChangeRun {
  readonly changes: number
  readonly elapsedMs: number
  readonly uses: readonly ResourceUse[]
  readonly acceptLatenciesMs: readonly number[]
}

/** Measures 5 nodes, 3 of them control nodes, with an inventory of 300 workers. */
export async function run ({ quick }: { readonly quick: boolean }): Promise<BenchTable[]> {
  const cluster = await LocalCluster.start({ nodes: NODES, controlNodes: 3 })
  try {
    await loadInventory(cluster, WORKERS)
    const idle = await measureIdleResourceUse(cluster, quick ? QUICK_DURATION_MS : IDLE_MS)
    // An elapsed time of 1 ms avoids a division by zero.
    const rows = [toRow('none', { changes: 0, elapsedMs: 1, uses: idle, acceptLatenciesMs: [] }, idle)]
    for (const rate of RATES_PER_SECOND) {
      rows.push(toRow(`${rate}/s`, await runChanges(cluster, quick ? QUICK_DURATION_MS : DURATION_MS, rate), idle))
    }
    rows.push(toRow('one after the other', await runChanges(cluster, quick ? QUICK_DURATION_MS : DURATION_MS), idle))
    return [{
      title: `Changes of one organisation, ${NODES} nodes, ${WORKERS} workers`,
      columns: [
        'rate', 'changes', 'changes/s', 'p50 ms', 'p99 ms', 'leader %', 'voter %', 'entry %',
        'leader sent B/s', 'entry received B/s', 'feed B per change and node', 'raft B per change and voter'
      ],
      rows
    }]
  } finally {
    await cluster.stop()
  }
}

/**
 * Sends changes through an entry node one at a time: each no earlier than its planned time or, without a rate, right
 * after the previous response. A slow response delays the later changes, and latency is measured from the actual send
 * time.
 */
async function runChanges (cluster: LocalCluster, durationMs: number, rate?: number): Promise<ChangeRun> {
  const acceptLatenciesMs: number[] = []
  let version = (await cluster.statuses())[0]?.configurationVersion ?? 0
  let elapsedMs = 0
  const uses = await measureResourceUse(cluster, async () => {
    const startedMs = performance.now()
    while (performance.now() - startedMs < durationMs) {
      if (rate !== undefined) await pause(startedMs + acceptLatenciesMs.length * 1_000 / rate - performance.now())
      const sentMs = performance.now()
      version = (await cluster.client(NODES - 1).applyChange(createChange(version, 'organisation'))).version
      acceptLatenciesMs.push(performance.now() - sentMs)
    }
    elapsedMs = performance.now() - startedMs
  })
  await awaitVersion(cluster, version)
  return { changes: acceptLatenciesMs.length, elapsedMs, uses, acceptLatenciesMs }
}

function toRow (name: string, measured: ChangeRun, idle: readonly ResourceUse[]): string[] {
  const { changes, elapsedMs, uses, acceptLatenciesMs } = measured
  const [leader, voter, entry] = (['leader', 'voter', 'entry'] as const).map(role => meanOfRole(uses, role))
  const idleLeader = meanOfRole(idle, 'leader')
  const perSecond = changes * 1_000 / elapsedMs
  /** Bytes per second that the leader sent in messages of this kind, above those of the idle cluster. */
  const bytesPerSecondAboveIdle = (message: string) =>
    (leader?.sentBytesPerSecondByMessage.get(message) ?? 0) -
    (idleLeader?.sentBytesPerSecondByMessage.get(message) ?? 0)
  const perChange = (message: string, peers: number) =>
    changes === 0 ? 0 : bytesPerSecondAboveIdle(message) / perSecond / peers
  const histogram = build()
  for (const value of acceptLatenciesMs) histogram.recordValue(Math.round(value * MICROS_PER_MS))
  const percentile = (percent: number) => (histogram.getValueAtPercentile(percent) / MICROS_PER_MS).toFixed(1)
  return [
    name,
    String(changes),
    perSecond.toFixed(2),
    percentile(50),
    percentile(99),
    ...[leader, voter, entry].map(use => use?.corePercent.toFixed(2) ?? '-'),
    leader?.sentBytesPerSecond.toFixed(0) ?? '-',
    entry?.receivedBytesPerSecond.toFixed(0) ?? '-',
    perChange('feed', NODES - 1).toFixed(0),
    // The 2 other control nodes receive the log entries.
    perChange('raft', 2).toFixed(0)
  ]
}
