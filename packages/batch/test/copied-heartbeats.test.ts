/**
 * Heartbeats that arrive a second time, seconds later and also after their worker has gone. Guards against ends that
 * are acknowledged although their runs have been freed and their tasks started again.
 */
import test from 'ava'
import { report, step } from './sample-data.js'
import { LeaderFixture, runningTasks } from './leader-fixture.js'
import type { EndReason, WorkerReport } from '../src/index.js'

const VM = 'vm-1'
const DONE_END = { sequence: 1, taskKey: 'j1.0.0.0', run: 1, reason: 'done' as const, checkpoint: '' }

/** A worker with one run, whose later heartbeats list its end but have not reached the leader. */
function createWorkerWithUnreportedEnd (): { fixture: LeaderFixture, copies: WorkerReport[] } {
  const fixture = new LeaderFixture()
  fixture.advance(1_000)
  fixture.heartbeat('w1', { vmId: VM })
  fixture.submit('j1', [step({ taskCount: 1 })])
  const running = runningTasks(fixture.heartbeat('w1', { vmId: VM })?.starts ?? [])
  fixture.advance(200)
  fixture.heartbeat('w1', { running, vmId: VM })
  const sentMs = fixture.clock.monotonicMs()
  const copies = [100, 300, 500].map(delayMs =>
    report('w1', { vmId: VM, clockMs: sentMs + delayMs, sequence: Math.round(sentMs + delayMs), ends: [DONE_END] }))
  fixture.advance(600)
  return { fixture, copies }
}

/** Highest end that the answers to the copies acknowledge. */
function acknowledgedByCopies (fixture: LeaderFixture, copies: readonly WorkerReport[]): number {
  return Math.max(...copies.map(copy => fixture.heartbeat('w1', copy)?.recordedEndSequence ?? 0))
}

/** Lets another worker take the task, and returns whether it has started there. */
function startsAgain (fixture: LeaderFixture, workerId = 'w2'): boolean {
  fixture.heartbeat(workerId)
  fixture.advance(200)
  return fixture.heartbeat(workerId)?.starts[0]?.run === 2
}

/** The worker reports before its copied heartbeats that it is leaving. */
function sayLeaving (fixture: LeaderFixture, [first]: readonly WorkerReport[]): void {
  if (first === undefined) return
  fixture.heartbeat('w1', { ...first, state: 'leaving', clockMs: first.clockMs - 50, sequence: first.sequence - 50, ends: [] })
}

test('a new leader does not acknowledge the end of a run whose worker another one on its VM replaced', t => {
  const { fixture, copies } = createWorkerWithUnreportedEnd()
  fixture.heartbeat('w3', { vmId: VM, incarnation: 2_000, state: 'leaving' })
  t.is([...fixture.state.runsOf('w1')].length, 0)
  t.true(startsAgain(fixture))
  fixture.changeLeader()
  t.is(acknowledgedByCopies(fixture, copies), 0)
})

test('a new leader does not acknowledge the end of a run of an earlier incarnation of a worker', t => {
  const { fixture, copies } = createWorkerWithUnreportedEnd()
  fixture.heartbeat('w1', { incarnation: 2_000, state: 'leaving' })
  t.is([...fixture.state.runsOf('w1')].length, 0)
  t.true(startsAgain(fixture))
  fixture.changeLeader()
  t.is(acknowledgedByCopies(fixture, copies), 0)
})

test('an end is not acknowledged while it is being recorded that its worker has left', t => {
  const { fixture, copies } = createWorkerWithUnreportedEnd()
  sayLeaving(fixture, copies)
  fixture.isCommitting = false
  fixture.deliver({ kind: 'worker_left', requestId: 'left', workerId: 'w1' })
  const requestIds = copies.map(copy => fixture.sendReport(copy))
  for (let count = 0; count < 10; count++) fixture.commitNext()
  fixture.isCommitting = true
  fixture.advance(100)
  t.is(Math.max(...requestIds.map(id => fixture.answerTo(id)?.recordedEndSequence ?? 0)), 0)
})

