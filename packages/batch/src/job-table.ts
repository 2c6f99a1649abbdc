/** Replicated jobs: the open ones, and those that have ended within the retention. */
import { settleEndedJob, type JobRecord } from './job-record.js'
import { estimateJobBytes } from './job-size.js'

/**
 * Jobs by ID, and in the order of their end.
 *
 * @example
 * const table = new JobTable({ endedJobRetentionMs: 300_000 }, [])
 * table.add(job)
 * table.end(job, 'cancelled', logTimeMs)
 */
export class JobTable {
  readonly #endedJobRetentionMs: number
  readonly #jobs = new Map<string, JobRecord>()
  readonly #openJobs = new Map<string, JobRecord>()
  /** In order of their end. */
  readonly #endedJobs: JobRecord[]
  #storedBytes = 0
  #freedBytes = 0
  #logTimeMs = 0

  /** `jobs` are those of a snapshot, in order of acceptance. */
  constructor (options: { readonly endedJobRetentionMs: number }, jobs: readonly JobRecord[]) {
    this.#endedJobRetentionMs = options.endedJobRetentionMs
    for (const job of jobs) this.#jobs.set(job.spec.jobId, job)
    for (const job of jobs) if (job.state === 'open') this.#openJobs.set(job.spec.jobId, job)
    this.#endedJobs = jobs.filter(job => job.state !== 'open')
      .sort((left, right) => left.endedLogMs - right.endedLogMs)
    for (const { spec } of jobs) this.#storedBytes += estimateJobBytes(spec)
  }

  /** Estimated memory of all jobs. */
  get storedBytes (): number {
    return this.#storedBytes
  }

  /** Memory that ended and removed jobs have freed since this table was created. */
  get freedBytes (): number {
    return this.#freedBytes
  }

  /** Time from the latest command until the removal of ended jobs has freed so much; `Infinity` where it will not. */
  timeUntilFreedMs (bytes: number): number {
    let freedBytes = 0
    for (const job of this.#endedJobs) {
      freedBytes += estimateJobBytes(job.spec)
      if (freedBytes >= bytes) return Math.max(0, job.endedLogMs + this.#endedJobRetentionMs - this.#logTimeMs)
    }
    return Infinity
  }

  /** All jobs in order of acceptance. */
  all (): Iterable<JobRecord> {
    return this.#jobs.values()
  }

  /** Jobs that have not ended, in order of acceptance. */
  open (): Iterable<JobRecord> {
    return this.#openJobs.values()
  }

  get (jobId: string): JobRecord | undefined {
    return this.#jobs.get(jobId)
  }

  getOpen (jobId: string): JobRecord | undefined {
    return this.#openJobs.get(jobId)
  }

  /** Adds an open job. */
  add (job: JobRecord): void {
    this.#jobs.set(job.spec.jobId, job)
    this.#openJobs.set(job.spec.jobId, job)
    this.#storedBytes += estimateJobBytes(job.spec)
  }

  /** Ends an open job. */
  end (job: JobRecord, state: 'completed' | 'failed' | 'cancelled', logTimeMs: number): void {
    job.state = state
    job.endedLogMs = logTimeMs
    this.#openJobs.delete(job.spec.jobId)
    this.#endedJobs.push(job)
    const openBytes = estimateJobBytes(job.spec)
    settleEndedJob(job)
    this.#free(openBytes - estimateJobBytes(job.spec))
  }

  /** Removes jobs that ended longer ago than the retention. */
  removeExpired (logTimeMs: number): void {
    this.#logTimeMs = logTimeMs
    let first = this.#endedJobs[0]
    while (first !== undefined && logTimeMs - first.endedLogMs > this.#endedJobRetentionMs) {
      this.#jobs.delete(first.spec.jobId)
      this.#free(estimateJobBytes(first.spec))
      this.#endedJobs.shift()
      first = this.#endedJobs[0]
    }
  }

  #free (bytes: number): void {
    this.#storedBytes -= bytes
    this.#freedBytes += bytes
  }
}
