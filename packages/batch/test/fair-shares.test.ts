import test from 'ava'
import fc from 'fast-check'
import { NullEventLog, NullMetrics } from '@comfreygrade/core'
import { plainPolicies, type BatchPolicies, type StepSpec } from '../src/index.js'
import { FairShares } from '../src/fair-shares.js'
import { HEARTBEAT_WAIT_MS, RecordingLog } from './leader-fixture.js'
import { ReplayedFleet } from './replayed-fleet.js'
import { document, queue } from './sample-data.js'

const WORKER_ACCELERATORS = 8
const MAX_WORKERS = 8
const accelerators = (acceleratorCount: number): Partial<StepSpec> =>
  ({ taskCount: 1, shape: { cpuMillicores: 1_000, memoryMb: 1_000, acceleratorCount } })
const organisations = ['large', 'small', 'urgent'].map(name => ({ name, apiKeys: [name], guaranteedAccelerators: 0 }))
/** The objectives are so late that none of the jobs becomes late. */
const queues = [queue({ targetLatencyMs: 600_000 }), queue({ name: 'urgent', pathPrefix: '/urgent/', priority: 0 })]
const configuration = { ...document(1, queues), organisations }
const createShares = (): FairShares => new FairShares({ metrics: new NullMetrics(), log: new NullEventLog() })
const fairPolicies = (): BatchPolicies => ({ ...plainPolicies(), shares: createShares() })

/** Time from the end of a run until the next task runs in its place: two rounds of heartbeats of all workers. */
const MAX_HANDOVER_MS = 2 * MAX_WORKERS * HEARTBEAT_WAIT_MS
/** Longest wait of an organisation behind one that occupies the fleet: until the next run ends. */
const maxWaitMs = (runMs: number): number => runMs + MAX_HANDOVER_MS

interface Load {
  readonly workers: number
  readonly runMs: number
  readonly jobs: number
  readonly delayRounds: number
}

/** Wait of a job of the small organisation behind the jobs of the large one, which were all submitted before. */
function waitOfSmallOrganisation (load: Load, createPolicies: () => BatchPolicies): number {
  const { workers, runMs, jobs, delayRounds } = load
  const fleet = new ReplayedFleet(workers, () => runMs, createPolicies, configuration)
  const whole = { ...accelerators(WORKER_ACCELERATORS), estimateMs: runMs }
  for (let index = 0; index < jobs; index++) fleet.submit(`large${index}`, 'large', whole)
  for (let round = 0; round < delayRounds; round++) fleet.round()
  const submittedMs = fleet.nowMs
  fleet.submit('small', 'small', whole)
  const deadlineMs = submittedMs + 10 * (runMs + MAX_HANDOVER_MS)
  while (!fleet.startedMs.has('small.0.0.0') && fleet.nowMs < deadlineMs) fleet.round()
  return (fleet.startedMs.get('small.0.0.0') ?? Infinity) - submittedMs
}

const loads = fc.record({
  workers: fc.integer({ min: 5, max: MAX_WORKERS }),
  runMs: fc.integer({ min: 500, max: 3_000 }),
  jobs: fc.integer({ min: 60, max: 120 }),
  delayRounds: fc.integer({ min: 1, max: 4 })
})

// Guards against a load in which the many jobs of one organisation, with the earlier objectives, go before the others.
test('an organisation with work waits for a bounded time behind one that occupies the fleet', t => {
  fc.assert(fc.property(loads, load => {
    const waitMs = waitOfSmallOrganisation(load, fairPolicies)
    t.true(waitMs <= maxWaitMs(load.runMs), `waited ${waitMs} ms: ${JSON.stringify(load)}`)
  }), { seed: 1, numRuns: 15 })
  const load = { workers: 5, runMs: 2_000, jobs: 60, delayRounds: 1 }
  t.true(waitOfSmallOrganisation(load, plainPolicies) > maxWaitMs(load.runMs), 'the load is no test of the shares')
})

// Guards against the loss of work of an organisation within its share while another one is over it.
test('an urgent step preempts runs of an organisation over its share, also where that discards more work', t => {
  const stopsWith = (createPolicies: () => BatchPolicies): string[] => {
    const fleet = new ReplayedFleet(2, () => 60_000, createPolicies, configuration)
    fleet.submit('whole', 'large', { ...accelerators(8), estimateMs: 60_000 })
    fleet.submit('half', 'large', { ...accelerators(4), estimateMs: 60_000 })
    fleet.round()
    fleet.submit('later', 'small', { ...accelerators(4), estimateMs: 60_000 })
    for (let round = 0; round < 3; round++) fleet.round()
    fleet.submit('urgent', 'urgent', { ...accelerators(4), estimateMs: 1_000 }, '/urgent/')
    return [...new Set(Array.from({ length: 8 }, () => fleet.round()).flat())]
  }
  t.deepEqual(stopsWith(plainPolicies), ['later.0.0.0'])
  t.deepEqual(stopsWith(fairPolicies), ['half.0.0.0'])
})

// Guards against jobs that change places with every gang that starts, and miss their objectives for it.
test('an organisation is over its share only where it occupies far more than an equal share', t => {
  const isOver = (dominantShare: number, others: number): boolean => {
    const shares = createShares()
    const waiting = Array.from({ length: others }, (_, index) => `other${index}`)
    shares.update(new Map([['large', { dominantShare }]]), new Set(waiting), 0)
    return shares.isOverShare('large')
  }
  t.deepEqual([isOver(0.5, 1), isOver(0.65, 1), isOver(0.75, 1)], [false, false, true])
  t.deepEqual([isOver(0.1, 9), isOver(0.25, 9), isOver(0.4, 9)], [false, false, true])
  t.false(isOver(1, 0))
})

test('attained service decays, and use of capacity that nobody else waits for does not count', t => {
  const usage = new Map([['large', { dominantShare: 0.9 }]])
  const attainedAfter = (waiting: string[], idleMs: number): number => {
    const shares = createShares()
    for (let nowMs = 0; nowMs <= 10_000; nowMs += 100) shares.update(usage, new Set(waiting), nowMs)
    shares.update(new Map(), new Set(['large', 'small']), 10_000 + idleMs)
    return shares.attainedOf('large')
  }
  t.is(attainedAfter([], 1), 0)
  t.is(attainedAfter(['large'], 1), 0)
  t.true(attainedAfter(['small'], 1) > 1)
  t.true(attainedAfter(['small'], 60_000) < 0.01)
})

test('the log says when an organisation exceeds its share and when it no longer does', t => {
  const log = new RecordingLog()
  const shares = new FairShares({ metrics: new NullMetrics(), log })
  for (const nowMs of [0, 10_000]) shares.update(new Map([['large', { dominantShare: 0.9 }]]), new Set(['small']), nowMs)
  shares.update(new Map(), new Set(['large', 'small']), 30_000)
  t.deepEqual(log.lines.map(line => line.message), [
    'organisation exceeds its share', 'organisation is within its share again'
  ])
})
