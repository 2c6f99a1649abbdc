/** Evacuations of availability zones: nothing starts in an evacuated zone, at any leader. */
import test from 'ava'
import { BatchState, type BatchOperation, type StepSpec } from '../src/index.js'
import { document, step } from './sample-data.js'
import { LeaderFixture, RecordingLog, runningTasks } from './leader-fixture.js'

const start: BatchOperation = { kind: 'start_evacuation', zone: 'z1', requestedBy: '10.0.0.7' }
const end: BatchOperation = { kind: 'end_evacuation', zone: 'z1', requestedBy: '10.0.0.8' }
const inZ1 = { availabilityZone: 'z1' }
const inZ2 = { availabilityZone: 'z2' }
const SETTINGS = { maxLongPollMs: 60, gangAssemblyMs: 0, regionByAvailabilityZone: { z1: 'north', z2: 'north' } }

/** A step that fits only once on a worker, so that its tasks are spread. */
function wholeWorkerStep (fields: Partial<StepSpec> = {}): StepSpec {
  return step({ shape: { cpuMillicores: 1_000, memoryMb: 1_000, acceleratorCount: 8 }, ...fields })
}

function createFixture (log?: RecordingLog): LeaderFixture {
  return new LeaderFixture(document(), SETTINGS, log)
}

/** Fixture with a task that is assigned to the only worker, in zone z1, and whose start order is not sent. */
function createFixtureWithUnsentRun (): LeaderFixture {
  const fixture = createFixture()
  fixture.heartbeat('w1', inZ1)
  fixture.submit('j1', [step({ taskCount: 1 })])
  fixture.advance(100)
  return fixture
}

function startsOf (fixture: LeaderFixture, workerId: string, fields: object): readonly string[] {
  return fixture.heartbeat(workerId, fields)?.starts.map(({ taskKey }) => taskKey) ?? []
}

test('a worker in an evacuated zone gets no new run until the withdrawal, and waiting steps show why', t => {
  const log = new RecordingLog()
  const fixture = createFixture(log)
  fixture.heartbeat('w1', inZ1)
  t.like(fixture.execute(start), { ok: true })
  fixture.submit('j1', [step({ taskCount: 1 })])
  for (let count = 0; count < 20; count++) t.deepEqual(startsOf(fixture, 'w1', inZ1), [])
  const waiting = log.lines.find(line => line.message === 'step waits')
  t.deepEqual(waiting?.fields['unschedulableWorkers'], { evacuated: 1 })
  t.like(fixture.execute(end), { ok: true })
  fixture.advance(100)
  t.deepEqual(startsOf(fixture, 'w1', inZ1), ['j1.0.0.0'])
})

test('a run whose start order was not sent before the evacuation starts in another zone instead', t => {
  const fixture = createFixtureWithUnsentRun()
  fixture.execute(start)
  fixture.heartbeat('w2', inZ2)
  t.deepEqual(startsOf(fixture, 'w1', inZ1), [])
  t.deepEqual(startsOf(fixture, 'w2', inZ2), ['j1.0.0.0'])
})

test('a run whose start order was lost is not started again in an evacuated zone', t => {
  const fixture = createFixtureWithUnsentRun()
  t.is(startsOf(fixture, 'w1', inZ1).length, 1)
  fixture.execute(start)
  t.deepEqual(startsOf(fixture, 'w1', inZ1), [])
  fixture.advance(100)
  t.deepEqual([...fixture.state.runsOf('w1')], [])
})

test('a run that has started in the zone before goes on there', t => {
  const fixture = createFixtureWithUnsentRun()
  const running = runningTasks(fixture.heartbeat('w1', inZ1)?.starts ?? [])
  fixture.execute(start)
  fixture.heartbeat('w2', inZ2)
  for (let count = 0; count < 10; count++) {
    t.deepEqual(fixture.heartbeat('w1', { ...inZ1, running })?.stops, [])
    t.deepEqual(startsOf(fixture, 'w2', inZ2), [])
  }
})

test('a run that a worker reports as started after the bound is logged, and earlier ones are not', t => {
  const log = new RecordingLog()
  const fixture = createFixture(log)
  fixture.heartbeat('w1', inZ1)
  fixture.execute(start)
  const lateStarts = () => log.lines.filter(line => line.message === 'run started in an evacuated zone')
  const running = runningTasks([{ taskKey: 'j1.0.0.0', run: 1, payload: '', checkpoint: '' }])
  fixture.heartbeat('w1', { ...inZ1, running })
  for (let count = 0; count < 80; count++) fixture.heartbeat('w1', { ...inZ1, running })
  t.deepEqual(lateStarts(), [])
  fixture.heartbeat('w1', { ...inZ1, running: running.map(task => ({ ...task, run: 2 })) })
  t.is(lateStarts().length, 1)
})

