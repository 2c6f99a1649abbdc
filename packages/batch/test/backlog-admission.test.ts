import test from 'ava'
import fc from 'fast-check'
import { NullEventLog, NullMetrics, Random } from '@comfreygrade/core'
import {
  adaptivePolicies, defaultBatchSettings, plainPolicies, type BatchPolicies, type BatchResult, type PolicyContext
} from '../src/index.js'
import { BacklogAdmission } from '../src/backlog-admission.js'
import { ReplayedFleet } from './replayed-fleet.js'
import { document, KEY, queue } from './sample-data.js'

const WHOLE_WORKER = { cpuMillicores: 1_000, memoryMb: 1_000, acceleratorCount: 8 }
const SLACK_FACTOR = 1.5
const TARGET_LATENCY_MS = 100
/** A job that ends later than this multiple of its objective is of no use. */
const USEFUL_FACTOR = 3
/** Largest error of an estimate, as a difference of logarithms. */
const ESTIMATE_LOG_RANGE = 0.9
const DAY_MS = 86_400_000

const queues = ['normal', 'urgent'].map((name, index) => queue({
  name, pathPrefix: `/${name}/`, priority: 1 - index, slackFactor: SLACK_FACTOR, targetLatencyMs: TARGET_LATENCY_MS
}))
const configuration = document(1, queues)

function withAdmission (context: PolicyContext): BatchPolicies {
  return { ...plainPolicies(), admission: new BacklogAdmission(context) }
}

function errorOf (result: BatchResult | undefined): string | undefined {
  return result?.ok === false ? result.failure.kind : undefined
}

/** A fleet of one worker with a backlog of urgent jobs that come before others for longer than these have a value. */
function createOverloadedFleet (createPolicies = withAdmission): ReplayedFleet {
  const fleet = new ReplayedFleet(1, jobId => jobId.startsWith('first') ? 60_000 : 1_000, createPolicies, configuration)
  submitBacklog(fleet)
  return fleet
}

function submitBacklog (fleet: ReplayedFleet): void {
  for (let index = 0; index < 4; index++) fleet.submit(`first${index}`, KEY, whole(60_000), '/urgent/')
  fleet.round()
}

function whole (estimateMs: number): { taskCount: number, shape: typeof WHOLE_WORKER, estimateMs: number } {
  return { taskCount: 1, shape: WHOLE_WORKER, estimateMs }
}

interface ReplayedJob {
  readonly runMs: number
  readonly result: BatchResult | undefined
  readonly submittedMs: number
}

/** Replays short jobs behind long urgent ones, which arrive in bursts; estimates are wrong in either direction. */
function replay (
  seed: number, createPolicies: (context: PolicyContext) => BatchPolicies
): { fleet: ReplayedFleet, jobs: Map<string, ReplayedJob> } {
  const random = new Random(seed)
  const jobs = new Map<string, ReplayedJob>()
  const fleet = new ReplayedFleet(2, jobId => jobs.get(jobId)?.runMs ?? 0, createPolicies, configuration)
  for (let index = 0; index < 50; index++) {
    const isUrgent = index % 10 < 5
    const runMs = isUrgent ? 10_000 + 30_000 * random.nextFloat() : 200 + 400 * random.nextFloat()
    const estimateMs = runMs * Math.exp((random.nextFloat() * 2 - 1) * ESTIMATE_LOG_RANGE)
    const submittedMs = fleet.nowMs
    jobs.set(`job${index}`, { runMs, submittedMs, result: undefined })
    const result = fleet.submit(`job${index}`, KEY, whole(estimateMs), isUrgent ? '/urgent/' : '/normal/')
    jobs.set(`job${index}`, { runMs, submittedMs, result })
    if (index % 10 === 4) fleet.round()
    if (index % 10 === 9) for (let round = 0; round < 60; round++) fleet.round()
  }
  return { fleet, jobs }
}

// Guards against a refusal of a job that would have been served in time: it harms the caller, and waiting would not.
test('a job that is refused would have lost its value, had it been accepted', t => {
  let refusals = 0
  fc.assert(fc.property(fc.integer({ min: 1, max: 1_000_000 }), seed => {
    const { jobs } = replay(seed, withAdmission)
    const { fleet: plainFleet, jobs: plainJobs } = replay(seed, plainPolicies)
    for (const [jobId, { runMs, result }] of jobs) {
      if (errorOf(result) === undefined) continue
      refusals++
      const submittedMs = plainJobs.get(jobId)?.submittedMs ?? 0
      const endedMs = plainFleet.endedMs.get(`${jobId}.0.0.0`) ?? Infinity
      t.true(endedMs - submittedMs > (SLACK_FACTOR * runMs + TARGET_LATENCY_MS) * USEFUL_FACTOR, `${seed} ${jobId}`)
    }
  }), { seed: 1, numRuns: 6 })
  t.true(refusals > 0, 'the load is no test of the refusals')
})

