/**
 * Time source of the decision code.
 *
 * @example
 * const clock: Clock = new ManualClock()
 * const startedMs = clock.monotonicMs()
 */
export interface Clock {
  /** Milliseconds since an arbitrary origin; never goes back. Leases and timeouts use only this. */
  monotonicMs (): number
  /** Milliseconds since the Unix epoch; may jump. For display and for times of issue. */
  wallMs (): number
}

/**
 * A clock that moves only when told to, for tests and benchmarks.
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

  /** Moves both readings forward by `elapsedMs`. */
  advance (elapsedMs: number): void {
    if (elapsedMs < 0) throw new RangeError('monotonic time cannot go back')
    this.#monotonicMs += elapsedMs
    this.#wallMs += elapsedMs
  }

  /** Makes the wall clock jump, as a time correction of the operating system does. */
  jumpWallTo (wallMs: number): void {
    this.#wallMs = wallMs
  }
}
