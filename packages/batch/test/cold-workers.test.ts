/** Cold workers, and the return of work to a zone whose evacuation has ended. */
import test from 'ava'
import type { StepSpec, WorkerReport } from '../src/index.js'
import { document, report, step } from './sample-data.js'
import { LeaderFixture, RecordingLog, runningTasks } from './leader-fixture.js'

const SETTINGS = { maxLongPollMs: 60, gangAssemblyMs: 0, regionByAvailabilityZone: { z1: 'north', z2: 'north' } }
const COLD = { coldRemainingMs: 60_000 }

function createFixture (log?: RecordingLog): LeaderFixture {
  return new LeaderFixture(document(), SETTINGS, log)
}

/** A step that fits only once on a worker. */
function wholeWorkerStep (fields: Partial<StepSpec> = {}): StepSpec {
  return step({ taskCount: 1, shape: { cpuMillicores: 1_000, memoryMb: 1_000, acceleratorCount: 8 }, ...fields })
}

/** Workers with runs, from the replicated state. */
function busyWorkers ({ state }: LeaderFixture): string[] {
  return [...state.workersWithRuns()].sort()
}

function heartbeats (fixture: LeaderFixture, workers: Record<string, Partial<WorkerReport>>): void {
  for (const [workerId, fields] of Object.entries(workers)) fixture.heartbeat(workerId, fields)
}

test('a cold worker gets work that is not urgent', t => {
  const fixture = createFixture()
  heartbeats(fixture, { c1: COLD })
  fixture.submit('j1', [wholeWorkerStep()])
  fixture.advance(50)
  t.deepEqual(busyWorkers(fixture), ['c1'])
})

// Guards against an urgent job that ends late on a slow worker though a warm one becomes free soon.
test('urgent work waits for a warm worker, but no longer than a second beside a cold one', t => {
  const fixture = createFixture()
  heartbeats(fixture, { c1: COLD, w1: {} })
  fixture.submit('u1', [wholeWorkerStep()], '/urgent/')
  fixture.submit('u2', [wholeWorkerStep()], '/urgent/')
  fixture.advance(500)
  t.deepEqual(busyWorkers(fixture), ['w1'])
  heartbeats(fixture, { c1: COLD })
  fixture.advance(700)
  t.deepEqual(busyWorkers(fixture), ['c1', 'w1'])
})

test('urgent work starts at once where all workers are cold', t => {
  const fixture = createFixture()
  heartbeats(fixture, { c1: COLD, c2: COLD })
  fixture.submit('u1', [wholeWorkerStep()], '/urgent/')
  fixture.advance(50)
  t.is(busyWorkers(fixture).length, 1)
})

test('a worker is warm once the time that it reported has passed, also without a further heartbeat', t => {
  const fixture = createFixture()
  heartbeats(fixture, { w1: {}, c1: { coldRemainingMs: 400 } })
  fixture.submit('u1', [wholeWorkerStep()], '/urgent/')
  fixture.submit('u2', [wholeWorkerStep()], '/urgent/')
  fixture.advance(50)
  t.deepEqual(busyWorkers(fixture), ['w1'])
  fixture.advance(400)
  t.deepEqual(busyWorkers(fixture), ['c1', 'w1'])
})

// A gang ends with its slowest member, so one cold worker would slow all of it down.
test('no member of a gang starts on a cold worker while the gang fits on warm ones', t => {
  const fixture = createFixture()
  heartbeats(fixture, { c1: COLD, w1: {}, w2: {}, c2: COLD })
  fixture.submit('g1', [wholeWorkerStep({ taskCount: 2, isGang: true })])
  fixture.advance(50)
  t.deepEqual(busyWorkers(fixture), ['w1', 'w2'])
})

test('a gang that does not fit on the warm workers starts on cold ones too', t => {
  const fixture = createFixture()
  heartbeats(fixture, { c1: COLD, w1: {} })
  fixture.submit('g1', [wholeWorkerStep({ taskCount: 2, isGang: true })])
  fixture.advance(50)
  t.deepEqual(busyWorkers(fixture), ['c1', 'w1'])
})

// Guards against a cold worker that stays idle because urgent work in front of it waits for a warm one.
test('work that is not urgent starts on a cold worker while urgent work waits for a warm one', t => {
  const fixture = new LeaderFixture(document(), { ...SETTINGS, maxReservations: 0 })
  heartbeats(fixture, { c1: COLD, w1: {} })
  for (const jobId of ['u1', 'u2']) fixture.submit(jobId, [wholeWorkerStep()], '/urgent/')
  fixture.submit('j1', [wholeWorkerStep()])
  fixture.advance(50)
  t.deepEqual(busyWorkers(fixture), ['c1', 'w1'])
})

const ZONE_WORKERS = Array.from({ length: 10 }, (_, index) => `w${index}`)

/** All workers of the zone report their runs at the same time. */
function reportAll (fixture: LeaderFixture): void {
  const nowMs = fixture.clock.monotonicMs()
  for (const workerId of ZONE_WORKERS) {
    const running = runningTasks([...fixture.state.runsOf(workerId)].map(run => ({ ...run, payload: '', checkpoint: '' })))
    fixture.sendReport(report(workerId, { availabilityZone: 'z1', clockMs: nowMs, sequence: Math.round(nowMs), running }))
  }
  fixture.advance(25)
}

function createFixtureWithEndedEvacuation (log?: RecordingLog): LeaderFixture {
  const fixture = createFixture(log)
  reportAll(fixture)
  fixture.execute({ kind: 'start_evacuation', zone: 'z1', requestedBy: '10.0.0.7' })
  fixture.submit('j1', [wholeWorkerStep({ taskCount: 10 })])
  fixture.advance(100)
  fixture.execute({ kind: 'end_evacuation', zone: 'z1', requestedBy: '10.0.0.7' })
  return fixture
}

test('work returns to a zone in steps after a withdrawal, to all workers within 3 s', t => {
  const log = new RecordingLog()
  const fixture = createFixtureWithEndedEvacuation(log)
  const counts: number[] = []
  for (let step = 0; step < 5; step++) {
    reportAll(fixture)
    fixture.advance(25)
    counts.push(busyWorkers(fixture).length)
    fixture.advance(450)
  }
  t.deepEqual(counts, [2, 4, 6, 8, 10])
  const reasons = log.lines.filter(line => line.message === 'step waits').map(line => line.fields['unschedulableWorkers'])
  t.true(reasons.some(workers => typeof workers === 'object' && workers !== null && 'returning' in workers))
})

test('a new leader continues the return, and a correction of its clock holds nothing back', t => {
  const fixture = createFixtureWithEndedEvacuation()
  reportAll(fixture)
  t.is(busyWorkers(fixture).length, 2)
  fixture.changeLeader()
  reportAll(fixture)
  fixture.advance(100)
  t.is(busyWorkers(fixture).length, 2)
  fixture.clock.setWallTime(fixture.clock.wallMs() - 3_600_000)
  fixture.advance(100)
  t.is(busyWorkers(fixture).length, 10)
})
