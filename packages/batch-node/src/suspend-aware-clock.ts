/** A clock for leases that must not outlive a suspension of the machine. */
import type { Clock } from '@comfreygrade/core'

/** A forward jump of wall time against the steady clock that counts as a suspension; slewing stays below it. */
const SUSPENSION_MIN_MS = 150

/**
 * The steady clock of the operating system stands still while the machine is suspended; wall time does not. Each
 * forward jump of wall time is added, so a lease may end early after a clock correction, and never late.
 *
 * @example
 * const clock = new SuspendAwareClock(new SystemClock())
 */
export class SuspendAwareClock implements Clock {
  readonly #clock: Clock
  #wallAheadMs: number
  #suspendedMs = 0

  constructor (clock: Clock) {
    this.#clock = clock
    this.#wallAheadMs = clock.wallMs() - clock.monotonicMs()
  }

  monotonicMs (): number {
    const steadyMs = this.#clock.monotonicMs()
    const aheadMs = this.#clock.wallMs() - steadyMs
    const jumpMs = aheadMs - this.#wallAheadMs
    if (jumpMs > SUSPENSION_MIN_MS) this.#suspendedMs += jumpMs
    if (Math.abs(jumpMs) > SUSPENSION_MIN_MS) this.#wallAheadMs = aheadMs
    return steadyMs + this.#suspendedMs
  }

  wallMs (): number {
    return this.#clock.wallMs()
  }
}
