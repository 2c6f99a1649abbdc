/**
 * Fair shares under contention: an organisation that submits most of the jobs does not keep the others waiting, also
 * where its jobs have the earlier objectives.
 */
import type { EventLog, Metrics } from '@comfreygrade/core'
import { OrganisationShares, type OrganisationUsage } from './organisation-shares.js'

/** Ports of {@link FairShares}. */
export interface FairSharesOptions {
  readonly metrics: Metrics
  readonly log: EventLog
}

interface Account {
  /** Decayed mean of the share of the fleet that the organisation occupied while others waited. */
  meanShare: number
  attained: number
  isOver: boolean
}

/**
 * Time constant of the means. It is close to the objective of an ordinary urgent job, so that an organisation has paid
 * for a wave of its demand before the jobs that it submits afterwards are due.
 */
const MEAN_DECAY_MS = 5_000
/** Means below this share of the fleet are forgotten, so that organisations without work take up no memory. */
const MIN_MEAN_SHARE = 1e-4

/**
 * Attained service is the dominant share that an organisation occupies plus its debt, relative to an equal share among
 * the organisations that have work. The debt is what the organisation occupied on average, while others waited, beyond
 * what it occupies now. An organisation is over its share where its attained service is nearer to the whole fleet than
 * to an equal share, as ratios: small differences, and single gangs, do not reorder jobs. The state is lost with the
 * leader; debts are then missing for some {@link MEAN_DECAY_MS}, the occupied shares are not.
 *
 * @example
 * const shares = new FairShares({ metrics, log })
 * shares.update(usage, waiting, nowMs)
 * shares.attainedOf('org-a') // 1.8 where it occupies 90 %, and one other organisation has work
 */
export class FairShares extends OrganisationShares {
  readonly #options: FairSharesOptions
  readonly #accounts = new Map<string, Account>()
  #updatedAtMs: number | undefined

  constructor (options: FairSharesOptions) {
    super()
    this.#options = options
  }

  override update (
    usage: ReadonlyMap<string, OrganisationUsage>, waiting: ReadonlySet<string>, nowMs: number
  ): void {
    const decay = Math.exp(-(nowMs - (this.#updatedAtMs ?? nowMs)) / MEAN_DECAY_MS)
    this.#updatedAtMs = nowMs
    const withWork = new Set([...usage.keys(), ...waiting])
    for (const organisation of new Set([...withWork, ...this.#accounts.keys()])) {
      const share = usage.get(organisation)?.dominantShare ?? 0
      const account = this.#accounts.get(organisation) ?? { meanShare: 0, attained: 0, isOver: false }
      const chargedShare = isWaitedFor(organisation, waiting) ? share : 0
      account.meanShare = account.meanShare * decay + chargedShare * (1 - decay)
      if (waiting.size > 0) this.#updateAttained(organisation, account, share, withWork.size)
      if (withWork.has(organisation) || account.meanShare >= MIN_MEAN_SHARE) this.#accounts.set(organisation, account)
      else this.#accounts.delete(organisation)
    }
  }

  override attainedOf (organisation: string): number {
    return this.#accounts.get(organisation)?.attained ?? 0
  }

  override isOverShare (organisation: string): boolean {
    return this.#accounts.get(organisation)?.isOver ?? false
  }

  /** Nothing depends on attained service while no step waits, so it is not reported as having changed then. */
  #updateAttained (organisation: string, account: Account, share: number, organisations: number): void {
    const debt = Math.max(0, account.meanShare - share)
    account.attained = (share + debt) * organisations
    const isOver = account.attained > Math.sqrt(organisations)
    if (isOver === account.isOver) return
    account.isOver = isOver
    const { metrics, log } = this.#options
    if (isOver) metrics.increment('share.exceeded')
    const attainedPercent = Math.round(account.attained * 100)
    log.info(isOver ? 'organisation exceeds its share' : 'organisation is within its share again', {
      organisation, attainedPercent, organisations
    })
  }
}

/** Whether an organisation other than this one waits for capacity. */
function isWaitedFor (organisation: string, waiting: ReadonlySet<string>): boolean {
  return waiting.size > (waiting.has(organisation) ? 1 : 0)
}
