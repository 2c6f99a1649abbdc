/**
 * A worker that leaves sends its last heartbeat and then the message that it has left, which may overtake the
 * heartbeat. Guards against a completed task that runs again because the last heartbeat came second.
 */
import test from 'ava'
import { report, step } from './sample-data.js'
import { LeaderFixture, runningTasks } from './leader-fixture.js'
import type { WorkerReport } from '../src/index.js'

const DONE_END = { sequence: 1, taskKey: 'j1.0.0.0', run: 1, reason: 'done' as const, checkpoint: '' }

/** A leaving worker with one run, and its last heartbeat, which lists the end of the run and is still on its way. */
function createLeavingWorker (): { fixture: LeaderFixture, last: WorkerReport } {
  const fixture = new LeaderFixture()
  fixture.advance(1_000)
  fixture.heartbeat('w1')
  fixture.submit('j1', [step({ taskCount: 1 })])
  const running = runningTasks(fixture.heartbeat('w1')?.starts ?? [])
  for (let count = 0; count < 3; count++) {
    fixture.advance(200)
    fixture.heartbeat('w1', { running, state: 'leaving' })
  }
  fixture.advance(200)
  const nowMs = fixture.clock.monotonicMs()
  const last = report('w1', { state: 'leaving', clockMs: nowMs, sequence: Math.round(nowMs), ends: [DONE_END] })
  return { fixture, last }
}

function startsAgain (fixture: LeaderFixture): boolean {
  for (let count = 0; count < 3; count++) {
    if ((fixture.heartbeat('w2')?.starts.length ?? 0) > 0) return true
    fixture.advance(100)
  }
  return false
}

test('a task does not start again that its worker has listed as done in its last heartbeat before it left', t => {
  const { fixture, last } = createLeavingWorker()
  fixture.sendReport(last)
  fixture.deliver({ kind: 'worker_left', requestId: 'left', workerId: 'w1' })
  t.is(fixture.state.job('j1')?.state, 'completed')
  t.false(startsAgain(fixture))
})

test('a task does not start again whose end is listed in a heartbeat that the departure of its worker has overtaken', t => {
  const { fixture, last } = createLeavingWorker()
  fixture.deliver({ kind: 'worker_left', requestId: 'left', workerId: 'w1' })
  fixture.advance(20)
  fixture.sendReport(last)
  t.false(startsAgain(fixture))
})

/** A new leader has one heartbeat of a worker, which lists an end; then another incarnation takes its place. */
test('an end that a worker has listed is recorded before a later incarnation replaces the worker', t => {
  const { fixture, last } = createLeavingWorker()
  fixture.changeLeader()
  fixture.sendReport(last)
  fixture.advance(200)
  fixture.heartbeat('w1', { incarnation: 2_000, sequence: 1, clockMs: 0, state: 'leaving' })
  t.is(fixture.state.job('j1')?.state, 'completed')
  t.false(startsAgain(fixture))
})

test('a run whose listed end the log refused to record is not freed as that of a worker that has left', t => {
  const { fixture, last } = createLeavingWorker()
  fixture.isCommitting = false
  fixture.sendReport(last)
  t.is(fixture.refuseNext()?.command.kind, 'record_ends')
  fixture.deliver({ kind: 'worker_left', requestId: 'left', workerId: 'w1' })
  while (fixture.commitNext() !== undefined);
  fixture.isCommitting = true
  t.false(startsAgain(fixture))
})

test('the departure of an earlier incarnation that arrives late does not free the runs of one that is still leaving', t => {
  const { fixture, last } = createLeavingWorker()
  fixture.sendReport({ ...last, ends: [] })
  const heartbeat = (fields: Partial<WorkerReport>) => fixture.heartbeat('w1', { incarnation: 2_000, ...fields })
  const running = runningTasks(heartbeat({})?.starts ?? [])
  t.is(running[0]?.run, 2)
  for (let count = 0; count < 3; count++) {
    fixture.advance(200)
    heartbeat({ running, state: 'leaving' })
  }
  fixture.deliver({ kind: 'worker_left', requestId: 'left', workerId: 'w1' })
  fixture.advance(50)
  heartbeat({ running, state: 'leaving' })
  t.false(startsAgain(fixture))
})
