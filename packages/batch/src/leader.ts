/** The batch leader: heartbeats, orders and operations on top of the replicated state. */
import type { Clock, EventLog, Metrics } from '@comfreygrade/core'
import { AdviceBook, type Ticket } from './advice.js'
import { runKey, type BatchState } from './batch-state.js'
import type { Assignment, BatchCommand, CommandResult, RunEnd, WorkerLife } from './commands.js'
import { jobIdOf } from './jobs.js'
import { planEvacuation } from './evacuation.js'
import { waitingKey } from './fitting.js'
import { MaintenancePlanner, type MaintenanceAnswer, type MaintenanceCall } from './maintenance.js'
import { OperationHandler, type ProposalOutcome } from './operation-handler.js'
import type { BatchOperation, BatchResult } from './operations.js'
import { OrderBook } from './order-book.js'
import { ObjectiveOrder } from './ranking.js'
import { ReportDesk } from './report-desk.js'
import { BatchScheduler, type Reclaim } from './scheduler.js'
import type { BatchSettings } from './settings.js'
import type { WaitingStep } from './waiting-work.js'
import type { WorkerOrders, WorkerReport } from './worker-report.js'
import { WorkerTable } from './worker-table.js'
import type { WorkerView } from './worker-view.js'

/** What the leader is told. */
export type LeaderEvent =
  | { readonly kind: 'operation', readonly requestId: string, readonly operation: BatchOperation }
  | { readonly kind: 'report', readonly requestId: string, readonly report: WorkerReport }
  | { readonly kind: 'worker_left', readonly requestId: string, readonly workerId: string }
  | { readonly kind: 'applied', readonly proposalId: string, readonly result: CommandResult }
  | { readonly kind: 'rejected', readonly proposalId: string, readonly isCertain: boolean }
  | {
    readonly kind: 'advice'
    readonly stepKey: string
    readonly tickets: readonly Ticket[] | undefined
    readonly askedAtMs: number
  }
  | { readonly kind: 'maintenance_answered', readonly call: MaintenanceCall, readonly answer: MaintenanceAnswer }
  | { readonly kind: 'tick' }

/** What the leader asks its adapters to do. */
export type LeaderEffect =
  | { readonly kind: 'propose', readonly proposalId: string, readonly command: BatchCommand }
  | { readonly kind: 'reply', readonly requestId: string, readonly result: BatchResult }
  | { readonly kind: 'reply_worker', readonly requestId: string, readonly orders: WorkerOrders | undefined }
  | { readonly kind: 'begin_maintenance', readonly call: MaintenanceCall, readonly fencingToken: number }
  | { readonly kind: 'ask_advice', readonly stepKey: string, readonly workerIds: readonly string[] }

/** Options of {@link BatchLeader}. */
export interface BatchLeaderOptions {
  readonly term: number
  readonly state: BatchState
  readonly settings: BatchSettings
  readonly clock: Clock
  readonly metrics: Metrics
  readonly log: EventLog
}

/** Passes take at most one part in this number of the leader's time, so that heartbeats are answered in time. */
const PASS_TIME_FACTOR = 4
/** Interval of the checks of silent, leaving and stalled workers and of maintenance. */
const FLEET_CHECK_MS = 100

/**
 * Decides for one term. All times are monotonic milliseconds of the clock that was passed in.
 *
 * @example
 * const leader = new BatchLeader({ term, state, settings, clock, metrics, log })
 * for (const effect of leader.handle({ kind: 'tick' })) carryOut(effect)
 */
export class BatchLeader {
  readonly #options: BatchLeaderOptions
  readonly #workers: WorkerTable
  readonly #orders: OrderBook
  readonly #advice: AdviceBook
  readonly #scheduler: BatchScheduler
  readonly #maintenance: MaintenancePlanner
  readonly #operations: OperationHandler
  readonly #reports: ReportDesk
  readonly #proposals = new Map<string, (outcome: ProposalOutcome) => void>()
  /** Workers with commands under way, whose heartbeats are answered after these. */
  readonly #busyWorkers = new Map<string, number>()
  /** Jobs whose end is in the log, until their retention is over. */
  readonly #loggedJobs = new Set<string>()
  #effects: LeaderEffect[] = []
  #proposalCount = 0
  #isAssigning = false
  #isPassDue = true
  #nextPassMs = -Infinity
  #lastFleetCheckMs = -Infinity

