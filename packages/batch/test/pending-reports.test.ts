/** When heartbeats are answered, and how many there are in a large fleet. */
import test from 'ava'
import { document, report, step } from './sample-data.js'
import { LeaderFixture, rows } from './leader-fixture.js'

/** A fleet whose idle workers wait for work as in production. */
function productionFixture (): LeaderFixture {
  return new LeaderFixture(document(), {})
}

test('work reaches an idle worker at once, since its heartbeat waits for it', t => {
  const fixture = productionFixture()
  const waiting = fixture.send(report('w1', { clockMs: 1, sequence: 1 }))
  fixture.advance(300)
  t.is(fixture.answerTo(waiting), undefined)
  fixture.submit('j1', [step({ taskCount: 1 })])
  fixture.advance(20)
  t.is(fixture.answerTo(waiting)?.starts.length, 1)
})

test('the answer to an idle worker comes before the worker drops it', t => {
  const fixture = productionFixture()
  const waiting = fixture.send(report('w1', { clockMs: 1, sequence: 1 }))
  for (let waitedMs = 0; waitedMs < 700; waitedMs += 50) fixture.advance(50)
  t.deepEqual(fixture.answerTo(waiting)?.starts, [])
})

test('a worker with a run is answered soon, since it cannot list an end while a heartbeat is under way', t => {
  const fixture = productionFixture()
  fixture.send(report('w1', { clockMs: 1, sequence: 1 }))
  fixture.submit('j1', [step({ taskCount: 1, estimateMs: 60_000 })])
  fixture.advance(20)
  const running = rows([{ taskKey: 'j1.0.0.0', run: 1, payload: '', checkpoint: '' }])
  const busy = fixture.send(report('w1', { clockMs: 400, sequence: 2, running }))
  fixture.advance(100)
  t.not(fixture.answerTo(busy), undefined)
})

test('heartbeats of a large fleet stay within what the leader can take (sweep, 3,000 workers)', t => {
  const fixture = productionFixture()
  const leaving = (index: number) => report(`w${index}`, { clockMs: 1, sequence: 1, state: 'leaving' })
  const requests = Array.from({ length: 3_000 }, (_, index) => fixture.send(leaving(index)))
  fixture.advance(100)
  const intervalMs = fixture.answerTo(requests.at(-1) ?? '')?.nextReportMs ?? 0
  t.true(3_000 * 1_000 / intervalMs <= 3_000, `${intervalMs} ms`)
})
