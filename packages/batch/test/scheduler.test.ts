import test from 'ava'
import { document, KEY, step } from './sample-data.js'
import { LeaderFixture, RecordingLog, runningTasks } from './leader-fixture.js'
import type { WorkerOrders } from '../src/index.js'

const accelerators = (count: number) => ({ cpuMillicores: 1_000, memoryMb: 1_000, acceleratorCount: count })

const organisationsWithGuarantee = (guaranteedAccelerators: number) => [{ name: 'org-a', apiKeys: [KEY], guaranteedAccelerators }]

/**
 * Workers of one rack that have reported, and whose runs make slow progress. `reportAll` is one round of heartbeats:
 * the clock advances by a pause of 200 ms, and then by the fixture's waits for the answer of each worker.
 */
function createFleet (
  count: number, log = new RecordingLog()
): { fixture: LeaderFixture, reportAll: () => WorkerOrders[] } {
  const fixture = new LeaderFixture(undefined, undefined, log)
  const workerIds = Array.from({ length: count }, (_, index) => `w${index}`)
  const running = new Map<string, ReturnType<typeof runningTasks>>()
  const reportAll = (): WorkerOrders[] => {
    fixture.advance(200)
    return workerIds.flatMap(workerId => {
      const progressed = (running.get(workerId) ?? []).map(task => ({ ...task, percent: task.percent + 0.1 }))
      running.set(workerId, progressed)
      const orders = fixture.heartbeat(workerId, { running: progressed })
      if (orders === undefined) return []
      running.set(workerId, [...running.get(workerId) ?? [], ...runningTasks(orders.starts, 1)])
      return [orders]
    })
  }
  reportAll()
  // Wait until the leader counts the fleet as known.
  fixture.advance(2_000)
  reportAll()
  return { fixture, reportAll }
}

test('small tasks do not starve a waiting gang: its capacity is reserved', t => {
  const { fixture, reportAll } = createFleet(2)
  fixture.submit('first', [step({ taskCount: 1, estimateMs: 60_000, shape: accelerators(1) })])
  reportAll()
  const gang = step({ taskCount: 2, isGang: true, estimateMs: 1_000, shape: accelerators(8) })
  fixture.submit('gang', [gang])
  reportAll()
  fixture.submit('long', [step({ taskCount: 8, estimateMs: 120_000, shape: accelerators(1) })])
  const starts = reportAll().flatMap(orders => orders.starts)
  t.deepEqual(starts.filter(start => start.taskKey.startsWith('long')), [])
})

test('backfilling: a task that ends before reserved capacity is needed uses it until then', t => {
  const { fixture, reportAll } = createFleet(2)
  fixture.submit('first', [step({ taskCount: 1, estimateMs: 60_000, shape: accelerators(1) })])
  reportAll()
  fixture.submit('gang', [step({ taskCount: 2, isGang: true, estimateMs: 1_000, shape: accelerators(8) })])
  reportAll()
  fixture.submit('short', [step({ taskCount: 1, estimateMs: 2_000, shape: accelerators(1) })])
  t.is(reportAll().flatMap(orders => orders.starts).length, 1)
})

test('an urgent job that its guarantee covers preempts a long run of lower priority', t => {
  const { fixture, reportAll } = createFleet(2)
  fixture.submit('lent', [step({ taskCount: 2, estimateMs: 600_000, shape: accelerators(8) })])
  reportAll()
  reportAll()
  fixture.submit('urgent', [step({ taskCount: 1, estimateMs: 10_000, shape: accelerators(8) })], '/urgent/')
  // The run ends too late for the urgent job's objective, so the job would preempt it without a guarantee as well.
  let pausesMs = 0
  let stops = 0
  while (stops === 0 && pausesMs < 5_700) {
    stops = reportAll().flatMap(orders => orders.stops).length
    pausesMs += 200
  }
  t.is(stops, 1)
  t.true(pausesMs <= 4_000, `stopped after rounds with pauses of ${pausesMs} ms in all`)
})

/**
 * Three urgent jobs of one worker each where the guarantee is two workers, and runs of another job occupy all four. The
 * pauses between the rounds of heartbeats in which these have run add up to more than `runPausesMs`.
 */
