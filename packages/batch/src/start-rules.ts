/** Rules under which a run must not start on a worker, whenever it was assigned there. */
import type { BatchState } from './batch-state.js'
import type { JobRecord } from './job-record.js'
import { PermittedRegions } from './permitted-regions.js'
import type { BatchSettings } from './settings.js'

/** Why a run must not start in an availability zone. */
export type StartObstacle = 'evacuation' | 'region'

/**
 * Applies the evacuations and the permitted regions, which may change between the assignment of a run and its start.
 *
 * @example
 * const rules = new StartRules(state, settings)
 * rules.obstacleIn(view.latest.availabilityZone, job) // 'evacuation'
 */
export class StartRules {
  readonly #state: BatchState
  readonly #regions: PermittedRegions

  constructor (state: BatchState, settings: BatchSettings) {
    this.#state = state
    this.#regions = new PermittedRegions(state, settings)
  }

  /** Whether there may be a zone in which the job must not start. */
  mayObstruct (job: JobRecord): boolean {
    return this.#state.evacuations.isAnyEvacuated || this.#regions.ofJob(job) !== undefined
  }

  /** Whether any rule is in force, for any job. */
  get isAnyInForce (): boolean {
    return this.#state.evacuations.isAnyEvacuated || this.#state.hasRegionRules
  }

  /** Whether there may be jobs that must not start in the zone. */
  mayObstructIn (zone: string): boolean {
    return this.#state.evacuations.isEvacuated(zone) || this.#state.hasRegionRules
  }

  /** Why a run of the job must not start in the zone; undefined where it may. */
  obstacleIn (zone: string, job: JobRecord): StartObstacle | undefined {
    if (this.#state.evacuations.isEvacuated(zone)) return 'evacuation'
    return this.#regions.includesZone(this.#regions.ofJob(job), zone) ? undefined : 'region'
  }
}
