/** Gang jobs on a local cluster of processes, with failures of the leader or of a worker. */
import { setTimeout as delay } from 'node:timers/promises'
import test, { type ExecutionContext } from 'ava'
import type { ConfigurationChange, JobSpec } from '@comfreygrade/core'
import { FixedRunTime, type LocalCluster, StandInWorker, type TaskRun, waitFor } from '../src/index.js'
import { testInventory, startConfiguredCluster } from './system-fixture.js'

const GANG_TASKS = 2
/**
 * Short leases, so that a lost worker is detected within the test. In tests that lose a worker, tasks run longer than a
 * lease, so that they still run when the loss is detected.
 */
const SHORT_LEASE_SETTINGS = { control: { leaseMs: 2_000 } }
const JOBS_TIMEOUT_MS = 60_000

/** Target for the time from the submission of an urgent job to its start, including reclaims of lent accelerators. */
const URGENT_START_TARGET_MS = 5_100

function gangJob (index: number): JobSpec {
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

async function startWorkers (t: ExecutionContext, cluster: LocalCluster, runMs: number): Promise<StandInWorker[]> {
  const workers = testInventory.workers.map(({ workerId, accelerators }) => new StandInWorker({
    workerId,
    accelerators,
    entryAddresses: cluster.entryAddresses,
    runTimes: new FixedRunTime(runMs),
    maxHeartbeatIntervalMs: 300
  }))
  t.teardown(async () => { await Promise.all(workers.map(async worker => { await worker.kill() })) })
  await Promise.all(workers.map(async worker => { await worker.start() }))
  return workers
}

async function submitGangs (cluster: LocalCluster, count: number): Promise<void> {
  const client = cluster.client('montevideo-2')
  for (let index = 0; index < count; index++) await client.submitJob(gangJob(index))
}

async function waitForJobsToEnd (cluster: LocalCluster, count: number) {
  const client = cluster.client('salto-2')
  return await waitFor('every gang to end', JOBS_TIMEOUT_MS, async () => {
    const { jobs } = await client.jobs()
    return jobs.length === count && jobs.every(job => job.phase === 'ended') ? jobs : undefined
  })
}

/** Finds gangs of which a task started before every task of the same placement was prepared. */
function findPartialGangs (workers: readonly StandInWorker[]): string[] {
  const gangs = new Map<string, TaskRun[]>()
  for (const run of workers.flatMap(worker => worker.runs)) {
    const key = `${run.jobId} in placement ${run.leaseId}`
    gangs.set(key, [...gangs.get(key) ?? [], run])
  }
  return [...gangs].filter(([, runs]) => {
    const firstStartMs = Math.min(...runs.map(run => run.startedMs ?? Infinity))
    const prepared = runs.filter(run => run.preparedMs <= firstStartMs)
    return firstStartMs < Infinity && new Set(prepared.map(run => run.taskIndex)).size < GANG_TASKS
  }).map(([key]) => key)
}

test.serial('a leader killed shortly after gangs were submitted leaves no gang partially started, and the next leader completes all gangs', async t => {
  const cluster = await startConfiguredCluster(t, { sections: SHORT_LEASE_SETTINGS })
  const workers = await startWorkers(t, cluster, 300)
  await submitGangs(cluster, 12)
  await delay(400)
  await cluster.kill(await cluster.waitForLeader())
  const jobs = await waitForJobsToEnd(cluster, 12)
  t.deepEqual([...new Set(jobs.map(job => job.outcome))], ['completed'])
  t.deepEqual(findPartialGangs(workers), [])
})

test.serial('the loss of a worker stops its whole gang, which then runs again on other workers', async t => {
  const cluster = await startConfiguredCluster(t, { sections: SHORT_LEASE_SETTINGS })
  const workers = await startWorkers(t, cluster, 3_000)
  await submitGangs(cluster, 4)
  const lostWorker = await waitFor('a worker to run a task', 10_000, async () =>
    workers.find(worker => worker.runs.some(run => run.state === 'running')))
  const lostRun = lostWorker.runs.find(run => run.state === 'running')
  await lostWorker.kill()
  const jobs = await waitForJobsToEnd(cluster, 4)
  t.deepEqual([...new Set(jobs.map(job => job.outcome))], ['completed'])
  t.deepEqual(findPartialGangs(workers), [])
  const lostJob = jobs.find(job => job.spec.jobId === lostRun?.jobId)
  t.true((lostJob?.starts ?? 0) >= 2)
  const sibling = workers.filter(worker => worker !== lostWorker).flatMap(worker => worker.runs)
    .find(run => run.jobId === lostRun?.jobId && run.leaseId === lostRun.leaseId)
  t.is(sibling?.state, 'stopped')
})

test.serial('a worker that is frozen beyond its lease stops its task when it resumes, and every gang completes', async t => {
  const cluster = await startConfiguredCluster(t, { sections: SHORT_LEASE_SETTINGS })
  const workers = await startWorkers(t, cluster, 3_000)
  await submitGangs(cluster, 4)
  const frozen = await waitFor('a worker to run a task', 10_000, async () =>
    workers.find(worker => worker.runs.some(run => run.state === 'running')))
  frozen.freeze()
  // Longer than the lease of 2 s, so that it has expired when the worker resumes.
  await delay(4_000)
  frozen.resume()
  const jobs = await waitForJobsToEnd(cluster, 4)
  t.deepEqual([...new Set(jobs.map(job => job.outcome))], ['completed'])
  t.deepEqual(findPartialGangs(workers), [])
  t.true(frozen.runs.some(run => run.isLeaseExpired))
})

test.serial('an urgent gang reclaims its guaranteed rack from a job on lent capacity within 5.1 s, and every job completes', async t => {
  const cluster = await startConfiguredCluster(t, { sections: SHORT_LEASE_SETTINGS })
  const workers = await startWorkers(t, cluster, 6_000)
  const client = cluster.client('montevideo-2')
  const record = {
    guaranteeId: 'o1-rack', organisationId: 'o1', acceleratorModel: 'gpu', acceleratorsPerCell: 16, cells: 1
  }
  const change: ConfigurationChange = {
    version: 2, baseVersion: 1, upserts: [{ kind: 'guarantee', record }], removes: []
  }
  await client.applyChange(change)
  for (const index of [1, 3]) await client.submitJob({ ...gangJob(index), preemption: 'checkpoint' })
  await waitFor('the jobs on lent capacity to run', 20_000, async () =>
    (await client.jobs()).jobs.every(job => job.phase === 'running') || undefined)

  await client.submitJob({ ...gangJob(0), priority: 'urgent' })
  const urgent = await waitFor('the urgent gang to run', URGENT_START_TARGET_MS, async () => {
    const job = await client.job('gang-0')
    return job.phase === 'running' ? job : undefined
  })
  t.is(urgent.placement?.capacityClass, 'guaranteed')
  const explanations = await Promise.all([1, 3].map(async index => await client.explainJob(`gang-${index}`)))
  t.is(explanations.filter(explanation => explanation.state === 'waiting').length, 1)
  const jobs = await waitForJobsToEnd(cluster, 3)
  t.deepEqual([...new Set(jobs.map(job => job.outcome))], ['completed'])
  t.deepEqual(findPartialGangs(workers), [])
})
