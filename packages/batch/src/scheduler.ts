/** One scheduling pass: which waiting tasks start where, and which runs are stopped for a guarantee. */
import type { Clock } from '@comfreygrade/core'
import type { BatchState } from './batch-state.js'
import type { Assignment } from './commands.js'
import { chooseWorkers, type TaskChoice } from './fitting.js'
import { couldHold, occupyingRuns, WorkerSlot } from './free-capacity.js'
import { stepKey, taskKey } from './jobs.js'
import type { WorkOrder } from './ranking.js'
import { GuaranteeLedger, planReclaim } from './reclaim.js'
import type { BatchSettings } from './settings.js'
import { waitingSteps, type WaitingStep } from './waiting-work.js'
import type { WorkerView } from './worker-view.js'

/** What a pass reads besides the replicated state. */
export interface FleetView {
  readonly views: Iterable<WorkerView>
  /** Whether a worker may get new runs now. */
  readonly isUsable: (view: WorkerView) => boolean
  readonly isStopping: (run: Assignment) => boolean
  /** Workers whose permission for a step is in hand; undefined where the queue asks for none. */
  readonly permittedWorkers: (key: string) => ReadonlySet<string> | undefined
}

/** What a pass decides. */
export interface PassDecision {
  readonly assignments: readonly Assignment[]
  readonly stops: readonly Assignment[]
  /** Steps that wait for a permission. */
  readonly needPermission: readonly WaitingStep[]
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
    const slots = this.#slots(state, fleet)
    const nowWallMs = this.#clock.wallMs()
    const steps = waitingSteps(state, this.#clock, this.#settings)
    steps.sort((left, right) => this.#order.compare(left, right, nowWallMs))
    const ledger = new GuaranteeLedger(state)
    const assignments: Assignment[] = []
    const stops: Assignment[] = []
    const needPermission: WaitingStep[] = []
    for (const step of steps) {
      const permitted = fleet.permittedWorkers(keyOf(step))
      if (step.hasAdvicePolicy && permitted === undefined) needPermission.push(step)
      if (step.hasAdvicePolicy && permitted === undefined) continue
      const isEligible = (slot: WorkerSlot): boolean => mayRun(slot, step, permitted)
      const choices = chooseWorkers(step, slots, isEligible, nowWallMs - step.startedWallMs)
      assignments.push(...choices.map(choice => toAssignment(step, choice)))
      if (choices.length === step.taskIndexes.length || !ledger.covers(step)) continue
      stops.push(...planReclaim(step, slots, isEligible, choices.length))
    }
    return { assignments, stops, needPermission }
  }

  #slots (state: BatchState, fleet: FleetView): WorkerSlot[] {
    const slots: WorkerSlot[] = []
    for (const view of fleet.views) {
      if (!fleet.isUsable(view)) continue
      slots.push(new WorkerSlot(view, occupyingRuns(state, view.latest.workerId, fleet.isStopping)))
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

function keyOf (step: WaitingStep): string {
  return stepKey(step.job.spec.jobId, step.occurrence, step.stepIndex)
}

function toAssignment (step: WaitingStep, { index, slot }: TaskChoice): Assignment {
  const { workerId, incarnation } = slot.view.latest
  const id = { jobId: step.job.spec.jobId, occurrence: step.occurrence, step: step.stepIndex, index }
  return { taskKey: taskKey(id), run: step.nextRunOf(index), workerId, incarnation }
}
