/** Invariant checks on the executions that workers recorded. Each returns one sentence per violation. */
import type { JobRecord } from '../src/index.js'
import type { Execution, ExecutionRecord } from './fake-worker.js'

/** Finds accelerators that two tasks used at the same time. */
export function findSharedAccelerators ({ executions }: ExecutionRecord): string[] {
  return pairs(executions)
    .filter(([left, right]) => left.workerId === right.workerId && areConcurrent(left, right) && overlap(left, right))
    .map(([left, right]) => `${describe(left)} and ${describe(right)} share accelerators of ${left.workerId}`)
}

/** Finds tasks that ran before every task of their gang was prepared. */
export function findPartialGangs ({ executions, preparations }: ExecutionRecord, jobs: readonly JobRecord[]): string[] {
  return executions.filter(execution => {
    const tasks = jobs.find(({ spec }) => spec.jobId === execution.jobId)?.spec.tasks ?? 0
    const prepared = preparations.filter(preparation =>
      preparation.leaseId === execution.leaseId && preparation.atMs <= execution.startMs)
    return new Set(prepared.map(({ taskIndex }) => taskIndex)).size < tasks
  }).map(execution => `${describe(execution)} ran before its whole gang was prepared`)
}

/** Finds jobs that ran in two placements at the same time. */
export function findConcurrentRuns ({ executions }: ExecutionRecord): string[] {
  return pairs(executions)
    .filter(([left, right]) =>
      left.jobId === right.jobId && left.leaseId !== right.leaseId && areConcurrent(left, right))
    .map(([left, right]) => `${describe(left)} and ${describe(right)} ran at the same time`)
}

/** Finds non-repeatable jobs that ran in two placements. */
export function findRepeatedRuns ({ executions }: ExecutionRecord, jobs: readonly JobRecord[]): string[] {
  return jobs
    .filter(({ spec }) => spec.preemption === 'none')
    .filter(({ spec }) => new Set(executions.filter(run => run.jobId === spec.jobId).map(run => run.leaseId)).size > 1)
    .map(({ spec }) => `${spec.jobId} is non-repeatable and ran in two placements`)
}

/** Finds jobs that never ended, and ended ones whose outcome contradicts the executions. */
export function findWrongOutcomes (
  { executions }: ExecutionRecord,
  jobs: readonly JobRecord[],
  nowMs: number
): string[] {
  const problems: string[] = []
  for (const { spec, phase, outcome } of jobs) {
    const runs = executions.filter(run => run.jobId === spec.jobId)
    const completed = new Map<number, number>()
    for (const run of runs.filter(({ isCompleted }) => isCompleted)) {
      completed.set(run.leaseId, (completed.get(run.leaseId) ?? 0) + 1)
    }
    if (phase !== 'ended') problems.push(`${spec.jobId} is still ${phase}`)
    else if (runs.some(({ endMs }) => endMs > nowMs)) problems.push(`${spec.jobId} ended and still runs`)
    else if (outcome === 'completed' && ![...completed.values()].includes(spec.tasks)) {
      problems.push(`${spec.jobId} is recorded as completed, but no gang completed as a whole`)
    }
  }
  return problems
}

/** Runs all checks of this file. */
export function findViolations (record: ExecutionRecord, jobs: readonly JobRecord[], nowMs: number): string[] {
  return [
    ...findSharedAccelerators(record),
    ...findPartialGangs(record, jobs),
    ...findConcurrentRuns(record),
    ...findRepeatedRuns(record, jobs),
    ...findWrongOutcomes(record, jobs, nowMs)
  ]
}

function pairs (executions: readonly Execution[]): Array<[Execution, Execution]> {
  return executions.flatMap((left, position) =>
    executions.slice(position + 1).map((right): [Execution, Execution] => [left, right]))
}

function areConcurrent (left: Execution, right: Execution): boolean {
  return left.startMs < right.endMs && right.startMs < left.endMs
}

function overlap (left: Execution, right: Execution): boolean {
  return left.firstAccelerator < right.firstAccelerator + right.acceleratorCount &&
    right.firstAccelerator < left.firstAccelerator + left.acceleratorCount
}

function describe ({ jobId, leaseId, taskIndex }: Execution): string {
  return `task ${taskIndex} of ${jobId} (placement ${leaseId})`
}
