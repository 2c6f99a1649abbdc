import test from 'ava'
import type { Clock } from '@comfreygrade/core'
import { SuspendAwareClock } from '../src/index.js'

/** Clock of a machine whose monotonic time stops during a suspension. */
class SuspendableClock implements Clock {
  monotonicNowMs = 1_000
  wallNowMs = 5_000_000

  monotonicMs (): number {
    return this.monotonicNowMs
  }

  wallMs (): number {
    return this.wallNowMs
  }

  advance (elapsedMs: number): void {
    this.monotonicNowMs += elapsedMs
    this.wallNowMs += elapsedMs
  }
}

test('time passes while the machine is suspended, so that no lease outlives a suspension', t => {
  const machine = new SuspendableClock()
  const clock = new SuspendAwareClock(machine)
  machine.advance(100)
  t.is(clock.monotonicMs(), 1_100)
  machine.wallNowMs += 6_000
  machine.advance(10)
  t.is(clock.monotonicMs(), 7_110)
  machine.advance(10)
  t.is(clock.monotonicMs(), 7_120)
})

test('the clock does not go back when wall time is set back, and advances when it is set forward again', t => {
  const machine = new SuspendableClock()
  const clock = new SuspendAwareClock(machine)
  machine.wallNowMs -= 2_000
  machine.advance(100)
  t.is(clock.monotonicMs(), 1_100)
  machine.wallNowMs += 2_000
  machine.advance(100)
  t.is(clock.monotonicMs(), 3_200)
})

test('slewing of wall time by less than the threshold does not count as a suspension', t => {
  const machine = new SuspendableClock()
  const clock = new SuspendAwareClock(machine)
  for (let second = 0; second < 10; second++) {
    machine.advance(1_000)
    machine.wallNowMs += 1
  }
  t.is(clock.monotonicMs(), 11_000)
})
