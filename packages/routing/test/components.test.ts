import test from 'ava'
import fc from 'fast-check'
import { DeficitRoundRobin } from '../src/deficit-round-robin.js'
import { AdaptiveConcurrencyLimit } from '../src/adaptive-concurrency-limit.js'
import { ServiceTimeEstimator } from '../src/service-time-estimator.js'
import { defaultRoutingSettings } from '../src/settings.js'
import { TimerHeap } from '../src/timer-heap.js'

const SEED = 20261204

test('timers fire once, in order and never after cancellation, so that no deadline is missed or handled twice', t => {
  const operations = fc.array(fc.record({ atMs: fc.integer({ min: 0, max: 50 }), isCancelled: fc.boolean() }),
    { maxLength: 300 })
  fc.assert(fc.property(operations, planned => {
    const timers = new TimerHeap()
    const fired: number[] = []
    const set = planned.map(({ atMs }, index) => timers.set(atMs, () => fired.push(index)))
    planned.forEach(({ isCancelled }, index) => isCancelled && timers.cancel(set[index]))
    timers.fireDue(25)
    timers.fireDue(50)
    const expected = planned.map(({ atMs, isCancelled }, index) => ({ atMs, isCancelled, index }))
      .filter(each => !each.isCancelled).sort((left, right) => left.atMs - right.atMs || left.index - right.index)
    t.deepEqual(fired, expected.map(each => each.index))
    t.is(timers.nextAtMs(), undefined)
  }), { seed: SEED, numRuns: 200 })
})

test('deficit round robin gives flows of equal weight equal service time, so that expensive requests gain no larger share', t => {
  const costs: Record<string, number> = { cheap: 10, expensive: 500 }
  const flows = new DeficitRoundRobin(20)
  flows.add('cheap', 1)
  flows.add('expensive', 1)
  const servedMs: Record<string, number> = { cheap: 0, expensive: 0 }
  // With equal service time, 5,000 cheap and 100 expensive requests are served.
  for (let selection = 0; selection < 5_100; selection++) {
    const key = flows.select(each => costs[each])!
    flows.charge(key, costs[key]!)
    servedMs[key]! += costs[key]!
  }
  t.true(Math.abs(servedMs.cheap! - servedMs.expensive!) <= 500, JSON.stringify(servedMs))
})

test('one outlier does not make a request class long, and a long class that becomes fast is short again', t => {
  const serviceTimes = new ServiceTimeEstimator(defaultRoutingSettings)
  for (let index = 0; index < 500; index++) serviceTimes.observe('charge', 10)
  serviceTimes.observe('charge', 5_000)
  t.is(serviceTimes.workClass('charge'), 'short')
  for (let index = 0; index < 5; index++) serviceTimes.observe('reconcile', 2_000)
  t.is(serviceTimes.workClass('reconcile'), 'long')
  for (let index = 0; index < 100; index++) serviceTimes.observe('reconcile', 10)
  t.is(serviceTimes.workClass('reconcile'), 'short')
})

test('the number of request classes with estimates is bounded, so that callers cannot exhaust memory with new labels', t => {
  const serviceTimes = new ServiceTimeEstimator({ ...defaultRoutingSettings, maxRequestClasses: 2 })
  for (const label of ['a', 'b', 'c']) for (let count = 0; count < 3; count++) serviceTimes.observe(label, 10)
  t.deepEqual(['a', 'b', 'c'].map(label => serviceTimes.hasEstimate(label)), [false, true, true])
})

test('the adaptive concurrency limit stays between one and the announced slots under any sequence of load signals', t => {
  const signals = fc.array(fc.constantFrom('success', 'slow', 'overload'), { maxLength: 200 })
  fc.assert(fc.property(signals, fc.integer({ min: 1, max: 8 }), (planned, slots) => {
    const limit = new AdaptiveConcurrencyLimit(defaultRoutingSettings, slots)
    planned.forEach((signal, index) => {
      if (signal === 'overload') limit.recordOverload(index * 100)
      else limit.recordSuccess(signal === 'slow' ? 1_000 : 10, 10, index * 100)
      t.true(limit.maxInFlight >= 1 && limit.maxInFlight <= slots)
    })
  }), { seed: SEED, numRuns: 200 })
})
