/** Quarantine of workers on which runs of different jobs fail. */
import type { Clock, EventLog } from '@comfreygrade/core'
import type { RunEnd } from './commands.js'
import { jobIdOf } from './jobs.js'

/**
 * A worker is quarantined after failures of this many different jobs without a success in between. After its first
 * quarantine, a single failure without a success in between is enough.
 */
const QUARANTINE_FAILED_JOBS = 2
/** The first quarantine; each further one without a success in between is twice as long. */
const INITIAL_QUARANTINE_MS = 3_000
const MAX_QUARANTINE_MS = 24_000

interface Health {
  /** Jobs whose failures count against the worker. */
  failedJobs: Set<string>
  /** Jobs whose failures led to the latest quarantine, and those whose runs failed during it. */
  quarantineCauses: Set<string>
  quarantines: number
  quarantinedUntilMs: number
}

function createHealth (): Health {
  return { failedJobs: new Set(), quarantineCauses: new Set(), quarantines: 0, quarantinedUntilMs: -Infinity }
}

/**
 * Counts failures of different jobs, since a single job that can never succeed also fails on healthy workers. Where a
 * task fails on two workers, the fault is taken to be that of its job, and its failures count against no worker.
 *
 * Load pattern: many jobs that can never succeed, which would put the whole fleet into quarantine.
 */
export class WorkerHealth {
  readonly #clock: Clock
  readonly #log: EventLog
  readonly #byWorker = new Map<string, Health>()
  /** Worker of the first failure of each task. */
  readonly #firstFailureByTask = new Map<string, string>()
  readonly #faultyJobs = new Set<string>()

  constructor (clock: Clock, log: EventLog) {
    this.#clock = clock
    this.#log = log
  }

  /**
   * Updates the health of a worker after it reported the end of a run. A success removes all failures of the worker and
   * ends its quarantine, also where the run started before that.
   */
  update (workerId: string, end: RunEnd): void {
    if (end.reason === 'done') this.#byWorker.delete(workerId)
    if (end.reason !== 'failed') return
    const jobId = jobIdOf(end.taskKey)
    const firstWorkerId = this.#firstFailureByTask.get(end.taskKey)
    if (firstWorkerId === undefined) this.#firstFailureByTask.set(end.taskKey, workerId)
    else if (firstWorkerId !== workerId) this.#blameJob(jobId)
    if (!this.#faultyJobs.has(jobId)) this.#countFailure(workerId, jobId)
  }

  /** Whether a worker is in quarantine and so gets no new runs. */
  isQuarantined (workerId: string): boolean {
    return (this.#byWorker.get(workerId)?.quarantinedUntilMs ?? -Infinity) > this.#clock.monotonicMs()
  }

  /** Removes jobs that are no longer known. */
  retainJobs (isKnown: (jobId: string) => boolean): void {
    for (const jobId of this.#faultyJobs) if (!isKnown(jobId)) this.#faultyJobs.delete(jobId)
    for (const taskKey of this.#firstFailureByTask.keys()) {
      if (!isKnown(jobIdOf(taskKey))) this.#firstFailureByTask.delete(taskKey)
    }
  }

  #countFailure (workerId: string, jobId: string): void {
    const health = this.#byWorker.get(workerId) ?? createHealth()
    this.#byWorker.set(workerId, health)
    // Runs that were started before a quarantine and fail during it say no more than those that led to it.
    const isQuarantined = this.isQuarantined(workerId)
    const failedJobs = isQuarantined ? health.quarantineCauses : health.failedJobs
    failedJobs.add(jobId)
    if (!isQuarantined && suffices(failedJobs, health.quarantines)) this.#quarantine(workerId, health)
  }

  #quarantine (workerId: string, health: Health): void {
    const durationMs = Math.min(MAX_QUARANTINE_MS, INITIAL_QUARANTINE_MS * 2 ** health.quarantines)
    health.quarantines++
    health.quarantineCauses = health.failedJobs
    health.failedJobs = new Set()
    health.quarantinedUntilMs = this.#clock.monotonicMs() + durationMs
    this.#log.warn('worker quarantined', { workerId, durationMs })
  }

  /** Failures of the job count no more, and a quarantine that they led to ends. */
  #blameJob (jobId: string): void {
    if (this.#faultyJobs.has(jobId)) return
    this.#faultyJobs.add(jobId)
    for (const [workerId, health] of this.#byWorker) {
      health.failedJobs.delete(jobId)
      if (health.quarantineCauses.delete(jobId)) this.#endQuarantine(workerId, health, jobId)
    }
  }

  /** Ends a quarantine for which what is left of its causes would not suffice; that counts again. */
  #endQuarantine (workerId: string, health: Health, jobId: string): void {
    if (!this.isQuarantined(workerId) || suffices(health.quarantineCauses, health.quarantines - 1)) return
    health.quarantinedUntilMs = -Infinity
    health.quarantines--
    health.failedJobs = new Set([...health.failedJobs, ...health.quarantineCauses])
    health.quarantineCauses = new Set()
    this.#log.info('worker quarantine ended', { workerId, faultyJobId: jobId })
  }
}

/** Whether failures of these jobs put a worker that was quarantined before that often into quarantine. */
function suffices (failedJobs: ReadonlySet<string>, earlierQuarantines: number): boolean {
  return failedJobs.size >= (earlierQuarantines === 0 ? QUARANTINE_FAILED_JOBS : 1)
}
