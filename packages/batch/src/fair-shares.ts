/**
 * Fair shares under contention: an organisation that submits most of the jobs does not keep the others waiting, also
 * where its jobs have the earlier objectives.
 */
import type { EventLog, Metrics } from '@comfreygrade/core'
import { isOverShare, OrganisationShares, type OrganisationUsage } from './organisation-shares.js'

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
 * Time constant of the debt. It is close to the objective of an ordinary urgent job, so that an organisation has paid
 * for a wave of its demand before the jobs that it submits afterwards are due.
 */
const DEBT_DECAY_MS = 5_000
/** Means below this share of the fleet are forgotten, so that organisations without work take up no memory. */
const MIN_MEAN_SHARE = 1e-4

/**
 * Attained service is the dominant share that an organisation occupies plus its debt, relative to an equal share among
 * the organisations that have work. The debt is what the organisation occupied on average, while others waited, beyond
 * what it occupies now, so that the end of a run does not make an organisation count as within its share at once. The
 * state is lost with the leader; debts are then missing for some {@link DEBT_DECAY_MS}, the occupied shares are not.
 *
 * @example
 * const shares = new FairShares({ metrics, log })
 * shares.update(new Map([['org-a', { dominantShare: 0.9 }]]), new Set(['org-b']), nowMs)
 * shares.attainedOf('org-a') // 1.8, of two organisations with work
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
    const elapsedMs = nowMs - (this.#updatedAtMs ?? nowMs)
    this.#updatedAtMs = nowMs
    const decay = Math.exp(-elapsedMs / DEBT_DECAY_MS)
    const withWork = new Set([...usage.keys(), ...waiting])
    const fairShare = 1 / Math.max(1, withWork.size)
    for (const organisation of new Set([...withWork, ...this.#accounts.keys()])) {
      const share = usage.get(organisation)?.dominantShare ?? 0
      const account = this.#accounts.get(organisation) ?? { meanShare: 0, attained: 0, isOver: false }
      const chargedShare = isWaitedFor(organisation, waiting) ? share : 0
      account.meanShare = account.meanShare * decay + chargedShare * (1 - decay)
      const debt = Math.max(0, account.meanShare - share)
      account.attained = (share + debt) / fairShare
      this.#recordTransition(organisation, account, withWork.size)
      if (withWork.has(organisation) || account.meanShare >= MIN_MEAN_SHARE) this.#accounts.set(organisation, account)
      else this.#accounts.delete(organisation)
    }
  }

  override attainedOf (organisation: string): number {
    return this.#accounts.get(organisation)?.attained ?? 0
  }

  #recordTransition (organisation: string, account: Account, organisations: number): void {
    const isOver = isOverShare(account.attained)
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
