import test from 'ava'
import type { Clock } from '@comfreygrade/core'
import { SuspendAwareClock } from '../src/index.js'

/** A machine whose steady clock stands still while it is suspended. */
class SuspendableClock implements Clock {
  steadyMs = 1_000
  wallNowMs = 5_000_000

  monotonicMs (): number {
    return this.steadyMs
  }

  wallMs (): number {
    return this.wallNowMs
  }

  run (elapsedMs: number): void {
    this.steadyMs += elapsedMs
    this.wallNowMs += elapsedMs
  }
}

test('time goes on while the machine is suspended, so that no lease outlives a suspension', t => {
  const machine = new SuspendableClock()
  const clock = new SuspendAwareClock(machine)
  machine.run(100)
  t.is(clock.monotonicMs(), 1_100)
  machine.wallNowMs += 6_000
  machine.run(10)
  t.is(clock.monotonicMs(), 7_110)
  machine.run(10)
  t.is(clock.monotonicMs(), 7_120)
})

test('wall time that is set back never turns the clock back', t => {
  const machine = new SuspendableClock()
  const clock = new SuspendAwareClock(machine)
  machine.wallNowMs -= 2_000
  machine.run(100)
  t.is(clock.monotonicMs(), 1_100)
  machine.wallNowMs += 2_000
  machine.run(100)
  t.is(clock.monotonicMs(), 3_200)
})

test('slewing of wall time is no suspension', t => {
  const machine = new SuspendableClock()
  const clock = new SuspendAwareClock(machine)
  for (let second = 0; second < 10; second++) {
    machine.run(1_000)
    machine.wallNowMs += 1
  }
  t.is(clock.monotonicMs(), 11_000)
})
