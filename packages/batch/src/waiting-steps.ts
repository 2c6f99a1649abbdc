/** Work whose turn has come: tasks of steps whose dependencies are done and that no worker has. */
import type { Clock } from '@comfreygrade/core'
import type { BatchSettings } from './settings.js'
import type { BatchState } from './batch-state.js'
import { isStepDone, createOccurrence, type JobRecord, type OccurrenceRecord } from './job-record.js'
import { occurrenceDueMs, type JobSpec, type StepSpec } from './jobs.js'
import { GuaranteeLedger } from './guarantee-coverage.js'
import type { QueueConfiguration } from './queues.js'

/** Tasks of one step that wait for workers. */
export interface WaitingStep {
  readonly job: JobRecord
  readonly occurrence: number
  readonly stepIndex: number
  readonly spec: StepSpec
  /** Numbers of the waiting tasks; all of them in a gang. */
  readonly taskIndexes: readonly number[]
  /** Next run number: the same for all members of a gang. */
  readonly nextRunOf: (index: number) => number
  /** Workers on which a task failed before. */
  readonly failedOn: (index: number) => readonly string[]
  readonly priority: number
  /** Unix time from which the objective counts. */
  readonly startedWallMs: number
  readonly waitedMs: number
  /** Unix time of the completion objective. */
  readonly objectiveWallMs: number
  /** Estimated time from the start of this step to the end of the job. */
  readonly remainingChainMs: number
  /** Part of the time until the objective that rests on the estimate of the run time, without the run itself. */
  readonly stretchSlackMs: number
  readonly hasAdvicePolicy: boolean
  /** Urgent work that its organisation's guarantee covers. */
  readonly isGuaranteed: boolean
}

/** Priority of a queue that the configuration in force does not have. */
const LOWEST_PRIORITY = 9
/** Objective factor of such a queue. */
const DEFAULT_SLACK_FACTOR = 3

/**
 * Lists the steps that wait for workers.
 *
 * @example
 * for (const step of waitingSteps(state, clock, settings)) rank(step)
 */
export function waitingSteps (state: BatchState, clock: Clock, settings: BatchSettings): WaitingStep[] {
  const waiting: WaitingStep[] = []
  const nowWallMs = clock.wallMs()
  const latestDueMs = nowWallMs - settings.dueMarginMs
  const ledger = new GuaranteeLedger(state)
  for (const job of state.openJobs()) {
    const queue = state.directory?.at(job.queueAddress)
    const isGuaranteed = ledger.covers(job)
    job.occurrences.forEach((record, occurrence) => {
      if (occurrenceDueMs(job.spec, occurrence) > latestDueMs) return
      const open = { nowWallMs, job, occurrence, record: record ?? createOccurrence(job.spec), queue, isGuaranteed }
      collectSteps(open, waiting)
    })
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
}

function collectSteps (open: OpenOccurrence, waiting: WaitingStep[]): void {
  const { nowWallMs, job, occurrence, record, queue, isGuaranteed } = open
  job.spec.steps.forEach((spec, stepIndex) => {
    const step = record.steps[stepIndex]
    if (step === undefined || isStepDone(step)) return
    if (!spec.dependsOn.every(index => isDone(record, index))) return
    const taskIndexes = waitingTasks(record, stepIndex, spec)
    if (taskIndexes.length === 0) return
    const startedWallMs = Math.max(job.acceptedWallMs, occurrenceDueMs(job.spec, occurrence))
    const chainMs = longestChainMs(job.spec)
    const stretchMs = chainMs * (queue?.slackFactor ?? DEFAULT_SLACK_FACTOR)
    const gangRun = Math.max(0, ...step.tasks.map(task => task.lastRun)) + 1
    waiting.push({
      job,
      occurrence,
      stepIndex,
      spec,
      taskIndexes,
      nextRunOf: index => spec.isGang ? gangRun : (step.tasks[index]?.lastRun ?? 0) + 1,
      failedOn: index => step.tasks[index]?.failedOn ?? [],
      priority: queue?.priority ?? LOWEST_PRIORITY,
      startedWallMs,
      waitedMs: nowWallMs - startedWallMs,
      objectiveWallMs: startedWallMs + stretchMs + (queue?.targetLatencyMs ?? 0),
      remainingChainMs: chainFromMs(job.spec, stepIndex),
      stretchSlackMs: stretchMs - chainMs,
      hasAdvicePolicy: queue?.advice !== undefined,
      isGuaranteed
    })
  })
}

function isDone (record: OccurrenceRecord, index: number): boolean {
  const step = record.steps[index]
  return step !== undefined && isStepDone(step)
}

/** A gang starts again only once none of its members is left on a worker. */
function waitingTasks (record: OccurrenceRecord, stepIndex: number, spec: StepSpec): number[] {
  const tasks = record.steps[stepIndex]?.tasks ?? []
  if (spec.isGang && tasks.some(task => task.active.length > 0 || task.isDone)) return []
  return tasks.flatMap((task, index) => task.isDone || task.active.length > 0 ? [] : [index])
}

/** Estimated time of the longest chain of dependent steps. */
export function longestChainMs (spec: JobSpec): number {
  return Math.max(0, ...spec.steps.map((_step, index) => chainFromMs(spec, index)))
}

function chainFromMs (spec: JobSpec, stepIndex: number): number {
  const own = spec.steps[stepIndex]?.estimateMs ?? 0
  const followers = spec.steps.map((step, index) =>
    index > stepIndex && step.dependsOn.includes(stepIndex) ? chainFromMs(spec, index) : 0)
  return own + Math.max(0, ...followers)
}
