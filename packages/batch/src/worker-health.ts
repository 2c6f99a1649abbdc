/** Workers that fail what they run, told apart from jobs that fail everywhere. */
import type { Clock, EventLog } from '@comfreygrade/core'
import type { RunEnd } from './commands.js'
import { jobIdOf } from './jobs.js'

/** Failures of this many jobs in a row, without a success between them, put a worker into quarantine. */
const FAILED_JOBS_LIMIT = 2
/** First quarantine; each further one without a success between is twice as long. */
const FIRST_QUARANTINE_MS = 3_000
const MAX_QUARANTINE_MS = 24_000

interface Health {
  readonly failedJobs: Set<string>
  quarantines: number
  quarantinedUntilMs: number
}

function newHealth (): Health {
  return { failedJobs: new Set(), quarantines: 0, quarantinedUntilMs: -Infinity }
}

/** Counts failures of different jobs, since one job that can never run fails on sound workers. */
export class WorkerHealth {
  readonly #clock: Clock
  readonly #log: EventLog
  readonly #byWorker = new Map<string, Health>()

  constructor (clock: Clock, log: EventLog) {
    this.#clock = clock
    this.#log = log
  }

  /** Takes note of an end. */
  noteEnd (workerId: string, end: RunEnd): void {
    if (end.reason === 'done') this.#byWorker.delete(workerId)
    if (end.reason !== 'failed') return
    const health = this.#byWorker.get(workerId) ?? newHealth()
    this.#byWorker.set(workerId, health)
    health.failedJobs.add(jobIdOf(end.taskKey))
    if (health.failedJobs.size >= FAILED_JOBS_LIMIT || health.quarantines > 0) this.#quarantine(workerId, health)
  }

  /** Whether a worker gets no new runs. */
  isQuarantined (workerId: string): boolean {
    return (this.#byWorker.get(workerId)?.quarantinedUntilMs ?? -Infinity) > this.#clock.monotonicMs()
  }

  #quarantine (workerId: string, health: Health): void {
    const durationMs = Math.min(MAX_QUARANTINE_MS, FIRST_QUARANTINE_MS * 2 ** health.quarantines)
    health.quarantines++
    health.failedJobs.clear()
    health.quarantinedUntilMs = this.#clock.monotonicMs() + durationMs
    this.#log.warn('worker is quarantined', { workerId, durationMs })
  }
}
