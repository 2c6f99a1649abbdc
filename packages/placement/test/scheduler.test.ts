import test from 'ava'
import type { Configuration, JobSpec } from '@comfreygrade/core'
import {
  BuddyCellPolicy, FirstFitPolicy, GangScheduler, type PlacementDecision, type PlacementPolicy, defaultPlacementSettings
} from '../src/index.js'
import { testConfiguration } from './exhaustive-search.js'

const HOUR_MS = 3_600_000
const rackOfFourWorkers = [{ workers: 4, accelerators: 8 }]

function job (jobId: string, overrides: Partial<JobSpec> = {}): JobSpec {
  return {
    jobId,
    organisationId: 'o1',
    jobClass: 'batch',
    tasks: 1,
    acceleratorModel: 'gpu',
    acceleratorsPerTask: 8,
    coresPerTask: 1,
    memoryGbPerTask: 1,
    adjacency: 'none',
    declaredRunMs: HOUR_MS,
    priority: 'normal',
    preemption: 'checkpoint',
    ...overrides
  }
}

function startScheduler (configuration: Configuration, policy: PlacementPolicy = new BuddyCellPolicy()): GangScheduler {
  const scheduler = new GangScheduler(defaultPlacementSettings, policy)
  scheduler.applyConfiguration(configuration)
  for (const workerId of configuration.workers.keys()) scheduler.workerJoined(workerId, 0)
  return scheduler
}

function submitAll (scheduler: GangScheduler, jobs: readonly JobSpec[], nowMs = 0): void {
  for (const spec of jobs) {
    const refusal = scheduler.submit(spec, nowMs)
    if (refusal !== undefined) throw new Error(refusal.detail)
  }
}

const jobIds = (decisions: readonly PlacementDecision[], kind: PlacementDecision['kind']) =>
  decisions.filter(decision => decision.kind === kind).map(decision => decision.jobId)

function placementOf (decisions: readonly PlacementDecision[], jobId: string) {
  const found = decisions.find(decision => decision.jobId === jobId)
  if (found?.kind !== 'place') throw new Error(`${jobId} was not placed`)
  return found.placement
}

test('a gang that only partly fits gets no cells, so that it never starts incomplete', t => {
  const scheduler = startScheduler(testConfiguration(rackOfFourWorkers))
  submitAll(scheduler, [job('a'), job('gang', { tasks: 4 })])
  t.deepEqual(jobIds(scheduler.runPass(0), 'place'), ['a'])
  t.is(scheduler.report().acceleratorsInUse, 8)
  scheduler.jobEnded('a', 1000)
  t.is(placementOf(scheduler.runPass(1000), 'gang').tasks.length, 4)
})

test('a gang of the maximum of 64 tasks is placed as a whole, and one of 65 tasks is refused', t => {
  const scheduler = startScheduler(testConfiguration([{ workers: 8, accelerators: 8 }]))
  t.is(scheduler.submit(job('big', { tasks: 65, acceleratorsPerTask: 1 }), 0)?.kind, 'impossible_shape')
  submitAll(scheduler, [job('max', { tasks: 64, acceleratorsPerTask: 1 })])
  t.is(placementOf(scheduler.runPass(0), 'max').tasks.length, 64)
})

test('tasks with worker or rack adjacency are never placed on different workers or racks', t => {
  const scheduler = startScheduler(
    testConfiguration([{ workers: 2, accelerators: 8 }, { workers: 2, accelerators: 8 }]))
  submitAll(scheduler, [
    job('worker', { tasks: 3, acceleratorsPerTask: 2, adjacency: 'worker' }),
    job('rack', { tasks: 2, acceleratorsPerTask: 8, adjacency: 'rack' })
  ])
  const decisions = scheduler.runPass(0)
  t.is(new Set(placementOf(decisions, 'worker').tasks.map(task => task.workerId)).size, 1)
  t.is(new Set(placementOf(decisions, 'rack').tasks.map(task => task.workerId.slice(0, 2))).size, 1)
  t.is(scheduler.submit(job('wide', { tasks: 3, adjacency: 'rack' }), 0)?.kind, 'impossible_shape')
})

