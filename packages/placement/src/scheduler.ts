/** The gang scheduler: which jobs start where, which leave lent capacity, and which are stopped. */
import {
  type Configuration, type Failure, type JobExplanation, type JobPriority, type JobSpec, type Placement, type Rules,
  defaultRules, emptyConfiguration, failure
} from '@comfreygrade/core'
import { ClaimSearch } from './claim-search.js'
import type { FleetReport, PlacementDecision, ReclaimCheck } from './decisions.js'
import { ExplanationWriter, type ExplainedState } from './explanations.js'
import { Fleet } from './fleet.js'
import { buildFleetReport } from './fleet-report.js'
import { FreeSearch } from './free-search.js'
import { type GangPlan, type JobRecord, createRecord, isReclaimable } from './jobs.js'
import { OrganisationShares } from './organisations.js'
import { planOf, placementOf } from './placements.js'
import { type PlacementPolicy, type WaitingHead, comparePriority } from './policies.js'
import { validateGuarantees } from './reclaim-check.js'
import { type Reservation, StartForecaster } from './reservations.js'
import { RunTimeHistory } from './run-times.js'
import type { PlacementSettings } from './settings.js'
import { type GangShape, ShapeTable } from './shapes.js'
import { Heap, type WaitingGroup, WaitingJobs, type WaitingQueue } from './waiting-jobs.js'
import { WorkerHealth } from './worker-health.js'

/** A job that runs longer than its estimate is expected to need this share of its time so far once more. */
const OVERRUN_EXTENSION = 0.5
const OVERRUN_EXTENSION_MIN_MS = 1_000

/** Run time whose loss doubles the cost of stopping a job that cannot be checkpointed. */
const LOST_WORK_UNIT_MS = 60_000
/** Factors on the cost of asking a job to leave; jobs beyond their declared run time leave first. */
const PRIORITY_COST: Readonly<Record<JobPriority, number>> = { urgent: 100, normal: 2, low: 1 }
const OVERRUN_COST = 0.1

/** Outcome of trying one waiting job. */
type Trial = 'placed' | 'claimed' | 'no_fit' | 'over_quota' | 'stopped'

interface QueueEntry {
  readonly group: WaitingGroup
  readonly job: JobRecord
  readonly head: WaitingHead
}

/**
 * Places gangs under guarantees. All calls are synchronous; decisions take effect in the scheduler's index at once.
 *
 * @example
 * const scheduler = new GangScheduler(defaultPlacementSettings, new BuddyCellPolicy())
 * scheduler.applyConfiguration(configuration)
 * scheduler.workerJoined('w1', nowMs)
 * scheduler.submit(job, nowMs)
 * for (const decision of scheduler.pass(nowMs)) carryOut(decision)
 */
export class GangScheduler {
  readonly #settings: PlacementSettings
  readonly #policy: PlacementPolicy
  readonly #shares: OrganisationShares
  readonly #history: RunTimeHistory
  readonly #health: WorkerHealth
  readonly #jobs = new Map<string, JobRecord>()
  readonly #joined = new Set<string>()
  readonly #draining = new Set<string>()
  readonly #reservations = new Map<string, Reservation>()
  /** First job that did not fit, by accelerator model; only where the policy does not backfill. */
  readonly #blocked = new Map<string, JobRecord>()
  /** When a job that holds or held a reservation becomes overdue. */
  readonly #dueMs = new WeakMap<JobRecord, number>()
  readonly #readyClaims = new Set<JobRecord>()
  /** Shapes that did not fit into free cells since capacity of their model was freed. */
  readonly #unfit = new Map<string, Set<string>>()
  readonly #freedModels = new Set<string>()
  readonly #freedOrganisationIds = new Set<string>()
  readonly #refused = new Map<string, Failure>()
  #configuration: Configuration = emptyConfiguration()
  #rules: Rules = defaultRules
  #waiting = new WaitingJobs()
  #fleet!: Fleet
  #shapes!: ShapeTable
  #freeSearch!: FreeSearch
  #claimSearch!: ClaimSearch
  #forecaster!: StartForecaster
  #decisions: PlacementDecision[] = []
  #nextSequence = 1
  #failedTrials = 0
  #nowMs = 0

