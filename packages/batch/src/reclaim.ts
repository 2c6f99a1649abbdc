/** Capacity taken back from lower priorities for urgent work within a guarantee. */
import type { Assignment } from './commands.js'
import type { OccupyingRun, WorkerSlot } from './worker-capacity.js'
import { chooseWorkers, onlyCandidates, undo, type Candidates, type TaskChoice } from './worker-selection.js'
import { coresOf } from './jobs.js'
import type { WaitingStep } from './waiting-steps.js'

interface Victim {
  readonly slot: WorkerSlot
  readonly run: OccupyingRun
}

/** Runs to stop for a step, and what that throws away. */
export interface ReclaimPlan {
  readonly runs: readonly Assignment[]
  readonly lostCoreSeconds: number
  /** Room that the plan holds for the step; returned by `undo` where the plan is not carried out. */
  readonly held: readonly TaskChoice[]
}

/** Work that a checkpointing run loses at a stop, with the time to restore. */
const CHECKPOINTED_LOSS_MS = 300

/**
 * Plans the stops for a step. Capacity of runs that are stopping already counts as free. The room that the step will
 * take is held back from work behind it in the pass.
 *
 * @returns undefined where stops do not make enough room
 * @example
 * const plan = planReclaim(step, candidatesFor(step, slots))
 */
export function planReclaim (step: WaitingStep, candidates: Candidates): ReclaimPlan | undefined {
  return whileStoppingIsFree(candidates, () => holdFreed(step, candidates) ?? holdWithVictims(step, candidates))
}

/**
 * Holds room of runs that are stopping, and free room, for a step.
 *
 * @returns whether it is enough for all waiting tasks
 * @example
 * if (holdFreedRoom(step, candidates)) return
 */
export function holdFreedRoom (step: WaitingStep, candidates: Candidates): boolean {
  return whileStoppingIsFree(candidates, () => holdFreed(step, candidates)) !== undefined
}

function whileStoppingIsFree<T> ({ workers }: Candidates, plan: () => T): T {
  const stopping = workers.flatMap(slot => slot.runs.filter(run => run.isStopping).map(run => ({ slot, run })))
  setReleased(stopping, true)
  const result = plan()
  setReleased(stopping, false)
  return result
}

function holdFreed (step: WaitingStep, candidates: Candidates): ReclaimPlan | undefined {
  const choices = chooseWorkers(step, candidates)
  if (choices.length === step.taskIndexes.length) return { runs: [], lostCoreSeconds: 0, held: choices }
  undo(step, choices)
  return undefined
}

/** The group of workers in which the stops cost least. */
function holdWithVictims (step: WaitingStep, { groups }: Candidates): ReclaimPlan | undefined {
  let best: { readonly group: readonly WorkerSlot[], readonly victims: Victim[] } | undefined
  for (const group of groups) {
    const victims = cheapestVictims(step, group)
    if (victims === undefined) continue
    if (best === undefined || totalLoss(victims) < totalLoss(best.victims)) best = { group, victims }
  }
  if (best === undefined) return undefined
  const { group, victims } = best
  setReleased(victims, true)
  const held = chooseWorkers(step, onlyCandidates(group))
  setReleased(victims, false)
  return { runs: victims.map(({ run }) => run.assignment), lostCoreSeconds: totalLoss(victims), held }
}

/** Fits the tasks one by one, each where the least work is thrown away. */
function cheapestVictims (step: WaitingStep, slots: readonly WorkerSlot[]): Victim[] | undefined {
  const victims: Victim[] = []
  const placed: WorkerSlot[] = []
  for (let count = 0; count < step.taskIndexes.length; count++) {
    const next = cheapestSlot(step, slots, victims)
    if (next === undefined) break
    setReleased(next.victims, true)
    victims.push(...next.victims)
    next.slot.place('', step.spec)
    placed.push(next.slot)
  }
  for (const slot of placed) slot.unplace('', step.spec)
  setReleased(victims, false)
  return placed.length < step.taskIndexes.length ? undefined : victims
}

function cheapestSlot (
  step: WaitingStep, slots: readonly WorkerSlot[], taken: readonly Victim[]
): { slot: WorkerSlot, victims: Victim[] } | undefined {
  let best: { slot: WorkerSlot, victims: Victim[] } | undefined
  for (const slot of slots) {
    const victims = victimsOn(slot, step, taken)
    if (victims === undefined) continue
    if (best === undefined || totalLoss(victims) < totalLoss(best.victims)) best = { slot, victims }
  }
  return best
}

/** The cheapest runs of one worker whose end makes room for one more task; none where it fits already. */
function victimsOn (slot: WorkerSlot, step: WaitingStep, taken: readonly Victim[]): Victim[] | undefined {
  const candidates = slot.runs
    .filter(run => !run.isStopping && run.priority > step.priority && !run.spec.isLasting &&
      !taken.some(victim => victim.run === run))
    .sort((left, right) => lossOf(left) - lossOf(right))
  const victims: Victim[] = []
  for (const run of candidates) {
    if (slot.fits(step.spec)) break
    slot.release(run, true)
    victims.push({ slot, run })
  }
  const isEnough = slot.fits(step.spec)
  setReleased(victims, false)
  return isEnough ? victims : undefined
}

function totalLoss (victims: readonly Victim[]): number {
  return victims.reduce((sum, { run }) => sum + lossOf(run), 0)
}

/** Core-seconds that a stop throws away; a gang loses the work of all its members. */
function lossOf ({ spec, elapsedMs }: OccupyingRun): number {
  const lostMs = spec.isCheckpointing ? Math.min(elapsedMs, CHECKPOINTED_LOSS_MS) : elapsedMs
  return coresOf(spec.shape) * (spec.isGang ? spec.taskCount : 1) * lostMs / 1_000
}

function setReleased (victims: readonly Victim[], isReleased: boolean): void {
  for (const { slot, run } of victims) slot.release(run, isReleased)
}
