/** The gang scheduler: decides which jobs start where, which are preempted, and which are stopped. */
import {
  type Configuration, type Failure, type JobExplanation, type JobSpec, type Placement, type Rules,
  defaultRules, emptyConfiguration, failure
} from '@comfreygrade/core'
import type { FleetReport, PlacementDecision, ReclaimCheck } from './decisions.js'
import { JobExplainer, type ExplainerInput } from './job-explainer.js'
import { Fleet } from './fleet.js'
import { buildFleetReport } from './fleet-report.js'
import { type GangPlan, type JobRecord, createJobRecord, isPreemptible } from './job-record.js'
import { OrganisationUsage } from './organisations.js'
import { restorePlan, toPlacement } from './placements.js'
import { PlanFinder } from './plan-finder.js'
import { type PlacementPolicy, type WaitingOrderKey, comparePriority } from './policies.js'
import { validateGuarantees } from './reclaim-check.js'
import { ReservationTable } from './reservation-table.js'
import { StartForecaster } from './start-forecaster.js'
import { RunTimeHistory } from './run-times.js'
import type { PlacementSettings } from './settings.js'
import { type GangShape, ShapeTable } from './shapes.js'
import { Heap, type WaitingGroup, WaitingJobs, type WaitingQueue } from './waiting-jobs.js'
import { WorkerHealth } from './worker-health.js'

/** A job that runs longer than its estimate is expected to run on for this fraction of its elapsed time. */
const OVERRUN_EXTENSION_FACTOR = 0.5
/** Minimum of this extension. */
const OVERRUN_EXTENSION_MIN_MS = 1_000

/**
 * Result of a trial: one attempt to place a waiting job. `over_quota` means that even the smallest plan exceeds the
 * remaining quota; if only the plans that were found exceed it, the result is `no_fit`.
 */
type TrialResult = 'placed' | 'claimed' | 'no_fit' | 'over_quota' | 'stopped'

/** Entry of the heap of a pass: a job that may be tried, usually the first one of an open group. */
interface PassEntry {
  readonly group: WaitingGroup
  readonly job: JobRecord
  readonly orderKey: WaitingOrderKey
}

/**
 * Places gangs while keeping all guarantees reclaimable. All calls are synchronous; decisions update the scheduler's
 * record of jobs and cells immediately.
 *
 * @example
 * const scheduler = new GangScheduler(defaultPlacementSettings, new BuddyCellPolicy())
 * scheduler.applyConfiguration(configuration)
 * scheduler.workerJoined('w1', nowMs)
 * scheduler.submit(job, nowMs)
 * for (const decision of scheduler.runPass(nowMs)) execute(decision)
 */
export class GangScheduler {
  readonly #settings: PlacementSettings
  readonly #policy: PlacementPolicy
  readonly #usage: OrganisationUsage
  readonly #runTimes: RunTimeHistory
  readonly #workerHealth: WorkerHealth
  readonly #jobs = new Map<string, JobRecord>()
  readonly #joinedWorkerIds = new Set<string>()
  readonly #drainingWorkerIds = new Set<string>()
  /** First job that did not fit, by accelerator model; used only if the policy does not backfill. */
  readonly #blockingJobs = new Map<string, JobRecord>()
  /** Jobs whose claimed cells have been vacated by all preempted jobs; placed by the next pass. */
  readonly #readyClaims = new Set<JobRecord>()
  /** Accelerator models whose available cells changed since the last pass, so that their jobs are tried again. */
  readonly #freedModels = new Set<string>()
  /** Organisations that may have more quota left since the last pass. */
  readonly #freedOrganisationIds = new Set<string>()
  /** Failures of refused and of stopped jobs, by job ID. */
  readonly #refusals = new Map<string, Failure>()
  #configuration: Configuration = emptyConfiguration()
  #rules: Rules = defaultRules
  #waitingJobs = new WaitingJobs()
  #fleet!: Fleet
  #shapes!: ShapeTable
  #reservations!: ReservationTable
  #planFinder!: PlanFinder
  #forecaster!: StartForecaster
  #decisions: PlacementDecision[] = []
  #nextSequence = 1
  #failedTrials = 0
  #nowMs = 0

