/** Jobs of several steps, as callers submit them. */

/** What one task takes from a worker. */
export interface TaskShape {
  readonly cpuMillicores: number
  readonly memoryMb: number
  readonly acceleratorCount: number
}

/** Processor cores that one accelerator counts for where work is compared. */
const CORES_PER_ACCELERATOR = 8

/**
 * Size of a task in cores, accelerators included.
 *
 * @example
 * coresOf({ cpuMillicores: 2_500, memoryMb: 512, acceleratorCount: 1 }) // 10.5
 */
export function coresOf ({ cpuMillicores, acceleratorCount }: TaskShape): number {
  return cpuMillicores / 1_000 + acceleratorCount * CORES_PER_ACCELERATOR
}

/** A set of like tasks of a job. */
export interface StepSpec {
  readonly taskCount: number
  readonly shape: TaskShape
  /** The caller's rough estimate of the run time of one task. */
  readonly estimateMs: number
  /** Numbers of earlier steps whose tasks must all be done first. */
  readonly dependsOn: readonly number[]
  readonly isCheckpointing: boolean
  /** The tasks run only together and end together. */
  readonly isGang: boolean
  /** The tasks are much slower when they are spread over racks. */
  readonly isSameRack: boolean
  /** Label that the worker must have; empty for none. */
  readonly requiredLabel: string
  /** Rack that holds the data; empty for none. */
  readonly dataRack: string
  /** At most this many tasks of one occurrence on one worker; 0 for no limit. */
  readonly maxTasksPerWorker: number
  /** Copies of a task may run at once, and the first to end counts. */
  readonly isSpeculative: boolean
  /** The tasks run until the job is cancelled. */
  readonly isLasting: boolean
  readonly image: string
  /** Tail latency that the users of a lasting task expect; 0 for none. */
  readonly targetLatencyMs: number
  /** The tasks use only processor time that others leave, which is not counted against the worker. */
  readonly isFiller: boolean
  /** Tasks of a lasting step that may be away at once through our own orders; undefined for no limit. */
  readonly maxUnavailable?: number
}

/** Times at which the steps of a job run again. */
export interface JobSchedule {
  /** Unix time of the first occurrence. */
  readonly firstDueMs: number
  readonly intervalMs: number
  readonly occurrences: number
}

/** A job as submitted. */
export interface JobSpec {
  readonly jobId: string
  /** Handed to the worker with each task, uninterpreted. */
  readonly payload: string
  readonly steps: readonly StepSpec[]
  readonly schedule?: JobSchedule
}

/** State of a job that callers see. */
export type JobState = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled'

/** Position of a task. */
export interface TaskId {
  readonly jobId: string
  readonly occurrence: number
  readonly step: number
  readonly index: number
}

/**
 * Key of a task for maps and messages.
 *
 * @example
 * taskKey({ jobId: '5c0e', occurrence: 0, step: 1, index: 17 }) // '5c0e.0.1.17'
 */
export function taskKey ({ jobId, occurrence, step, index }: TaskId): string {
  return `${jobId}.${occurrence}.${step}.${index}`
}

/**
 * Reads a key back; undefined for text that is no key.
 *
 * @example
 * parseTaskKey('5c0e.0.1.17')?.index // 17
 */
export function parseTaskKey (key: string): TaskId | undefined {
  const [jobId, ...numbers] = key.split('.')
  const [occurrence, step, index] = numbers.map(Number)
  if (numbers.length !== 3 || jobId === undefined || jobId === '') return undefined
  if (!isIndex(occurrence) || !isIndex(step) || !isIndex(index)) return undefined
  return { jobId, occurrence, step, index }
}

function isIndex (value: number | undefined): value is number {
  return value !== undefined && Number.isSafeInteger(value) && value >= 0
}

/**
 * Key of a step of one occurrence.
 *
 * @example
 * stepKey('5c0e', 0, 1) // '5c0e.0.1'
 */
export function stepKey (jobId: string, occurrence: number, step: number): string {
  return `${jobId}.${occurrence}.${step}`
}

/**
 * The step of a task's key.
 *
 * @example
 * stepKeyOf('5c0e.0.1.17') // '5c0e.0.1'
 */
export function stepKeyOf (key: string): string {
  return key.slice(0, key.lastIndexOf('.'))
}

/**
 * The job of a key of a task or step.
 *
 * @example
 * jobIdOf('5c0e.0.1.17') // '5c0e'
 */
export function jobIdOf (key: string): string {
  return key.slice(0, key.indexOf('.'))
}

/** How many times the steps of a job run. */
export function occurrenceCount (spec: JobSpec): number {
  return spec.schedule?.occurrences ?? 1
}

/** Unix time at which an occurrence may start; 0 without a schedule. */
export function occurrenceDueMs (spec: JobSpec, occurrence: number): number {
  const { schedule } = spec
  return schedule === undefined ? 0 : schedule.firstDueMs + occurrence * schedule.intervalMs
}