test('a new leader does not start what an earlier leader assigned in an evacuated zone', t => {
  const fixture = createFixtureWithUnsentRun()
  fixture.execute(start)
  fixture.changeLeader()
  for (let count = 0; count < 40; count++) t.deepEqual(startsOf(fixture, 'w1', inZ1), [])
  t.deepEqual([...fixture.state.runsOf('w1')], [])
  fixture.heartbeat('w2', inZ2)
  t.deepEqual(startsOf(fixture, 'w2', inZ2), ['j1.0.0.0'])
})

test('assignments that commit after the evacuation are not started in the zone', t => {
  const fixture = createFixture()
  fixture.heartbeat('w1', inZ1)
  fixture.isCommitting = false
  fixture.submit('j1', [step({ taskCount: 1 })])
  t.is(fixture.commitNext()?.command.kind, 'submit_job')
  fixture.advance(100)
  fixture.execute(start)
  const kinds = [fixture.commitNext()?.command.kind, fixture.commitNext()?.command.kind]
  t.deepEqual(kinds, ['assign', 'start_evacuation'])
  fixture.isCommitting = true
  t.deepEqual(startsOf(fixture, 'w1', inZ1), [])
})

/** Fixture with a gang that is assigned to a worker in each zone, and whose start orders are not sent. */
function createFixtureWithUnstartedGang (): LeaderFixture {
  const fixture = createFixture()
  fixture.heartbeat('w1', inZ1)
  fixture.heartbeat('w2', inZ2)
  fixture.submit('j1', [wholeWorkerStep({ isGang: true })])
  fixture.advance(50)
  return fixture
}

// Guards against a part of a gang that starts and waits in vain for the member in the evacuated zone.
test('a gang with an unstarted member in the zone is stopped as a whole, and starts elsewhere', t => {
  const fixture = createFixtureWithUnstartedGang()
  fixture.execute(start)
  t.deepEqual(startsOf(fixture, 'w2', inZ2), [])
  fixture.heartbeat('w3', inZ2)
  t.is(startsOf(fixture, 'w2', inZ2).length + startsOf(fixture, 'w3', inZ2).length, 2)
  t.deepEqual(startsOf(fixture, 'w1', inZ1), [])
})

// Guards against a new leader that starts a gang although a silent worker, whose zone it does not know, holds a member.
test('a new leader starts no member of a gang while another member may wait in the evacuated zone', t => {
  const fixture = createFixtureWithUnstartedGang()
  fixture.execute(start)
  fixture.changeLeader()
  for (let count = 0; count < 40; count++) t.deepEqual(startsOf(fixture, 'w2', inZ2), [])
})

test('a request is acknowledged only after its commit, and not by a leader that could not commit it', t => {
  const fixture = createFixture()
  fixture.isCommitting = false
  t.is(fixture.execute(start), undefined)
  t.false(fixture.state.evacuations.isEvacuated('z1'))
  const proposalId = fixture.proposals.at(-1)?.proposalId ?? ''
  let result: unknown
  for (const effect of fixture.leader.handle({ kind: 'rejected', proposalId, isCertain: false })) {
    if (effect.kind === 'reply') result = effect.result
  }
  t.like(result, { ok: false, failure: { kind: 'outcome_unknown' } })
})

test('the log order decides between a request and a withdrawal of two operators at once', t => {
  for (const operations of [[start, end], [end, start]]) {
    const fixture = createFixture()
    fixture.execute(start)
    fixture.isCommitting = false
    for (const operation of operations) fixture.execute(operation)
    fixture.commitNext()
    fixture.commitNext()
    t.is(fixture.state.evacuations.isEvacuated('z1'), operations[1] === start)
  }
})

test('a repeated request keeps the time and the address of the first, and is logged and counted once', t => {
  const log = new RecordingLog()
  const fixture = createFixture(log)
  const requestedWallMs = fixture.clock.wallMs()
  fixture.heartbeat('w1', inZ1)
  fixture.clock.setWallTime(requestedWallMs)
  fixture.execute(start)
  fixture.advance(400)
  t.like(fixture.execute({ ...start, requestedBy: '10.0.0.9' }), { ok: true })
  t.deepEqual(fixture.state.evacuations.records(), [{ zone: 'z1', requestedWallMs, requestedBy: '10.0.0.7' }])
  const lines = log.lines.filter(line => line.message === 'evacuation started')
  t.deepEqual(lines.map(line => line.fields), [{ zone: 'z1', requestedBy: '10.0.0.7', workers: 1, runs: 0 }])
})

