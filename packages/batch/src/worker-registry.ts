/** Workers that have reported to the leader of this term. */
import type { Clock, EventLog } from '@comfreygrade/core'
import type { BatchState } from './batch-state.js'
import type { Assignment, RunEnd, WorkerIncarnation } from './commands.js'
import { EvacuationReturn } from './evacuation-return.js'
import { jobIdOf } from './jobs.js'
import { taskRunKey } from './run-keys.js'
import { PermittedRegions } from './permitted-regions.js'
import type { BatchSettings } from './settings.js'
import { originOf, type ReportOrigin } from './report-plausibility.js'
import { isSuitable } from './suitability.js'
import { WorkerHealth } from './worker-health.js'
import type { WaitingStep } from './waiting-steps.js'
import { FULL_PROGRESS_PERCENT, type WorkerReport } from './worker-messages.js'
import { WorkerLocations } from './worker-locations.js'
import { WorkerView } from './worker-view.js'

/**
 * How a report was received; `replaced` has the views of earlier incarnations that it replaces. Reports are ignored
 * from an incarnation that a later one has replaced (`earlier_life`) or that has left for good (`left`), and where they
 * are out of order or came later than the report timeout (`late`). So are reports of another writer: those that the
 * worker cannot have sent (`implausible`), and those with malformed entries of an unknown worker (`malformed`).
 */
export type ReportOutcome =
  | { readonly kind: 'ignored', readonly reason: IgnoredReason, readonly replaced: readonly WorkerView[] }
  | {
    readonly kind: 'accepted'
    readonly view: WorkerView
    readonly replaced: readonly WorkerView[]
  }

/** See {@link ReportOutcome}. */
export type IgnoredReason = 'earlier_life' | 'late' | 'left' | 'implausible' | 'malformed'

/** Why a worker gets no new runs; the leader adds `cordoned` for a worker whose VM is due for maintenance. */
export type UnschedulableReason =
  /** Its availability zone is evacuated. */
  | 'evacuated'
  /** The evacuation of its availability zone has ended, and the worker is not among the first to get work again. */
  | 'returning'
  | 'leaving'
  /** One of its runs has ended without a report, so the worker may have crashed. */
  | 'may_have_crashed'
  /** Its next heartbeat is overdue. */
  | 'silent'
  /** Whether its lease has held is not certain. */
  | 'lease_uncertain'
  | 'quarantined'
  /** See {@link WorkerRegistry.hasSuspectRun}. */
  | 'suspect_run'
  | 'cordoned'

/** Time for which a worker that has gone is remembered; longer than a heartbeat can be delayed in the network. */
const STALE_WORKER_RETENTION_MS = 300_000
/**
 * Share of the estimated run time after which a run is suspect; a slow worker makes one percent of progress within it.
 */
const SUSPECT_TIMEOUT_ESTIMATE_SHARE = 0.05

/** Views of the workers; a later incarnation at the same location replaces an earlier one. */
export class WorkerRegistry {
  readonly #state: BatchState
  readonly #settings: BatchSettings
  readonly #clock: Clock
  readonly #log: EventLog
  readonly #health: WorkerHealth
  readonly #regions: PermittedRegions
  readonly #evacuationReturn: EvacuationReturn
  readonly #views = new Map<string, WorkerView>()
  readonly #locations = new WorkerLocations()
  readonly #startedJobs = new Set<string>()
  /** Incarnations that have left, by worker, whose departures may not be recorded yet. */
  readonly #departed = new Map<string, number>()
  readonly #termStartedAtMs: number
  /** Whether most of the workers of a service are in quarantine, since a pass asks for each of them. */
  #quarantinedPools = { atMs: -Infinity, byService: new Map<string, boolean>() }