function submitBurstBeyondGuarantee (estimateMs: number, runPausesMs = 200) {
  const { fixture, reportAll } = createFleet(4)
  fixture.submit('lent', [step({ taskCount: 4, estimateMs: 600_000, shape: accelerators(8) })])
  for (let pausesMs = 0; pausesMs <= runPausesMs; pausesMs += 200) reportAll()
  for (const jobId of ['u1', 'u2', 'u3']) {
    fixture.submit(jobId, [step({ taskCount: 1, estimateMs, shape: accelerators(8) })], '/urgent/')
  }
  return reportAll
}

test('urgent jobs beyond the guarantee preempt runs that end too late for their objective', t => {
  // The objective is three times the estimate plus 1 s, so a run of 1 s has 3 s of slack.
  const reportAll = submitBurstBeyondGuarantee(1_000)
  // The order to stop a run is repeated in each answer while the run is reported.
  let count = 0
  for (let pausesMs = 0; pausesMs < 3_000; pausesMs += 200) count += reportAll().flatMap(orders => orders.stops).length
  t.true(count >= 3, `${count} stop orders`)
})

test('small urgent jobs beyond the guarantee do not preempt where that discards more than 1,000 core-seconds', t => {
  const reportAll = submitBurstBeyondGuarantee(1_000, 60_000)
  for (let pausesMs = 0; pausesMs < 6_000; pausesMs += 200) t.deepEqual(reportAll().flatMap(orders => orders.stops), [])
})

test('urgent jobs preempt within three rounds of heartbeats where no capacity will be free in time for their objective', t => {
  const reportAll = submitBurstBeyondGuarantee(4_000)
  let pausesMs = 0
  while (reportAll().every(orders => orders.stops.length === 0)) pausesMs += 200
  t.true(pausesMs <= 400, `stopped one round after pauses of ${pausesMs} ms in all`)
})

test('an urgent job does not preempt where capacity will be free in time', t => {
  const { fixture, reportAll } = createFleet(1)
  fixture.submit('ending', [step({ taskCount: 1, estimateMs: 1_500, shape: accelerators(8) })])
  reportAll()
  fixture.submit('urgent', [step({ taskCount: 1, estimateMs: 4_000, shape: accelerators(8) })], '/urgent/')
  for (let pausesMs = 0; pausesMs < 1_000; pausesMs += 200) {
    t.deepEqual(reportAll().flatMap(orders => orders.stops), [])
  }
})

test('capacity freed for an urgent job is not taken by a job that comes later', t => {
  const { fixture, reportAll } = createFleet(1)
  fixture.submit('lent', [step({ taskCount: 1, estimateMs: 600_000, shape: accelerators(8) })])
  reportAll()
  reportAll()
  fixture.submit('first', [step({ taskCount: 1, estimateMs: 4_000, shape: accelerators(8) })], '/urgent/')
  t.is(reportAll().flatMap(orders => orders.stops).length, 1)
  fixture.submit('second', [step({ taskCount: 1, estimateMs: 1_000, shape: accelerators(8) })], '/urgent/')
  fixture.advance(200)
  const ends = [{ sequence: 1, taskKey: 'lent.0.0.0', run: 1, reason: 'stopped' as const, checkpoint: '' }]
  t.deepEqual(fixture.heartbeat('w0', { ends })?.starts.map(start => start.taskKey), ['first.0.0.0'])
})

test('a new leader does not preempt before the fleet has had time to report', t => {
  const { fixture, reportAll } = createFleet(2)
  fixture.submit('lent', [step({ taskCount: 1, estimateMs: 600_000, shape: accelerators(8) })])
  reportAll()
  reportAll()
  fixture.changeLeader()
  const holder = [...fixture.state.runsOf('w0')].length === 1 ? 'w0' : 'w1'
  const running = [{ taskKey: 'lent.0.0.0', run: 1, checkpoint: '', percent: 1, usage: 0 }]
  fixture.submit('urgent', [step({ taskCount: 1, estimateMs: 4_000, shape: accelerators(8) })], '/urgent/')
  for (let pausesMs = 0; pausesMs < 1_000; pausesMs += 200) {
    fixture.advance(200)
    t.deepEqual(fixture.heartbeat(holder, { running })?.stops, [])
  }
  const other = holder === 'w0' ? 'w1' : 'w0'
  t.is(fixture.heartbeat(other)?.starts.length, 1)
})

