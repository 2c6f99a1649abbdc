/** Feeds the ends of attempts into what is learned about servers and classes. */
import type { RequestSpec } from '@comfreygrade/core'
import type { Attempt, RetryReason } from './open-request.js'
import type { ServerPool } from './servers.js'
import type { ServiceClasses } from './service-classes.js'
import type { RoutingSettings } from './settings.js'

/** Updates limits, ejections and service times. */
export class ServerObserver {
  readonly #settings: RoutingSettings
  readonly #pool: ServerPool
  readonly #classes: ServiceClasses

  constructor (settings: RoutingSettings, pool: ServerPool, classes: ServiceClasses) {
    this.#settings = settings
    this.#pool = pool
    this.#classes = classes
  }

  /** Takes a successful answer. */
  succeeded (attempt: Attempt, request: RequestSpec, nowMs: number): void {
    const durationMs = nowMs - attempt.startedAtMs
    const expectedMs = this.#classes.typicalMs(request.requestClass)
    attempt.server.ejection.succeeded()
    attempt.server.limit.succeeded(durationMs, expectedMs, nowMs)
    this.#classes.observe(request.requestClass, durationMs)
  }

  /**
   * Takes a failed attempt.
   *
   * @returns whether the server is ejected by it
   */
  failed (attempt: Attempt, request: RequestSpec, reason: RetryReason, nowMs: number): boolean {
    const { ejection, limit } = attempt.server
    const durationMs = nowMs - attempt.startedAtMs
    if (reason === 'attempt_timeout') {
      const isTooEarly = durationMs < this.#settings.limitSlowFactor * this.#classes.typicalMs(request.requestClass)
      this.#classes.observeAtLeast(request.requestClass, durationMs)
      if (isTooEarly) {
        ejection.undecided()
        return false
      }
    }
    if (reason !== 'server_error') limit.overloaded(nowMs)
    return ejection.failed(nowMs, this.#pool.mayEject(nowMs))
  }
}