test('a new leader does not acknowledge an end of a worker whose departure its predecessor has not recorded', t => {
  const { fixture, copies } = createWorkerWithUnreportedEnd()
  sayLeaving(fixture, copies)
  fixture.isCommitting = false
  fixture.deliver({ kind: 'worker_left', requestId: 'left', workerId: 'w1' })
  t.is(fixture.commitNext()?.command.kind, 'worker_gone')
  fixture.isCommitting = true
  fixture.changeLeader()
  t.true(startsAgain(fixture))
  t.is(acknowledgedByCopies(fixture, copies), 0)
})

/** The task runs again on another worker and completes there. */
function completeElsewhere (fixture: LeaderFixture): void {
  fixture.heartbeat('w2')
  fixture.advance(200)
  const running = runningTasks(fixture.heartbeat('w2')?.starts ?? [])
  fixture.advance(200)
  fixture.heartbeat('w2', { running })
  fixture.advance(200)
  fixture.heartbeat('w2', { ends: [{ ...DONE_END, run: 2 }] })
}

const GONE_WORKERS: ReadonlyArray<readonly [string, (fixture: LeaderFixture) => void]> = [
  ['was replaced on its VM', fixture => { fixture.heartbeat('w3', { vmId: VM, incarnation: 2_000, state: 'leaving' }) }],
  ['restarted', fixture => { fixture.heartbeat('w1', { incarnation: 2_000, state: 'leaving' }) }],
  ['fell silent', fixture => { for (let elapsedMs = 0; elapsedMs < 7_000; elapsedMs += 200) fixture.advance(200) }]
]

for (const [description, go] of GONE_WORKERS) {
  test(`an end of a worker that ${description} is not acknowledged after a later run has completed the task`, t => {
    const { fixture, copies } = createWorkerWithUnreportedEnd()
    go(fixture)
    completeElsewhere(fixture)
    t.is(fixture.state.job('j1')?.state, 'completed')
    t.is(fixture.state.findTask('j1.0.0.0')?.task.lastRun, 2)
    fixture.changeLeader()
    t.is(acknowledgedByCopies(fixture, copies), 0)
  })
}

test('an end of a freed run is not acknowledged after the job was cancelled while a later run ran', t => {
  const { fixture, copies } = createWorkerWithUnreportedEnd()
  fixture.heartbeat('w3', { vmId: VM, incarnation: 2_000, state: 'leaving' })
  t.true(startsAgain(fixture))
  fixture.cancel('j1')
  fixture.changeLeader()
  t.is(acknowledgedByCopies(fixture, copies), 0)
})

test('a failure of a freed run is not acknowledged after later runs have failed and completed the task', t => {
  const { fixture, copies } = createWorkerWithUnreportedEnd()
  const failed = copies.map(copy => ({ ...copy, ends: [{ ...DONE_END, reason: 'failed' as const }] }))
  fixture.heartbeat('w3', { vmId: VM, incarnation: 2_000, state: 'leaving' })
  const life = { workerId: 'w9', incarnation: 1_000 }
  const runUntil = (run: number, reason: EndReason): void => {
    fixture.state.apply({ kind: 'assign', assignments: [{ ...life, taskKey: 'j1.0.0.0', run }] }, 0)
    fixture.state.apply({ kind: 'record_ends', life, ends: [{ ...DONE_END, sequence: run, run, reason }] }, 0)
  }
  runUntil(2, 'failed')
  runUntil(3, 'done')
  t.is(fixture.state.job('j1')?.state, 'completed')
  fixture.changeLeader()
  t.is(acknowledgedByCopies(fixture, failed), 0)
})

test('two late copies to a new leader do not release a run that its worker has started since they were sent', t => {
  const fixture = new LeaderFixture()
  fixture.advance(1_000)
  fixture.heartbeat('w1')
  fixture.submit('j1', [step({ taskCount: 1 })])
  const sentMs = fixture.clock.monotonicMs()
  const copies = [0, 60].map(delayMs => ({ clockMs: sentMs + delayMs, sequence: Math.round(sentMs + delayMs) }))
  for (const copy of copies) fixture.heartbeat('w1', copy)
  t.is([...fixture.state.runsOf('w1')].length, 1)
  fixture.changeLeader()
  fixture.cancel('j1')
  // The worker is cut off with the run, and the copies arrive after the time for which answers may be in flight.
  fixture.advance(2_100)
  for (const copy of copies) fixture.heartbeat('w1', copy)
  t.is([...fixture.state.runsOf('w1')].length, 1)
})
