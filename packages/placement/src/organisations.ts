/** Usage of the fleet by organisation: quotas and attained service. */
import type { Organisation } from '@comfreygrade/core'

interface UsageRecord {
  acceleratorsInUse: number
  /**
   * Exponentially decayed accelerator-milliseconds up to `updatedMs`. Approximate: use since the last update is added
   * without decay, so the value depends on how often it is updated.
   */
  attainedAcceleratorMs: number
  updatedMs: number
}

/** Tracks the accelerators that each organisation uses, and its decayed past use for fair sharing. */
export class OrganisationUsage {
  readonly #halfLifeMs: number
  readonly #records = new Map<string, UsageRecord>()
  #organisations: ReadonlyMap<string, Organisation> = new Map()

  /** @param halfLifeMs time after which past use counts half */
  constructor (halfLifeMs: number) {
    this.#halfLifeMs = halfLifeMs
  }

  /** Replaces the organisations and their quotas; recorded usage is kept. */
  configure (organisations: ReadonlyMap<string, Organisation>): void {
    this.#organisations = organisations
  }

  /** Whether the organisation is in the configuration. */
  has (organisationId: string): boolean {
    return this.#organisations.has(organisationId)
  }

  /** Accelerators that the organisation may use at the same time; 0 if it is not in the configuration. */
  quota (organisationId: string): number {
    return this.#organisations.get(organisationId)?.quotaAccelerators ?? 0
  }

  /** Accelerators that the jobs of the organisation hold or have claimed. */
  inUse (organisationId: string): number {
    return this.#records.get(organisationId)?.acceleratorsInUse ?? 0
  }

  /** Changes the number of accelerators in use; negative to release them. */
  addInUse (organisationId: string, accelerators: number, nowMs: number): void {
    const record = this.#recordAt(organisationId, nowMs)
    record.acceleratorsInUse += accelerators
  }

  /**
   * Attained service relative to the quota: accelerators in use plus decayed past use, divided by the quota. Dividing
   * the past accelerator-milliseconds by the half-life turns them into accelerators.
   */
  attainedShare (organisationId: string, nowMs: number): number {
    const record = this.#recordAt(organisationId, nowMs)
    return (record.acceleratorsInUse + record.attainedAcceleratorMs / this.#halfLifeMs) /
      Math.max(1, this.quota(organisationId))
  }

  #recordAt (organisationId: string, nowMs: number): UsageRecord {
    let record = this.#records.get(organisationId)
    if (record === undefined) {
      record = { acceleratorsInUse: 0, attainedAcceleratorMs: 0, updatedMs: nowMs }
      this.#records.set(organisationId, record)
    }
    const elapsedMs = Math.max(0, nowMs - record.updatedMs)
    if (elapsedMs === 0) return record
    record.attainedAcceleratorMs =
      record.attainedAcceleratorMs * 2 ** (-elapsedMs / this.#halfLifeMs) + record.acceleratorsInUse * elapsedMs
    record.updatedMs = nowMs
    return record
  }
}
