/** Estimated critical paths: the longest chains of dependent steps. */
import type { JobSpec, StepSpec } from './jobs.js'

/** Expected run time of a task of a step, by the index of the step. */
export type StepRunMs = (stepIndex: number) => number

interface KnownPaths {
  readonly runMs: readonly number[]
  readonly pathsMs: readonly number[]
}

/** Every pass reads the paths for every waiting step, and the expected run times change only now and then. */
const pathsBySteps = new WeakMap<readonly StepSpec[], KnownPaths>()

/**
 * Estimated time of a job's critical path, by default from the caller's estimates.
 *
 * @example
 * criticalPathMs({ jobId: '5c0e', payload: '', steps: [first, { ...second, dependsOn: [0] }] })
 */
export function criticalPathMs (spec: JobSpec, stepRunMs = callersEstimates(spec)): number {
  return Math.max(0, ...pathsOf(spec.steps, stepRunMs))
}

/** Estimated time from the start of a step to the end of the job. */
export function remainingPathMs (spec: JobSpec, stepIndex: number, stepRunMs = callersEstimates(spec)): number {
  return pathsOf(spec.steps, stepRunMs)[stepIndex] ?? 0
}

function callersEstimates ({ steps }: JobSpec): StepRunMs {
  return stepIndex => steps[stepIndex]?.estimateMs ?? 0
}

function pathsOf (steps: readonly StepSpec[], stepRunMs: StepRunMs): readonly number[] {
  const known = pathsBySteps.get(steps)
  if (known?.runMs.every((runMs, index) => runMs === stepRunMs(index)) === true) return known.pathsMs
  const runMs = steps.map((_unused, index) => stepRunMs(index))
  const pathsMs = computePaths(steps, runMs)
  pathsBySteps.set(steps, { runMs, pathsMs })
  return pathsMs
}

/** Steps depend only on earlier ones, so all followers of a step are complete when it is reached from the end. */
function computePaths (steps: readonly StepSpec[], runMs: readonly number[]): number[] {
  const followersMs = steps.map(() => 0)
  const paths = steps.map(() => 0)
  for (let index = steps.length - 1; index >= 0; index--) {
    const { dependsOn } = steps[index] as StepSpec
    const pathMs = (runMs[index] as number) + (followersMs[index] as number)
    paths[index] = pathMs
    for (const dependency of dependsOn) followersMs[dependency] = Math.max(followersMs[dependency] ?? 0, pathMs)
  }
  return paths
}