  /**
   * @param settings for example `defaultPlacementSettings`
   * @param policy `BuddyCellPolicy`, or the baseline `FirstFitPolicy`
   */
  constructor (settings: PlacementSettings, policy: PlacementPolicy) {
    this.#settings = settings
    this.#policy = policy
    this.#usage = new OrganisationUsage(settings.serviceHalfLifeMs)
    this.#runTimes = new RunTimeHistory(settings)
    this.#workerHealth = new WorkerHealth(settings)
    this.#buildFleetState()
  }

  /**
   * Checks that an inventory can provide its guarantees.
   *
   * @returns `guarantee_unsatisfiable` with the missing cells; undefined if all can be provided
   */
  static validateGuarantees (configuration: Configuration): Failure | undefined {
    return validateGuarantees(configuration)
  }

  /** Activates a configuration. Running jobs stay; the cells are rebuilt if workers or guarantees changed. */
  applyConfiguration (configuration: Configuration): void {
    const before = this.#configuration
    this.#configuration = configuration
    this.#rules = configuration.rules
    this.#usage.configure(configuration.organisations)
    const isFleetUnchanged = before.workers === configuration.workers && before.guarantees === configuration.guarantees
    if (!isFleetUnchanged) this.#rebuildFleetState()
    for (const organisationId of configuration.organisations.keys()) this.#freedOrganisationIds.add(organisationId)
  }

  /** Records that a worker joined; it gets tasks once it is also in the configuration. */
  workerJoined (workerId: string, nowMs: number): void {
    this.#advanceClock(nowMs)
    this.#joinedWorkerIds.add(workerId)
    this.#refreshWorker(workerId)
  }

  /** Records that a worker was lost. Its jobs keep their cells until they end or are requeued. */
  workerLost (workerId: string, nowMs: number): void {
    this.#advanceClock(nowMs)
    this.#joinedWorkerIds.delete(workerId)
    this.#refreshWorker(workerId)
  }

  /** Drains a worker: it gets no new tasks, running tasks stay. */
  drainWorker (workerId: string): void {
    this.#drainingWorkerIds.add(workerId)
    this.#refreshWorker(workerId)
  }

  /** Ends a drain. */
  undrainWorker (workerId: string): void {
    this.#drainingWorkerIds.delete(workerId)
    this.#refreshWorker(workerId)
  }

  /**
   * Adds a job to the waiting jobs.
   *
   * @returns `unknown_organisation`, `impossible_shape`, `quota_exceeded` or `job_exists`; undefined if it was accepted
   */
  submit (spec: JobSpec, nowMs: number): Failure | undefined {
    this.#advanceClock(nowMs)
    const shape = this.#shapes.shapeOf(spec)
    const refusal = this.#checkAdmission(spec, shape)
    if (refusal === undefined) {
      this.#enqueue(createJobRecord(spec, shape, this.#nextSequence++, nowMs))
      return undefined
    }
    // Under the same ID, this refusal would be taken for the fate of the existing job.
    if (refusal.kind !== 'job_exists') this.#recordRefusal(spec.jobId, refusal)
    return refusal
  }

