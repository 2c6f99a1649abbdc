/**
 * Scheduling passes: which waiting tasks start on which workers, and which runs are preempted (reclaims) for urgent
 * steps.
 */
import type { Clock } from '@comfreygrade/core'
import type { BatchState } from './batch-state.js'
import type { Assignment } from './commands.js'
import {
  findCandidates, placeTasks, asSingleGroup, MAX_RACK_WAIT_MS, undoPlacements, waitingStepKey, type Candidates,
  type TaskPlacement
} from './worker-selection.js'
import { workersByWarmth } from './cold-workers.js'
import { isSuitable } from './suitability.js'
import { listOccupyingRuns, peakUtilisation, WorkerCapacity } from './worker-capacity.js'
import { taskKey } from './jobs.js'
import type { SchedulingOrder } from './scheduling-order.js'
import {
  MAX_ASSIGNMENTS_PER_PASS, mayContinue, mayFollow, type FleetView, type Pass, type PassDecision, type StepOutcome,
  type UnplacedReason, type WaitReason
} from './scheduling-pass.js'
import { FailedPlacements } from './failed-placements.js'
import { holdFreedCapacity, planReclaim, type ReclaimPlan } from './reclaim.js'
import { PermittedRegions } from './permitted-regions.js'
import { usageByOrganisation } from './organisation-usage.js'
import { plainPolicies, type BatchPolicies } from './policies.js'
import { ObjectiveReclaimPolicy, type ReclaimPolicy } from './reclaim-policy.js'
import { RackExpectations } from './rack-expectations.js'
import { LazyReservation, reserve, reserveAgain, type Reservation } from './reservation.js'
import type { BatchSettings } from './settings.js'
import { WaitingQueue, type QueueEntry } from './waiting-queue.js'
import { isStepWaiting, withTasks, type QueuedStep, type WaitingStep } from './waiting-steps.js'
import type { UnschedulableReason } from './worker-registry.js'
import type { WorkerView } from './worker-view.js'

/**
 * A pass tries this many steps that do not fit in their order, and as many of the steps behind them, so that it stays
 * short with a long queue. The latter go on in the next pass where those of this one end.
 */
const MAX_UNPLACED_STEPS_PER_PASS = 64
/** Most steps of a pass whose reason to wait is reported, for the log. */
const MAX_REPORTED_WAITS = 64
/**
 * Time after which a step's claim to the capacity freed for it expires: the longest time from the decision to stop runs
 * until the step has started.
 */
const CLAIM_TIMEOUT_MS = 2_000

/** Decides on starts and preemptions from the replicated state and the leader's view of the workers. */
export class BatchScheduler {
  readonly #settings: BatchSettings
  readonly #clock: Clock
  readonly #schedulingOrder: SchedulingOrder
  readonly #policies: BatchPolicies
  readonly #reclaimPolicy: ReclaimPolicy
  readonly #termStartedAtMs: number
  /** Steps for which runs were stopped, with the time at which their claim on the freed capacity expires. */
  readonly #claims = new Map<string, number>()
  readonly #rackExpectations: RackExpectations
  /** Reservations of the latest pass. */
  #reservations: Array<{ readonly step: WaitingStep, readonly reservation: Reservation }> = []
  /** Key of the step at which the next pass goes on behind the steps that it tries in their order. */
  #resumeAtStep: string | undefined

  constructor (
    settings: BatchSettings, clock: Clock, order: SchedulingOrder, policies: BatchPolicies = plainPolicies()
  ) {
    this.#settings = settings
    this.#policies = policies
    this.#clock = clock
    this.#schedulingOrder = order
    this.#termStartedAtMs = clock.monotonicMs()
    this.#reclaimPolicy = new ObjectiveReclaimPolicy(settings)
    this.#rackExpectations = new RackExpectations(clock)
  }