test('a withdrawal for a zone that is not evacuated is acknowledged and changes nothing', t => {
  const fixture = createFixture()
  t.like(fixture.execute(end), { ok: true })
  t.deepEqual(fixture.state.evacuations.records(), [])
})

test('a zone that neither the settings nor any worker names is unknown, for requests and withdrawals', t => {
  const fixture = createFixture()
  fixture.heartbeat('w1', { availabilityZone: 'z9' })
  t.like(fixture.execute({ ...start, zone: 'z9' }), { ok: true })
  for (const zone of ['z3', '', '__proto__', 'toString', 'z1 ']) {
    t.like(fixture.execute({ ...start, zone }), { failure: { kind: 'unknown_zone' } })
    t.like(fixture.execute({ ...end, zone }), { failure: { kind: 'unknown_zone' } })
  }
})

test('an evacuated zone stays known after its workers are gone, so that the evacuation can be withdrawn', t => {
  const fixture = new LeaderFixture(document(), { maxLongPollMs: 60 })
  fixture.heartbeat('w1', inZ1)
  fixture.execute(start)
  fixture.changeLeader()
  t.like(fixture.execute(end), { ok: true })
  t.false(fixture.state.evacuations.isEvacuated('z1'))
})

// A 404 status ends the calls of an operator, though the worker in the zone has only not reported to this leader yet.
test('a new leader without zones in its settings asks for a retry until all workers have reported', t => {
  const fixture = new LeaderFixture(document(), { maxLongPollMs: 60 })
  t.like(fixture.execute(start), { failure: { kind: 'control_unavailable' } })
  fixture.advance(2_000)
  t.like(fixture.execute(start), { failure: { kind: 'unknown_zone' } })
})

test('snapshots keep the evacuations, and those of an older version have none', t => {
  const state = new BatchState({ endedJobRetentionMs: 1 })
  const request = { zone: 'z1', requestedBy: '10.0.0.7', requestedWallMs: 7 }
  state.apply({ kind: 'start_evacuation', ...request }, 1)
  const restored = BatchState.restore(state.snapshot(), { endedJobRetentionMs: 1 })
  t.true(restored.evacuations.isEvacuated('z1'))
  restored.apply({ kind: 'end_evacuation', ...request, requestedWallMs: 9 }, 2)
  t.deepEqual(restored.evacuations.records(), [{ ...request, endedWallMs: 9 }])
  const { evacuations, ...older } = state.snapshot()
  t.deepEqual(BatchState.restore(older, { endedJobRetentionMs: 1 }).evacuations.records(), [])
  t.is(evacuations?.length, 1)
})

test('a worker that restarts in an evacuated zone under a new ID gets no run', t => {
  const fixture = createFixture()
  fixture.execute(start)
  fixture.submit('j1', [step({ taskCount: 1 })])
  fixture.heartbeat('w1', inZ1)
  const restarted = { ...inZ1, incarnation: 2_000, address: 'w1:80' }
  for (let count = 0; count < 5; count++) t.deepEqual(startsOf(fixture, 'w9', restarted), [])
})

// Guards against a gang of which a part has started and waits in vain for the member whose start order was lost.
test('a gang of which one member has started and another must not start any more starts elsewhere as a whole', t => {
  const fixture = createFixture()
  fixture.heartbeat('w1', inZ1)
  fixture.heartbeat('w2', inZ2)
  fixture.submit('j1', [wholeWorkerStep({ isGang: true })])
  fixture.advance(50)
  const running = runningTasks(fixture.heartbeat('w2', inZ2)?.starts ?? [], 0)
  t.deepEqual([running.length, startsOf(fixture, 'w1', inZ1).length], [1, 1])
  fixture.execute(start)
  t.deepEqual(startsOf(fixture, 'w1', inZ1), [])
  const stops = fixture.heartbeat('w2', { ...inZ2, running })?.stops ?? []
  t.is(stops.length, 1)
  const ends = stops.map(stop => ({ ...stop, sequence: 1, reason: 'stopped' as const, checkpoint: '' }))
  fixture.heartbeat('w2', { ...inZ2, ends })
  fixture.heartbeat('w3', inZ2)
  t.is(startsOf(fixture, 'w2', inZ2).length + startsOf(fixture, 'w3', inZ2).length, 2)
  t.deepEqual(startsOf(fixture, 'w1', inZ1), [])
})
