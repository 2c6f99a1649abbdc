/** Handles workers' reports: proposes the changes that follow from them, and answers them with orders. */
import type { Clock, EventLog, Metrics } from '@comfreygrade/core'
import type { BatchState } from './batch-state.js'
import type { Assignment, BatchCommand, CommandResult, RecordedEnd, RunEnd, WorkerIncarnation } from './commands.js'
import type { GangAssembly } from './gang-assembly.js'
import { jobIdOf } from './jobs.js'
import type { ProposalOutcome } from './operation-handler.js'
import type { OrderPlanner } from './order-planner.js'
import type { BatchPolicies } from './policies.js'
import { PendingReports, type PendingReport } from './pending-reports.js'
import { ReportHold } from './report-hold.js'
import { plausibleEnds } from './report-plausibility.js'
import { RunSamples } from './run-samples.js'
import type { BatchSettings } from './settings.js'
import type { WorkerOrders, WorkerReport } from './worker-messages.js'
import type { IgnoredReason, WorkerRegistry } from './worker-registry.js'
import type { WorkerView } from './worker-view.js'

/** Options of {@link ReportHandler}. */
export interface ReportHandlerOptions {
  readonly state: BatchState
  readonly registry: WorkerRegistry
  readonly orders: OrderPlanner
  readonly assembly: GangAssembly
  readonly policies: BatchPolicies
  readonly settings: BatchSettings
  readonly clock: Clock
  readonly metrics: Metrics
  readonly log: EventLog
  readonly propose: (command: BatchCommand, onSettled: (outcome: ProposalOutcome) => void) => void
  readonly reply: (requestId: string, orders: WorkerOrders | undefined) => void
  /** Requests a scheduling pass, since a change may let waiting steps start. */
  readonly requestPass: () => void
  /** Whether a pass is due or its assignments are not committed yet. */
  readonly isPassPending: () => boolean
  /** Runs a part whose unexpected error must not end the others. */
  readonly guard: (part: string, run: () => void) => void
  /** Called once the end of a run is recorded. */
  readonly onRunEnded: (end: RunEnd) => void
}

/** Why a worker counts as gone, as the log names it. */
type GoneReason = 'lease lapsed' | 'lease expired without a heartbeat' | 'left' | 'replaced by a later incarnation'

/** An incarnation that has gone for good. */
interface GoneWorker {
  readonly life: WorkerIncarnation
  readonly reason: GoneReason
  readonly view: WorkerView | undefined
}

/** A worker whose lease has ended may come back, and is looked at again with its next report. */
const FINAL_REASONS: ReadonlySet<GoneReason> = new Set(['left', 'replaced by a later incarnation'])

/** Handles the reports of one term. */
export class ReportHandler {
  readonly #options: ReportHandlerOptions
  readonly #pendingReports: PendingReports
  readonly #hold: ReportHold
  readonly #runSamples: RunSamples
  /** Number of proposed commands that concern a worker and are not settled yet, by worker. */
  readonly #commandsInFlight = new Map<string, number>()
  /** Number of proposed commands that free all runs of a worker and are not settled yet, by worker. */
  readonly #releasesInFlight = new Map<string, number>()
  /** Workers for which it is being recorded that they are leaving. */
  readonly #leavingInFlight = new Set<string>()
  /** Incarnations that have gone for good and whose runs are not freed yet; the log may refuse that. By worker. */
  readonly #unreleased = new Map<string, GoneWorker>()
  /** Jobs whose end was logged; kept while the state has the job, so that each end is logged once. */
  readonly #loggedJobs = new Set<string>()

