/** Limits on retries, so that a failing service is not hit by a multiple of its load. */
import type { RoutingSettings } from './settings.js'

/** A token bucket that earns tokens with requests and, slowly, with time. */
class TokenBucket {
  readonly #maxTokens: number
  readonly #perSecond: number
  #tokens: number
  #refilledAtMs: number

  constructor (maxTokens: number, perSecond: number, nowMs: number) {
    this.#maxTokens = maxTokens
    this.#perSecond = perSecond
    this.#tokens = maxTokens
    this.#refilledAtMs = nowMs
  }

  earn (tokens: number): void {
    this.#tokens = Math.min(this.#maxTokens, this.#tokens + tokens)
  }

  hasToken (nowMs: number): boolean {
    this.earn((nowMs - this.#refilledAtMs) / 1000 * this.#perSecond)
    this.#refilledAtMs = nowMs
    return this.#tokens >= 1
  }

  spend (): void {
    this.#tokens--
  }
}

/**
 * One retry budget per organisation and one in total.
 *
 * @example
 * budgets.requestArrived('salto-university', nowMs)
 * if (budgets.tryTake('salto-university', nowMs)) retry()
 */
export class RetryBudgets {
  readonly #settings: RoutingSettings
  readonly #organisations = new Map<string, TokenBucket>()
  #total: TokenBucket | undefined

  constructor (settings: RoutingSettings) {
    this.#settings = settings
  }

  /** Earns the retries that belong to one request. */
  requestArrived (organisationId: string, nowMs: number): void {
    this.#organisation(organisationId, nowMs).earn(this.#settings.retryBudgetPerRequest)
    this.#totalBucket(nowMs).earn(this.#settings.retryBudgetPerRequest)
  }

  /** Takes one retry from both budgets, or nothing when either is empty. */
  tryTake (organisationId: string, nowMs: number): boolean {
    const organisation = this.#organisation(organisationId, nowMs)
    const total = this.#totalBucket(nowMs)
    if (!organisation.hasToken(nowMs) || !total.hasToken(nowMs)) return false
    organisation.spend()
    total.spend()
    return true
  }

  /** Forgets organisations that are no longer configured. */
  keepOnly (organisations: ReadonlyMap<string, number>): void {
    for (const id of this.#organisations.keys()) {
      if (!organisations.has(id)) this.#organisations.delete(id)
    }
  }

  #organisation (organisationId: string, nowMs: number): TokenBucket {
    const known = this.#organisations.get(organisationId)
    if (known !== undefined) return known
    const { retryBudgetMaxTokens, retryBudgetMinPerSecond } = this.#settings
    const bucket = new TokenBucket(retryBudgetMaxTokens, retryBudgetMinPerSecond, nowMs)
    this.#organisations.set(organisationId, bucket)
    return bucket
  }

  #totalBucket (nowMs: number): TokenBucket {
    const { retryBudgetMaxTokens, retryBudgetMinPerSecond, retryBudgetTotalFactor } = this.#settings
    this.#total ??= new TokenBucket(
      retryBudgetMaxTokens * retryBudgetTotalFactor, retryBudgetMinPerSecond * retryBudgetTotalFactor, nowMs)
    return this.#total
  }
}