  /** Runs a pass. Its assignments take effect only once they are committed. */
  runPass (state: BatchState, fleet: FleetView): PassDecision {
    const nowWallMs = this.#clock.wallMs()
    this.#reservations = []
    this.#removeExpiredClaims()
    const queue = this.#createQueue(state)
    const unschedulableWorkers = new Map<UnschedulableReason, number>()
    const workers = queue.isEmpty ? [] : this.#listSchedulable(state, fleet, unschedulableWorkers)
    this.#updateShares(queue, workers)
    queue.sort((left, right) => this.#compare(left, right, nowWallMs))
    const isFleetKnown = this.#clock.monotonicMs() - this.#termStartedAtMs >= this.#settings.fleetDiscoveryMs
    const pass: Pass = {
      workers,
      nowWallMs,
      isFleetKnown,
      regions: new PermittedRegions(state, this.#settings),
      maxRackWaitMs: peakUtilisation(workers) < this.#settings.busyFleetUtilisation ? MAX_RACK_WAIT_MS : Infinity,
      assignments: [],
      reclaims: [],
      stepsNeedingTickets: [],
      waits: [],
      unschedulableWorkers,
      failed: new FailedPlacements(),
      startedTaskCount: queue.startedTaskCount,
      reservationCount: 0,
      unplacedStepCount: 0,
      ticketWaitCount: 0,
      newTaskRoom: this.#settings.maxStartedTasks - queue.startedTaskCount
    }
    this.#rackExpectations.retain(key => isStepWaiting(state, key))
    this.#placeInOrder(queue, fleet, pass)
    this.#placeFromResumption(queue, fleet, pass)
    this.#policies.admission.recordPass(() => queue.work(), pass, this.#clock.monotonicMs())
    return pass
  }

  #createQueue (state: BatchState): WaitingQueue {
    return new WaitingQueue({
      state, clock: this.#clock, settings: this.#settings, policies: this.#policies, order: this.#schedulingOrder
    })
  }

  /** Returns the workers that may get new runs, with the reservations of the latest pass, for decisions outside one. */
  schedulableWorkers (state: BatchState, fleet: FleetView): WorkerCapacity[] {
    const workers = this.#listSchedulable(state, fleet, new Map())
    for (const { step, reservation } of this.#reservations) reserveAgain(step, reservation, workers)
    return workers
  }

  /** Updates the attained service of all organisations. Usage does not count while no step waits. */
  #updateShares (queue: WaitingQueue, workers: readonly WorkerCapacity[]): void {
    this.#policies.shares.update(usageByOrganisation(workers), queue.organisations(), this.#clock.monotonicMs())
  }

  /** Tries steps in their order. */
  #placeInOrder (queue: WaitingQueue, fleet: FleetView, pass: Pass): void {
    while (mayContinue(pass, MAX_UNPLACED_STEPS_PER_PASS)) {
      const entry = queue.take()
      if (entry === undefined) return
      const outcome = this.#placeStep(entry.step, fleet, pass)
      const following = mayFollow(outcome, pass) ? queue.following(entry) : undefined
      if (following !== undefined) queue.push(following)
    }
  }

