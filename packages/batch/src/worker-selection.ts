/** Selection of workers for the tasks of a step: gang placement, data locality, best fit. */
import { stepKey } from './jobs.js'
import { SPEED_TIERS, speedTiers } from './speed-tiers.js'
import { tasksThatFit, type WorkerCapacity } from './worker-capacity.js'
import type { QueuedStep, WaitingStep } from './waiting-steps.js'

/** A task and the worker that it is placed on. */
export interface TaskPlacement {
  readonly taskIndex: number
  readonly worker: WorkerCapacity
}

/** Workers that may run a step in this pass. */
export interface Candidates {
  readonly workers: readonly WorkerCapacity[]
  /** Subsets of the workers; a gang must be placed within one of them. */
  readonly groups: ReadonlyArray<readonly WorkerCapacity[]>
}

/** Longest wait for a better rack while the fleet is not busy, and for crashed workers to come back. */
export const MAX_RACK_WAIT_MS = 2_000

/**
 * Narrows the eligible workers by data locality and groups them for gangs; `maxRackWaitMs` bounds the wait for a better
 * rack.
 *
 * @example
 * const eligible = workers.filter(worker => worker.view.latest.service === step.job.service)
 * const candidates = findCandidates(step, eligible, Infinity)
 */
export function findCandidates (
  step: WaitingStep, eligible: readonly WorkerCapacity[], maxRackWaitMs: number
): Candidates {
  const workers = preferDataRack(step, eligible, maxRackWaitMs)
  return { workers, groups: step.spec.isGang ? placementGroups(step, workers) : [workers] }
}

/** Candidates that consist of one group. */
export function asSingleGroup (workers: readonly WorkerCapacity[]): Candidates {
  return { workers, groups: [workers] }
}

/**
 * Places the waiting tasks: all members of a gang or none; of other steps, as many as fit. The capacity of the placed
 * tasks is deducted from the workers.
 */
export function placeTasks (step: WaitingStep, { workers, groups }: Candidates): TaskPlacement[] {
  return step.spec.isGang ? placeGang(step, groups) : placeEach(step, workers)
}

/**
 * One group per rack for a same-rack gang, otherwise one group of all workers. A gang wider than any rack is spread
 * over several, since it would never start otherwise. It then runs several times as long, so it first waits for lost
 * workers to come back.
 */
function placementGroups (
  step: WaitingStep, workers: readonly WorkerCapacity[]
): ReadonlyArray<readonly WorkerCapacity[]> {
  if (!step.spec.isSameRack) return [workers]
  const racks = [...groupByRack(workers).values()].filter(rackWorkers => couldHoldAllTasks(step, rackWorkers))
  if (racks.length > 0) return racks
  return step.waitedMs >= MAX_RACK_WAIT_MS ? [workers] : []
}

/** Whether the workers could hold all waiting tasks if they were empty. */
function couldHoldAllTasks ({ spec, taskIndexes }: WaitingStep, workers: readonly WorkerCapacity[]): boolean {
  const limit = spec.maxTasksPerWorker > 0 ? spec.maxTasksPerWorker : Infinity
  let taskCapacity = 0
  for (const worker of workers) taskCapacity += Math.min(limit, tasksThatFit(worker.view.latest.capacity, spec))
  return taskCapacity >= taskIndexes.length
}

export function waitingStepKey (step: QueuedStep): string {
  return stepKey(step.job.spec.jobId, step.occurrence, step.stepIndex)
}

/** The workers by their rack. */
export function groupByRack (workers: readonly WorkerCapacity[]): Map<string, WorkerCapacity[]> {
  const racks = new Map<string, WorkerCapacity[]>()
  for (const worker of workers) {
    const { rack } = worker.view.latest
    const group = racks.get(rack)
    if (group === undefined) racks.set(rack, [worker])
    else group.push(worker)
  }
  return racks
}

/** Releases the capacity of placements that are not used. */
export function undoPlacements (step: WaitingStep, placements: readonly TaskPlacement[]): void {
  for (const { worker } of placements) worker.unplace(waitingStepKey(step), step.spec, step.runTime.highMs)
}

/**
 * Takes workers of similar speed where some can hold the gang, the fastest first. Of groups with the same choice, it
 * takes the one with the fewest free accelerators, so that other groups keep capacity for wide gangs.
 */
function placeGang (step: WaitingStep, groups: ReadonlyArray<readonly WorkerCapacity[]>): TaskPlacement[] {
  const tiersByGroup = groups.map(speedTiers)
  for (let tier = 0; tier < SPEED_TIERS; tier++) {
    const placements = placeInOneOf(step, tiersByGroup.map(tiers => tiers[tier] ?? []))
    if (placements.length > 0) return placements
  }
  return []
}

