/** The leader's view of one incarnation of a worker, from its reports. */
import type { Clock } from '@comfreygrade/core'
import { assignmentKey, taskRunKey } from './run-keys.js'
import type { Assignment, RunEnd } from './commands.js'
import { FULL_PROGRESS_PERCENT, type WorkerReport, type RunningTask } from './worker-messages.js'
import { plausibleEnds } from './report-plausibility.js'
import type { BatchSettings } from './settings.js'

/** Whether the worker's lease has held without a gap. */
export type LeaseStatus =
  /**
   * The lease has held up to the latest report; also where this leader has granted none yet or since the last reset.
   */
  | 'held'
  /** The last grant may not have reached the worker, and the lease may have ended since. */
  | 'uncertain'
  /** Every lease that this leader or an earlier one can have granted had ended when the report was sent. */
  | 'lapsed'

/** Bounds of a worker's leases on its own clock; undefined where this leader has granted none. */
export interface LeaseBounds {
  readonly clockMs: number
  /** The lease has held at least until then. */
  readonly minLeaseEndMs: number | undefined
  /** Every lease that this leader has granted ends by then. */
  readonly maxLeaseEndMs: number | undefined
  /** Every lease that an earlier leader can have granted ends by then. */
  readonly inheritedLeaseEndMs: number
}

/** Progress of a run, to distinguish stalled runs from slow ones. */
export interface RunProgress {
  readonly taskKey: string
  readonly firstSeenMs: number
  readonly firstPercent: number
  percent: number
  lastChangeMs: number
  /**
   * First report with progress, for the speed of the work: until then, a gang waits for its members. Undefined where
   * the run is reported without progress.
   */
  workFirstSeen?: ProgressPoint
  /** Latest change to a percentage below full progress, at which a fast member of a gang waits for the others. */
  workLastSeen?: ProgressPoint
}

/** A percentage and the time at which it was first reported. */
export interface ProgressPoint {
  readonly atMs: number
  readonly percent: number
}

/**
 * Volatile view of a worker. Times are on the leader's monotonic clock, those in `...WorkerMs` on the worker's.
 *
 * A worker has one heartbeat in flight at a time, so a heartbeat that follows another within the report timeout proves
 * that the worker has received the answer to the earlier one.
 */
export class WorkerView {
  readonly #settings: BatchSettings
  readonly #termStartedAtMs: number
  /** Latest accepted report. */
  latest: WorkerReport
  reportedAtMs: number
  /** Progress of the runs in the latest report, by task run. */
  readonly progress = new Map<string, RunProgress>()
  /** Progress of the runs whose ends are reported and not recorded yet, from before their ends, by task run. */
  readonly endedProgress = new Map<string, RunProgress>()
  /**
   * Sequence of the heartbeat whose answer last carried the start order of a run, by assignment. For a run of an
   * earlier term, whose order an earlier leader may have sent, it is at first a heartbeat after the grace time: a later
   * one that does not report the run either shows that the order was lost.
   */
  readonly startSentAtSequence = new Map<string, number>()
  /** Runs that this incarnation has reported; they are on the worker until it reports their end. */
  readonly reportedRuns = new Set<string>()
  /** Time at which the next report is due; `Infinity` while the worker waits for the answer to the latest one. */
  nextReportDueMs = Infinity
  /** Whether the worker may have crashed since its latest report: one of its runs has ended without a report. */
  mayHaveCrashed = false
  /** Assignments that the leader of this term made. */
  readonly assignedInTerm = new Set<string>()
  /** Latest reported checkpoint of each run, also of runs that are no longer reported. */
  readonly #checkpoints = new Map<string, string>()
  /** Least (leader's clock - worker's clock), from the fastest heartbeat; grows by the possible drift since then. */
  #clockOffsetMs: number
  #offsetAtMs: number
  #lastGrantWorkerMs: number | undefined
  #minLeaseEndWorkerMs = -Infinity
  #maxLeaseEndWorkerMs = -Infinity
  #leaseStatus: LeaseStatus = 'held'
  #voidEndSequence = 0
  /** Number of the last end that was held back. */
  #heldEndSequence = 0

  constructor (report: WorkerReport, termStartedAtMs: number, clock: Clock, settings: BatchSettings) {
    this.#settings = settings
    this.#termStartedAtMs = termStartedAtMs
    this.latest = report
    this.reportedAtMs = clock.monotonicMs()
    this.#clockOffsetMs = this.reportedAtMs - report.clockMs
    this.#offsetAtMs = this.reportedAtMs
    this.#updateProgress(report, this.reportedAtMs)
  }

