import test from 'ava'
import { Random } from '@comfreygrade/core'
import { ClosedLoop, LoadMeasurement, type LoadOutcome, LoadTarget, OpenLoop } from '../src/index.js'

/** Answers after a delay and records how many requests were open at once. */
class DelayTarget extends LoadTarget {
  open = 0
  mostOpen = 0
  readonly #delayMs: number
  readonly #outcome: LoadOutcome

  constructor (delayMs: number, outcome: LoadOutcome = 'answered') {
    super()
    this.#delayMs = delayMs
    this.#outcome = outcome
  }

  override async send (): Promise<LoadOutcome> {
    this.open++
    this.mostOpen = Math.max(this.mostOpen, this.open)
    await new Promise(resolve => setTimeout(resolve, this.#delayMs))
    this.open--
    return this.#outcome
  }

  override async close (): Promise<void> {}
}

test('a closed loop never has more requests open than callers and stops at the count', async t => {
  const target = new DelayTarget(2)
  const measurement = new LoadMeasurement()
  await new ClosedLoop(4).run(target, { requests: 30, durationMs: 60_000 }, measurement)
  t.is(target.mostOpen, 4)
  t.is(measurement.counts.answered, 30)
})

test('an open loop goes on sending while answers are slow, so that a queue in the system is seen', async t => {
  const target = new DelayTarget(200)
  const measurement = new LoadMeasurement()
  await new OpenLoop(2_000, new Random(7)).run(target, { requests: 50, durationMs: 60_000 }, measurement)
  t.true(target.mostOpen > 10)
  t.true(measurement.latencyMs(50) >= 199)
})

test('a run ends at its time where the count is not reached, so that a stalled system does not hold it', async t => {
  const measurement = new LoadMeasurement()
  await new ClosedLoop(1).run(new DelayTarget(10), { requests: 1_000_000, durationMs: 50 }, measurement)
  t.true(measurement.counts.answered < 10)
})

test('refused and failed requests do not count as throughput, so that fast refusals do not look good', async t => {
  const measurement = new LoadMeasurement()
  await new ClosedLoop(2).run(new DelayTarget(0, 'refused'), { requests: 10, durationMs: 60_000 }, measurement)
  t.deepEqual(measurement.counts, { answered: 0, refused: 10, failed: 0 })
  t.is(measurement.answeredPerSecond, 0)
})
