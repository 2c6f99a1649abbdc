/** Health of workers: failures by job, quarantine and retries at increasing intervals. */
import type { PlacementSettings } from './settings.js'

interface HealthRecord {
  readonly failedJobIds: Set<string>
  quarantinedUntilMs: number | undefined
  /** Quarantines since the last job that ended well on the worker. */
  quarantines: number
}

/** Decides which workers are quarantined. Only workers with failures have a record. */
export class WorkerHealth {
  readonly #settings: PlacementSettings
  readonly #records = new Map<string, HealthRecord>()

  constructor (settings: PlacementSettings) {
    this.#settings = settings
  }

  /**
   * Counts a failed task. A worker on retry is quarantined again at its first failure.
   *
   * @returns whether the worker is quarantined by this failure
   */
  failed (workerId: string, jobId: string, nowMs: number): boolean {
    const record = this.#recordOf(workerId)
    record.failedJobIds.add(jobId)
    if (record.quarantinedUntilMs !== undefined) return false
    if (record.failedJobIds.size < this.#limit(record.quarantines)) return false
    this.#quarantine(record, nowMs)
    return true
  }

  /** A job ended well on the worker. */
  succeeded (workerId: string): void {
    const record = this.#records.get(workerId)
    if (record !== undefined && record.quarantinedUntilMs === undefined) this.#records.delete(workerId)
  }

  /**
   * Takes back the failures of a job that fails everywhere.
   *
   * @returns whether this ends the worker's quarantine
   */
  forgive (workerId: string, jobId: string): boolean {
    const record = this.#records.get(workerId)
    if (record === undefined || !record.failedJobIds.delete(jobId)) return false
    if (record.quarantinedUntilMs === undefined) return false
    if (record.failedJobIds.size >= this.#limit(record.quarantines - 1)) return false
    record.quarantinedUntilMs = undefined
    record.quarantines -= 1
    return true
  }

  /** Ends the quarantines that are over and gives their workers. */
  release (nowMs: number): string[] {
    const released: string[] = []
    for (const [workerId, record] of this.#records) {
      if (record.quarantinedUntilMs === undefined || record.quarantinedUntilMs > nowMs) continue
      record.quarantinedUntilMs = undefined
      record.failedJobIds.clear()
      released.push(workerId)
    }
    return released
  }

  /** Whether the worker is in quarantine. */
  isQuarantined (workerId: string): boolean {
    return this.#records.get(workerId)?.quarantinedUntilMs !== undefined
  }

  /** Workers in quarantine. */
  quarantinedWorkerIds (): string[] {
    return [...this.#records].filter(([, record]) => record.quarantinedUntilMs !== undefined).map(([id]) => id).sort()
  }

  #limit (earlierQuarantines: number): number {
    return earlierQuarantines > 0 ? 1 : this.#settings.quarantineAfterFailures
  }

  #recordOf (workerId: string): HealthRecord {
    const known = this.#records.get(workerId)
    if (known !== undefined) return known
    const created: HealthRecord = { failedJobIds: new Set(), quarantinedUntilMs: undefined, quarantines: 0 }
    this.#records.set(workerId, created)
    return created
  }

  #quarantine (record: HealthRecord, nowMs: number): void {
    const waitMs = this.#settings.quarantineRetryMs * 2 ** Math.min(record.quarantines, 30)
    record.quarantinedUntilMs = nowMs + Math.min(waitMs, this.#settings.quarantineRetryMaxMs)
    record.quarantines += 1
  }
}