test('a task that needs much memory or many cores gets a larger cell, so that tasks in other cells keep their share', t => {
  const scheduler = startScheduler(testConfiguration(rackOfFourWorkers))
  submitAll(scheduler, [
    job('memory', { acceleratorsPerTask: 1, memoryGbPerTask: 33 }),
    job('cores', { acceleratorsPerTask: 1, coresPerTask: 17 })
  ])
  const decisions = scheduler.runPass(0)
  t.is(placementOf(decisions, 'memory').tasks[0]!.acceleratorCount, 2)
  t.is(placementOf(decisions, 'cores').tasks[0]!.acceleratorCount, 4)
  t.is(scheduler.submit(job('huge', { memoryGbPerTask: 257 }), 0)?.kind, 'impossible_shape')
})

test('small jobs fill partly used workers, so that whole workers stay free for large jobs', t => {
  const scheduler = startScheduler(testConfiguration(rackOfFourWorkers))
  submitAll(scheduler, [1, 2, 1, 4].map((size, number) => job(`j${number}`, { acceleratorsPerTask: size })))
  const decisions = scheduler.runPass(0)
  const workers = decisions.map(decision => placementOf(decisions, decision.jobId).tasks[0]!.workerId)
  t.is(new Set(workers).size, 1)
})

test('unknown organisations, impossible shapes and jobs above the quota are refused, and a job above the remaining quota waits', t => {
  const scheduler = startScheduler(testConfiguration(rackOfFourWorkers, [], [{ quotaAccelerators: 8 }]))
  t.is(scheduler.submit(job('a', { organisationId: 'nobody' }), 0)?.kind, 'unknown_organisation')
  t.is(scheduler.submit(job('b', { acceleratorModel: 'other' }), 0)?.kind, 'impossible_shape')
  t.is(scheduler.submit(job('c', { tasks: 2 }), 0)?.kind, 'quota_exceeded')
  t.is(scheduler.explain('c', 0).state, 'refused')
  submitAll(scheduler, [job('d'), job('e')])
  t.deepEqual(jobIds(scheduler.runPass(0), 'place'), ['d'])
  const waiting = scheduler.explain('e', 0)
  t.deepEqual([waiting.blockedByJobIds, waiting.estimatedStartInMs, waiting.queuePosition], [['d'], HOUR_MS, 1])
  scheduler.jobEnded('d', 10)
  t.deepEqual(jobIds(scheduler.runPass(10), 'place'), ['e'])
})

const halfGuaranteed = testConfiguration(rackOfFourWorkers, [{ acceleratorsPerCell: 8, cells: 2 }])

test('an organisation gets its guarantee from jobs on lent capacity, each of which is preempted once and requeued', t => {
  const scheduler = startScheduler(halfGuaranteed)
  submitAll(scheduler, [1, 2, 3, 4].map(number => job(`lent${number}`, { organisationId: 'o2' })))
  t.is(jobIds(scheduler.runPass(0), 'place').length, 4)
  t.is(scheduler.report().guarantees[0]!.lentAccelerators, 16)
  submitAll(scheduler, [job('own', { tasks: 2 })], 10)
  const preempted = jobIds(scheduler.runPass(10), 'reclaim')
  t.is(preempted.length, 2)
  t.deepEqual(scheduler.explain('own', 10).blockedByJobIds, preempted)
  t.is(scheduler.explain(preempted[0]!, 10).state, 'reclaiming')
  t.deepEqual(scheduler.runPass(20), [])
  for (const victim of preempted) scheduler.requeue(victim, 30)
  const decisions = scheduler.runPass(30)
  t.is(placementOf(decisions, 'own').capacityClass, 'guaranteed')
  t.deepEqual(jobIds(decisions, 'place'), ['own'])
  t.deepEqual(preempted.map(victim => scheduler.explain(victim, 30).state), ['waiting', 'waiting'])
  t.is(scheduler.report().guarantees[0]!.cellsInUse, 2)
  scheduler.jobEnded('own', 40)
  t.is(scheduler.report().guarantees[0]!.cellsInUse, 0)
})