  /** Restores a running job from its recorded placement after a leader change; waiting jobs are submitted again. */
  restore (spec: JobSpec, placement: Placement, startedMs: number): void {
    const job = createJobRecord(spec, this.#shapes.shapeOf(spec), this.#nextSequence++, startedMs)
    job.startedMs = startedMs
    job.placement = placement
    this.#jobs.set(spec.jobId, job)
    this.#occupyRecordedPlacement(job)
  }

  /** Removes a waiting or claiming job immediately; a placed job keeps its cells until its end is recorded. */
  cancel (jobId: string, nowMs: number): void {
    this.#advanceClock(nowMs)
    const job = this.#jobs.get(jobId)
    if (job === undefined) return
    if (job.state === 'placed') job.isTerminating = true
    else this.#removeUnplaced(job)
  }

  /** Records that a task failed on a worker. A placed job keeps its cells until it ends or is requeued. */
  taskFailed (jobId: string, workerId: string, nowMs: number): void {
    this.#advanceClock(nowMs)
    const job = this.#jobs.get(jobId)
    if (job === undefined || job.isTerminating) return
    const isWaiting = job.group !== undefined
    // The failed workers determine the group of a waiting job.
    if (isWaiting) this.#waitingJobs.remove(job)
    job.hasFailedTask = true
    job.failedWorkerIds.add(workerId)
    if (isWaiting) this.#waitingJobs.add(job)
    if (this.#workerHealth.recordFailure(workerId, jobId, nowMs)) this.#refreshWorker(workerId)
    if (job.failedWorkerIds.size < this.#settings.maxFailedPlacements) return
    this.#stop(job, `tasks failed on ${job.failedWorkerIds.size} different workers`)
  }

  /**
   * Removes a job that ended. Frees the cells of a placed job, whose leases must all have been released, and records a
   * success unless a task failed or the job was cancelled, stopped or preempted.
   */
  jobEnded (jobId: string, nowMs: number): void {
    this.#advanceClock(nowMs)
    const job = this.#jobs.get(jobId)
    if (job === undefined) return
    if (job.state !== 'placed') {
      this.#removeUnplaced(job)
      return
    }
    if (!job.hasFailedTask && !job.isTerminating && !job.isBeingPreempted) this.#recordSuccess(job, nowMs)
    this.#vacate(job)
    this.#jobs.delete(jobId)
  }

  /**
   * Requeues a job that has vacated its cells, after preemption or because its gang has to restart. A job that was
   * cancelled or stopped meanwhile is removed.
   */
  requeue (jobId: string, nowMs: number): void {
    this.#advanceClock(nowMs)
    const job = this.#jobs.get(jobId)
    if (job === undefined || job.state !== 'placed') return
    this.#vacate(job)
    if (job.isTerminating) {
      this.#jobs.delete(jobId)
      return
    }
    this.#enqueue(job)
  }

  /** Runs a scheduling pass: places waiting jobs, and preempts jobs on lent capacity for guarantees or urgent jobs. */
  runPass (nowMs: number): PlacementDecision[] {
    this.#advanceClock(nowMs)
    for (const workerId of this.#workerHealth.endExpiredQuarantines(nowMs)) this.#refreshWorker(workerId)
    this.#placeReadyClaims()
    const freedModels = new Set(this.#freedModels)
    this.#freedModels.clear()
    this.#reopenGroups(freedModels)
    this.#tryWaitingJobs(freedModels)
    const decisions = this.#decisions
    this.#decisions = []
    return decisions
  }

  /** Explains why a job waits, which jobs block it and when it may start; or how it was placed or refused. */
  explain (jobId: string, nowMs: number): JobExplanation {
    this.#advanceClock(nowMs)
    return new JobExplainer(this.#explainerInput()).explain(jobId, nowMs)
  }

  /** Summarises the fleet for operators. */
  report (): FleetReport {
    return this.#reservations.withoutReservations(() => buildFleetReport({
      fleet: this.#fleet,
      jobs: [...this.#jobs.values()],
      waitingJobs: this.#waitingJobs.size,
      quarantinedWorkerIds: this.#workerHealth.quarantinedWorkerIds(),
      drainingWorkerIds: [...this.#drainingWorkerIds].sort(),
      missingOrQuarantinedWorkerIds: this.#missingOrQuarantinedWorkerIds()
    }))
  }

  /** Checks that all organisations could use their whole guarantees at the same time. */
  checkReclaimable (): ReclaimCheck {
    return this.#fleet.guarantees.checkReclaimable()
  }

  #advanceClock (nowMs: number): void {
    this.#nowMs = Math.max(this.#nowMs, nowMs)
  }

  #checkAdmission (spec: JobSpec, shape: GangShape): Failure | undefined {
    const { organisationId, tasks } = spec
    if (this.#jobs.has(spec.jobId)) return failure('job_exists', `job ${spec.jobId} already exists`)
    if (!this.#usage.has(organisationId)) {
      return failure('unknown_organisation', `organisation ${organisationId} is not in the configuration`)
    }
    if (!(tasks >= 1) || tasks > this.#rules.maxGangTasks) {
      return failure('impossible_shape', `the job has ${tasks} tasks, 1 to ${this.#rules.maxGangTasks} are allowed`)
    }
    if (!shape.isPossible) return failure('impossible_shape', describeImpossibleShape(spec))
    const quota = this.#usage.quota(organisationId)
    if (shape.minAccelerators <= quota) return undefined
    return failure('quota_exceeded',
      `the job needs ${shape.minAccelerators} accelerators, the quota of organisation ${organisationId} is ${quota}`)
  }

  #enqueue (job: JobRecord): void {
    job.state = 'waiting'
    this.#jobs.set(job.spec.jobId, job)
    this.#waitingJobs.add(job)
  }

  // Fleet state

  /** Creates the parts that depend on the inventory: cells, shapes, reservations, plan finder and forecaster. */
  #buildFleetState (): void {
    this.#fleet = new Fleet(this.#configuration)
    this.#shapes = new ShapeTable(this.#fleet.tree)
    this.#reservations = new ReservationTable(this.#fleet)
    this.#planFinder = new PlanFinder(this.#fleet, this.#settings, this.#policy, this.#reservations,
      spec => this.#estimateRunMs(spec))
    this.#forecaster = new StartForecaster(this.#fleet, this.#settings, job => this.#estimatedEndMs(job))
    for (const { workerId } of this.#fleet.tree.workers) this.#fleet.setAvailable(workerId, this.#isInService(workerId))
  }

  #rebuildFleetState (): void {
    for (const job of this.#jobs.values()) if (job.state === 'claiming') this.#releaseClaim(job)
    this.#blockingJobs.clear()
    this.#buildFleetState()
    this.#waitingJobs = new WaitingJobs()
    for (const job of this.#jobs.values()) {
      job.shape = this.#shapes.shapeOf(job.spec)
      if (job.state === 'waiting') this.#waitingJobs.add(job)
      else this.#reoccupyRecordedPlacement(job)
    }
  }

  #reoccupyRecordedPlacement (job: JobRecord): void {
    this.#usage.addInUse(job.spec.organisationId, -job.heldAccelerators, this.#nowMs)
    this.#occupyRecordedPlacement(job)
  }

  #occupyRecordedPlacement (job: JobRecord): void {
    const placement = job.placement!
    job.state = 'placed'
    job.plan = restorePlan(this.#fleet, job.spec, placement)
    job.heldAccelerators = placement.tasks.reduce((sum, task) => sum + task.acceleratorCount, 0)
    this.#fleet.occupy(job, job.plan)
    this.#usage.addInUse(job.spec.organisationId, job.heldAccelerators, this.#nowMs)
  }

  /** Whether a worker may get new tasks, provided that it is in the inventory. */
  #isInService (workerId: string): boolean {
    return this.#joinedWorkerIds.has(workerId) && !this.#drainingWorkerIds.has(workerId) &&
      !this.#workerHealth.isQuarantined(workerId)
  }

  #missingOrQuarantinedWorkerIds (): string[] {
    const ids = this.#fleet.tree.workers.map(worker => worker.workerId)
    return ids.filter(workerId => !this.#joinedWorkerIds.has(workerId) || this.#workerHealth.isQuarantined(workerId))
  }

  #refreshWorker (workerId: string): void {
    const worker = this.#configuration.workers.get(workerId)
    const isAvailable = this.#isInService(workerId)
    if (worker === undefined || this.#fleet.isAvailable(workerId) === isAvailable) return
    this.#fleet.setAvailable(workerId, isAvailable)
    // Also after a loss: the reservation holder is tried again, and a job that fits only on workers where its tasks
    // failed is stopped.
    this.#freedModels.add(worker.acceleratorModel)
    if (isAvailable) return
    for (const job of this.#fleet.claimantsOnWorker(workerId)) this.#requeueClaim(job)
  }

  // Waiting order

  #reopenGroups (freedModels: ReadonlySet<string>): void {
    if (freedModels.size === 0 && this.#freedOrganisationIds.size === 0) return
    for (const model of freedModels) {
      this.#planFinder.capacityFreed(model)
      this.#blockingJobs.delete(model)
    }
    this.#waitingJobs.reopen(freedModels, this.#freedOrganisationIds)
    this.#freedOrganisationIds.clear()
  }

  /** A reservation holder comes first within its priority, so that new jobs of other organisations do not starve it. */
  #orderKeyOf (job: JobRecord): WaitingOrderKey {
    const { priority, organisationId } = job.spec
    const attainedShare = this.#reservations.hasReservation(job)
      ? -Infinity
      : this.#usage.attainedShare(organisationId, this.#nowMs)
    return { priority, sequence: job.sequence, attainedShare }
  }

  #tryWaitingJobs (freedModels: ReadonlySet<string>): void {
    const heap = new Heap<PassEntry>((left, right) => this.#policy.compareWaiting(left.orderKey, right.orderKey))
    for (const [model, { job, calculatedMs }] of this.#reservations.byModel) {
      const isDue = this.#nowMs - calculatedMs >= this.#settings.reservationRefreshMs
      if (isDue || freedModels.has(model)) heap.push(this.#entryOf(job))
    }
    for (const queue of this.#waitingJobs.queues) this.#pushNextOpen(heap, queue)
    this.#failedTrials = 0
    for (let entry = heap.pop(); entry !== undefined; entry = heap.pop()) {
      if (this.#failedTrials >= this.#settings.maxFailedTrials) break
      this.#processEntry(heap, entry)
    }
  }

  #entryOf (job: JobRecord): PassEntry {
    return { group: job.group!, job, orderKey: this.#orderKeyOf(job) }
  }

  /** Placing jobs raises the attained share of their organisation, so an entry may have to be queued again. */
  #processEntry (heap: Heap<PassEntry>, { group, job, orderKey }: PassEntry): void {
    // The job was placed, stopped or moved to another group since the entry was pushed.
    if (job.group !== group) {
      this.#pushNextOpen(heap, group.queue)
      return
    }
    const current = this.#orderKeyOf(job)
    if (this.#policy.compareWaiting(current, orderKey) > 0) heap.push({ group, job, orderKey: current })
    else if (this.#isBlocked(job, current)) this.#skipGroup(heap, group)
    else this.#scheduleJob(heap, group, job)
  }

  /** Closes a group of a blocked model; it reopens when capacity of the model is freed, which also ends the block. */
  #skipGroup (heap: Heap<PassEntry>, group: WaitingGroup): void {
    this.#waitingJobs.close(group)
    this.#pushNextOpen(heap, group.queue)
  }

  #scheduleJob (heap: Heap<PassEntry>, group: WaitingGroup, job: JobRecord): void {
    const isFirst = group.first === job
    const result = this.#reservations.hasReservation(job) ? this.#tryReservationHolder(job) : this.#tryJob(job)
    if (result === 'no_fit') this.#reserveOrBlock(job)
    if (result === 'no_fit' || result === 'over_quota') {
      this.#failedTrials += 1
      if (isFirst) this.#waitingJobs.close(group)
    }
    this.#pushNextOpen(heap, group.queue)
  }

  #pushNextOpen (heap: Heap<PassEntry>, queue: WaitingQueue): void {
    const group = queue.firstOpen()
    if (group !== undefined) heap.push(this.#entryOf(group.first!))
  }

  #isBlocked (job: JobRecord, orderKey: WaitingOrderKey): boolean {
    const blocking = this.#blockingJobs.get(job.spec.acceleratorModel)
    return blocking !== undefined && this.#policy.compareWaiting(orderKey, this.#orderKeyOf(blocking)) > 0
  }

  /**
   * Reserves cells for a job that does not fit, unless a job of the same or a higher priority holds the reservation of
   * the model. Without backfilling, the job blocks the model instead.
   */
  #reserveOrBlock (job: JobRecord): void {
    const model = job.spec.acceleratorModel
    if (!this.#policy.backfills()) {
      this.#blockingJobs.set(model, job)
      return
    }
    const holder = this.#reservations.forModel(model)?.job
    if (holder === job) return
    if (holder !== undefined && comparePriority(job.spec.priority, holder.spec.priority) >= 0) return
    this.#cancelReservation(model)
    this.#reserve(job)
  }

  // Trying a job

  #tryJob (job: JobRecord): TrialResult {
    const { organisationId } = job.spec
    const remainingQuota = this.#usage.quota(organisationId) - this.#usage.inUse(organisationId)
    if (job.shape.minAccelerators > remainingQuota) return 'over_quota'
    const plan = job.failedWorkerIds.size === 0
      ? this.#planFinder.find(job, remainingQuota, this.#nowMs)
      : this.#fleet.withoutWorkers(job.failedWorkerIds, () => this.#planFinder.find(job, remainingQuota, this.#nowMs))
    if (plan === undefined) return this.#stopIfNoWorkerRemains(job) ? 'stopped' : 'no_fit'
    this.#applyPlan(job, plan)
    return plan.victims.size === 0 ? 'placed' : 'claimed'
  }

