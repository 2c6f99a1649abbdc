/** Choice of workers for the tasks of a step. */
import { stepKey } from './jobs.js'
import type { WorkerSlot } from './free-capacity.js'
import type { WaitingStep } from './waiting-work.js'

/** A task and the worker chosen for it. */
export interface TaskChoice {
  readonly index: number
  readonly slot: WorkerSlot
}

/** Whether a worker may run a step at all. */
export type Eligibility = (slot: WorkerSlot) => boolean

/**
 * Chooses workers for the waiting tasks: all members of a gang or none, of other steps as many as fit. The capacity of
 * what is chosen is taken from the slots.
 *
 * @example
 * const choices = chooseWorkers(step, slots, slot => slot.view.latest.service === step.job.service, 0)
 */
export function chooseWorkers (
  step: WaitingStep, slots: readonly WorkerSlot[], isEligible: Eligibility, waitedMs: number
): TaskChoice[] {
  const eligible = slots.filter(isEligible)
  if (step.spec.isGang && step.spec.isSameRack) return chooseOneRack(step, eligible)
  const near = nearData(step, eligible, waitedMs)
  const choices = chooseEach(step, near)
  if (step.spec.isGang && choices.length < step.taskIndexes.length) {
    undo(step, choices)
    return []
  }
  return choices
}

/** Returns the capacity of choices that are not used. */
export function undo (step: WaitingStep, choices: readonly TaskChoice[]): void {
  const key = stepKey(step.job.spec.jobId, step.occurrence, step.stepIndex)
  for (const { slot } of choices) {
    slot.giveBack(step.spec)
    slot.tasksByStep.set(key, (slot.tasksByStep.get(key) ?? 1) - 1)
  }
}

/** The rack that is left with the fewest free accelerators, so that others keep large pieces. */
function chooseOneRack (step: WaitingStep, eligible: readonly WorkerSlot[]): TaskChoice[] {
  let best: TaskChoice[] = []
  let bestFree = Infinity
  for (const slots of slotsByRack(eligible).values()) {
    const choices = chooseEach(step, slots)
    const free = slots.reduce((sum, slot) => sum + slot.acceleratorCount, 0)
    undo(step, choices)
    if (choices.length < step.taskIndexes.length || free >= bestFree) continue
    best = choices
    bestFree = free
  }
  const key = stepKey(step.job.spec.jobId, step.occurrence, step.stepIndex)
  for (const { slot } of best) {
    slot.take(step.spec)
    slot.tasksByStep.set(key, (slot.tasksByStep.get(key) ?? 0) + 1)
  }
  return best
}

function slotsByRack (slots: readonly WorkerSlot[]): Map<string, WorkerSlot[]> {
  const racks = new Map<string, WorkerSlot[]>()
  for (const slot of slots) {
    const { rack } = slot.view.latest
    const group = racks.get(rack)
    if (group === undefined) racks.set(rack, [slot])
    else group.push(slot)
  }
  return racks
}

/**
 * Work away from its data takes several times as long, so it waits for its rack for as long as one run takes there.
 */
function nearData (step: WaitingStep, eligible: readonly WorkerSlot[], waitedMs: number): readonly WorkerSlot[] {
  const { dataRack, estimateMs } = step.spec
  if (dataRack === '' || waitedMs > estimateMs) return eligible
  const near = eligible.filter(slot => slot.view.latest.rack === dataRack)
  return near.length > 0 ? near : eligible
}

function chooseEach (step: WaitingStep, eligible: readonly WorkerSlot[]): TaskChoice[] {
  const choices: TaskChoice[] = []
  const key = stepKey(step.job.spec.jobId, step.occurrence, step.stepIndex)
  for (const index of step.taskIndexes) {
    const slot = tightest(step, eligible, key)
    if (slot === undefined) break
    slot.take(step.spec)
    slot.tasksByStep.set(key, (slot.tasksByStep.get(key) ?? 0) + 1)
    choices.push({ index, slot })
  }
  return choices
}

/** The worker that fits with the least left over. */
function tightest (step: WaitingStep, eligible: readonly WorkerSlot[], key: string): WorkerSlot | undefined {
  const limit = step.spec.maxTasksPerWorker
  let best: WorkerSlot | undefined
  let bestLeft = Infinity
  for (const slot of eligible) {
    if (!slot.fits(step.spec) || (limit > 0 && (slot.tasksByStep.get(key) ?? 0) >= limit)) continue
    const left = leftOver(slot, step)
    if (left >= bestLeft) continue
    best = slot
    bestLeft = left
  }
  return best
}

/** Free accelerators count first, since they are the scarcest; then memory and processors as shares of the worker. */
function leftOver (slot: WorkerSlot, step: WaitingStep): number {
  const { capacity, rack } = slot.view.latest
  const accelerators = capacity.acceleratorCount === 0 ? 0 : slot.acceleratorCount / capacity.acceleratorCount
  const memory = slot.memoryMb / Math.max(1, capacity.memoryMb)
  const cpu = slot.cpuMillicores / Math.max(1, capacity.cpuMillicores)
  const isAway = step.spec.dataRack !== '' && rack !== step.spec.dataRack
  return accelerators * 2 + memory + cpu + (isAway ? 10 : 0)
}