test('a refused job does not run, and every accepted one does', t => {
  const { fleet, jobs } = replay(7, withAdmission)
  for (let round = 0; round < 5_000 && fleet.startedMs.size < acceptedIds(jobs).length; round++) fleet.round()
  t.deepEqual([...fleet.startedMs.keys()].sort(), acceptedIds(jobs).map(jobId => `${jobId}.0.0.0`).sort())
  t.true(acceptedIds(jobs).length < jobs.size, 'the load is no test of the refusals')
})

function acceptedIds (jobs: ReadonlyMap<string, ReplayedJob>): string[] {
  return [...jobs].filter(([, { result }]) => errorOf(result) === undefined).map(([jobId]) => jobId)
}

test('a repeated submission of an accepted job is acknowledged, also before the first one is committed', t => {
  const fleet = createOverloadedFleet()
  t.is(errorOf(fleet.submit('late', KEY, whole(1_000))), 'queue_full')
  t.is(errorOf(fleet.submit('first3', KEY, whole(60_000), '/urgent/')), undefined)
  const other = new ReplayedFleet(1, () => 60_000, withAdmission, configuration)
  other.fixture.isCommitting = false
  other.submit('pending', KEY, whole(1_000))
  other.fixture.isCommitting = true
  submitBacklog(other)
  t.is(errorOf(other.submit('late', KEY, whole(1_000))), 'queue_full')
  t.is(errorOf(other.submit('pending', KEY, whole(1_000))), undefined)
})

test('urgent jobs within a guarantee, jobs with a later end of their value, and lasting ones are accepted', t => {
  const fleet = createOverloadedFleet()
  const inGuarantee = new ReplayedFleet(1, () => 60_000, withAdmission, configuration)
  inGuarantee.submit('first', KEY, whole(60_000), '/urgent/')
  inGuarantee.round()
  t.is(errorOf(inGuarantee.submit('urgent', KEY, whole(1_000), '/urgent/')), undefined)
  t.is(errorOf(fleet.submit('long', KEY, whole(60_000))), undefined)
  t.is(errorOf(fleet.submit('lasting', KEY, { ...whole(1_000), isLasting: true })), undefined)
})

test('no job is refused while capacity is free for it', t => {
  const fleet = createOverloadedFleet()
  const small = { ...whole(1_000), shape: { ...WHOLE_WORKER, acceleratorCount: 0 } }
  t.is(errorOf(fleet.submit('small', KEY, small)), undefined)
})

// Guards against an untrue refusal from the cache of an entry after the job was accepted by way of another one.
test('a refused job stays refused for longer than the entries repeat the refusal', t => {
  const fleet = createOverloadedFleet()
  t.is(errorOf(fleet.submit('late', KEY, whole(1_000))), 'queue_full')
  for (let index = 0; index < 4; index++) fleet.fixture.cancel(`first${index}`, '/urgent/')
  fleet.fixture.advance(500)
  t.is(errorOf(fleet.submit('late', KEY, whole(1_000))), 'queue_full')
  fleet.fixture.advance(500)
  t.is(errorOf(fleet.submit('late', KEY, whole(1_000))), undefined)
})

test('the delay before a retry spreads the callers and does not depend on the number of attempts', t => {
  const fleet = createOverloadedFleet()
  const delayOf = (jobId: string): number => {
    const result = fleet.submit(jobId, KEY, whole(1_000))
    return result?.ok === false ? result.failure.retryAfterMs ?? 0 : 0
  }
  t.is(delayOf('late'), delayOf('late'))
  const delays = Array.from({ length: 50 }, (_, index) => delayOf(`late${index}`))
  t.true(Math.min(...delays) >= 1_000)
  t.true(Math.max(...delays) - Math.min(...delays) > 2_000)
})

const OVERSIZED = { ...whole(1_000), shape: { ...WHOLE_WORKER, acceleratorCount: 9 } }

test('a job that no worker could ever hold is refused once all workers have had time to report', t => {
  const fleet = new ReplayedFleet(1, () => DAY_MS, withAdmission, configuration)
  t.is(errorOf(fleet.submit('early', KEY, OVERSIZED)), undefined)
  fleet.fixture.advance(defaultBatchSettings.maintenanceDownMs)
  t.is(errorOf(fleet.submit('later', KEY, OVERSIZED)), 'impossible_shape')
})

