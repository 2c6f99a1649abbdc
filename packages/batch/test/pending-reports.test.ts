/** When heartbeats are answered, and how often a large fleet sends them. */
import test from 'ava'
import { document, report, step } from './sample-data.js'
import { LeaderFixture, runningTasks } from './leader-fixture.js'

/** A leader with default settings, under which idle workers wait for their answers. */
function createFixtureWithDefaultSettings (): LeaderFixture {
  return new LeaderFixture(document(), {})
}

test('a run reaches an idle worker at once, in the answer to a heartbeat that is being held', t => {
  const fixture = createFixtureWithDefaultSettings()
  const waiting = fixture.sendReport(report('w1', { clockMs: 1, sequence: 1 }))
  fixture.advance(300)
  t.is(fixture.answerTo(waiting), undefined)
  fixture.submit('j1', [step({ taskCount: 1 })])
  fixture.advance(20)
  t.is(fixture.answerTo(waiting)?.starts.length, 1)
})

test('the heartbeat of an idle worker is answered before the worker gives up on the answer', t => {
  const fixture = createFixtureWithDefaultSettings()
  const waiting = fixture.sendReport(report('w1', { clockMs: 1, sequence: 1 }))
  for (let waitedMs = 0; waitedMs < 700; waitedMs += 50) fixture.advance(50)
  t.deepEqual(fixture.answerTo(waiting)?.starts, [])
})

/** A worker whose run of 60 s has been reported at 10 %, with its next heartbeat waiting for the answer. */
function createFixtureWithBusyWorker (percent: number): { fixture: LeaderFixture, waiting: string } {
  const fixture = createFixtureWithDefaultSettings()
  fixture.sendReport(report('w1', { clockMs: 1, sequence: 1 }))
  fixture.submit('j1', [step({ taskCount: 1, estimateMs: 60_000 })])
  fixture.advance(20)
  const start = { taskKey: 'j1.0.0.0', run: 1, payload: '', checkpoint: '' }
  fixture.advance(200)
  fixture.sendReport(report('w1', { clockMs: 230, sequence: 2, running: runningTasks([start], 0) }))
  fixture.advance(700)
  const running = runningTasks([start], percent)
  return { fixture, waiting: fixture.sendReport(report('w1', { clockMs: 940, sequence: 3, running })) }
}

test('the answer to a worker is not held while a run is expected to end, since it cannot report the end meanwhile', t => {
  // 90 % took 700 ms, so the rest takes less than 100 ms.
  const { fixture, waiting } = createFixtureWithBusyWorker(90)
  fixture.advance(25)
  t.not(fixture.answerTo(waiting), undefined)
})

test('the answer to a worker is held until the expected end of a run', t => {
  // 70 % took 700 ms, so the rest takes 300 ms.
  const { fixture, waiting } = createFixtureWithBusyWorker(70)
  fixture.advance(200)
  t.is(fixture.answerTo(waiting), undefined)
  fixture.advance(100)
  t.not(fixture.answerTo(waiting), undefined)
})

test('orders to stop reach a worker at once whose answer is held', t => {
  const { fixture, waiting } = createFixtureWithBusyWorker(10)
  fixture.advance(200)
  t.is(fixture.answerTo(waiting), undefined)
  fixture.cancel('j1')
  fixture.advance(60)
  t.is(fixture.answerTo(waiting)?.stops.length, 1)
})

/** A gang of two members, assigned to workers of which only `w1` waits for an answer. */
function createFixtureWithGang (): { fixture: LeaderFixture, waiting: string } {
  const fixture = createFixtureWithDefaultSettings()
  fixture.heartbeat('w2')
  fixture.advance(600)
  const now = fixture.clock.monotonicMs()
  const waiting = fixture.sendReport(report('w1', { clockMs: now, sequence: 1 }))
  const shape = { cpuMillicores: 1_000, memoryMb: 1_000, acceleratorCount: 8 }
  fixture.submit('gang', [step({ taskCount: 2, isGang: true, shape, estimateMs: 5_000 })])
  return { fixture, waiting }
}

test('the members of a gang start at once when the last of their workers can be reached, so that none waits idly', t => {
  const { fixture, waiting } = createFixtureWithGang()
  fixture.advance(400)
  t.is(fixture.answerTo(waiting), undefined)
  const now = fixture.clock.monotonicMs()
  const last = fixture.sendReport(report('w2', { clockMs: now, sequence: Math.round(now) }))
  t.is(fixture.answerTo(waiting)?.starts.length, 1)
  t.is(fixture.answerTo(last)?.starts.length, 1)
})

test('a member of a gang starts before its worker gives up on the answer, though another cannot be reached', t => {
  const { fixture, waiting } = createFixtureWithGang()
  for (let waitedMs = 0; waitedMs < 800; waitedMs += 50) fixture.advance(50)
  t.is(fixture.answerTo(waiting)?.starts.length, 1)
})

test('the heartbeat interval of 3,000 workers keeps to the limit of heartbeats per second', t => {
  const fixture = createFixtureWithDefaultSettings()
  // The answers to leaving workers are not held, as those to idle workers are.
  const leaving = (index: number) => report(`w${index}`, { clockMs: 1, sequence: 1, state: 'leaving' })
  const requests = Array.from({ length: 3_000 }, (_, index) => fixture.sendReport(leaving(index)))
  const heldMs = 100
  fixture.advance(heldMs)
  const intervalMs = fixture.answerTo(requests.at(-1) ?? '')?.nextReportMs ?? 0
  t.true(3_000 * 1_000 / (heldMs + intervalMs) <= 3_000, `${intervalMs} ms`)
})
