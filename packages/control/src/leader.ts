/** The control leader: one instance per term, which handles events and returns effects. */
import { DeadlineQueue, earliest, type EventLog, type Metrics } from '@comfreygrade/core'
import type { PlacementDecision } from '@comfreygrade/placement'
import { GangLifeCycle } from './gang-life-cycle.js'
import { OperationService } from './operation-service.js'
import { OrderOutbox, type OrderOutcome } from './order-outbox.js'
import { PendingProposals, type Proposal } from './pending-proposals.js'
import { SchedulerDriver } from './scheduler-driver.js'
import { WorkerAvailability } from './worker-availability.js'
import { WorkerSessions } from './worker-sessions.js'
import { WorkerService } from './worker-service.js'
import type { CommandResult, ControlCommand } from './commands.js'
import type { ControlEffect, ControlEvent } from './orders.js'
import type { JobRecord } from './jobs.js'
import type { JobScheduler } from './ports.js'
import type { LeaderContext } from './leader-context.js'
import type { ControlSettings } from './settings.js'
import type { ControlState } from './state.js'

/** Dependencies of a leader. The scheduler must be empty: the leader initialises it from the state. */
export interface ControlLeaderOptions {
  readonly term: number
  /** Contains every entry that was committed before this term. */
  readonly state: ControlState
  readonly scheduler: JobScheduler
  readonly settings: ControlSettings
  readonly metrics: Metrics
  readonly log: EventLog
}

type AppliedEvent = Extract<ControlEvent, { kind: 'applied' }>

/**
 * Leads the control nodes for one term. The adapter first applies each committed entry to the state and then passes it
 * to the leader as an `applied` event, in log order and regardless of who proposed it.
 *
 * @example
 * const leader = new ControlLeader({ term, state, scheduler, settings, metrics, log })
 * const effects = leader.handle({ kind: 'tick' }, clock.monotonicMs())
 */
export class ControlLeader {
  readonly #context: LeaderContext
  readonly #effects: ControlEffect[] = []
  readonly #schedulerDriver: SchedulerDriver
  readonly #availability: WorkerAvailability
  readonly #gangs: GangLifeCycle
  readonly #workers: WorkerService
  readonly #operations: OperationService
  /** Waiting jobs whose proposed end was rejected or refused, with the time at which they are reconsidered. */
  readonly #endRetries = new DeadlineQueue()
  #isStarted = false
  #nextClockAtMs = 0

  constructor (options: ControlLeaderOptions) {
    const { term, settings } = options
    const sessions = new WorkerSessions(settings)
    const outbox = new OrderOutbox(term, settings, workerId => sessions.find(workerId))
    this.#context = { ...options, proposals: new PendingProposals(term, this.#effects), outbox, sessions }
    this.#schedulerDriver = new SchedulerDriver(this.#context)
    this.#availability = new WorkerAvailability(this.#context, this.#schedulerDriver)
    this.#gangs = new GangLifeCycle(this.#context, this.#schedulerDriver, this.#availability)
    this.#workers = new WorkerService(this.#context, this.#gangs, this.#availability)
    this.#operations = new OperationService(this.#context, this.#schedulerDriver, this.#workers, this.#effects)
  }

