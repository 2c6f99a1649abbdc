/** Lost workers: their runs continue elsewhere from the latest checkpoint, and their delayed heartbeats are ignored. */
import test from 'ava'
import { report, step } from './sample-data.js'
import { LeaderFixture, runningTasks } from './leader-fixture.js'
import type { WorkerReport } from '../src/index.js'

const CHECKPOINT = 'saved at half'

/** A worker with one run that has reported a checkpoint. */
function createWorkerWithCheckpointedRun (): { fixture: LeaderFixture, running: WorkerReport['running'] } {
  const fixture = new LeaderFixture()
  fixture.heartbeat('w1')
  fixture.submit('j1', [step({ taskCount: 1, isCheckpointing: true, estimateMs: 60_000 })])
  const running = runningTasks(fixture.heartbeat('w1')?.starts ?? [], 50).map(task => ({ ...task, checkpoint: CHECKPOINT }))
  fixture.advance(200)
  fixture.heartbeat('w1', { running })
  return { fixture, running }
}

/** Checkpoint in the start order of the task's next run, on another worker. */
function checkpointOfRestart (fixture: LeaderFixture): string | undefined {
  fixture.heartbeat('w2')
  fixture.advance(200)
  return fixture.heartbeat('w2')?.starts[0]?.checkpoint
}

test('a run continues from its checkpoint after its worker fell silent', t => {
  const { fixture } = createWorkerWithCheckpointedRun()
  for (let elapsedMs = 0; elapsedMs < 7_000; elapsedMs += 200) fixture.advance(200)
  t.is(checkpointOfRestart(fixture), CHECKPOINT)
})

test('a run continues from its checkpoint after its worker left', t => {
  const { fixture } = createWorkerWithCheckpointedRun()
  fixture.deliver({ kind: 'worker_left', requestId: 'left', workerId: 'w1' })
  t.is(checkpointOfRestart(fixture), CHECKPOINT)
})

test('a run continues from its checkpoint after its worker restarted', t => {
  const { fixture } = createWorkerWithCheckpointedRun()
  fixture.advance(200)
  const orders = fixture.heartbeat('w1', { incarnation: 2_000 })
  t.is(orders?.starts[0]?.checkpoint, CHECKPOINT)
})

test('a run continues from its checkpoint after its lease lapsed', t => {
  const { fixture, running } = createWorkerWithCheckpointedRun()
  const { taskKey, run } = running[0] as WorkerReport['running'][number]
  fixture.advance(6_300)
  const ends = [{ sequence: 1, taskKey, run, reason: 'lapsed' as const, checkpoint: '' }]
  const orders = fixture.heartbeat('w1', { ends })
  t.is(orders?.starts[0]?.checkpoint, CHECKPOINT)
})

const DONE_END = { sequence: 1, taskKey: 'j1.0.0.0', run: 1, reason: 'done' as const, checkpoint: '' }

test('an end in a delayed heartbeat is not acknowledged after the task was restarted elsewhere', t => {
  const { fixture } = createWorkerWithCheckpointedRun()
  const endedMs = fixture.clock.monotonicMs() + 100
  for (let elapsedMs = 0; elapsedMs < 7_000; elapsedMs += 200) fixture.advance(200)
  t.is(checkpointOfRestart(fixture), CHECKPOINT)
  const old = fixture.heartbeat('w1', { clockMs: endedMs, sequence: Math.round(endedMs), ends: [DONE_END] })
  t.is(old?.recordedEndSequence ?? 0, 0)
  // The next heartbeat is in time but comes after the lease has expired and the run was freed. Its end is acknowledged,
  // so that the worker stops repeating it, but has no effect on the task.
  fixture.advance(200)
  t.is(fixture.heartbeat('w1', { ends: [DONE_END] })?.recordedEndSequence, 1)
})

test('ends in the first heartbeat to a new leader are recorded only after a second one, since the first may be delayed', t => {
  const { fixture } = createWorkerWithCheckpointedRun()
  fixture.changeLeader()
  t.is(fixture.heartbeat('w1', { ends: [DONE_END] })?.recordedEndSequence, 0)
  t.is(fixture.state.job('j1')?.state, 'open')
  fixture.advance(200)
  t.is(fixture.heartbeat('w1', { ends: [DONE_END] })?.recordedEndSequence, 1)
  t.is(fixture.state.job('j1')?.state, 'completed')
})

test('ends in heartbeats that arrive after their worker has left are not acknowledged', t => {
  const { fixture } = createWorkerWithCheckpointedRun()
  const endedMs = fixture.clock.monotonicMs() + 100
  fixture.advance(200)
  fixture.deliver({ kind: 'worker_left', requestId: 'left', workerId: 'w1' })
  t.is(checkpointOfRestart(fixture), CHECKPOINT)
  for (const delayMs of [0, 100, 200]) {
    const clockMs = endedMs + delayMs
    const orders = fixture.heartbeat('w1', { state: 'leaving', clockMs, sequence: Math.round(clockMs), ends: [DONE_END] })
    t.is(orders?.recordedEndSequence ?? 0, 0)
  }
  // A later incarnation of the same worker is accepted.
  t.not(fixture.heartbeat('w1', { incarnation: 2_000 }), undefined)
})

test('a worker that leaves while its heartbeat waits for an answer gets no new run', t => {
  const fixture = new LeaderFixture()
  fixture.heartbeat('w1')
  fixture.advance(200)
  const now = fixture.clock.monotonicMs() + 1
  fixture.sendReport(report('w1', { clockMs: now, sequence: Math.round(now) + 1 }))
  fixture.deliver({ kind: 'worker_left', requestId: 'left', workerId: 'w1' })
  fixture.submit('j1', [step({ taskCount: 1 })])
  for (let elapsedMs = 0; elapsedMs < 1_000; elapsedMs += 50) fixture.advance(50)
  t.is([...fixture.state.runsOf('w1')].length, 0)
})
