/** Benchmark of the replicated log. */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { performance } from 'node:perf_hooks'
import { defaultReplicaSettings, Replica, type LogEntry, type VoterId } from '@comfreygrade/consensus'
import { Random } from '@comfreygrade/core'
import { build } from 'hdr-histogram-js'
import { benchCommand, type BenchCommand, type ConsensusBenchAdapters } from './consensus-adapters.js'
import { BenchCluster } from './consensus-cluster.js'
import { ClusterModel } from './consensus-simulation.js'
import type { BenchTable } from './format.js'
import { NodeAdapters } from './consensus-node-adapters.js'

const measureMs = 5_000
const failoverSeeds = 20
const restartEntries = 10_000
const restartBatchEntries = 500
const snapshotBytes = 4_000_000
const idleMs = 60_000
const microsPerMs = 1_000

/** Commits with a number of proposals kept open. */
export interface CommitFigures {
  readonly replicas: number
  readonly inFlight: number
  readonly commitsPerSecond: number
  readonly p50Ms: number
  readonly p99Ms: number
}

/** Times without a leader that can commit, after a kill of the leader, over several seeds. */
export interface FailoverFigures {
  readonly replicas: number
  readonly medianMs: number
  readonly maxMs: number
}

/** Time from opening the log to a replica that has taken its first step. */
export interface RestartFigures {
  readonly withSnapshot: boolean
  readonly restartMs: number
}

/** Traffic of one leader and one follower without proposals, both directions together. */
export interface IdleFigures {
  readonly bytesPerSecond: number
}

/** Everything that the benchmark measures. */
export interface ConsensusBenchReport {
  readonly commits: readonly CommitFigures[]
  readonly failover: readonly FailoverFigures[]
  readonly restart: readonly RestartFigures[]
  readonly idle: IdleFigures
}

/**
 * Measures commits, failover, restart and idle traffic. Needs an empty folder on the disk to measure.
 *
 * @example
 * const report = await consensusBench('/var/tmp/bench', adapters)
 * console.log(report.commits)
 */
export async function consensusBench (
  folder: string, adapters: ConsensusBenchAdapters
): Promise<ConsensusBenchReport> {
  const commits = [
    ...await measureCommits(join(folder, 'three'), 3, adapters),
    ...await measureCommits(join(folder, 'five'), 5, adapters)
  ]
  const restart = [
    await measureRestart(join(folder, 'plain'), false, adapters),
    await measureRestart(join(folder, 'snapshot'), true, adapters)
  ]
  return { commits, failover: [measureFailover(3), measureFailover(5)], restart, idle: measureIdle(adapters) }
}

/** Measures the log on the disk of the temporary folder, with the adapters of the node. */
export async function run (): Promise<BenchTable[]> {
  const folder = await mkdtemp(join(tmpdir(), 'comfreygrade-bench-'))
  try {
    return toTables(await consensusBench(folder, new NodeAdapters()))
  } finally {
    await rm(folder, { recursive: true, force: true })
  }
}

function toTables ({ commits, failover, restart, idle }: ConsensusBenchReport): BenchTable[] {
  return [
    {
      title: 'Commits with a file log for each replica, one process',
      columns: ['replicas, open proposals', 'commits/s', 'p50 ms', 'p99 ms'],
      rows: commits.map(({ replicas, inFlight, commitsPerSecond, p50Ms, p99Ms }) =>
        [`${replicas}, ${inFlight}`, String(commitsPerSecond), p50Ms.toFixed(2), p99Ms.toFixed(2)])
    },
    {
      title: `Model time without a leader after a kill, ${failoverSeeds} seeds`,
      columns: ['replicas', 'median ms', 'max ms'],
      rows: failover.map(({ replicas, medianMs, maxMs }) => [String(replicas), medianMs.toFixed(0), maxMs.toFixed(0)])
    },
    {
      title: `Restart with ${restartEntries} entries`,
      columns: ['snapshot', 'ms'],
      rows: restart.map(({ withSnapshot, restartMs }) => [withSnapshot ? 'yes' : 'no', restartMs.toFixed(1)])
    },
    {
      title: 'Idle leader and one follower, both directions',
      columns: ['figure', 'bytes/s'],
      rows: [['heartbeats and answers', idle.bytesPerSecond.toFixed(0)]]
    }
  ]
}

