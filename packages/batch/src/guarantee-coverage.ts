/** Decides which urgent jobs are covered by the guarantees of their organisations. */
import type { BatchState } from './batch-state.js'
import type { JobRecord } from './job-record.js'
import type { JobSpec } from './jobs.js'
import type { QueueConfiguration } from './queues.js'

/**
 * Compares the demand of each organisation's open jobs of priority 0 with its guarantee, which is in accelerators. The
 * demand of a job is that of its widest step, done or not; steps and occurrences that run at the same time are not
 * added up. A job without accelerators has no demand.
 */
export class GuaranteeCoverage {
  readonly #state: BatchState
  readonly #demandByOrganisation = new Map<string, number>()

  constructor (state: BatchState) {
    this.#state = state
    for (const job of state.openJobs()) {
      if (!this.#isUrgent(job)) continue
      const demand = this.#demandByOrganisation.get(job.organisation) ?? 0
      this.#demandByOrganisation.set(job.organisation, demand + widestStepAccelerators(job.spec))
    }
  }

  /**
   * Whether the job is urgent and all urgent jobs of its organisation fit into the guarantee. Urgent jobs of an
   * organisation without a guarantee are covered where none of them needs accelerators.
   */
  covers (job: JobRecord): boolean {
    if (!this.#isUrgent(job)) return false
    const guaranteed = this.#state.directory?.guaranteedAccelerators(job.organisation) ?? 0
    return (this.#demandByOrganisation.get(job.organisation) ?? 0) <= guaranteed
  }

  /** Whether a new job is urgent and fits into the guarantee beside the open urgent jobs of its organisation. */
  wouldCover (spec: JobSpec, { priority }: QueueConfiguration, organisation: string): boolean {
    const demand = (this.#demandByOrganisation.get(organisation) ?? 0) + widestStepAccelerators(spec)
    return priority === 0 && demand <= (this.#state.directory?.guaranteedAccelerators(organisation) ?? 0)
  }

  #isUrgent (job: JobRecord): boolean {
    return this.#state.queueOf(job)?.priority === 0
  }
}

function widestStepAccelerators ({ steps }: JobSpec): number {
  return Math.max(0, ...steps.map(step => step.taskCount * step.shape.acceleratorCount))
}