  // Decisions

  #applyPlan (job: JobRecord, plan: GangPlan): void {
    this.#waitingJobs.remove(job)
    if (this.#reservations.hasReservation(job)) this.#cancelReservation(job.spec.acceleratorModel)
    job.plan = plan
    job.heldAccelerators = this.#fleet.acceleratorsOf(plan.cells)
    this.#usage.addInUse(job.spec.organisationId, job.heldAccelerators, this.#nowMs)
    if (plan.victims.size === 0) this.#place(job, plan)
    else this.#claim(job, plan)
  }

  #place (job: JobRecord, plan: GangPlan): void {
    this.#fleet.occupy(job, plan)
    job.state = 'placed'
    job.startedMs = this.#nowMs
    job.hasFailedTask = false
    job.placement = toPlacement(this.#fleet.tree, plan)
    this.#decisions.push({ kind: 'place', jobId: job.spec.jobId, placement: job.placement })
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
    this.#decisions.push({
      kind: 'reclaim',
      jobId: victim.spec.jobId,
      method: victim.spec.preemption === 'checkpoint' ? 'checkpoint' : 'stop',
      forJobId: claimant.spec.jobId,
      reason: `job ${claimant.spec.jobId} needs the capacity: ${plan.reason}`
    })
  }

  #placeReadyClaims (): void {
    for (const job of this.#readyClaims) {
      const plan = job.plan!
      this.#place(job, plan)
      // Released only after the job occupies the cells: a binding without users would be released.
      this.#fleet.releaseClaim(plan)
    }
    this.#readyClaims.clear()
  }

  #releaseClaim (job: JobRecord): void {
    this.#fleet.releaseClaim(job.plan!)
    for (const victim of job.pendingVictims) victim.claimants.delete(job)
    job.pendingVictims.clear()
    this.#readyClaims.delete(job)
    this.#releaseCapacity(job)
    job.state = 'waiting'
  }

  #requeueClaim (job: JobRecord): void {
    this.#releaseClaim(job)
    this.#waitingJobs.add(job)
  }

  #vacate (job: JobRecord): void {
    this.#fleet.vacate(job, job.plan!)
    this.#releaseCapacity(job)
    job.placement = undefined
    job.isBeingPreempted = false
    for (const claimant of job.claimants) {
      claimant.pendingVictims.delete(job)
      if (claimant.pendingVictims.size === 0) this.#readyClaims.add(claimant)
    }
    job.claimants.clear()
  }

  #releaseCapacity (job: JobRecord): void {
    this.#usage.addInUse(job.spec.organisationId, -job.heldAccelerators, this.#nowMs)
    job.heldAccelerators = 0
    job.plan = undefined
    this.#freedModels.add(job.spec.acceleratorModel)
    this.#freedOrganisationIds.add(job.spec.organisationId)
  }

  #removeUnplaced (job: JobRecord): void {
    const model = job.spec.acceleratorModel
    if (job.state === 'claiming') this.#releaseClaim(job)
    this.#waitingJobs.remove(job)
    if (this.#reservations.hasReservation(job)) this.#cancelReservation(model)
    if (this.#blockingJobs.get(model) === job) this.#freedModels.add(model)
    this.#jobs.delete(job.spec.jobId)
  }

  #stop (job: JobRecord, detail: string): void {
    const cause = failure('backend_failed', `job ${job.spec.jobId} was stopped: ${detail}`)
    job.isTerminating = true
    this.#decisions.push({ kind: 'stop', jobId: job.spec.jobId, failure: cause })
    this.#recordRefusal(job.spec.jobId, cause)
    for (const workerId of job.failedWorkerIds) {
      if (this.#workerHealth.retractFailure(workerId, job.spec.jobId)) this.#refreshWorker(workerId)
    }
    if (job.state !== 'placed') this.#removeUnplaced(job)
  }

  /**
   * Stops a job that one pool of available workers could hold, but none without the workers on which its tasks failed.
   * Workers that are lost, draining or quarantined are not available; a spread over several pools is not considered.
   *
   * @returns whether the job was stopped
   */
  #stopIfNoWorkerRemains (job: JobRecord): boolean {
    if (job.failedWorkerIds.size === 0 || !this.#canFitEventually(job)) return false
    if (this.#fleet.withoutWorkers(job.failedWorkerIds, () => this.#canFitEventually(job))) return false
    this.#stop(job, `tasks failed on ${[...job.failedWorkerIds].join(', ')}, no other available workers of one type can hold the gang`)
    return true
  }

  #canFitEventually (job: JobRecord): boolean {
    return this.#forecaster.forecast(job.shape, this.#nowMs, () => true) !== undefined
  }

  #recordRefusal (jobId: string, cause: Failure): void {
    this.#refusals.delete(jobId)
    this.#refusals.set(jobId, cause)
    if (this.#refusals.size <= this.#settings.explainHistoryLength) return
    const [oldest] = this.#refusals.keys()
    this.#refusals.delete(oldest!)
  }

  // Reservations

  /**
   * Tries a job in its reserved and all other free cells. If it does not fit, the reservation is kept or recalculated;
   * recalculation ends it if there is no forecast. The reserved cells count as freed capacity during the trial, and
   * afterwards unless its result is `no_fit`.
   */
  #tryReservationHolder (job: JobRecord): TrialResult {
    const model = job.spec.acceleratorModel
    const reservation = this.#reservations.remove(model)!
    this.#planFinder.capacityFreed(model)
    const result = this.#tryJob(job)
    if (result !== 'no_fit') {
      this.#freedModels.add(model)
      return result
    }
    if (this.#nowMs - reservation.calculatedMs >= this.#settings.reservationRefreshMs) this.#reserve(job)
    else this.#reservations.add(reservation)
    return result
  }

  #reserve (job: JobRecord): void {
    const { spec, shape } = job
    const isNonPreemptible = this.#policy.usesGuarantees() && !isPreemptible(spec)
    const isUsable = (cell: number) => !isNonPreemptible || this.#fleet.committed.isFree(cell)
    const forecast = this.#fleet.withoutWorkers(job.failedWorkerIds, () =>
      this.#forecaster.forecast(shape, this.#nowMs, isUsable))
    if (forecast === undefined) return
    this.#reservations.add({ ...forecast, job, calculatedMs: this.#nowMs })
  }

  /** Ends the reservation of a model, if any; its cells count as freed capacity. */
  #cancelReservation (model: string): void {
    if (this.#reservations.remove(model) !== undefined) this.#freedModels.add(model)
  }

  // Estimates

  #estimateRunMs (spec: JobSpec): number {
    return this.#policy.estimateRunMs(spec, this.#runTimes.learnedRunMs(spec))
  }

  #estimatedEndMs (job: JobRecord): number {
    const estimateMs = this.#estimateRunMs(job.spec)
    if (job.state !== 'placed') return this.#nowMs + estimateMs
    if (job.isBeingPreempted) return this.#nowMs + this.#rules.reclaimWithinMs
    const elapsedMs = this.#nowMs - job.startedMs
    if (elapsedMs < estimateMs) return job.startedMs + estimateMs
    return this.#nowMs + Math.max(OVERRUN_EXTENSION_MIN_MS, elapsedMs * OVERRUN_EXTENSION_FACTOR)
  }

  #recordSuccess (job: JobRecord, nowMs: number): void {
    this.#runTimes.record(job.spec, nowMs - job.startedMs)
    for (const task of job.placement!.tasks) this.#workerHealth.recordSuccess(task.workerId)
  }

  #explainerInput (): ExplainerInput {
    return {
      jobs: this.#jobs,
      refusals: this.#refusals,
      usage: this.#usage,
      reservationsByModel: this.#reservations.byModel,
      forecaster: this.#forecaster,
      reclaimWithinMs: this.#rules.reclaimWithinMs,
      compareWaiting: (left, right) => this.#policy.compareWaiting(this.#orderKeyOf(left), this.#orderKeyOf(right)),
      estimatedEndMs: job => this.#estimatedEndMs(job)
    }
  }
}

function describeImpossibleShape (spec: JobSpec): string {
  return `the inventory cannot hold ${spec.tasks} tasks of ${spec.acceleratorsPerTask} ` +
    `${spec.acceleratorModel} accelerators, ${spec.coresPerTask} cores and ${spec.memoryGbPerTask} GB with adjacency ${spec.adjacency}`
}
