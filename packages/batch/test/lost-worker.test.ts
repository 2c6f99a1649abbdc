/** Lost workers: their runs continue elsewhere from the latest checkpoint, and their delayed heartbeats are ignored. */
import test from 'ava'
import { report, step } from './sample-data.js'
import { HEARTBEAT_WAIT_MS, LeaderFixture, runningTasks } from './leader-fixture.js'
import { defaultBatchSettings, type WorkerReport } from '../src/index.js'

const CHECKPOINT = 'saved at half'
/** Interval at which a leader checks its fleet. */
const FLEET_CHECK_MS = 100

/** A worker with one run that has reported a checkpoint. */
function createWorkerWithCheckpointedRun (): { fixture: LeaderFixture, running: WorkerReport['running'] } {
  const fixture = new LeaderFixture()
  // No lease of an earlier leader outlasts those of this one.
  fixture.advance(defaultBatchSettings.reportTimeoutMs)
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
  const { fixture, running } = createWorkerWithCheckpointedRun()
  fixture.advance(200)
  fixture.heartbeat('w1', { running, state: 'leaving' })
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

test('an end of an active run in the first heartbeat to a new leader counts, since the worker may be gone after it', t => {
  const { fixture } = createWorkerWithCheckpointedRun()
  fixture.changeLeader()
  t.is(fixture.heartbeat('w1', { ends: [DONE_END] })?.recordedEndSequence, 1)
  t.is(fixture.state.job('j1')?.state, 'completed')
})

test('an end of a freed run in the first heartbeat to a new leader is not recorded, since that may be delayed', t => {
  const { fixture } = createWorkerWithCheckpointedRun()
  const endedMs = fixture.clock.monotonicMs() + 100
  for (let elapsedMs = 0; elapsedMs < 7_000; elapsedMs += 200) fixture.advance(200)
  t.is(checkpointOfRestart(fixture), CHECKPOINT)
  fixture.changeLeader()
  const old = fixture.heartbeat('w1', { clockMs: endedMs, sequence: Math.round(endedMs), ends: [DONE_END] })
  t.is(old?.recordedEndSequence, 0)
  t.is(fixture.state.job('j1')?.state, 'open')
})

test('ends in heartbeats that arrive after their worker has left are not acknowledged', t => {
  const { fixture, running } = createWorkerWithCheckpointedRun()
  fixture.advance(200)
  fixture.heartbeat('w1', { running, state: 'leaving' })
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
  fixture.sendReport(report('w1', { clockMs: now, sequence: Math.round(now) + 1, state: 'leaving' }))
  fixture.deliver({ kind: 'worker_left', requestId: 'left', workerId: 'w1' })
  fixture.submit('j1', [step({ taskCount: 1 })])
  for (let elapsedMs = 0; elapsedMs < 1_000; elapsedMs += 50) fixture.advance(50)
  t.is([...fixture.state.runsOf('w1')].length, 0)
})

test('a message that a worker has left does not end the runs of an incarnation that has not said that it is leaving', t => {
  const { fixture, running } = createWorkerWithCheckpointedRun()
  // The message was sent by an earlier incarnation and delayed in the network; it names none.
  fixture.deliver({ kind: 'worker_left', requestId: 'left', workerId: 'w1' })
  t.is([...fixture.state.runsOf('w1')].length, 1)
  fixture.advance(200)
  t.deepEqual(fixture.heartbeat('w1', { running })?.stops, [])
})

test('a worker that has left stays so under a new leader, whichever of its heartbeats arrive late', t => {
  const fixture = new LeaderFixture()
  fixture.heartbeat('w1')
  fixture.advance(200)
  fixture.heartbeat('w1', { state: 'leaving' })
  fixture.deliver({ kind: 'worker_left', requestId: 'left', workerId: 'w1' })
  fixture.changeLeader()
  for (const state of ['active', 'leaving'] as const) t.is(fixture.heartbeat('w1', { state }), undefined)
  fixture.submit('j1', [step()])
  t.is([...fixture.state.runsOf('w1')].length, 0)
  t.not(fixture.heartbeat('w1', { incarnation: 2_000 }), undefined)
})

test('a worker that was told it may leave gets no run from a new leader that an earlier heartbeat of it reaches', t => {
  const fixture = new LeaderFixture()
  fixture.heartbeat('w1')
  fixture.advance(200)
  t.not(fixture.heartbeat('w1', { state: 'leaving' }), undefined)
  fixture.changeLeader()
  fixture.heartbeat('w1')
  fixture.submit('j1', [step()])
  t.is([...fixture.state.runsOf('w1')].length, 0)
})

test('a worker is told that it may leave only once this is recorded', t => {
  const fixture = new LeaderFixture()
  fixture.heartbeat('w1')
  fixture.advance(200)
  fixture.isCommitting = false
  t.is(fixture.heartbeat('w1', { state: 'leaving' }), undefined)
  t.deepEqual(fixture.proposals.at(-1)?.command, {
    kind: 'record_departure', life: { workerId: 'w1', incarnation: 1_000 }, departure: 'leaving'
  })
})

/** Time within which a task that has lost its run must be assigned again while workers are idle. */
const REASSIGN_LIMIT_MS = 1_000

/** Heartbeats of a worker of which the leader of this term knows no earlier incarnation. */
function reportRestarted (fixture: LeaderFixture): void {
  for (let elapsedMs = 0; elapsedMs < REASSIGN_LIMIT_MS; elapsedMs += 200) {
    fixture.advance(200)
    fixture.heartbeat('w1', { incarnation: 2_000 })
  }
}

test('runs of a worker that restarts around a change of leader are not assigned to its former incarnation for ever', t => {
  const { fixture } = createWorkerWithCheckpointedRun()
  fixture.changeLeader()
  reportRestarted(fixture)
  t.deepEqual([...fixture.state.runsOf('w1')].map(run => run.incarnation), [2_000])
})

test('a run that is assigned while its worker restarts is not assigned to the former incarnation for ever', t => {
  const fixture = new LeaderFixture()
  fixture.heartbeat('w1')
  fixture.isCommitting = false
  fixture.submit('j1', [step({ taskCount: 1 })])
  const submission = fixture.commitNext()
  fixture.advance(200)
  t.is(submission?.command.kind, 'submit_job')
  t.is(fixture.proposals.at(-1)?.command.kind, 'assign')
  fixture.heartbeat('w1', { incarnation: 2_000 })
  while (fixture.commitNext() !== undefined) continue
  fixture.isCommitting = true
  reportRestarted(fixture)
  t.deepEqual([...fixture.state.runsOf('w1')].map(run => run.incarnation), [2_000])
})

test('a run whose release is not committed yet is not started, since its task then runs elsewhere', t => {
  const { fixture } = createWorkerWithCheckpointedRun()
  // The worker falls silent; its second run is assigned, but no answer carries the start order before the lease lapses.
  fixture.advance(1_000)
  fixture.submit('j2', [step({ taskCount: 1 })])
  t.is([...fixture.state.runsOf('w1')].length, 2)
  fixture.clock.advance(defaultBatchSettings.leaseMs)
  fixture.isCommitting = false
  const now = fixture.clock.monotonicMs()
  const requestId = fixture.sendReport(report('w1', { clockMs: now, sequence: Math.round(now) }))
  t.is(fixture.proposals.at(-1)?.command.kind, 'worker_gone')
  fixture.advance(defaultBatchSettings.maxReportHoldMs)
  t.not(fixture.answerTo(requestId), undefined)
  t.deepEqual(fixture.answerTo(requestId)?.starts, [])
})

test('runs of a silent worker are freed only once its lease has ended on the slowest clock, with time for the heartbeat to travel', t => {
  const { fixture } = createWorkerWithCheckpointedRun()
  const { leaseMs, clockRateBound, leaseMarginMs } = defaultBatchSettings
  const answeredAtMs = fixture.clock.monotonicMs()
  const reportedAtMs = answeredAtMs - HEARTBEAT_WAIT_MS
  const expiresAtMs = reportedAtMs + leaseMs * (1 + clockRateBound) + leaseMarginMs
  while (fixture.clock.monotonicMs() + FLEET_CHECK_MS < expiresAtMs) {
    fixture.advance(FLEET_CHECK_MS)
    const silentMs = fixture.clock.monotonicMs() - reportedAtMs
    t.is([...fixture.state.runsOf('w1')].length, 1, `freed ${silentMs} ms after its heartbeat`)
  }
  for (let elapsedMs = 0; elapsedMs <= 2 * FLEET_CHECK_MS; elapsedMs += FLEET_CHECK_MS) fixture.advance(FLEET_CHECK_MS)
  t.is([...fixture.state.runsOf('w1')].length, 0)
})

test('a lease that may or may not have lapsed is not extended, so that it certainly lapses before its runs are freed', t => {
  const { fixture, running } = createWorkerWithCheckpointedRun()
  fixture.advance(200)
  fixture.heartbeat('w1', { running })
  const grantedAtMs = fixture.clock.monotonicMs() - HEARTBEAT_WAIT_MS
  // The answer to the last heartbeat may have been lost, so the lease may have ended before this heartbeat.
  fixture.clock.advance(grantedAtMs + defaultBatchSettings.leaseMs - 50 - fixture.clock.monotonicMs())
  const orders = fixture.heartbeat('w1')
  t.not(orders, undefined)
  t.is(orders?.leaseMs, undefined)
  t.deepEqual(orders?.starts, [])
  t.is([...fixture.state.runsOf('w1')].length, 1)
})

test('a lost start order is repeated with a new lease at once: no run depends on a lease that may have lapsed meanwhile', t => {
  const fixture = new LeaderFixture()
  fixture.submit('j1', [step({ taskCount: 1 })])
  // Neither this answer, the first of this leader, nor the start order in it reaches the worker.
  t.is(fixture.heartbeat('w1')?.starts.length, 1)
  fixture.advance(defaultBatchSettings.reportTimeoutMs)
  const orders = fixture.heartbeat('w1')
  t.is(orders?.starts.length, 1)
  t.is(orders?.leaseMs, defaultBatchSettings.leaseMs)
})

test('a run whose start order was not sent moves as soon as its worker is overdue, without waiting for its lease', t => {
  const fixture = new LeaderFixture()
  fixture.heartbeat('w1')
  fixture.advance(200)
  fixture.submit('j1', [step({ taskCount: 1 })])
  t.is([...fixture.state.runsOf('w1')].length, 1)
  for (let silentMs = 0; silentMs < 1_600; silentMs += 100) fixture.advance(100)
  t.is([...fixture.state.runsOf('w1')].length, 0)
  fixture.heartbeat('w2')
  t.is([...fixture.state.runsOf('w2')].length, 1)
})

test('a run whose start order was sent does not move while its worker is silent, since it may run there', t => {
  const fixture = new LeaderFixture()
  fixture.heartbeat('w1')
  fixture.submit('j1', [step({ taskCount: 1 })])
  t.is(fixture.heartbeat('w1')?.starts.length, 1)
  for (let silentMs = 0; silentMs < 5_000; silentMs += 100) fixture.advance(100)
  t.is([...fixture.state.runsOf('w1')].length, 1)
})

test('a gang with a member that was not sent to a silent worker moves as a whole', t => {
  const fixture = new LeaderFixture()
  const shape = { cpuMillicores: 1_000, memoryMb: 1_000, acceleratorCount: 8 }
  for (const workerId of ['w1', 'w2']) fixture.heartbeat(workerId)
  fixture.submit('gang', [step({ taskCount: 2, isGang: true, shape })])
  const [first] = fixture.heartbeat('w2')?.starts ?? []
  t.not(first, undefined)
  const running = runningTasks(first === undefined ? [] : [first], 0)
  for (let silentMs = 0; silentMs < 1_600; silentMs += 200) {
    fixture.advance(100)
    fixture.heartbeat('w2', { running })
  }
  t.is([...fixture.state.runsOf('w1')].length, 0)
  t.is(fixture.heartbeat('w2', { running })?.stops.length, 1)
})
