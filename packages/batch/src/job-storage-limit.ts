/** Refusal of jobs for which the replicas have no memory. */
import { failure, type Clock, type EventLog, type Failure, type Metrics } from '@comfreygrade/core'
import type { BatchState } from './batch-state.js'
import { estimateJobBytes } from './job-size.js'
import type { JobSpec, StepSpec } from './jobs.js'
import { RecentRefusals } from './recent-refusals.js'
import { shareOfJob } from './retry-spread.js'
import type { BatchSettings } from './settings.js'

/** Options of {@link JobStorageLimit}. */
export interface JobStorageLimitOptions {
  readonly state: BatchState
  readonly settings: BatchSettings
  readonly clock: Clock
  readonly metrics: Metrics
  readonly log: EventLog
}

/** A time since which the memory for jobs has been full. */
interface FullPeriod {
  readonly sinceMs: number
  /** Bytes that had been freed before, in all. */
  readonly freedBytes: number
  lastRefusalMs: number
}

const MIN_RETRY_AFTER_MS = 1_000
/** The load may have changed by then. */
const MAX_RETRY_AFTER_MS = 60_000
/** Time without a refusal after which the memory does not count as full any more. */
const FULL_PERIOD_END_MS = 5_000

/**
 * Refuses a job that would take the stored jobs beyond `maxJobBytes`, before it is proposed. Jobs that were accepted
 * beyond the limit by an earlier version stay. Submissions that are proposed and not committed yet count as well.
 *
 * @example
 * const refusal = limit.refusalOf(spec)
 * if (refusal === undefined) limit.reserve(spec)
 */
export class JobStorageLimit {
  readonly #options: JobStorageLimitOptions
  readonly #refusals = new RecentRefusals()
  #reservedBytes = 0
  #full: FullPeriod | undefined

  constructor (options: JobStorageLimitOptions) {
    this.#options = options
  }

  refusalOf (spec: JobSpec): Failure | undefined {
    const { state, settings, clock } = this.#options
    const nowMs = clock.monotonicMs()
    this.#endFullPeriod(nowMs)
    const known = this.#refusals.find(spec.jobId, nowMs)
    if (known !== undefined) return known
    const gang = spec.steps.find(step => step.isGang && step.taskCount > settings.maxStartedTasks)
    if (gang !== undefined) return gangIsTooLarge(gang, settings)
    const excessBytes = state.storedJobBytes + this.#reservedBytes + estimateJobBytes(spec) - settings.maxJobBytes
    return excessBytes > 0 ? this.#refuse(spec, excessBytes, nowMs) : undefined
  }

  /** Counts a job that is proposed. */
  reserve (spec: JobSpec): void {
    this.#reservedBytes += estimateJobBytes(spec)
  }

  /** Stops counting a proposed job, which is stored now or was not accepted. */
  release (spec: JobSpec): void {
    this.#reservedBytes -= estimateJobBytes(spec)
  }

  #refuse ({ jobId }: JobSpec, excessBytes: number, nowMs: number): Failure {
    const { state, settings, metrics, log } = this.#options
    const { storedJobBytes } = state
    if (this.#full === undefined) {
      log.warn('jobs are refused, since the stored ones take all memory for them', {
        storedJobBytes, maxJobBytes: settings.maxJobBytes
      })
    }
    this.#full ??= { sinceMs: nowMs, freedBytes: state.freedJobBytes, lastRefusalMs: nowMs }
    this.#full.lastRefusalMs = nowMs
    metrics.increment('admission.refused', { reason: 'storage' })
    const waitMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, this.#expectedWaitMs(excessBytes, nowMs)))
    const detail = `the stored jobs take ${storedJobBytes} bytes, and the limit is ${settings.maxJobBytes}`
    const refusal = failure('queue_full', detail, waitMs * (1 + shareOfJob(jobId)))
    this.#refusals.record(jobId, refusal, nowMs)
    return refusal
  }

  /**
   * Time until there is expected to be room: until enough ended jobs are removed, or, if sooner, at the rate at which
   * room became free since the memory is full. Without either, as long again as it has been full.
   */
  #expectedWaitMs (excessBytes: number, nowMs: number): number {
    const { state } = this.#options
    const { sinceMs, freedBytes } = this.#full as FullPeriod
    const elapsedMs = nowMs - sinceMs
    const freedSinceBytes = state.freedJobBytes - freedBytes
    const atRateMs = freedSinceBytes > 0 ? elapsedMs * excessBytes / freedSinceBytes : Infinity
    const waitMs = Math.min(atRateMs, state.timeUntilFreedMs(excessBytes))
    return Number.isFinite(waitMs) ? waitMs : elapsedMs
  }

  #endFullPeriod (nowMs: number): void {
    if (this.#full === undefined || nowMs - this.#full.lastRefusalMs < FULL_PERIOD_END_MS) return
    this.#full = undefined
    this.#options.log.info('jobs are no longer refused for want of memory', {
      storedJobBytes: this.#options.state.storedJobBytes
    })
  }
}

/** A gang whose members could never all start. */
function gangIsTooLarge ({ taskCount }: StepSpec, { maxStartedTasks }: BatchSettings): Failure {
  return failure('impossible_shape', `a gang has ${taskCount} tasks, and at most ${maxStartedTasks} tasks may have started`)
}
