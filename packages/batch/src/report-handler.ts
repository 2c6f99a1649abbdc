/** Heartbeats on the leader: what they change in the replicated state, and when and how they are answered. */
import type { Clock, EventLog, Metrics } from '@comfreygrade/core'
import type { BatchState } from './batch-state.js'
import type { BatchCommand, RunEnd, WorkerLife } from './commands.js'
import { jobIdOf } from './jobs.js'
import type { ProposalOutcome } from './operation-handler.js'
import type { OrderBook } from './order-planner.js'
import { ReportDesk } from './pending-reports.js'
import type { BatchSettings } from './settings.js'
import type { WorkerOrders, WorkerReport } from './worker-messages.js'
import type { WorkerTable } from './worker-registry.js'
import type { WorkerView } from './worker-view.js'

/** Options of {@link ReportHandler}. */
export interface ReportHandlerOptions {
  readonly state: BatchState
  readonly workers: WorkerTable
  readonly orders: OrderBook
  readonly settings: BatchSettings
  readonly clock: Clock
  readonly metrics: Metrics
  readonly log: EventLog
  readonly propose: (command: BatchCommand, settled: (outcome: ProposalOutcome) => void) => void
  readonly reply: (requestId: string, orders: WorkerOrders | undefined) => void
  /** Something has changed that may let waiting work start. */
  readonly passNeeded: () => void
  /** Whether a pass is due or its assignments are not committed yet. */
  readonly isPassPending: () => boolean
}

/** Follows the workers of one term through their heartbeats. */
export class ReportHandler {
  readonly #options: ReportHandlerOptions
  readonly #desk: ReportDesk
  /** Workers with commands under way. */
  readonly #busyWorkers = new Map<string, number>()
  /** Jobs whose end is in the log, until their retention is over. */
  readonly #loggedJobs = new Set<string>()

  constructor (options: ReportHandlerOptions) {
    this.#options = options
    const { settings, clock, isPassPending } = options
    this.#desk = new ReportDesk({ settings, clock, isPassPending, isBusy: workerId => this.isBusy(workerId) })
  }

  /** Takes a heartbeat. */
  receive (requestId: string, report: WorkerReport): void {
    const nowMs = this.#options.clock.monotonicMs()
    const reception = this.#options.workers.receive(report)
    for (const replaced of reception.replaced) this.#workerGone(replaced.latest, 'replaced by a later life', replaced)
    if (reception.kind === 'ignored') {
      const { workerId, sequence } = report
      this.#options.metrics.increment('worker.report_ignored', { reason: reception.reason })
      this.#options.log.info('heartbeat ignored', { workerId, sequence, reason: reception.reason })
      this.#options.reply(requestId, undefined)
      return
    }
    const { view } = reception
    if (reception.isNew) this.#options.passNeeded()
    this.#checkLease(view)
    if (view.leaseCertainty !== 'uncertain' && view.isConfirmed) this.#recordEnds(report)
    this.#releaseAbsent(view)
    const earlier = this.#desk.take({ requestId, view, receivedAtMs: nowMs }, this.#isIdle(view))
    if (earlier !== undefined) this.#options.reply(earlier.requestId, undefined)
  }

