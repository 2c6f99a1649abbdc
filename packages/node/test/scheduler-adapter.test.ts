import test from 'ava'
import { applyChange, diffDocument, emptyConfiguration, toDocument, type JobSpec } from '@comfreygrade/core'
import { defaultPlacementSettings } from '@comfreygrade/placement'
import { SchedulerAdapter } from '../src/scheduler-adapter.js'

const WORKERS = ['w0', 'w1']

function createScheduler (settings = defaultPlacementSettings): SchedulerAdapter {
  const document = {
    racks: [{ rackId: 'r1', region: 'r', availabilityZone: 'z' }],
    workers: WORKERS.map((workerId, rackPosition) => ({
      workerId, rackId: 'r1', rackPosition, cores: 64, memoryGb: 256, acceleratorModel: 'gpu', accelerators: 8
    })),
    organisations: [{ organisationId: 'o1', quotaAccelerators: 16, weight: 1 }],
    guarantees: [],
    rules: toDocument(emptyConfiguration()).rules
  }
  const result = applyChange(emptyConfiguration(), diffDocument(emptyConfiguration(), document))
  if (!result.ok) throw new Error(result.failure.detail)
  const scheduler = new SchedulerAdapter(settings)
  scheduler.applyConfiguration(result.value)
  for (const workerId of WORKERS) scheduler.workerJoined(workerId, 0)
  return scheduler
}

function job (jobId: string): JobSpec {
  return {
    jobId,
    organisationId: 'o1',
    jobClass: 'c',
    tasks: 1,
    acceleratorModel: 'gpu',
    acceleratorsPerTask: 8,
    coresPerTask: 1,
    memoryGbPerTask: 1,
    adjacency: 'none',
    declaredRunMs: 1_000,
    priority: 'normal',
    preemption: 'repeat'
  }
}

test('a requeued job keeps the record of the workers on which it failed, so that the failure limit applies', t => {
  const scheduler = createScheduler({ ...defaultPlacementSettings, maxFailedPlacements: 2 })
  scheduler.submit(job('bad'), 0)
  for (const nowMs of [10, 20]) {
    const [place] = scheduler.runPass(nowMs)
    t.is(place?.kind, 'place')
    const workerId = place?.kind === 'place' ? place.placement.tasks[0]?.workerId ?? '' : ''
    scheduler.taskFailed('bad', workerId, nowMs + 1)
    scheduler.jobEnded('bad', nowMs + 2)
    scheduler.submit(job('bad'), nowMs + 2)
  }
  t.true(scheduler.runPass(30).some(decision => decision.kind === 'stop' && decision.jobId === 'bad'))
})

test('a released job that is not submitted again frees its accelerators at the next scheduling pass', t => {
  const scheduler = createScheduler()
  for (const jobId of ['a', 'b', 'c']) scheduler.submit(job(jobId), 0)
  t.is(scheduler.runPass(1).length, 2)
  scheduler.jobEnded('a', 2)
  t.deepEqual(scheduler.runPass(3).map(decision => decision.jobId), ['c'])
  t.is(scheduler.report().runningJobs, 2)
})

test('a requeued job keeps its queue position, so that the loss of a worker does not move it to the end', t => {
  const scheduler = createScheduler()
  for (const jobId of ['a', 'b', 'c']) scheduler.submit(job(jobId), 0)
  scheduler.runPass(1)
  scheduler.jobEnded('a', 2)
  scheduler.submit(job('a'), 2)
  t.deepEqual(scheduler.runPass(3).map(decision => decision.jobId), ['a'])
})