  /**
   * @param settings numbers; see `defaultPlacementSettings`
   * @param policy `BuddyCellPolicy`, or the baseline `FirstFitPolicy`
   */
  constructor (settings: PlacementSettings, policy: PlacementPolicy) {
    this.#settings = settings
    this.#policy = policy
    this.#shares = new OrganisationShares(settings.serviceHalfLifeMs)
    this.#history = new RunTimeHistory(settings)
    this.#health = new WorkerHealth(settings)
    this.#buildIndex()
  }

  /**
   * Checks that an inventory can hold its guarantees.
   *
   * @returns `guarantee_unsatisfiable` with the missing cells, or undefined
   */
  static validateGuarantees (configuration: Configuration): Failure | undefined {
    return validateGuarantees(configuration)
  }

  /** Takes a configuration into force. Running jobs stay; the index is rebuilt where cells or guarantees change. */
  applyConfiguration (configuration: Configuration): void {
    const before = this.#configuration
    this.#configuration = configuration
    this.#rules = configuration.rules
    this.#shares.configure(configuration.organisations)
    const isSameIndex = before.workers === configuration.workers && before.guarantees === configuration.guarantees
    if (!isSameIndex) this.#rebuildIndex()
    for (const organisationId of configuration.organisations.keys()) this.#freedOrganisationIds.add(organisationId)
  }

  /** A worker joined; it takes part once it is also in the configuration. */
  workerJoined (workerId: string, nowMs: number): void {
    this.#advance(nowMs)
    this.#joined.add(workerId)
    this.#refreshWorker(workerId)
  }

  /** A worker was lost; its jobs stay until `ended` or `reclaimed` is called for them. */
  workerLost (workerId: string, nowMs: number): void {
    this.#advance(nowMs)
    this.#joined.delete(workerId)
    this.#refreshWorker(workerId)
  }

  /** The worker gets no new tasks; running ones stay. */
  drainWorker (workerId: string): void {
    this.#draining.add(workerId)
    this.#refreshWorker(workerId)
  }

  /** Ends a drain. */
  undrainWorker (workerId: string): void {
    this.#draining.delete(workerId)
    this.#refreshWorker(workerId)
  }

  /**
   * Adds a job to the waiting ones.
   *
   * @returns `unknown_organisation`, `impossible_shape`, `quota_exceeded` or `job_exists`; undefined where it waits now
   */
  submit (spec: JobSpec, nowMs: number): Failure | undefined {
    this.#advance(nowMs)
    const shape = this.#shapes.of(spec)
    const refusal = this.#refusal(spec, shape)
    if (refusal === undefined) {
      this.#enqueue(createRecord(spec, shape, this.#nextSequence++, nowMs))
      return undefined
    }
    if (refusal.kind !== 'job_exists') this.#remember(spec.jobId, refusal)
    return refusal
  }

