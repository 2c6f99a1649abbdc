/** Learned limits on the requests in flight to one backend server. */
import type { RoutingSettings } from './settings.js'

/** Weight of one answer in the average slowness of a server. */
const SLOWNESS_WEIGHT = 0.1

/**
 * Limit learned by additive increase and multiplicative decrease (AIMD; Chiu and Jain, 1989), between 1 and a ceiling.
 *
 * @example
 * const limit = new LearnedLimit(defaultRoutingSettings, 8)
 * limit.overloaded(nowMs)
 * limit.requests // 5
 */
export class LearnedLimit {
  readonly #settings: RoutingSettings
  #ceilingRequests: number
  #limitRequests: number
  #slowness = 0
  #decreasedAtMs = -Infinity

  constructor (settings: RoutingSettings, ceilingRequests: number) {
    this.#settings = settings
    this.#ceilingRequests = ceilingRequests
    this.#limitRequests = ceilingRequests
  }

  /** Requests that may be in flight at once. */
  get requests (): number {
    return Math.max(1, Math.floor(this.#limitRequests))
  }

  /** Takes the announced slots and connections, whichever are fewer. */
  setCeiling (ceilingRequests: number): void {
    this.#ceilingRequests = ceilingRequests
    this.#limitRequests = Math.min(this.#limitRequests, ceilingRequests)
  }

  /** Takes an answer that took `durationMs` where `expectedMs` is usual for its class. */
  succeeded (durationMs: number, expectedMs: number, nowMs: number): void {
    const slowness = Math.log(Math.max(durationMs, 0.1) / Math.max(expectedMs, 0.1))
    this.#slowness += (slowness - this.#slowness) * SLOWNESS_WEIGHT
    if (this.#slowness > Math.log(this.#settings.limitSlowFactor)) return this.overloaded(nowMs)
    const rise = this.#settings.limitIncreaseRequests / this.#limitRequests
    this.#limitRequests = Math.min(this.#ceilingRequests, this.#limitRequests + rise)
  }

  /** Takes a sign of overload: a rejection, a failure or a timeout. */
  overloaded (nowMs: number): void {
    if (nowMs - this.#decreasedAtMs < this.#settings.limitDecreaseIntervalMs) return
    this.#decreasedAtMs = nowMs
    this.#limitRequests = Math.max(1, this.#limitRequests * this.#settings.limitDecreaseFactor)
  }
}
