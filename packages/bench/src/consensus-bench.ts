/** Benchmark of the replicated log: commits, failover, restart and idle traffic. */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { performance } from 'node:perf_hooks'
import { defaultReplicaSettings, Replica, type LogEntry, type VoterId } from '@comfreygrade/consensus'
import { Random } from '@comfreygrade/core'
import { build } from 'hdr-histogram-js'
import { createBenchCommand, type BenchCommand, type ConsensusBenchAdapters } from './consensus-adapters.js'
import { BenchCluster } from './consensus-cluster.js'
import { ClusterSimulation } from './consensus-simulation.js'
import type { BenchTable } from './format.js'
import { NodeAdapters } from './consensus-node-adapters.js'

const MEASUREMENT_MS = 5_000
const FAILOVER_SEEDS = 20
const RESTART_ENTRIES = 10_000
const RESTART_BATCH_ENTRIES = 500
const SNAPSHOT_BYTES = 4_000_000
const IDLE_MS = 60_000
const MICROS_PER_MS = 1_000

/** Throughput and latency of commits with a constant number of proposals in flight. */
export interface CommitMeasures {
  readonly replicas: number
  readonly inFlight: number
  readonly commitsPerSecond: number
  readonly p50Ms: number
  readonly p99Ms: number
}

/** Time without a leader that can commit after the leader was killed, over several seeds. */
export interface FailoverMeasures {
  readonly replicas: number
  readonly medianMs: number
  readonly maxMs: number
}

/** Time from opening the log until the replica has taken its first step. */
export interface RestartMeasures {
  readonly hasSnapshot: boolean
  readonly restartMs: number
}

/** Traffic between a leader and a follower without proposals, in both directions together. */
export interface IdleMeasures {
  readonly bytesPerSecond: number
}

export interface ConsensusBenchReport {
  readonly commits: readonly CommitMeasures[]
  readonly failover: readonly FailoverMeasures[]
  readonly restart: readonly RestartMeasures[]
  readonly idle: IdleMeasures
}

/**
 * Measures commits, failover, restart and idle traffic. `folder` must be empty and on the disk to be measured.
 *
 * @example
 * const report = await runConsensusBench('/var/tmp/bench', adapters)
 * console.log(report.commits)
 */
export async function runConsensusBench (
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
  return { commits, failover: [measureFailovers(3), measureFailovers(5)], restart, idle: measureIdle(adapters) }
}

/** Measures the node's adapters on the disk that holds the temporary folder. */
export async function run (): Promise<BenchTable[]> {
  const folder = await mkdtemp(join(tmpdir(), 'comfreygrade-bench-'))
  try {
    return toTables(await runConsensusBench(folder, new NodeAdapters()))
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
      title: `Model time without a leader after a kill, ${FAILOVER_SEEDS} seeds`,
      columns: ['replicas', 'median ms', 'max ms'],
      rows: failover.map(({ replicas, medianMs, maxMs }) => [String(replicas), medianMs.toFixed(0), maxMs.toFixed(0)])
    },
    {
      title: `Restart with ${RESTART_ENTRIES} entries`,
      columns: ['snapshot', 'ms'],
      rows: restart.map(({ hasSnapshot, restartMs }) => [hasSnapshot ? 'yes' : 'no', restartMs.toFixed(1)])
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
): Promise<CommitMeasures[]> {
  const cluster = await BenchCluster.start(folder, replicas, adapters)
  const measures: CommitMeasures[] = []
  for (const inFlight of [1, 64, 1_024]) {
    measures.push(toCommitMeasures(replicas, inFlight, await cluster.measure(inFlight, MEASUREMENT_MS)))
  }
  await cluster.stop()
  return measures
}

function toCommitMeasures (replicas: number, inFlight: number, latenciesMs: readonly number[]): CommitMeasures {
  const histogram = build()
  for (const latencyMs of latenciesMs) histogram.recordValue(Math.round(latencyMs * MICROS_PER_MS))
  return {
    replicas,
    inFlight,
    commitsPerSecond: Math.round(latenciesMs.length * 1_000 / MEASUREMENT_MS),
    p50Ms: histogram.getValueAtPercentile(50) / MICROS_PER_MS,
    p99Ms: histogram.getValueAtPercentile(99) / MICROS_PER_MS
  }
}

function measureFailovers (replicas: number): FailoverMeasures {
  const timesMs = Array.from({ length: FAILOVER_SEEDS }, (_, seed) => measureFailoverMs(replicas, seed + 1))
  timesMs.sort((a, b) => a - b)
  return { replicas, medianMs: timesMs[FAILOVER_SEEDS / 2] ?? 0, maxMs: timesMs.at(-1) ?? 0 }
}

/** Returns simulated time, which is independent of the speed of the machine ("Model time" in the table). */
function measureFailoverMs (replicas: number, seed: number): number {
  const simulation = new ClusterSimulation(replicas, seed)
  simulation.runUntilLeader()
  simulation.run(new Random(seed).nextInt(1_000, 2_000))
  simulation.killLeader()
  return simulation.runUntilLeader()
}

async function measureRestart (
  folder: string, hasSnapshot: boolean, adapters: ConsensusBenchAdapters
): Promise<RestartMeasures> {
  const id = { nodeId: 'n0', diskId: 'd' }
  await writeLog(folder, id, hasSnapshot, adapters)
  const startedMs = performance.now()
  const storage = adapters.openLog(folder)
  const recovered = await storage.recover()
  const replica = new Replica({ id, settings: defaultReplicaSettings, recovered, random: new Random(1) })
  replica.step({ kind: 'tick' }, performance.now())
  const restartMs = performance.now() - startedMs
  await storage.close()
  return { hasSnapshot, restartMs }
}

async function writeLog (
  folder: string, id: VoterId, hasSnapshot: boolean, adapters: ConsensusBenchAdapters
): Promise<void> {
  const storage = adapters.openLog(folder)
  await storage.recover()
  const { hardState, entries } = Replica.initialLog<BenchCommand>([id])
  await storage.persist({ kind: 'persist', persistId: 0, hardState, entries })
  for (let first = 2; first <= RESTART_ENTRIES; first += RESTART_BATCH_ENTRIES) {
    const batch = Array.from({ length: RESTART_BATCH_ENTRIES }, (_, offset) => createEntry(first + offset))
    await storage.persist({ kind: 'persist', persistId: first, entries: batch })
  }
  if (hasSnapshot) await storage.saveSnapshot(createSnapshot(id))
  await storage.close()
}

function createEntry (index: number): LogEntry<BenchCommand> {
  const body = { kind: 'command', proposalId: `p${index}`, command: createBenchCommand(index) } as const
  return { index, term: 1, logTimeMs: 1_700_000_000_000 + index, body }
}

function createSnapshot (id: VoterId) {
  const content = new Uint8Array(SNAPSHOT_BYTES)
  return { lastIndex: RESTART_ENTRIES, lastTerm: 1, logTimeMs: 0, voters: [id], outgoingVoters: [], content }
}

function measureIdle (adapters: ConsensusBenchAdapters): IdleMeasures {
  let totalBytes = 0
  const simulation = new ClusterSimulation(2, 1, (_from, _to, message) => {
    totalBytes += adapters.encode(message).byteLength
  })
  simulation.runUntilLeader()
  simulation.run(1_000)
  totalBytes = 0
  simulation.run(IDLE_MS)
  return { bytesPerSecond: totalBytes * 1_000 / IDLE_MS }
}
