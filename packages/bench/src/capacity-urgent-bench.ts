/** Time from the submission of an urgent gang until it runs, on a free fleet and on one that is full of lent work. */
import { performance } from 'node:perf_hooks'
import { setTimeout as delay } from 'node:timers/promises'
import type { JobPriority, JobSpec, Preemption } from '@comfreygrade/core'
import { FixedRunTime, StandInWorker, waitFor } from '@comfreygrade/standins'
import { capacityInventory, loadInventory } from './capacity-inventory.js'
import { CapacitySystem } from './capacity-system.js'
import type { BenchTable } from './format.js'

/** Three racks of eight workers, 54 accelerators. */
const WORKERS = 24
const GANG_TASKS = 8
const FILL_JOBS = 27
const FILL_TASKS = 2
const RUN_MS = 600_000
const POLL_MS = 10
const LIMIT_MS = 30_000
const QUICK_SAMPLES = 3
const SAMPLES = 10

/** Measures 5 nodes, 3 of them control nodes, with 24 stand-in workers. */
export async function run ({ quick }: { readonly quick: boolean }): Promise<BenchTable[]> {
  const samples = quick ? QUICK_SAMPLES : SAMPLES
  const system = await CapacitySystem.start({ nodes: 5, controlNodes: 3 })
  const workers = createWorkers(system)
  try {
    await loadInventory(system, WORKERS)
    await Promise.all(workers.map(async worker => { await worker.start() }))
    const free = await measureUrgent(system, 'free', samples)
    await fill(system)
    const full = await measureUrgent(system, 'full', samples)
    return [{
      title: `Urgent gang of ${GANG_TASKS} tasks in one rack, from submission to running, ms`,
      columns: ['fleet', 'samples', 'median', 'max'],
      rows: [toRow('free', free), toRow('full of lent work that is stopped and repeated', full)]
    }]
  } finally {
    await Promise.all(workers.map(async worker => { await worker.kill() }))
    await system.stop()
  }
}

function createWorkers (system: CapacitySystem): StandInWorker[] {
  return capacityInventory(WORKERS).workers.map(({ workerId, accelerators }) => new StandInWorker({
    workerId, accelerators, entries: system.addresses.slice(3), runTimes: new FixedRunTime(RUN_MS)
  }))
}

async function fill (system: CapacitySystem): Promise<void> {
  const ids = Array.from({ length: FILL_JOBS }, (_, number) => `fill-${number}`)
  await Promise.all(ids.map(async id => { await system.client(4).submitJob(job(id, FILL_TASKS, 'low', 'repeat')) }))
  await waitFor('the fleet to be full', LIMIT_MS, async () => {
    const { total } = await system.client(4).jobs({ phase: 'running' })
    return total === FILL_JOBS ? true : undefined
  })
}

async function measureUrgent (system: CapacitySystem, label: string, samples: number): Promise<number[]> {
  const times: number[] = []
  for (let sample = 0; sample < samples; sample += 1) {
    const id = `urgent-${label}-${sample}`
    times.push(await measureStart(system, id))
    await system.client(4).cancelJob(id)
    await delay(1_000)
  }
  return times
}

async function measureStart (system: CapacitySystem, id: string): Promise<number> {
  const client = system.client(4)
  const startedMs = performance.now()
  await client.submitJob(job(id, GANG_TASKS, 'urgent', 'none'))
  while ((await client.job(id)).phase !== 'running') {
    if (performance.now() - startedMs > LIMIT_MS) throw new Error(`${id} did not run within ${LIMIT_MS} ms`)
    await delay(POLL_MS)
  }
  return performance.now() - startedMs
}

function job (jobId: string, tasks: number, priority: JobPriority, preemption: Preemption): JobSpec {
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
