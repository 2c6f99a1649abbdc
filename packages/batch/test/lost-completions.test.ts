/**
 * Completions that a worker lists while its run is being freed, or was freed before the worker had ended it. Guards
 * against tasks that start again although a worker in touch has listed their completion.
 */
import test from 'ava'
import { report, step } from './sample-data.js'
import { LeaderFixture, runningTasks } from './leader-fixture.js'
import type { WorkerReport } from '../src/index.js'

const REPORT_INTERVAL_MS = 200
const DONE_END = { sequence: 1, taskKey: 'j1.0.0.0', run: 1, reason: 'done' as const, checkpoint: '' }

/** A worker that is leaving and has one run, without a checkpoint, which can still end in time. */
function createLeavingWorker (): { fixture: LeaderFixture, running: WorkerReport['running'] } {
  const fixture = new LeaderFixture()
  fixture.advance(1_000)
  fixture.heartbeat('w1')
  fixture.submit('j1', [step({ taskCount: 1, estimateMs: 20_000 })])
  const running = runningTasks(fixture.heartbeat('w1')?.starts ?? [], 90)
  for (const state of ['active', 'leaving', 'leaving'] as const) {
    fixture.advance(REPORT_INTERVAL_MS)
    fixture.heartbeat('w1', { running, state })
  }
  return { fixture, running }
}

/** The worker says that it leaves; heartbeats that it sent before may arrive later. */
function sayLeft (fixture: LeaderFixture): void {
  fixture.deliver({ kind: 'worker_left', requestId: 'left', workerId: 'w1' })
}

/** A heartbeat of the leaving worker that lists the completion reaches the leader; its answer is not waited for. */
function listCompletion (fixture: LeaderFixture): void {
  const now = fixture.clock.monotonicMs()
  fixture.sendReport(report('w1', { clockMs: now, sequence: Math.round(now), state: 'leaving', ends: [DONE_END] }))
}

function commitAll (fixture: LeaderFixture): void {
  while (fixture.commitNext() !== undefined);
  fixture.isCommitting = true
}

/** Runs of the task that another worker is told to start within a second. */
function startsElsewhere (fixture: LeaderFixture): number[] {
  const runs: number[] = []
  for (let elapsedMs = 0; elapsedMs < 1_000; elapsedMs += REPORT_INTERVAL_MS) {
    runs.push(...(fixture.heartbeat('w2')?.starts ?? []).map(start => start.run))
    fixture.advance(REPORT_INTERVAL_MS)
  }
  return runs
}

test('a task does not start again whose completion is listed while the departure of its worker is being recorded', t => {
  const { fixture } = createLeavingWorker()
  fixture.isCommitting = false
  sayLeft(fixture)
  fixture.advance(60)
  listCompletion(fixture)
  commitAll(fixture)
  t.deepEqual(startsElsewhere(fixture), [])
  t.is(fixture.state.job('j1')?.state, 'completed')
})

test('a task does not start again whose completion a leaving worker lists before its departure is confirmed to it', t => {
  const { fixture } = createLeavingWorker()
  sayLeft(fixture)
  fixture.advance(60)
  listCompletion(fixture)
  t.deepEqual(startsElsewhere(fixture), [])
  t.is(fixture.state.job('j1')?.state, 'completed')
})

test('a new leader does not start a task again whose completion is listed while a former one records the departure', t => {
  const { fixture } = createLeavingWorker()
  fixture.isCommitting = false
  sayLeft(fixture)
  fixture.changeLeader()
  sayLeft(fixture)
  listCompletion(fixture)
  fixture.advance(REPORT_INTERVAL_MS)
  listCompletion(fixture)
  commitAll(fixture)
  t.deepEqual(startsElsewhere(fixture), [])
  t.is(fixture.state.job('j1')?.state, 'completed')
})

/** A worker with one run whose end a new leader has only seen in its first heartbeat to it, and so has not recorded. */
function createCompletionSeenOnce (): LeaderFixture {
  const { fixture } = createLeavingWorker()
  fixture.changeLeader()
  listCompletion(fixture)
  fixture.advance(REPORT_INTERVAL_MS)
  return fixture
}

test('a task does not start again whose completion was listed before a later incarnation replaced its worker', t => {
  const fixture = createCompletionSeenOnce()
  fixture.heartbeat('w1', { incarnation: 2_000, state: 'leaving' })
  t.deepEqual(startsElsewhere(fixture), [])
  t.is(fixture.state.job('j1')?.state, 'completed')
})