  constructor (options: ReportHandlerOptions) {
    this.#options = options
    const { state, settings, clock, isPassPending } = options
    this.#runSamples = new RunSamples({
      ...options,
      ...options.policies,
      rackOf: workerId => options.registry.view(workerId)?.latest.rack
    })
    this.#hold = new ReportHold(state, settings, options.policies.runTimes)
    this.#pendingReports = new PendingReports({
      settings, clock, isPassPending, hasCommandsInFlight: workerId => this.hasCommandsInFlight(workerId)
    })
  }

  /** Handles a report. */
  receive (requestId: string, report: WorkerReport): void {
    const { state, registry, clock, policies } = this.#options
    const nowMs = clock.monotonicMs()
    const known = registry.view(report.workerId)
    const wasResponsive = known !== undefined && registry.isResponsive(known)
    const outcome = registry.receive(report)
    for (const replaced of outcome.replaced) this.#handleWorkerGone(replaced.latest, 'replaced by a later incarnation', replaced)
    if (outcome.kind === 'ignored') return this.#ignore(requestId, report, outcome.reason)
    const { view } = outcome
    if (!wasResponsive) this.#options.requestPass()
    this.#countMalformedEntries(report)
    policies.workerSpeeds.observe(view, nowMs, taskKey => state.findTask(taskKey)?.stepSpec)
    this.#proposeEnds(view)
    this.#checkLease(view)
    this.#releaseAbsentRuns(view)
    if (report.state === 'leaving') this.#recordLeaving(report)
    const earlier = this.#pendingReports.add({ requestId, view, receivedAtMs: nowMs }, this.#holdMs(view, nowMs))
    if (earlier !== undefined) this.#options.reply(earlier.requestId, undefined)
    this.#releaseCompleteGangs(report.workerId)
  }

  #ignore (requestId: string, report: WorkerReport, reason: IgnoredReason): void {
    const { workerId, sequence } = report
    this.#options.metrics.increment('worker.report_ignored', { reason })
    const unrecordedEnds = this.#unrecordedEnds(report).map(describeEnd)
    const ends = unrecordedEnds.length === 0 ? {} : { unrecordedEnds }
    this.#options.log.info('heartbeat ignored', { workerId, sequence, reason, ...ends })
    if (reason !== 'implausible' && reason !== 'malformed') this.#proposeIgnoredEnds(report)
    this.#options.reply(requestId, undefined)
  }

  #countMalformedEntries ({ workerId, sequence, malformedEntryCount }: WorkerReport): void {
    if (malformedEntryCount === undefined) return
    this.#options.metrics.increment('worker.entry_ignored', {}, malformedEntryCount)
    this.#options.log.info('malformed entries of a heartbeat ignored', { workerId, sequence, malformedEntryCount })
  }

  #holdMs (view: WorkerView, nowMs: number): number {
    const { workerId } = view.latest
    if (this.hasCommandsInFlight(workerId)) return 0
    if (this.#options.assembly.hasAssemblingMember(workerId)) return this.#options.settings.gangAssemblyHoldMs
    return this.#hasOrders(view) ? 0 : this.#hold.durationMs(view, nowMs)
  }

  #hasOrders (view: WorkerView): boolean {
    return view.leaseStatus !== 'held' || this.#options.orders.hasOrders(view)
  }

  /** Answers the reports of all members of the gangs that can now start at once. */
  #releaseCompleteGangs (workerId: string): void {
    const { assembly } = this.#options
    for (const memberId of assembly.takeComplete(workerId, id => this.#pendingReports.has(id))) {
      this.#pendingReports.release(memberId)
    }
  }

  /**
   * Runs whose ends are not reported are freed once the lease has lapsed. While the lease is uncertain, nothing is
   * freed: it is not extended, so a later report shows that it has held or lapsed. It is not extended either while the
   * worker lists ends of freed runs, which become void by its lapse.
   */
  #checkLease (view: WorkerView): void {
    const heldEnds = this.#unrecordedEnds(view.latest).filter(end => this.#isHeld(end, view))
    if (heldEnds.length > 0) return this.#withholdLease(view, heldEnds)
    if (view.leaseStatus === 'held') return
    const hasRuns = this.#options.orders.mayHoldRuns(view)
    if (view.leaseStatus === 'uncertain' && hasRuns) return
    if (hasRuns) this.#handleWorkerGone(view.latest, 'lease lapsed', view)
    view.resetLease()
  }

  #withholdLease (view: WorkerView, heldEnds: readonly RunEnd[]): void {
    view.withholdLease()
    const { workerId, sequence } = view.latest
    const newEnds = view.takeNewHeldEnds(heldEnds).map(describeEnd)
    if (newEnds.length === 0) return
    this.#options.metrics.increment('run.end_held', {}, newEnds.length)
    this.#options.log.info('ends of freed runs held back', { workerId, sequence, ends: newEnds, ...view.leaseBounds() })
  }

  #proposeEnds (view: WorkerView): void {
    this.#proposeRecord(view.latest, this.#recordableEnds(view), view.voidEndSequence)
  }

  /**
   * An end is a fact, however late the heartbeat that lists it: the leader may be about to free the run, and the
   * message that the worker has left may have overtaken its last heartbeat.
   */
  #proposeIgnoredEnds (report: WorkerReport): void {
    const { state } = this.#options
    const ends = this.#unrecordedEnds(report)
    const firstHeld = ends.findIndex(end => state.isOverruled(report, end))
    this.#proposeRecord(report, firstHeld === -1 ? ends : ends.slice(0, firstHeld), 0)
  }

  #proposeRecord (report: WorkerReport, ends: readonly RunEnd[], voidEndSequence: number): void {
    const { workerId, incarnation } = report
    const life = { workerId, incarnation }
    if (ends.length === 0) return
    const receivedAtMs = this.#options.clock.monotonicMs()
    this.#proposeFor(workerId, { kind: 'record_ends', life, ends, voidEndSequence }, result => {
      this.#handleRecordedEnds(result, life, receivedAtMs)
    })
  }

  #handleRecordedEnds (result: CommandResult, worker: WorkerIncarnation, receivedAtMs: number): void {
    const recordedEnds = result.kind === 'applied' ? result.recordedEnds ?? [] : []
    for (const end of recordedEnds) this.#handleRecordedEnd(end, worker, receivedAtMs)
    this.#options.requestPass()
  }

  /**
   * The end of an active run counts whether or not the lease has held, since no other run of its task has started. That
   * of a freed run whose task was assigned again must be void before it is acknowledged. Later ends wait with it, since
   * ends are acknowledged in order.
   */
  #recordableEnds (view: WorkerView): readonly RunEnd[] {
    const ends = this.#unrecordedEnds(view.latest)
    const firstHeld = ends.findIndex(end => this.#isHeld(end, view))
    return firstHeld === -1 ? ends : ends.slice(0, firstHeld)
  }

  /** Ends of a report that are not recorded, in order. */
  #unrecordedEnds (report: WorkerReport): RunEnd[] {
    const lastSequence = this.#options.state.lastEndSequence(report)
    return plausibleEnds(report)
      .filter(end => end.sequence > lastSequence)
      .sort((a, b) => a.sequence - b.sequence)
  }

  /** Whether an end is that of a freed run, and it is not certain that the lease has lapsed since. */
  #isHeld (end: RunEnd, { latest, voidEndSequence }: WorkerView): boolean {
    return end.sequence > voidEndSequence && this.#options.state.isOverruled(latest, end)
  }

  #handleRecordedEnd (end: RecordedEnd, worker: WorkerIncarnation, receivedAtMs: number): void {
    const { taskKey, run, reason, sequence, isFreedRun } = end
    const { log, metrics, registry } = this.#options
    registry.updateHealth(worker, end)
    metrics.increment('run.ended', { reason })
    if (isFreedRun) metrics.increment('run.ended_after_release', { reason })
    const view = this.#options.registry.view(worker.workerId)
    const error = view === undefined ? undefined : this.#runSamples.learn(end, view, receivedAtMs)
    log.info('run ended', { taskKey, run, reason, workerId: worker.workerId, sequence, ...error, ...(isFreedRun ? { isFreedRun } : {}) })
    view?.removeRun({ ...worker, taskKey, run })
    this.#options.onRunEnded(end)
    this.#logJobEnd(taskKey)
  }

  /** Several ends recorded by one command may follow the one that ended the job, which must be logged once. */
  #logJobEnd (taskKey: string): void {
    const { log, state, clock, metrics } = this.#options
    const jobId = jobIdOf(taskKey)
    const job = state.job(jobId)
    if (job === undefined || job.state === 'open' || job.state === 'cancelled') return
    if (this.#loggedJobs.has(jobId)) return
    this.#loggedJobs.add(jobId)
    const durationMs = clock.wallMs() - job.acceptedWallMs
    metrics.timing('job_ms', durationMs, { outcome: job.state })
    log.info('job ended', { jobId, outcome: job.state, durationMs: Math.round(durationMs), lastTaskKey: taskKey })
  }

  #releaseAbsentRuns (view: WorkerView): void {
    const runs = this.#options.orders.confirmedAbsentRuns(view)
    if (runs.length === 0) return
    const { workerId, sequence } = view.latest
    this.#options.log.info('absent runs released', { workerId, sequence, runs: runs.map(({ taskKey, run }) => ({ taskKey, run })) })
    this.#proposeFor(workerId, { kind: 'release', runs }, () => {
      for (const run of runs) view.removeRun(run)
      this.#options.requestPass()
    })
  }

  /** The answer waits for the record, so that no later leader gives new runs to a worker that was told it may leave. */
  #recordLeaving ({ workerId, incarnation }: WorkerReport): void {
    const life = { workerId, incarnation }
    if (this.#options.state.departureOf(life) !== undefined || this.#leavingInFlight.has(workerId)) return
    this.#leavingInFlight.add(workerId)
    const onSettled = (): void => { this.#leavingInFlight.delete(workerId) }
    this.#proposeFor(workerId, { kind: 'record_departure', life, departure: 'leaving' }, () => {}, onSettled)
  }

  /**
   * Handles a worker's message that it has left for good, which names no incarnation. A worker says that it is leaving
   * before that, so the message is ignored for one that has not: it may have been delayed since an earlier incarnation.
   */
  handleWorkerLeft (requestId: string, workerId: string): void {
    const { registry, reply } = this.#options
    const life = registry.leavingIncarnation(workerId)
    if (life === undefined) return reply(requestId, undefined)
    if (!registry.hasDeparted(life)) {
      const view = registry.view(workerId)
      registry.removeDeparted(life)
      this.#handleWorkerGone(life, 'left', view)
    }
    this.#proposeFor(workerId, { kind: 'record_departure', life, departure: 'left' }, () => { reply(requestId, undefined) })
  }

  /**
   * Frees the runs of an incarnation; they continue elsewhere from the latest checkpoints that it reported. The same
   * command has the ends that it listed and that are not recorded, so that none is lost: they may wait behind one that
   * is held back, and a full log may refuse one command and accept the next one.
   */
  #handleWorkerGone (
    { workerId, incarnation }: WorkerIncarnation, reason: GoneReason, view: WorkerView | undefined
  ): void {
    const { log, state } = this.#options
    const life = { workerId, incarnation }
    const runs = [...state.runsOf(workerId)].filter(run => run.incarnation <= incarnation)
    const silentMs = view === undefined
      ? undefined
      : Math.round(this.#options.clock.monotonicMs() - view.reportedAtMs)
    const freedRuns = runs.map(({ taskKey, run }) => ({ taskKey, run }))
    const reportSequence = view?.latest.sequence
    log.info('worker gone', { ...life, reason, runs: runs.length, freedRuns, silentMs, reportSequence, ...view?.leaseBounds() })
    if (runs.length === 0) return
    const checkpoints = runs.flatMap(({ taskKey, run }) => {
      const checkpoint = view?.latestCheckpoint(taskKey, run) ?? ''
      return checkpoint === '' ? [] : [{ taskKey, checkpoint }]
    })
    adjustCount(this.#releasesInFlight, workerId, 1)
    const onSettled = (): void => { adjustCount(this.#releasesInFlight, workerId, -1) }
    const ends = view === undefined ? [] : this.#unrecordedEnds(view.latest)
    const command = { kind: 'worker_gone', life, checkpoints, ends } as const
    const receivedAtMs = this.#options.clock.monotonicMs()
    if (FINAL_REASONS.has(reason)) this.#unreleased.set(workerId, { life, reason, view })
    const onApplied = (result: CommandResult): void => {
      if (this.#unreleased.get(workerId)?.life === life) this.#unreleased.delete(workerId)
      this.#handleRecordedEnds(result, life, receivedAtMs)
    }
    this.#proposeFor(workerId, command, onApplied, onSettled)
  }

  /** Answers the reports that have waited long enough. */
  answerDueReports (): void {
    for (const pending of this.#pendingReports.takeDue()) this.#options.guard('answer', () => { this.#answer(pending) })
  }

  #answer (pending: PendingReport): void {
    const orders = this.#takeOrders(pending)
    const nextReportMs = this.#nextReportMs(pending)
    pending.view.nextReportDueMs = this.#options.clock.monotonicMs() + nextReportMs
    this.#options.reply(pending.requestId, { ...orders, nextReportMs })
  }

  #takeOrders ({ view, receivedAtMs }: PendingReport): Omit<WorkerOrders, 'nextReportMs'> {
    const { orders, clock, settings } = this.#options
    return orders.takeOrders(view, {
      // A run that is about to be freed must not start: its task is then assigned to another worker.
      mayStart: !this.#releasesInFlight.has(view.latest.workerId),
      mayStartIncompleteGangs: clock.monotonicMs() - receivedAtMs >= settings.gangAssemblyHoldMs
    })
  }

  /**
   * The next heartbeat comes soon where its answer will be held. The interval grows with the fleet, so that reports
   * take a bounded share of the leader's processor time; the time for which this one was held counts towards it.
   */
  #nextReportMs ({ view, receivedAtMs }: PendingReport): number {
    const { settings, clock, registry } = this.#options
    const nowMs = clock.monotonicMs()
    const isHeldNext = this.#hold.durationMs(view, nowMs) > 0
    const minIntervalMs = isHeldNext ? settings.nextHeldReportMs : settings.nextReportMs
    const fleetIntervalMs = Math.round(registry.count * 1_000 / settings.maxReportsPerSecond)
    return Math.max(minIntervalMs, fleetIntervalMs - (nowMs - receivedAtMs))
  }

  /** Frees the runs of workers whose leases have certainly expired, and of incarnations that later ones replaced. */
  releaseGoneWorkers (): void {
    for (const { life, reason, view } of [...this.#unreleased.values()]) {
      if (this.hasCommandsInFlight(life.workerId)) continue
      this.#unreleased.delete(life.workerId)
      this.#handleWorkerGone(life, reason, view)
    }
    for (const worker of this.#options.registry.replacedIncarnations()) {
      if (this.hasCommandsInFlight(worker.workerId)) continue
      this.#handleWorkerGone(worker, 'replaced by a later incarnation', undefined)
    }
    for (const worker of this.#options.registry.expiredIncarnations()) {
      if (this.hasCommandsInFlight(worker.workerId)) continue
      this.#handleWorkerGone(worker, 'lease expired without a heartbeat', this.#options.registry.view(worker.workerId))
    }
  }

  /** Removes workers that have long been gone, and jobs that the state no longer has. */
  removeStale (): void {
    this.#options.registry.removeStaleWorkers()
    const isKnown = (jobId: string): boolean => this.#options.state.job(jobId) !== undefined
    this.#options.registry.retainJobs(isKnown)
    this.#runSamples.retainJobs(isKnown)
    for (const jobId of this.#loggedJobs) if (!isKnown(jobId)) this.#loggedJobs.delete(jobId)
  }

  /** Called when a command that assigns runs is committed. */
  recordAssigned (assignments: readonly Assignment[]): void {
    this.#runSamples.recordAssigned(assignments)
  }

  /**
   * Called when the command that assigns runs to the worker is settled, which `adjustCommandsInFlight` counted when it
   * was proposed. Its report is answered with the start orders, unless those wait for other members of a gang.
   */
  finishAssignment (workerId: string): void {
    const { assembly, settings } = this.#options
    this.adjustCommandsInFlight(workerId, -1)
    this.#releaseCompleteGangs(workerId)
    if (assembly.hasAssemblingMember(workerId)) this.#pendingReports.extendHold(workerId, settings.gangAssemblyHoldMs)
    else this.#pendingReports.wake(workerId)
  }

  /** Whether orders reach a worker at once. */
  isReachable (workerId: string): boolean {
    return this.#pendingReports.has(workerId)
  }

  /** Ends the hold of a worker's report, since there are orders for the worker. */
  wake (workerId: string): void {
    this.#pendingReports.wake(workerId)
  }

  /** Whether proposed commands that concern a worker are not settled yet. */
  hasCommandsInFlight (workerId: string): boolean {
    return this.#commandsInFlight.has(workerId)
  }

  #proposeFor (
    workerId: string,
    command: BatchCommand,
    onApplied: (result: CommandResult) => void,
    onSettled: () => void = () => {}
  ): void {
    this.adjustCommandsInFlight(workerId, 1)
    this.#options.propose(command, outcome => {
      this.adjustCommandsInFlight(workerId, -1)
      onSettled()
      if (outcome.kind === 'applied') onApplied(outcome.result)
    })
  }

  /** Counts the proposed commands that concern a worker until they are settled; its report is answered after that. */
  adjustCommandsInFlight (workerId: string, change: 1 | -1): void {
    adjustCount(this.#commandsInFlight, workerId, change)
  }
}

/** An end as log lines name it. */
function describeEnd ({ taskKey, run, reason }: RunEnd): Pick<RunEnd, 'taskKey' | 'run' | 'reason'> {
  return { taskKey, run, reason }
}

/** Changes the count of a worker; a count of 0 is removed. */
function adjustCount (counts: Map<string, number>, workerId: string, change: 1 | -1): void {
  const count = (counts.get(workerId) ?? 0) + change
  if (count === 0) counts.delete(workerId)
  else counts.set(workerId, count)
}
