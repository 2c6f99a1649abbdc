/** Replicated jobs: the open ones, and those that have ended within the retention. */
import { settleEndedJob, type JobRecord } from './job-record.js'

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

  /** `jobs` are those of a snapshot, in order of acceptance. */
  constructor (options: { readonly endedJobRetentionMs: number }, jobs: readonly JobRecord[]) {
    this.#endedJobRetentionMs = options.endedJobRetentionMs
    for (const job of jobs) this.#jobs.set(job.spec.jobId, job)
    for (const job of jobs) if (job.state === 'open') this.#openJobs.set(job.spec.jobId, job)
    this.#endedJobs = jobs.filter(job => job.state !== 'open')
      .sort((left, right) => left.endedLogMs - right.endedLogMs)
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
  }

  /** Ends an open job. */
  end (job: JobRecord, state: 'completed' | 'failed' | 'cancelled', logTimeMs: number): void {
    job.state = state
    job.endedLogMs = logTimeMs
    this.#openJobs.delete(job.spec.jobId)
    this.#endedJobs.push(job)
    settleEndedJob(job)
  }

  /** Removes jobs that ended longer ago than the retention. */
  removeExpired (logTimeMs: number): void {
    let first = this.#endedJobs[0]
    while (first !== undefined && logTimeMs - first.endedLogMs > this.#endedJobRetentionMs) {
      this.#jobs.delete(first.spec.jobId)
      this.#endedJobs.shift()
      first = this.#endedJobs[0]
    }
  }
}
