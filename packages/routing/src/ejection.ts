/** Ejection of backend servers that fail, so that one that fails fast does not attract load. */
import type { RoutingSettings } from './settings.js'

/** Whether a server may be chosen; a server whose probe is due gets a single request. */
export type EjectionState = 'in_service' | 'ejected' | 'probe_due' | 'probing'

/**
 * Health of one server: in service, ejected for a growing gap, then probed with one request.
 *
 * @example
 * const ejection = new Ejection(defaultRoutingSettings)
 * if (ejection.failed(nowMs, true)) wakeAt(ejection.endsAtMs)
 */
export class Ejection {
  readonly #settings: RoutingSettings
  #failuresInRow = 0
  #ejections = 0
  #endsAtMs = -Infinity
  #state: 'in_service' | 'ejected' | 'probing' = 'in_service'
  #failureLoad = 0
  #failedAtMs = 0

  constructor (settings: RoutingSettings) {
    this.#settings = settings
  }

  /** When the present gap ends. */
  get endsAtMs (): number {
    return this.#endsAtMs
  }

  /** State at `nowMs`. */
  state (nowMs: number): EjectionState {
    return this.#state === 'ejected' && nowMs >= this.#endsAtMs ? 'probe_due' : this.#state
  }

  /** Load that recent failures stand for, in requests. */
  failureLoad (nowMs: number): number {
    if (this.#failureLoad === 0) return 0
    return this.#failureLoad * 0.5 ** ((nowMs - this.#failedAtMs) / this.#settings.failureLoadHalfLifeMs)
  }

  /** Takes the dispatch of a request. */
  dispatched (nowMs: number): void {
    if (this.state(nowMs) === 'probe_due') this.#state = 'probing'
  }

  /** Takes a success; while the server is ejected, answers to earlier requests do not bring it back. */
  succeeded (): void {
    if (this.#state === 'ejected') return
    this.#failuresInRow = 0
    this.#state = 'in_service'
  }

  /**
   * Takes a failure.
   *
   * @param isAllowed whether ejecting one more server is allowed
   * @returns whether the server is ejected by it
   */
  failed (nowMs: number, isAllowed: boolean): boolean {
    this.#failureLoad = this.failureLoad(nowMs) + this.#settings.failureLoadRequests
    this.#failedAtMs = nowMs
    this.#failuresInRow++
    if (this.#state === 'ejected') return false
    const isProbe = this.#state === 'probing'
    if (!isProbe && (this.#failuresInRow < this.#settings.ejectAfterFailures || !isAllowed)) return false
    this.#eject(nowMs)
    return true
  }

  /** Takes the end of a request that says nothing about the server; a probe is then due again. */
  undecided (): void {
    if (this.#state === 'probing') this.#state = 'ejected'
  }

  #eject (nowMs: number): void {
    const { ejectionBaseMs, ejectionMaxMs, ejectionMemoryMs } = this.#settings
    if (nowMs - this.#endsAtMs > ejectionMemoryMs) this.#ejections = 0
    const gapMs = Math.min(ejectionMaxMs, ejectionBaseMs * 2 ** this.#ejections)
    this.#ejections++
    this.#endsAtMs = nowMs + gapMs
    this.#state = 'ejected'
  }
}
