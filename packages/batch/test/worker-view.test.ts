import test from 'ava'
import { ManualClock } from '@comfreygrade/core'
import { defaultBatchSettings } from '../src/index.js'
import { WorkerView } from '../src/worker-view.js'
import { report } from './sample-data.js'

const settings = { ...defaultBatchSettings, leaseMs: 6_000 }
const row = { taskKey: 'j1.0.0.0', run: 1, checkpoint: '', percent: 10, usage: 0 }

/** A view in a term that began long ago, so that no earlier leader's lease counts. */
function startView (clock = new ManualClock(100_000)) {
  const view = new WorkerView(report('w1', { clockMs: 1_000 }), 0, clock, settings)
  view.granted(settings.leaseMs)
  return { view, clock }
}

function beat (
  view: WorkerView, clock: ManualClock, elapsedMs: number, sequence: number, running: Array<typeof row> = []
): boolean {
  clock.advance(elapsedMs)
  const clockMs = view.latest.clockMs + elapsedMs
  return view.accept(report('w1', { clockMs, sequence, running }), clock.monotonicMs())
}

test('a heartbeat that comes more than a second late is ignored, since the worker drops the answer', t => {
  const { view, clock } = startView()
  clock.advance(3_000)
  t.false(view.accept(report('w1', { clockMs: 1_900, sequence: 2 }), clock.monotonicMs()))
})

test('a heartbeat with an earlier number is ignored', t => {
  const { view, clock } = startView()
  t.true(beat(view, clock, 200, 5))
  t.false(view.accept(report('w1', { clockMs: 1_100, sequence: 4 }), clock.monotonicMs()))
})

test('a quick next heartbeat proves that the lease was extended', t => {
  const { view, clock } = startView()
  beat(view, clock, 200, 2)
  t.is(view.leaseCertainty, 'held')
})

test('after a gap beyond every lease the lease has lapsed, so that ends from before do not count', t => {
  const { view, clock } = startView()
  beat(view, clock, 6_100, 2)
  t.is(view.leaseCertainty, 'lapsed')
})

test('a gap after an answer that may have been lost leaves the lease uncertain', t => {
  const { view, clock } = startView()
  beat(view, clock, 1_500, 2)
  t.is(view.leaseCertainty, 'uncertain')
})

test('a run that goes on proves that the lease held', t => {
  const { view, clock } = startView()
  beat(view, clock, 200, 2, [row])
  view.granted(settings.leaseMs)
  beat(view, clock, 6_100, 3, [row])
  t.is(view.leaseCertainty, 'held')
})

test('leases of an earlier leader count up to the start of the term (kartli-yards trouble-1, TWICE)', t => {
  const clock = new ManualClock(100_000)
  // A heartbeat that was sent 3 s ago is the first that this leader hears.
  const view = new WorkerView(report('w1', { clockMs: 1_000 }), 100_000, clock, settings)
  view.granted(settings.leaseMs)
  clock.advance(3_100)
  view.accept(report('w1', { clockMs: 7_100, sequence: 2 }), clock.monotonicMs())
  t.is(view.leaseCertainty, 'uncertain')
})

test('heartbeats of a worker whose clock is 2 percent slow stay in time on a long day (own day slow-core, TWICE)', t => {
  const { view, clock } = startView()
  for (let sequence = 2; sequence < 1_500; sequence++) {
    clock.advance(200)
    const clockMs = view.latest.clockMs + 200 * 0.98
    t.true(view.accept(report('w1', { clockMs, sequence }), clock.monotonicMs()))
  }
})
