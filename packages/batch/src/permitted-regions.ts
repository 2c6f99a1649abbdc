/** Regions in which the tasks of a job may run: those that both its queue and its organisation permit. */
import type { Failure } from '@comfreygrade/core'
import type { BatchState } from './batch-state.js'
import type { JobRecord } from './job-record.js'
import type { QueueConfiguration, QueueDirectory } from './queues.js'
import type { BatchSettings } from './settings.js'

/**
 * Rules of the configuration in force, also for jobs that were accepted under an earlier one. A worker whose zone the
 * settings do not name is in no region, and runs only tasks that may run in all regions.
 *
 * @example
 * const regions = new PermittedRegions(state, settings)
 * isInRegion(worker, regions.ofJob(job))
 */
export class PermittedRegions {
  readonly #state: BatchState
  readonly #regionByZone: Readonly<Record<string, string>>

  constructor (state: BatchState, { regionByAvailabilityZone }: Pick<BatchSettings, 'regionByAvailabilityZone'>) {
    this.#state = state
    this.#regionByZone = regionByAvailabilityZone
  }

  /** Regions that a job may run in; undefined for all. */
  ofJob (job: JobRecord): ReadonlySet<string> | undefined {
    return permittedRegions(this.#state.queueOf(job), this.#state.directory, job.organisation)
  }

  /** Whether a job with these regions may run in an availability zone. */
  includesZone (regions: ReadonlySet<string> | undefined, zone: string): boolean {
    if (regions === undefined) return true
    return Object.hasOwn(this.#regionByZone, zone) && regions.has(this.#regionByZone[zone] as string)
  }

  /** Why a job is refused that a directory permits in no region of the deployment. */
  refusalOf (queue: QueueConfiguration, organisation: string, directory: QueueDirectory): Failure | undefined {
    const regions = permittedRegions(queue, directory, organisation)
    if (regions === undefined || Object.values(this.#regionByZone).some(region => regions.has(region))) return undefined
    const detail = `queue ${queue.name} and organisation ${organisation} permit no common region of the deployment`
    return { kind: 'region_not_permitted', detail }
  }
}

function permittedRegions (
  queue: QueueConfiguration | undefined, directory: QueueDirectory | null, organisation: string
): ReadonlySet<string> | undefined {
  const { permittedRegions: ofQueue = [] } = queue ?? {}
  const ofOrganisation = directory?.permittedRegions(organisation) ?? []
  if (ofQueue.length === 0 && ofOrganisation.length === 0) return undefined
  if (ofQueue.length === 0) return new Set(ofOrganisation)
  if (ofOrganisation.length === 0) return new Set(ofQueue)
  return new Set(ofQueue.filter(region => ofOrganisation.includes(region)))
}
