/** Guards the checks of the simulations: a run that must not start counts as a violation, and no other one does. */
import test from 'ava'
import { ManualClock } from '@comfreygrade/core'
import { LeasedRuns, RunHistory } from '../src/index.js'

const LEASE_MS = 3_000
const TASK = 'j1.0.0.0'

function start (runs: LeasedRuns, clock: ManualClock, run: number, recordedEndSequence = 0): void {
  runs.applyOrders({
    leaseMs: LEASE_MS,
    recordedEndSequence,
    fencingToken: 1,
    starts: [{ taskKey: TASK, run, payload: '500', checkpoint: '' }],
    stops: [],
    paces: [],
    nextReportMs: 200
  }, clock.monotonicMs())
}

/** A worker on which the task has ended as done, and another one. */
function createCompletedRun (): { clock: ManualClock, history: RunHistory, first: LeasedRuns, second: LeasedRuns } {
  const clock = new ManualClock(1_000, 1_700_000_000_000)
  const history = new RunHistory()
  const first = new LeasedRuns('w1', clock, history)
  const second = new LeasedRuns('w2', clock, history)
  start(first, clock, 1)
  clock.advance(600)
  first.endDueRuns()
  return { clock, history, first, second }
}

test('a task that starts again while the worker of its completion keeps its lease is a violation', t => {
  const { clock, history, second } = createCompletedRun()
  start(second, clock, 2)
  t.deepEqual(history.violations, ['j1.0.0.0 starts on w2 though w1#1 is done and its worker keeps its lease'])
})

test('a task that starts again after the worker of its completion has lost its lease is no violation', t => {
  const { clock, history, first, second } = createCompletedRun()
  clock.advance(LEASE_MS)
  first.endDueRuns()
  start(second, clock, 2)
  t.deepEqual(history.violations, [])
})

test('a task that starts again after the worker of its completion has crashed is no violation', t => {
  const { clock, history, first, second } = createCompletedRun()
  first.crash()
  start(second, clock, 2)
  t.deepEqual(history.violations, [])
})

test('a task that starts again after its worker has listed its completion and exited is a violation', t => {
  const { clock, history, first, second } = createCompletedRun()
  first.exit(1)
  start(second, clock, 2)
  t.is(history.violations.length, 1)
})

test('a task that starts again after its worker has exited without listing its completion is no violation', t => {
  const { clock, history, first, second } = createCompletedRun()
  first.exit(0)
  start(second, clock, 2)
  t.deepEqual(history.violations, [])
})
