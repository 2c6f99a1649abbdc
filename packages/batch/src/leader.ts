/** The batch leader: handles heartbeats and operations, and schedules runs, on top of the replicated state. */
import { fail, UNEXPECTED_ERROR, type Clock, type EventLog, type Metrics } from '@comfreygrade/core'
import { AdvicePlanner, type AdviceNeed } from './advice-planner.js'
import { TicketCache } from './advice-tickets.js'
import type { BatchState } from './batch-state.js'
import { assignmentKey } from './run-keys.js'
import type { Assignment, BatchCommand, RunEnd } from './commands.js'
import { BrokenGangs } from './broken-gangs.js'
import { GangAssembly } from './gang-assembly.js'
import type { LeaderEffect, LeaderEvent } from './leader-events.js'
import { jobIdOf } from './jobs.js'
import { planDrain, planEvictions, type Eviction } from './evictions.js'
import { DisruptionBudget } from './disruption-budget.js'
import { MaintenancePlanner, type MaintenanceAnswer, type MaintenanceCall } from './maintenance.js'
import { OperationHandler, type ProposalOutcome } from './operation-handler.js'
import { OrderPlanner } from './order-planner.js'
import { plainPolicies, type BatchPolicies } from './policies.js'
import { ObjectiveSchedulingOrder } from './scheduling-order.js'
import { StartRules } from './start-rules.js'
import { ReportHandler } from './report-handler.js'
import { BatchScheduler } from './scheduler.js'
import type { FleetView, PassDecision, Reclaim } from './scheduling-pass.js'
import type { BatchSettings } from './settings.js'
import { WaitLog } from './wait-log.js'
import { isStepOpen } from './waiting-steps.js'
import { ZoneMoves } from './zone-moves.js'
import { WorkerRegistry } from './worker-registry.js'

/** Options of {@link BatchLeader}. */
export interface BatchLeaderOptions {
  readonly term: number
  readonly state: BatchState
  readonly settings: BatchSettings
  readonly clock: Clock
  readonly metrics: Metrics
  readonly log: EventLog
  /** {@link plainPolicies} where there are none. */
  readonly policies?: BatchPolicies
}

/** The interval between passes is at least this multiple of their duration, so that heartbeats are answered in time. */
const MIN_PASS_INTERVAL_FACTOR = 4
/** Interval between checks for expired leases, for leaving and stalled workers and for due maintenance. */
const FLEET_CHECK_INTERVAL_MS = 100
/** Interval between two such checks from which this leader counts as delayed. */
const DELAYED_FLEET_CHECK_MS = 1_000

/**
 * Leader of one term: a state machine from events to effects. All times are monotonic milliseconds of the given clock.
 *
 * @example
 * const leader = new BatchLeader({ term, state, settings, clock, metrics, log })
 * for (const effect of leader.handle({ kind: 'tick' })) carryOut(effect)
 */
export class BatchLeader {
  readonly #options: BatchLeaderOptions
  readonly #registry: WorkerRegistry
  readonly #orders: OrderPlanner
  readonly #tickets: TicketCache
  readonly #advice: AdvicePlanner
  readonly #assembly: GangAssembly
  readonly #brokenGangs: BrokenGangs
  readonly #scheduler: BatchScheduler
  readonly #maintenance: MaintenancePlanner
  readonly #disruptionBudget: DisruptionBudget
  readonly #operations: OperationHandler
  readonly #reports: ReportHandler
  readonly #waitLog: WaitLog
  readonly #policies: BatchPolicies
  readonly #zoneMoves: ZoneMoves
  readonly #pendingProposals = new Map<string, (outcome: ProposalOutcome) => void>()
  #effects: LeaderEffect[] = []
  #proposalCount = 0
  #isAssigning = false
  #isPassDue = true
  #nextPassMs = -Infinity
  #lastFleetCheckMs = -Infinity

