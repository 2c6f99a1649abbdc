/** The batch leader: heartbeats, orders and operations on top of the replicated state. */
import type { Clock, EventLog, Metrics } from '@comfreygrade/core'
import { AdviceBook, type Ticket } from './advice-tickets.js'
import { runKey, type BatchState } from './batch-state.js'
import type { Assignment, BatchCommand, CommandResult } from './commands.js'
import { jobIdOf } from './jobs.js'
import { planEmptying, planEvacuation, type Evacuation } from './evictions.js'
import { waitingKey } from './worker-selection.js'
import { LastingAvailability } from './disruption-budget.js'
import { MaintenancePlanner, type MaintenanceAnswer, type MaintenanceCall } from './maintenance.js'
import { OperationHandler, type ProposalOutcome } from './operation-handler.js'
import type { BatchOperation, BatchResult } from './operations.js'
import { OrderBook } from './order-planner.js'
import { ObjectiveOrder } from './scheduling-order.js'
import { ReportHandler } from './report-handler.js'
import { BatchScheduler, type Reclaim } from './scheduler.js'
import type { BatchSettings } from './settings.js'
import type { WaitingStep } from './waiting-steps.js'
import type { WorkerOrders, WorkerReport } from './worker-messages.js'
import { WorkerTable } from './worker-registry.js'

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
  readonly #availability: LastingAvailability
  readonly #operations: OperationHandler
  readonly #reports: ReportHandler
  readonly #proposals = new Map<string, (outcome: ProposalOutcome) => void>()
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
    this.#orders = new OrderBook({ state, settings, clock, advice: this.#advice, fencingToken: options.term })
    this.#scheduler = new BatchScheduler(settings, clock, new ObjectiveOrder())
    this.#operations = new OperationHandler({
      ...options,
      workers: this.#workers,
      propose: (command, settled) => { this.#propose(command, settled) },
      reply: (requestId, result) => { this.#effects.push({ kind: 'reply', requestId, result }) }
    })
    this.#reports = new ReportHandler({
      ...options,
      workers: this.#workers,
      orders: this.#orders,
      propose: (command, settled) => { this.#propose(command, settled) },
      reply: (requestId, orders) => { this.#effects.push({ kind: 'reply_worker', requestId, orders }) },
      passNeeded: () => { this.#isPassDue = true },
      isPassPending: () => this.#isPassDue || this.#isAssigning
    })
    this.#availability = new LastingAvailability(state, this.#workers, run => this.#orders.isStopping(run))
    this.#maintenance = new MaintenancePlanner({
      state, workers: this.#workers, settings, clock, log, maySpare: run => this.#availability.maySpare(run)
    })
  }

  /** Runs one event to its end and returns what the adapters have to do. */
  handle (event: LeaderEvent): LeaderEffect[] {
    this.#effects = []
    switch (event.kind) {
      case 'operation': this.#operations.handle(event.requestId, event.operation); break
      case 'report': this.#reports.receive(event.requestId, event.report); break
      case 'worker_left': this.#reports.workerLeft(event.requestId, event.workerId); break
      case 'applied': this.#settle(event.proposalId, { kind: 'applied', result: event.result }); break
      case 'rejected': this.#settle(event.proposalId, { kind: 'rejected', isCertain: event.isCertain }); break
      case 'advice': this.#adviceAnswered(event); break
      case 'maintenance_answered': this.#maintenanceAnswered(event.call, event.answer); break
      case 'tick': this.#isPassDue = true; break
    }
    this.#checkFleetIfDue()
    this.#passIfDue()
    this.#reports.answerDue()
    return this.#effects
  }

  /** Milliseconds until the next `tick`. */
  nextTickMs (): number {
    return this.#isPassDue ? this.#options.settings.passIntervalMs : FLEET_CHECK_MS
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
    for (const workerId of workerIds) this.#reports.markBusy(workerId, 1)
    this.#propose({ kind: 'assign', assignments }, outcome => {
      this.#isAssigning = false
      this.#isPassDue = true
      for (const workerId of workerIds) this.#reports.assigned(workerId)
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
    this.#reports.releaseExpired()
    this.#evacuate()
    this.#maintain()
    this.#advice.retain(jobId => this.#options.state.job(jobId)?.state === 'open')
    this.#orders.forgetEnded()
    this.#reports.forgetOld()
  }

  /** Takes work off workers on which it cannot end. */
  #evacuate (): void {
    const { state, settings, clock } = this.#options
    for (const view of this.#workers.views()) this.#takeOff(planEvacuation(state, view, settings, clock.monotonicMs()))
    for (const view of this.#maintenance.cordonedViews()) this.#empty(planEmptying(state, view, clock.monotonicMs()))
  }

  #empty (evacuations: readonly Evacuation[]): void {
    // Each stop counts when the next one is judged.
    for (const evacuation of evacuations) if (this.#availability.maySpare(evacuation.run)) this.#takeOff([evacuation])
  }

  #takeOff (evacuations: readonly Evacuation[]): void {
    for (const { run, ...inputs } of evacuations) {
      if (this.#orders.isStopping(run)) continue
      const { taskKey, workerId } = run
      this.#options.log.info('run is taken off its worker', { taskKey, run: run.run, workerId, ...inputs })
      this.#orders.stop(run)
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
