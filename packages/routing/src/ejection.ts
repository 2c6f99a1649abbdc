/** Outlier ejection: a server that fails fast would otherwise look idle and attract load. */
import type { RoutingSettings } from './settings.js'

/** Health state of a server. A server in state `probe_due` may get a single request as a probe. */
export type EjectionState = 'in_service' | 'ejected' | 'probe_due' | 'probing'

/**
 * Health of one server. Consecutive failures eject it for a period that doubles with each recent ejection; one probe
 * request then decides whether it returns to service.
 *
 * @example
 * const ejection = new Ejection(defaultRoutingSettings)
 * if (ejection.recordFailure(nowMs, true)) setTimer(ejection.endsAtMs)
 */
export class Ejection {
  readonly #settings: RoutingSettings
  #consecutiveFailures = 0
  #recentEjections = 0
  #endsAtMs = -Infinity
  #state: 'in_service' | 'ejected' | 'probing' = 'in_service'
  #failureLoadAtLastFailure = 0
  #lastFailureAtMs = 0

  constructor (settings: RoutingSettings) {
    this.#settings = settings
  }

  /** When the last ejection period ends or ended; -Infinity before the first ejection. */
  get endsAtMs (): number {
    return this.#endsAtMs
  }

  state (nowMs: number): EjectionState {
    return this.#state === 'ejected' && nowMs >= this.#endsAtMs ? 'probe_due' : this.#state
  }

  /** Load added for recent failures, in requests; it decays exponentially. */
  failureLoad (nowMs: number): number {
    if (this.#failureLoadAtLastFailure === 0) return 0
    return this.#failureLoadAtLastFailure *
      0.5 ** ((nowMs - this.#lastFailureAtMs) / this.#settings.failureLoadHalfLifeMs)
  }

  /** Records that a request was sent; if a probe was due, this request is the probe. */
  recordDispatch (nowMs: number): void {
    if (this.state(nowMs) === 'probe_due') this.#state = 'probing'
  }

  /**
   * Records a success. During an ejection it is ignored, as the request was sent before; while a probe is in flight,
   * the first result of any request to the server counts as that of the probe.
   */
  recordSuccess (): void {
    if (this.#state === 'ejected') return
    this.#consecutiveFailures = 0
    this.#state = 'in_service'
  }

  /**
   * Records a failure. A failed probe always ejects the server again, as the server already counts as out of service.
   *
   * @param mayEject whether one more server may be out of service
   * @returns whether this failure ejected the server
   */
  recordFailure (nowMs: number, mayEject: boolean): boolean {
    this.#failureLoadAtLastFailure = this.failureLoad(nowMs) + this.#settings.failureLoadRequests
    this.#lastFailureAtMs = nowMs
    this.#consecutiveFailures++
    if (this.#state === 'ejected') return false
    const isProbe = this.#state === 'probing'
    if (!isProbe && (this.#consecutiveFailures < this.#settings.ejectAfterFailures || !mayEject)) return false
    this.#eject(nowMs)
    return true
  }

  /** Records a result that does not tell whether the server is healthy; if it was a probe, another probe is due. */
  recordInconclusive (): void {
    if (this.#state === 'probing') this.#state = 'ejected'
  }

  #eject (nowMs: number): void {
    const { ejectionBaseMs, ejectionMaxMs, ejectionMemoryMs } = this.#settings
    if (nowMs - this.#endsAtMs > ejectionMemoryMs) this.#recentEjections = 0
    const ejectionMs = Math.min(ejectionMaxMs, ejectionBaseMs * 2 ** this.#recentEjections)
    this.#recentEjections++
    this.#endsAtMs = nowMs + ejectionMs
    this.#state = 'ejected'
  }
}
