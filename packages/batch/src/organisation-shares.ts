/** How the organisations share the capacity that no guarantee binds. */

/** Resources that an organisation occupies now, as shares of the fleet. */
export interface OrganisationUsage {
  /** Share of the resource of which the organisation occupies the largest share (its dominant resource). */
  readonly dominantShare: number
}

/** Attained service of the organisations; each rule of sharing is a subclass. */
export abstract class OrganisationShares {
  /**
   * Takes the usage at the start of a scheduling pass; `waiting` are the organisations with steps that wait. Where
   * there are none, the usage may be empty.
   */
  abstract update (
    usage: ReadonlyMap<string, OrganisationUsage>, waiting: ReadonlySet<string>, nowMs: number
  ): void

  /** Attained service as a multiple of the fair share: 1 at the share, more beyond it, 0 without any service. */
  abstract attainedOf (organisation: string): number

  /** Whether attained service is so far over the share that jobs of the others go first. */
  abstract isOverShare (organisation: string): boolean
}

/** Counts every organisation as being at its share. */
export class UnlimitedShares extends OrganisationShares {
  override update (): void {}

  override attainedOf (): number {
    return 1
  }

  override isOverShare (): boolean {
    return false
  }
}
