import test from 'ava'
import { document, KEY, step } from './sample-data.js'
import { LeaderFixture, rows } from './leader-fixture.js'
import type { WorkerOrders } from '../src/index.js'

const accelerators = (count: number) => ({ cpuMillicores: 1_000, memoryMb: 1_000, acceleratorCount: count })

const guaranteed = (guaranteedAccelerators: number) => [{ name: 'org-a', apiKeys: [KEY], guaranteedAccelerators }]

/** Workers of one rack, heard. */
function fleet (count: number): { fixture: LeaderFixture, beatAll: () => WorkerOrders[] } {
  const fixture = new LeaderFixture()
  const workerIds = Array.from({ length: count }, (_, index) => `w${index}`)
  const running = new Map<string, ReturnType<typeof rows>>()
  const beatAll = (): WorkerOrders[] => {
    fixture.advance(200)
    return workerIds.flatMap(workerId => {
      const progressed = (running.get(workerId) ?? []).map(row => ({ ...row, percent: row.percent + 0.1 }))
      running.set(workerId, progressed)
      const orders = fixture.beat(workerId, { running: progressed })
      if (orders === undefined) return []
      running.set(workerId, [...running.get(workerId) ?? [], ...rows(orders.starts, 1)])
      return [orders]
    })
  }
  beatAll()
  // The leader has had time to hear the fleet.
  fixture.advance(2_000)
  beatAll()
  return { fixture, beatAll }
}

test('small work does not keep a waiting gang from its room for ever (kartli-yards trouble-1, LOST)', t => {
  const { fixture, beatAll } = fleet(2)
  fixture.submit('first', [step({ taskCount: 1, estimateMs: 60_000, shape: accelerators(1) })])
  beatAll()
  const gang = step({ taskCount: 2, isGang: true, estimateMs: 1_000, shape: accelerators(8) })
  fixture.submit('gang', [gang])
  beatAll()
  fixture.submit('long', [step({ taskCount: 8, estimateMs: 120_000, shape: accelerators(1) })])
  const starts = beatAll().flatMap(orders => orders.starts)
  t.deepEqual(starts.filter(start => start.taskKey.startsWith('long')), [])
})

test('work that ends before the room is needed uses it meanwhile', t => {
  const { fixture, beatAll } = fleet(2)
  fixture.submit('first', [step({ taskCount: 1, estimateMs: 60_000, shape: accelerators(1) })])
  beatAll()
  fixture.submit('gang', [step({ taskCount: 2, isGang: true, estimateMs: 1_000, shape: accelerators(8) })])
  beatAll()
  fixture.submit('short', [step({ taskCount: 1, estimateMs: 2_000, shape: accelerators(1) })])
  t.is(beatAll().flatMap(orders => orders.starts).length, 1)
})

test('urgent work within its guarantee gets its room back before the guarantee is due', t => {
  const { fixture, beatAll } = fleet(2)
  fixture.submit('lent', [step({ taskCount: 2, estimateMs: 600_000, shape: accelerators(8) })])
  beatAll()
  beatAll()
  fixture.submit('urgent', [step({ taskCount: 1, estimateMs: 10_000, shape: accelerators(8) })], '/urgent/')
  let waitedMs = 0
  let stops = 0
  while (stops === 0 && waitedMs < 5_700) {
    stops = beatAll().flatMap(orders => orders.stops).length
    waitedMs += 200
  }
  t.is(stops, 1)
  t.true(waitedMs <= 4_000, `stopped after ${waitedMs} ms`)
})

/** Three urgent jobs of one worker each, of an organisation whose guarantee is two workers; lent work is everywhere. */
function burstBeyondGuarantee (estimateMs: number, lentElapsedMs = 200) {
  const { fixture, beatAll } = fleet(4)
  fixture.submit('lent', [step({ taskCount: 4, estimateMs: 600_000, shape: accelerators(8) })])
  for (let elapsedMs = 0; elapsedMs <= lentElapsedMs; elapsedMs += 200) beatAll()
  for (const jobId of ['u1', 'u2', 'u3']) {
    fixture.submit(jobId, [step({ taskCount: 1, estimateMs, shape: accelerators(8) })], '/urgent/')
  }
  return beatAll
}

