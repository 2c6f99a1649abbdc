/** Which urgent jobs the guarantees of their organisations cover. */
import type { BatchState } from './batch-state.js'
import type { JobRecord } from './job-record.js'

/** Accelerators that the open jobs of priority 0 of each organisation need, against its guarantee. */
export class GuaranteeLedger {
  readonly #state: BatchState
  readonly #neededByOrganisation = new Map<string, number>()

  constructor (state: BatchState) {
    this.#state = state
    for (const job of state.openJobs()) {
      if (!this.#isUrgent(job)) continue
      const needed = this.#neededByOrganisation.get(job.organisation) ?? 0
      this.#neededByOrganisation.set(job.organisation, needed + widestStepAccelerators(job))
    }
  }

  /** Whether all urgent jobs of the job's organisation fit into its guarantee. */
  covers (job: JobRecord): boolean {
    if (!this.#isUrgent(job)) return false
    const guaranteed = this.#state.directory?.guaranteedAccelerators(job.organisation) ?? 0
    return (this.#neededByOrganisation.get(job.organisation) ?? 0) <= guaranteed
  }

  #isUrgent (job: JobRecord): boolean {
    return this.#state.directory?.at(job.queueAddress)?.priority === 0
  }
}

function widestStepAccelerators (job: JobRecord): number {
  return Math.max(0, ...job.spec.steps.map(step => step.taskCount * step.shape.acceleratorCount))
}
