/** The control leader: one per term, fed with events, answering with effects. */
import type { EventLog, Metrics } from '@comfreygrade/core'
import type { PlacementDecision } from '@comfreygrade/placement'
import { DeadlineQueue, earliest } from './deadline-queue.js'
import { GangLifeCycle } from './gang-life-cycle.js'
import { OperationService } from './operation-service.js'
import { OrderOutbox, type OrderOutcome } from './order-outbox.js'
import { Proposals, type Proposal } from './proposals.js'
import { Scheduling } from './scheduling.js'
import { WorkerAvailability } from './worker-availability.js'
import { WorkerLeases } from './worker-leases.js'
import { WorkerService } from './worker-service.js'
import type { CommandResult, ControlCommand } from './commands.js'
import type { ControlEffect, ControlEvent } from './orders.js'
import type { JobRecord } from './jobs.js'
import type { JobScheduler } from './ports.js'
import type { LeaderContext } from './leader-context.js'
import type { ControlSettings } from './settings.js'
import type { ControlState } from './state.js'

/** What a leader needs. The scheduler is a new one: the leader fills it from the state. */
export interface ControlLeaderOptions {
  readonly term: number
  /** Holds every entry that was committed before this term. */
  readonly state: ControlState
  readonly scheduler: JobScheduler
  readonly settings: ControlSettings
  readonly metrics: Metrics
  readonly log: EventLog
}

type AppliedEvent = Extract<ControlEvent, { kind: 'applied' }>

/**
 * Leads one term. The adapter applies each committed entry to the state first and then passes it on as `applied`, in
 * the order of the log and whoever proposed it.
 *
 * @example
 * const leader = new ControlLeader({ term, state, scheduler, settings, metrics, log })
 * const effects = leader.handle({ kind: 'tick' }, clock.monotonicMs())
 */
export class ControlLeader {
  readonly #context: LeaderContext
  readonly #effects: ControlEffect[] = []
  readonly #scheduling: Scheduling
  readonly #availability: WorkerAvailability
  readonly #gangs: GangLifeCycle
  readonly #workers: WorkerService
  readonly #operations: OperationService
  /** Waiting jobs whose end was proposed and not committed. */
  readonly #waitingRetries = new DeadlineQueue()
  #isStarted = false
  #clockAtMs = 0

  constructor (options: ControlLeaderOptions) {
    const { term, settings } = options
    const leases = new WorkerLeases(settings)
    const outbox = new OrderOutbox(term, settings, workerId => leases.get(workerId))
    this.#context = { ...options, proposals: new Proposals(term, this.#effects), outbox, leases }
    this.#scheduling = new Scheduling(this.#context)
    this.#availability = new WorkerAvailability(this.#context, this.#scheduling)
    this.#gangs = new GangLifeCycle(this.#context, this.#scheduling, this.#availability)
    this.#workers = new WorkerService(this.#context, this.#gangs, this.#availability)
    this.#operations = new OperationService(this.#context, this.#scheduling, this.#workers, this.#effects)
  }

