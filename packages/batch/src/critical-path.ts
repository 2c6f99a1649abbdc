/** Estimated critical paths: the longest chains of dependent steps. */
import type { JobSpec, StepSpec } from './jobs.js'

/** The paths of a specification never change, and every pass reads them for every waiting step. */
const pathsBySteps = new WeakMap<readonly StepSpec[], readonly number[]>()

/**
 * Estimated time of a job's critical path.
 *
 * @example
 * criticalPathMs({ jobId: '5c0e', payload: '', steps: [first, { ...second, dependsOn: [0] }] })
 */
export function criticalPathMs ({ steps }: JobSpec): number {
  return Math.max(0, ...pathsOf(steps))
}

/** Estimated time from the start of a step to the end of the job. */
export function remainingPathMs ({ steps }: JobSpec, stepIndex: number): number {
  return pathsOf(steps)[stepIndex] ?? 0
}

function pathsOf (steps: readonly StepSpec[]): readonly number[] {
  const known = pathsBySteps.get(steps)
  if (known !== undefined) return known
  const paths = computePaths(steps)
  pathsBySteps.set(steps, paths)
  return paths
}

/** Steps depend only on earlier ones, so all followers of a step are complete when it is reached from the end. */
function computePaths (steps: readonly StepSpec[]): number[] {
  const followersMs = steps.map(() => 0)
  const paths = steps.map(() => 0)
  for (let index = steps.length - 1; index >= 0; index--) {
    const { estimateMs, dependsOn } = steps[index] as StepSpec
    const pathMs = estimateMs + (followersMs[index] as number)
    paths[index] = pathMs
    for (const dependency of dependsOn) followersMs[dependency] = Math.max(followersMs[dependency] ?? 0, pathMs)
  }
  return paths
}