test('a non-preemptible job never uses capacity that a guarantee needs', t => {
  const scheduler = startScheduler(halfGuaranteed)
  submitAll(scheduler, [1, 2, 3].map(number => job(`firm${number}`, { organisationId: 'o2', preemption: 'none' })))
  t.is(jobIds(scheduler.runPass(0), 'place').length, 2)
  t.true(scheduler.checkReclaimable().isReclaimable)
})

test('a claim does not keep guaranteed cells bound to lost workers, and cells that cannot be provided are reported as missing', t => {
  const scheduler = startScheduler(halfGuaranteed)
  submitAll(scheduler, [1, 2, 3, 4].map(number => job(`lent${number}`, { organisationId: 'o2' })))
  scheduler.runPass(0)
  submitAll(scheduler, [job('own', { tasks: 2 })])
  scheduler.runPass(0)
  for (const workerId of ['r0w0', 'r0w1', 'r0w2']) scheduler.workerLost(workerId, 5)
  t.deepEqual(scheduler.checkReclaimable(), { isReclaimable: false, missingCells: [{ guaranteeId: 'g0', cells: 1 }] })
  t.is(scheduler.report().acceleratorsLost, 24)
  t.is(scheduler.report().guarantees[0]!.missingCells, 1)
  scheduler.workerJoined('r0w0', 9)
  t.true(scheduler.checkReclaimable().isReclaimable)
})

test('an urgent job preempts jobs of lower priority in the same pass, preferably those beyond their declared run time', t => {
  const scheduler = startScheduler(testConfiguration(rackOfFourWorkers))
  const runsMs = [HOUR_MS, 1000, HOUR_MS, HOUR_MS]
  submitAll(scheduler, runsMs.map((declaredRunMs, number) => job(`j${number}`, { declaredRunMs })))
  scheduler.runPass(0)
  submitAll(scheduler, [job('now', { organisationId: 'o2', priority: 'urgent' })], 5000)
  t.deepEqual(jobIds(scheduler.runPass(5000), 'reclaim'), ['j1'])
  scheduler.jobEnded('j1', 6000)
  t.deepEqual(jobIds(scheduler.runPass(6000), 'place'), ['now'])
})

test('small jobs are backfilled ahead of a waiting large job only if they do not delay its reserved start', t => {
  const scheduler = startScheduler(testConfiguration(rackOfFourWorkers))
  submitAll(scheduler, [job('long', { tasks: 3 })])
  scheduler.runPass(0)
  submitAll(scheduler, [job('large', { tasks: 4 }), job('slow', { declaredRunMs: 2 * HOUR_MS }), job('fast')])
  t.deepEqual(jobIds(scheduler.runPass(0), 'place'), ['fast'])
  const large = scheduler.explain('large', 0)
  t.deepEqual([large.blockedByJobIds, large.estimatedStartInMs], [['long'], HOUR_MS])
  scheduler.jobEnded('fast', 10)
  t.deepEqual(scheduler.runPass(10), [])
  scheduler.jobEnded('long', 20)
  t.deepEqual(jobIds(scheduler.runPass(20), 'place'), ['large'])
})

test('with the first-fit baseline no job starts ahead of the first waiting job', t => {
  const scheduler = startScheduler(testConfiguration(rackOfFourWorkers), new FirstFitPolicy())
  submitAll(scheduler, [job('a'), job('large', { tasks: 4 }), job('urgent', { priority: 'urgent' })])
  t.deepEqual(jobIds(scheduler.runPass(0), 'place'), ['a'])
  scheduler.jobEnded('a', 10)
  t.deepEqual(jobIds(scheduler.runPass(10), 'place'), ['large'])
})