  /** Takes in one event and gives what has to be done, in order. The term starts with the first event. */
  handle (event: ControlEvent, nowMs: number): ControlEffect[] {
    if (!this.#isStarted) this.#start(nowMs)
    this.#dispatch(event, nowMs)
    this.#tick(nowMs)
    return this.#takeEffects(nowMs)
  }

  /** Time at which the leader wants a `tick` unless another event comes first. */
  nextWakeAtMs (): number {
    if (!this.#isStarted) return 0
    return earliest([
      this.#clockAtMs,
      this.#scheduling.nextAtMs(),
      this.#availability.nextAtMs(),
      this.#gangs.nextAtMs(),
      this.#waitingRetries.nextAtMs(),
      this.#workers.nextAtMs(),
      this.#context.outbox.nextAtMs()
    ]) ?? this.#clockAtMs
  }

  /** Ends the term: everything that waits for an answer gets one. The leader is not used afterwards. */
  close (nowMs: number): ControlEffect[] {
    for (const proposal of this.#context.proposals.takeAll()) this.#operations.rejected(proposal, false, nowMs)
    this.#refuseUnproven()
    return this.#effects.splice(0)
  }

  #start (nowMs: number): void {
    this.#isStarted = true
    this.#clockAtMs = nowMs + this.#context.settings.clockIntervalMs
    const { state, scheduler, log, term } = this.#context
    log.info('control term started', { term, version: state.configuration.version })
    scheduler.applyConfiguration(state.configuration)
    this.#workers.start(nowMs)
    for (const phase of ['preparing', 'starting', 'running', 'stopping'] as const) {
      for (const job of this.#jobsInPhase(phase)) {
        this.#scheduling.placed(job, nowMs)
        this.#gangs.resume(job, nowMs)
      }
    }
    for (const job of this.#jobsInPhase('waiting')) this.#wait(job, nowMs)
    this.#workers.dropTasksOfLostWorkers(nowMs)
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
      case 'applied': this.#applied(event, nowMs); break
      case 'proposal_rejected': this.#rejected(event.proposalId, event.outcome === 'not_applied', nowMs); break
      case 'orders_answered': this.#ordersEnded(outbox.answered(event.orderId, event.results, nowMs), nowMs); break
      case 'orders_failed': this.#ordersEnded(outbox.failed(event.orderId, nowMs), nowMs); break
      case 'worker_reported': this.#workers.observe(event.report, nowMs); break
      case 'tick': break
    }
  }

  #tick (nowMs: number): void {
    this.#ordersEnded(this.#context.outbox.tick(nowMs), nowMs)
    this.#workers.tick(nowMs)
    this.#gangs.tick(nowMs)
    this.#availability.tick(nowMs)
    for (const jobId of this.#waitingRetries.takeDue(nowMs)) this.#notPlaced(jobId, nowMs)
    for (const decision of this.#scheduling.pass(nowMs)) this.#decided(decision, nowMs)
    if (nowMs < this.#clockAtMs) return
    this.#context.proposals.propose({ kind: 'clock' }, { kind: 'clock' }, nowMs)
    this.#clockAtMs = nowMs + this.#context.settings.clockIntervalMs
  }

  #takeEffects (nowMs: number): ControlEffect[] {
    for (const effect of this.#context.outbox.flush(nowMs)) this.#effects.push(effect)
    return this.#effects.splice(0)
  }

  #ordersEnded (outcomes: readonly OrderOutcome[], nowMs: number): void {
    for (const outcome of outcomes) this.#gangs.orderEnded(outcome, nowMs)
  }

  #decided (decision: PlacementDecision, nowMs: number): void {
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
        const intent = { reason: decision.failure.detail, isCheckpoint: false, goal } as const
        if (!this.#gangs.requestStop(jobId, intent, false, nowMs)) this.#endWaiting(jobId, goal, intent.reason, nowMs)
        break
      }
    }
  }

  #endWaiting (jobId: string, outcome: 'refused' | 'failed', reason: string, nowMs: number): void {
    const command: ControlCommand = { kind: 'end_job', jobId, leaseId: 0, outcome, reason }
    this.#context.proposals.propose(command, { kind: 'waiting_job', jobId }, nowMs)
  }