  /** Puts back a job that runs, after a change of leader. */
  restore (spec: JobSpec, placement: Placement, startedMs: number): void {
    const job = createRecord(spec, this.#shapes.of(spec), this.#nextSequence++, startedMs)
    job.startedMs = startedMs
    job.placement = placement
    this.#jobs.set(spec.jobId, job)
    this.#seat(job)
  }

  /** Ends a waiting job at once; a placed one keeps its cells until `ended`. */
  cancel (jobId: string, nowMs: number): void {
    this.#advance(nowMs)
    const job = this.#jobs.get(jobId)
    if (job === undefined) return
    if (job.state === 'placed') job.isLeaving = true
    else this.#withdraw(job)
  }

  /** A task failed on a worker. The job keeps its cells until `ended` or `reclaimed`. */
  taskFailed (jobId: string, workerId: string, nowMs: number): void {
    this.#advance(nowMs)
    const job = this.#jobs.get(jobId)
    if (job === undefined || job.isLeaving) return
    const isWaiting = job.group !== undefined
    if (isWaiting) this.#waiting.remove(job)
    job.hasFailedTask = true
    job.failedWorkerIds.add(workerId)
    if (isWaiting) this.#waiting.add(job)
    if (this.#health.failed(workerId, jobId, nowMs)) this.#refreshWorker(workerId)
    if (job.failedWorkerIds.size < this.#settings.maxFailedPlacements) return
    this.#stop(job, `tasks failed on ${job.failedWorkerIds.size} different workers`)
  }

  /** All leases of the job are released; its cells are free. */
  ended (jobId: string, nowMs: number): void {
    this.#advance(nowMs)
    const job = this.#jobs.get(jobId)
    if (job === undefined) return
    if (job.state !== 'placed') {
      this.#withdraw(job)
      return
    }
    if (!job.hasFailedTask && !job.isLeaving && !job.isReclaiming) this.#learn(job, nowMs)
    this.#vacate(job)
    this.#jobs.delete(jobId)
  }

  /** A job that was asked to leave, or whose gang has to start again, has left its cells and waits. */
  reclaimed (jobId: string, nowMs: number): void {
    this.#advance(nowMs)
    const job = this.#jobs.get(jobId)
    if (job === undefined || job.state !== 'placed') return
    this.#vacate(job)
    if (job.isLeaving) {
      this.#jobs.delete(jobId)
      return
    }
    this.#enqueue(job)
  }

  /** One scheduling pass: places what fits and asks lent jobs to leave where guarantees or urgent jobs need it. */
  pass (nowMs: number): PlacementDecision[] {
    this.#advance(nowMs)
    for (const workerId of this.#health.release(nowMs)) this.#refreshWorker(workerId)
    this.#placeReadyClaims()
    const freedModels = new Set(this.#freedModels)
    this.#freedModels.clear()
    this.#reopen(freedModels)
    this.#serveQueue(freedModels)
    const decisions = this.#decisions
    this.#decisions = []
    return decisions
  }

  /** Why a job waits, on whom, and for how long; or how it was placed or refused. */
  explain (jobId: string, nowMs: number): JobExplanation {
    this.#advance(nowMs)
    return new ExplanationWriter(this.#explainedState()).explain(jobId, nowMs)
  }

  /** State of the fleet for operators. */
  report (): FleetReport {
    return this.#withoutReservations(() => buildFleetReport({
      fleet: this.#fleet,
      jobs: [...this.#jobs.values()],
      waitingJobs: this.#waiting.size,
      quarantinedWorkerIds: this.#health.quarantinedWorkerIds(),
      drainingWorkerIds: [...this.#draining].sort(),
      lostWorkerIds: this.#lostWorkerIds()
    }))
  }

  /** Whether all organisations could claim their guarantees at once. */
  checkReclaimable (): ReclaimCheck {
    return this.#fleet.ledger.check()
  }

  #advance (nowMs: number): void {
    this.#nowMs = Math.max(this.#nowMs, nowMs)
  }

  #refusal (spec: JobSpec, shape: GangShape): Failure | undefined {
    const { organisationId, tasks } = spec
    if (this.#jobs.has(spec.jobId)) return failure('job_exists', `job ${spec.jobId} exists`)
    if (!this.#shares.has(organisationId)) {
      return failure('unknown_organisation', `organisation ${organisationId} is not in the configuration`)
    }
    if (!(tasks >= 1) || tasks > this.#rules.maxGangTasks) {
      return failure('impossible_shape', `${tasks} tasks were asked for, 1 to ${this.#rules.maxGangTasks} are allowed`)
    }
    if (!shape.isPossible) return failure('impossible_shape', describeImpossible(spec))
    const quota = this.#shares.quota(organisationId)
    if (shape.accelerators <= quota) return undefined
    return failure('quota_exceeded',
      `the job holds ${shape.accelerators} accelerators, the quota of ${organisationId} is ${quota}`)
  }

  #enqueue (job: JobRecord): void {
    job.state = 'waiting'
    this.#jobs.set(job.spec.jobId, job)
    this.#waiting.add(job)
  }

  // Index

  #buildIndex (): void {
    this.#fleet = new Fleet(this.#configuration)
    this.#shapes = new ShapeTable(this.#fleet.tree)
    this.#freeSearch = new FreeSearch(this.#fleet, this.#policy)
    this.#claimSearch = new ClaimSearch(this.#fleet, this.#settings)
    this.#forecaster = new StartForecaster(this.#fleet, this.#settings, job => this.#estimatedEndMs(job))
    for (const { workerId } of this.#fleet.tree.workers) this.#fleet.setAvailable(workerId, this.#isUsable(workerId))
  }

  #rebuildIndex (): void {
    for (const job of this.#jobs.values()) if (job.state === 'claiming') this.#dropClaim(job)
    this.#reservations.clear()
    this.#blocked.clear()
    this.#unfit.clear()
    this.#buildIndex()
    this.#waiting = new WaitingJobs()
    for (const job of this.#jobs.values()) {
      job.shape = this.#shapes.of(job.spec)
      if (job.state === 'waiting') this.#waiting.add(job)
      else this.#reseat(job)
    }
  }

  #reseat (job: JobRecord): void {
    this.#shares.change(job.spec.organisationId, -job.heldAccelerators, this.#nowMs)
    this.#seat(job)
  }

  #seat (job: JobRecord): void {
    const placement = job.placement!
    job.state = 'placed'
    job.plan = planOf(this.#fleet, job.spec, placement)
    job.heldAccelerators = placement.tasks.reduce((sum, task) => sum + task.acceleratorCount, 0)
    this.#fleet.occupy(job, job.plan)
    this.#shares.change(job.spec.organisationId, job.heldAccelerators, this.#nowMs)
  }

  #isUsable (workerId: string): boolean {
    return this.#joined.has(workerId) && !this.#draining.has(workerId) && !this.#health.isQuarantined(workerId)
  }

  #lostWorkerIds (): string[] {
    const ids = this.#fleet.tree.workers.map(worker => worker.workerId)
    return ids.filter(workerId => !this.#joined.has(workerId) || this.#health.isQuarantined(workerId))
  }

  #refreshWorker (workerId: string): void {
    const worker = this.#configuration.workers.get(workerId)
    const isUsable = this.#isUsable(workerId)
    if (worker === undefined || this.#fleet.isAvailable(workerId) === isUsable) return
    this.#fleet.setAvailable(workerId, isUsable)
    this.#freedModels.add(worker.acceleratorModel)
    if (isUsable) return
    for (const job of this.#fleet.claimsOnWorker(workerId)) this.#requeueClaim(job)
  }

  // Waiting order

  #reopen (freedModels: ReadonlySet<string>): void {
    if (freedModels.size === 0 && this.#freedOrganisationIds.size === 0) return
    for (const model of freedModels) {
      this.#unfit.delete(model)
      this.#blocked.delete(model)
    }
    this.#waiting.reopen(freedModels, this.#freedOrganisationIds)
    this.#freedOrganisationIds.clear()
  }

  /** The holder of a reservation goes before its priority, so that new jobs of other organisations do not starve it. */
  #headOf (job: JobRecord): WaitingHead {
    const { priority, organisationId } = job.spec
    const share = this.#holdsReservation(job) ? -Infinity : this.#shares.share(organisationId, this.#nowMs)
    return { priority, sequence: job.sequence, share }
  }

  #serveQueue (freedModels: ReadonlySet<string>): void {
    const queue = new Heap<QueueEntry>((left, right) => this.#policy.compareWaiting(left.head, right.head))
    for (const [model, { job, calculatedMs }] of this.#reservations) {
      const isDue = this.#nowMs - calculatedMs >= this.#settings.reservationRefreshMs
      if (isDue || freedModels.has(model)) queue.push(this.#entryOf(job))
    }
    for (const waiting of this.#waiting.queues) this.#serveNext(queue, waiting)
    this.#failedTrials = 0
    for (let entry = queue.pop(); entry !== undefined; entry = queue.pop()) {
      if (this.#failedTrials >= this.#settings.maxFailedTrials) break
      this.#serveEntry(queue, entry)
    }
  }

  #entryOf (job: JobRecord): QueueEntry {
    return { group: job.group!, job, head: this.#headOf(job) }
  }

  /** The share of an organisation grows while its jobs are placed, so an entry may have to go back. */
  #serveEntry (queue: Heap<QueueEntry>, { group, job, head }: QueueEntry): void {
    if (job.group !== group) {
      this.#serveNext(queue, group.queue)
      return
    }
    const current = this.#headOf(job)
    if (this.#policy.compareWaiting(current, head) > 0) queue.push({ group, job, head: current })
    else if (this.#isBlocked(job, current)) this.#skip(queue, group)
    else this.#serveJob(queue, group, job)
  }

  /** The groups of a blocked model open again when its capacity is freed, as the block ends then. */
  #skip (queue: Heap<QueueEntry>, group: WaitingGroup): void {
    this.#waiting.close(group)
    this.#serveNext(queue, group.queue)
  }

  #serveJob (queue: Heap<QueueEntry>, group: WaitingGroup, job: JobRecord): void {
    const isFirst = group.first === job
    const trial = this.#holdsReservation(job) ? this.#tryHolder(job) : this.#try(job)
    if (trial === 'no_fit') this.#notFit(job)
    if (trial === 'no_fit' || trial === 'over_quota') {
      this.#failedTrials += 1
      if (isFirst) this.#waiting.close(group)
    }
    this.#serveNext(queue, group.queue)
  }

  #serveNext (queue: Heap<QueueEntry>, waiting: WaitingQueue): void {
    const group = waiting.firstOpen()
    if (group !== undefined) queue.push(this.#entryOf(group.first!))
  }

  #isBlocked (job: JobRecord, head: WaitingHead): boolean {
    const blocking = this.#blocked.get(job.spec.acceleratorModel)
    return blocking !== undefined && this.#policy.compareWaiting(head, this.#headOf(blocking)) > 0
  }

  #notFit (job: JobRecord): void {
    const model = job.spec.acceleratorModel
    if (!this.#policy.backfills()) {
      this.#blocked.set(model, job)
      return
    }
    const holder = this.#reservations.get(model)?.job
    if (holder === job) return
    if (holder !== undefined && comparePriority(job.spec.priority, holder.spec.priority) >= 0) return
    this.#dropReservation(model)
    this.#reserve(job)
  }

  // Trying one job

  #try (job: JobRecord): Trial {
    const { organisationId } = job.spec
    const room = this.#shares.quota(organisationId) - this.#shares.inUse(organisationId)
    if (job.shape.accelerators > room) return 'over_quota'
    const plan = job.failedWorkerIds.size === 0
      ? this.#findPlan(job, room)
      : this.#fleet.without(job.failedWorkerIds, () => this.#findPlan(job, room))
    if (plan === undefined) return this.#stopWhereNoWorkerIsLeft(job) ? 'stopped' : 'no_fit'
    this.#carryOut(job, plan)
    return plan.victims.size === 0 ? 'placed' : 'claimed'
  }

