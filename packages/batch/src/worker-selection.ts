/** Choice of workers for the tasks of a step. */
import { stepKey } from './jobs.js'
import { tasksThatFit, type WorkerSlot } from './worker-capacity.js'
import type { WaitingStep } from './waiting-steps.js'

/** A task and the worker chosen for it. */
export interface TaskChoice {
  readonly index: number
  readonly slot: WorkerSlot
}

/** Workers that may run a step now. */
export interface Candidates {
  readonly workers: readonly WorkerSlot[]
  /** Groups of them of which one has to take all waiting tasks, where the step is a gang. */
  readonly groups: ReadonlyArray<readonly WorkerSlot[]>
}

/** Longest wait for a better rack beside idle workers, and for workers that crashed to come back. */
export const RACK_PATIENCE_MS = 2_000

/**
 * The candidates among the workers that could hold a task of the step; `patienceMs` bounds the wait for a better rack.
 *
 * @example
 * const eligible = slots.filter(slot => slot.view.latest.service === step.job.service)
 * const candidates = candidatesFor(step, eligible, Infinity)
 */
export function candidatesFor (
  step: WaitingStep, eligible: readonly WorkerSlot[], patienceMs: number
): Candidates {
  const workers = nearData(step, eligible, patienceMs)
  return { workers, groups: step.spec.isGang ? placementGroups(step, workers) : [workers] }
}

/** These workers and no others as candidates. */
export function onlyCandidates (workers: readonly WorkerSlot[]): Candidates {
  return { workers, groups: [workers] }
}

/**
 * Chooses workers for the waiting tasks: all members of a gang or none, of other steps as many as fit. The capacity of
 * what is chosen is taken from the slots.
 */
export function chooseWorkers (step: WaitingStep, { workers, groups }: Candidates): TaskChoice[] {
  return step.spec.isGang ? chooseGang(step, groups) : chooseEach(step, workers)
}

/**
 * Racks for a same-rack gang, otherwise all workers. A gang wider than any rack runs over several, since it would never
 * start otherwise. That takes several times as long, so it first waits a while for lost workers to come back.
 */
function placementGroups (step: WaitingStep, workers: readonly WorkerSlot[]): ReadonlyArray<readonly WorkerSlot[]> {
  if (!step.spec.isSameRack) return [workers]
  const racks = [...slotsByRack(workers).values()].filter(slots => couldHoldAll(step, slots))
  if (racks.length > 0) return racks
  return step.waitedMs >= RACK_PATIENCE_MS ? [workers] : []
}

/** Whether the workers could take all waiting tasks if they were empty. */
function couldHoldAll ({ spec, taskIndexes }: WaitingStep, slots: readonly WorkerSlot[]): boolean {
  const limit = spec.maxTasksPerWorker > 0 ? spec.maxTasksPerWorker : Infinity
  let room = 0
  for (const slot of slots) room += Math.min(limit, tasksThatFit(slot.view.latest.capacity, spec))
  return room >= taskIndexes.length
}

/** Key of a waiting step. */
export function waitingKey (step: WaitingStep): string {
  return stepKey(step.job.spec.jobId, step.occurrence, step.stepIndex)
}

/** Workers by rack. */
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

/** Returns the capacity of choices that are not used. */
export function undo (step: WaitingStep, choices: readonly TaskChoice[]): void {
  for (const { slot } of choices) slot.unplace(waitingKey(step), step.spec)
}

/** The group that is left with the fewest free accelerators, so that others keep large pieces. */
function chooseGang (step: WaitingStep, groups: ReadonlyArray<readonly WorkerSlot[]>): TaskChoice[] {
  let best: TaskChoice[] = []
  let bestFree = Infinity
  for (const slots of groups) {
    const choices = chooseEach(step, slots)
    const free = slots.reduce((sum, slot) => sum + slot.free.acceleratorCount, 0)
    undo(step, choices)
    if (choices.length < step.taskIndexes.length || free >= bestFree) continue
    best = choices
    bestFree = free
  }
  for (const { slot } of best) slot.place(waitingKey(step), step.spec)
  return best
}

/** Work away from its data takes several times as long, so it waits for its rack for as long as one run takes there. */
function nearData (
  step: WaitingStep, eligible: readonly WorkerSlot[], patienceMs: number
): readonly WorkerSlot[] {
  const { dataRack, estimateMs } = step.spec
  if (dataRack === '' || step.waitedMs > Math.min(estimateMs, patienceMs)) return eligible
  const near = eligible.filter(slot => slot.view.latest.rack === dataRack)
  return near.length > 0 ? near : eligible
}

function chooseEach (step: WaitingStep, eligible: readonly WorkerSlot[]): TaskChoice[] {
  const choices: TaskChoice[] = []
  for (const index of step.taskIndexes) {
    const slot = tightest(step, eligible, step.failedOn(index))
    if (slot === undefined) break
    slot.place(waitingKey(step), step.spec)
    choices.push({ index, slot })
  }
  return choices
}

/** The worker that fits with the least left over. */
function tightest (
  step: WaitingStep, eligible: readonly WorkerSlot[], failedOn: readonly string[]
): WorkerSlot | undefined {
  const limit = step.spec.maxTasksPerWorker
  const key = waitingKey(step)
  let best: WorkerSlot | undefined
  let bestLeft = Infinity
  for (const slot of eligible) {
    if (!slot.admits(step.spec) || (limit > 0 && slot.tasksOf(key) >= limit)) continue
    const left = leftOver(slot, step) + (failedOn.includes(slot.workerId) ? FAILED_HERE_WEIGHT : 0)
    if (left >= bestLeft) continue
    best = slot
    bestLeft = left
  }
  return best
}

/** Weight of a rack without the step's data against free capacity. */
const AWAY_WEIGHT = 10
/** Weight of a worker on which the task failed before, so that a sick worker does not use up its attempts. */
const FAILED_HERE_WEIGHT = 100
/** Accelerators are the scarcest, so free ones weigh more than free memory or processors. */
const ACCELERATOR_WEIGHT = 2

function leftOver (slot: WorkerSlot, step: WaitingStep): number {
  const { capacity, rack } = slot.view.latest
  const { free } = slot
  const accelerators = free.acceleratorCount / Math.max(1, capacity.acceleratorCount)
  const memory = free.memoryMb / Math.max(1, capacity.memoryMb)
  const cpu = free.cpuMillicores / Math.max(1, capacity.cpuMillicores)
  const isAway = step.spec.dataRack !== '' && rack !== step.spec.dataRack
  return accelerators * ACCELERATOR_WEIGHT + memory + cpu + (isAway ? AWAY_WEIGHT : 0)
}
