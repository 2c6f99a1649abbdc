/** Monotonic clock that includes the time for which the machine was suspended. */
import type { Clock } from '@comfreygrade/core'

/** Smallest jump of wall time against the monotonic clock that counts as a suspension; slewing stays below it. */
const MIN_SUSPENSION_MS = 150

/**
 * Clock for leases, which must not outlive a suspension of the machine. The monotonic clock of the operating system
 * stops during a suspension, wall time does not, so each forward jump of wall time is added to the monotonic time. A
 * lease may therefore expire early after a correction of wall time, but never late.
 *
 * @example
 * const clock = new SuspendAwareClock(new SystemClock())
 */
export class SuspendAwareClock implements Clock {
  readonly #clock: Clock
  #wallOffsetMs: number
  #suspendedMs = 0

  constructor (clock: Clock) {
    this.#clock = clock
    this.#wallOffsetMs = clock.wallMs() - clock.monotonicMs()
  }

  monotonicMs (): number {
    const baseMs = this.#clock.monotonicMs()
    const offsetMs = this.#clock.wallMs() - baseMs
    const jumpMs = offsetMs - this.#wallOffsetMs
    if (jumpMs > MIN_SUSPENSION_MS) this.#suspendedMs += jumpMs
    if (Math.abs(jumpMs) > MIN_SUSPENSION_MS) this.#wallOffsetMs = offsetMs
    return baseMs + this.#suspendedMs
  }

  wallMs (): number {
    return this.#clock.wallMs()
  }
}
