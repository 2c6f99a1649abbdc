/** Simulated time of the protocol simulation, and what is due at a time. */
import type { ManualClock } from '@comfreygrade/core'
import type { ProtocolNode } from './protocol-node.js'

interface ScheduledAction {
  readonly atMs: number
  readonly run: () => void
}

/** Runs actions at their times, in the order in which they were scheduled. */
export class ProtocolSchedule {
  readonly #clock: ManualClock
  readonly #startMs: number
  #actions: ScheduledAction[] = []

  constructor (clock: ManualClock) {
    this.#clock = clock
    this.#startMs = clock.monotonicMs()
  }

  get nowMs (): number {
    return this.#clock.monotonicMs()
  }

  get elapsedMs (): number {
    return this.nowMs - this.#startMs
  }

  advance (stepMs: number): void {
    this.#clock.advance(stepMs)
  }

  runDue (): void {
    const nowMs = this.nowMs
    const due = this.#actions.filter(action => action.atMs <= nowMs)
    this.#actions = this.#actions.filter(action => action.atMs > nowMs)
    for (const action of due) action.run()
  }

  after (delayMs: number, run: () => void): void {
    this.#actions.push({ atMs: this.nowMs + delayMs, run })
  }

  /** Messages to a frozen node wait until it wakes up. */
  deliver (node: ProtocolNode, run: () => void): void {
    if (node.isFrozen) this.#actions.push({ atMs: node.frozenUntilMs, run: () => { this.deliver(node, run) } })
    else run()
  }
}
