/** Carries out plans: placements, claims on capacity that other jobs still use, and the release of both. */
import type { PlacementDecision } from './decisions.js'
import type { Fleet } from './fleet.js'
import type { GangPlan, JobRecord } from './job-record.js'
import type { OrganisationUsage } from './organisations.js'
import { restorePlan, toPlacement } from './placements.js'

/** Options of {@link GangPlacer}. */
export interface GangPlacerOptions {
  /** The cells, which are rebuilt when the inventory changes. */
  readonly fleet: () => Fleet
  readonly usage: OrganisationUsage
}

/**
 * Updates cells and usage with each placement, claim and release, and collects the decisions and what was freed.
 *
 * A job with a plan that preempts others claims its cells: it is placed once all of these jobs have vacated them.
 */
export class GangPlacer {
  readonly #options: GangPlacerOptions
  /** Accelerator models whose available cells changed since the last pass, so that their jobs are tried again. */
  readonly freedModels = new Set<string>()
  /** Organisations that may have more quota left since the last pass. */
  readonly freedOrganisationIds = new Set<string>()
  /** Jobs whose claimed cells have been vacated by all preempted jobs; placed by the next pass. */
  readonly #readyClaims = new Set<JobRecord>()
  #decisions: PlacementDecision[] = []

  constructor (options: GangPlacerOptions) {
    this.#options = options
  }

  get #fleet (): Fleet {
    return this.#options.fleet()
  }

  /** Takes the decisions since the last call. */
  takeDecisions (): PlacementDecision[] {
    const decisions = this.#decisions
    this.#decisions = []
    return decisions
  }

  addDecision (decision: PlacementDecision): void {
    this.#decisions.push(decision)
  }

  /** Places a job that waits, or lets it claim its cells. */
  apply (job: JobRecord, plan: GangPlan, nowMs: number): void {
    job.plan = plan
    job.heldAccelerators = this.#fleet.acceleratorsOf(plan.cells)
    this.#options.usage.addInUse(job.spec.organisationId, job.heldAccelerators, nowMs)
    if (plan.victims.size === 0) this.#place(job, plan, nowMs)
    else this.#claim(job, plan)
  }

  /** Places the jobs whose claimed cells are vacant. */
  placeReadyClaims (nowMs: number): void {
    for (const job of this.#readyClaims) {
      const plan = job.plan!
      this.#place(job, plan, nowMs)
      // Released only after the job occupies the cells: a binding without users would be released.
      this.#fleet.releaseClaim(plan)
    }
    this.#readyClaims.clear()
  }

  /** Occupies the cells of a recorded placement, after a change of leader or of the inventory. */
  occupyRecorded (job: JobRecord, nowMs: number): void {
    const placement = job.placement!
    job.state = 'placed'
    job.plan = restorePlan(this.#fleet, job.spec, placement)
    job.heldAccelerators = placement.tasks.reduce((sum, task) => sum + task.acceleratorCount, 0)
    this.#fleet.occupy(job, job.plan)
    this.#options.usage.addInUse(job.spec.organisationId, job.heldAccelerators, nowMs)
  }

  /** The job waits again, and the jobs that it preempts are not awaited any more. */
  releaseClaim (job: JobRecord, nowMs: number): void {
    this.#fleet.releaseClaim(job.plan!)
    for (const victim of job.pendingVictims) victim.claimants.delete(job)
    job.pendingVictims.clear()
    this.#readyClaims.delete(job)
    this.#releaseCapacity(job, nowMs)
    job.state = 'waiting'
  }

  /** Frees the cells of a placed job, which jobs that claim them may then take. */
  vacate (job: JobRecord, nowMs: number): void {
    this.#fleet.vacate(job, job.plan!)
    this.#releaseCapacity(job, nowMs)
    job.placement = undefined
    job.isBeingPreempted = false
    for (const claimant of job.claimants) {
      claimant.pendingVictims.delete(job)
      if (claimant.pendingVictims.size === 0) this.#readyClaims.add(claimant)
    }
    job.claimants.clear()
  }

  #place (job: JobRecord, plan: GangPlan, nowMs: number): void {
    this.#fleet.occupy(job, plan)
    job.state = 'placed'
    job.startedMs = nowMs
    job.hasFailedTask = false
    job.placement = toPlacement(this.#fleet.tree, plan)
    this.addDecision({ kind: 'place', jobId: job.spec.jobId, placement: job.placement })
  }

  #claim (job: JobRecord, plan: GangPlan): void {
    job.state = 'claiming'
    this.#fleet.claim(job, plan)
    for (const victim of plan.victims) {
      victim.claimants.add(job)
      job.pendingVictims.add(victim)
      if (!victim.isBeingPreempted && !victim.isTerminating) this.#preempt(victim, job, plan)
    }
  }

  #preempt (victim: JobRecord, claimant: JobRecord, plan: GangPlan): void {
    victim.isBeingPreempted = true
    this.addDecision({
      kind: 'reclaim',
      jobId: victim.spec.jobId,
      method: victim.spec.preemption === 'checkpoint' ? 'checkpoint' : 'stop',
      forJobId: claimant.spec.jobId,
      reason: `job ${claimant.spec.jobId} needs the capacity: ${plan.reason}`
    })
  }

  #releaseCapacity (job: JobRecord, nowMs: number): void {
    this.#options.usage.addInUse(job.spec.organisationId, -job.heldAccelerators, nowMs)
    job.heldAccelerators = 0
    job.plan = undefined
    this.freedModels.add(job.spec.acceleratorModel)
    this.freedOrganisationIds.add(job.spec.organisationId)
  }
}