  /** What ended before a lapse does not count, so its runs are freed before the ends are recorded. */
  #checkLease (view: WorkerView): void {
    if (view.leaseCertainty === 'held') return
    const hasRuns = this.#options.orders.mayHoldRuns(view)
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
    for (const end of ends) this.#options.workers.noteEnd(report, end)
    this.#proposeFor(workerId, { kind: 'record_ends', life, ends }, () => {
      for (const end of ends) this.#endRecorded(end, life)
      this.#options.passNeeded()
    })
  }

  #endRecorded ({ taskKey, run, reason, sequence }: RunEnd, life: WorkerLife): void {
    const { log, metrics } = this.#options
    metrics.increment('run.ended', { reason })
    log.info('run ended', { taskKey, run, reason, workerId: life.workerId, sequence })
    this.#options.workers.view(life.workerId)?.forgetRun({ ...life, taskKey, run })
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

  #releaseAbsent (view: WorkerView): void {
    const runs = this.#options.orders.certainlyAbsent(view)
    if (runs.length === 0) return
    this.#proposeFor(view.latest.workerId, { kind: 'release', runs }, () => {
      for (const run of runs) view.forgetRun(run)
      this.#options.passNeeded()
    })
  }

  /** Takes the word of a worker that it has left. */
  workerLeft (requestId: string, workerId: string): void {
    const view = this.#options.workers.view(workerId)
    this.#options.reply(requestId, undefined)
    if (view === undefined) return
    this.#options.workers.leave(view.latest)
    this.#workerGone(view.latest, 'left', view)
  }

  /** The work that the life had saved goes on elsewhere from the checkpoints that its heartbeats listed. */
  #workerGone ({ workerId, incarnation }: WorkerLife, reason: string, view: WorkerView | undefined): void {
    const { log, state } = this.#options
    const life = { workerId, incarnation }
    const runs = [...state.runsOf(workerId)].filter(run => run.incarnation <= incarnation)
    const silentMs = view === undefined ? undefined : Math.round(this.#options.clock.monotonicMs() - view.heardAtMs)
    log.info('worker is gone', { ...life, reason, runs: runs.length, silentMs })
    if (runs.length === 0) return
    const checkpoints = runs.flatMap(({ taskKey, run }) => {
      const checkpoint = view?.latestCheckpoint(taskKey, run) ?? ''
      return checkpoint === '' ? [] : [{ taskKey, checkpoint }]
    })
    this.#proposeFor(workerId, { kind: 'worker_gone', life, checkpoints }, () => { this.#options.passNeeded() })
  }

  /** A worker with nothing to run, end or be told, whose next end cannot be held up by a wait. */
  #isIdle ({ latest }: WorkerView): boolean {
    return latest.state === 'active' && latest.running.length === 0 && latest.ends.length === 0 &&
      !this.isBusy(latest.workerId) && !this.#options.state.hasRuns(latest.workerId)
  }

  /** Answers the heartbeats whose wait is over. */
  answerDue (): void {
    for (const { requestId, view } of this.#desk.takeDue()) {
      const orders = { ...this.#options.orders.ordersFor(view), nextReportMs: this.#nextReportMs(view) }
      this.#options.reply(requestId, orders)
    }
  }

  /** The interval grows with the fleet, so that heartbeats take a bounded share of the leader's processor. */
  #nextReportMs (view: WorkerView): number {
    const { nextReportMs, nextIdleReportMs, maxReportsPerSecond } = this.#options.settings
    const leastMs = this.#isIdle(view) ? nextIdleReportMs : nextReportMs
    return Math.max(leastMs, Math.round(this.#options.workers.count * 1_000 / maxReportsPerSecond))
  }

  /** Frees the runs of workers whose leases have certainly run out. */
  releaseExpired (): void {
    for (const life of this.#options.workers.expired()) {
      if (this.isBusy(life.workerId)) continue
      this.#workerGone(life, 'silent beyond its lease', this.#options.workers.view(life.workerId))
    }
  }

  /** Forgets jobs that the state no longer has, and lives that have been gone for long. */
  forgetOld (): void {
    this.#options.workers.forgetOldLives()
    const isKnown = (jobId: string): boolean => this.#options.state.job(jobId) !== undefined
    this.#options.workers.retainJobs(isKnown)
    for (const jobId of this.#loggedJobs) if (!isKnown(jobId)) this.#loggedJobs.delete(jobId)
  }

  /** The worker's new runs are committed. */
  assigned (workerId: string): void {
    this.markBusy(workerId, -1)
    this.#desk.wake(workerId)
  }

  /** Whether commands about a worker are under way. */
  isBusy (workerId: string): boolean {
    return this.#busyWorkers.has(workerId)
  }

  #proposeFor (workerId: string, command: BatchCommand, applied: () => void): void {
    this.markBusy(workerId, 1)
    this.#options.propose(command, outcome => {
      this.markBusy(workerId, -1)
      if (outcome.kind === 'applied') applied()
    })
  }

  /** Counts commands about a worker that are under way; its heartbeats are answered after these. */
  markBusy (workerId: string, change: 1 | -1): void {
    const count = (this.#busyWorkers.get(workerId) ?? 0) + change
    if (count === 0) this.#busyWorkers.delete(workerId)
    else this.#busyWorkers.set(workerId, count)
  }
}