async function measureCommits (
  folder: string, replicas: number, adapters: ConsensusBenchAdapters
): Promise<CommitFigures[]> {
  const cluster = await BenchCluster.start(folder, replicas, adapters)
  const figures: CommitFigures[] = []
  for (const inFlight of [1, 64, 1_024]) {
    figures.push(commitFigures(replicas, inFlight, await cluster.measure(inFlight, measureMs)))
  }
  await cluster.stop()
  return figures
}

function commitFigures (replicas: number, inFlight: number, latenciesMs: readonly number[]): CommitFigures {
  const histogram = build()
  for (const latencyMs of latenciesMs) histogram.recordValue(Math.round(latencyMs * microsPerMs))
  return {
    replicas,
    inFlight,
    commitsPerSecond: Math.round(latenciesMs.length * 1_000 / measureMs),
    p50Ms: histogram.getValueAtPercentile(50) / microsPerMs,
    p99Ms: histogram.getValueAtPercentile(99) / microsPerMs
  }
}

function measureFailover (replicas: number): FailoverFigures {
  const timesMs = Array.from({ length: failoverSeeds }, (_, seed) => failoverMs(replicas, seed + 1))
  timesMs.sort((a, b) => a - b)
  return { replicas, medianMs: timesMs[failoverSeeds / 2] ?? 0, maxMs: timesMs.at(-1) ?? 0 }
}

function failoverMs (replicas: number, seed: number): number {
  const model = new ClusterModel(replicas, seed)
  model.runUntilLeader()
  model.run(new Random(seed).nextInt(1_000, 2_000))
  model.killLeader()
  return model.runUntilLeader()
}

async function measureRestart (
  folder: string, withSnapshot: boolean, adapters: ConsensusBenchAdapters
): Promise<RestartFigures> {
  const id = { nodeId: 'n0', diskId: 'd' }
  await fillLog(folder, id, withSnapshot, adapters)
  const startedMs = performance.now()
  const storage = adapters.openLog(folder)
  const recovered = await storage.recover()
  const replica = new Replica({ id, settings: defaultReplicaSettings, recovered, random: new Random(1) })
  replica.step({ kind: 'tick' }, performance.now())
  const restartMs = performance.now() - startedMs
  await storage.close()
  return { withSnapshot, restartMs }
}

async function fillLog (
  folder: string, id: VoterId, withSnapshot: boolean, adapters: ConsensusBenchAdapters
): Promise<void> {
  const storage = adapters.openLog(folder)
  await storage.recover()
  const { hardState, entries } = Replica.initialLog<BenchCommand>([id])
  await storage.persist({ kind: 'persist', persistId: 0, hardState, entries })
  for (let first = 2; first <= restartEntries; first += restartBatchEntries) {
    const batch = Array.from({ length: restartBatchEntries }, (_, offset) => benchEntry(first + offset))
    await storage.persist({ kind: 'persist', persistId: first, entries: batch })
  }
  if (withSnapshot) await storage.saveSnapshot(snapshotOf(id))
  await storage.close()
}

function benchEntry (index: number): LogEntry<BenchCommand> {
  const body = { kind: 'command', proposalId: `p${index}`, command: benchCommand(index) } as const
  return { index, term: 1, logTimeMs: 1_700_000_000_000 + index, body }
}

function snapshotOf (id: VoterId) {
  const content = new Uint8Array(snapshotBytes)
  return { lastIndex: restartEntries, lastTerm: 1, logTimeMs: 0, voters: [id], outgoingVoters: [], content }
}

function measureIdle (adapters: ConsensusBenchAdapters): IdleFigures {
  let totalBytes = 0
  const model = new ClusterModel(2, 1, (_from, _to, message) => {
    totalBytes += adapters.encode(message).byteLength
  })
  model.runUntilLeader()
  model.run(1_000)
  totalBytes = 0
  model.run(idleMs)
  return { bytesPerSecond: totalBytes * 1_000 / idleMs }
}
