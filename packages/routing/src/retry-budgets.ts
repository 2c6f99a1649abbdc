/** Retry budgets, which keep retries from multiplying the load on a failing service. */
import type { RoutingSettings } from './settings.js'

/** A token bucket filled by requests and, at a low rate, over time. It is full at first. */
class TokenBucket {
  readonly #maxTokens: number
  readonly #tokensPerSecond: number
  #tokens: number
  #lastRefillAtMs: number

  constructor (maxTokens: number, perSecond: number, nowMs: number) {
    this.#maxTokens = maxTokens
    this.#tokensPerSecond = perSecond
    this.#tokens = maxTokens
    this.#lastRefillAtMs = nowMs
  }

  deposit (tokens: number): void {
    this.#tokens = Math.min(this.#maxTokens, this.#tokens + tokens)
  }

  /** Adds the tokens earned since the last call, and returns whether a token is left. */
  hasToken (nowMs: number): boolean {
    this.deposit((nowMs - this.#lastRefillAtMs) / 1000 * this.#tokensPerSecond)
    this.#lastRefillAtMs = nowMs
    return this.#tokens >= 1
  }

  withdraw (): void {
    this.#tokens--
  }
}

/**
 * A retry budget for each organisation and one for all organisations together.
 *
 * @example
 * budgets.deposit('salto-university', nowMs)
 * if (budgets.tryWithdraw('salto-university', nowMs)) retry()
 */
export class RetryBudgets {
  readonly #settings: RoutingSettings
  readonly #bucketsByOrganisation = new Map<string, TokenBucket>()
  #total: TokenBucket | undefined

  constructor (settings: RoutingSettings) {
    this.#settings = settings
  }

  /** Adds the tokens earned by the arrival of one request. */
  deposit (organisationId: string, nowMs: number): void {
    this.#organisationBucket(organisationId, nowMs).deposit(this.#settings.retryBudgetPerRequest)
    this.#totalBucket(nowMs).deposit(this.#settings.retryBudgetPerRequest)
  }

  /** Withdraws one token from both budgets, or nothing and returns false if either is empty. */
  tryWithdraw (organisationId: string, nowMs: number): boolean {
    const organisationBucket = this.#organisationBucket(organisationId, nowMs)
    const totalBucket = this.#totalBucket(nowMs)
    if (!organisationBucket.hasToken(nowMs) || !totalBucket.hasToken(nowMs)) return false
    organisationBucket.withdraw()
    totalBucket.withdraw()
    return true
  }

  /** Removes the budgets of organisations that are not keys of `organisations`, those no longer configured. */
  retainOrganisations (organisations: ReadonlyMap<string, number>): void {
    for (const id of this.#bucketsByOrganisation.keys()) {
      if (!organisations.has(id)) this.#bucketsByOrganisation.delete(id)
    }
  }

  #organisationBucket (organisationId: string, nowMs: number): TokenBucket {
    const existing = this.#bucketsByOrganisation.get(organisationId)
    if (existing !== undefined) return existing
    const { retryBudgetMaxTokens, retryBudgetMinPerSecond } = this.#settings
    const bucket = new TokenBucket(retryBudgetMaxTokens, retryBudgetMinPerSecond, nowMs)
    this.#bucketsByOrganisation.set(organisationId, bucket)
    return bucket
  }

  #totalBucket (nowMs: number): TokenBucket {
    const { retryBudgetMaxTokens, retryBudgetMinPerSecond, retryBudgetTotalFactor } = this.#settings
    this.#total ??= new TokenBucket(
      retryBudgetMaxTokens * retryBudgetTotalFactor, retryBudgetMinPerSecond * retryBudgetTotalFactor, nowMs)
    return this.#total
  }
}