test('a task does not start again whose completion was listed before another worker came up on the VM of its own', t => {
  const fixture = createCompletionSeenOnce()
  fixture.heartbeat('w3', { vmId: 'vm-w1', incarnation: 2_000, state: 'leaving' })
  t.deepEqual(startsElsewhere(fixture), [])
  t.is(fixture.state.job('j1')?.state, 'completed')
})

test('a task does not start again whose completion was listed before its worker fell silent', t => {
  const fixture = createCompletionSeenOnce()
  for (let elapsedMs = 0; elapsedMs < 7_000; elapsedMs += REPORT_INTERVAL_MS) fixture.advance(REPORT_INTERVAL_MS)
  t.deepEqual(startsElsewhere(fixture), [])
  t.is(fixture.state.job('j1')?.state, 'completed')
})

test('a task does not start again whose completion the last heartbeat of a leaving worker lists', t => {
  const fixture = createCompletionSeenOnce()
  sayLeft(fixture)
  t.deepEqual(startsElsewhere(fixture), [])
  t.is(fixture.state.job('j1')?.state, 'completed')
})

test('a departure is not confirmed by a leader that has no report of the worker and does not record it', t => {
  const { fixture } = createLeavingWorker()
  fixture.changeLeader()
  sayLeft(fixture)
  t.is(fixture.state.departureOf({ workerId: 'w1', incarnation: 1_000 }), 'left')
})

/** The leader holds a release in flight for a run that late copies of heartbeats from before its start do not list. */
function createReleaseInFlight (): LeaderFixture {
  const fixture = new LeaderFixture()
  const whole = { taskCount: 1, shape: { cpuMillicores: 1_000, memoryMb: 1_000, acceleratorCount: 8 } }
  fixture.advance(1_000)
  fixture.heartbeat('w1')
  fixture.submit('j1', [step({ ...whole, estimateMs: 20_000 })])
  const sentMs = fixture.clock.monotonicMs()
  const copies = [0, 60, 120].map(delayMs => ({ clockMs: sentMs + delayMs, sequence: Math.round(sentMs + delayMs) }))
  fixture.heartbeat('w1', copies[0])
  fixture.changeLeader()
  fixture.advance(2_100)
  for (const copy of copies.slice(0, 2)) fixture.heartbeat('w1', copy)
  fixture.submit('j2', [step({ ...whole, estimateMs: 1_000 })], '/urgent/')
  fixture.isCommitting = false
  fixture.sendReport(report('w1', copies[2]))
  return fixture
}

test('a completion is not acknowledged without effect that is listed while the release of its run is in flight', t => {
  const fixture = createReleaseInFlight()
  t.is(fixture.proposals.at(-1)?.command.kind, 'release')
  const now = fixture.clock.monotonicMs()
  const requestId = fixture.sendReport(report('w1', { clockMs: now, sequence: Math.round(now), ends: [DONE_END] }))
  commitAll(fixture)
  fixture.advance(60)
  t.is(fixture.answerTo(requestId)?.recordedEndSequence === 1, fixture.state.job('j1')?.state === 'completed')
})

/**
 * A leaving worker whose first end is that of a freed run, which is not acknowledged before its lease has lapsed, so
 * that the completion behind it waits too.
 */
function createCompletionBehindHeldEnd (): LeaderFixture {
  const fixture = new LeaderFixture()
  fixture.advance(1_000)
  fixture.heartbeat('w1')
  fixture.submit('j1', [step({ taskCount: 2, estimateMs: 20_000 })])
  const running = runningTasks(fixture.heartbeat('w1')?.starts ?? [], 90)
  fixture.advance(REPORT_INTERVAL_MS)
  fixture.heartbeat('w1', { running, state: 'leaving' })
  fixture.state.apply({ kind: 'release', runs: [{ taskKey: 'j1.0.0.0', run: 1, workerId: 'w1', incarnation: 1_000 }] }, 0)
  const ends = [DONE_END, { ...DONE_END, sequence: 2, taskKey: 'j1.0.0.1' }]
  for (let count = 0; count < 2; count++) {
    fixture.advance(REPORT_INTERVAL_MS)
    fixture.heartbeat('w1', { ends, state: 'leaving' })
  }
  return fixture
}

