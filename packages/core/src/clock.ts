/**
 * Port to the monotonic and the wall clock.
 *
 * @example
 * const clock: Clock = new ManualClock()
 * const startedMs = clock.monotonicMs()
 */
export interface Clock {
  /** Milliseconds since an arbitrary origin; never goes back. Leases and timeouts use this clock only. */
  monotonicMs (): number
  /**
   * Milliseconds since the Unix epoch; may jump. Only for timestamps that are displayed, stored or sent, such as the
   * issue times of keys.
   */
  wallMs (): number
}

/**
 * A clock that advances only on request, for tests and benchmarks.
 *
 * @example
 * const clock = new ManualClock()
 * clock.advance(250)
 * clock.monotonicMs() // 250
 */
export class ManualClock implements Clock {
  #monotonicMs: number
  #wallMs: number

  constructor (monotonicMs = 0, wallMs = 0) {
    this.#monotonicMs = monotonicMs
    this.#wallMs = wallMs
  }

  monotonicMs (): number {
    return this.#monotonicMs
  }

  wallMs (): number {
    return this.#wallMs
  }

  /** Advances both clocks by `elapsedMs`. */
  advance (elapsedMs: number): void {
    if (elapsedMs < 0) throw new RangeError('cannot advance a clock by a negative time')
    this.#monotonicMs += elapsedMs
    this.#wallMs += elapsedMs
  }

  /** Sets the wall clock only, as a time correction by the operating system does. */
  setWallTime (wallMs: number): void {
    this.#wallMs = wallMs
  }
}