test('in a burst beyond the guarantee urgent work takes room back while its objective can be met', t => {
  // The objective is three times the estimate and 1 s: with 1 s of work there are 3 s of slack.
  const beatAll = burstBeyondGuarantee(1_000)
  let stops = 0
  for (let waitedMs = 0; waitedMs < 3_000; waitedMs += 200) stops += beatAll().flatMap(orders => orders.stops).length
  t.true(stops >= 3, `${stops} stops`)
})

test('urgent work beyond the guarantee does not throw away more work than its objective is worth', t => {
  const beatAll = burstBeyondGuarantee(1_000, 60_000)
  for (let waitedMs = 0; waitedMs < 6_000; waitedMs += 200) t.deepEqual(beatAll().flatMap(orders => orders.stops), [])
})

test('urgent work takes room back at once where none will be free in time (ferreyra-cuotas quiet-1)', t => {
  const beatAll = burstBeyondGuarantee(4_000)
  let waitedMs = 0
  while (beatAll().every(orders => orders.stops.length === 0)) waitedMs += 200
  t.true(waitedMs <= 400, `stopped after ${waitedMs} ms`)
})

test('urgent work waits for room that will be free in time, so that nothing is thrown away', t => {
  const { fixture, beatAll } = fleet(1)
  fixture.submit('ending', [step({ taskCount: 1, estimateMs: 1_500, shape: accelerators(8) })])
  beatAll()
  fixture.submit('urgent', [step({ taskCount: 1, estimateMs: 4_000, shape: accelerators(8) })], '/urgent/')
  for (let waitedMs = 0; waitedMs < 1_000; waitedMs += 200) {
    t.deepEqual(beatAll().flatMap(orders => orders.stops), [])
  }
})

test('room that was freed for urgent work is not taken by work that comes later (ferreyra-cuotas scale-2)', t => {
  const { fixture, beatAll } = fleet(1)
  fixture.submit('lent', [step({ taskCount: 1, estimateMs: 600_000, shape: accelerators(8) })])
  beatAll()
  beatAll()
  fixture.submit('first', [step({ taskCount: 1, estimateMs: 4_000, shape: accelerators(8) })], '/urgent/')
  t.is(beatAll().flatMap(orders => orders.stops).length, 1)
  fixture.submit('second', [step({ taskCount: 1, estimateMs: 1_000, shape: accelerators(8) })], '/urgent/')
  fixture.advance(200)
  const ends = [{ sequence: 1, taskKey: 'lent.0.0.0', run: 1, reason: 'stopped' as const, checkpoint: '' }]
  t.deepEqual(fixture.beat('w0', { ends })?.starts.map(start => start.taskKey), ['first.0.0.0'])
})

test('a new leader takes no room back before it has heard the fleet (kartli-yards trouble-1)', t => {
  const { fixture, beatAll } = fleet(2)
  fixture.submit('lent', [step({ taskCount: 1, estimateMs: 600_000, shape: accelerators(8) })])
  beatAll()
  beatAll()
  fixture.changeLeader()
  const holder = [...fixture.state.runsOf('w0')].length === 1 ? 'w0' : 'w1'
  const running = [{ taskKey: 'lent.0.0.0', run: 1, checkpoint: '', percent: 1, usage: 0 }]
  fixture.submit('urgent', [step({ taskCount: 1, estimateMs: 4_000, shape: accelerators(8) })], '/urgent/')
  for (let waitedMs = 0; waitedMs < 1_000; waitedMs += 200) {
    fixture.advance(200)
    t.deepEqual(fixture.beat(holder, { running })?.stops, [])
  }
  const other = holder === 'w0' ? 'w1' : 'w0'
  t.is(fixture.beat(other)?.starts.length, 1)
})

test('work far from its data waits for its rack for one run time, then goes elsewhere', t => {
  const { fixture, beatAll } = fleet(1)
  fixture.beat('far', { rack: 'r2', labels: ['kind', 'r2'], state: 'leaving' })
  fixture.submit('blocker', [step({ taskCount: 1, estimateMs: 60_000, shape: accelerators(8) })])
  beatAll()
  fixture.beat('far', { rack: 'r2', labels: ['kind', 'r2'] })
  fixture.submit('data', [step({ taskCount: 1, estimateMs: 2_000, dataRack: 'r1' })])
  fixture.advance(1_000)
  t.deepEqual(fixture.beat('far', { rack: 'r2', labels: ['kind', 'r2'] })?.starts, [])
  beatAll()
  fixture.advance(1_200)
  t.is(fixture.beat('far', { rack: 'r2', labels: ['kind', 'r2'] })?.starts.length, 1)
})