  /** Handles an event and returns the effects to perform, in order. The first event starts the term. */
  handle (event: ControlEvent, nowMs: number): ControlEffect[] {
    if (!this.#isStarted) this.#start(nowMs)
    this.#dispatch(event, nowMs)
    this.#tick(nowMs)
    return this.#takeEffects(nowMs)
  }

  /** Returns the time at which the leader needs a `tick` unless it handles another event before. */
  nextWakeAtMs (): number {
    if (!this.#isStarted) return 0
    return earliest([
      this.#nextClockAtMs,
      this.#schedulerDriver.nextWakeAtMs(),
      this.#availability.nextWakeAtMs(),
      this.#gangs.nextWakeAtMs(),
      this.#endRetries.earliestDeadlineMs(),
      this.#workers.nextWakeAtMs(),
      this.#context.outbox.nextWakeAtMs()
    ]) ?? this.#nextClockAtMs
  }

  /** Ends the term by answering every pending request. The leader must not be used afterwards. */
  close (nowMs: number): ControlEffect[] {
    for (const proposal of this.#context.proposals.takeAll()) this.#operations.onRejected(proposal, false, nowMs)
    this.#refusePendingReports()
    return this.#effects.splice(0)
  }

  #start (nowMs: number): void {
    this.#isStarted = true
    this.#nextClockAtMs = nowMs + this.#context.settings.clockIntervalMs
    const { state, scheduler, log, term } = this.#context
    log.info('control term started', { term, version: state.configuration.version })
    scheduler.applyConfiguration(state.configuration)
    this.#workers.start(nowMs)
    for (const phase of ['preparing', 'starting', 'running', 'stopping'] as const) {
      for (const job of this.#jobsInPhase(phase)) {
        this.#schedulerDriver.onPlaced(job, nowMs)
        this.#gangs.resume(job, nowMs)
      }
    }
    for (const job of this.#jobsInPhase('waiting')) this.#enqueue(job, nowMs)
    this.#workers.markTasksOfLostWorkersReleased(nowMs)
  }

  #jobsInPhase (phase: JobRecord['phase']): JobRecord[] {
    const { state } = this.#context
    const jobs = [...state.jobIdsInPhase(phase)].map(jobId => state.job(jobId)).filter(job => job !== undefined)
    return jobs.sort((left, right) => left.submittedLogMs - right.submittedLogMs)
  }

  #dispatch (event: ControlEvent, nowMs: number): void {
    const { outbox } = this.#context
    switch (event.kind) {
      case 'operation': this.#operations.handle(event.requestId, event.operation, nowMs); break
      case 'applied': this.#onCommitted(event, nowMs); break
      case 'proposal_rejected': this.#onProposalRejected(event.proposalId, event.outcome === 'not_applied', nowMs); break
      case 'orders_answered': this.#onOrderOutcomes(outbox.onAnswered(event.messageId, event.results, nowMs), nowMs); break
      case 'orders_failed': this.#onOrderOutcomes(outbox.onFailed(event.messageId, nowMs), nowMs); break
      case 'worker_reported': this.#workers.onReport(event.report, nowMs); break
      case 'tick': break
    }
  }

  #tick (nowMs: number): void {
    this.#onOrderOutcomes(this.#context.outbox.tick(nowMs), nowMs)
    this.#workers.tick(nowMs)
    this.#gangs.tick(nowMs)
    this.#availability.tick(nowMs)
    for (const jobId of this.#endRetries.takeDue(nowMs)) this.#resyncScheduler(jobId, nowMs)
    for (const decision of this.#schedulerDriver.runPass(nowMs)) this.#executeDecision(decision, nowMs)
    if (nowMs < this.#nextClockAtMs) return
    this.#context.proposals.propose({ kind: 'clock' }, { kind: 'clock' }, nowMs)
    this.#nextClockAtMs = nowMs + this.#context.settings.clockIntervalMs
  }

  #takeEffects (nowMs: number): ControlEffect[] {
    for (const effect of this.#context.outbox.flush(nowMs)) this.#effects.push(effect)
    return this.#effects.splice(0)
  }

  #onOrderOutcomes (outcomes: readonly OrderOutcome[], nowMs: number): void {
    for (const outcome of outcomes) this.#gangs.onOrderOutcome(outcome, nowMs)
  }

  #executeDecision (decision: PlacementDecision, nowMs: number): void {
    const { jobId } = decision
    const { proposals } = this.#context
    switch (decision.kind) {
      case 'place':
        proposals.propose({ kind: 'place_job', jobId, placement: decision.placement }, { kind: 'placement', jobId }, nowMs)
        break
      case 'reclaim': {
        const isCheckpoint = decision.method === 'checkpoint'
        this.#gangs.requestStop(jobId, { reason: decision.reason, isCheckpoint, goal: 'requeue' }, true, nowMs)
        break
      }
      case 'stop': {
        const goal = decision.failure.kind === 'impossible_shape' ? 'refused' : 'failed'
        const request = { reason: decision.failure.detail, isCheckpoint: false, goal } as const
        if (!this.#gangs.requestStop(jobId, request, false, nowMs)) this.#proposeEnd(jobId, goal, request.reason, nowMs)
        break
      }
    }
  }

  #proposeEnd (jobId: string, outcome: 'refused' | 'failed', reason: string, nowMs: number): void {
    const command: ControlCommand = { kind: 'end_job', jobId, leaseId: 0, outcome, reason }
    this.#context.proposals.propose(command, { kind: 'end_waiting_job', jobId }, nowMs)
  }

  #onCommitted ({ proposalId, index, command, result }: AppliedEvent, nowMs: number): void {
    this.#nextClockAtMs = nowMs + this.#context.settings.clockIntervalMs
    const proposal = this.#context.proposals.take(proposalId)
    if (result.kind !== 'refused') this.#onCommandAccepted(command, index, nowMs)
    if (proposal === undefined) return
    this.#onProposalCommitted(proposal, result, nowMs)
    const isProof = proposal.purpose.kind === 'proof'
    for (const { requestId, result: lease } of this.#workers.onCommitted(proposal.proposedAtMs, isProof, nowMs)) {
      this.#operations.reply(requestId, lease)
    }
  }

