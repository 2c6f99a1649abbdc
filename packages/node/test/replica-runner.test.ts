import { setTimeout as delay } from 'node:timers/promises'
import test from 'ava'
import type { LogStorage, Replica } from '@comfreygrade/consensus'
import { ManualClock } from '@comfreygrade/core'
import { ReplicaRunner } from '../src/replica-runner.js'

const OBSERVED_MS = 100

/** Has nothing to do until a time. */
class WaitingReplica {
  stepCount = 0
  readonly #wakeAtMs: number

  constructor (wakeAtMs: number) {
    this.#wakeAtMs = wakeAtMs
  }

  step (): never[] {
    this.stepCount++
    return []
  }

  nextWakeAtMs (): number {
    return this.#wakeAtMs
  }
}

const ignore = (): void => {}
const handlers = {
  send: ignore, apply: ignore, restore: ignore, roleChanged: ignore, proposalRejected: ignore, failed: ignore
}

// Guards against a process that wakes up once a millisecond, since its settings state an interval that is longer than a
// timer of Node.js lasts.
for (const wakeAtMs of [3_000_000_000, 1e12, Infinity]) {
  test(`a replica that is due in ${wakeAtMs} ms is not woken before`, async t => {
    const replica = new WaitingReplica(wakeAtMs)
    const storage = {} as unknown as LogStorage<never>
    const runner = new ReplicaRunner(replica as unknown as Replica<never>, storage, new ManualClock(0), handlers)
    runner.step({ kind: 'tick' })
    await delay(OBSERVED_MS)
    runner.stop()
    t.is(replica.stepCount, 1)
  })
}
