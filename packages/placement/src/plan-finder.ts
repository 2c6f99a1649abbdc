/** Finds a plan for one job: in free cells, in guaranteed cells, or in lent cells of jobs that can be preempted. */
import type { JobPriority, JobSpec } from '@comfreygrade/core'
import { PreemptionSearch } from './preemption-search.js'
import type { Fleet } from './fleet.js'
import { FreeCellSearch } from './free-cell-search.js'
import { type GangPlan, type JobRecord, isPreemptible } from './job-record.js'
import { type PlacementPolicy, comparePriority } from './policies.js'
import type { ReservationTable } from './reservation-table.js'
import type { PlacementSettings } from './settings.js'

/** Run time whose loss adds the base cost of preempting a job without checkpoints once more. */
const LOST_WORK_UNIT_MS = 60_000
/** Factor on the preemption cost of a job by its priority; jobs of low priority are preferred as victims. */
const PRIORITY_COST_FACTOR: Readonly<Record<JobPriority, number>> = { urgent: 100, normal: 2, low: 1 }
/** Factor on the preemption cost of jobs that exceed their declared run time, so that they are preferred as victims. */
const OVERRUN_COST_FACTOR = 0.1

/**
 * Finds plans without applying them. The cells of a guaranteed plan are bound when it is returned, so the caller must
 * occupy or claim them at once: a binding is released only when its last user leaves.
 */
export class PlanFinder {
  readonly #fleet: Fleet
  readonly #policy: PlacementPolicy
  readonly #reservations: ReservationTable
  readonly #estimateRunMs: (spec: JobSpec) => number
  readonly #freeCellSearch: FreeCellSearch
  readonly #preemptionSearch: PreemptionSearch
  /** Searches of free cells that failed since capacity was last freed, by accelerator model; they are not repeated. */
  readonly #failedSearches = new Map<string, Set<string>>()
  #nowMs = 0

  constructor (
    fleet: Fleet, settings: PlacementSettings, policy: PlacementPolicy, reservations: ReservationTable,
    estimateRunMs: (spec: JobSpec) => number
  ) {
    this.#fleet = fleet
    this.#policy = policy
    this.#reservations = reservations
    this.#estimateRunMs = estimateRunMs
    this.#freeCellSearch = new FreeCellSearch(fleet, policy)
    this.#preemptionSearch = new PreemptionSearch(fleet, settings)
  }

  /** Allows failed searches to be repeated because capacity of the model was freed. */
  capacityFreed (acceleratorModel: string): void {
    this.#failedSearches.delete(acceleratorModel)
  }

  /**
   * Finds a plan. Free cells come first, so that guaranteed cells are bound and jobs preempted only if the gang does
   * not fit into free cells, or if the free cells found exceed the remaining quota.
   *
   * @param remainingQuota most accelerators of a plan on lent capacity; a guaranteed plan is not compared with it
   */
  find (job: JobRecord, remainingQuota: number, nowMs: number): GangPlan | undefined {
    this.#nowMs = nowMs
    return this.#findFree(job, remainingQuota) ?? this.#findGuaranteed(job) ?? this.#findForUrgent(job, remainingQuota)
  }

  #findGuaranteed (job: JobRecord): GangPlan | undefined {
    if (!this.#policy.usesGuarantees()) return undefined
    return this.#preemptionSearch.findGuaranteed(job, victim => this.#preemptionCost(victim))
  }

  /** Finds lent cells for an urgent job by preempting jobs of lower priority. */
  #findForUrgent (job: JobRecord, remainingQuota: number): GangPlan | undefined {
    if (job.spec.priority !== 'urgent' || !this.#policy.preemptsForUrgent()) return undefined
    const isVictim = (victim: JobRecord) => comparePriority(job.spec.priority, victim.spec.priority) < 0
    const plan = this.#preemptionSearch.findLent(job.shape, isVictim, victim => this.#preemptionCost(victim))
    if (plan === undefined || this.#fleet.acceleratorsOf(plan.cells) > remainingQuota) return undefined
    return this.#preservesGuarantees(job, plan.cells) ? plan : undefined
  }

  #findFree (job: JobRecord, remainingQuota: number): GangPlan | undefined {
    const { spec, shape } = job
    const endsBeforeReservation = this.#endsBeforeReservation(job)
    const key = `${shape.key}|${isPreemptible(spec)}|${endsBeforeReservation}`
    const failedSearches = this.#failedSearchesFor(spec.acceleratorModel)
    if (job.failedWorkerIds.size === 0 && failedSearches.has(key)) return undefined
    const cells = this.#findFreeCells(job) ??
      (endsBeforeReservation ? this.#reservations.withoutReservations(() => this.#findFreeCells(job)) : undefined)
    if (cells === undefined) {
      if (job.failedWorkerIds.size === 0) failedSearches.add(key)
      return undefined
    }
    if (this.#fleet.acceleratorsOf(cells) > remainingQuota) return undefined
    const reason = isPreemptible(spec)
      ? 'free cells, lent until a guarantee needs them'
      : 'free cells that no guarantee needs'
    return { capacityClass: 'lent', cells, bindings: [], victims: new Set(), reason }
  }

  #findFreeCells (job: JobRecord): number[] | undefined {
    if (!this.#policy.usesGuarantees() || isPreemptible(job.spec)) return this.#freeCellSearch.find(job.shape)
    const cells = this.#freeCellSearch.find(job.shape, cell => this.#fleet.committed.isFree(cell))
    return cells !== undefined && this.#preservesGuarantees(job, cells) ? cells : undefined
  }

  /** A non-preemptible job may only use capacity that no guarantee needs. */
  #preservesGuarantees (job: JobRecord, cells: readonly number[]): boolean {
    return isPreemptible(job.spec) || !this.#policy.usesGuarantees() || this.#fleet.guarantees.canCommit(cells)
  }

  #endsBeforeReservation (job: JobRecord): boolean {
    const reservation = this.#reservations.forModel(job.spec.acceleratorModel)
    if (reservation === undefined || reservation.job === job) return false
    return this.#nowMs + this.#estimateRunMs(job.spec) <= reservation.startMs
  }

  #failedSearchesFor (model: string): Set<string> {
    let keys = this.#failedSearches.get(model)
    if (keys === undefined) {
      keys = new Set()
      this.#failedSearches.set(model, keys)
    }
    return keys
  }

  /** The part that does not depend on the job's size counts jobs, so that fewer are preempted at about equal cost. */
  #preemptionCost (victim: JobRecord): number {
    if (victim.isBeingPreempted || victim.isTerminating) return 0
    const { priority, preemption } = victim.spec
    const lostMs = preemption === 'checkpoint' ? 0 : this.#nowMs - victim.startedMs
    const lostWork = 1 + lostMs / LOST_WORK_UNIT_MS
    const overrun = this.#exceedsDeclaredRunTime(victim) ? OVERRUN_COST_FACTOR : 1
    return 1 + victim.heldAccelerators * PRIORITY_COST_FACTOR[priority] * lostWork * overrun
  }

  #exceedsDeclaredRunTime (job: JobRecord): boolean {
    return this.#nowMs - job.startedMs > job.spec.declaredRunMs
  }
}
