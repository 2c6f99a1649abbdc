/** Decides which urgent jobs are covered by the guarantees of their organisations. */
import type { BatchState } from './batch-state.js'
import type { JobRecord } from './job-record.js'

/** Compares the accelerators that each organisation's open jobs of priority 0 need with its guarantee. */
export class GuaranteeCoverage {
  readonly #state: BatchState
  readonly #demandByOrganisation = new Map<string, number>()

  constructor (state: BatchState) {
    this.#state = state
    for (const job of state.openJobs()) {
      if (!this.#isUrgent(job)) continue
      const demand = this.#demandByOrganisation.get(job.organisation) ?? 0
      this.#demandByOrganisation.set(job.organisation, demand + peakAccelerators(job))
    }
  }

  /** Whether the job is urgent and all urgent jobs of its organisation fit into the guarantee. */
  covers (job: JobRecord): boolean {
    if (!this.#isUrgent(job)) return false
    const guaranteed = this.#state.directory?.guaranteedAccelerators(job.organisation) ?? 0
    return (this.#demandByOrganisation.get(job.organisation) ?? 0) <= guaranteed
  }

  #isUrgent (job: JobRecord): boolean {
    return this.#state.directory?.at(job.queueAddress)?.priority === 0
  }
}

function peakAccelerators (job: JobRecord): number {
  return Math.max(0, ...job.spec.steps.map(step => step.taskCount * step.shape.acceleratorCount))
}