test('with the first-fit baseline a job that does not fit does not block other accelerator models', t => {
  const base = testConfiguration(rackOfFourWorkers)
  const other = { ...base.workers.get('r0w0')!, workerId: 'other', rackId: 'r1', acceleratorModel: 'tpu' }
  const scheduler = startScheduler({ ...base, workers: new Map([...base.workers, ['other', other]]) }, new FirstFitPolicy())
  submitAll(scheduler, [job('a'), job('b', { tasks: 4 }), job('c'), job('d', { acceleratorModel: 'tpu' })])
  t.deepEqual(jobIds(scheduler.runPass(0), 'place'), ['a', 'd'])
})

test('run times learned by job class replace wrong declared run times in backfilling', t => {
  const scheduler = startScheduler(testConfiguration(rackOfFourWorkers))
  for (let run = 0; run < 3; run++) {
    submitAll(scheduler, [job(`past${run}`, { jobClass: 'short', declaredRunMs: 9 * HOUR_MS })], run * 10)
    scheduler.runPass(run * 10)
    scheduler.jobEnded(`past${run}`, run * 10 + 5)
  }
  submitAll(scheduler, [job('long', { tasks: 3 })], 50)
  scheduler.runPass(50)
  submitAll(scheduler, [
    job('large', { tasks: 4 }), job('short', { jobClass: 'short', declaredRunMs: 9 * HOUR_MS })
  ], 60)
  t.deepEqual(jobIds(scheduler.runPass(60), 'place'), ['short'])
})

test('jobs of the organisation with less attained service relative to its quota are placed first', t => {
  const scheduler = startScheduler(testConfiguration(rackOfFourWorkers))
  submitAll(scheduler, [1, 2, 3, 4].map(number => job(`a${number}`)))
  submitAll(scheduler, [job('b', { organisationId: 'o2' })])
  t.true(jobIds(scheduler.runPass(0), 'place').includes('b'))
})

test('a worker that fails several jobs is quarantined for increasing periods', t => {
  const scheduler = startScheduler(
    testConfiguration([{ workers: 1, accelerators: 8 }, { workers: 1, accelerators: 8 }]))
  const fail = (jobId: string, nowMs: number) => {
    submitAll(scheduler, [job(jobId)], nowMs)
    scheduler.taskFailed(jobId, 'r0w0', nowMs)
    scheduler.cancel(jobId, nowMs)
  }
  for (const jobId of ['a', 'b', 'c']) fail(jobId, 0)
  t.deepEqual(scheduler.report().quarantinedWorkerIds, ['r0w0'])
  scheduler.runPass(60_000)
  t.deepEqual(scheduler.report().quarantinedWorkerIds, [])
  fail('d', 60_000)
  scheduler.runPass(179_999)
  t.deepEqual(scheduler.report().quarantinedWorkerIds, ['r0w0'])
  scheduler.runPass(180_000)
  t.deepEqual(scheduler.report().quarantinedWorkerIds, [])
})

test('jobs that fail on several workers are stopped, and their failures do not quarantine the workers', t => {
  const scheduler = startScheduler(testConfiguration(rackOfFourWorkers))
  submitAll(scheduler, ['bad1', 'bad2', 'bad3'].map(jobId => job(jobId)))
  const stopped: string[] = []
  for (let round = 0; round < 4; round++) {
    const decisions = scheduler.runPass(round)
    stopped.push(...jobIds(decisions, 'stop'))
    for (const jobId of jobIds(decisions, 'place')) {
      scheduler.taskFailed(jobId, placementOf(decisions, jobId).tasks[0]!.workerId, round)
      scheduler.requeue(jobId, round)
    }
  }
  t.deepEqual(stopped.sort(), ['bad1', 'bad2', 'bad3'])
  t.deepEqual(scheduler.report().quarantinedWorkerIds, [])
  t.is(scheduler.explain('bad1', 9).state, 'refused')
})