  /**
   * Reacts to a committed command that the state accepted. Later entries may already be applied, so the current phase
   * of the job decides.
   */
  #onCommandAccepted (command: ControlCommand, index: number, nowMs: number): void {
    switch (command.kind) {
      case 'apply_configuration': this.#onConfigurationChanged(command, nowMs); break
      case 'worker_state': this.#workers.onWorkerChanged(command.workerId, nowMs); break
      case 'set_drain': if (command.drain.kind === 'worker') this.#workers.onWorkerChanged(command.drain.id, nowMs); break
      case 'submit_job': case 'place_job': case 'start_job': case 'job_running': case 'stop_job': case 'requeue_job':
      case 'end_job': this.#onJobChanged(command, index, nowMs); break
    }
  }

  /** The type matches the kinds of all commands about a job, such as `submit_job` and `job_running`. */
  #onJobChanged (command: Extract<ControlCommand, { kind: `${string}job${string}` }>, index: number, nowMs: number): void {
    const jobId = command.kind === 'submit_job' ? command.spec.jobId : command.jobId
    if (command.kind === 'end_job' || command.kind === 'requeue_job') this.#gangs.onCellsFreed(jobId, nowMs)
    const job = this.#context.state.job(jobId)
    if (job === undefined) return
    switch (command.kind) {
      case 'submit_job': case 'requeue_job': if (job.phase === 'waiting') this.#enqueue(job, nowMs); break
      case 'place_job': if (job.leaseId === index) this.#onPlaced(job, nowMs); break
      case 'start_job': if (job.phase === 'starting') this.#gangs.onStartCommitted(job, nowMs); break
      case 'stop_job': if (job.phase === 'stopping') this.#gangs.onStopCommitted(job, nowMs); break
      case 'job_running': case 'end_job': break
    }
  }

  #onPlaced (job: JobRecord, nowMs: number): void {
    this.#schedulerDriver.onPlaced(job, nowMs)
    this.#gangs.onPlaced(job, nowMs)
  }

  /** Queues a waiting job in the scheduler; a job that no longer fits the inventory is ended. */
  #enqueue (job: JobRecord, nowMs: number): void {
    const problem = this.#schedulerDriver.submit(job.spec, nowMs)
    if (problem !== undefined) this.#proposeEnd(job.spec.jobId, 'refused', problem.detail, nowMs)
  }

  #onConfigurationChanged ({ change }: Extract<ControlCommand, { kind: 'apply_configuration' }>, nowMs: number): void {
    const { scheduler, state, log } = this.#context
    log.info('configuration in force', { version: change.version })
    scheduler.applyConfiguration(state.configuration)
    this.#schedulerDriver.requestPass()
    for (const { kind, id } of change.removes) {
      if (kind === 'worker') this.#workers.onWorkerRemoved(id, nowMs)
    }
  }

  #onProposalCommitted (proposal: Proposal, result: CommandResult, nowMs: number): void {
    const { purpose } = proposal
    const isAccepted = result.kind !== 'refused'
    switch (purpose.kind) {
      case 'operation': this.#operations.onCommitted(proposal, result, nowMs); break
      case 'gang': this.#gangs.onProposalSettled(purpose.jobId, purpose.leaseId, isAccepted, nowMs); break
      case 'placement': if (!isAccepted) this.#resyncScheduler(purpose.jobId, nowMs); break
      case 'worker': this.#workers.onProposalSettled(purpose.workerId, isAccepted, nowMs); break
      case 'end_waiting_job': if (!isAccepted) this.#endRetries.set(purpose.jobId, this.#retryAtMs(nowMs)); break
      case 'proof': case 'clock': break
    }
  }

  #onProposalRejected (proposalId: string, isNotApplied: boolean, nowMs: number): void {
    const proposal = this.#context.proposals.take(proposalId)
    if (proposal === undefined) return
    const { purpose } = proposal
    switch (purpose.kind) {
      case 'operation': this.#operations.onRejected(proposal, isNotApplied, nowMs); break
      case 'gang': this.#gangs.onProposalSettled(purpose.jobId, purpose.leaseId, false, nowMs); break
      case 'placement': this.#resyncScheduler(purpose.jobId, nowMs); break
      case 'worker': this.#workers.onProposalSettled(purpose.workerId, false, nowMs); break
      case 'end_waiting_job': this.#endRetries.set(purpose.jobId, this.#retryAtMs(nowMs)); break
      case 'proof': this.#refusePendingReports(); break
      case 'clock': break
    }
  }

  /**
   * Replaces what the scheduler knows of a job by the state, after a proposal for the job was rejected or refused. The
   * job usually waits again, but a placement that was reported as rejected may have been committed after all.
   */
  #resyncScheduler (jobId: string, nowMs: number): void {
    const job = this.#context.state.job(jobId)
    this.#schedulerDriver.remove(jobId, false, nowMs)
    if (job?.phase === 'waiting') this.#enqueue(job, nowMs)
    else if (job !== undefined) this.#schedulerDriver.onPlaced(job, nowMs)
  }

  #retryAtMs (nowMs: number): number {
    return nowMs + this.#context.settings.proposalRetryMs
  }

  #refusePendingReports (): void {
    for (const requestId of this.#workers.takePendingRequestIds()) {
      const failure = { kind: 'control_unavailable' as const, detail: 'leadership could not be proven' }
      this.#operations.reply(requestId, { ok: false, failure })
    }
  }
}
