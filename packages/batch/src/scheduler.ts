/** One scheduling pass: which waiting tasks start where, and which runs are stopped for a guarantee. */
import type { Clock } from '@comfreygrade/core'
import type { BatchState } from './batch-state.js'
import type { Assignment } from './commands.js'
import { chooseWorkers, undo, waitingKey, type Eligibility, type TaskChoice } from './fitting.js'
import { couldHold, occupyingRuns, WorkerSlot } from './free-capacity.js'
import { taskKey } from './jobs.js'
import type { WorkOrder } from './ranking.js'
import { planReclaim } from './reclaim.js'
import { reserveRoom } from './reservation.js'
import type { BatchSettings } from './settings.js'
import { waitingSteps, type WaitingStep } from './waiting-work.js'
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
  readonly assignments: Assignment[]
  readonly reclaims: Reclaim[]
  readonly needPermission: WaitingStep[]
  reservations: number
}

/** Plans starts and stops from the replicated state and the leader's view of the workers. */
export class BatchScheduler {
  readonly #settings: BatchSettings
  readonly #clock: Clock
  readonly #order: WorkOrder

  constructor (settings: BatchSettings, clock: Clock, order: WorkOrder) {
    this.#settings = settings
    this.#clock = clock
    this.#order = order
  }

  /** Runs a pass; what it returns has no effect until the assignments are committed. */
  pass (state: BatchState, fleet: FleetView): PassDecision {
    const nowWallMs = this.#clock.wallMs()
    const slots = this.#slots(state, fleet)
    const pass: Pass = { slots, nowWallMs, assignments: [], reclaims: [], needPermission: [], reservations: 0 }
    const steps = waitingSteps(state, this.#clock, this.#settings)
    steps.sort((left, right) => this.#order.compare(left, right, nowWallMs))
    for (const step of steps) this.#place(step, fleet, pass)
    return pass
  }

  #place (step: WaitingStep, fleet: FleetView, pass: Pass): void {
    const permitted = step.hasAdvicePolicy ? fleet.permittedWorkers(waitingKey(step)) : undefined
    if (step.hasAdvicePolicy && permitted === undefined) {
      pass.needPermission.push(step)
      return
    }
    const isEligible: Eligibility = slot => mayRun(slot, step, permitted)
    const waitedMs = pass.nowWallMs - step.startedWallMs
    const choices = chooseWorkers(step, pass.slots, isEligible, waitedMs)
    pass.assignments.push(...choices.map(choice => toAssignment(step, choice)))
    const placed = new Set(choices.map(choice => choice.index))
    const rest = { ...step, taskIndexes: step.taskIndexes.filter(index => !placed.has(index)) }
    if (rest.taskIndexes.length > 0) this.#waitOrReclaim(rest, isEligible, waitedMs, pass)
  }

  #waitOrReclaim (step: WaitingStep, isEligible: Eligibility, waitedMs: number, pass: Pass): void {
    const budget = this.#reclaimBudget(step, waitedMs, pass.nowWallMs)
    if (budget > 0 || step.isGuaranteed) {
      const plan = planReclaim(step, pass.slots, isEligible)
      if (plan !== undefined && plan.lostCoreSeconds <= budget) {
        const { lostCoreSeconds } = plan
        pass.reclaims.push(...plan.runs.map(run => ({ run, forStepKey: waitingKey(step), lostCoreSeconds })))
        return
      }
      if (plan !== undefined) undo(step, plan.held)
    }
    if (pass.reservations >= this.#settings.maxReservations) return
    pass.reservations++
    reserveRoom(step, step.taskIndexes.length, pass.slots, isEligible)
  }

  /**
   * Work that may be thrown away for a step: any once its guarantee is due, and for other urgent work as much as its
   * objective is worth, while the objective can still be met.
   */
  #reclaimBudget (step: WaitingStep, waitedMs: number, nowWallMs: number): number {
    const { reclaimMs, reclaimLeadMs, reclaimBudgetCoreSeconds, reclaimSlackMs } = this.#settings
    if (step.isGuaranteed && waitedMs >= reclaimMs - reclaimLeadMs) return Infinity
    if (step.priority > 0) return 0
    const slackMs = step.objectiveWallMs - nowWallMs - step.remainingChainMs
    return slackMs >= 0 && slackMs <= reclaimSlackMs ? reclaimBudgetCoreSeconds : 0
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
