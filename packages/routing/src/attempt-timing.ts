/** Timeouts of attempts and delays between them. */
import type { Random } from '@comfreygrade/core'
import type { OpenRequest } from './open-request.js'
import type { ServiceClasses } from './service-classes.js'
import type { RoutingSettings } from './settings.js'

/** Share of the remaining time for an attempt whose service time is not known, so that one more attempt fits. */
const UNKNOWN_CLASS_SHARE = 0.5

/** Decides how long an attempt may take and when the next one starts. */
export class AttemptTiming {
  readonly #settings: RoutingSettings
  readonly #classes: ServiceClasses
  readonly #random: Random

  constructor (settings: RoutingSettings, classes: ServiceClasses, random: Random) {
    this.#settings = settings
    this.#classes = classes
    this.#random = random
  }

  /**
   * End of an attempt. Only idempotent requests get less than their deadline. Each timeout doubles the next one, as
   * the learned time may be too low.
   */
  timeoutAtMs (open: OpenRequest, nowMs: number): number {
    const { deadlineAtMs, requestClass } = open.request
    if (!open.isIdempotent) return deadlineAtMs
    if (!this.#classes.isKnown(requestClass)) return nowMs + (deadlineAtMs - nowMs) * UNKNOWN_CLASS_SHARE
    const { attemptTimeoutMinMs, attemptTimeoutFactor } = this.#settings
    const usualMs = Math.max(attemptTimeoutMinMs, attemptTimeoutFactor * this.#classes.typicalMs(requestClass))
    return Math.min(deadlineAtMs, nowMs + usualMs * 2 ** open.timeouts)
  }

  /** Exponential backoff with full jitter (Brooker, "Exponential Backoff And Jitter", 2015). */
  backoffMs (attempts: number): number {
    const { backoffBaseMs, backoffMaxMs } = this.#settings
    return this.#random.nextFloat() * Math.min(backoffMaxMs, backoffBaseMs * 2 ** (attempts - 1))
  }
}
