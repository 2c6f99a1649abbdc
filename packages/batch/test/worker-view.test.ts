import test from 'ava'
import { ManualClock } from '@comfreygrade/core'
import { defaultBatchSettings } from '../src/index.js'
import { WorkerView } from '../src/worker-view.js'
import { report } from './sample-data.js'

const settings = { ...defaultBatchSettings, leaseMs: 6_000 }
const runningTask = { taskKey: 'j1.0.0.0', run: 1, checkpoint: '', percent: 10, usage: 0 }

/** A view in a term that began long ago, so that leases of an earlier leader have expired. */
function createView (clock = new ManualClock(100_000)) {
  const view = new WorkerView(report('w1', { clockMs: 1_000 }), 0, clock, settings)
  view.recordLeaseGrant(settings.leaseMs)
  return { view, clock }
}

function acceptReport (
  view: WorkerView, clock: ManualClock, elapsedMs: number, sequence: number, running: Array<typeof runningTask> = []
): boolean {
  clock.advance(elapsedMs)
  const clockMs = view.latest.clockMs + elapsedMs
  return view.accept(report('w1', { clockMs, sequence, running }), clock.monotonicMs())
}

test('a heartbeat that arrives later than the report timeout is ignored, since the worker discards the answer', t => {
  const { view, clock } = createView()
  clock.advance(3_000)
  t.false(view.accept(report('w1', { clockMs: 1_900, sequence: 2 }), clock.monotonicMs()))
})

test('a heartbeat with a lower sequence number is ignored', t => {
  const { view, clock } = createView()
  t.true(acceptReport(view, clock, 200, 5))
  t.false(view.accept(report('w1', { clockMs: 1_100, sequence: 4 }), clock.monotonicMs()))
})

test('a heartbeat within the report timeout of the one before proves that the lease was extended', t => {
  const { view, clock } = createView()
  acceptReport(view, clock, 200, 2)
  t.is(view.leaseStatus, 'held')
})

test('after a gap longer than the lease, the lease has lapsed, so that earlier ends do not count', t => {
  const { view, clock } = createView()
  acceptReport(view, clock, 6_100, 2)
  t.is(view.leaseStatus, 'lapsed')
})

test('a gap after an answer that may have been lost makes the lease uncertain', t => {
  const { view, clock } = createView()
  acceptReport(view, clock, 1_500, 2)
  t.is(view.leaseStatus, 'uncertain')
})

test('a run that continues proves that the lease has held', t => {
  const { view, clock } = createView()
  acceptReport(view, clock, 200, 2, [runningTask])
  view.recordLeaseGrant(settings.leaseMs)
  acceptReport(view, clock, 6_100, 3, [runningTask])
  t.is(view.leaseStatus, 'held')
})

test('a lease that an earlier leader may have granted until the start of the term does not count as lapsed', t => {
  const clock = new ManualClock(100_000)
  // The first heartbeat that reaches this leader was sent 3 s ago.
  const view = new WorkerView(report('w1', { clockMs: 1_000 }), 100_000, clock, settings)
  view.recordLeaseGrant(settings.leaseMs)
  clock.advance(3_100)
  view.accept(report('w1', { clockMs: 7_100, sequence: 2 }), clock.monotonicMs())
  t.is(view.leaseStatus, 'uncertain')
})

// Guards against runs that are freed while their worker still holds the lease of an earlier leader.
test('heartbeats that were all slow to arrive do not make a lease of an earlier leader count as lapsed', t => {
  // The worker's clock is 90 s behind the leader's, so the term starts at 10 s of it. An earlier leader has granted a
  // lease just before, for a heartbeat at 9.95 s; this leader gets one that the worker had given up before that.
  const clock = new ManualClock(100_000)
  const view = new WorkerView(report('w1', { clockMs: 8_900 }), 100_000, clock, settings)
  view.recordLeaseGrant(settings.leaseMs)
  clock.advance(6_400)
  // Sent at 15.5 s, 450 ms before the end of that lease, and 900 ms under way.
  view.accept(report('w1', { clockMs: 15_500, sequence: 2 }), clock.monotonicMs())
  t.is(view.leaseStatus, 'uncertain')
})

test('a worker clock that is 2 percent slow does not make heartbeats count as late over time', t => {
  const { view, clock } = createView()
  for (let sequence = 2; sequence < 1_500; sequence++) {
    clock.advance(200)
    const clockMs = view.latest.clockMs + 200 * 0.98
    t.true(view.accept(report('w1', { clockMs, sequence }), clock.monotonicMs()))
  }
})