// Guards against a leader of a process that lets such a job wait without end.
test('the adaptive policies refuse such a job, the plain ones accept it', t => {
  const answerWith = (createPolicies: (context: PolicyContext) => BatchPolicies): string | undefined => {
    const fleet = new ReplayedFleet(1, () => DAY_MS, createPolicies, configuration)
    fleet.fixture.advance(defaultBatchSettings.maintenanceDownMs)
    return errorOf(fleet.submit('oversized', KEY, OVERSIZED))
  }
  t.is(answerWith(adaptivePolicies), 'impossible_shape')
  t.is(answerWith(plainPolicies), undefined)
})

test('while a configuration is pending, or after a larger worker has gone, such a job is accepted', t => {
  const fleet = new ReplayedFleet(1, () => DAY_MS, withAdmission, configuration)
  fleet.fixture.advance(defaultBatchSettings.maintenanceDownMs)
  fleet.fixture.isCommitting = false
  fleet.fixture.execute({ kind: 'put_configuration', document: document(2, queues) })
  t.is(errorOf(fleet.submit('pending', KEY, OVERSIZED)), undefined)
  fleet.fixture.commitNext()
  t.is(errorOf(fleet.submit('committed', KEY, OVERSIZED)), 'impossible_shape')
  fleet.fixture.heartbeat('large', { capacity: { cpuMillicores: 64_000, memoryMb: 262_144, acceleratorCount: 16 } })
  t.is(errorOf(fleet.submit('large', KEY, OVERSIZED)), undefined)
  fleet.fixture.advance(DAY_MS)
  t.is(errorOf(fleet.submit('gone', KEY, OVERSIZED)), undefined)
})

// Guards against a refusal for good while the larger workers, as those of a lost zone, are not known to a new leader.
test('after a change of leader such a job is accepted until all workers with runs have reported', t => {
  const fleet = new ReplayedFleet(1, () => DAY_MS, withAdmission, configuration)
  const capacity = { cpuMillicores: 64_000, memoryMb: 262_144, acceleratorCount: 16 }
  fleet.fixture.heartbeat('large', { capacity })
  fleet.submit('running', KEY, OVERSIZED)
  fleet.fixture.heartbeat('large', { capacity })
  fleet.fixture.changeLeader()
  fleet.round()
  fleet.fixture.advance(defaultBatchSettings.fleetDiscoveryMs + defaultBatchSettings.maintenanceDownMs)
  fleet.round()
  const huge = { ...OVERSIZED, shape: { ...WHOLE_WORKER, acceleratorCount: 17 } }
  t.is(errorOf(fleet.submit('early', KEY, huge)), undefined)
  fleet.fixture.heartbeat('large', { capacity })
  t.is(errorOf(fleet.submit('later', KEY, huge)), 'impossible_shape')
})

test('the counter and the log tell operators when a queue refuses jobs', t => {
  const counted: string[] = []
  class Counters extends NullMetrics {
    override increment (name = ''): void { counted.push(name) }
  }
  const lines: string[] = []
  class Log extends NullEventLog {
    override warn (message = ''): void { lines.push(message) }
    override info (message = ''): void { lines.push(message) }
  }
  const fleet = createOverloadedFleet(context =>
    ({ ...plainPolicies(), admission: new BacklogAdmission({ ...context, metrics: new Counters(), log: new Log() }) }))
  fleet.submit('late1', KEY, whole(1_000))
  fleet.submit('late2', KEY, whole(1_000))
  fleet.fixture.advance(6_000)
  t.deepEqual(counted, ['admission.refused', 'admission.refused'])
  t.deepEqual(lines, ['queue refuses jobs because of its backlog', 'queue no longer refuses jobs'])
})

// Guards against a refusal that takes a long run time for the favourable case, where the objective is constant.
test('a job with a constant objective is accepted if it has a value when its estimate is too long', t => {
  const constant = queue({ name: 'normal', priority: 1, slackFactor: 0, targetLatencyMs: 20_000 })
  const urgent = queue({ name: 'urgent', pathPrefix: '/urgent/', priority: 0, slackFactor: 100, targetLatencyMs: 100 })
  const fleet = new ReplayedFleet(1, () => 4_100, withAdmission, document(1, [constant, urgent]))
  for (let index = 0; index < 12; index++) fleet.submit(`first${index}`, KEY, whole(10_000), '/urgent/')
  fleet.round()
  const submittedMs = fleet.nowMs
  t.is(errorOf(fleet.submit('constant', KEY, whole(10_000))), undefined)
  for (let round = 0; round < 1_000 && !fleet.endedMs.has('constant.0.0.0'); round++) fleet.round()
  t.true((fleet.endedMs.get('constant.0.0.0') ?? Infinity) - submittedMs < 20_000 * USEFUL_FACTOR)
})
