/**
 * Quarantine of workers on which tasks of several jobs fail, with exponential back-off between retries. Without it, a
 * faulty worker that stays free could fail one waiting job after the other.
 */
import type { PlacementSettings } from './settings.js'

interface HealthRecord {
  readonly failedJobIds: Set<string>
  quarantinedUntilMs: number | undefined
  /** Quarantines since the last job that succeeded on the worker. */
  quarantineCount: number
}

/** Decides which workers are quarantined. Only workers with failures have a record. */
export class WorkerHealth {
  readonly #settings: PlacementSettings
  readonly #records = new Map<string, HealthRecord>()

  constructor (settings: PlacementSettings) {
    this.#settings = settings
  }

  /**
   * Records a failed task. After a quarantine, a single failure quarantines the worker again.
   *
   * @returns whether this failure quarantined the worker
   */
  recordFailure (workerId: string, jobId: string, nowMs: number): boolean {
    const record = this.#recordOf(workerId)
    record.failedJobIds.add(jobId)
    if (record.quarantinedUntilMs !== undefined) return false
    if (record.failedJobIds.size < this.#failureLimit(record.quarantineCount)) return false
    this.#quarantine(record, nowMs)
    return true
  }

  /** Resets the failure record of a worker on which a job succeeded, unless the worker is quarantined. */
  recordSuccess (workerId: string): void {
    const record = this.#records.get(workerId)
    if (record !== undefined && record.quarantinedUntilMs === undefined) this.#records.delete(workerId)
  }

  /**
   * Removes the failures of a job that was stopped after failing on several workers, as the job is the likely cause.
   *
   * @returns whether this ends the worker's quarantine
   */
  retractFailure (workerId: string, jobId: string): boolean {
    const record = this.#records.get(workerId)
    if (record === undefined || !record.failedJobIds.delete(jobId)) return false
    if (record.quarantinedUntilMs === undefined) return false
    // The limit that applied when the quarantine began, as the count includes the current one.
    if (record.failedJobIds.size >= this.#failureLimit(record.quarantineCount - 1)) return false
    record.quarantinedUntilMs = undefined
    record.quarantineCount -= 1
    return true
  }

  /** Ends expired quarantines and returns the workers. */
  endExpiredQuarantines (nowMs: number): string[] {
    const released: string[] = []
    for (const [workerId, record] of this.#records) {
      if (record.quarantinedUntilMs === undefined || record.quarantinedUntilMs > nowMs) continue
      record.quarantinedUntilMs = undefined
      record.failedJobIds.clear()
      released.push(workerId)
    }
    return released
  }

  isQuarantined (workerId: string): boolean {
    return this.#records.get(workerId)?.quarantinedUntilMs !== undefined
  }

  quarantinedWorkerIds (): string[] {
    return [...this.#records].filter(([, record]) => record.quarantinedUntilMs !== undefined).map(([id]) => id).sort()
  }

  #failureLimit (earlierQuarantines: number): number {
    return earlierQuarantines > 0 ? 1 : this.#settings.quarantineAfterFailures
  }

  #recordOf (workerId: string): HealthRecord {
    const existing = this.#records.get(workerId)
    if (existing !== undefined) return existing
    const created: HealthRecord = { failedJobIds: new Set(), quarantinedUntilMs: undefined, quarantineCount: 0 }
    this.#records.set(workerId, created)
    return created
  }

  #quarantine (record: HealthRecord, nowMs: number): void {
    // The limit of the exponent keeps the product finite.
    const waitMs = this.#settings.quarantineRetryMs * 2 ** Math.min(record.quarantineCount, 30)
    record.quarantinedUntilMs = nowMs + Math.min(waitMs, this.#settings.quarantineRetryMaxMs)
    record.quarantineCount += 1
  }
}