test('no worker gets more tasks of a step than the step allows', t => {
  const { fixture, beatAll } = fleet(2)
  fixture.submit('apart', [step({ taskCount: 6, maxTasksPerWorker: 2 })])
  t.deepEqual(beatAll().map(orders => orders.starts.length), [2, 2])
})

test('a same-rack gang that is wider than any rack waits for lost workers, then runs over several racks', t => {
  const { fixture, beatAll } = fleet(1)
  const beatEach = () => [...beatAll(), fixture.beat('far', { rack: 'r2', labels: ['kind', 'r2'] })]
    .flatMap(orders => orders?.starts ?? [])
  beatEach()
  fixture.submit('wide', [step({ taskCount: 2, isGang: true, isSameRack: true, shape: accelerators(8) })])
  const submittedMs = fixture.clock.monotonicMs()
  const waitedMs = (): number => fixture.clock.monotonicMs() - submittedMs
  while (beatEach().length === 0 && waitedMs() < 10_000);
  t.true(waitedMs() >= 2_000 && waitedMs() < 3_000, `started after ${waitedMs()} ms`)
})

/** Two racks of two workers, whose runs make no progress to speak of. */
function twoRacks (): { fixture: LeaderFixture, beatEach: () => WorkerOrders[] } {
  const fixture = new LeaderFixture()
  const racks = { w0: 'r1', w1: 'r1', w2: 'r2', w3: 'r2' }
  const running = new Map<string, ReturnType<typeof rows>>()
  const beatEach = (): WorkerOrders[] => Object.entries(racks).flatMap(([workerId, rack]) => {
    const orders = fixture.beat(workerId, { rack, labels: ['kind', rack], running: running.get(workerId) ?? [] })
    running.set(workerId, [...running.get(workerId) ?? [], ...rows(orders?.starts ?? [], 1)])
    return orders ?? []
  })
  return { fixture, beatEach }
}

const startsOf = (answers: readonly WorkerOrders[]) => answers.flatMap(orders => orders.starts)
const stopsOf = (answers: readonly WorkerOrders[]) => answers.flatMap(orders => orders.stops)

test('a same-rack gang does not wait for long beside idle workers of several racks (kartli-yards hunt, LOST)', t => {
  const { fixture, beatEach } = twoRacks()
  beatEach()
  const long = step({ taskCount: 2, estimateMs: 600_000, maxTasksPerWorker: 1, requiredLabel: 'kind' })
  fixture.submit('long-1', [{ ...long, taskCount: 1, dataRack: 'r1' }])
  fixture.submit('long-2', [{ ...long, taskCount: 1, dataRack: 'r2' }])
  beatEach()
  fixture.submit('gang', [step({ taskCount: 2, isGang: true, isSameRack: true, shape: accelerators(8) })])
  const submittedMs = fixture.clock.monotonicMs()
  const waitedMs = (): number => fixture.clock.monotonicMs() - submittedMs
  while (!startsOf(beatEach()).some(start => start.taskKey.startsWith('gang')) && waitedMs() < 10_000);
  t.true(waitedMs() >= 2_000 && waitedMs() < 3_000, `started after ${waitedMs()} ms`)
})

test('a guarantee that is due is honoured over several racks where none can be freed', t => {
  const { fixture, beatEach } = twoRacks()
  beatEach()
  const whole = step({ taskCount: 1, estimateMs: 600_000, shape: accelerators(8) })
  // The jobs of priority 0 hold one worker of each rack and cannot be stopped; lent work has the others.
  fixture.submit('other-1', [{ ...whole, dataRack: 'r1' }], '/urgent/')
  fixture.submit('other-2', [{ ...whole, dataRack: 'r2' }], '/urgent/')
  fixture.submit('lent', [{ ...whole, taskCount: 2 }])
  for (let count = 0; count < 10; count++) beatEach()
  fixture.operate({ kind: 'put_configuration', document: { ...document(2), organisations: guaranteed(32) } })
  fixture.submit('gang', [step({ taskCount: 2, isGang: true, isSameRack: true, shape: accelerators(8) })], '/urgent/')
  const stopped = new Set<string>()
  for (let count = 0; count < 15; count++) for (const { taskKey } of stopsOf(beatEach())) stopped.add(taskKey)
  t.deepEqual([...stopped].sort(), ['lent.0.0.0', 'lent.0.0.1'])
})
