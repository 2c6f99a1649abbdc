/** Workers that are lost: their saved work goes on elsewhere, and their old heartbeats count for nothing. */
import test from 'ava'
import { report, step } from './sample-data.js'
import { LeaderFixture, rows } from './leader-fixture.js'
import type { WorkerReport } from '../src/index.js'

const SAVED = 'saved at half'

/** A worker with one run that has listed a checkpoint, and its rows. */
function workerWithSavedRun (): { fixture: LeaderFixture, running: WorkerReport['running'] } {
  const fixture = new LeaderFixture()
  fixture.beat('w1')
  fixture.submit('j1', [step({ taskCount: 1, isCheckpointing: true, estimateMs: 60_000 })])
  const running = rows(fixture.beat('w1')?.starts ?? [], 50).map(row => ({ ...row, checkpoint: SAVED }))
  fixture.advance(200)
  fixture.beat('w1', { running })
  return { fixture, running }
}

/** The checkpoint that the next start on another worker carries. */
function checkpointOfRestart (fixture: LeaderFixture): string | undefined {
  fixture.beat('w2')
  fixture.advance(200)
  return fixture.beat('w2')?.starts[0]?.checkpoint
}

test('the checkpoint of a run survives the silence of its worker', t => {
  const { fixture } = workerWithSavedRun()
  for (let elapsedMs = 0; elapsedMs < 7_000; elapsedMs += 200) fixture.advance(200)
  t.is(checkpointOfRestart(fixture), SAVED)
})

test('the checkpoint of a run survives a worker that leaves with it', t => {
  const { fixture } = workerWithSavedRun()
  fixture.tell({ kind: 'worker_left', requestId: 'left', workerId: 'w1' })
  t.is(checkpointOfRestart(fixture), SAVED)
})

test('the checkpoint of a run survives a later life of its worker', t => {
  const { fixture } = workerWithSavedRun()
  fixture.advance(200)
  const orders = fixture.beat('w1', { incarnation: 2_000 })
  t.is(orders?.starts[0]?.checkpoint, SAVED)
})

test('the checkpoint of a run survives the lapse of its lease', t => {
  const { fixture, running } = workerWithSavedRun()
  const { taskKey, run } = running[0] as WorkerReport['running'][number]
  fixture.advance(6_300)
  const ends = [{ sequence: 1, taskKey, run, reason: 'lapsed' as const, checkpoint: '' }]
  const orders = fixture.beat('w1', { ends })
  t.is(orders?.starts[0]?.checkpoint, SAVED)
})

const DONE = { sequence: 1, taskKey: 'j1.0.0.0', run: 1, reason: 'done' as const, checkpoint: '' }

test('an end in an old heartbeat is not acknowledged once its run was started elsewhere (own day slow-core, TWICE)', t => {
  const { fixture } = workerWithSavedRun()
  const endedMs = fixture.clock.monotonicMs() + 100
  for (let elapsedMs = 0; elapsedMs < 7_000; elapsedMs += 200) fixture.advance(200)
  t.is(checkpointOfRestart(fixture), SAVED)
  const old = fixture.beat('w1', { clockMs: endedMs, sequence: Math.round(endedMs), ends: [DONE] })
  t.is(old?.recordedEndSequence ?? 0, 0)
  // Its next heartbeat is in time and comes after the lease has run out, which voids the end.
  fixture.advance(200)
  t.is(fixture.beat('w1', { ends: [DONE] })?.recordedEndSequence, 1)
})

test('ends in the first heartbeat that a leader hears wait for a second, since the first may be an old one', t => {
  const { fixture } = workerWithSavedRun()
  fixture.changeLeader()
  t.is(fixture.beat('w1', { ends: [DONE] })?.recordedEndSequence, 0)
  t.is(fixture.state.job('j1')?.state, 'open')
  fixture.advance(200)
  t.is(fixture.beat('w1', { ends: [DONE] })?.recordedEndSequence, 1)
  t.is(fixture.state.job('j1')?.state, 'completed')
})

test('heartbeats that come after a worker has left are not acknowledged (ferreyra-cuotas hunt, TWICE)', t => {
  const { fixture } = workerWithSavedRun()
  const endedMs = fixture.clock.monotonicMs() + 100
  fixture.advance(200)
  fixture.tell({ kind: 'worker_left', requestId: 'left', workerId: 'w1' })
  t.is(checkpointOfRestart(fixture), SAVED)
  for (const delayMs of [0, 100, 200]) {
    const clockMs = endedMs + delayMs
    const orders = fixture.beat('w1', { state: 'leaving', clockMs, sequence: Math.round(clockMs), ends: [DONE] })
    t.is(orders?.recordedEndSequence ?? 0, 0)
  }
  // A later life of the same worker is taken.
  t.not(fixture.beat('w1', { incarnation: 2_000 }), undefined)
})

test('a worker that leaves while its heartbeat waits for an answer gets no further run', t => {
  const fixture = new LeaderFixture()
  fixture.beat('w1')
  fixture.advance(200)
  const now = fixture.clock.monotonicMs() + 1
  fixture.send(report('w1', { clockMs: now, sequence: Math.round(now) + 1 }))
  fixture.tell({ kind: 'worker_left', requestId: 'left', workerId: 'w1' })
  fixture.submit('j1', [step({ taskCount: 1 })])
  for (let elapsedMs = 0; elapsedMs < 1_000; elapsedMs += 50) fixture.advance(50)
  t.is([...fixture.state.runsOf('w1')].length, 0)
})
