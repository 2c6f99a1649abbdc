/** The search for a plan for one job, over free cells, guaranteed cells and lent cells that others leave. */
import type { JobPriority, JobSpec } from '@comfreygrade/core'
import { ClaimSearch } from './claim-search.js'
import type { Fleet } from './fleet.js'
import { FreeSearch } from './free-search.js'
import { type GangPlan, type JobRecord, isReclaimable } from './jobs.js'
import { type PlacementPolicy, comparePriority } from './policies.js'
import type { ReservationBook } from './reservation-book.js'
import type { PlacementSettings } from './settings.js'

/** Run time whose loss doubles the cost of stopping a job that cannot be checkpointed. */
const LOST_WORK_UNIT_MS = 60_000
/** Factors on the cost of asking a job to leave; jobs beyond their declared run time leave first. */
const PRIORITY_COST: Readonly<Record<JobPriority, number>> = { urgent: 100, normal: 2, low: 1 }
const OVERRUN_COST = 0.1

/** Finds plans without carrying them out; new bindings of a guaranteed plan are released with its last task. */
export class PlanFinder {
  readonly #fleet: Fleet
  readonly #policy: PlacementPolicy
  readonly #reservations: ReservationBook
  readonly #estimateRunMs: (spec: JobSpec) => number
  readonly #freeSearch: FreeSearch
  readonly #claimSearch: ClaimSearch
  /** Shapes that did not fit into free cells since capacity of their model was freed. */
  readonly #unfit = new Map<string, Set<string>>()
  #nowMs = 0

  constructor (
    fleet: Fleet, settings: PlacementSettings, policy: PlacementPolicy, reservations: ReservationBook,
    estimateRunMs: (spec: JobSpec) => number
  ) {
    this.#fleet = fleet
    this.#policy = policy
    this.#reservations = reservations
    this.#estimateRunMs = estimateRunMs
    this.#freeSearch = new FreeSearch(fleet, policy)
    this.#claimSearch = new ClaimSearch(fleet, settings)
  }

  /** Capacity of a model was freed: shapes that did not fit are tried again. */
  freed (acceleratorModel: string): void {
    this.#unfit.delete(acceleratorModel)
  }

  /**
   * A plan of at most `room` accelerators. Free cells go first, so that guaranteed cells are bound and lent jobs
   * reclaimed only where nothing is free.
   */
  find (job: JobRecord, room: number, nowMs: number): GangPlan | undefined {
    this.#nowMs = nowMs
    return this.#findFree(job, room) ?? this.#findGuaranteed(job) ?? this.#findReclaimed(job, room)
  }

  #findGuaranteed (job: JobRecord): GangPlan | undefined {
    if (!this.#policy.usesGuarantees()) return undefined
    return this.#claimSearch.findGuaranteed(job, victim => this.#victimCost(victim))
  }

  /** Lent cells that lower priorities leave to an urgent job. */
  #findReclaimed (job: JobRecord, room: number): GangPlan | undefined {
    if (job.spec.priority !== 'urgent' || !this.#policy.reclaimsForUrgent()) return undefined
    const mayLeave = (victim: JobRecord) => comparePriority(job.spec.priority, victim.spec.priority) < 0
    const plan = this.#claimSearch.findLent(job.shape, mayLeave, victim => this.#victimCost(victim))
    if (plan === undefined || this.#fleet.acceleratorsOf(plan.cells) > room) return undefined
    return this.#mayHold(job, plan.cells) ? plan : undefined
  }

  #findFree (job: JobRecord, room: number): GangPlan | undefined {
    const { spec, shape } = job
    const isShort = this.#endsBeforeReservation(job)
    const key = `${shape.key}|${isReclaimable(spec)}|${isShort}`
    const unfit = this.#unfitShapes(spec.acceleratorModel)
    if (job.failedWorkerIds.size === 0 && unfit.has(key)) return undefined
    const cells = this.#freeCells(job) ?? (isShort ? this.#reservations.without(() => this.#freeCells(job)) : undefined)
    if (cells === undefined) {
      if (job.failedWorkerIds.size === 0) unfit.add(key)
      return undefined
    }
    if (this.#fleet.acceleratorsOf(cells) > room) return undefined
    const reason = isReclaimable(spec)
      ? 'free cells, lent until a guarantee needs them'
      : 'free cells that no guarantee needs'
    return { capacityClass: 'lent', cells, bindings: [], victims: new Set(), reason }
  }

  #freeCells (job: JobRecord): number[] | undefined {
    if (!this.#policy.usesGuarantees() || isReclaimable(job.spec)) return this.#freeSearch.find(job.shape)
    const cells = this.#freeSearch.find(job.shape, cell => this.#fleet.held.isFree(cell))
    return cells !== undefined && this.#mayHold(job, cells) ? cells : undefined
  }

  /** A job that is never reclaimed may only hold what no guarantee needs. */
  #mayHold (job: JobRecord, cells: readonly number[]): boolean {
    return isReclaimable(job.spec) || !this.#policy.usesGuarantees() || this.#fleet.ledger.canHold(cells)
  }

  #endsBeforeReservation (job: JobRecord): boolean {
    const reservation = this.#reservations.of(job.spec.acceleratorModel)
    if (reservation === undefined || reservation.job === job) return false
    return this.#nowMs + this.#estimateRunMs(job.spec) <= reservation.startMs
  }

  #unfitShapes (model: string): Set<string> {
    let shapes = this.#unfit.get(model)
    if (shapes === undefined) {
      shapes = new Set()
      this.#unfit.set(model, shapes)
    }
    return shapes
  }

  #victimCost (victim: JobRecord): number {
    if (victim.isReclaiming || victim.isLeaving) return 0
    const { priority, preemption } = victim.spec
    const lostMs = preemption === 'checkpoint' ? 0 : this.#nowMs - victim.startedMs
    const lostWork = 1 + lostMs / LOST_WORK_UNIT_MS
    const overrun = this.#isOverrun(victim) ? OVERRUN_COST : 1
    return 1 + victim.heldAccelerators * PRIORITY_COST[priority] * lostWork * overrun
  }

  #isOverrun (job: JobRecord): boolean {
    return this.#nowMs - job.startedMs > job.spec.declaredRunMs
  }
}
