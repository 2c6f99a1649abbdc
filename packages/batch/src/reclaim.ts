/** Capacity taken back for jobs of priority 0 within the guarantee of their organisation. */
import type { BatchState } from './batch-state.js'
import type { Assignment } from './commands.js'
import type { OccupyingRun, WorkerSlot } from './free-capacity.js'
import { chooseWorkers, type Eligibility } from './fitting.js'
import type { JobRecord } from './job-record.js'
import type { WaitingStep } from './waiting-work.js'

/** Accelerators that the open jobs of priority 0 of each organisation need, against its guarantee. */
export class GuaranteeLedger {
  readonly #state: BatchState
  readonly #neededByOrganisation = new Map<string, number>()

  constructor (state: BatchState) {
    this.#state = state
    for (const job of state.openJobs()) {
      if (!this.#isUrgent(job)) continue
      const needed = this.#neededByOrganisation.get(job.organisation) ?? 0
      this.#neededByOrganisation.set(job.organisation, needed + widestStepAccelerators(job))
    }
  }

  /** Whether a step may take back capacity: all such jobs of its organisation fit into the guarantee. */
  covers (step: WaitingStep): boolean {
    const { job } = step
    if (!this.#isUrgent(job)) return false
    const guaranteed = this.#state.directory?.guaranteedAccelerators(job.organisation) ?? 0
    return (this.#neededByOrganisation.get(job.organisation) ?? 0) <= guaranteed
  }

  #isUrgent (job: JobRecord): boolean {
    return this.#state.directory?.at(job.queueAddress)?.priority === 0
  }
}

function widestStepAccelerators (job: JobRecord): number {
  return Math.max(0, ...job.spec.steps.map(step => step.taskCount * step.shape.acceleratorCount))
}

/** Processor cores that one accelerator counts for when the work thrown away is compared. */
const CORES_PER_ACCELERATOR = 8

/**
 * Chooses runs to stop so that a step fits. Capacity of runs that are stopping already counts as free, and what the
 * step will take of it is held back from work behind it in the pass.
 *
 * @example
 * const stops = planReclaim(step, slots, slot => slot.view.latest.service === 'print', 0)
 */
export function planReclaim (
  step: WaitingStep, slots: readonly WorkerSlot[], isEligible: Eligibility, alreadyPlaced: number
): Assignment[] {
  const rest = { ...step, taskIndexes: step.taskIndexes.slice(alreadyPlaced) }
  const freed = slots.filter(isEligible).flatMap(slot => slot.runs.filter(run => run.isStopping).map(run => ({ slot, run })))
  giveBackAll(freed)
  if (chooseWorkers(rest, slots, isEligible, Infinity).length > 0) {
    takeAll(freed)
    return []
  }
  const victims = chooseVictims(rest, slots.filter(isEligible))
  giveBackAll(victims)
  const choices = chooseWorkers(rest, slots, isEligible, Infinity)
  takeAll(freed)
  takeAll(victims)
  return choices.length === 0 ? [] : keepNeeded(victims, choices.map(choice => choice.slot))
}

interface Victim { readonly slot: WorkerSlot, readonly run: OccupyingRun }

function chooseVictims (step: WaitingStep, slots: readonly WorkerSlot[]): Victim[] {
  const victims: Victim[] = []
  for (const slot of slots) victims.push(...victimsOn(slot, step))
  return victims
}

/** The cheapest runs of one worker whose end makes room for at least one task. */
function victimsOn (slot: WorkerSlot, step: WaitingStep): Victim[] {
  const candidates = slot.runs
    .filter(run => !run.isStopping && run.priority > 0 && !run.spec.isLasting)
    .sort((left, right) => stopCost(left) - stopCost(right))
  const victims: Victim[] = []
  for (const run of candidates) {
    if (slot.fits(step.spec)) break
    slot.giveBack(run.spec)
    victims.push({ slot, run })
  }
  const isEnough = slot.fits(step.spec)
  takeAll(victims)
  return isEnough ? victims : []
}

function stopCost ({ spec, priority }: OccupyingRun): number {
  if (spec.isFiller) return -1
  const cores = spec.shape.cpuMillicores / 1_000 + spec.shape.acceleratorCount * CORES_PER_ACCELERATOR
  return cores * (spec.isCheckpointing ? 0.1 : 1) / Math.max(1, priority)
}

function keepNeeded (victims: readonly Victim[], used: readonly WorkerSlot[]): Assignment[] {
  return victims.filter(({ slot }) => used.includes(slot)).map(({ run }) => run.assignment)
}

function giveBackAll (victims: readonly Victim[]): void {
  for (const { slot, run } of victims) slot.giveBack(run.spec)
}

function takeAll (victims: readonly Victim[]): void {
  for (const { slot, run } of victims) slot.take(run.spec)
}
