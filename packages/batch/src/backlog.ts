/** Projection of the work that waits: whether a new job may start before it loses its value. */
import type { TaskShape } from './jobs.js'
import { latenessClass, type StepDeadlines } from './scheduling-order.js'

/** Resources of which a worker may run out. */
export type Resource = keyof TaskShape

/** Tasks that run or wait, with the resources that they occupy together and the shortest time for which they do. */
export interface BacklogRun {
  readonly shape: TaskShape
  readonly minRunMs: number
}

/** A step that waits. */
export interface BacklogStep extends StepDeadlines, BacklogRun {
  readonly priority: number
}

/** Work and capacity of one service at a time. */
export interface Backlog {
  readonly atWallMs: number
  /** Ordered by {@link compareBacklogSteps}. */
  readonly steps: readonly BacklogStep[]
  readonly running: readonly BacklogRun[]
  readonly capacity: TaskShape
}

/** State of a projection: the new step, and the others with their remaining work by index. */
interface Projection {
  readonly step: BacklogStep
  readonly steps: readonly BacklogStep[]
  readonly remaining: number[]
}

/** A projection considers this many intervals. */
const PROJECTION_INTERVALS = 40

/** The scheduling order within a lateness class, without the shares of organisations. */
export function compareBacklogSteps (left: BacklogStep, right: BacklogStep): number {
  return left.priority - right.priority || left.objectiveWallMs - right.objectiveWallMs
}

/**
 * Whether a new step may get capacity of one resource before a time. Runs and steps count as fluid that fills the
 * capacity without a gap, nothing is added to them, and what may still be running at the time of the start does not
 * count, so that the step in fact starts later. Steps that become late on the way fall behind those that are not, as in
 * a scheduling pass.
 *
 * @example
 * mayStartBefore(latestStartWallMs, step, backlog, 'acceleratorCount')
 */
export function mayStartBefore (
  deadlineWallMs: number, step: BacklogStep, backlog: Backlog, resource: Resource
): boolean {
  const { atWallMs, steps, running, capacity } = backlog
  const intervalMs = (deadlineWallMs - atWallMs) / PROJECTION_INTERVALS
  const projection: Projection = { step, steps, remaining: steps.map(other => workOf(other, resource)) }
  const unfinishedAtStart = mostInProgress([...running, ...steps], capacity[resource], resource)
  let runningWork = running.reduce((sum, run) => sum + workOf(run, resource), 0)
  for (let interval = 0; interval < PROJECTION_INTERVALS; interval++) {
    const available = capacity[resource] * intervalMs
    const served = Math.min(runningWork, available)
    runningWork -= served
    const ahead = serveStepsAhead(projection, available - served, atWallMs + interval * intervalMs, intervalMs)
    if (runningWork + ahead <= unfinishedAtStart) return true
  }
  return false
}

/**
 * Deducts the capacity of an interval from the steps that go before the new one; returns the work of theirs that is
 * left. The new step counts as it is at the beginning of the interval and the others as they are at its end, when more
 * of them are late.
 */
function serveStepsAhead (
  { step, steps, remaining }: Projection, available: number, fromWallMs: number, intervalMs: number
): number {
  const ownClass = latenessClass(step, fromWallMs)
  const classes = steps.map(other => latenessClass(other, fromWallMs + intervalMs))
  let left = available
  let unserved = 0
  for (let currentClass = 0; currentClass <= ownClass; currentClass++) {
    for (const [index, other] of steps.entries()) {
      if (currentClass === ownClass && compareBacklogSteps(other, step) > 0) break
      if (classes[index] !== currentClass) continue
      const work = remaining[index] as number
      const served = Math.min(left, work)
      left -= served
      remaining[index] = work - served
      unserved += work - served
    }
  }
  return unserved
}

/** The most work of which any part may be in progress at one time: that of the longest runs that fill the capacity. */
function mostInProgress (runs: readonly BacklogRun[], capacity: number, resource: Resource): number {
  let free = capacity
  let work = 0
  for (const { shape, minRunMs } of [...runs].sort((left, right) => right.minRunMs - left.minRunMs)) {
    const occupied = Math.min(free, shape[resource])
    free -= occupied
    work += occupied * minRunMs
    if (free <= 0) break
  }
  return work
}

function workOf ({ shape, minRunMs }: BacklogRun, resource: Resource): number {
  return shape[resource] * minRunMs
}
