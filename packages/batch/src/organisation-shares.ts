/** How the organisations share the capacity that no guarantee binds. */

/** Resources that an organisation occupies now, as shares of the fleet. */
export interface OrganisationUsage {
  /** Share of the resource of which the organisation occupies the largest share (its dominant resource). */
  readonly dominantShare: number
}

/** Attained service of the organisations; each rule of sharing is a subclass. */
export abstract class OrganisationShares {
  /** Takes the usage at the start of a scheduling pass; `waiting` are the organisations with steps that wait. */
  abstract update (
    usage: ReadonlyMap<string, OrganisationUsage>, waiting: ReadonlySet<string>, nowMs: number
  ): void

  /** Attained service as a multiple of the fair share: 1 at the share, more beyond it, 0 without any service. */
  abstract attainedOf (organisation: string): number
}

/** Counts every organisation as being at its share. */
export class UnlimitedShares extends OrganisationShares {
  override update (): void {}

  override attainedOf (): number {
    return 1
  }
}

/**
 * Attained service from which an organisation counts as over its share. One large gang more or less than its share
 * would otherwise reorder the jobs of organisations with like demand.
 */
const OVER_SHARE = 1.5

/** Whether attained service is over the share by more than the size of a few jobs. */
export function isOverShare (attained: number): boolean {
  return attained > OVER_SHARE
}

/**
 * Coarse step of attained service: 0 up to about the share, and one more for each doubling beyond it. Small differences
 * do not reorder jobs.
 *
 * @example
 * shareStep(0.4) === shareStep(1.2) // true
 */
export function shareStep (attained: number): number {
  return isOverShare(attained) ? 1 + Math.floor(Math.log2(attained / OVER_SHARE)) : 0
}
