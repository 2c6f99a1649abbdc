/** Replicated records of jobs, steps and tasks. */
import { occurrenceCount, type JobSpec, type JobState, type StepSpec } from './jobs.js'
import type { WorkerIncarnation } from './commands.js'

/** A run that may still be on its worker. */
export interface ActiveRun extends WorkerIncarnation {
  readonly run: number
}

/** One task of an occurrence. */
export interface TaskRecord {
  lastRun: number
  failures: number
  isDone: boolean
  checkpoint: string
  /** Workers on which the task failed, newest last. */
  failedOn: string[]
  active: ActiveRun[]
}

/** One step of an occurrence. */
export interface StepRecord {
  tasks: TaskRecord[]
  /** Latest failed run of a gang, so that failures of several members in one run count once. */
  lastFailedRun: number
}

/** One occurrence of a job's schedule; a job without a schedule has one. */
export interface OccurrenceRecord {
  steps: StepRecord[]
}

/** An accepted job. */
export interface JobRecord {
  readonly spec: JobSpec
  readonly queueAddress: string
  /** Service of the queue in the latest configuration that contained the queue. */
  service: string
  readonly organisation: string
  readonly acceptedWallMs: number
  /** Log time at which the job ended, for its retention; 0 while the job is open. */
  endedLogMs: number
  state: 'open' | 'completed' | 'failed' | 'cancelled'
  /**
   * Whether the end of any of its runs has been recorded. Whether a run has only been reported as running is known to
   * the leader alone (`WorkerRegistry.hasStarted`).
   */
  hasStarted: boolean
  /** An occurrence is null until a run of it is assigned. */
  occurrences: Array<OccurrenceRecord | null>
}

/** Creates the record of an accepted job. */
export function createJobRecord (
  fields: Pick<JobRecord, 'spec' | 'queueAddress' | 'service' | 'organisation' | 'acceptedWallMs'>
): JobRecord {
  const occurrences = Array.from({ length: occurrenceCount(fields.spec) }, () => null)
  return { ...fields, endedLogMs: 0, state: 'open', hasStarted: false, occurrences }
}

/** Creates the record of an occurrence without any run. */
export function createOccurrence (spec: JobSpec): OccurrenceRecord {
  return { steps: spec.steps.map(createStep) }
}

function createStep (step: StepSpec): StepRecord {
  return { tasks: Array.from({ length: step.taskCount }, createTask), lastFailedRun: 0 }
}

function createTask (): TaskRecord {
  return { lastRun: 0, failures: 0, isDone: false, checkpoint: '', failedOn: [], active: [] }
}

/** Whether all tasks of a step are done. */
export function isStepDone (step: StepRecord): boolean {
  return step.tasks.every(task => task.isDone)
}

/** Whether every task of every occurrence is done. */
export function isJobDone (job: JobRecord): boolean {
  return job.occurrences.every(occurrence => occurrence?.steps.every(isStepDone) ?? false)
}

/**
 * State as shown to callers, except that the leader also shows an open job as running from the report of its first run.
 */
export function visibleState (job: JobRecord): JobState {
  if (job.state !== 'open') return job.state
  return job.hasStarted ? 'running' : 'queued'
}
