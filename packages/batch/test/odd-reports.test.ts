/** Reports of another writer under the ID of a worker, and reports with entries or numbers that no worker sends. */
import test from 'ava'
import { LeaderFixture, runningTasks } from './leader-fixture.js'
import { document, step } from './sample-data.js'
import type { RunEnd, WorkerReport } from '../src/index.js'

const DAY_MS = 86_400_000

/** A worker with a running task. */
function createRunningWorker () {
  const fixture = new LeaderFixture()
  fixture.heartbeat('w1')
  fixture.submit('j1', [step({ taskCount: 1, estimateMs: 60_000 })])
  const running = runningTasks(fixture.heartbeat('w1')?.starts ?? [])
  fixture.advance(200)
  fixture.heartbeat('w1', { running })
  fixture.advance(200)
  return { fixture, running }
}

function end (sequence: number, taskKey: string, run = 1): RunEnd {
  return { sequence, taskKey, run, reason: 'done', checkpoint: '' }
}

for (const [title, createFields] of Object.entries({
  'a sequence number that no worker reaches': () => ({ sequence: 2 ** 40 }),
  'a clock far ahead': (now: number) => ({ clockMs: now + DAY_MS }),
  'a start in the future': () => ({ incarnation: 2 ** 50 }),
  'another service': () => ({ service: 'other' })
}) as Array<[string, (now: number) => Partial<WorkerReport>]>) {
  // Guards against one odd report after which all reports of the worker itself count as old, and its work is lost.
  test(`a report with ${title} is ignored, and the worker keeps its runs`, t => {
    const { fixture, running } = createRunningWorker()
    const odd = fixture.heartbeat('w1', { running, ...createFields(fixture.clock.monotonicMs()) })
    t.is(odd, undefined)
    for (let elapsedMs = 0; elapsedMs < 8_000; elapsedMs += 400) {
      fixture.advance(300)
      t.is(fixture.heartbeat('w1', { running })?.leaseMs, 6_000)
    }
    t.deepEqual([...fixture.state.runsOf('w1')].map(({ run }) => run), [1])
  })
}

for (const [title, fields] of Object.entries({
  'a clock that is far ahead': { clockMs: 1e11 },
  'a sequence number that is ahead': { sequence: 1_000_500 },
  'a service that is not configured': { service: 'other' }
}) as Array<[string, Partial<WorkerReport>]>) {
  // Guards against a new leader that takes the odd report, which reaches it first, for the measure of all others.
  test(`a worker keeps its runs where the first report that a new leader gets has ${title}`, t => {
    const { fixture, running } = createRunningWorker()
    fixture.changeLeader()
    fixture.heartbeat('w1', { running, ...fields })
    for (let elapsedMs = 0; elapsedMs < 8_000; elapsedMs += 400) {
      fixture.advance(300)
      t.is(fixture.heartbeat('w1', { running })?.leaseMs, 6_000)
    }
    t.deepEqual([...fixture.state.runsOf('w1')].map(({ run }) => run), [1])
  })
}

test('a worker whose service is not configured any more keeps its runs', t => {
  const { fixture, running } = createRunningWorker()
  const services = [{ name: 'successor', isStandby: false }]
  fixture.execute({ kind: 'put_configuration', document: { ...document(2, []), services } })
  t.is(fixture.heartbeat('w1', { running })?.leaseMs, 6_000)
  t.is(fixture.heartbeat('unknown'), undefined)
})

// Guards against an end whose number makes all later ends of its worker count as recorded already.
test('an end with a number that no worker reaches is ignored, and later ends are recorded', t => {
  const { fixture, running } = createRunningWorker()
  fixture.heartbeat('w1', { running, ends: [end(2 ** 40, 'unknown.0.0.0')] })
  fixture.advance(200)
  fixture.heartbeat('w1', { ends: [end(1, 'j1.0.0.0'), end(2 ** 40, 'unknown.0.0.0')] })
  t.is(fixture.state.job('j1')?.state, 'completed')
})

test('a worker that is not known is not taken on from a report with malformed entries', t => {
  const fixture = new LeaderFixture()
  fixture.submit('j1', [step({ taskCount: 1 })])
  t.is(fixture.heartbeat('odd', { malformedEntryCount: 1 }), undefined)
  t.false(fixture.state.hasRuns('odd'))
  t.is(fixture.heartbeat('sound')?.starts.length, 1)
})

// Guards against a malformed entry that ends the lease of its worker, under the next leader too.
test('a worker with runs keeps them while its reports have malformed entries', t => {
  const { fixture, running } = createRunningWorker()
  t.is(fixture.heartbeat('w1', { running, malformedEntryCount: 1 })?.leaseMs, 6_000)
  fixture.changeLeader()
  fixture.advance(200)
  t.is(fixture.heartbeat('w1', { running, malformedEntryCount: 1 })?.leaseMs, 6_000)
  fixture.advance(200)
  fixture.heartbeat('w1', { ends: [end(1, 'j1.0.0.0')], malformedEntryCount: 1 })
  t.is(fixture.state.job('j1')?.state, 'completed')
})

// Guards against ends that count as recorded already, since an earlier incarnation of the worker had counted further.
test('a worker that starts again under its ID counts its ends from 1, and they are recorded', t => {
  const { fixture } = createRunningWorker()
  t.is(fixture.heartbeat('w1', { ends: [end(5, 'j1.0.0.0')] })?.recordedEndSequence, 5)
  t.is(fixture.heartbeat('w1', { incarnation: 2_000 })?.recordedEndSequence, 0)
  fixture.advance(200)
  t.is(fixture.heartbeat('w1', { incarnation: 2_000, ends: [end(1, 'j1.0.0.0', 2)] })?.recordedEndSequence, 1)
  fixture.submit('j2', [step({ taskCount: 1 })])
  fixture.advance(200)
  t.is(fixture.heartbeat('w1', { incarnation: 2_000 })?.starts.length, 1)
  fixture.advance(200)
  fixture.heartbeat('w1', { incarnation: 2_000, ends: [end(2, 'j2.0.0.0')] })
  t.is(fixture.state.job('j2')?.state, 'completed')
})
