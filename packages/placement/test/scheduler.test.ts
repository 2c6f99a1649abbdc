import test from 'ava'
import type { Configuration, JobSpec } from '@comfreygrade/core'
import {
  BuddyCellPolicy, FirstFitPolicy, GangScheduler, type PlacementDecision, type PlacementPolicy, defaultPlacementSettings
} from '../src/index.js'
import { testConfiguration } from './brute-force.js'

const HOUR_MS = 3_600_000
const oneRack = [{ workers: 4, accelerators: 8 }]

function job (jobId: string, part: Partial<JobSpec> = {}): JobSpec {
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
    ...part
  }
}

function start (configuration: Configuration, policy: PlacementPolicy = new BuddyCellPolicy()): GangScheduler {
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

const ids = (decisions: readonly PlacementDecision[], kind: PlacementDecision['kind']) =>
  decisions.filter(decision => decision.kind === kind).map(decision => decision.jobId)

function placementOf (decisions: readonly PlacementDecision[], jobId: string) {
  const found = decisions.find(decision => decision.jobId === jobId)
  if (found?.kind !== 'place') throw new Error(`${jobId} was not placed`)
  return found.placement
}

test('a gang that only partly fits gets no cell, so that no part of it runs alone', t => {
  const scheduler = start(testConfiguration(oneRack))
  submitAll(scheduler, [job('a'), job('gang', { tasks: 4 })])
  t.deepEqual(ids(scheduler.pass(0), 'place'), ['a'])
  t.is(scheduler.report().acceleratorsInUse, 8)
  scheduler.ended('a', 1000)
  t.is(placementOf(scheduler.pass(1000), 'gang').tasks.length, 4)
})

test('a gang of 64 tasks is placed as a whole and one of 65 is refused', t => {
  const scheduler = start(testConfiguration([{ workers: 8, accelerators: 8 }]))
  t.is(scheduler.submit(job('big', { tasks: 65, acceleratorsPerTask: 1 }), 0)?.kind, 'impossible_shape')
  submitAll(scheduler, [job('max', { tasks: 64, acceleratorsPerTask: 1 })])
  t.is(placementOf(scheduler.pass(0), 'max').tasks.length, 64)
})

test('adjacent tasks never end up on different workers or racks', t => {
  const scheduler = start(testConfiguration([{ workers: 2, accelerators: 8 }, { workers: 2, accelerators: 8 }]))
  submitAll(scheduler, [
    job('worker', { tasks: 3, acceleratorsPerTask: 2, adjacency: 'worker' }),
    job('rack', { tasks: 2, acceleratorsPerTask: 8, adjacency: 'rack' })
  ])
  const decisions = scheduler.pass(0)
  t.is(new Set(placementOf(decisions, 'worker').tasks.map(task => task.workerId)).size, 1)
  t.is(new Set(placementOf(decisions, 'rack').tasks.map(task => task.workerId.slice(0, 2))).size, 1)
  t.is(scheduler.submit(job('wide', { tasks: 3, adjacency: 'rack' }), 0)?.kind, 'impossible_shape')
})

test('a task with much memory or many cores gets a larger cell, so that neighbours keep their share', t => {
  const scheduler = start(testConfiguration(oneRack))
  submitAll(scheduler, [
    job('memory', { acceleratorsPerTask: 1, memoryGbPerTask: 33 }),
    job('cores', { acceleratorsPerTask: 1, coresPerTask: 17 })
  ])
  const decisions = scheduler.pass(0)
  t.is(placementOf(decisions, 'memory').tasks[0]!.acceleratorCount, 2)
  t.is(placementOf(decisions, 'cores').tasks[0]!.acceleratorCount, 4)
  t.is(scheduler.submit(job('huge', { memoryGbPerTask: 257 }), 0)?.kind, 'impossible_shape')
})

test('small jobs fill partly used workers, so that whole workers stay free for large ones', t => {
  const scheduler = start(testConfiguration(oneRack))
  submitAll(scheduler, [1, 2, 1, 4].map((size, number) => job(`j${number}`, { acceleratorsPerTask: size })))
  const decisions = scheduler.pass(0)
  const workers = decisions.map(decision => placementOf(decisions, decision.jobId).tasks[0]!.workerId)
  t.is(new Set(workers).size, 1)
})

test('unknown organisations, shapes beyond the inventory and jobs above the quota are refused at once', t => {
  const scheduler = start(testConfiguration(oneRack, [], [{ quotaAccelerators: 8 }]))
  t.is(scheduler.submit(job('a', { organisationId: 'nobody' }), 0)?.kind, 'unknown_organisation')
  t.is(scheduler.submit(job('b', { acceleratorModel: 'other' }), 0)?.kind, 'impossible_shape')
  t.is(scheduler.submit(job('c', { tasks: 2 }), 0)?.kind, 'quota_exceeded')
  t.is(scheduler.explain('c', 0).state, 'refused')
  submitAll(scheduler, [job('d'), job('e')])
  t.deepEqual(ids(scheduler.pass(0), 'place'), ['d'])
  const waiting = scheduler.explain('e', 0)
  t.deepEqual([waiting.blockedByJobIds, waiting.estimatedStartInMs, waiting.queuePosition], [['d'], HOUR_MS, 1])
  scheduler.ended('d', 10)
  t.deepEqual(ids(scheduler.pass(10), 'place'), ['e'])
})

const halfGuaranteed = testConfiguration(oneRack, [{ acceleratorsPerCell: 8, cells: 2 }])

test('a holder gets its guarantee although lent jobs fill the rack; each is told once and waits again afterwards', t => {
  const scheduler = start(halfGuaranteed)
  submitAll(scheduler, [1, 2, 3, 4].map(number => job(`lent${number}`, { organisationId: 'o2' })))
  t.is(ids(scheduler.pass(0), 'place').length, 4)
  t.is(scheduler.report().guarantees[0]!.lentAccelerators, 16)
  submitAll(scheduler, [job('own', { tasks: 2 })], 10)
  const told = ids(scheduler.pass(10), 'reclaim')
  t.is(told.length, 2)
  t.deepEqual(scheduler.explain('own', 10).blockedByJobIds, told)
  t.is(scheduler.explain(told[0]!, 10).state, 'reclaiming')
  t.deepEqual(scheduler.pass(20), [])
  for (const victim of told) scheduler.reclaimed(victim, 30)
  const decisions = scheduler.pass(30)
  t.is(placementOf(decisions, 'own').capacityClass, 'guaranteed')
  t.deepEqual(ids(decisions, 'place'), ['own'])
  t.deepEqual(told.map(victim => scheduler.explain(victim, 30).state), ['waiting', 'waiting'])
  t.is(scheduler.report().guarantees[0]!.cellsInUse, 2)
  scheduler.ended('own', 40)
  t.is(scheduler.report().guarantees[0]!.cellsInUse, 0)
})

test('a job that cannot be interrupted never holds what a guarantee needs', t => {
  const scheduler = start(halfGuaranteed)
  submitAll(scheduler, [1, 2, 3].map(number => job(`firm${number}`, { organisationId: 'o2', preemption: 'none' })))
  t.is(ids(scheduler.pass(0), 'place').length, 2)
  t.true(scheduler.checkReclaimable().isReclaimable)
})

test('a claim gives way when its worker is lost, and lost hardware is never reported as intact', t => {
  const scheduler = start(halfGuaranteed)
  submitAll(scheduler, [1, 2, 3, 4].map(number => job(`lent${number}`, { organisationId: 'o2' })))
  scheduler.pass(0)
  submitAll(scheduler, [job('own', { tasks: 2 })])
  scheduler.pass(0)
  for (const workerId of ['r0w0', 'r0w1', 'r0w2']) scheduler.workerLost(workerId, 5)
  t.deepEqual(scheduler.checkReclaimable(), { isReclaimable: false, missingCells: [{ guaranteeId: 'g0', cells: 1 }] })
  t.is(scheduler.report().acceleratorsLost, 24)
  t.is(scheduler.report().guarantees[0]!.missingCells, 1)
  scheduler.workerJoined('r0w0', 9)
  t.true(scheduler.checkReclaimable().isReclaimable)
})

test('urgent work takes lent capacity of lower priorities in the same pass, over-runners first', t => {
  const scheduler = start(testConfiguration(oneRack))
  const runsMs = [HOUR_MS, 1000, HOUR_MS, HOUR_MS]
  submitAll(scheduler, runsMs.map((declaredRunMs, number) => job(`j${number}`, { declaredRunMs })))
  scheduler.pass(0)
  submitAll(scheduler, [job('now', { organisationId: 'o2', priority: 'urgent' })], 5000)
  t.deepEqual(ids(scheduler.pass(5000), 'reclaim'), ['j1'])
  scheduler.ended('j1', 6000)
  t.deepEqual(ids(scheduler.pass(6000), 'place'), ['now'])
})

test('small jobs overtake a waiting large one only where they do not delay its reserved start', t => {
  const scheduler = start(testConfiguration(oneRack))
  submitAll(scheduler, [job('long', { tasks: 3 })])
  scheduler.pass(0)
  submitAll(scheduler, [job('large', { tasks: 4 }), job('slow', { declaredRunMs: 2 * HOUR_MS }), job('fast')])
  t.deepEqual(ids(scheduler.pass(0), 'place'), ['fast'])
  const large = scheduler.explain('large', 0)
  t.deepEqual([large.blockedByJobIds, large.estimatedStartInMs], [['long'], HOUR_MS])
  scheduler.ended('fast', 10)
  t.deepEqual(scheduler.pass(10), [])
  scheduler.ended('long', 20)
  t.deepEqual(ids(scheduler.pass(20), 'place'), ['large'])
})

test('with the baseline nothing overtakes the first job', t => {
  const scheduler = start(testConfiguration(oneRack), new FirstFitPolicy())
  submitAll(scheduler, [job('a'), job('large', { tasks: 4 }), job('urgent', { priority: 'urgent' })])
  t.deepEqual(ids(scheduler.pass(0), 'place'), ['a'])
  scheduler.ended('a', 10)
  t.deepEqual(ids(scheduler.pass(10), 'place'), ['large'])
})

test('with the baseline a blocked accelerator model does not hold up another one', t => {
  const base = testConfiguration(oneRack)
  const other = { ...base.workers.get('r0w0')!, workerId: 'other', rackId: 'r1', acceleratorModel: 'tpu' }
  const scheduler = start({ ...base, workers: new Map([...base.workers, ['other', other]]) }, new FirstFitPolicy())
  submitAll(scheduler, [job('a'), job('b', { tasks: 4 }), job('c'), job('d', { acceleratorModel: 'tpu' })])
  t.deepEqual(ids(scheduler.pass(0), 'place'), ['a', 'd'])
})

test('run times learned by class replace wrong declarations in backfilling', t => {
  const scheduler = start(testConfiguration(oneRack))
  for (let run = 0; run < 3; run++) {
    submitAll(scheduler, [job(`past${run}`, { jobClass: 'short', declaredRunMs: 9 * HOUR_MS })], run * 10)
    scheduler.pass(run * 10)
    scheduler.ended(`past${run}`, run * 10 + 5)
  }
  submitAll(scheduler, [job('long', { tasks: 3 })], 50)
  scheduler.pass(50)
  submitAll(scheduler, [
    job('large', { tasks: 4 }), job('short', { jobClass: 'short', declaredRunMs: 9 * HOUR_MS })
  ], 60)
  t.deepEqual(ids(scheduler.pass(60), 'place'), ['short'])
})

test('the organisation with less attained service against its quota goes first', t => {
  const scheduler = start(testConfiguration(oneRack))
  submitAll(scheduler, [1, 2, 3, 4].map(number => job(`a${number}`)))
  submitAll(scheduler, [job('b', { organisationId: 'o2' })])
  t.true(ids(scheduler.pass(0), 'place').includes('b'))
})

test('a worker that fails different jobs is quarantined for growing times and cannot swallow the queue', t => {
  const scheduler = start(testConfiguration([{ workers: 1, accelerators: 8 }, { workers: 1, accelerators: 8 }]))
  const fail = (jobId: string, nowMs: number) => {
    submitAll(scheduler, [job(jobId)], nowMs)
    scheduler.taskFailed(jobId, 'r0w0', nowMs)
    scheduler.cancel(jobId, nowMs)
  }
  for (const jobId of ['a', 'b', 'c']) fail(jobId, 0)
  t.deepEqual(scheduler.report().quarantinedWorkerIds, ['r0w0'])
  scheduler.pass(60_000)
  t.deepEqual(scheduler.report().quarantinedWorkerIds, [])
  fail('d', 60_000)
  scheduler.pass(179_999)
  t.deepEqual(scheduler.report().quarantinedWorkerIds, ['r0w0'])
  scheduler.pass(180_000)
  t.deepEqual(scheduler.report().quarantinedWorkerIds, [])
})

test('jobs that fail everywhere are stopped, and their failures do not quarantine the workers', t => {
  const scheduler = start(testConfiguration(oneRack))
  submitAll(scheduler, ['bad1', 'bad2', 'bad3'].map(jobId => job(jobId)))
  const stopped: string[] = []
  for (let round = 0; round < 4; round++) {
    const decisions = scheduler.pass(round)
    stopped.push(...ids(decisions, 'stop'))
    for (const jobId of ids(decisions, 'place')) {
      scheduler.taskFailed(jobId, placementOf(decisions, jobId).tasks[0]!.workerId, round)
      scheduler.reclaimed(jobId, round)
    }
  }
  t.deepEqual(stopped.sort(), ['bad1', 'bad2', 'bad3'])
  t.deepEqual(scheduler.report().quarantinedWorkerIds, [])
  t.is(scheduler.explain('bad1', 9).state, 'refused')
})

test('a pass that ends after its limit of vain trials leaves the other jobs to later passes', t => {
  const scheduler = new GangScheduler({ ...defaultPlacementSettings, maxFailedTrials: 1 }, new BuddyCellPolicy())
  scheduler.applyConfiguration(testConfiguration(oneRack))
  for (const workerId of ['r0w0', 'r0w1', 'r0w2', 'r0w3']) scheduler.workerJoined(workerId, 0)
  submitAll(scheduler, [job('long', { tasks: 3 })])
  scheduler.pass(0)
  submitAll(scheduler, [job('large4', { tasks: 4 }), job('large2', { tasks: 2 }), job('small', { declaredRunMs: 1 })])
  const placed: string[] = []
  for (let pass = 1; pass <= 3; pass++) placed.push(...ids(scheduler.pass(pass), 'place'))
  t.deepEqual(placed, ['small'])
})

test('a drained worker gets nothing new and comes back when the drain ends', t => {
  const scheduler = start(testConfiguration([{ workers: 1, accelerators: 8 }]))
  scheduler.drainWorker('r0w0')
  submitAll(scheduler, [job('a')])
  t.deepEqual(scheduler.pass(0), [])
  scheduler.undrainWorker('r0w0')
  t.deepEqual(ids(scheduler.pass(1), 'place'), ['a'])
})

test('a new leader that restores the placements sees the same cells, guarantees and quotas', t => {
  const scheduler = start(halfGuaranteed)
  const lent = [1, 2, 3, 4].map(number => job(`lent${number}`, { organisationId: 'o2' }))
  const specs = new Map([job('own', { tasks: 2 }), ...lent].map(spec => [spec.jobId, spec]))
  submitAll(scheduler, [...specs.values()].slice(1))
  const decisions = scheduler.pass(0)
  submitAll(scheduler, [specs.get('own')!])
  const told = ids(scheduler.pass(0), 'reclaim')
  for (const victim of told) scheduler.ended(victim, 0)
  decisions.push(...scheduler.pass(0))
  const next = new GangScheduler(defaultPlacementSettings, new BuddyCellPolicy())
  next.applyConfiguration(halfGuaranteed)
  for (const { jobId } of decisions) {
    if (!told.includes(jobId)) next.restore(specs.get(jobId)!, placementOf(decisions, jobId), 0)
  }
  for (const workerId of halfGuaranteed.workers.keys()) next.workerJoined(workerId, 0)
  t.is(next.report().guarantees[0]!.cellsInUse, 2)
  t.deepEqual(next.report(), scheduler.report())
  for (const jobId of specs.keys()) next.ended(jobId, 5)
  t.is(next.report().acceleratorsInUse, 0)
  submitAll(next, [job('all', { tasks: 4 })], 6)
  t.deepEqual(ids(next.pass(6), 'place'), ['all'])
})

test('a change of the inventory keeps running jobs, claims and waiting jobs', t => {
  const scheduler = start(halfGuaranteed)
  submitAll(scheduler, [1, 2, 3, 4].map(number => job(`lent${number}`, { organisationId: 'o2' })))
  scheduler.pass(0)
  submitAll(scheduler, [job('own', { tasks: 2 })])
  const told = ids(scheduler.pass(0), 'reclaim')
  const grown = testConfiguration([{ workers: 5, accelerators: 8 }], [{ acceleratorsPerCell: 8, cells: 2 }])
  scheduler.applyConfiguration(grown)
  t.is(scheduler.report().acceleratorsInUse, 32)
  for (const victim of told) scheduler.ended(victim, 5)
  const decisions = scheduler.pass(5)
  t.deepEqual([ids(decisions, 'place'), ids(decisions, 'reclaim')], [['own'], []])
})
