import test from 'ava'
import fc from 'fast-check'
import { DeficitRoundRobin } from '../src/deficit-round-robin.js'
import { LearnedLimit } from '../src/limits.js'
import { ServiceClasses } from '../src/service-classes.js'
import { defaultRoutingSettings } from '../src/settings.js'
import { TimerHeap } from '../src/timers.js'

const SEED = 20261204

test('timers fire once, in order and never after a cancel, so that no deadline is missed or met twice', t => {
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

test('flows are served by weight in service time, so that expensive requests buy nobody a larger share', t => {
  const costs: Record<string, number> = { cheap: 10, expensive: 500 }
  const flows = new DeficitRoundRobin(20)
  flows.add('cheap', 1)
  flows.add('expensive', 1)
  const servedMs: Record<string, number> = { cheap: 0, expensive: 0 }
  for (let turn = 0; turn < 5_100; turn++) {
    const key = flows.select(each => costs[each])!
    flows.charge(key, costs[key]!)
    servedMs[key]! += costs[key]!
  }
  t.true(Math.abs(servedMs.cheap! - servedMs.expensive!) <= 500, JSON.stringify(servedMs))
})

test('one outlier does not make a class long, and a class that became fast is short again', t => {
  const classes = new ServiceClasses(defaultRoutingSettings)
  for (let index = 0; index < 500; index++) classes.observe('charge', 10)
  classes.observe('charge', 5_000)
  t.is(classes.workClass('charge'), 'short')
  for (let index = 0; index < 5; index++) classes.observe('reconcile', 2_000)
  t.is(classes.workClass('reconcile'), 'long')
  for (let index = 0; index < 100; index++) classes.observe('reconcile', 10)
  t.is(classes.workClass('reconcile'), 'short')
})

test('the number of remembered classes is bounded, so that callers cannot fill the memory with labels', t => {
  const classes = new ServiceClasses({ ...defaultRoutingSettings, maxRequestClasses: 2 })
  for (const label of ['a', 'b', 'c']) for (let count = 0; count < 3; count++) classes.observe(label, 10)
  t.deepEqual(['a', 'b', 'c'].map(label => classes.isKnown(label)), [false, true, true])
})

test('a learned limit stays between one and the announced slots, whatever the signs are', t => {
  const signs = fc.array(fc.constantFrom('success', 'slow', 'overload'), { maxLength: 200 })
  fc.assert(fc.property(signs, fc.integer({ min: 1, max: 8 }), (planned, slots) => {
    const limit = new LearnedLimit(defaultRoutingSettings, slots)
    planned.forEach((sign, index) => {
      if (sign === 'overload') limit.overloaded(index * 100)
      else limit.succeeded(sign === 'slow' ? 1_000 : 10, 10, index * 100)
      t.true(limit.requests >= 1 && limit.requests <= slots)
    })
  }), { seed: SEED, numRuns: 200 })
})
