/** Control of queue delay. */
import type { RoutingSettings } from './settings.js'

/**
 * CoDel (Nichols and Jacobson, 2012): refuses requests at a growing rate while the queue delay stays above a target.
 *
 * @example
 * const codel = new Codel(defaultRoutingSettings)
 * if (codel.shouldRefuse(waitedMs, nowMs)) refuse()
 */
export class Codel {
  readonly #settings: RoutingSettings
  #firstAboveAtMs: number | undefined
  #isRefusing = false
  #refusals = 0
  #nextRefusalAtMs = 0

  constructor (settings: RoutingSettings) {
    this.#settings = settings
  }

  /** Takes the wait of the request at the head of the queue. */
  shouldRefuse (waitedMs: number, nowMs: number): boolean {
    if (waitedMs < this.#settings.codelTargetMs) {
      this.#firstAboveAtMs = undefined
      this.#isRefusing = false
      return false
    }
    this.#firstAboveAtMs ??= nowMs
    if (nowMs - this.#firstAboveAtMs < this.#settings.codelIntervalMs) return false
    if (!this.#isRefusing) return this.#startRefusing(nowMs)
    if (nowMs < this.#nextRefusalAtMs) return false
    this.#refusals++
    this.#nextRefusalAtMs += this.#gapMs()
    return true
  }

  #startRefusing (nowMs: number): boolean {
    this.#isRefusing = true
    this.#refusals = 1
    this.#nextRefusalAtMs = nowMs + this.#gapMs()
    return true
  }

  #gapMs (): number {
    return this.#settings.codelIntervalMs / Math.sqrt(this.#refusals)
  }
}