  constructor (options: BatchLeaderOptions) {
    const { state, settings, clock, log } = options
    this.#options = options
    this.#workers = new WorkerTable(state, settings, clock, log)
    this.#advice = new AdviceBook(clock)
    this.#reports = new ReportDesk({
      settings,
      clock,
      isBusy: workerId => this.#busyWorkers.has(workerId),
      isPassPending: () => this.#isPassDue || this.#isAssigning
    })
    this.#orders = new OrderBook({ state, settings, clock, advice: this.#advice, fencingToken: options.term })
    this.#scheduler = new BatchScheduler(settings, clock, new ObjectiveOrder())
    this.#operations = new OperationHandler({
      ...options,
      workers: this.#workers,
      propose: (command, settled) => { this.#propose(command, settled) },
      reply: (requestId, result) => { this.#effects.push({ kind: 'reply', requestId, result }) }
    })
    this.#maintenance = new MaintenancePlanner({ state, workers: this.#workers, settings, clock, log })
  }

  /** Runs one event to its end and returns what the adapters have to do. */
  handle (event: LeaderEvent): LeaderEffect[] {
    this.#effects = []
    switch (event.kind) {
      case 'operation': this.#operations.handle(event.requestId, event.operation); break
      case 'report': this.#receiveReport(event.requestId, event.report); break
      case 'worker_left': this.#workerLeft(event.requestId, event.workerId); break
      case 'applied': this.#settle(event.proposalId, { kind: 'applied', result: event.result }); break
      case 'rejected': this.#settle(event.proposalId, { kind: 'rejected', isCertain: event.isCertain }); break
      case 'advice': this.#adviceAnswered(event); break
      case 'maintenance_answered': this.#maintenanceAnswered(event.call, event.answer); break
      case 'tick': this.#isPassDue = true; break
    }
    this.#checkFleetIfDue()
    this.#passIfDue()
    this.#answerReports()
    return this.#effects
  }

  /** Milliseconds until the next `tick`. */
  nextTickMs (): number {
    return this.#isPassDue ? this.#options.settings.passIntervalMs : FLEET_CHECK_MS
  }

  // Heartbeats

  #receiveReport (requestId: string, report: WorkerReport): void {
    const nowMs = this.#options.clock.monotonicMs()
    const reception = this.#workers.receive(report)
    for (const replaced of reception.replaced) this.#workerGone(replaced.latest, 'replaced by a later life', replaced)
    if (reception.kind === 'ignored') {
      const { workerId, sequence } = report
      this.#options.metrics.increment('worker.report_ignored', { reason: reception.reason })
      this.#options.log.info('heartbeat ignored', { workerId, sequence, reason: reception.reason })
      this.#effects.push({ kind: 'reply_worker', requestId, orders: undefined })
      return
    }
    const { view } = reception
    if (reception.isNew) this.#isPassDue = true
    this.#checkLease(view)
    if (view.leaseCertainty !== 'uncertain' && view.isConfirmed) this.#recordEnds(report)
    this.#releaseAbsent(report)
    const earlier = this.#reports.take({ requestId, report, receivedAtMs: nowMs }, this.#isIdle(view))
    if (earlier !== undefined) this.#effects.push({ kind: 'reply_worker', requestId: earlier.requestId, orders: undefined })
  }

  /** What ended before a lapse does not count, so its runs are freed before the ends are recorded. */
  #checkLease (view: WorkerView): void {
    if (view.leaseCertainty === 'held') return
    const hasRuns = this.#orders.mayHoldRuns(view)
    if (view.leaseCertainty === 'uncertain' && hasRuns) return
    view.restartLease()
    if (hasRuns) this.#workerGone(view.latest, 'lease lapsed', view)
  }

  #recordEnds (report: WorkerReport): void {
    const { workerId, incarnation } = report
    const life = { workerId, incarnation }
    const lastSequence = this.#options.state.lastEndSequence(life)
    const ends = report.ends.filter(end => end.sequence > lastSequence)
    if (ends.length === 0) return
    for (const end of ends) this.#workers.noteEnd(report, end)
    this.#proposeFor(workerId, { kind: 'record_ends', life, ends }, () => {
      for (const end of ends) this.#endRecorded(end, life)
      this.#isPassDue = true
    })
  }

  #endRecorded ({ taskKey, run, reason, sequence }: RunEnd, life: WorkerLife): void {
    const { log, metrics } = this.#options
    metrics.increment('run.ended', { reason })
    log.info('run ended', { taskKey, run, reason, workerId: life.workerId, sequence })
    this.#workers.view(life.workerId)?.forgetRun({ ...life, taskKey, run })
    this.#logJobEnd(taskKey)
  }

  /** Several ends that are recorded at once may follow the one that ended the job. */
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

  #releaseAbsent (report: WorkerReport): void {
    const view = this.#workers.viewOf(report)
    const runs = this.#orders.certainlyAbsent(view)
    if (runs.length === 0) return
    this.#proposeFor(report.workerId, { kind: 'release', runs }, () => {
      for (const run of runs) view.forgetRun(run)
      this.#isPassDue = true
    })
  }

  #workerLeft (requestId: string, workerId: string): void {
    const view = this.#workers.view(workerId)
    this.#effects.push({ kind: 'reply_worker', requestId, orders: undefined })
    if (view === undefined) return
    this.#workers.forget(workerId)
    this.#workerGone(view.latest, 'left', view)
  }

  /** The work that the life had saved goes on elsewhere from the checkpoints that its heartbeats listed. */
  #workerGone ({ workerId, incarnation }: WorkerLife, reason: string, view: WorkerView | undefined): void {
    const { log, state } = this.#options
    const life = { workerId, incarnation }
    const runs = [...state.runsOf(workerId)].filter(run => run.incarnation <= incarnation)
    log.info('worker is gone', { ...life, reason, runs: runs.length })
    if (runs.length === 0) return
    const checkpoints = runs.flatMap(({ taskKey, run }) => {
      const checkpoint = view?.latestCheckpoint(taskKey, run) ?? ''
      return checkpoint === '' ? [] : [{ taskKey, checkpoint }]
    })
    this.#proposeFor(workerId, { kind: 'worker_gone', life, checkpoints }, () => { this.#isPassDue = true })
  }

  /** A worker with nothing to run, end or be told, whose next end cannot be held up by a wait. */
  #isIdle ({ latest }: WorkerView): boolean {
    return latest.state === 'active' && latest.running.length === 0 && latest.ends.length === 0 &&
      !this.#busyWorkers.has(latest.workerId) && !this.#options.state.hasRuns(latest.workerId)
  }

  #answerReports (): void {
    for (const { requestId, report } of this.#reports.takeDue()) {
      const view = this.#workers.viewOf(report)
      const orders = { ...this.#orders.ordersFor(view), nextReportMs: this.#nextReportMs(view) }
      this.#effects.push({ kind: 'reply_worker', requestId, orders })
    }
  }

  /** The interval grows with the fleet, so that heartbeats take a bounded share of the leader's processor. */
  #nextReportMs (view: WorkerView): number {
    const { nextReportMs, nextIdleReportMs, maxReportsPerSecond } = this.#options.settings
    const leastMs = this.#isIdle(view) ? nextIdleReportMs : nextReportMs
    return Math.max(leastMs, Math.round(this.#workers.count * 1_000 / maxReportsPerSecond))
  }

  // Scheduling

  #passIfDue (): void {
    const nowMs = this.#options.clock.monotonicMs()
    if (!this.#isPassDue || this.#isAssigning) return
    if (nowMs < this.#nextPassMs) return
    this.#isPassDue = false
    const decision = this.#scheduler.pass(this.#options.state, {
      views: this.#workers.views(),
      isUsable: view => this.#workers.isUsable(view) && !this.#maintenance.isCordoned(view),
      isStopping: run => this.#orders.isStopping(run),
      permittedWorkers: key => this.#advice.permittedWorkers(key)
    })
    for (const step of decision.needPermission) this.#askAdvice(step)
    for (const reclaim of decision.reclaims) this.#reclaim(reclaim)
    this.#assign(decision.assignments)
    const tookMs = this.#options.clock.monotonicMs() - nowMs
    this.#nextPassMs = nowMs + Math.max(this.#options.settings.passIntervalMs, tookMs * PASS_TIME_FACTOR)
  }

  #reclaim ({ run, forStepKey, lostCoreSeconds }: Reclaim): void {
    const { taskKey, workerId } = run
    this.#options.metrics.increment('run.reclaimed')
    this.#options.log.info('run is reclaimed', {
      taskKey, run: run.run, workerId, forStepKey, lostCoreSeconds: Math.round(lostCoreSeconds)
    })
    this.#orders.stop(run)
  }

  #assign (assignments: readonly Assignment[]): void {
    if (assignments.length === 0) return
    this.#isAssigning = true
    const workerIds = [...new Set(assignments.map(assignment => assignment.workerId))]
    for (const workerId of workerIds) this.#markBusy(workerId, 1)
    this.#propose({ kind: 'assign', assignments }, outcome => {
      this.#isAssigning = false
      this.#isPassDue = true
      for (const workerId of workerIds) {
        this.#markBusy(workerId, -1)
        this.#reports.wake(workerId)
      }
      if (outcome.kind === 'rejected') return
      for (const assignment of assignments) this.#assigned(assignment)
    })
  }

  #assigned (assignment: Assignment): void {
    const { clock, log, state } = this.#options
    const { taskKey, run, workerId } = assignment
    const view = this.#workers.view(workerId)
    view?.assignedInTerm.add(runKey(assignment))
    log.info('run assigned', {
      taskKey,
      run,
      workerId,
      reportSequence: view?.latest.sequence,
      reportAgeMs: view === undefined ? undefined : Math.round(clock.monotonicMs() - view.heardAtMs),
      configurationVersion: state.directory?.document.version
    })
  }

  #askAdvice (step: WaitingStep): void {
    const key = waitingKey(step)
    const workerIds = this.#workers.adviceCandidates(step).slice(0, this.#options.settings.maxAdviceWorkers)
    if (workerIds.length === 0 || !this.#advice.startAsking(key)) return
    this.#effects.push({ kind: 'ask_advice', stepKey: key, workerIds })
  }

  #adviceAnswered ({ stepKey: key, tickets, askedAtMs }: Extract<LeaderEvent, { kind: 'advice' }>): void {
    const job = this.#options.state.job(jobIdOf(key))
    const queue = job === undefined ? undefined : this.#options.state.directory?.at(job.queueAddress)
    const validMs = queue?.advice?.ticketValidMs ?? 0
    this.#options.log.info('advice answered', { stepKey: key, granted: tickets?.length ?? null })
    this.#advice.answered(key, tickets, this.#workers.incarnations(), validMs, askedAtMs)
    this.#isPassDue = true
  }

  /** Runs after any event, since a timer that every event restarts would never fire under load. */
  #checkFleetIfDue (): void {
    const nowMs = this.#options.clock.monotonicMs()
    if (nowMs - this.#lastFleetCheckMs < FLEET_CHECK_MS) return
    this.#lastFleetCheckMs = nowMs
    this.#isPassDue = true
    for (const life of this.#workers.expired()) {
      if (this.#busyWorkers.has(life.workerId)) continue
      this.#workerGone(life, 'silent beyond its lease', this.#workers.view(life.workerId))
    }
    this.#evacuate()
    this.#maintain()
    this.#advice.retain(jobId => this.#options.state.job(jobId)?.state === 'open')
    this.#orders.forgetEnded()
    this.#forgetOldJobs()
  }

  #forgetOldJobs (): void {
    const isKnown = (jobId: string): boolean => this.#options.state.job(jobId) !== undefined
    this.#workers.retainJobs(isKnown)
    for (const jobId of this.#loggedJobs) if (!isKnown(jobId)) this.#loggedJobs.delete(jobId)
  }

  /** Takes work off workers on which it cannot end. */
  #evacuate (): void {
    const { state, settings, clock, log } = this.#options
    for (const view of this.#workers.views()) {
      for (const { run, ...inputs } of planEvacuation(state, view, settings, clock.monotonicMs())) {
        if (this.#orders.isStopping(run)) continue
        const { taskKey, workerId } = run
        log.info('run is taken off its worker', { taskKey, run: run.run, workerId, ...inputs })
        this.#orders.stop(run)
      }
    }
  }

  #maintain (): void {
    for (const call of this.#maintenance.dueCalls()) {
      this.#effects.push({ kind: 'begin_maintenance', call, fencingToken: this.#options.term })
    }
  }

  /** The maintenance counts only once the platform has confirmed it. */
  #maintenanceAnswered (call: MaintenanceCall, answer: MaintenanceAnswer): void {
    if (!this.#maintenance.answered(call, answer)) return
    this.#propose({ kind: 'maintenance_done', ...call }, () => {})
  }

  // Proposals

  #proposeFor (workerId: string, command: BatchCommand, applied: () => void): void {
    this.#markBusy(workerId, 1)
    this.#propose(command, outcome => {
      this.#markBusy(workerId, -1)
      if (outcome.kind === 'applied') applied()
    })
  }

  #markBusy (workerId: string, change: 1 | -1): void {
    const count = (this.#busyWorkers.get(workerId) ?? 0) + change
    if (count === 0) this.#busyWorkers.delete(workerId)
    else this.#busyWorkers.set(workerId, count)
  }

  #propose (command: BatchCommand, settled: (outcome: ProposalOutcome) => void): void {
    const proposalId = `${this.#options.term}-${++this.#proposalCount}`
    this.#proposals.set(proposalId, settled)
    this.#effects.push({ kind: 'propose', proposalId, command })
  }

  #settle (proposalId: string, outcome: ProposalOutcome): void {
    const settled = this.#proposals.get(proposalId)
    this.#proposals.delete(proposalId)
    settled?.(outcome)
    if (outcome.kind === 'applied') this.#isPassDue = true
  }
}