  /** Free cells go first, so that guaranteed cells are bound and lent jobs reclaimed only where nothing is free. */
  #findPlan (job: JobRecord, room: number): GangPlan | undefined {
    return this.#findFree(job, room) ?? this.#findGuaranteed(job) ?? this.#findReclaimed(job, room)
  }

  #findGuaranteed (job: JobRecord): GangPlan | undefined {
    if (!this.#policy.usesGuarantees()) return undefined
    return this.#claimSearch.findGuaranteed(job, victim => this.#victimCost(victim))
  }

  /** Lent cells that others leave: for urgent jobs, and for a job whose reserved start is overdue. */
  #findReclaimed (job: JobRecord, room: number): GangPlan | undefined {
    const isUrgent = job.spec.priority === 'urgent' && this.#policy.reclaimsForUrgent()
    const isOverdue = this.#policy.reclaimsForOverdue() && this.#nowMs >= (this.#dueMs.get(job) ?? Infinity)
    if (!isUrgent && !isOverdue) return undefined
    const mayLeave = (victim: JobRecord) =>
      (isUrgent && comparePriority(job.spec.priority, victim.spec.priority) < 0) ||
      (isOverdue && this.#mayLeaveForOverdue(job, victim))
    const reason = isUrgent ? 'that lower priorities leave to an urgent job' : 'that others leave to an overdue job'
    const plan = this.#claimSearch.findLent(job.shape, mayLeave, victim => this.#victimCost(victim), reason)
    if (plan === undefined || this.#acceleratorsOf(plan.cells) > room) return undefined
    return this.#mayHold(job, plan.cells) ? plan : undefined
  }

  /** The bound on reclaims keeps two overdue jobs from displacing each other for ever. */
  #mayLeaveForOverdue (job: JobRecord, victim: JobRecord): boolean {
    const losesLittle = victim.spec.preemption === 'checkpoint' || this.#isOverrun(victim)
    const isBounded = victim.reclaims < this.#settings.maxOverdueReclaims
    return losesLittle && isBounded && comparePriority(job.spec.priority, victim.spec.priority) <= 0
  }

  #findFree (job: JobRecord, room: number): GangPlan | undefined {
    const { spec, shape } = job
    const isShort = this.#endsBeforeReservation(job)
    const key = `${shape.key}|${isReclaimable(spec)}|${isShort}`
    const unfit = this.#unfitShapes(spec.acceleratorModel)
    if (job.failedWorkerIds.size === 0 && unfit.has(key)) return undefined
    const cells = this.#freeCells(job) ?? (isShort ? this.#freeCellsUnderReservation(job) : undefined)
    if (cells === undefined) {
      if (job.failedWorkerIds.size === 0) unfit.add(key)
      return undefined
    }
    if (this.#acceleratorsOf(cells) > room) return undefined
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

  #freeCellsUnderReservation (job: JobRecord): number[] | undefined {
    const reservation = this.#reservations.get(job.spec.acceleratorModel)!
    for (const cell of reservation.cells) this.#fleet.used.unmark(cell)
    const cells = this.#freeCells(job)
    for (const cell of reservation.cells) this.#fleet.used.mark(cell)
    return cells
  }

  #endsBeforeReservation (job: JobRecord): boolean {
    const reservation = this.#reservations.get(job.spec.acceleratorModel)
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

  #acceleratorsOf (cells: readonly number[]): number {
    return cells.reduce((sum, cell) => sum + 2 ** this.#fleet.tree.level[cell]!, 0)
  }

  // Decisions

  #carryOut (job: JobRecord, plan: GangPlan): void {
    this.#waiting.remove(job)
    if (this.#holdsReservation(job)) this.#dropReservation(job.spec.acceleratorModel)
    job.plan = plan
    job.heldAccelerators = this.#acceleratorsOf(plan.cells)
    this.#shares.change(job.spec.organisationId, job.heldAccelerators, this.#nowMs)
    if (plan.victims.size === 0) this.#place(job, plan)
    else this.#claim(job, plan)
  }

  #place (job: JobRecord, plan: GangPlan): void {
    this.#dueMs.delete(job)
    this.#fleet.occupy(job, plan)
    job.state = 'placed'
    job.startedMs = this.#nowMs
    job.hasFailedTask = false
    job.placement = placementOf(this.#fleet.tree, plan)
    this.#decisions.push({ kind: 'place', jobId: job.spec.jobId, placement: job.placement })
  }

  #claim (job: JobRecord, plan: GangPlan): void {
    job.state = 'claiming'
    this.#fleet.claim(job, plan)
    for (const victim of plan.victims) {
      victim.claimants.add(job)
      job.waitsFor.add(victim)
      if (!victim.isReclaiming && !victim.isLeaving) this.#askToLeave(victim, job, plan)
    }
  }

  #askToLeave (victim: JobRecord, claimant: JobRecord, plan: GangPlan): void {
    victim.isReclaiming = true
    victim.reclaims += 1
    this.#decisions.push({
      kind: 'reclaim',
      jobId: victim.spec.jobId,
      method: victim.spec.preemption === 'checkpoint' ? 'checkpoint' : 'stop',
      forJobId: claimant.spec.jobId,
      reason: `job ${claimant.spec.jobId} needs the capacity ${plan.reason}`
    })
  }

  #placeReadyClaims (): void {
    for (const job of this.#readyClaims) {
      const plan = job.plan!
      this.#place(job, plan)
      // The claim ends after the job has its cells, so that the bindings are never without a user.
      this.#fleet.unclaim(plan)
    }
    this.#readyClaims.clear()
  }

  #dropClaim (job: JobRecord): void {
    this.#fleet.unclaim(job.plan!)
    for (const victim of job.waitsFor) victim.claimants.delete(job)
    job.waitsFor.clear()
    this.#readyClaims.delete(job)
    this.#release(job)
    job.state = 'waiting'
  }

  #requeueClaim (job: JobRecord): void {
    this.#dropClaim(job)
    this.#waiting.add(job)
  }

  #vacate (job: JobRecord): void {
    this.#fleet.vacate(job, job.plan!)
    this.#release(job)
    job.placement = undefined
    job.isReclaiming = false
    for (const claimant of job.claimants) {
      claimant.waitsFor.delete(job)
      if (claimant.waitsFor.size === 0) this.#readyClaims.add(claimant)
    }
    job.claimants.clear()
  }

  #release (job: JobRecord): void {
    this.#shares.change(job.spec.organisationId, -job.heldAccelerators, this.#nowMs)
    job.heldAccelerators = 0
    job.plan = undefined
    this.#freedModels.add(job.spec.acceleratorModel)
    this.#freedOrganisationIds.add(job.spec.organisationId)
  }

  #withdraw (job: JobRecord): void {
    const model = job.spec.acceleratorModel
    if (job.state === 'claiming') this.#dropClaim(job)
    this.#waiting.remove(job)
    if (this.#holdsReservation(job)) this.#dropReservation(model)
    if (this.#blocked.get(model) === job) this.#freedModels.add(model)
    this.#jobs.delete(job.spec.jobId)
  }

  #stop (job: JobRecord, detail: string): void {
    const cause = failure('backend_failed', `job ${job.spec.jobId} was stopped: ${detail}`)
    job.isLeaving = true
    this.#decisions.push({ kind: 'stop', jobId: job.spec.jobId, failure: cause })
    this.#remember(job.spec.jobId, cause)
    for (const workerId of job.failedWorkerIds) {
      if (this.#health.forgive(workerId, job.spec.jobId)) this.#refreshWorker(workerId)
    }
    if (job.state !== 'placed') this.#withdraw(job)
  }

  #stopWhereNoWorkerIsLeft (job: JobRecord): boolean {
    if (job.failedWorkerIds.size === 0 || !this.#canStart(job)) return false
    if (this.#fleet.without(job.failedWorkerIds, () => this.#canStart(job))) return false
    this.#stop(job, `tasks failed on ${[...job.failedWorkerIds].join(', ')}, no other working worker can hold the gang`)
    return true
  }

  #canStart (job: JobRecord): boolean {
    return this.#forecaster.forecast(job.shape, this.#nowMs, () => true) !== undefined
  }

  #remember (jobId: string, cause: Failure): void {
    this.#refused.delete(jobId)
    this.#refused.set(jobId, cause)
    if (this.#refused.size <= this.#settings.explainHistoryLength) return
    const [oldest] = this.#refused.keys()
    this.#refused.delete(oldest!)
  }

  #victimCost (victim: JobRecord): number {
    if (victim.isReclaiming || victim.isLeaving) return 0
    const { priority, preemption } = victim.spec
    const lostMs = preemption === 'checkpoint' ? 0 : this.#nowMs - victim.startedMs
    const lostWork = 1 + lostMs / LOST_WORK_UNIT_MS
    const overrun = this.#isOverrun(victim) ? OVERRUN_COST : 1
    return 1 + victim.heldAccelerators * PRIORITY_COST[priority] * lostWork * overrun * (1 + victim.reclaims)
  }

  #isOverrun (job: JobRecord): boolean {
    return this.#nowMs - job.startedMs > job.spec.declaredRunMs
  }

  // Reservations

  #holdsReservation (job: JobRecord): boolean {
    return this.#reservations.get(job.spec.acceleratorModel)?.job === job
  }

  /** Tries a job in its reserved and all other free cells; otherwise keeps or recalculates the reservation. */
  #tryHolder (job: JobRecord): Trial {
    const model = job.spec.acceleratorModel
    const reservation = this.#reservations.get(model)!
    this.#unmarkReservation(model)
    this.#unfit.delete(model)
    const trial = this.#try(job)
    if (trial !== 'no_fit') {
      this.#freedModels.add(model)
      return trial
    }
    if (this.#nowMs - reservation.calculatedMs >= this.#settings.reservationRefreshMs) this.#reserve(job)
    else this.#keepReservation(model, reservation)
    return trial
  }

  #reserve (job: JobRecord): void {
    const { spec, shape } = job
    const isFirm = this.#policy.usesGuarantees() && !isReclaimable(spec)
    const accepts = (cell: number) => !isFirm || this.#fleet.held.isFree(cell)
    const forecast = this.#fleet.without(job.failedWorkerIds, () =>
      this.#forecaster.forecast(shape, this.#nowMs, accepts))
    if (forecast === undefined) return
    this.#keepReservation(spec.acceleratorModel, { ...forecast, job, calculatedMs: this.#nowMs })
  }

  #keepReservation (model: string, reservation: Reservation): void {
    for (const cell of reservation.cells) this.#fleet.used.mark(cell)
    this.#reservations.set(model, reservation)
    if (this.#dueMs.has(reservation.job)) return
    const latestMs = this.#nowMs + this.#settings.overdueAfterMs
    this.#dueMs.set(reservation.job, Math.min(reservation.startMs, latestMs))
  }

  #unmarkReservation (model: string): void {
    const reservation = this.#reservations.get(model)
    if (reservation === undefined) return
    for (const cell of reservation.cells) this.#fleet.used.unmark(cell)
    this.#reservations.delete(model)
  }

  #dropReservation (model: string): void {
    if (!this.#reservations.has(model)) return
    this.#unmarkReservation(model)
    this.#freedModels.add(model)
  }

  #withoutReservations<T> (read: () => T): T {
    const cells = [...this.#reservations.values()].flatMap(reservation => reservation.cells)
    for (const cell of cells) this.#fleet.used.unmark(cell)
    const result = read()
    for (const cell of cells) this.#fleet.used.mark(cell)
    return result
  }

  // Estimates

  #estimateRunMs (spec: JobSpec): number {
    return this.#policy.estimateRunMs(spec, this.#history.learnedMs(spec))
  }

  #estimatedEndMs (job: JobRecord): number {
    const estimateMs = this.#estimateRunMs(job.spec)
    if (job.state !== 'placed') return this.#nowMs + estimateMs
    if (job.isReclaiming) return this.#nowMs + this.#rules.reclaimWithinMs
    const elapsedMs = this.#nowMs - job.startedMs
    if (elapsedMs < estimateMs) return job.startedMs + estimateMs
    return this.#nowMs + Math.max(OVERRUN_EXTENSION_MIN_MS, elapsedMs * OVERRUN_EXTENSION)
  }

  #learn (job: JobRecord, nowMs: number): void {
    this.#history.record(job.spec, nowMs - job.startedMs)
    for (const task of job.placement!.tasks) this.#health.succeeded(task.workerId)
  }

  #explainedState (): ExplainedState {
    return {
      jobs: this.#jobs,
      refused: this.#refused,
      shares: this.#shares,
      reservations: this.#reservations,
      forecaster: this.#forecaster,
      reclaimWithinMs: this.#rules.reclaimWithinMs,
      compareWaiting: (left, right) => this.#policy.compareWaiting(this.#headOf(left), this.#headOf(right)),
      endOf: job => this.#estimatedEndMs(job)
    }
  }
}

function describeImpossible (spec: JobSpec): string {
  return `no inventory cells hold ${spec.tasks} tasks of ${spec.acceleratorsPerTask} accelerators ` +
    `${spec.acceleratorModel}, ${spec.coresPerTask} cores and ${spec.memoryGbPerTask} GB with adjacency ${spec.adjacency}`
}
