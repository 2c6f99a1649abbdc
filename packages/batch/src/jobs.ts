/** Jobs as callers submit them: steps of identical tasks, with dependencies between steps. */

/** Resources of one task, or of a worker. */
export interface TaskShape {
  readonly cpuMillicores: number
  readonly memoryMb: number
  readonly acceleratorCount: number
}

/** One accelerator counts as this many processor cores where amounts of work are compared. */
const CORES_PER_ACCELERATOR = 8

/**
 * Size of a task in core equivalents, accelerators included.
 *
 * @example
 * coresOf({ cpuMillicores: 2_500, memoryMb: 512, acceleratorCount: 1 }) // 10.5
 */
export function coresOf ({ cpuMillicores, acceleratorCount }: TaskShape): number {
  return cpuMillicores / 1_000 + acceleratorCount * CORES_PER_ACCELERATOR
}

/** A step of a job: a set of identical tasks. */
export interface StepSpec {
  readonly taskCount: number
  readonly shape: TaskShape
  /** The caller's rough estimate of the run time of one task. */
  readonly estimateMs: number
  /** Indexes of earlier steps whose tasks must all be done first. */
  readonly dependsOn: readonly number[]
  readonly isCheckpointing: boolean
  /** Gang scheduling: the tasks start together, and none ends before the others. */
  readonly isGang: boolean
  /** Only for gangs: the tasks run several times slower when they are spread over racks. */
  readonly isSameRack: boolean
  /** Label that the worker must have; empty for none. */
  readonly requiredLabel: string
  /** Rack that holds the data; empty for none. */
  readonly dataRack: string
  /** At most this many tasks of one occurrence on one worker; 0 for no limit. */
  readonly maxTasksPerWorker: number
  /**
   * The caller allows several runs of a task at once, of which the first to end counts. The scheduler accepts the flag
   * but does not use it: a task has one active run at a time.
   */
  readonly isSpeculative: boolean
  /** Long-running tasks: they run until the job is cancelled, and are restarted however they end. */
  readonly isLasting: boolean
  readonly image: string
  /** Tail latency that users expect of a lasting task; 0 for none. */
  readonly targetLatencyMs: number
  /** Best-effort tasks: they use only spare processor time, which does not count against the worker's capacity. */
  readonly isFiller: boolean
  /**
   * Disruption budget: most tasks of a lasting step that maintenance may make unavailable at once; undefined for no
   * limit. Evictions from leaving workers, and stops for want of a valid ticket, are not limited.
   */
  readonly maxUnavailable?: number
}

/** Times at which a job recurs. */
export interface JobSchedule {
  /** Unix time of the first occurrence. */
  readonly firstDueMs: number
  readonly intervalMs: number
  readonly occurrences: number
}

/** A job as submitted. */
export interface JobSpec {
  /** Must not contain a dot, which separates the parts of task and step keys; a submission is not checked for this. */
  readonly jobId: string
  /** Passed to the worker with each task; the scheduler does not interpret it. */
  readonly payload: string
  readonly steps: readonly StepSpec[]
  readonly schedule?: JobSchedule
}

/** State of a job as shown to callers. */
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
 * Parses a task key; undefined where the text is none.
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
 * The step key that a task key contains.
 *
 * @example
 * stepKeyOf('5c0e.0.1.17') // '5c0e.0.1'
 */
export function stepKeyOf (key: string): string {
  return key.slice(0, key.lastIndexOf('.'))
}

/**
 * The job ID that a task key or step key contains.
 *
 * @example
 * jobIdOf('5c0e.0.1.17') // '5c0e'
 */
export function jobIdOf (key: string): string {
  return key.slice(0, key.indexOf('.'))
}

/** Number of occurrences of a job; 1 without a schedule. */
export function occurrenceCount (spec: JobSpec): number {
  return spec.schedule?.occurrences ?? 1
}

/** Unix time from which an occurrence may start; 0 without a schedule. */
export function occurrenceDueMs (spec: JobSpec, occurrence: number): number {
  const { schedule } = spec
  return schedule === undefined ? 0 : schedule.firstDueMs + occurrence * schedule.intervalMs
}
