/** What the leader has heard from one life of a worker. */
import type { Clock } from '@comfreygrade/core'
import { runInLife, runKey } from './batch-state.js'
import type { Assignment } from './commands.js'
import type { WorkerReport, RunningTask } from './worker-messages.js'
import type { BatchSettings } from './settings.js'

/** Whether ends listed now can still count. */
export type LeaseCertainty = 'held' | 'uncertain' | 'lapsed'

/** Progress of a run, for telling stalled runs from slow ones. */
export interface RunProgress {
  readonly taskKey: string
  readonly firstSeenMs: number
  percent: number
  changedMs: number
}

/**
 * Volatile view of a worker. Times are the leader's monotonic clock unless a name says otherwise.
 *
 * A worker has one heartbeat under way at a time, so a heartbeat that follows another within its time limit proves that
 * the earlier one was answered.
 */
export class WorkerView {
  readonly #settings: BatchSettings
  readonly #termStartedAtMs: number
  latest: WorkerReport
  heardAtMs: number
  readonly progress = new Map<string, RunProgress>()
  /** Sequence of the heartbeat in whose answer a run was last offered, by run. */
  readonly offeredAt = new Map<string, number>()
  /** Runs that a heartbeat of this life has listed; they leave the worker only by an end that it lists. */
  readonly seen = new Set<string>()
  /** Runs that the leader of this term assigned. */
  readonly assignedInTerm = new Set<string>()
  /** Latest checkpoint listed of each run, also of one that is no longer listed. */
  readonly #checkpoints = new Map<string, string>()
  /** Least (leader's clock - worker's clock) seen, as it may have drifted since: the one of the fastest heartbeat. */
  #clockOffsetMs: number
  #offsetAtMs: number
  /** Whether a second heartbeat has shown that the first one was not an old one. */
  #isConfirmed = false
  #grantedAtWorkerMs: number | undefined
  #sureLeaseEndWorkerMs = -Infinity
  #possibleLeaseEndWorkerMs = -Infinity
  #leaseCertainty: LeaseCertainty = 'held'

  constructor (report: WorkerReport, termStartedAtMs: number, clock: Clock, settings: BatchSettings) {
    this.#settings = settings
    this.#termStartedAtMs = termStartedAtMs
    this.latest = report
    this.heardAtMs = clock.monotonicMs()
    this.#clockOffsetMs = this.heardAtMs - report.clockMs
    this.#offsetAtMs = this.heardAtMs
    this.#followProgress(report, this.heardAtMs)
  }

