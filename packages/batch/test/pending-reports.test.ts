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

test('a worker with a run is answered soon, since it cannot report an end while a heartbeat is in flight', t => {
  const fixture = createFixtureWithDefaultSettings()
  fixture.sendReport(report('w1', { clockMs: 1, sequence: 1 }))
  fixture.submit('j1', [step({ taskCount: 1, estimateMs: 60_000 })])
  fixture.advance(20)
  const running = runningTasks([{ taskKey: 'j1.0.0.0', run: 1, payload: '', checkpoint: '' }])
  const busy = fixture.sendReport(report('w1', { clockMs: 400, sequence: 2, running }))
  fixture.advance(100)
  t.not(fixture.answerTo(busy), undefined)
})

test('the heartbeat interval of 3,000 workers keeps to the limit of heartbeats per second', t => {
  const fixture = createFixtureWithDefaultSettings()
  // The answers to leaving workers are not held, as those to idle workers are.
  const leaving = (index: number) => report(`w${index}`, { clockMs: 1, sequence: 1, state: 'leaving' })
  const requests = Array.from({ length: 3_000 }, (_, index) => fixture.sendReport(leaving(index)))
  fixture.advance(100)
  const intervalMs = fixture.answerTo(requests.at(-1) ?? '')?.nextReportMs ?? 0
  t.true(3_000 * 1_000 / intervalMs <= 3_000, `${intervalMs} ms`)
})
