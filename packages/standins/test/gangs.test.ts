/** Gang jobs on the whole system as processes, while the leader or a worker dies. */
import { setTimeout as delay } from 'node:timers/promises'
import test, { type ExecutionContext } from 'ava'
import type { ConfigurationChange, JobSpec } from '@comfreygrade/core'
import { FixedRunTime, type LocalSystem, StandInWorker, type TaskRun, waitFor } from '../src/index.js'
import { document, startConfigured } from './system-fixture.js'

const GANG_TASKS = 2
/** Short leases, so that a lost worker is noticed within the test. Tasks that meet a loss run longer than a lease. */
const sections = { control: { leaseMs: 2_000 } }
const ENDED_LIMIT_MS = 60_000

/** The target for the start of urgent work. */
const URGENT_START_LIMIT_MS = 5_100

function gang (index: number): JobSpec {
  return {
    jobId: `gang-${index}`,
    organisationId: index % 2 === 0 ? 'o1' : 'o2',
    jobClass: 'gang',
    tasks: GANG_TASKS,
    acceleratorModel: 'gpu',
    acceleratorsPerTask: 8,
    coresPerTask: 1,
    memoryGbPerTask: 1,
    adjacency: 'rack',
    declaredRunMs: 1_000,
    priority: 'normal',
    preemption: 'repeat'
  }
}

async function startWorkers (t: ExecutionContext, system: LocalSystem, runMs: number): Promise<StandInWorker[]> {
  const workers = document.workers.map(({ workerId, accelerators }) => new StandInWorker({
    workerId, accelerators, entries: system.addresses, runTimes: new FixedRunTime(runMs), maxHeartbeatIntervalMs: 300
  }))
  t.teardown(async () => { await Promise.all(workers.map(async worker => { await worker.kill() })) })
  await Promise.all(workers.map(async worker => { await worker.start() }))
  return workers
}

async function submitGangs (system: LocalSystem, count: number): Promise<void> {
  const client = system.client('montevideo-2')
  for (let index = 0; index < count; index++) await client.submitJob(gang(index))
}

async function awaitEnded (system: LocalSystem, count: number) {
  const client = system.client('salto-2')
  return await waitFor('every gang to end', ENDED_LIMIT_MS, async () => {
    const { jobs } = await client.jobs()
    return jobs.length === count && jobs.every(job => job.phase === 'ended') ? jobs : undefined
  })
}

/** Finds gangs of which a task ran although not every task held its lease before. */
function findPartialGangs (workers: readonly StandInWorker[]): string[] {
  const gangs = new Map<string, TaskRun[]>()
  for (const run of workers.flatMap(worker => worker.runs)) {
    const key = `${run.jobId} under lease ${run.leaseId}`
    gangs.set(key, [...gangs.get(key) ?? [], run])
  }
  return [...gangs].filter(([, runs]) => {
    const firstStartMs = Math.min(...runs.map(run => run.startedMs ?? Infinity))
    const prepared = runs.filter(run => run.preparedMs <= firstStartMs)
    return firstStartMs < Infinity && new Set(prepared.map(run => run.taskIndex)).size < GANG_TASKS
  }).map(([key]) => key)
}

test.serial('a leader killed among starting gangs leaves no gang in part, and its successor completes all of them', async t => {
  const system = await startConfigured(t, { sections })
  const workers = await startWorkers(t, system, 300)
  await submitGangs(system, 12)
  await delay(400)
  await system.kill(await system.leader())
  const jobs = await awaitEnded(system, 12)
  t.deepEqual([...new Set(jobs.map(job => job.outcome))], ['completed'])
  t.deepEqual(findPartialGangs(workers), [])
})

test.serial('a worker that dies stops its whole gang, which runs again elsewhere', async t => {
  const system = await startConfigured(t, { sections })
  const workers = await startWorkers(t, system, 3_000)
  await submitGangs(system, 4)
  const busy = await waitFor('a worker to run a task', 10_000, async () =>
    workers.find(worker => worker.runs.some(run => run.state === 'running')))
  const lostRun = busy.runs.find(run => run.state === 'running')
  await busy.kill()
  const jobs = await awaitEnded(system, 4)
  t.deepEqual([...new Set(jobs.map(job => job.outcome))], ['completed'])
  t.deepEqual(findPartialGangs(workers), [])
  const lostJob = jobs.find(job => job.spec.jobId === lostRun?.jobId)
  t.true((lostJob?.starts ?? 0) >= 2)
  const sibling = workers.filter(worker => worker !== busy).flatMap(worker => worker.runs)
    .find(run => run.jobId === lostRun?.jobId && run.leaseId === lostRun.leaseId)
  t.is(sibling?.state, 'stopped')
})

test.serial('a worker that freezes stops its task before the cell is given away', async t => {
  const system = await startConfigured(t, { sections })
  const workers = await startWorkers(t, system, 3_000)
  await submitGangs(system, 4)
  const frozen = await waitFor('a worker to run a task', 10_000, async () =>
    workers.find(worker => worker.runs.some(run => run.state === 'running')))
  frozen.freeze()
  await delay(4_000)
  frozen.thaw()
  const jobs = await awaitEnded(system, 4)
  t.deepEqual([...new Set(jobs.map(job => job.outcome))], ['completed'])
  t.deepEqual(findPartialGangs(workers), [])
  t.true(frozen.runs.some(run => run.isLeaseLost))
})

test.serial('an urgent gang gets its guaranteed rack back from lent jobs within 5.1 s, and they run again later', async t => {
  const system = await startConfigured(t, { sections })
  const workers = await startWorkers(t, system, 6_000)
  const client = system.client('montevideo-2')
  const record = {
    guaranteeId: 'o1-rack', organisationId: 'o1', acceleratorModel: 'gpu', acceleratorsPerCell: 16, cells: 1
  }
  const change: ConfigurationChange = {
    version: 2, baseVersion: 1, upserts: [{ kind: 'guarantee', record }], removes: []
  }
  await client.applyChange(change)
  for (const index of [1, 3]) await client.submitJob({ ...gang(index), preemption: 'checkpoint' })
  await waitFor('the lent jobs to run', 20_000, async () =>
    (await client.jobs()).jobs.every(job => job.phase === 'running') || undefined)

  await client.submitJob({ ...gang(0), priority: 'urgent' })
  const urgent = await waitFor('the urgent gang to run', URGENT_START_LIMIT_MS, async () => {
    const job = await client.job('gang-0')
    return job.phase === 'running' ? job : undefined
  })
  t.is(urgent.placement?.capacityClass, 'guaranteed')
  const explanations = await Promise.all([1, 3].map(async index => await client.explainJob(`gang-${index}`)))
  t.is(explanations.filter(explanation => explanation.state === 'waiting').length, 1)
  const jobs = await awaitEnded(system, 3)
  t.deepEqual([...new Set(jobs.map(job => job.outcome))], ['completed'])
  t.deepEqual(findPartialGangs(workers), [])
})
