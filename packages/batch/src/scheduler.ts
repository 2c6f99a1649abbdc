/** One scheduling pass: which waiting tasks start where, and which runs are stopped for a guarantee. */
import type { Clock } from '@comfreygrade/core'
import type { BatchState } from './batch-state.js'
import type { Assignment } from './commands.js'
import {
  candidatesFor, chooseWorkers, onlyCandidates, RACK_PATIENCE_MS, undo, waitingKey, type Candidates, type TaskChoice
} from './worker-selection.js'
import { couldHold, occupyingRuns, usedShare, WorkerSlot } from './worker-capacity.js'
import { taskKey } from './jobs.js'
import type { WorkOrder } from './scheduling-order.js'
import { holdFreedRoom, planReclaim, type ReclaimPlan } from './reclaim.js'
import { ObjectiveReclaim, type ReclaimPolicy } from './reclaim-policy.js'
import { ExpectedRoom, reserve } from './reservation.js'
import type { BatchSettings } from './settings.js'
import { waitingSteps, type WaitingStep } from './waiting-steps.js'
import type { WorkerView } from './worker-view.js'

/** What a pass reads besides the replicated state. */
export interface FleetView {
  readonly views: Iterable<WorkerView>
  /** Whether a worker may get new runs now. */
  readonly isUsable: (view: WorkerView) => boolean
  readonly isStopping: (run: Assignment) => boolean
  /** Workers whose permission for a step is in hand; undefined while none is. */
  readonly permittedWorkers: (key: string) => ReadonlySet<string> | undefined
}

/** A run that gives way to urgent work. */
export interface Reclaim {
  readonly run: Assignment
  readonly forStepKey: string
  readonly lostCoreSeconds: number
}

/** What a pass decides. */
export interface PassDecision {
  readonly assignments: readonly Assignment[]
  readonly reclaims: readonly Reclaim[]
  /** Steps that wait for a permission. */
  readonly needPermission: readonly WaitingStep[]
}

/** One pass under way. */
interface Pass {
  readonly slots: readonly WorkerSlot[]
  readonly nowWallMs: number
  readonly isFleetKnown: boolean
  /** Longest wait for a better rack. */
  readonly rackPatienceMs: number
  readonly assignments: Assignment[]
  readonly reclaims: Reclaim[]
  readonly needPermission: WaitingStep[]
  reservations: number
  /** Steps that did not fit. */
  vainTrials: number
}

/** Steps that do not fit are tried up to this number, so that a pass over a long queue stays short. */
const MAX_VAIN_TRIALS = 64
/** Longest time from the order of stops until the step that they make room for has started. */
const CLAIM_MS = 2_000

/** Plans starts and stops from the replicated state and the leader's view of the workers. */
export class BatchScheduler {
  readonly #settings: BatchSettings
  readonly #clock: Clock
  readonly #order: WorkOrder
  readonly #reclaimPolicy: ReclaimPolicy
  readonly #createdAtMs: number
  /** Steps for which runs were stopped, with the end of their claim on the freed room. */
  readonly #claims = new Map<string, number>()

  constructor (settings: BatchSettings, clock: Clock, order: WorkOrder) {
    this.#settings = settings
    this.#clock = clock
    this.#order = order
    this.#createdAtMs = clock.monotonicMs()
    this.#reclaimPolicy = new ObjectiveReclaim(settings)
  }

  /** Runs a pass; what it returns has no effect until the assignments are committed. */
  pass (state: BatchState, fleet: FleetView): PassDecision {
    const nowWallMs = this.#clock.wallMs()
    this.#dropOldClaims()
    const steps = waitingSteps(state, this.#clock, this.#settings)
    const slots = steps.length === 0 ? [] : this.#slots(state, fleet)
    const isFleetKnown = this.#clock.monotonicMs() - this.#createdAtMs >= this.#settings.fleetSettleMs
    const pass: Pass = {
      slots,
      nowWallMs,
      isFleetKnown,
      rackPatienceMs: usedShare(slots) < this.#settings.busyFleetShare ? RACK_PATIENCE_MS : Infinity,
      assignments: [],
      reclaims: [],
      needPermission: [],
      reservations: 0,
      vainTrials: 0
    }
    steps.sort((left, right) => this.#compare(left, right, nowWallMs))
    for (const step of steps) {
      if (pass.vainTrials >= MAX_VAIN_TRIALS) break
      this.#place(step, fleet, pass)
    }
    return pass
  }

  /** Steps for which runs were stopped go first, so that nobody else takes the room that was freed for them. */
  #compare (left: WaitingStep, right: WaitingStep, nowWallMs: number): number {
    return Number(this.#claims.has(waitingKey(right))) - Number(this.#claims.has(waitingKey(left))) ||
      this.#order.compare(left, right, nowWallMs)
  }

  #dropOldClaims (): void {
    const nowMs = this.#clock.monotonicMs()
    for (const [key, expiresAtMs] of this.#claims) if (expiresAtMs <= nowMs) this.#claims.delete(key)
  }

  #place (step: WaitingStep, fleet: FleetView, pass: Pass): void {
    const permitted = step.hasAdvicePolicy ? fleet.permittedWorkers(waitingKey(step)) : undefined
    if (step.hasAdvicePolicy && permitted === undefined) {
      pass.needPermission.push(step)
      return
    }
    const eligible = pass.slots.filter(slot => mayRun(slot, step, permitted))
    if (eligible.length === 0) return
    const candidates = candidatesFor(step, eligible, pass.rackPatienceMs)
    const choices = chooseWorkers(step, candidates)
    this.#assign(step, choices, pass)
    const placed = new Set(choices.map(choice => choice.index))
    const rest = { ...step, taskIndexes: step.taskIndexes.filter(index => !placed.has(index)) }
    if (rest.taskIndexes.length > 0) this.#waitOrReclaim(rest, candidates, pass)
  }

  #assign (step: WaitingStep, choices: readonly TaskChoice[], pass: Pass): void {
    pass.assignments.push(...choices.map(choice => toAssignment(step, choice)))
  }

