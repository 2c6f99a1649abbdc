/** Steps that are ready to run: their dependencies are done, and some of their tasks have no run. */
import type { Clock } from '@comfreygrade/core'
import type { BatchSettings } from './settings.js'
import type { BatchState } from './batch-state.js'
import type { JobRecord } from './job-record.js'
import { occurrenceDueMs, type StepSpec } from './jobs.js'
import type { OccurrenceRecord } from './occurrence-table.js'
import { StepRecord } from './step-record.js'
import { criticalPathMs, remainingPathMs, type StepRunMs } from './critical-path.js'
import { GuaranteeCoverage } from './guarantee-coverage.js'
import type { BatchPolicies } from './policies.js'
import type { QueueConfiguration } from './queues.js'
import type { RunTimePrediction } from './run-time-predictor.js'

/** A step of one occurrence with the tasks that wait for workers. */
export interface WaitingStep {
  readonly job: JobRecord
  readonly occurrence: number
  readonly stepIndex: number
  readonly spec: StepSpec
  /** Indexes of the waiting tasks; of a gang, all tasks. */
  readonly taskIndexes: readonly number[]
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

/**
 * Priority at which steps wait whose queue is not known, see {@link BatchState.queueOf}. Their active runs have no
 * priority and so can be preempted for any urgent step.
 */
const MISSING_QUEUE_PRIORITY = 9
/** Slack factor of such steps. */
const DEFAULT_SLACK_FACTOR = 3

type StepPolicies = Pick<BatchPolicies, 'runTimes' | 'shares'>

/**
 * Lists the steps that wait for workers.
 *
 * @example
 * for (const step of listWaitingSteps(state, clock, settings, policies)) consider(step)
 */
export function listWaitingSteps (
  state: BatchState, clock: Clock, settings: BatchSettings, policies: StepPolicies
): WaitingStep[] {
  const waiting: WaitingStep[] = []
  const nowWallMs = clock.wallMs()
  const latestDueMs = nowWallMs - settings.dueMarginMs
  const guarantees = new GuaranteeCoverage(state)
  for (const job of state.openJobs()) {
    const queue = state.queueOf(job)
    const isGuaranteed = guarantees.covers(job)
    for (let occurrence = 0; occurrence < job.occurrences.count; occurrence++) {
      if (occurrenceDueMs(job.spec, occurrence) > latestDueMs) continue
      const record = job.occurrences.at(occurrence) ??
        { steps: job.spec.steps.map(step => new StepRecord(step.taskCount)) }
      collectSteps({ nowWallMs, job, occurrence, record, queue, isGuaranteed, policies }, waiting)
    }
  }
  return waiting
}

interface OpenOccurrence {
  readonly nowWallMs: number
  readonly job: JobRecord
  readonly occurrence: number
  readonly record: OccurrenceRecord
  readonly queue: QueueConfiguration | undefined
  readonly isGuaranteed: boolean
  readonly policies: StepPolicies
}

function collectSteps (open: OpenOccurrence, waiting: WaitingStep[]): void {
  const { nowWallMs, job, occurrence, record, queue, isGuaranteed, policies } = open
  const stepRunMs: StepRunMs = index => policies.runTimes.predict(job, index).objectiveMs
  job.spec.steps.forEach((spec, stepIndex) => {
    const step = record.steps[stepIndex]
    if (step === undefined || step.isDone) return
    if (!spec.dependsOn.every(index => record.steps[index]?.isDone === true)) return
    const taskIndexes = listWaitingTasks(step, spec)
    if (taskIndexes.length === 0) return
    const waitingSinceWallMs = Math.max(job.acceptedWallMs, occurrenceDueMs(job.spec, occurrence))
    const jobCriticalPathMs = criticalPathMs(job.spec, stepRunMs)
    const estimateScaledObjectiveMs = jobCriticalPathMs * (queue?.slackFactor ?? DEFAULT_SLACK_FACTOR)
    const gangRun = step.highestRun + 1
    waiting.push({
      job,
      occurrence,
      stepIndex,
      spec,
      taskIndexes,
      nextRunOf: index => spec.isGang ? gangRun : (step.task(index)?.lastRun ?? 0) + 1,
      failedOn: index => step.task(index)?.failedOn ?? [],
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
    })
  })
}

/** A gang starts again only once no member has an active run. */
function listWaitingTasks (step: StepRecord, spec: StepSpec): number[] {
  const indexes = step.waitingIndexes(Infinity)
  return spec.isGang && indexes.length < step.taskCount ? [] : indexes
}