const DEPARTURES: ReadonlyArray<readonly [string, (fixture: LeaderFixture) => void]> = [
  ['leaves', sayLeft],
  ['restarts', fixture => { fixture.heartbeat('w1', { incarnation: 2_000, state: 'leaving' }) }],
  ['falls silent', fixture => { for (let elapsedMs = 0; elapsedMs < 7_000; elapsedMs += 200) fixture.advance(200) }]
]

for (const [description, go] of DEPARTURES) {
  test(`a completion that waits behind the end of a freed run is not lost when its worker ${description}`, t => {
    const fixture = createCompletionBehindHeldEnd()
    go(fixture)
    t.true(fixture.state.findTask('j1.0.0.1')?.task.isDone)
  })
}

test('a completion counts whose heartbeat reaches the leader after the departure of its worker and before the next start', t => {
  const { fixture } = createLeavingWorker()
  sayLeft(fixture)
  for (let count = 0; count < 2; count++) {
    fixture.advance(60)
    listCompletion(fixture)
  }
  t.is(fixture.state.findTask('j1.0.0.0')?.task.lastRun, 1)
  t.is(fixture.state.job('j1')?.state, 'completed')
})

for (const commandKind of ['worker_gone', 'release'] as const) {
  test(`a completion of a run that ${commandKind} has freed counts while no later run of its task was assigned`, t => {
    const fixture = new LeaderFixture()
    fixture.heartbeat('w1')
    fixture.submit('j1', [step({ taskCount: 1 })])
    const run = { taskKey: 'j1.0.0.0', run: 1, workerId: 'w1', incarnation: 1_000 }
    const running = runningTasks(fixture.heartbeat('w1')?.starts ?? [])
    fixture.heartbeat('w1', { running })
    fixture.state.apply(commandKind === 'release'
      ? { kind: 'release', runs: [run] }
      : { kind: 'worker_gone', life: run, checkpoints: [] }, 0)
    fixture.state.apply({ kind: 'record_ends', life: run, ends: [DONE_END], voidEndSequence: 0 }, 0)
    t.is(fixture.state.job('j1')?.state, 'completed')
  })
}

test('a completion counts that is listed by a late heartbeat just before the lease of its worker expires', t => {
  const { fixture } = createLeavingWorker()
  const endedMs = fixture.clock.monotonicMs() + 100
  for (let elapsedMs = 0; elapsedMs < 6_000; elapsedMs += REPORT_INTERVAL_MS) fixture.advance(REPORT_INTERVAL_MS)
  fixture.sendReport(report('w1', { clockMs: endedMs, sequence: Math.round(endedMs), state: 'leaving', ends: [DONE_END] }))
  for (let elapsedMs = 0; elapsedMs < 1_000; elapsedMs += REPORT_INTERVAL_MS) fixture.advance(REPORT_INTERVAL_MS)
  t.is(fixture.state.job('j1')?.state, 'completed')
})

/** The log refuses all that was proposed, as while it is full or leadership is being transferred, and then no more. */
function refuseAll (fixture: LeaderFixture, firstIndex: number): void {
  for (const { proposalId } of fixture.proposals.slice(firstIndex)) {
    fixture.deliver({ kind: 'rejected', proposalId, isCertain: true })
  }
}

const REFUSED_DEPARTURES: ReadonlyArray<readonly [string, (fixture: LeaderFixture) => void]> = [
  ['left', sayLeft],
  ['was replaced', fixture => { fixture.sendReport(report('w3', { vmId: 'vm-w1', incarnation: 2_000, state: 'leaving' })) }]
]

for (const [description, go] of REFUSED_DEPARTURES) {
  test(`the completion that a worker listed before it ${description} is not lost when the log refuses to record it`, t => {
    const { fixture } = createLeavingWorker()
    for (let elapsedMs = 0; elapsedMs < 7_000; elapsedMs += REPORT_INTERVAL_MS) {
      fixture.heartbeat('w1', { running: runningTasks([{ taskKey: 'j1.0.0.0', run: 1, payload: '', checkpoint: '' }]), state: 'leaving' })
      fixture.advance(REPORT_INTERVAL_MS)
    }
    const firstIndex = fixture.proposals.length
    fixture.isCommitting = false
    listCompletion(fixture)
    go(fixture)
    refuseAll(fixture, firstIndex)
    fixture.isCommitting = true
    fixture.advance(REPORT_INTERVAL_MS)
    t.deepEqual(startsElsewhere(fixture), [])
    t.is(fixture.state.job('j1')?.state, 'completed')
  })
}
