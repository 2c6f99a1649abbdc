/** Steps that are ready to run: their dependencies are done, and some of their tasks have no run. */
import type { BatchState } from './batch-state.js'
import type { JobRecord } from './job-record.js'
import { occurrenceDueMs, parseTaskKey, type StepSpec } from './jobs.js'
import { criticalPathMs, remainingPathMs, type StepRunMs } from './critical-path.js'
import type { BatchPolicies } from './policies.js'
import type { QueueConfiguration } from './queues.js'
import type { RunTimePrediction } from './run-time-predictor.js'
import type { StepRecord } from './step-record.js'

/** A step of one occurrence with tasks that wait for workers. */
export interface QueuedStep {
  readonly job: JobRecord
  readonly occurrence: number
  readonly stepIndex: number
  readonly spec: StepSpec
  /** Undefined where no run of the occurrence was ever assigned. */
  readonly record: StepRecord | undefined
  /** Number of the waiting tasks; of a gang, all tasks. */
  readonly waitingTaskCount: number
  /** Next run number of a task; the same for all members of a gang. */
  readonly nextRunOf: (index: number) => number
  /** Workers of the task's latest recorded failures. */
  readonly failedOn: (index: number) => readonly string[]
  /** Priority of the queue; a step of priority 0 is urgent. */
  readonly priority: number
  /** Unix time from which the objective counts: acceptance of the job, or the time its occurrence was due. */
  readonly waitingSinceWallMs: number
  /** Time since `waitingSinceWallMs`, also where the step itself became ready only later. */
  readonly waitedMs: number
  /** Unix time of the completion objective. */
  readonly objectiveWallMs: number
  /** Estimated time from the start of this step to the end of the job, along the critical path. */
  readonly remainingCriticalPathMs: number
  /**
   * Slack in proportion to the estimates: `slackFactor` - 1 times the job's estimated critical path. Where the
   * estimates are wrong by a factor, so is this part of the slack.
   */
  readonly estimateScaledSlackMs: number
  readonly hasAdvicePolicy: boolean
  /** How long a task of the step is expected to run on a worker of typical speed. */
  readonly runTime: RunTimePrediction
  /** Whether the job's organisation is over its share, see {@link OrganisationShares.isOverShare}. */
  readonly isOverShare: boolean
  /** Whether the step is urgent and its organisation's guarantee covers it. */
  readonly isGuaranteed: boolean
}

/** A step with the tasks that a pass may place now. */
export interface WaitingStep extends QueuedStep {
  /** Indexes of the first waiting tasks; of a gang, all tasks. */
  readonly taskIndexes: readonly number[]
}

/** Where a step is, and what its job has in common. */
export interface StepLocation {
  readonly job: JobRecord
  readonly queue: QueueConfiguration | undefined
  readonly isGuaranteed: boolean
  readonly occurrence: number
  readonly stepIndex: number
  readonly spec: StepSpec
  readonly record: StepRecord | undefined
}

/** Limits of the tasks that a pass takes of a step; a gang is taken as a whole. */
export interface TaskLimits {
  readonly maxTasks: number
  /** Most tasks that have not started before. */
  readonly maxNewTasks: number
}

/**
 * Priority at which steps wait whose queue is not known, see {@link BatchState.queueOf}. Their active runs have no
 * priority and so can be preempted for any urgent step.
 */
const MISSING_QUEUE_PRIORITY = 9
/** Slack factor of such steps. */
const DEFAULT_SLACK_FACTOR = 3

/** Describes a step that waits, for its place in the order; without its tasks, of which there may be many. */
export function queuedStep (
  location: StepLocation, nowWallMs: number, policies: Pick<BatchPolicies, 'runTimes' | 'shares'>
): QueuedStep {
  const { job, queue, occurrence, stepIndex, spec, record, isGuaranteed } = location
  const stepRunMs: StepRunMs = index => policies.runTimes.predict(job, index).objectiveMs
  const waitingSinceWallMs = Math.max(job.acceptedWallMs, occurrenceDueMs(job.spec, occurrence))
  const jobCriticalPathMs = criticalPathMs(job.spec, stepRunMs)
  const estimateScaledObjectiveMs = jobCriticalPathMs * (queue?.slackFactor ?? DEFAULT_SLACK_FACTOR)
  return {
    job,
    occurrence,
    stepIndex,
    spec,
    record,
    waitingTaskCount: record?.waitingCount ?? spec.taskCount,
    nextRunOf: index => (spec.isGang ? record?.highestRun ?? 0 : record?.task(index)?.lastRun ?? 0) + 1,
    failedOn: index => record?.task(index)?.failedOn ?? [],
    priority: queue?.priority ?? MISSING_QUEUE_PRIORITY,
    waitingSinceWallMs,
    waitedMs: nowWallMs - waitingSinceWallMs,
    objectiveWallMs: waitingSinceWallMs + estimateScaledObjectiveMs + (queue?.targetLatencyMs ?? 0),
    remainingCriticalPathMs: remainingPathMs(job.spec, stepIndex, stepRunMs),
    estimateScaledSlackMs: estimateScaledObjectiveMs - jobCriticalPathMs,
    hasAdvicePolicy: queue?.advice !== undefined,
    runTime: policies.runTimes.predict(job, stepIndex),
    isOverShare: policies.shares.isOverShare(job.organisation),
    isGuaranteed
  }
}

/** Takes the first waiting tasks of a step; none of a gang whose members may not all start. */
export function withTasks (step: QueuedStep, { maxTasks, maxNewTasks }: TaskLimits): WaitingStep {
  const { spec, record } = step
  const limit = spec.isGang ? Infinity : maxTasks
  const taskIndexes = record === undefined
    ? firstIndexes(Math.min(spec.taskCount, limit, Math.max(0, maxNewTasks)))
    : record.waitingIndexes(limit, maxNewTasks)
  return { ...step, taskIndexes: spec.isGang && taskIndexes.length < spec.taskCount ? [] : taskIndexes }
}

function firstIndexes (count: number): number[] {
  return Array.from({ length: count }, (_unused, index) => index)
}

/** Whether tasks of a step wait, apart from its dependencies. A gang starts again only once no member has a run. */
export function hasWaitingTasks (spec: StepSpec, record: StepRecord | undefined): boolean {
  const waitingCount = record?.waitingCount ?? spec.taskCount
  return spec.isGang ? waitingCount > 0 && waitingCount === spec.taskCount : waitingCount > 0
}

/** Whether tasks of the step with a key wait. */
export function isStepWaiting (state: BatchState, stepKey: string): boolean {
  const found = findOpenStep(state, stepKey)
  return found !== undefined && hasWaitingTasks(found.spec, found.record)
}

/** Whether tasks of the step with a key are not done, and its job is open. */
export function isStepOpen (state: BatchState, stepKey: string): boolean {
  const found = findOpenStep(state, stepKey)
  return found !== undefined && found.record?.isDone !== true
}

/** A step of an open job; `record` is undefined where its occurrence has not started. */
function findOpenStep (
  state: BatchState, stepKey: string
): { readonly spec: StepSpec, readonly record: StepRecord | undefined } | undefined {
  const id = parseTaskKey(`${stepKey}.0`)
  const job = id === undefined ? undefined : state.job(id.jobId)
  if (id === undefined || job?.state !== 'open') return undefined
  const spec = job.spec.steps[id.step]
  return spec === undefined ? undefined : { spec, record: job.occurrences.at(id.occurrence)?.steps[id.step] }
}