  /**
   * Accepts a report if none with a higher sequence number was accepted before and it came in time; the worker would
   * discard the answer to a late one.
   *
   * @returns whether the report was accepted
   */
  accept (report: WorkerReport, nowMs: number): boolean {
    if (report.sequence < this.latest.sequence) return false
    if (this.#updateClockOffset(report, nowMs) > this.#settings.reportTimeoutMs) return false
    this.#confirmLeaseGrant(report)
    this.#leaseStatus = this.#evaluateLease(report)
    if (this.#leaseStatus === 'lapsed') this.#voidEndSequence = lastSequenceOf(report)
    this.latest = report
    this.reportedAtMs = nowMs
    this.nextReportDueMs = Infinity
    this.mayHaveCrashed = false
    this.#updateProgress(report, nowMs)
    return true
  }

  /**
   * Updates the clock offset with a heartbeat, and returns the delay of this one compared with the fastest; drift of a
   * slow worker clock does not count.
   */
  #updateClockOffset ({ clockMs }: WorkerReport, nowMs: number): number {
    const driftMs = (nowMs - this.#offsetAtMs) * this.#settings.clockRateBound
    const offsetMs = nowMs - clockMs
    this.#clockOffsetMs = Math.min(this.#clockOffsetMs + driftMs, offsetMs)
    this.#offsetAtMs = nowMs
    return offsetMs - this.#clockOffsetMs
  }

  /** Status of the lease up to the latest heartbeat. */
  get leaseStatus (): LeaseStatus {
    return this.#leaseStatus
  }

  /** A run reported earlier that still runs proves that the lease has held, since runs end with the lease. */
  #evaluateLease ({ running, clockMs }: WorkerReport): LeaseStatus {
    const hasContinuingRun = running.some(task => this.reportedRuns.has(taskRunKey(task)))
    if (this.#lastGrantWorkerMs === undefined || hasContinuingRun) return 'held'
    if (clockMs < this.#minLeaseEndWorkerMs) return 'held'
    return clockMs > this.leaseEndClockMs ? 'lapsed' : 'uncertain'
  }

  /** Time on the worker's clock by which every lease that this leader or an earlier one has granted has ended. */
  get leaseEndClockMs (): number {
    return Math.max(this.#maxLeaseEndWorkerMs, this.#inheritedLeaseEndWorkerMs())
  }

  /**
   * An earlier leader may have extended the lease up to the start of this term. The clock offset is too high by the
   * delay of the fastest heartbeat, and the worker discards the answer where that is longer than the report timeout.
   */
  #inheritedLeaseEndWorkerMs (): number {
    const { leaseMs, reportTimeoutMs } = this.#settings
    return this.#termStartedAtMs - this.#clockOffsetMs + leaseMs + reportTimeoutMs
  }

  /** The worker's clock in its latest heartbeat, and the times on it by which its leases can end, for the log. */
  leaseBounds (): LeaseBounds {
    return {
      clockMs: this.latest.clockMs,
      minLeaseEndMs: finiteOrUndefined(this.#minLeaseEndWorkerMs),
      maxLeaseEndMs: finiteOrUndefined(this.#maxLeaseEndWorkerMs),
      inheritedLeaseEndMs: Math.round(this.#inheritedLeaseEndWorkerMs())
    }
  }

  /** Records that the answer to the latest heartbeat extends the lease. */
  recordLeaseGrant (leaseMs: number): void {
    this.#lastGrantWorkerMs = this.latest.clockMs
    this.#maxLeaseEndWorkerMs = Math.max(this.#maxLeaseEndWorkerMs, this.latest.clockMs + leaseMs)
  }

  /**
   * Number of the last end that the worker listed when its lease had certainly lapsed, or 0. Ends up to this one are
   * void where they are not recorded yet.
   */
  get voidEndSequence (): number {
    return this.#voidEndSequence
  }

  /**
   * Makes the lease uncertain, so that it is not extended until it has lapsed. Where this leader has granted none, one
   * is assumed to have been granted for the latest report, since an earlier leader may have done so.
   */
  withholdLease (): void {
    this.#leaseStatus = 'uncertain'
    if (this.#lastGrantWorkerMs === undefined) this.recordLeaseGrant(this.#settings.leaseMs)
  }

  /** Those of the held ends, given in order, that were not held back before. */
  takeNewHeldEnds (heldEnds: readonly RunEnd[]): RunEnd[] {
    const newEnds = heldEnds.filter(end => end.sequence > this.#heldEndSequence)
    this.#heldEndSequence = Math.max(this.#heldEndSequence, newEnds.at(-1)?.sequence ?? 0)
    return newEnds
  }

  /** Discards all lease grants, once no run can depend on them any more. */
  resetLease (): void {
    this.#leaseStatus = 'held'
    this.#lastGrantWorkerMs = undefined
    this.#minLeaseEndWorkerMs = -Infinity
    this.#maxLeaseEndWorkerMs = -Infinity
  }

  /** The entry of a run in the latest report. */
  runningTask (taskKey: string, run: number): RunningTask | undefined {
    return this.latest.running.find(task => task.taskKey === taskKey && task.run === run)
  }

  /** Time since a run was first reported; undefined where the latest report does not list it. */
  elapsedMs (taskKey: string, run: number, nowMs: number): number | undefined {
    const progress = this.progress.get(taskRunKey({ taskKey, run }))
    return progress === undefined ? undefined : nowMs - progress.firstSeenMs
  }

  /**
   * Time for which the reports have shown a run without progress; undefined where the latest report does not list it.
   * Time without reports does not count, since the run may make progress meanwhile.
   */
  unchangedMs (taskKey: string, run: number): number | undefined {
    const progress = this.progress.get(taskRunKey({ taskKey, run }))
    return progress === undefined ? undefined : this.reportedAtMs - progress.lastChangeMs
  }

  /** The latest reported checkpoint of a run; empty for none. */
  latestCheckpoint (taskKey: string, run: number): string {
    return this.#checkpoints.get(taskRunKey({ taskKey, run })) ?? ''
  }

  /** Removes a run that has left the worker for good. */
  removeRun (assignment: Assignment): void {
    const key = taskRunKey(assignment)
    this.reportedRuns.delete(key)
    this.#checkpoints.delete(key)
    this.endedProgress.delete(key)
    this.startSentAtSequence.delete(assignmentKey(assignment))
    this.assignedInTerm.delete(assignmentKey(assignment))
  }

  /** Runs that the reports have shown without progress for at least the given time. */
  runsUnchangedFor (durationMs: number): RunProgress[] {
    const changedBeforeMs = this.reportedAtMs - durationMs
    return [...this.progress.values()].filter(progress => progress.lastChangeMs <= changedBeforeMs)
  }

  #confirmLeaseGrant (report: WorkerReport): void {
    const grantedAtWorkerMs = this.#lastGrantWorkerMs
    if (grantedAtWorkerMs === undefined || report.clockMs - grantedAtWorkerMs >= this.#settings.reportTimeoutMs) return
    this.#minLeaseEndWorkerMs = grantedAtWorkerMs + this.#settings.leaseMs
  }

  #updateProgress (report: WorkerReport, nowMs: number): void {
    const reportedKeys = new Set<string>()
    for (const { taskKey, run, checkpoint } of [...report.running, ...report.ends]) {
      if (checkpoint !== '') this.#checkpoints.set(taskRunKey({ taskKey, run }), checkpoint)
    }
    for (const { taskKey, run, percent } of report.running) {
      const key = taskRunKey({ taskKey, run })
      reportedKeys.add(key)
      this.reportedRuns.add(key)
      const known = this.progress.get(key)
      if (known === undefined) this.progress.set(key, firstProgress(taskKey, percent, nowMs))
      else if (known.percent !== percent) updateProgress(known, percent, nowMs)
    }
    this.#keepEndedProgress(report)
    for (const key of this.progress.keys()) if (!reportedKeys.has(key)) this.progress.delete(key)
  }

  #keepEndedProgress ({ ends }: WorkerReport): void {
    for (const end of ends) {
      const progress = this.progress.get(taskRunKey(end))
      if (progress !== undefined) this.endedProgress.set(taskRunKey(end), progress)
    }
  }
}

function firstProgress (taskKey: string, percent: number, nowMs: number): RunProgress {
  const progress: RunProgress = { taskKey, firstSeenMs: nowMs, firstPercent: percent, percent, lastChangeMs: nowMs }
  recordWork(progress, percent, nowMs)
  return progress
}

function updateProgress (progress: RunProgress, percent: number, nowMs: number): void {
  progress.percent = percent
  progress.lastChangeMs = nowMs
  recordWork(progress, percent, nowMs)
}

function recordWork (progress: RunProgress, percent: number, atMs: number): void {
  if (percent <= 0 || percent >= FULL_PROGRESS_PERCENT) return
  progress.workLastSeen = { atMs, percent }
  progress.workFirstSeen ??= progress.workLastSeen
}

function finiteOrUndefined (value: number): number | undefined {
  return Number.isFinite(value) ? value : undefined
}

function lastSequenceOf (report: WorkerReport): number {
  return Math.max(0, ...plausibleEnds(report).map(end => end.sequence))
}