test('a task waits up to 2 s for the rack of its data, then starts on another rack', t => {
  const { fixture, reportAll } = createFleet(1)
  const far = { rack: 'r2', labels: ['kind', 'r2'] }
  fixture.submit('blocker', [step({ taskCount: 1, estimateMs: 60_000, shape: accelerators(8) })])
  reportAll()
  fixture.heartbeat('far', far)
  fixture.submit('data', [step({ taskCount: 1, estimateMs: 2_000, dataRack: 'r1' })])
  fixture.advance(1_000)
  t.deepEqual(fixture.heartbeat('far', far)?.starts, [])
  reportAll()
  fixture.advance(1_200)
  t.is(fixture.heartbeat('far', far)?.starts.length, 1)
})

test('no worker gets more tasks of a step than maxTasksPerWorker', t => {
  const { fixture, reportAll } = createFleet(2)
  fixture.submit('apart', [step({ taskCount: 6, maxTasksPerWorker: 2 })])
  t.deepEqual(reportAll().map(orders => orders.starts.length), [2, 2])
})

test('a same-rack gang wider than any rack waits for lost workers, then starts across racks', t => {
  const { fixture, reportAll } = createFleet(1)
  const reportEach = () => [...reportAll(), fixture.heartbeat('far', { rack: 'r2', labels: ['kind', 'r2'] })]
    .flatMap(orders => orders?.starts ?? [])
  reportEach()
  fixture.submit('wide', [step({ taskCount: 2, isGang: true, isSameRack: true, shape: accelerators(8) })])
  const submittedMs = fixture.clock.monotonicMs()
  const waitedMs = (): number => fixture.clock.monotonicMs() - submittedMs
  while (reportEach().length === 0 && waitedMs() < 10_000);
  t.true(waitedMs() >= 2_000 && waitedMs() < 3_000, `started after ${waitedMs()} ms`)
})

/** Two racks of two workers, whose runs make no progress. */
function createTwoRacks (): { fixture: LeaderFixture, reportEach: () => WorkerOrders[] } {
  const fixture = new LeaderFixture()
  const racks = { w0: 'r1', w1: 'r1', w2: 'r2', w3: 'r2' }
  const running = new Map<string, ReturnType<typeof runningTasks>>()
  const reportEach = (): WorkerOrders[] => Object.entries(racks).flatMap(([workerId, rack]) => {
    const orders = fixture.heartbeat(workerId, { rack, labels: ['kind', rack], running: running.get(workerId) ?? [] })
    running.set(workerId, [...running.get(workerId) ?? [], ...runningTasks(orders?.starts ?? [], 1)])
    return orders ?? []
  })
  return { fixture, reportEach }
}

const startsOf = (answers: readonly WorkerOrders[]) => answers.flatMap(orders => orders.starts)
const stopsOf = (answers: readonly WorkerOrders[]) => answers.flatMap(orders => orders.stops)

test('a same-rack gang does not wait long while idle workers of several racks could run it', t => {
  const { fixture, reportEach } = createTwoRacks()
  reportEach()
  const long = step({ taskCount: 2, estimateMs: 600_000, maxTasksPerWorker: 1, requiredLabel: 'kind' })
  fixture.submit('long-1', [{ ...long, taskCount: 1, dataRack: 'r1' }])
  fixture.submit('long-2', [{ ...long, taskCount: 1, dataRack: 'r2' }])
  reportEach()
  fixture.submit('gang', [step({ taskCount: 2, isGang: true, isSameRack: true, shape: accelerators(8) })])
  const submittedMs = fixture.clock.monotonicMs()
  const waitedMs = (): number => fixture.clock.monotonicMs() - submittedMs
  while (!startsOf(reportEach()).some(start => start.taskKey.startsWith('gang')) && waitedMs() < 10_000);
  t.true(waitedMs() >= 2_000 && waitedMs() < 3_000, `started after ${waitedMs()} ms`)
})

