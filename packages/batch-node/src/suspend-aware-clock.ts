/** Monotonic clock that includes the time for which the machine was suspended. */
import type { Clock } from '@comfreygrade/core'

/**
 * A shift of wall time against the monotonic clock that exceeds this counts as a suspension. Smaller shifts add up
 * until they exceed it, so that slewing for long enough counts as well, which only ends leases early.
 */
const MIN_SUSPENSION_MS = 150

/**
 * Clock for leader leases, which must not outlive a suspension of the machine. The monotonic clock of the operating
 * system stops during a suspension, wall time does not, so each forward shift of wall time above the threshold is added
 * to the monotonic time. A lease may therefore expire early after a forward correction of wall time. It may expire late
 * by a suspension below the threshold, or by one that a backward correction of wall time cancels out.
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