  constructor (options: BatchLeaderOptions) {
    const { state, settings, clock, log, policies = plainPolicies() } = options
    this.#options = options
    this.#registry = new WorkerRegistry(state, settings, clock, log)
    this.#tickets = new TicketCache(clock)
    this.#advice = new AdvicePlanner({
      clock, metrics: options.metrics, log, tickets: this.#tickets, maxWorkersPerRequest: settings.maxAdviceWorkers
    })
    this.#waitLog = new WaitLog(clock, log)
    this.#policies = policies
    this.#assembly = new GangAssembly(clock, settings.gangAssemblyMs)
    this.#brokenGangs = new BrokenGangs(state)
    const startRules = new StartRules(state, settings)
    this.#orders = new OrderPlanner({
      state,
      settings,
      clock,
      tickets: this.#tickets,
      startRules,
      assembly: this.#assembly,
      fencingToken: options.term,
      log,
      viewOf: workerId => this.#registry.view(workerId)
    })
    this.#scheduler = new BatchScheduler(settings, clock, new ObjectiveSchedulingOrder(), policies)
    this.#operations = new OperationHandler({
      ...options,
      registry: this.#registry,
      admission: policies.admission,
      propose: (command, onSettled) => { this.#propose(command, onSettled) },
      reply: (requestId, result) => { this.#effects.push({ kind: 'reply', requestId, result }) },
      onCancelled: jobId => { this.#wakeWorkersOf(jobId) }
    })
    this.#reports = new ReportHandler({
      ...options,
      registry: this.#registry,
      orders: this.#orders,
      assembly: this.#assembly,
      policies,
      propose: (command, onSettled) => { this.#propose(command, onSettled) },
      reply: (requestId, orders) => { this.#effects.push({ kind: 'reply_worker', requestId, orders }) },
      requestPass: () => { this.#isPassDue = true },
      isPassPending: () => this.#isPassDue || this.#isAssigning,
      guard: (part, run) => { this.#guard(part, run) },
      onRunEnded: end => { this.#handleRunEnded(end) }
    })
    this.#disruptionBudget = new DisruptionBudget({
      state,
      registry: this.#registry,
      isStopping: assignment => this.#orders.isStopping(assignment),
      isGoingDown: view => this.#maintenance.isGoingDown(view)
    })
    this.#maintenance = new MaintenancePlanner({
      state,
      registry: this.#registry,
      settings,
      clock,
      log,
      allowsStops: assignments => this.#disruptionBudget.allowsStops(assignments)
    })
    this.#zoneMoves = new ZoneMoves({
      ...options,
      startRules,
      policies,
      views: () => this.#registry.views(),
      schedulableWorkers: () => this.#scheduler.schedulableWorkers(state, this.#fleetView()),
      isStopping: assignment => this.#orders.isStopping(assignment),
      gangRuns: assignment => this.#orders.gangRuns(assignment),
      allowsStops: assignments => this.#disruptionBudget.allowsStops(assignments),
      evict: eviction => { this.#evict([eviction]) }
    })
  }

  /**
   * Handles one event and returns the effects for the adapters to carry out, in order. An unexpected error ends only
   * the part that it occurs in, so that a job or report which causes one does not keep others from being handled.
   */
  handle (event: LeaderEvent): LeaderEffect[] {
    this.#effects = []
    this.#guard(event.kind, () => { this.#handleEvent(event) }, () => { this.#replyWithError(event) })
    this.#checkFleetIfDue()
    this.#guard('pass', () => { this.#runPassIfDue() })
    this.#reports.answerDueReports()
    return this.#effects
  }

  #handleEvent (event: LeaderEvent): void {
    switch (event.kind) {
      case 'operation': this.#operations.handle(event.requestId, event.operation); break
      case 'report': this.#reports.receive(event.requestId, event.report); break
      case 'worker_left': this.#reports.handleWorkerLeft(event.requestId, event.workerId); break
      case 'applied': this.#settle(event.proposalId, { kind: 'applied', result: event.result }); break
      case 'rejected': this.#settle(event.proposalId, { kind: 'rejected', isCertain: event.isCertain }); break
      case 'advice': this.#handleAdvice(event); break
      case 'maintenance_answered': this.#handleMaintenanceAnswer(event.call, event.answer); break
      case 'tick': this.#isPassDue = true; break
    }
  }

  /** Runs a part of the handling of an event; logs and counts an error. */
  #guard (part: string, run: () => void, onError = (): void => {}): void {
    try {
      run()
    } catch (error) {
      this.#options.metrics.increment('leader.error', { part })
      this.#options.log.warn(`${UNEXPECTED_ERROR} of the leader`, { part, detail: describeError(error) })
      onError()
    }
  }

  #replyWithError (event: LeaderEvent): void {
    if (event.kind === 'operation') {
      const result = fail('internal_error', 'the control leader failed to handle the operation')
      this.#effects.push({ kind: 'reply', requestId: event.requestId, result })
    } else if (event.kind === 'report' || event.kind === 'worker_left') {
      this.#effects.push({ kind: 'reply_worker', requestId: event.requestId, orders: undefined })
    }
  }

  /** Milliseconds until the next `tick` event is due, counted from the latest event of any kind. */
  nextTickMs (): number {
    return this.#isPassDue ? this.#options.settings.passIntervalMs : FLEET_CHECK_INTERVAL_MS
  }

  // Scheduling

  #runPassIfDue (): void {
    const nowMs = this.#options.clock.monotonicMs()
    if (!this.#isPassDue || this.#isAssigning) return
    if (nowMs < this.#nextPassMs) return
    this.#isPassDue = false
    const decision = this.#scheduler.runPass(this.#options.state, this.#fleetView())
    this.#waitLog.record(decision)
    this.#requestAdvice(decision)
    for (const reclaim of decision.reclaims) this.#reclaim(reclaim)
    this.#assign(decision.assignments)
    const durationMs = this.#options.clock.monotonicMs() - nowMs
    this.#options.metrics.timing('leader.pass', durationMs)
    this.#options.metrics.gauge('leader.started_tasks', decision.startedTaskCount)
    this.#options.metrics.gauge('leader.job_bytes', this.#options.state.storedJobBytes)
    this.#nextPassMs = nowMs + Math.max(this.#options.settings.passIntervalMs, durationMs * MIN_PASS_INTERVAL_FACTOR)
  }

  #fleetView (): FleetView {
    return {
      views: this.#registry.views(),
      unschedulableReason: view =>
        this.#maintenance.isCordoned(view) ? 'cordoned' : this.#registry.unschedulableReason(view),
      isStopping: assignment => this.#orders.isStopping(assignment),
      isReachable: workerId => this.#reports.isReachable(workerId),
      permittedWorkers: key => this.#tickets.permittedWorkers(key)
    }
  }

  #reclaim ({ assignment, forStepKey, lostCoreSeconds }: Reclaim): void {
    const { taskKey, workerId } = assignment
    this.#options.metrics.increment('run.reclaimed')
    this.#options.log.info('run reclaimed', {
      taskKey, run: assignment.run, workerId, forStepKey, lostCoreSeconds: Math.round(lostCoreSeconds)
    })
    this.#stop(assignment)
  }

  #stop (assignment: Assignment): readonly Assignment[] {
    const stopped = this.#orders.stop(assignment)
    for (const { workerId } of stopped) this.#reports.wake(workerId)
    return stopped
  }

  /**
   * Runs whose start orders have not been sent to a worker that does not report any more are assigned to others,
   * without waiting for the end of its lease; the other members of a gang with them.
   */
  #moveUnsentRuns (): void {
    const silent = [...this.#registry.views()].filter(view => !this.#registry.isResponsive(view))
    const stopped = silent.flatMap(view => this.#orders.unsentRuns(view)).flatMap(run => this.#stop(run))
    const runs = stopped.filter(run => this.#orders.isUnsent(run, this.#registry.view(run.workerId)))
    if (runs.length === 0) return
    this.#options.log.info('unsent runs moved', {
      runs: runs.map(({ taskKey, run, workerId }) => ({ taskKey, run, workerId }))
    })
    this.#propose({ kind: 'release', runs }, () => { this.#isPassDue = true })
  }

  /**
   * Runs that have not started in a zone where they must not start any more are stopped, and assigned elsewhere; their
   * gangs with them.
   */
  #stopObstructedRuns (): void {
    const obstructed = [...this.#registry.views()].flatMap(view => this.#orders.obstructedRuns(view))
    if (obstructed.length === 0) return
    const stopped = obstructed.flatMap(run => this.#stop(run))
    const unsent = stopped.filter(run => this.#orders.isUnsent(run, this.#registry.view(run.workerId)))
    const runs = [...new Map([...obstructed, ...unsent].map(run => [assignmentKey(run), run])).values()]
    this.#options.metrics.increment('run.obstructed', {}, runs.length)
    this.#options.log.info('runs stopped that must not start in their zone any more', {
      runs: runs.map(({ taskKey, run, workerId }) => ({ taskKey, run, workerId }))
    })
    this.#propose({ kind: 'release', runs }, outcome => {
      if (outcome.kind === 'applied') for (const run of runs) this.#registry.view(run.workerId)?.removeRun(run)
      this.#isPassDue = true
    })
  }

  /** The end of a run may mean that others are stopped: those of its gang, or all of a job that has failed. */
  #handleRunEnded ({ taskKey, run, reason }: RunEnd): void {
    if (reason !== 'done') this.#wakeWorkersOf(jobIdOf(taskKey))
    if (reason === 'broken') this.#presumeEnded(this.#brokenGangs.record({ taskKey, run }))
  }

  #presumeEnded (runs: readonly Assignment[]): void {
    if (runs.length === 0) return
    for (const { taskKey, run, workerId } of runs) {
      this.#options.log.info('run presumed ended', { taskKey, run, workerId })
      const view = this.#registry.view(workerId)
      if (view !== undefined) view.mayHaveCrashed = true
    }
    this.#propose({ kind: 'presume_ended', runs }, () => { this.#isPassDue = true })
  }

  /** Workers with runs of a job get their answers at once, since runs of it are to be stopped. */
  #wakeWorkersOf (jobId: string): void {
    for (const { workerId } of this.#options.state.activeRunsOf(jobId)) this.#reports.wake(workerId)
  }

  #assign (assignments: readonly Assignment[]): void {
    if (assignments.length === 0) return
    this.#isAssigning = true
    const workerIds = [...new Set(assignments.map(assignment => assignment.workerId))]
    for (const workerId of workerIds) this.#reports.adjustCommandsInFlight(workerId, 1)
    this.#propose({ kind: 'assign', assignments }, outcome => {
      this.#isAssigning = false
      this.#isPassDue = true
      if (outcome.kind === 'applied') this.#recordAssigned(assignments)
      for (const workerId of workerIds) this.#reports.finishAssignment(workerId)
    })
  }

  #recordAssigned (assignments: readonly Assignment[]): void {
    const { state } = this.#options
    this.#assembly.add(assignments.filter(({ taskKey }) => state.findTask(taskKey)?.stepSpec.isGang === true))
    this.#reports.recordAssigned(assignments)
    for (const assignment of assignments) this.#logAssigned(assignment)
  }

  #logAssigned (assignment: Assignment): void {
    const { clock, log, state } = this.#options
    const { taskKey, run, workerId } = assignment
    const view = this.#registry.view(workerId)
    view?.assignedInTerm.add(assignmentKey(assignment))
    log.info('run assigned', {
      taskKey,
      run,
      workerId,
      reportSequence: view?.latest.sequence,
      reportAgeMs: view === undefined ? undefined : Math.round(clock.monotonicMs() - view.reportedAtMs),
      configurationVersion: state.directory?.document.version
    })
  }

  #requestAdvice ({ stepsNeedingTickets, workers }: PassDecision): void {
    const needs = stepsNeedingTickets.flatMap((step): AdviceNeed[] => {
      const policy = this.#options.state.queueOf(step.job)?.advice
      return policy === undefined ? [] : [{ step, policy, candidates: () => this.#registry.adviceCandidates(step) }]
    })
    const request = this.#advice.next(needs, workers)
    if (request !== undefined) this.#effects.push({ kind: 'ask_advice', ...request })
  }

  #handleAdvice (answer: Extract<LeaderEvent, { kind: 'advice' }>): void {
    this.#advice.complete(answer)
    this.#isPassDue = true
  }

  /**
   * Called after every event, not only after ticks: the adapter restarts the timer of the tick after each event, so
   * under load there may be no ticks.
   */
  #checkFleetIfDue (): void {
    const nowMs = this.#options.clock.monotonicMs()
    const elapsedMs = nowMs - this.#lastFleetCheckMs
    if (elapsedMs < FLEET_CHECK_INTERVAL_MS) return
    this.#lastFleetCheckMs = nowMs
    this.#isPassDue = true
    // Heartbeats that arrived while this leader was delayed are still to be handled, so no worker counts as silent yet.
    if (elapsedMs < DELAYED_FLEET_CHECK_MS) this.#guard('gone_workers', () => { this.#reports.releaseGoneWorkers() })
    this.#guard('unsent_runs', () => { this.#moveUnsentRuns() })
    this.#guard('obstructed_runs', () => { this.#stopObstructedRuns() })
    this.#guard('zone_moves', () => { this.#zoneMoves.runIfDue() })
    this.#guard('evictions', () => { this.#evictRuns() })
    this.#guard('maintenance', () => { this.#beginDueMaintenance() })
    this.#guard('clean_up', () => { this.#removeStale() })
  }

  #removeStale (): void {
    const { state } = this.#options
    const isOpen = (stepKey: string): boolean => isStepOpen(state, stepKey)
    this.#tickets.retainSteps(isOpen)
    this.#advice.retainSteps(isOpen)
    this.#orders.removeCompletedStops()
    this.#assembly.removeOverdue()
    this.#brokenGangs.removeEnded()
    this.#reports.removeStale()
  }

  #evictRuns (): void {
    const { state, settings, clock } = this.#options
    const nowMs = clock.monotonicMs()
    for (const view of this.#registry.views()) {
      this.#evict(planEvictions(state, view, settings, nowMs, this.#policies))
    }
    for (const view of this.#maintenance.cordonedViews()) this.#drain(planDrain(state, view, nowMs, this.#policies))
  }

  #drain (planned: readonly Eviction[]): void {
    // Each eviction uses up the budget before the next one is checked.
    for (const eviction of planned) {
      if (this.#disruptionBudget.allowsStops([eviction.assignment])) this.#evict([eviction])
    }
  }

  #evict (evictions: readonly Eviction[]): void {
    for (const { assignment, ...details } of evictions) {
      if (this.#orders.isStopping(assignment)) continue
      const { taskKey, workerId } = assignment
      this.#options.log.info('run evicted', { taskKey, run: assignment.run, workerId, ...details })
      this.#stop(assignment)
    }
  }

  #beginDueMaintenance (): void {
    for (const call of this.#maintenance.startDueCalls()) {
      this.#effects.push({ kind: 'begin_maintenance', call, fencingToken: this.#options.term })
    }
  }

  /** Maintenance is recorded only once the platform has confirmed it. */
  #handleMaintenanceAnswer (call: MaintenanceCall, answer: MaintenanceAnswer): void {
    if (!this.#maintenance.recordAnswer(call, answer)) return
    this.#propose({ kind: 'maintenance_done', ...call }, () => {})
  }

  // Proposals

  #propose (command: BatchCommand, onSettled: (outcome: ProposalOutcome) => void): void {
    const proposalId = `${this.#options.term}-${++this.#proposalCount}`
    this.#pendingProposals.set(proposalId, onSettled)
    this.#effects.push({ kind: 'propose', proposalId, command })
  }

  #settle (proposalId: string, outcome: ProposalOutcome): void {
    const onSettled = this.#pendingProposals.get(proposalId)
    this.#pendingProposals.delete(proposalId)
    onSettled?.(outcome)
    if (outcome.kind === 'applied') this.#isPassDue = true
  }
}

/** The message of an error with the place where it occurred. */
function describeError (error: unknown): string {
  if (!(error instanceof Error)) return String(error)
  const place = error.stack?.split('\n').find(line => line.trimStart().startsWith('at '))?.trim() ?? ''
  return `${String(error)} ${place}`
}
