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
  readonly failedJobs: Set<string>
  quarantines: number
  quarantinedUntilMs: number
}

function createHealth (): Health {
  return { failedJobs: new Set(), quarantines: 0, quarantinedUntilMs: -Infinity }
}

/** Counts failures of different jobs, since a single job that can never succeed also fails on healthy workers. */
export class WorkerHealth {
  readonly #clock: Clock
  readonly #log: EventLog
  readonly #byWorker = new Map<string, Health>()

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
    const health = this.#byWorker.get(workerId) ?? createHealth()
    this.#byWorker.set(workerId, health)
    health.failedJobs.add(jobIdOf(end.taskKey))
    if (health.failedJobs.size >= QUARANTINE_FAILED_JOBS || health.quarantines > 0) this.#quarantine(workerId, health)
  }

  /** Whether a worker is in quarantine and so gets no new runs. */
  isQuarantined (workerId: string): boolean {
    return (this.#byWorker.get(workerId)?.quarantinedUntilMs ?? -Infinity) > this.#clock.monotonicMs()
  }

  #quarantine (workerId: string, health: Health): void {
    const durationMs = Math.min(MAX_QUARANTINE_MS, INITIAL_QUARANTINE_MS * 2 ** health.quarantines)
    health.quarantines++
    health.failedJobs.clear()
    health.quarantinedUntilMs = this.#clock.monotonicMs() + durationMs
    this.#log.warn('worker quarantined', { workerId, durationMs })
  }
}