// Guards against a gang that waits for good beside free racks, for one whose run is expected to end at any moment.
test('a same-rack gang stops waiting for a rack that should have been free by now', t => {
  const fixture = new LeaderFixture()
  const racks = { w0: 'r1', w1: 'r1', w2: 'r2', w3: 'r3' }
  const running = new Map<string, ReturnType<typeof runningTasks>>()
  const reportEach = (): WorkerOrders['starts'] => Object.entries(racks).flatMap(([workerId, rack]) => {
    const tasks = running.get(workerId) ?? []
    const starts = fixture.heartbeat(workerId, { rack, labels: ['kind', rack], running: tasks })?.starts ?? []
    // A gang member with its work done waits at full progress for the others.
    running.set(workerId, [...tasks, ...runningTasks(starts, 100)])
    return starts
  })
  reportEach()
  const gang = step({ taskCount: 2, isGang: true, isSameRack: true, shape: accelerators(8), estimateMs: 3_000 })
  fixture.submit('first', [gang])
  reportEach()
  t.deepEqual([...running.keys()].filter(workerId => running.get(workerId)?.length === 1), ['w0', 'w1'])
  fixture.submit('second', [gang])
  const submittedMs = fixture.clock.monotonicMs()
  while (reportEach().length === 0 && fixture.clock.monotonicMs() - submittedMs < 20_000);
  const waitedMs = fixture.clock.monotonicMs() - submittedMs
  t.true(waitedMs > 2_000 && waitedMs < 5_000, `started after ${waitedMs} ms`)
})

test('a guarantee that is due is met across racks where no single rack can be freed', t => {
  const { fixture, reportEach } = createTwoRacks()
  reportEach()
  const whole = step({ taskCount: 1, estimateMs: 600_000, shape: accelerators(8) })
  // Jobs of priority 0 occupy one worker of each rack and cannot be preempted. A job of lower priority has the others.
  fixture.submit('other-1', [{ ...whole, dataRack: 'r1' }], '/urgent/')
  fixture.submit('other-2', [{ ...whole, dataRack: 'r2' }], '/urgent/')
  fixture.submit('lent', [{ ...whole, taskCount: 2 }])
  for (let count = 0; count < 10; count++) reportEach()
  fixture.execute({ kind: 'put_configuration', document: { ...document(2), organisations: organisationsWithGuarantee(32) } })
  fixture.submit('gang', [step({ taskCount: 2, isGang: true, isSameRack: true, shape: accelerators(8) })], '/urgent/')
  const stopped = new Set<string>()
  for (let count = 0; count < 15; count++) for (const { taskKey } of stopsOf(reportEach())) stopped.add(taskKey)
  t.deepEqual([...stopped].sort(), ['lent.0.0.0', 'lent.0.0.1'])
})

/** Reasons in the log for which a step waited, in order, each once. */
function waitReasons (log: RecordingLog, stepKey: string): string[] {
  const reasons = log.lines.flatMap(({ message, fields }) =>
    message === 'step waits' && fields.stepKey === stepKey ? [String(fields.reason)] : [])
  return [...new Set(reasons)]
}

test('the log says why a step waits: for any capacity, for its rack, or for a worker that could hold it', t => {
  const log = new RecordingLog()
  const { fixture, reportAll } = createFleet(2, log)
  fixture.submit('first', [step({ taskCount: 2, estimateMs: 60_000, shape: accelerators(8) })])
  reportAll()
  fixture.submit('small', [step({ taskCount: 1, estimateMs: 1_000, shape: accelerators(1) })])
  fixture.submit('gang', [step({ taskCount: 2, isGang: true, isSameRack: true, shape: accelerators(8) })])
  fixture.submit('huge', [step({ taskCount: 1, shape: accelerators(9) })])
  for (let round = 0; round < 8; round++) reportAll()
  t.deepEqual(waitReasons(log, 'small.0.0'), ['reservation'])
  t.deepEqual(waitReasons(log, 'gang.0.0'), ['reservation'])
  t.deepEqual(waitReasons(log, 'huge.0.0'), ['no_worker'])
  t.deepEqual(waitReasons(log, 'first.0.0'), [])
})

test('the log says how many workers get no new runs and why while a step waits', t => {
  const log = new RecordingLog()
  const fixture = new LeaderFixture(undefined, undefined, log)
  fixture.submit('job', [step({ taskCount: 1 })])
  for (let round = 0; round < 8; round++) {
    fixture.advance(100)
    fixture.heartbeat('w1', { state: 'leaving', remainingMs: 60_000 })
  }
  const wait = log.lines.find(({ message }) => message === 'step waits')
  t.deepEqual(wait?.fields.unschedulableWorkers, { leaving: 1 })
})