  /**
   * Takes a heartbeat.
   *
   * @returns whether it is newer than all before and came in time; the answer to a late one is dropped by the worker
   */
  accept (report: WorkerReport, nowMs: number): boolean {
    if (report.sequence < this.latest.sequence) return false
    if (this.#latenessMs(report, nowMs) > this.#settings.reportTimeoutMs) return false
    this.#isConfirmed = true
    this.#confirmGrant(report)
    this.#leaseCertainty = this.#judgeLease(report)
    this.latest = report
    this.heardAtMs = nowMs
    this.#followProgress(report, nowMs)
    return true
  }

  /** How much later than the fastest heartbeat this one came; a slow clock of the worker does not count. */
  #latenessMs ({ clockMs }: WorkerReport, nowMs: number): number {
    const driftMs = (nowMs - this.#offsetAtMs) * this.#settings.clockRateBound
    const offsetMs = nowMs - clockMs
    this.#clockOffsetMs = Math.min(this.#clockOffsetMs + driftMs, offsetMs)
    this.#offsetAtMs = nowMs
    return offsetMs - this.#clockOffsetMs
  }

  /** Whether the latest heartbeat is certainly no old one that was held up on its way. */
  get isConfirmed (): boolean {
    return this.#isConfirmed
  }

  /** Whether the lease has certainly held up to the latest heartbeat. */
  get leaseCertainty (): LeaseCertainty {
    return this.#leaseCertainty
  }

  /** A run that an earlier heartbeat listed would have ended with the lease. */
  #judgeLease ({ running, clockMs }: WorkerReport): LeaseCertainty {
    const hasContinuingRun = running.some(row => this.seen.has(runInLife(row)))
    if (this.#grantedAtWorkerMs === undefined || hasContinuingRun) return 'held'
    if (clockMs < this.#sureLeaseEndWorkerMs) return 'held'
    // An earlier leader may have extended the lease up to the start of this term.
    const inheritedEndMs = this.#termStartedAtMs - this.#clockOffsetMs + this.#settings.leaseMs
    return clockMs > Math.max(this.#possibleLeaseEndWorkerMs, inheritedEndMs) ? 'lapsed' : 'uncertain'
  }

  /** Notes that the answer to the latest heartbeat extends the lease. */
  granted (leaseMs: number): void {
    this.#grantedAtWorkerMs = this.latest.clockMs
    this.#possibleLeaseEndWorkerMs = Math.max(this.#possibleLeaseEndWorkerMs, this.latest.clockMs + leaseMs)
  }

  /** Forgets the leases of before a lapse. */
  restartLease (): void {
    this.#leaseCertainty = 'held'
    this.#grantedAtWorkerMs = undefined
    this.#sureLeaseEndWorkerMs = -Infinity
    this.#possibleLeaseEndWorkerMs = -Infinity
  }

  /** The latest row of a run. */
  rowOf (taskKey: string, run: number): RunningTask | undefined {
    return this.latest.running.find(row => row.taskKey === taskKey && row.run === run)
  }

  /** How long a run has been seen at work; undefined before its first row. */
  elapsedMs (taskKey: string, run: number, nowMs: number): number | undefined {
    const progress = this.progress.get(runInLife({ taskKey, run }))
    return progress === undefined ? undefined : nowMs - progress.firstSeenMs
  }

  /** How long a run has shown no progress; undefined before its first row. */
  unchangedMs (taskKey: string, run: number, nowMs: number): number | undefined {
    const progress = this.progress.get(runInLife({ taskKey, run }))
    return progress === undefined ? undefined : nowMs - progress.changedMs
  }

  /** The latest checkpoint that any heartbeat listed of a run; empty for none. */
  latestCheckpoint (taskKey: string, run: number): string {
    return this.#checkpoints.get(runInLife({ taskKey, run })) ?? ''
  }

  /** Forgets a run that is off the worker for good. */
  forgetRun (run: Assignment): void {
    const key = runInLife(run)
    this.seen.delete(key)
    this.#checkpoints.delete(key)
    this.offeredAt.delete(runKey(run))
    this.assignedInTerm.delete(runKey(run))
  }

  /** Runs that have shown no progress since then. */
  runsUnchangedSince (changedBeforeMs: number): RunProgress[] {
    const unchanged: RunProgress[] = []
    for (const progress of this.progress.values()) if (progress.changedMs <= changedBeforeMs) unchanged.push(progress)
    return unchanged
  }

  #confirmGrant (report: WorkerReport): void {
    const grantedMs = this.#grantedAtWorkerMs
    if (grantedMs === undefined || report.clockMs - grantedMs >= this.#settings.reportTimeoutMs) return
    this.#sureLeaseEndWorkerMs = grantedMs + this.#settings.leaseMs
  }

  #followProgress (report: WorkerReport, nowMs: number): void {
    const listed = new Set<string>()
    for (const { taskKey, run, checkpoint } of [...report.running, ...report.ends]) {
      if (checkpoint !== '') this.#checkpoints.set(runInLife({ taskKey, run }), checkpoint)
    }
    for (const { taskKey, run, percent } of report.running) {
      const key = runInLife({ taskKey, run })
      listed.add(key)
      this.seen.add(key)
      const known = this.progress.get(key)
      if (known === undefined) this.progress.set(key, { taskKey, firstSeenMs: nowMs, percent, changedMs: nowMs })
      else if (known.percent !== percent) Object.assign(known, { percent, changedMs: nowMs })
    }
    for (const key of this.progress.keys()) if (!listed.has(key)) this.progress.delete(key)
  }
}
