import test from 'ava'
import { Random } from '@comfreygrade/core'
import { ClosedLoop, LoadMeasurement, type LoadOutcome, LoadTarget, OpenLoop } from '../src/index.js'

/** Ends each request with a given outcome after a delay and records the highest number of concurrent requests. */
class DelayTarget extends LoadTarget {
  open = 0
  maxOpen = 0
  readonly #delayMs: number
  readonly #outcome: LoadOutcome

  constructor (delayMs: number, outcome: LoadOutcome = 'answered') {
    super()
    this.#delayMs = delayMs
    this.#outcome = outcome
  }

  override async send (): Promise<LoadOutcome> {
    this.open++
    this.maxOpen = Math.max(this.maxOpen, this.open)
    await new Promise(resolve => setTimeout(resolve, this.#delayMs))
    this.open--
    return this.#outcome
  }

  override async close (): Promise<void> {}
}

test('a closed loop has at most one request in flight per caller and stops at the request limit', async t => {
  const target = new DelayTarget(2)
  const measurement = new LoadMeasurement()
  await new ClosedLoop(4).run(target, { requests: 30, durationMs: 60_000 }, measurement)
  t.is(target.maxOpen, 4)
  t.is(measurement.counts.answered, 30)
})

test('an open loop keeps sending requests while earlier responses are outstanding', async t => {
  const target = new DelayTarget(200)
  const measurement = new LoadMeasurement()
  await new OpenLoop(2_000, new Random(7)).run(target, { requests: 50, durationMs: 60_000 }, measurement)
  t.true(target.maxOpen > 10)
  t.true(measurement.latencyPercentileMs(50) >= 199)
})

test('a run ends at its time limit if the target is too slow to reach the request limit, so that a slow target does not hold it up', async t => {
  const measurement = new LoadMeasurement()
  await new ClosedLoop(1).run(new DelayTarget(10), { requests: 1_000_000, durationMs: 50 }, measurement)
  t.true(measurement.counts.answered < 10)
})

test('refused requests do not count as throughput, so that fast refusals do not improve the figures', async t => {
  const measurement = new LoadMeasurement()
  await new ClosedLoop(2).run(new DelayTarget(0, 'refused'), { requests: 10, durationMs: 60_000 }, measurement)
  t.deepEqual(measurement.counts, { answered: 0, refused: 10, failed: 0 })
  t.is(measurement.answeredPerSecond, 0)
})