  #waitOrReclaim (step: WaitingStep, candidates: Candidates, pass: Pass): void {
    const expected = new ExpectedRoom(step, candidates)
    if (this.#startOverRacks(step, candidates, expected, pass)) return
    pass.vainTrials++
    if (this.#claims.has(waitingKey(step)) && holdFreedRoom(step, candidates)) return
    const mayReserve = pass.reservations < this.#settings.maxReservations
    if (!mayReserve && !this.#reclaimPolicy.mayReclaim(step)) return
    const { nowWallMs, isFleetKnown } = pass
    const situation = { nowWallMs, startsInMs: expected.reservation.inMs, isFleetKnown }
    const budget = this.#reclaimPolicy.budgetCoreSeconds(step, situation)
    if (budget > 0 && this.#reclaim(step, candidates, budget, pass)) return
    if (!mayReserve) return
    pass.reservations++
    reserve(step, expected.reservation)
  }

  /**
   * A same-rack gang runs over several racks where that ends it sooner than the wait for one, and where most of the
   * fleet is free, so that work never waits long beside idle workers.
   */
  #startOverRacks (step: WaitingStep, { workers }: Candidates, expected: ExpectedRoom, pass: Pass): boolean {
    const { isGang, isSameRack, estimateMs } = step.spec
    if (!isGang || !isSameRack) return false
    const patienceMs = Math.min((this.#settings.farFactor - 1) * estimateMs, pass.rackPatienceMs)
    if (step.waitedMs <= patienceMs || expected.reservation.inMs <= patienceMs) return false
    const choices = chooseWorkers(step, onlyCandidates(workers))
    this.#assign(step, choices, pass)
    return choices.length > 0
  }

  /** Returns whether the step has its room, some of it after stops. */
  #reclaim (step: WaitingStep, candidates: Candidates, budget: number, pass: Pass): boolean {
    const plan = planReclaim(step, candidates) ?? this.#planOverRacks(step, candidates, budget)
    if (plan === undefined) return false
    const { runs, lostCoreSeconds, held } = plan
    if (lostCoreSeconds > budget) {
      undo(step, held)
      return false
    }
    if (runs.length > 0) this.#claims.set(waitingKey(step), this.#clock.monotonicMs() + CLAIM_MS)
    pass.reclaims.push(...runs.map(run => ({ run, forStepKey: waitingKey(step), lostCoreSeconds })))
    return true
  }

  /** A guarantee that is due does not wait for a rack. */
  #planOverRacks (step: WaitingStep, { workers }: Candidates, budget: number): ReclaimPlan | undefined {
    return budget === Infinity ? planReclaim(step, onlyCandidates(workers)) : undefined
  }

  #slots (state: BatchState, fleet: FleetView): WorkerSlot[] {
    const nowMs = this.#clock.monotonicMs()
    const slots: WorkerSlot[] = []
    for (const view of fleet.views) {
      if (!fleet.isUsable(view)) continue
      slots.push(new WorkerSlot(view, occupyingRuns(state, view, fleet.isStopping, nowMs)))
    }
    return slots
  }
}

function mayRun (slot: WorkerSlot, step: WaitingStep, permitted: ReadonlySet<string> | undefined): boolean {
  const { service, labels, capacity, workerId } = slot.view.latest
  const { spec, job } = step
  return service === job.service && couldHold(capacity, spec) &&
    (spec.requiredLabel === '' || labels.includes(spec.requiredLabel)) &&
    (permitted === undefined || permitted.has(workerId))
}

function toAssignment (step: WaitingStep, { index, slot }: TaskChoice): Assignment {
  const { workerId, incarnation } = slot.view.latest
  const id = { jobId: step.job.spec.jobId, occurrence: step.occurrence, step: step.stepIndex, index }
  return { taskKey: taskKey(id), run: step.nextRunOf(index), workerId, incarnation }
}
