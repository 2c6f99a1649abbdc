/** Use of the fleet by organisations: quotas and attained service. */
import type { Organisation } from '@comfreygrade/core'

interface OrganisationUse {
  acceleratorsInUse: number
  /** Decayed accelerator-milliseconds up to `updatedMs`. */
  attained: number
  updatedMs: number
}

/** Counts what organisations hold and have held. */
export class OrganisationShares {
  readonly #halfLifeMs: number
  readonly #uses = new Map<string, OrganisationUse>()
  #organisations: ReadonlyMap<string, Organisation> = new Map()

  /** @param halfLifeMs time in which past use counts half */
  constructor (halfLifeMs: number) {
    this.#halfLifeMs = halfLifeMs
  }

  /** Replaces the organisations and their quotas; use is kept. */
  configure (organisations: ReadonlyMap<string, Organisation>): void {
    this.#organisations = organisations
  }

  /** Whether the organisation is in the configuration. */
  has (organisationId: string): boolean {
    return this.#organisations.has(organisationId)
  }

  /** Accelerators that the organisation may hold at once; 0 for one that was removed. */
  quota (organisationId: string): number {
    return this.#organisations.get(organisationId)?.quotaAccelerators ?? 0
  }

  /** Accelerators that the organisation holds. */
  inUse (organisationId: string): number {
    return this.#uses.get(organisationId)?.acceleratorsInUse ?? 0
  }

  /** Adds or removes held accelerators. */
  change (organisationId: string, accelerators: number, nowMs: number): void {
    const use = this.#advance(organisationId, nowMs)
    use.acceleratorsInUse += accelerators
  }

  /** Attained service against the quota: held accelerators plus the decayed past, divided by the quota. */
  share (organisationId: string, nowMs: number): number {
    const use = this.#advance(organisationId, nowMs)
    return (use.acceleratorsInUse + use.attained / this.#halfLifeMs) / Math.max(1, this.quota(organisationId))
  }

  #advance (organisationId: string, nowMs: number): OrganisationUse {
    let use = this.#uses.get(organisationId)
    if (use === undefined) {
      use = { acceleratorsInUse: 0, attained: 0, updatedMs: nowMs }
      this.#uses.set(organisationId, use)
    }
    const elapsedMs = Math.max(0, nowMs - use.updatedMs)
    if (elapsedMs === 0) return use
    use.attained = use.attained * 2 ** (-elapsedMs / this.#halfLifeMs) + use.acceleratorsInUse * elapsedMs
    use.updatedMs = nowMs
    return use
  }
}