  constructor (state: BatchState, settings: BatchSettings, clock: Clock, log: EventLog) {
    this.#state = state
    this.#settings = settings
    this.#clock = clock
    this.#log = log
    this.#health = new WorkerHealth(clock, log)
    this.#regions = new PermittedRegions(state, settings)
    this.#evacuationReturn = new EvacuationReturn({
      clock, latestOf: zone => state.evacuations.latestOf(zone), viewsIn: zone => this.viewsIn(zone)
    })
    this.#termStartedAtMs = clock.monotonicMs()
  }

  /** Receives a report. */
  receive (report: WorkerReport): ReportOutcome {
    const known = this.#views.get(report.workerId)
    const origin = this.#originOf(report, known)
    if (origin === 'foreign') return { kind: 'ignored', reason: 'implausible', replaced: [] }
    if (this.#isUnknownWithMalformedEntries(report, known)) return { kind: 'ignored', reason: 'malformed', replaced: [] }
    if (this.#hasLeft(report)) return { kind: 'ignored', reason: 'left', replaced: [] }
    const others = this.#viewsAtLocationOf(report)
    if (others.some(view => view.latest.incarnation > report.incarnation)) {
      return { kind: 'ignored', reason: 'earlier_life', replaced: [] }
    }
    const replaced = others.filter(view => view.latest.incarnation < report.incarnation)
    for (const { latest } of replaced) this.remove(latest.workerId)
    if (known === undefined || replaced.includes(known) || origin === 'contradicted') {
      this.remove(report.workerId)
      return { kind: 'accepted', view: this.#add(report), replaced }
    }
    const { latest } = known
    this.#logLateStarts(known, report)
    const isAccepted = known.accept(report, this.#clock.monotonicMs())
    if (!isAccepted) return { kind: 'ignored', reason: 'late', replaced }
    if (latest.address !== report.address || latest.vmId !== report.vmId) this.#updateLocation(latest, report)
    if (latest.state !== 'leaving' && report.state === 'leaving') this.#log.info('worker leaving', { ...incarnationOf(report) })
    this.#recordStartedJobs(report)
    return { kind: 'accepted', view: known, replaced }
  }

  #hasLeft (worker: WorkerIncarnation): boolean {
    return this.hasDeparted(worker) || this.#state.departureOf(worker) === 'left'
  }

  /**
   * After a contradiction, as after a change of leader, the worker counts as one that has not reported in this term.
   * Which of the two reports is from another writer is not known, but the worker goes on to report.
   */
  #originOf (report: WorkerReport, known: WorkerView | undefined): ReportOrigin {
    const view = known?.latest.incarnation === report.incarnation ? known : undefined
    const origin = originOf(report, {
      wallMs: this.#clock.wallMs(),
      isServiceKnown: this.#isServiceKnown(report),
      latest: view?.latest,
      elapsedMs: view === undefined ? 0 : this.#clock.monotonicMs() - view.reportedAtMs
    })
    if (origin === 'contradicted') {
      const { workerId, sequence, clockMs } = report
      this.#log.warn('contradictory heartbeats of a worker', { workerId, sequence, clockMs, latest: view?.latest.sequence })
    }
    return origin
  }

  /** Before the first configuration, no service is known yet. */
  #isServiceKnown (report: WorkerReport): boolean {
    const { directory } = this.#state
    if (directory === null || directory.hasService(report.service)) return true
    return this.#runsOf(report).some(run => this.#state.findTask(run.taskKey)?.job.service === report.service)
  }

  #isUnknownWithMalformedEntries (report: WorkerReport, known: WorkerView | undefined): boolean {
    if (report.malformedEntryCount === undefined || known?.latest.incarnation === report.incarnation) return false
    return this.#runsOf(report).length === 0
  }

  #runsOf ({ workerId, incarnation }: WorkerIncarnation): Assignment[] {
    return [...this.#state.runsOf(workerId)].filter(run => run.incarnation === incarnation)
  }

  /** Views of the worker itself and of others at the same location. */
  #viewsAtLocationOf (report: WorkerReport): WorkerView[] {
    const workerIds = this.#locations.findAt(report).add(report.workerId)
    return [...workerIds].flatMap(workerId => this.#views.get(workerId) ?? [])
  }

  #updateLocation (from: WorkerReport, to: WorkerReport): void {
    this.#locations.remove(from)
    this.#locations.add(to)
  }

  #add (report: WorkerReport): WorkerView {
    this.#departed.delete(report.workerId)
    const view = new WorkerView(report, this.#termStartedAtMs, this.#clock, this.#settings)
    this.#views.set(report.workerId, view)
    this.#locations.add(report)
    this.#log.info('worker joined', { ...incarnationOf(report), service: report.service, labels: report.labels, state: report.state })
    this.#recordStartedJobs(report)
    return view
  }

  /**
   * Logs runs that started in an evacuated zone although their orders should have been discarded. The overdue time of a
   * heartbeat is the longest from a start until its report.
   */
  #logLateStarts (view: WorkerView, { workerId, availabilityZone, running }: WorkerReport): void {
    const evacuation = this.#state.evacuations.latestOf(availabilityZone)
    if (evacuation === undefined || evacuation.endedWallMs !== undefined) return
    const { evacuateMs, reportOverdueMs } = this.#settings
    const elapsedMs = this.#clock.wallMs() - evacuation.requestedWallMs
    if (elapsedMs <= evacuateMs + reportOverdueMs) return
    for (const { taskKey, run } of running) {
      if (view.reportedRuns.has(taskRunKey({ taskKey, run }))) continue
      this.#log.warn('run started in an evacuated zone', { taskKey, run, workerId, zone: availabilityZone, elapsedMs })
    }
  }

  #recordStartedJobs (report: WorkerReport): void {
    for (const { taskKey } of report.running) this.#startedJobs.add(jobIdOf(taskKey))
  }

  /** Whether a run of the job has been reported in this term. */
  hasStarted (jobId: string): boolean {
    return this.#startedJobs.has(jobId)
  }

  /** Removes what concerns jobs that are no longer known. */
  retainJobs (isKnown: (jobId: string) => boolean): void {
    this.#health.retainJobs(isKnown)
    for (const jobId of this.#startedJobs) if (!isKnown(jobId)) this.#startedJobs.delete(jobId)
  }

  /** View of a worker, if it has reported. */
  view (workerId: string): WorkerView | undefined {
    return this.#views.get(workerId)
  }

  /** Number of workers that have reported. */
  get count (): number {
    return this.#views.size
  }

  /** All views. */
  views (): Iterable<WorkerView> {
    return this.#views.values()
  }

  /** Views of the workers in an availability zone. */
  viewsIn (zone: string): WorkerView[] {
    return [...this.#views.values()].filter(view => view.latest.availabilityZone === zone)
  }

  /** Whether nothing may start on a worker because its availability zone is evacuated. */
  isEvacuated ({ latest }: WorkerView): boolean {
    return this.#state.evacuations.isEvacuated(latest.availabilityZone)
  }

  /**
   * The incarnation of a worker that has said that it is leaving, to this leader or to an earlier one; undefined where
   * it has not.
   */
  leavingIncarnation (workerId: string): WorkerIncarnation | undefined {
    const departed = this.#departed.get(workerId)
    if (departed !== undefined) return { workerId, incarnation: departed }
    const view = this.view(workerId)
    if (view?.latest.state === 'leaving') return incarnationOf(view.latest)
    const recorded = this.#state.leavingIncarnation(workerId)
    return view === undefined || view.latest.incarnation === recorded?.incarnation ? recorded : undefined
  }

  /** Whether this leader was told that the incarnation has left for good. */
  hasDeparted ({ workerId, incarnation }: WorkerIncarnation): boolean {
    return this.#departed.get(workerId) === incarnation
  }

  /** Removes a worker that has left for good; later heartbeats of this incarnation are ignored. */
  removeDeparted ({ workerId, incarnation }: WorkerIncarnation): void {
    this.remove(workerId)
    this.#departed.set(workerId, incarnation)
  }

  /** Removes a worker that has gone. */
  remove (workerId: string): void {
    const view = this.#views.get(workerId)
    if (view === undefined) return
    this.#locations.remove(view.latest)
    this.#views.delete(workerId)
  }

  /** Why a worker gets no new runs; undefined where it may get some. */
  unschedulableReason (view: WorkerView): UnschedulableReason | undefined {
    const { latest } = view
    if (this.isEvacuated(view)) return 'evacuated'
    if (this.#evacuationReturn.isHeld(view)) return 'returning'
    if (latest.state !== 'active' || this.#state.departureOf(latest) !== undefined) return 'leaving'
    if (view.mayHaveCrashed) return 'may_have_crashed'
    if (!this.isResponsive(view)) return 'silent'
    if (view.leaseStatus !== 'held') return 'lease_uncertain'
    if (this.#health.isQuarantined(latest.workerId) && !this.#isMostOfPoolQuarantined(latest.service)) return 'quarantined'
    return this.hasSuspectRun(view) ? 'suspect_run' : undefined
  }

  /**
   * Whether most responsive workers of a service are in quarantine. The jobs rather than the workers are at fault then,
   * and no work would be done at all.
   */
  #isMostOfPoolQuarantined (service: string): boolean {
    const nowMs = this.#clock.monotonicMs()
    if (this.#quarantinedPools.atMs !== nowMs) this.#quarantinedPools = { atMs: nowMs, byService: new Map() }
    const { byService } = this.#quarantinedPools
    const known = byService.get(service)
    if (known !== undefined) return known
    const pool = [...this.#views.values()].filter(view => view.latest.service === service && this.isResponsive(view))
    const quarantined = pool.filter(view => this.#health.isQuarantined(view.latest.workerId))
    const isMost = quarantined.length * 2 > pool.length
    byService.set(service, isMost)
    return isMost
  }

  /** Whether the next report of a worker is not overdue. */
  isResponsive (view: WorkerView): boolean {
    return this.#clock.monotonicMs() - view.nextReportDueMs < this.#settings.reportOverdueMs
  }

  /**
   * Whether a run on the worker is suspect: it has made some progress but none for a while. Other runs on the worker
   * may stall too. Runs at 0 or full progress do not count, and neither do fillers: on a sound worker too they make no
   * progress while they are paused or others use all of its processor time. Unlike for evictions, lasting runs count.
   */
  hasSuspectRun (view: WorkerView): boolean {
    const { suspectAfterMs } = this.#settings
    return view.runsUnchangedFor(suspectAfterMs).some(({ taskKey, percent, lastChangeMs }) => {
      if (percent <= 0 || percent >= FULL_PROGRESS_PERCENT) return false
      const spec = this.#state.findTask(taskKey)?.stepSpec
      // The percentage of a long run changes less often.
      const marginMs = (spec?.estimateMs ?? 0) * SUSPECT_TIMEOUT_ESTIMATE_SHARE
      return spec?.isFiller !== true && view.reportedAtMs - lastChangeMs >= suspectAfterMs + marginMs
    })
  }

  /** Updates the health of a worker after it reported the end of a run. */
  updateHealth (worker: WorkerIncarnation, end: RunEnd): void {
    this.#health.update(worker.workerId, end)
  }

  /**
   * Workers to request tickets for: all responsive ones that could hold a task, also if they get no new runs now. Those
   * that may get new runs come first.
   */
  adviceCandidates ({ job, spec }: WaitingStep): WorkerIncarnation[] {
    const regions = this.#regions.ofJob(job)
    const candidates = [...this.#views.values()].filter(view => this.isResponsive(view) &&
      isSuitable(view, job, spec) && this.#regions.includesZone(regions, view.latest.availabilityZone))
    const schedulable: WorkerIncarnation[] = []
    const others: WorkerIncarnation[] = []
    for (const view of candidates) {
      const list = this.unschedulableReason(view) === undefined ? schedulable : others
      list.push(incarnationOf(view.latest))
    }
    return [...schedulable, ...others]
  }

  /** Incarnations with runs whose leases have certainly expired. */
  expiredIncarnations (): WorkerIncarnation[] {
    const nowMs = this.#clock.monotonicMs()
    const { leaseMs, clockRateBound, leaseMarginMs } = this.#settings
    const timeoutMs = leaseMs * (1 + clockRateBound) + leaseMarginMs
    const expired = [...this.#views.values()]
      .filter(view => nowMs - view.reportedAtMs > timeoutMs && this.#state.hasRuns(view.latest.workerId))
      .map(view => incarnationOf(view.latest))
    return nowMs - this.#termStartedAtMs <= timeoutMs ? expired : [...expired, ...this.#unreportedWorkers()]
  }

  /**
   * Incarnations with runs that a later incarnation of the same worker has replaced. A run gets there where the worker
   * restarted around a change of leader, or while the command that assigns the run was in flight.
   */
  replacedIncarnations (): WorkerIncarnation[] {
    const replaced: WorkerIncarnation[] = []
    for (const workerId of this.#state.workersWithRuns()) {
      const current = this.#views.get(workerId)?.latest.incarnation
      if (current === undefined) continue
      const earlier = [...this.#state.runsOf(workerId)].map(run => run.incarnation).filter(run => run < current)
      if (earlier.length > 0) replaced.push({ workerId, incarnation: Math.max(...earlier) })
    }
    return replaced
  }

  /**
   * Removes workers that have long been gone. Others are kept, since a delayed heartbeat is told from a new one only by
   * earlier reports.
   */
  removeStaleWorkers (): void {
    const minMs = this.#clock.monotonicMs() - STALE_WORKER_RETENTION_MS
    for (const { latest, reportedAtMs } of this.#views.values()) if (reportedAtMs < minMs) this.remove(latest.workerId)
    for (const [workerId, incarnation] of this.#departed) {
      if (this.#state.departureOf({ workerId, incarnation }) === 'left') this.#departed.delete(workerId)
    }
  }

  /** Whether any worker has runs of an earlier term and has not reported in this one. */
  hasUnreportedWorkersWithRuns (): boolean {
    return this.#unreportedWorkers().length > 0
  }

  /** Workers that have runs of an earlier term and have not reported in this one. */
  #unreportedWorkers (): WorkerIncarnation[] {
    const incarnationsToExpire: WorkerIncarnation[] = []
    for (const workerId of this.#state.workersWithRuns()) {
      if (this.#views.has(workerId)) continue
      const incarnations = [...this.#state.runsOf(workerId)].map(run => run.incarnation)
      incarnationsToExpire.push({ workerId, incarnation: Math.max(...incarnations) })
    }
    return incarnationsToExpire
  }
}

function incarnationOf ({ workerId, incarnation }: WorkerIncarnation): WorkerIncarnation {
  return { workerId, incarnation }
}
