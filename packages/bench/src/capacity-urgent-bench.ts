/**
 * Time from the submission of an urgent gang until it runs, on a free fleet and on one that is fully occupied by jobs
 * on lent capacity.
 */
import { performance } from 'node:perf_hooks'
import type { JobPriority, JobSpec, Preemption } from '@comfreygrade/core'
import { FixedRunTime, StandInWorker, waitFor } from '@comfreygrade/standins'
import { pause } from '@comfreygrade/timers'
import { createInventory, loadInventory } from './capacity-inventory.js'
import { LocalCluster } from './capacity-system.js'
import type { BenchTable } from './format.js'

/** Three racks of eight workers. The fill jobs occupy all of their 54 accelerators. */
const WORKERS = 24
const GANG_TASKS = 8
const FILL_JOBS = 27
const FILL_TASKS = 2
const RUN_MS = 600_000
const POLL_INTERVAL_MS = 10
/** Time between samples. Nothing checks that the stopped fill jobs run again by then. */
const SETTLE_AFTER_CANCEL_MS = 1_000
const TIMEOUT_MS = 30_000
const QUICK_SAMPLES = 3
const SAMPLES = 10

/**
 * Measures 5 nodes, 3 of them control nodes, with 24 stand-in workers, which accept orders and run tasks for `RUN_MS`.
 */
export async function run ({ quick }: { readonly quick: boolean }): Promise<BenchTable[]> {
  const samples = quick ? QUICK_SAMPLES : SAMPLES
  const cluster = await LocalCluster.start({ nodes: 5, controlNodes: 3 })
  const workers = createWorkers(cluster)
  try {
    await loadInventory(cluster, WORKERS)
    await Promise.all(workers.map(async worker => { await worker.start() }))
    const free = await measureUrgentStarts(cluster, 'free', samples)
    await fillFleet(cluster)
    const full = await measureUrgentStarts(cluster, 'full', samples)
    return [{
      title: `Urgent gang of ${GANG_TASKS} tasks in one rack, from submission to running, ms`,
      columns: ['fleet', 'samples', 'median', 'max'],
      rows: [toRow('free', free), toRow('full of lent work that is stopped and repeated', full)]
    }]
  } finally {
    await Promise.all(workers.map(async worker => { await worker.kill() }))
    await cluster.stop()
  }
}

function createWorkers (cluster: LocalCluster): StandInWorker[] {
  return createInventory(WORKERS).workers.map(({ workerId, accelerators }) => new StandInWorker({
    workerId, accelerators, entryAddresses: cluster.addresses.slice(3), runTimes: new FixedRunTime(RUN_MS)
  }))
}

async function fillFleet (cluster: LocalCluster): Promise<void> {
  const ids = Array.from({ length: FILL_JOBS }, (_, number) => `fill-${number}`)
  await Promise.all(ids.map(async id => { await cluster.client(4).submitJob(createJobSpec(id, FILL_TASKS, 'low', 'repeat')) }))
  await waitFor('the fleet to be full', TIMEOUT_MS, async () => {
    const { total } = await cluster.client(4).jobs({ phase: 'running' })
    return total === FILL_JOBS ? true : undefined
  })
}

async function measureUrgentStarts (cluster: LocalCluster, label: string, samples: number): Promise<number[]> {
  const times: number[] = []
  for (let sample = 0; sample < samples; sample += 1) {
    const id = `urgent-${label}-${sample}`
    times.push(await measureStartMs(cluster, id))
    await cluster.client(4).cancelJob(id)
    await pause(SETTLE_AFTER_CANCEL_MS)
  }
  return times
}

async function measureStartMs (cluster: LocalCluster, id: string): Promise<number> {
  const client = cluster.client(4)
  const startedMs = performance.now()
  await client.submitJob(createJobSpec(id, GANG_TASKS, 'urgent', 'none'))
  while ((await client.job(id)).phase !== 'running') {
    if (performance.now() - startedMs > TIMEOUT_MS) throw new Error(`${id} did not run within ${TIMEOUT_MS} ms`)
    await pause(POLL_INTERVAL_MS)
  }
  return performance.now() - startedMs
}

function createJobSpec (jobId: string, tasks: number, priority: JobPriority, preemption: Preemption): JobSpec {
  return {
    jobId,
    organisationId: 'organisation-1',
    jobClass: priority,
    tasks,
    acceleratorModel: 'gpu',
    acceleratorsPerTask: 1,
    coresPerTask: 1,
    memoryGbPerTask: 1,
    adjacency: priority === 'urgent' ? 'rack' : 'none',
    declaredRunMs: RUN_MS,
    priority,
    preemption
  }
}

function toRow (name: string, times: readonly number[]): string[] {
  const sorted = [...times].sort((left, right) => left - right)
  const median = sorted[Math.floor(sorted.length / 2)] ?? 0
  return [name, String(times.length), median.toFixed(0), (sorted.at(-1) ?? 0).toFixed(0)]
}