function placeInOneOf (step: WaitingStep, groups: ReadonlyArray<readonly WorkerCapacity[]>): TaskPlacement[] {
  let best: TaskPlacement[] = []
  let bestFree = Infinity
  for (const workers of groups) {
    if (!hasRoomForAll(step, workers)) continue
    const placements = placeEach(step, workers)
    const free = workers.reduce((sum, worker) => sum + worker.free.acceleratorCount, 0)
    undoPlacements(step, placements)
    if (placements.length < step.taskIndexes.length || free >= bestFree) continue
    best = placements
    bestFree = free
  }
  for (const { worker } of best) worker.place(waitingStepKey(step), step.spec, step.runTime.highMs)
  return best
}

/** Rules out most groups that are too full, at less cost than placing the tasks one by one. */
function hasRoomForAll ({ spec, taskIndexes }: WaitingStep, workers: readonly WorkerCapacity[]): boolean {
  let room = 0
  for (const worker of workers) {
    room += tasksThatFit(worker.free, spec)
    if (room >= taskIndexes.length) return true
  }
  return false
}

/**
 * A run away from its data takes several times as long, so its task waits for the data's rack, but no longer than the
 * estimated run time or `maxRackWaitMs`, whichever is shorter.
 */
function preferDataRack (
  step: WaitingStep, eligible: readonly WorkerCapacity[], maxRackWaitMs: number
): readonly WorkerCapacity[] {
  const { dataRack } = step.spec
  if (dataRack === '' || step.waitedMs > Math.min(step.runTime.typicalMs, maxRackWaitMs)) return eligible
  const near = eligible.filter(worker => worker.view.latest.rack === dataRack)
  return near.length > 0 ? near : eligible
}

function placeEach (step: WaitingStep, eligible: readonly WorkerCapacity[]): TaskPlacement[] {
  const placements: TaskPlacement[] = []
  for (const index of step.taskIndexes) {
    const worker = findBestFit(step, eligible, step.failedOn(index))
    if (worker === undefined) break
    worker.place(waitingStepKey(step), step.spec, step.runTime.highMs)
    placements.push({ taskIndex: index, worker })
  }
  return placements
}

/** Best fit: the admissible worker with the least capacity left over. */
function findBestFit (
  step: WaitingStep, eligible: readonly WorkerCapacity[], failedOn: readonly string[]
): WorkerCapacity | undefined {
  const limit = step.spec.maxTasksPerWorker
  const key = waitingStepKey(step)
  let best: WorkerCapacity | undefined
  let lowestScore = Infinity
  for (const worker of eligible) {
    if (!worker.admits(step.spec, step.runTime.highMs) || (limit > 0 && worker.taskCountOf(key) >= limit)) continue
    const score = bestFitScore(worker, step) + (failedOn.includes(worker.workerId) ? EARLIER_FAILURE_PENALTY : 0)
    if (score >= lowestScore) continue
    best = worker
    lowestScore = score
  }
  return best
}

/**
 * Added to the score of a worker whose rack does not hold the step's data. The score for free capacity is at most 4, so
 * a penalty outweighs any difference in free capacity.
 */
const REMOTE_DATA_PENALTY = 10
/** Added for a worker on which the task failed before, so that a faulty worker does not use up the task's attempts. */
const EARLIER_FAILURE_PENALTY = 100
/**
 * Added for a worker that start orders do not reach at once: its task starts up to a second later, and so does the
 * rest of its gang.
 */
const UNREACHABLE_PENALTY = 1
/** Accelerators are the scarcest resource, so free ones weigh more than free memory or processors. */
const ACCELERATOR_WEIGHT = 2

function bestFitScore (worker: WorkerCapacity, step: WaitingStep): number {
  const { capacity, rack } = worker.view.latest
  const { free } = worker
  const accelerators = free.acceleratorCount / Math.max(1, capacity.acceleratorCount)
  const memory = free.memoryMb / Math.max(1, capacity.memoryMb)
  const cpu = free.cpuMillicores / Math.max(1, capacity.cpuMillicores)
  const isRemoteFromData = step.spec.dataRack !== '' && rack !== step.spec.dataRack
  return accelerators * ACCELERATOR_WEIGHT + memory + cpu + (isRemoteFromData ? REMOTE_DATA_PENALTY : 0) +
    (worker.isReachable ? 0 : UNREACHABLE_PENALTY) + speedScore(worker, step)
}

/** Weight of the logarithm of the slowdown: a worker that takes twice as long weighs as much as half of its memory. */
const SPEED_WEIGHT = 0.7

/** Independent tasks of no urgency go to slow workers first, so that fast ones stay free for urgent steps and gangs. */
function speedScore ({ slowdown }: WorkerCapacity, { spec, priority }: WaitingStep): number {
  const weight = Math.log(slowdown) * SPEED_WEIGHT
  return spec.isGang || priority === 0 ? weight : -weight
}
