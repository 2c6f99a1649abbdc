/** Unexpected errors in one part of the leader: the other parts still do their work. */
import test from 'ava'
import { LeaderFixture, RecordingLog, runningTasks } from './leader-fixture.js'
import { HOST, KEY, step } from './sample-data.js'

/** Replaces a method of the replicated state by one that throws. */
function breakMethod (fixture: LeaderFixture, name: 'openJobs' | 'wave' | 'lastEndSequence'): void {
  Object.defineProperty(fixture.state, name, { value: () => { throw new TypeError(`${name} is broken`) }, configurable: true })
}

function repairMethod (fixture: LeaderFixture, name: 'openJobs' | 'wave' | 'lastEndSequence'): void {
  Reflect.deleteProperty(fixture.state, name)
}

// Guards against a job at which each scheduling pass fails: no heartbeat was answered any more, and all leases ended.
test('workers keep their leases while scheduling passes fail', t => {
  const log = new RecordingLog()
  const fixture = new LeaderFixture(undefined, undefined, log)
  fixture.heartbeat('w1')
  fixture.submit('j1', [step({ taskCount: 1, estimateMs: 60_000 })])
  const running = runningTasks(fixture.heartbeat('w1')?.starts ?? [])
  breakMethod(fixture, 'openJobs')
  for (let round = 0; round < 3; round++) {
    fixture.advance(200)
    t.is(fixture.heartbeat('w1', { running })?.leaseMs, 6_000)
  }
  const line = log.lines.find(({ message }) => message === 'unexpected error of the leader')
  t.is(line?.fields.part, 'pass')
  t.regex(String(line?.fields.detail), /TypeError: openJobs is broken at .*unexpected-errors/)
  repairMethod(fixture, 'openJobs')
  fixture.submit('j2', [step({ taskCount: 1 })])
  t.is(fixture.heartbeat('w1', { running })?.starts.length, 1)
})

test('an operation that causes an unexpected error is answered, and the next one is handled', t => {
  const fixture = new LeaderFixture(undefined, undefined, new RecordingLog())
  breakMethod(fixture, 'wave')
  t.like(fixture.execute({ kind: 'wave_state', waveId: '1' }), { ok: false, failure: { kind: 'internal_error' } })
  const request = { host: HOST, path: '/normal/', apiKey: KEY }
  t.true(fixture.execute({ kind: 'job_state', request })?.ok)
})

// Guards against one report whose answer fails and takes the answers of all other workers with it.
test('a report that causes an unexpected error does not keep others from being answered', t => {
  const fixture = new LeaderFixture(undefined, undefined, new RecordingLog())
  const { state } = fixture
  const lastEndSequence = state.lastEndSequence.bind(state)
  state.lastEndSequence = worker => {
    if (worker.workerId === 'odd') throw new TypeError('odd')
    return lastEndSequence(worker)
  }
  fixture.heartbeat('odd')
  t.is(fixture.heartbeat('w1')?.leaseMs, 6_000)
})
