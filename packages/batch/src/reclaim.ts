/**
 * Reclaim plans: which runs of lower priority to stop for an urgent step, at the least loss of work. Reclaiming is the
 * preemption of runs for an urgent step, whether or not a guarantee covers it; the preempted runs are the victims.
 */
import type { Assignment } from './commands.js'
import type { OccupyingRun, WorkerCapacity } from './worker-capacity.js'
import { placeTasks, asSingleGroup, undoPlacements, type Candidates, type TaskPlacement } from './worker-selection.js'
import { coresOf } from './jobs.js'
import type { OrganisationShares } from './organisation-shares.js'
import type { WaitingStep } from './waiting-steps.js'

interface Victim {
  readonly worker: WorkerCapacity
  readonly run: OccupyingRun
}

/**
 * Runs to stop for a step, and the work that this discards. The victims are chosen by free capacity alone, while the
 * placement afterwards also observes the step's limit of tasks per worker and the reservations. So a plan with victims
 * may hold capacity for fewer tasks than wait, or for none.
 */
export interface ReclaimPlan {
  readonly runs: readonly Assignment[]
  readonly lostCoreSeconds: number
  /** Placements whose capacity is held for the step; `undoPlacements` releases it where the plan is not carried out. */
  readonly heldPlacements: readonly TaskPlacement[]
}

/** Most run time that a checkpointing run loses when it is stopped, including the time to restore it. */
const MAX_CHECKPOINTED_LOSS_MS = 300

/**
 * Plans which runs to stop for a step. Capacity of runs that are already being stopped counts as free. No task is
 * assigned yet, but the capacity that the step will take is held for the rest of the pass. On each worker, runs of
 * organisations over their share are stopped first.
 *
 * @returns undefined where preemption cannot free enough capacity for all waiting tasks
 * @example
 * const plan = planReclaim(step, findCandidates(step, workers), new UnlimitedShares())
 */
export function planReclaim (
  step: WaitingStep, candidates: Candidates, shares: OrganisationShares
): ReclaimPlan | undefined {
  return withStoppingRunsFreed(candidates, () =>
    placeWithoutVictims(step, candidates) ?? placeWithVictims(step, candidates, shares))
}

/**
 * Holds free capacity, and capacity of runs that are being stopped, for a step for the rest of the pass. No further run
 * is preempted, and no task is assigned yet.
 *
 * @returns whether it is enough for all waiting tasks
 * @example
 * if (holdFreedCapacity(step, candidates)) return
 */
export function holdFreedCapacity (step: WaitingStep, candidates: Candidates): boolean {
  return withStoppingRunsFreed(candidates, () => placeWithoutVictims(step, candidates)) !== undefined
}

function withStoppingRunsFreed<T> ({ workers }: Candidates, plan: () => T): T {
  const stopping = workers.flatMap(worker => worker.runs.filter(run => run.isStopping).map(run => ({ worker, run })))
  setPreempted(stopping, true)
  const result = plan()
  setPreempted(stopping, false)
  return result
}

function placeWithoutVictims (step: WaitingStep, candidates: Candidates): ReclaimPlan | undefined {
  const placements = placeTasks(step, candidates)
  if (placements.length === step.taskIndexes.length) return { runs: [], lostCoreSeconds: 0, heldPlacements: placements }
  undoPlacements(step, placements)
  return undefined
}

/** Takes the group of workers in which preemption loses the least work. */
function placeWithVictims (
  step: WaitingStep, { groups }: Candidates, shares: OrganisationShares
): ReclaimPlan | undefined {
  let best: { readonly group: readonly WorkerCapacity[], readonly victims: Victim[] } | undefined
  for (const group of groups) {
    const victims = findCheapestVictims(step, group, shares)
    if (victims === undefined) continue
    if (best === undefined || totalLoss(victims) < totalLoss(best.victims)) best = { group, victims }
  }
  if (best === undefined) return undefined
  const { group, victims } = best
  setPreempted(victims, true)
  const placements = placeTasks(step, asSingleGroup(group))
  setPreempted(victims, false)
  return {
    runs: victims.map(({ run }) => run.assignment),
    lostCoreSeconds: totalLoss(victims),
    heldPlacements: placements
  }
}

/** Places the tasks one by one, each on the worker where preemption loses the least work. */
function findCheapestVictims (
  step: WaitingStep, workers: readonly WorkerCapacity[], shares: OrganisationShares
): Victim[] | undefined {
  const victims: Victim[] = []
  const placed: WorkerCapacity[] = []
  for (let count = 0; count < step.taskIndexes.length; count++) {
    const next = findCheapestWorker(step, workers, victims, shares)
    if (next === undefined) break
    setPreempted(next.victims, true)
    victims.push(...next.victims)
    // This trial checks free capacity only; the placement that follows observes the limit of tasks per worker. The key
    // is empty, so that the trial does not count towards that limit.
    next.worker.place('', step.spec, step.runTime.highMs)
    placed.push(next.worker)
  }
  for (const worker of placed) worker.unplace('', step.spec, step.runTime.highMs)
  setPreempted(victims, false)
  return placed.length < step.taskIndexes.length ? undefined : victims
}

function findCheapestWorker (
  step: WaitingStep, workers: readonly WorkerCapacity[], taken: readonly Victim[], shares: OrganisationShares
): { worker: WorkerCapacity, victims: Victim[] } | undefined {
  let best: { worker: WorkerCapacity, victims: Victim[] } | undefined
  for (const worker of workers) {
    const victims = findVictimsOn(worker, step, taken, shares)
    if (victims === undefined) continue
    if (best === undefined || totalLoss(victims) < totalLoss(best.victims)) best = { worker, victims }
  }
  return best
}

/**
 * The runs of one worker that make one more task fit: those of organisations over their share first, then those with
 * the least loss; none where it fits already.
 */
function findVictimsOn (
  worker: WorkerCapacity, step: WaitingStep, taken: readonly Victim[], shares: OrganisationShares
): Victim[] | undefined {
  const isOver = (run: OccupyingRun): boolean => shares.isOverShare(run.organisation)
  const candidates = worker.runs
    .filter(run => !run.isStopping && run.priority > step.priority && !run.spec.isLasting &&
      !taken.some(victim => victim.run === run))
    .sort((left, right) => Number(isOver(right)) - Number(isOver(left)) ||
      lossCoreSeconds(left) - lossCoreSeconds(right))
  const victims: Victim[] = []
  for (const run of candidates) {
    if (worker.fits(step.spec)) break
    worker.setPreempted(run, true)
    victims.push({ worker, run })
  }
  const isEnough = worker.fits(step.spec)
  setPreempted(victims, false)
  return isEnough ? victims : undefined
}

function totalLoss (victims: readonly Victim[]): number {
  return victims.reduce((sum, { run }) => sum + lossCoreSeconds(run), 0)
}

/** Core-seconds of work that a stop discards; a gang loses the work of all its members. */
function lossCoreSeconds ({ spec, elapsedMs }: OccupyingRun): number {
  const lostMs = spec.isCheckpointing ? Math.min(elapsedMs, MAX_CHECKPOINTED_LOSS_MS) : elapsedMs
  return coresOf(spec.shape) * (spec.isGang ? spec.taskCount : 1) * lostMs / 1_000
}

function setPreempted (victims: readonly Victim[], isPreempted: boolean): void {
  for (const { worker, run } of victims) worker.setPreempted(run, isPreempted)
}