test('a job that fits is placed in one of the next passes although each pass ends after one failed placement attempt', t => {
  const scheduler = new GangScheduler({ ...defaultPlacementSettings, maxFailedTrials: 1 }, new BuddyCellPolicy())
  scheduler.applyConfiguration(testConfiguration(rackOfFourWorkers))
  for (const workerId of ['r0w0', 'r0w1', 'r0w2', 'r0w3']) scheduler.workerJoined(workerId, 0)
  submitAll(scheduler, [job('long', { tasks: 3 })])
  scheduler.runPass(0)
  submitAll(scheduler, [job('large4', { tasks: 4 }), job('large2', { tasks: 2 }), job('small', { declaredRunMs: 1 })])
  const placed: string[] = []
  for (let pass = 1; pass <= 3; pass++) placed.push(...jobIds(scheduler.runPass(pass), 'place'))
  t.deepEqual(placed, ['small'])
})

test('a draining worker gets no new tasks until the drain ends', t => {
  const scheduler = startScheduler(testConfiguration([{ workers: 1, accelerators: 8 }]))
  scheduler.drainWorker('r0w0')
  submitAll(scheduler, [job('a')])
  t.deepEqual(scheduler.runPass(0), [])
  scheduler.undrainWorker('r0w0')
  t.deepEqual(jobIds(scheduler.runPass(1), 'place'), ['a'])
})

test('a new leader that restores the placements has the same fleet report, and all cells free once the jobs end', t => {
  const scheduler = startScheduler(halfGuaranteed)
  const lent = [1, 2, 3, 4].map(number => job(`lent${number}`, { organisationId: 'o2' }))
  const specs = new Map([job('own', { tasks: 2 }), ...lent].map(spec => [spec.jobId, spec]))
  submitAll(scheduler, [...specs.values()].slice(1))
  const decisions = scheduler.runPass(0)
  submitAll(scheduler, [specs.get('own')!])
  const preempted = jobIds(scheduler.runPass(0), 'reclaim')
  for (const victim of preempted) scheduler.jobEnded(victim, 0)
  decisions.push(...scheduler.runPass(0))
  const next = new GangScheduler(defaultPlacementSettings, new BuddyCellPolicy())
  next.applyConfiguration(halfGuaranteed)
  for (const { jobId } of decisions) {
    if (!preempted.includes(jobId)) next.restore(specs.get(jobId)!, placementOf(decisions, jobId), 0)
  }
  for (const workerId of halfGuaranteed.workers.keys()) next.workerJoined(workerId, 0)
  t.is(next.report().guarantees[0]!.cellsInUse, 2)
  t.deepEqual(next.report(), scheduler.report())
  for (const jobId of specs.keys()) next.jobEnded(jobId, 5)
  t.is(next.report().acceleratorsInUse, 0)
  submitAll(next, [job('all', { tasks: 4 })], 6)
  t.deepEqual(jobIds(next.runPass(6), 'place'), ['all'])
})

test('an inventory change keeps running jobs, and jobs with claims are placed without further preemption', t => {
  const scheduler = startScheduler(halfGuaranteed)
  submitAll(scheduler, [1, 2, 3, 4].map(number => job(`lent${number}`, { organisationId: 'o2' })))
  scheduler.runPass(0)
  submitAll(scheduler, [job('own', { tasks: 2 })])
  const preempted = jobIds(scheduler.runPass(0), 'reclaim')
  const grown = testConfiguration([{ workers: 5, accelerators: 8 }], [{ acceleratorsPerCell: 8, cells: 2 }])
  scheduler.applyConfiguration(grown)
  t.is(scheduler.report().acceleratorsInUse, 32)
  for (const victim of preempted) scheduler.jobEnded(victim, 5)
  const decisions = scheduler.runPass(5)
  t.deepEqual([jobIds(decisions, 'place'), jobIds(decisions, 'reclaim')], [['own'], []])
})