  #applied ({ proposalId, index, command, result }: AppliedEvent, nowMs: number): void {
    this.#clockAtMs = nowMs + this.#context.settings.clockIntervalMs
    const proposal = this.#context.proposals.take(proposalId)
    if (result.kind !== 'refused') this.#takeEffect(command, index, nowMs)
    if (proposal === undefined) return
    this.#proposalEnded(proposal, result, nowMs)
    const isProof = proposal.purpose.kind === 'proof'
    for (const { requestId, result: lease } of this.#workers.proven(proposal.proposedAtMs, isProof, nowMs)) {
      this.#operations.reply(requestId, lease)
    }
  }

  /** Follows a committed command. Later entries may have been applied already, so the job's present phase counts. */
  #takeEffect (command: ControlCommand, index: number, nowMs: number): void {
    switch (command.kind) {
      case 'apply_configuration': this.#configurationChanged(command, nowMs); break
      case 'worker_state': this.#workers.changed(command.workerId, nowMs); break
      case 'set_drain': if (command.drain.kind === 'worker') this.#workers.changed(command.drain.id, nowMs); break
      case 'submit_job': case 'place_job': case 'start_job': case 'job_running': case 'stop_job': case 'requeue_job':
      case 'end_job': this.#jobChanged(command, index, nowMs); break
    }
  }

  #jobChanged (command: Extract<ControlCommand, { kind: `${string}job${string}` }>, index: number, nowMs: number): void {
    const jobId = command.kind === 'submit_job' ? command.spec.jobId : command.jobId
    if (command.kind === 'end_job' || command.kind === 'requeue_job') this.#gangs.released(jobId, nowMs)
    const job = this.#context.state.job(jobId)
    if (job === undefined) return
    switch (command.kind) {
      case 'submit_job': case 'requeue_job': if (job.phase === 'waiting') this.#wait(job, nowMs); break
      case 'place_job': if (job.leaseId === index) this.#placed(job, nowMs); break
      case 'start_job': if (job.phase === 'starting') this.#gangs.started(job, nowMs); break
      case 'stop_job': if (job.phase === 'stopping') this.#gangs.stopping(job, nowMs); break
      case 'job_running': case 'end_job': break
    }
  }

  #placed (job: JobRecord, nowMs: number): void {
    this.#scheduling.placed(job, nowMs)
    this.#gangs.placed(job, nowMs)
  }

  /** Lets a job wait; one that the inventory cannot hold any more is ended. */
  #wait (job: JobRecord, nowMs: number): void {
    const problem = this.#scheduling.submit(job.spec, nowMs)
    if (problem !== undefined) this.#endWaiting(job.spec.jobId, 'refused', problem.detail, nowMs)
  }

  #configurationChanged ({ change }: Extract<ControlCommand, { kind: 'apply_configuration' }>, nowMs: number): void {
    const { scheduler, state, log } = this.#context
    log.info('configuration in force', { version: change.version })
    scheduler.applyConfiguration(state.configuration)
    this.#scheduling.markChanged()
    for (const { kind, id } of change.removes) {
      if (kind === 'worker') this.#workers.removed(id, nowMs)
    }
  }

  #proposalEnded (proposal: Proposal, result: CommandResult, nowMs: number): void {
    const { purpose } = proposal
    const isDone = result.kind !== 'refused'
    switch (purpose.kind) {
      case 'operation': this.#operations.applied(proposal, result, nowMs); break
      case 'gang': this.#gangs.proposalEnded(purpose.jobId, purpose.leaseId, isDone, nowMs); break
      case 'placement': if (!isDone) this.#notPlaced(purpose.jobId, nowMs); break
      case 'worker': this.#workers.proposalEnded(purpose.workerId, isDone, nowMs); break
      case 'waiting_job': if (!isDone) this.#waitingRetries.set(purpose.jobId, this.#retryAtMs(nowMs)); break
      case 'proof': case 'clock': break
    }
  }

  #rejected (proposalId: string, isCertain: boolean, nowMs: number): void {
    const proposal = this.#context.proposals.take(proposalId)
    if (proposal === undefined) return
    const { purpose } = proposal
    switch (purpose.kind) {
      case 'operation': this.#operations.rejected(proposal, isCertain, nowMs); break
      case 'gang': this.#gangs.proposalEnded(purpose.jobId, purpose.leaseId, false, nowMs); break
      case 'placement': this.#notPlaced(purpose.jobId, nowMs); break
      case 'worker': this.#workers.proposalEnded(purpose.workerId, false, nowMs); break
      case 'waiting_job': this.#waitingRetries.set(purpose.jobId, this.#retryAtMs(nowMs)); break
      case 'proof': this.#refuseUnproven(); break
      case 'clock': break
    }
  }

  /**
   * Puts a job whose placement did not take effect back among the waiting ones, or at the placement that did: one that
   * was taken for rejected may have been committed after all.
   */
  #notPlaced (jobId: string, nowMs: number): void {
    const job = this.#context.state.job(jobId)
    this.#scheduling.left(jobId, false, nowMs)
    if (job?.phase === 'waiting') this.#wait(job, nowMs)
    else if (job !== undefined) this.#scheduling.placed(job, nowMs)
  }

  #retryAtMs (nowMs: number): number {
    return nowMs + this.#context.settings.proposalRetryMs
  }

  #refuseUnproven (): void {
    for (const requestId of this.#workers.takeUnproven()) {
      const failure = { kind: 'control_unavailable' as const, detail: 'leadership could not be proven' }
      this.#operations.reply(requestId, { ok: false, failure })
    }
  }
}
