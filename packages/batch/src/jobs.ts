/** Jobs as callers submit them: steps of identical tasks, with dependencies between steps. */
import { fail, succeed, type Result } from '@comfreygrade/core'
import { lowestIndex } from './binary-search.js'

/** Resources of one task, or of a worker. */
export interface TaskShape {
  readonly cpuMillicores: number
  readonly memoryMb: number
  readonly acceleratorCount: number
}

export const NO_RESOURCES: TaskShape = { cpuMillicores: 0, memoryMb: 0, acceleratorCount: 0 }

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

/**
 * Resources that one task occupies on its worker. A filler uses only spare processor time, so its cores do not
 * count.
 *
 * @example
 * addShape(used, occupiedShape(spec))
 */
export function occupiedShape ({ shape, isFiller }: Pick<StepSpec, 'shape' | 'isFiller'>): TaskShape {
  return isFiller ? { ...shape, cpuMillicores: 0 } : shape
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
  /** See {@link isValidJobId}. */
  readonly jobId: string
  /** Passed to the worker with each task; the scheduler does not interpret it. */
  readonly payload: string
  readonly steps: readonly StepSpec[]
  readonly schedule?: JobSchedule
}

/** Most characters of a job ID. */
export const MAX_JOB_ID_LENGTH = 128

/**
 * Whether a text may be a job ID: not empty, not too long, and without a dot, which separates the parts of task and
 * step keys.
 *
 * @example
 * isValidJobId('5c0e7a21d94b36f8') // true
 */
export function isValidJobId (text: string): boolean {
  return text !== '' && text.length <= MAX_JOB_ID_LENGTH && !text.includes('.')
}

/** Most bytes of a payload, which the log keeps and each start order carries. */
export const MAX_PAYLOAD_BYTES = 65_536
/** Most steps of a job. */
export const MAX_STEPS_PER_JOB = 200
/** Most tasks of one occurrence, over all steps. */
export const MAX_TASKS_PER_OCCURRENCE = 20_000
/** Most occurrences of a job. */
export const MAX_OCCURRENCES = 10_000
/** Longest estimate of a task's run time: some four months. Sums and multiples of estimates stay exact numbers. */
export const MAX_ESTIMATE_MS = 1e10
/** Latest Unix time that a date can have. */
const MAX_UNIX_MS = 8.64e15

/**
 * Checks a job against the limits, which keep one job from using up the memory or the time of the leader, and its
 * dependencies.
 *
 * @example
 * validateJob({ payload: '', steps: [] }) // { ok: false, failure: { kind: 'invalid_request', detail: '...' } }
 */
export function validateJob<Spec extends Omit<JobSpec, 'jobId'>> (spec: Spec): Result<Spec> {
  const reason = findExceededLimit(spec) ?? findLaterDependency(spec.steps)
  return reason === undefined ? succeed(spec) : fail('invalid_request', reason)
}

function findExceededLimit ({ payload, steps, schedule }: Omit<JobSpec, 'jobId'>): string | undefined {
  const payloadBytes = Buffer.byteLength(payload)
  const taskCount = steps.reduce((sum, step) => sum + step.taskCount, 0)
  const occurrences = schedule?.occurrences ?? 1
  if (payloadBytes > MAX_PAYLOAD_BYTES) {
    return `the payload has ${payloadBytes} bytes, the limit is ${MAX_PAYLOAD_BYTES}`
  }
  if (steps.length === 0) return 'the job has no steps'
  if (steps.length > MAX_STEPS_PER_JOB) return `the job has ${steps.length} steps, the limit is ${MAX_STEPS_PER_JOB}`
  if (taskCount > MAX_TASKS_PER_OCCURRENCE) {
    return `the job has ${taskCount} tasks, the limit is ${MAX_TASKS_PER_OCCURRENCE}`
  }
  if (occurrences > MAX_OCCURRENCES) return `the job has ${occurrences} occurrences, the limit is ${MAX_OCCURRENCES}`
  const estimateMs = Math.max(...steps.map(step => step.estimateMs))
  if (!(estimateMs <= MAX_ESTIMATE_MS)) return `a step has an estimate of ${estimateMs} ms, the limit is ${MAX_ESTIMATE_MS}`
  if (schedule === undefined) return undefined
  if (schedule.intervalMs < 0) return `the schedule has an interval of ${schedule.intervalMs} ms`
  return isWithinDates(schedule) ? undefined : 'the schedule reaches beyond the dates'
}

function isWithinDates ({ firstDueMs, intervalMs, occurrences }: JobSchedule): boolean {
  return Math.abs(firstDueMs) <= MAX_UNIX_MS && Math.abs(firstDueMs + intervalMs * occurrences) <= MAX_UNIX_MS
}

function findLaterDependency (steps: readonly StepSpec[]): string | undefined {
  const index = steps.findIndex((step, stepIndex) => step.dependsOn.some(dependency => dependency >= stepIndex))
  return index < 0 ? undefined : `step ${index} depends on a step that is not before it`
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

/**
 * Number of occurrences that are due by a time; these are the first ones, since intervals are not negative.
 *
 * @example
 * countDue({ ...spec, schedule: { firstDueMs: 0, intervalMs: 1_000, occurrences: 5 } }, 2_500) // 3
 */
export function countDue (spec: JobSpec, latestDueMs: number): number {
  return lowestIndex(occurrenceCount(spec), occurrence => occurrenceDueMs(spec, occurrence) > latestDueMs)
}
