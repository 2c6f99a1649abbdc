/**
 * Runs of a worker that says how long it stays. Guards against a run that ends in the last moment of its worker: nobody
 * learns that its task is done, and the task runs again.
 */
import test from 'ava'
import { step } from './sample-data.js'
import { HEARTBEAT_WAIT_MS, LeaderFixture, runningTasks } from './leader-fixture.js'
import { defaultBatchSettings, type WorkerOrders, type WorkerReport } from '../src/index.js'

const REPORT_INTERVAL_MS = 200
const STAY_MS = 4_500
const DONE_END = { sequence: 1, taskKey: 'j1.0.0.0', run: 1, reason: 'done' as const, checkpoint: '' }

interface LeavingWorker {
  readonly fixture: LeaderFixture
  readonly running: WorkerReport['running']
  readonly leavesAtMs: number
}

/** A worker with one run, without checkpoints, that is estimated to end while the worker is there. */
function createLeavingWorker (): LeavingWorker {
  const fixture = new LeaderFixture()
  fixture.advance(1_000)
  fixture.heartbeat('w1')
  fixture.submit('j1', [step({ taskCount: 1, estimateMs: 2_000 })])
  const running = runningTasks(fixture.heartbeat('w1')?.starts ?? [], 50)
  return { fixture, running, leavesAtMs: fixture.clock.monotonicMs() + STAY_MS }
}

function reportLeaving (worker: LeavingWorker, fields: Partial<WorkerReport> = {}): WorkerOrders | undefined {
  const { fixture, running, leavesAtMs } = worker
  fixture.advance(REPORT_INTERVAL_MS - HEARTBEAT_WAIT_MS)
  const remainingMs = leavesAtMs - fixture.clock.monotonicMs()
  return fixture.heartbeat('w1', { running, state: 'leaving', remainingMs, ...fields })
}

test('a run is stopped while its leaving worker can still report how it ended', t => {
  const worker = createLeavingWorker()
  const { fixture, leavesAtMs } = worker
  let orders = reportLeaving(worker)
  while (orders?.stops.length === 0 && fixture.clock.monotonicMs() < leavesAtMs) orders = reportLeaving(worker)
  t.is(orders?.stops.length, 1)
  const remainingMs = leavesAtMs - fixture.clock.monotonicMs()
  t.true(remainingMs >= defaultBatchSettings.leavingStopLeadMs - 2 * REPORT_INTERVAL_MS, `${remainingMs} ms`)
  t.true(remainingMs <= defaultBatchSettings.leavingStopLeadMs, `${remainingMs} ms`)
})

test('a run that ends on a leaving worker before it is stopped completes its task', t => {
  const worker = createLeavingWorker()
  let orders = reportLeaving(worker)
  while (orders?.stops.length === 0) orders = reportLeaving(worker)
  reportLeaving(worker, { running: [], ends: [DONE_END] })
  t.is(worker.fixture.state.job('j1')?.state, 'completed')
})

test('no run of a silent leaving worker counts on more time than the worker said', t => {
  const worker = createLeavingWorker()
  reportLeaving(worker)
  worker.fixture.advance(STAY_MS - REPORT_INTERVAL_MS - defaultBatchSettings.leavingStopLeadMs)
  t.is(reportLeaving(worker)?.stops.length, 1)
})
