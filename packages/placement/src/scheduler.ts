/** The gang scheduler: decides which jobs start where, which are preempted, and which are stopped. */
import {
  type Configuration, type Failure, type JobExplanation, type JobSpec, type Placement, type Rules,
  defaultRules, emptyConfiguration, failure
} from '@comfreygrade/core'
import { checkAdmission } from './admission.js'
import type { FleetReport, PlacementDecision, ReclaimCheck } from './decisions.js'
import { JobExplainer, type ExplainerInput } from './job-explainer.js'
import { Fleet } from './fleet.js'
import { GangPlacer } from './gang-placer.js'
import { buildFleetReport } from './fleet-report.js'
import { type GangPlan, type JobRecord, createJobRecord, isPreemptible } from './job-record.js'
import { OrganisationUsage } from './organisations.js'
import { PlanFinder } from './plan-finder.js'
import { type PlacementPolicy, type WaitingOrderKey, comparePriority } from './policies.js'
import { validateGuarantees } from './reclaim-check.js'
import { ReservationTable } from './reservation-table.js'
import { StartForecaster } from './start-forecaster.js'
import { RefusalHistory } from './refusal-history.js'
import { RunEndEstimator } from './run-end-estimator.js'
import { RunTimeHistory } from './run-times.js'
import type { PlacementSettings } from './settings.js'
import { ShapeTable } from './shapes.js'
import { WaitingJobs } from './waiting-jobs.js'
import { type TrialResult, WaitingPass } from './waiting-pass.js'
import { WorkerAvailability } from './worker-availability.js'

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
  readonly #estimator: RunEndEstimator
  readonly #placer: GangPlacer
  readonly #workers: WorkerAvailability
  readonly #jobs = new Map<string, JobRecord>()
  /** First job that did not fit, by accelerator model; used only if the policy does not backfill. */
  readonly #blockingJobs = new Map<string, JobRecord>()
  readonly #refusals: RefusalHistory
  #configuration: Configuration = emptyConfiguration()
  #rules: Rules = defaultRules
  #waitingJobs = new WaitingJobs()
  #fleet!: Fleet
  #shapes!: ShapeTable
  #reservations!: ReservationTable
  #planFinder!: PlanFinder
  #forecaster!: StartForecaster
  #nextSequence = 1
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
    this.#estimator = new RunEndEstimator(policy, this.#runTimes)
    this.#workers = new WorkerAvailability(settings)
    this.#placer = new GangPlacer({ fleet: () => this.#fleet, usage: this.#usage })
    this.#refusals = new RefusalHistory(settings.explainHistoryLength)
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
    const { freedOrganisationIds } = this.#placer
    for (const organisationId of configuration.organisations.keys()) freedOrganisationIds.add(organisationId)
  }

  /** Records that a worker joined; it gets tasks once it is also in the configuration. */
  workerJoined (workerId: string, nowMs: number): void {
    this.#advanceClock(nowMs)
    this.#workers.join(workerId)
    this.#refreshWorker(workerId)
  }

  /** Records that a worker was lost. Its jobs keep their cells until they end or are requeued. */
  workerLost (workerId: string, nowMs: number): void {
    this.#advanceClock(nowMs)
    this.#workers.leave(workerId)
    this.#refreshWorker(workerId)
  }

  /** Drains a worker: it gets no new tasks, running tasks stay. */
  drainWorker (workerId: string): void {
    this.#workers.setDraining(workerId, true)
    this.#refreshWorker(workerId)
  }

  /** Ends a drain. */
  undrainWorker (workerId: string): void {
    this.#workers.setDraining(workerId, false)
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
    const refusal = checkAdmission(spec, shape, {
      hasJob: jobId => this.#jobs.has(jobId), usage: this.#usage, maxGangTasks: this.#rules.maxGangTasks
    })
    if (refusal === undefined) {
      this.#enqueue(createJobRecord(spec, shape, this.#nextSequence++, nowMs))
      return undefined
    }
    // Under the same ID, this refusal would be taken for the fate of the existing job.
    if (refusal.kind !== 'job_exists') this.#refusals.record(spec.jobId, refusal)
    return refusal
  }

  /** Restores a running job from its recorded placement after a leader change; waiting jobs are submitted again. */
  restore (spec: JobSpec, placement: Placement, startedMs: number): void {
    const job = createJobRecord(spec, this.#shapes.shapeOf(spec), this.#nextSequence++, startedMs)
    job.startedMs = startedMs
    job.placement = placement
    this.#jobs.set(spec.jobId, job)
    this.#placer.occupyRecorded(job, this.#nowMs)
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
    if (this.#workers.health.recordFailure(workerId, jobId, nowMs)) this.#refreshWorker(workerId)
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
    this.#placer.vacate(job, this.#nowMs)
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
    this.#placer.vacate(job, this.#nowMs)
    if (job.isTerminating) {
      this.#jobs.delete(jobId)
      return
    }
    this.#enqueue(job)
  }

  /** Runs a scheduling pass: places waiting jobs, and preempts jobs on lent capacity for guarantees or urgent jobs. */
  runPass (nowMs: number): PlacementDecision[] {
    this.#advanceClock(nowMs)
    for (const workerId of this.#workers.health.endExpiredQuarantines(nowMs)) this.#refreshWorker(workerId)
    this.#placer.placeReadyClaims(this.#nowMs)
    const freedModels = new Set(this.#placer.freedModels)
    this.#placer.freedModels.clear()
    this.#reopenGroups(freedModels)
    this.#tryWaitingJobs(freedModels)
    return this.#placer.takeDecisions()
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
      quarantinedWorkerIds: this.#workers.health.quarantinedWorkerIds(),
      drainingWorkerIds: this.#workers.drainingWorkerIds(),
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
      spec => this.#estimator.estimateRunMs(spec))
    this.#forecaster = new StartForecaster(this.#fleet, this.#settings, job => this.#estimatedEndMs(job))
    for (const { workerId } of this.#fleet.tree.workers) {
      this.#fleet.setAvailable(workerId, this.#workers.isInService(workerId))
    }
  }

  #rebuildFleetState (): void {
    for (const job of this.#jobs.values()) if (job.state === 'claiming') this.#placer.releaseClaim(job, this.#nowMs)
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
    this.#placer.occupyRecorded(job, this.#nowMs)
  }

  #missingOrQuarantinedWorkerIds (): string[] {
    const ids = this.#fleet.tree.workers.map(worker => worker.workerId)
    return ids.filter(workerId => this.#workers.isMissingOrQuarantined(workerId))
  }

  #refreshWorker (workerId: string): void {
    const worker = this.#configuration.workers.get(workerId)
    const isAvailable = this.#workers.isInService(workerId)
    if (worker === undefined || this.#fleet.isAvailable(workerId) === isAvailable) return
    this.#fleet.setAvailable(workerId, isAvailable)
    // Also after a loss: the reservation holder is tried again, and a job that fits only on workers where its tasks
    // failed is stopped.
    this.#placer.freedModels.add(worker.acceleratorModel)
    if (isAvailable) return
    for (const job of this.#fleet.claimantsOnWorker(workerId)) {
      this.#placer.releaseClaim(job, this.#nowMs)
      this.#waitingJobs.add(job)
    }
  }

  // Waiting order

  #reopenGroups (freedModels: ReadonlySet<string>): void {
    if (freedModels.size === 0 && this.#placer.freedOrganisationIds.size === 0) return
    for (const model of freedModels) {
      this.#planFinder.capacityFreed(model)
      this.#blockingJobs.delete(model)
    }
    this.#waitingJobs.reopen(freedModels, this.#placer.freedOrganisationIds)
    this.#placer.freedOrganisationIds.clear()
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
    const pass = new WaitingPass({
      policy: this.#policy,
      waitingJobs: this.#waitingJobs,
      maxFailedTrials: this.#settings.maxFailedTrials,
      orderKeyOf: job => this.#orderKeyOf(job),
      isBlocked: (job, orderKey) => this.#isBlocked(job, orderKey),
      tryJob: job => this.#tryOrReserve(job)
    })
    pass.run(this.#dueReservationHolders(freedModels))
  }

  #dueReservationHolders (freedModels: ReadonlySet<string>): JobRecord[] {
    const dueMs = this.#nowMs - this.#settings.reservationRefreshMs
    return [...this.#reservations.byModel]
      .filter(([model, { calculatedMs }]) => calculatedMs <= dueMs || freedModels.has(model))
      .map(([, { job }]) => job)
  }

  #tryOrReserve (job: JobRecord): TrialResult {
    const result = this.#reservations.hasReservation(job) ? this.#tryReservationHolder(job) : this.#tryJob(job)
    if (result === 'no_fit') this.#reserveOrBlock(job)
    return result
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
    this.#placer.apply(job, plan, this.#nowMs)
  }

  #removeUnplaced (job: JobRecord): void {
    const model = job.spec.acceleratorModel
    if (job.state === 'claiming') this.#placer.releaseClaim(job, this.#nowMs)
    this.#waitingJobs.remove(job)
    if (this.#reservations.hasReservation(job)) this.#cancelReservation(model)
    if (this.#blockingJobs.get(model) === job) this.#placer.freedModels.add(model)
    this.#jobs.delete(job.spec.jobId)
  }

  #stop (job: JobRecord, detail: string): void {
    const cause = failure('backend_failed', `job ${job.spec.jobId} was stopped: ${detail}`)
    job.isTerminating = true
    this.#placer.addDecision({ kind: 'stop', jobId: job.spec.jobId, failure: cause })
    this.#refusals.record(job.spec.jobId, cause)
    for (const workerId of job.failedWorkerIds) {
      if (this.#workers.health.retractFailure(workerId, job.spec.jobId)) this.#refreshWorker(workerId)
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
      this.#placer.freedModels.add(model)
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
    if (this.#reservations.remove(model) !== undefined) this.#placer.freedModels.add(model)
  }

  // Estimates

  #estimatedEndMs (job: JobRecord): number {
    const { reclaimWithinMs } = this.#rules
    return this.#estimator.estimatedEndMs(job, { nowMs: this.#nowMs, reclaimWithinMs })
  }

  #recordSuccess (job: JobRecord, nowMs: number): void {
    this.#runTimes.record(job.spec, nowMs - job.startedMs)
    for (const task of job.placement!.tasks) this.#workers.health.recordSuccess(task.workerId)
  }

  #explainerInput (): ExplainerInput {
    return {
      jobs: this.#jobs,
      refusals: this.#refusals.failures,
      usage: this.#usage,
      reservationsByModel: this.#reservations.byModel,
      forecaster: this.#forecaster,
      reclaimWithinMs: this.#rules.reclaimWithinMs,
      compareWaiting: (left, right) => this.#policy.compareWaiting(this.#orderKeyOf(left), this.#orderKeyOf(right)),
      estimatedEndMs: job => this.#estimatedEndMs(job)
    }
  }
}
