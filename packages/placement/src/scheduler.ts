/** The gang scheduler: which jobs start where, which leave lent capacity, and which are stopped. */
import {
  type Configuration, type Failure, type JobExplanation, type JobSpec, type Placement, type Rules,
  defaultRules, emptyConfiguration, failure
} from '@comfreygrade/core'
import type { FleetReport, PlacementDecision, ReclaimCheck } from './decisions.js'
import { ExplanationWriter, type ExplainedState } from './explanations.js'
import { Fleet } from './fleet.js'
import { buildFleetReport } from './fleet-report.js'
import { type GangPlan, type JobRecord, createRecord, isReclaimable } from './jobs.js'
import { OrganisationShares } from './organisations.js'
import { planOf, placementOf } from './placements.js'
import { PlanFinder } from './plan-finder.js'
import { type PlacementPolicy, type WaitingHead, comparePriority } from './policies.js'
import { validateGuarantees } from './reclaim-check.js'
import { ReservationBook } from './reservation-book.js'
import { StartForecaster } from './reservations.js'
import { RunTimeHistory } from './run-times.js'
import type { PlacementSettings } from './settings.js'
import { type GangShape, ShapeTable } from './shapes.js'
import { Heap, type WaitingGroup, WaitingJobs, type WaitingQueue } from './waiting-jobs.js'
import { WorkerHealth } from './worker-health.js'

/** A job that runs longer than its estimate is expected to need this share of its time so far once more. */
const OVERRUN_EXTENSION = 0.5
const OVERRUN_EXTENSION_MIN_MS = 1_000

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
  /** First job that did not fit, by accelerator model; only where the policy does not backfill. */
  readonly #blocked = new Map<string, JobRecord>()
  readonly #readyClaims = new Set<JobRecord>()
  readonly #freedModels = new Set<string>()
  readonly #freedOrganisationIds = new Set<string>()
  readonly #refused = new Map<string, Failure>()
  #configuration: Configuration = emptyConfiguration()
  #rules: Rules = defaultRules
  #waiting = new WaitingJobs()
  #fleet!: Fleet
  #shapes!: ShapeTable
  #reservations!: ReservationBook
  #planFinder!: PlanFinder
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
    return this.#reservations.without(() => buildFleetReport({
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
    this.#reservations = new ReservationBook(this.#fleet)
    this.#planFinder = new PlanFinder(this.#fleet, this.#settings, this.#policy, this.#reservations,
      spec => this.#estimateRunMs(spec))
    this.#forecaster = new StartForecaster(this.#fleet, this.#settings, job => this.#estimatedEndMs(job))
    for (const { workerId } of this.#fleet.tree.workers) this.#fleet.setAvailable(workerId, this.#isUsable(workerId))
  }

  #rebuildIndex (): void {
    for (const job of this.#jobs.values()) if (job.state === 'claiming') this.#dropClaim(job)
    this.#blocked.clear()
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
      this.#planFinder.freed(model)
      this.#blocked.delete(model)
    }
    this.#waiting.reopen(freedModels, this.#freedOrganisationIds)
    this.#freedOrganisationIds.clear()
  }

  /** The holder of a reservation goes before its priority, so that new jobs of other organisations do not starve it. */
  #headOf (job: JobRecord): WaitingHead {
    const { priority, organisationId } = job.spec
    const share = this.#reservations.isHolder(job) ? -Infinity : this.#shares.share(organisationId, this.#nowMs)
    return { priority, sequence: job.sequence, share }
  }

  #serveQueue (freedModels: ReadonlySet<string>): void {
    const queue = new Heap<QueueEntry>((left, right) => this.#policy.compareWaiting(left.head, right.head))
    for (const [model, { job, calculatedMs }] of this.#reservations.all) {
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
    const trial = this.#reservations.isHolder(job) ? this.#tryHolder(job) : this.#try(job)
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
    const holder = this.#reservations.of(model)?.job
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
      ? this.#planFinder.find(job, room, this.#nowMs)
      : this.#fleet.without(job.failedWorkerIds, () => this.#planFinder.find(job, room, this.#nowMs))
    if (plan === undefined) return this.#stopWhereNoWorkerIsLeft(job) ? 'stopped' : 'no_fit'
    this.#carryOut(job, plan)
    return plan.victims.size === 0 ? 'placed' : 'claimed'
  }

  // Decisions

  #carryOut (job: JobRecord, plan: GangPlan): void {
    this.#waiting.remove(job)
    if (this.#reservations.isHolder(job)) this.#dropReservation(job.spec.acceleratorModel)
    job.plan = plan
    job.heldAccelerators = this.#fleet.acceleratorsOf(plan.cells)
    this.#shares.change(job.spec.organisationId, job.heldAccelerators, this.#nowMs)
    if (plan.victims.size === 0) this.#place(job, plan)
    else this.#claim(job, plan)
  }

  #place (job: JobRecord, plan: GangPlan): void {
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
    if (this.#reservations.isHolder(job)) this.#dropReservation(model)
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

  // Reservations

  /** Tries a job in its reserved and all other free cells; otherwise keeps or recalculates the reservation. */
  #tryHolder (job: JobRecord): Trial {
    const model = job.spec.acceleratorModel
    const reservation = this.#reservations.drop(model)!
    this.#planFinder.freed(model)
    const trial = this.#try(job)
    if (trial !== 'no_fit') {
      this.#freedModels.add(model)
      return trial
    }
    if (this.#nowMs - reservation.calculatedMs >= this.#settings.reservationRefreshMs) this.#reserve(job)
    else this.#reservations.keep(reservation)
    return trial
  }

  #reserve (job: JobRecord): void {
    const { spec, shape } = job
    const isFirm = this.#policy.usesGuarantees() && !isReclaimable(spec)
    const accepts = (cell: number) => !isFirm || this.#fleet.held.isFree(cell)
    const forecast = this.#fleet.without(job.failedWorkerIds, () =>
      this.#forecaster.forecast(shape, this.#nowMs, accepts))
    if (forecast === undefined) return
    this.#reservations.keep({ ...forecast, job, calculatedMs: this.#nowMs })
  }

  #dropReservation (model: string): void {
    if (this.#reservations.drop(model) !== undefined) this.#freedModels.add(model)
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
      reservations: this.#reservations.all,
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
