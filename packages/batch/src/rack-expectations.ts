/** For how long same-rack gangs rely on the expectation that a rack will soon be free. */
import type { Clock } from '@comfreygrade/core'

/** Estimates of run times may be wrong by this factor. */
const ESTIMATE_ERROR_FACTOR = 2
/** Added to the expected time, which covers the stops and starts in between. */
const EXPECTATION_MARGIN_MS = 1_000

/**
 * Keeps the first expectation of each gang. Later ones do not extend it: a run that is overdue, or that waits at full
 * progress for other members of its gang, is expected to end at once for as long as it lasts.
 *
 * @example
 * if (delayMs <= maxWaitMs && expectations.isReliable('5c0e.0.0', delayMs)) waitForRack()
 */
export class RackExpectations {
  readonly #clock: Clock
  /** Time until which the expectation of a gang is relied on, by step. */
  readonly #reliableUntilMs = new Map<string, number>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Whether a gang may rely on a rack that is expected to be free after `delayMs`. */
  isReliable (stepKey: string, delayMs: number): boolean {
    const nowMs = this.#clock.monotonicMs()
    const known = this.#reliableUntilMs.get(stepKey)
    const untilMs = known ?? nowMs + delayMs * ESTIMATE_ERROR_FACTOR + EXPECTATION_MARGIN_MS
    this.#reliableUntilMs.set(stepKey, untilMs)
    return nowMs <= untilMs
  }

  /** Removes the gangs that do not wait any more. */
  retain (isWaiting: (stepKey: string) => boolean): void {
    for (const stepKey of this.#reliableUntilMs.keys()) if (!isWaiting(stepKey)) this.#reliableUntilMs.delete(stepKey)
  }
}