  /**
   * Tries the steps that are left, from the one on at which the last pass ended, and then those before it. Further
   * occurrences of a job follow only after one that was placed, so that none of the other jobs has to wait for them.
   */
  #placeFromResumption (queue: WaitingQueue, fleet: FleetView, pass: Pass): void {
    const maxUnplaced = 2 * MAX_UNPLACED_STEPS_PER_PASS
    // The steps after the last task that a pass places are tried in order by the next one.
    if (!mayContinue(pass, maxUnplaced)) return
    const entries = this.#fromResumption(queue.takeAll())
    this.#resumeAtStep = undefined
    for (const entry of entries) {
      if (!mayContinue(pass, maxUnplaced)) {
        this.#resumeAtStep = waitingStepKey(entry.step)
        return
      }
      this.#placeOccurrences(entry, queue, fleet, pass)
    }
  }

  /** Tries a step, and the same one of the next occurrences for as long as they are placed. */
  #placeOccurrences (first: QueueEntry, queue: WaitingQueue, fleet: FleetView, pass: Pass): void {
    let entry: QueueEntry | undefined = first
    while (entry !== undefined && pass.assignments.length < MAX_ASSIGNMENTS_PER_PASS) {
      const outcome = this.#placeStep(entry.step, fleet, pass)
      if (outcome === 'tried' || !mayFollow(outcome, pass)) return
      entry = queue.following(entry)
    }
  }

  #fromResumption (entries: readonly QueueEntry[]): readonly QueueEntry[] {
    const index = entries.findIndex(({ step }) => waitingStepKey(step) === this.#resumeAtStep)
    return index <= 0 ? entries : [...entries.slice(index), ...entries.slice(0, index)]
  }

  /** Steps for which runs were stopped go first, so that no other step takes the capacity freed for them. */
  #compare (left: QueuedStep, right: QueuedStep, nowWallMs: number): number {
    return Number(this.#claims.has(waitingStepKey(right))) - Number(this.#claims.has(waitingStepKey(left))) ||
      this.#schedulingOrder.compare(left, right, nowWallMs)
  }

  #removeExpiredClaims (): void {
    const nowMs = this.#clock.monotonicMs()
    for (const [key, expiresAtMs] of this.#claims) if (expiresAtMs <= nowMs) this.#claims.delete(key)
  }

  #placeStep (queued: QueuedStep, fleet: FleetView, pass: Pass): StepOutcome {
    const step = withTasks(queued, {
      maxTasks: MAX_ASSIGNMENTS_PER_PASS - pass.assignments.length, maxNewTasks: pass.newTaskRoom
    })
    if (step.taskIndexes.length === 0) {
      // Later steps would take the room that becomes free, and a gang would never have enough of it.
      pass.newTaskRoom = 0
      return this.#exclude(step, 'state_limit', pass)
    }
    const permitted = step.hasAdvicePolicy ? fleet.permittedWorkers(waitingStepKey(step)) : undefined
    if (permitted?.size === 0) return this.#awaitTicket(step, 'ticket', pass)
    const knownReason = this.#mayOnlyBePlaced(step, pass) ? pass.failed.reasonFor(step) : undefined
    if (knownReason !== undefined) return this.#exclude(step, knownReason, pass)
    const regions = pass.regions.ofJob(step.job)
    const eligible = pass.workers.filter(worker => mayRun(worker, step, permitted) &&
      pass.regions.includesZone(regions, worker.view.latest.availabilityZone))
    if (eligible.length === 0) {
      // Steps that may run in other regions still find workers.
      if (regions === undefined) pass.failed.add(step, asSingleGroup(eligible), 'no_worker')
      return this.#exclude(step, regions === undefined ? 'no_worker' : 'region', pass)
    }
    const pools = workersByWarmth(step, eligible, this.#clock.monotonicMs())
    const { unplaced, candidates } = this.#placeOn(pools, step, pass)
    if (unplaced.taskIndexes.length === 0) return 'placed'
    const reason = this.#reclaimOrReserve(unplaced, candidates, pass)
    if (reason === undefined) return 'placed'
    // A placement that was tried on only some of the workers says nothing about other steps.
    if (regions === undefined && pools.includes(eligible)) pass.failed.add(step, candidates, lackOf(step, candidates))
    this.#recordWait(unplaced, reason, pass)
    return 'tried'
  }

  #exclude (step: WaitingStep, reason: WaitReason, pass: Pass): StepOutcome {
    // Workers that are eligible for an advised step depend on its tickets, so other occurrences may have some.
    if (step.hasAdvicePolicy && reason === 'no_worker') return this.#awaitTicket(step, reason, pass)
    this.#recordWait(step, { reason }, pass)
    return 'excluded'
  }

  #awaitTicket (step: WaitingStep, reason: WaitReason, pass: Pass): StepOutcome {
    this.#recordWait(step, { reason }, pass)
    pass.ticketWaitCount++
    return 'ticket'
  }

  /** Places the tasks of a step on sets of workers in turn; returns those that did not fit, and the last candidates. */
  #placeOn (
    pools: ReadonlyArray<readonly WorkerCapacity[]>, step: WaitingStep, pass: Pass
  ): { readonly unplaced: WaitingStep, readonly candidates: Candidates } {
    let unplaced = step
    let candidates = asSingleGroup([])
    for (const pool of pools) {
      candidates = findCandidates(unplaced, pool, pass.maxRackWaitMs)
      const placements = placeTasks(unplaced, candidates)
      this.#assign(unplaced, placements, pass)
      const placed = new Set(placements.map(placement => placement.taskIndex))
      unplaced = {
        ...unplaced,
        taskIndexes: unplaced.taskIndexes.filter(index => !placed.has(index)),
        waitingTaskCount: unplaced.waitingTaskCount - placed.size
      }
      if (unplaced.taskIndexes.length === 0) break
    }
    return { unplaced, candidates }
  }

  /** Whether a step neither preempts others nor gets a reservation, so that it is only placed or waits. */
  #mayOnlyBePlaced (step: WaitingStep, pass: Pass): boolean {
    return pass.reservationCount >= this.#settings.maxReservations && !this.#reclaimPolicy.mayReclaim(step) &&
      !this.#claims.has(waitingStepKey(step))
  }

  #recordWait (step: WaitingStep, reason: UnplacedReason, pass: Pass): void {
    if (step.hasAdvicePolicy) pass.stepsNeedingTickets.push(step)
    if (pass.waits.length < MAX_REPORTED_WAITS) pass.waits.push({ step, taskCount: step.waitingTaskCount, ...reason })
  }

  #assign (step: WaitingStep, placements: readonly TaskPlacement[], pass: Pass): void {
    for (const placement of placements) {
      pass.assignments.push(toAssignment(step, placement))
      if (step.record?.hasRecord(placement.taskIndex) !== true) pass.newTaskRoom--
    }
  }

  /** Returns why the step waits, or undefined if it was placed. */
  #reclaimOrReserve (step: WaitingStep, candidates: Candidates, pass: Pass): UnplacedReason | undefined {
    const reservation = new LazyReservation(step, candidates)
    if (this.#placeAcrossRacks(step, candidates, reservation, pass)) return undefined
    pass.unplacedStepCount++
    if (this.#claims.has(waitingStepKey(step)) && holdFreedCapacity(step, candidates)) return { reason: 'reclaim' }
    const mayReserve = pass.reservationCount < this.#settings.maxReservations
    if (!mayReserve && !this.#reclaimPolicy.mayReclaim(step)) return { reason: lackOf(step, candidates) }
    const { nowWallMs, isFleetKnown } = pass
    const context = { nowWallMs, startDelayMs: reservation.value.delayMs, isFleetKnown }
    const budget = this.#reclaimPolicy.lossBudgetCoreSeconds(step, context)
    if (budget > 0 && this.#reclaim(step, candidates, budget, pass)) return { reason: 'reclaim' }
    if (!mayReserve) return { reason: lackOf(step, candidates) }
    pass.reservationCount++
    reserve(step, reservation.value)
    this.#reservations.push({ step, reservation: reservation.value })
    return reservation.value.delayMs === Infinity
      ? { reason: lackOf(step, candidates) }
      : { reason: 'reservation', expectedStartMs: Math.round(reservation.value.delayMs) }
  }

  /**
   * Places a same-rack gang across racks once it has waited for one rack as long as the slowdown would cost, if no rack
   * is expected to be free within that time, or one should have been by now. While much of the fleet is free the wait
   * is limited to `maxRackWaitMs`, so that no gang waits long beside idle workers.
   */
  #placeAcrossRacks (step: WaitingStep, { workers }: Candidates, reservation: LazyReservation, pass: Pass): boolean {
    const { isGang, isSameRack } = step.spec
    if (!isGang || !isSameRack) return false
    const maxWaitMs = Math.min((this.#settings.farFactor - 1) * step.runTime.typicalMs, pass.maxRackWaitMs)
    if (step.waitedMs <= maxWaitMs) return false
    const { delayMs } = reservation.value
    if (delayMs <= maxWaitMs && this.#rackExpectations.isReliable(waitingStepKey(step), delayMs)) return false
    const placements = placeTasks(step, asSingleGroup(workers))
    this.#assign(step, placements, pass)
    return placements.length > 0
  }

  /**
   * Returns whether the capacity for the step is now held; some of it becomes free only when the victims have stopped.
   */
  #reclaim (step: WaitingStep, candidates: Candidates, budget: number, pass: Pass): boolean {
    const { shares } = this.#policies
    const plan = planReclaim(step, candidates, shares) ?? this.#planReclaimAcrossRacks(step, candidates, budget)
    if (plan === undefined) return false
    const { runs, lostCoreSeconds, heldPlacements } = plan
    if (lostCoreSeconds > budget) {
      undoPlacements(step, heldPlacements)
      return false
    }
    if (runs.length > 0) this.#claims.set(waitingStepKey(step), this.#clock.monotonicMs() + CLAIM_TIMEOUT_MS)
    pass.reclaims.push(...runs.map(assignment => ({ assignment, forStepKey: waitingStepKey(step), lostCoreSeconds })))
    return true
  }

  /** A guarantee that is due does not wait for capacity within one rack. */
  #planReclaimAcrossRacks (step: WaitingStep, { workers }: Candidates, budget: number): ReclaimPlan | undefined {
    return budget === Infinity ? planReclaim(step, asSingleGroup(workers), this.#policies.shares) : undefined
  }

  #capacityOf (view: WorkerView, state: BatchState, fleet: FleetView, nowMs: number): WorkerCapacity {
    const runs = listOccupyingRuns(state, view, fleet.isStopping, nowMs, this.#policies)
    const isReachable = fleet.isReachable(view.latest.workerId)
    return new WorkerCapacity(view, runs, isReachable, this.#policies.workerSpeeds.slowdownOf(view.latest))
  }

  /** Returns the workers that may get new runs, and counts the others by reason. */
  #listSchedulable (
    state: BatchState, fleet: FleetView, unschedulableWorkers: Map<UnschedulableReason, number>
  ): WorkerCapacity[] {
    const nowMs = this.#clock.monotonicMs()
    const workers: WorkerCapacity[] = []
    for (const view of fleet.views) {
      const reason = fleet.unschedulableReason(view)
      if (reason !== undefined) {
        unschedulableWorkers.set(reason, (unschedulableWorkers.get(reason) ?? 0) + 1)
        continue
      }
      workers.push(this.#capacityOf(view, state, fleet, nowMs))
    }
    return workers
  }
}

/** What a step lacks that no capacity could be found for. */
function lackOf ({ spec }: WaitingStep, { workers, groups }: Candidates): WaitReason {
  if (spec.isGang && spec.isSameRack) return 'rack'
  const isInDataRack = spec.dataRack !== '' && workers.every(worker => worker.view.latest.rack === spec.dataRack)
  return isInDataRack && groups.length > 0 ? 'data_rack' : 'capacity'
}

function mayRun (
  worker: WorkerCapacity, step: WaitingStep, permitted: ReadonlyMap<string, number> | undefined
): boolean {
  const { workerId, incarnation } = worker.view.latest
  return isSuitable(worker.view, step.job, step.spec) &&
    (permitted === undefined || permitted.get(workerId) === incarnation)
}

function toAssignment (step: WaitingStep, { taskIndex, worker }: TaskPlacement): Assignment {
  const { workerId, incarnation } = worker.view.latest
  const id = { jobId: step.job.spec.jobId, occurrence: step.occurrence, step: step.stepIndex, index: taskIndex }
  return { taskKey: taskKey(id), run: step.nextRunOf(taskIndex), workerId, incarnation }
}
