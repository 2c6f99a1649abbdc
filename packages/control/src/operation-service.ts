/** Operations of entry VMs. Reads are answered from the state, writes once their command is committed and applied. */
import { fail, failure, succeed, type Failure, type JobExplanation, type JobSpec } from '@comfreygrade/core'
import { isGrantable } from './claims.js'
import { isSameSpec, toJobView, type JobRecord } from './jobs.js'
import type { CommandResult, ControlCommand } from './commands.js'
import type { ControlAnswer, ControlOperation, ControlResult, WorkerView } from './operations.js'
import type { ControlEffect } from './orders.js'
import type { LeaderContext } from './leader-context.js'
import type { Proposal, WriteOperation } from './pending-proposals.js'
import type { SchedulerDriver } from './scheduler-driver.js'
import type { WorkerService } from './worker-service.js'

type OperationOf<Kind extends ControlOperation['kind']> = Extract<ControlOperation, { kind: Kind }>

/** Immediate outcome of an operation: an answer, a refusal, a command to propose, or an answer given later. */
type OperationDecision =
  | { readonly kind: 'answer', readonly answer: ControlAnswer }
  | { readonly kind: 'refuse', readonly failure: Failure }
  | { readonly kind: 'propose', readonly command: ControlCommand }
  | { readonly kind: 'later' }

/** Maximum attempts at a cancellation. An attempt fails if the job changes between the decision and its commit. */
const MAX_CANCEL_ATTEMPTS = 4

/** Handles the operations of one leader. */
export class OperationService {
  readonly #context: LeaderContext
  readonly #schedulerDriver: SchedulerDriver
  readonly #workers: WorkerService
  readonly #effects: ControlEffect[]

  constructor (
    context: LeaderContext,
    schedulerDriver: SchedulerDriver,
    workers: WorkerService,
    effects: ControlEffect[]
  ) {
    this.#context = context
    this.#schedulerDriver = schedulerDriver
    this.#workers = workers
    this.#effects = effects
  }

  handle (requestId: string, operation: ControlOperation, nowMs: number, attempt = 1): void {
    const decision = this.#decide(requestId, operation, nowMs)
    switch (decision.kind) {
      case 'answer': this.reply(requestId, succeed(decision.answer)); break
      case 'refuse': this.reply(requestId, { ok: false, failure: decision.failure }); break
      case 'propose': {
        // Only write operations lead to a proposal.
        const purpose = { kind: 'operation' as const, requestId, operation: operation as WriteOperation, attempt }
        this.#context.proposals.propose(decision.command, purpose, nowMs)
        break
      }
      case 'later': break
    }
  }

  /** Answers an operation whose command was committed, and accepted or refused by the state. */
  onCommitted ({ purpose, command }: Proposal, result: CommandResult, nowMs: number): void {
    if (purpose.kind !== 'operation') return
    const { requestId, operation, attempt } = purpose
    if (result.kind === 'refused') {
      if (command.kind === 'submit_job') this.#withdrawUnsubmitted(command.spec, nowMs)
      // For a job command, `stale_term` means that the job changed after the command was decided.
      const hasJobChanged = result.failure.kind === 'stale_term' && operation.kind === 'cancel_job'
      if (!hasJobChanged) this.reply(requestId, { ok: false, failure: result.failure })
      else if (attempt < MAX_CANCEL_ATTEMPTS) this.handle(requestId, operation, nowMs, attempt + 1)
      else this.reply(requestId, fail('control_unavailable', `the job changed during ${attempt} attempts to cancel it`))
      return
    }
    this.reply(requestId, succeed(this.#answerAccepted(operation, result)))
  }

  /** Answers an operation whose proposal was rejected. Unless `isNotApplied`, the command may still take effect. */
  onRejected ({ purpose, command }: Proposal, isNotApplied: boolean, nowMs: number): void {
    if (purpose.kind !== 'operation') return
    if (command.kind === 'submit_job') this.#withdrawUnsubmitted(command.spec, nowMs)
    const cause = isNotApplied
      ? failure('control_unavailable', 'leadership changed and the command was not applied')
      : failure('outcome_unknown', 'leadership changed before the command was known to be committed')
    this.reply(purpose.requestId, { ok: false, failure: cause })
  }

  reply (requestId: string, result: ControlResult): void {
    // Not `refusal`: the node that received the request counts the same operation under that name.
    if (!result.ok) this.#context.metrics.increment('control_refusal', { kind: result.failure.kind })
    this.#effects.push({ kind: 'reply', requestId, result })
  }

  #decide (requestId: string, operation: ControlOperation, nowMs: number): OperationDecision {
    switch (operation.kind) {
      case 'submit_job': return this.#submit(operation.spec, nowMs)
      case 'cancel_job': return this.#cancel(operation.jobId)
      case 'get_job': return this.#getJob(operation.jobId)
      case 'list_jobs': return this.#listJobs(operation)
      case 'explain_job': return this.#explain(operation.jobId, nowMs)
      case 'report_worker': return this.#reportWorker(requestId, operation, nowMs)
      case 'leave_worker': return this.#leaveWorker(operation.workerId)
      case 'apply_change': return this.#applyChange(operation)
      case 'get_configuration': return answer(this.#configuration())
      case 'get_configuration_status': return answer(this.#configurationStatus())
      case 'get_fleet': return answer(this.#fleet())
      case 'drain': return propose({ kind: 'set_drain', drain: operation.drain, isDraining: true })
      case 'undrain': return propose({ kind: 'set_drain', drain: operation.drain, isDraining: false })
      case 'claim_request': return this.#claim(operation)
      case 'settle_claim': return propose({ ...operation })
      case 'get_claim': return this.#getClaim(operation)
    }
  }

  /**
   * Refuses a job shape that the inventory cannot hold, so that it never enters the log. To check it, the job is queued
   * in the scheduler before its command is committed, and withdrawn if the command is refused or rejected.
   */
  #submit (spec: JobSpec, nowMs: number): OperationDecision {
    const existing = this.#context.state.job(spec.jobId)
    if (existing !== undefined) {
      return isSameSpec(existing.spec, spec)
        ? answer({ kind: 'job', job: toJobView(existing) })
        : refuseWith(failure('job_exists', `job ${spec.jobId} already exists with a different specification`))
    }
    if (!this.#context.state.configuration.organisations.has(spec.organisationId)) {
      return refuseWith(failure('unknown_organisation', `organisation ${spec.organisationId} is not in the inventory`))
    }
    const problem = this.#schedulerDriver.submit(spec, nowMs)
    return problem === undefined ? propose({ kind: 'submit_job', spec }) : refuseWith(problem)
  }

  #cancel (jobId: string): OperationDecision {
    const job = this.#context.state.job(jobId)
    if (job === undefined) return refuseWith(failure('not_found', `job ${jobId} does not exist`))
    const isEnding = job.phase === 'stopping' && job.stop?.then !== 'requeue'
    if (job.phase === 'ended' || isEnding) return answer({ kind: 'job', job: toJobView(job) })
    const { leaseId } = job
    const reason = 'cancelled by the caller'
    return job.phase === 'waiting'
      ? propose({ kind: 'end_job', jobId, leaseId, outcome: 'cancelled', reason })
      : propose({ kind: 'stop_job', jobId, leaseId, reason, isCheckpoint: false, then: 'cancelled' })
  }

  #getJob (jobId: string): OperationDecision {
    const job = this.#context.state.job(jobId)
    return job === undefined
      ? refuseWith(failure('not_found', `job ${jobId} does not exist`))
      : answer({ kind: 'job', job: toJobView(job) })
  }

  #listJobs ({ phase, organisationId, limit }: OperationOf<'list_jobs'>): OperationDecision {
    const jobs: JobRecord[] = []
    let total = 0
    for (const job of this.#jobsIn(phase)) {
      if (organisationId !== undefined && job.spec.organisationId !== organisationId) continue
      total += 1
      if (jobs.length < limit) jobs.push(job)
    }
    return answer({ kind: 'jobs', jobs: jobs.map(toJobView), total })
  }

  * #jobsIn (phase: JobRecord['phase'] | undefined): IterableIterator<JobRecord> {
    const { state } = this.#context
    if (phase === undefined) {
      yield * state.jobs()
      return
    }
    for (const jobId of state.jobIdsInPhase(phase)) {
      const job = state.job(jobId)
      if (job !== undefined) yield job
    }
  }

  #explain (jobId: string, nowMs: number): OperationDecision {
    const job = this.#context.state.job(jobId)
    if (job === undefined) return refuseWith(failure('not_found', `job ${jobId} does not exist`))
    const explanation = job.phase === 'ended' ? explainEndedJob(job) : this.#context.scheduler.explain(jobId, nowMs)
    return answer({ kind: 'explanation', explanation })
  }

  #reportWorker (requestId: string, { report }: OperationOf<'report_worker'>, nowMs: number): OperationDecision {
    const problem = this.#workers.onReport(report, nowMs)
    if (problem !== undefined) return refuseWith(problem)
    const lease = this.#workers.answerReport(requestId, report, nowMs)
    return lease === undefined ? { kind: 'later' } : answer(lease)
  }

  #leaveWorker (workerId: string): OperationDecision {
    const worker = this.#context.state.worker(workerId)
    if (worker === undefined) return refuseWith(failure('not_found', `worker ${workerId} is unknown`))
    return worker.state === 'draining'
      ? answer({ kind: 'done' })
      : propose({ kind: 'worker_state', ...worker, state: 'draining' })
  }

  #applyChange ({ change, isDryRun }: OperationOf<'apply_change'>): OperationDecision {
    const checked = this.#context.state.checkChange(change)
    if (checked.kind === 'refused') return refuseWith(checked.failure)
    if (isDryRun || checked.kind === 'repeated') {
      return answer({ kind: 'configuration_accepted', version: change.version, isDryRun })
    }
    return propose({ kind: 'apply_configuration', change })
  }

  #configuration (): ControlAnswer {
    const { version, document } = this.#context.state.configurationDocument()
    return { kind: 'configuration', version, document }
  }

  /** The node adapter adds the versions that entry VMs acknowledged. */
  #configurationStatus (): ControlAnswer {
    const { version } = this.#context.state.configuration
    return { kind: 'configuration_status', status: { version, isInForceEverywhere: false, nodes: [] } }
  }

  /** The node adapter adds the backend servers. */
  #fleet (): ControlAnswer {
    const report = this.#context.scheduler.report()
    const quarantined = new Set(report.quarantinedWorkerIds)
    const workers = [...this.#context.state.workers()].map((record): WorkerView => ({
      workerId: record.workerId,
      state: record.state === 'active' ? this.#activeState(record.workerId, quarantined) : record.state,
      address: record.address,
      tasks: this.#context.state.allocatedCells(record.workerId).length
    }))
    return { kind: 'fleet', report, workers, drains: this.#context.state.drains(), backendServers: [] }
  }

  #activeState (workerId: string, quarantined: ReadonlySet<string>): WorkerView['state'] {
    if (this.#context.state.hasDrain('worker', workerId)) return 'draining'
    return quarantined.has(workerId) ? 'quarantined' : 'active'
  }

  #claim (operation: OperationOf<'claim_request'>): OperationDecision {
    const { organisationId, key, digest, claimantId } = operation
    const { state } = this.#context
    const claim = state.claimView(organisationId, key)
    const existing = state.claim(organisationId, key)
    const isFree = existing === undefined || (existing.digest === digest && isGrantable(existing, claimantId))
    if (claim === undefined || isFree) {
      const problem = state.checkKey(key)
      return problem === undefined ? propose({ ...operation }) : refuseWith(problem)
    }
    return existing.digest === digest
      ? answer({ kind: 'claim', granted: false, claim })
      : refuseWith(failure('key_reused', `idempotency key ${key} was already used for a request with different content`))
  }

  #getClaim ({ organisationId, key }: OperationOf<'get_claim'>): OperationDecision {
    const claim = this.#context.state.claimView(organisationId, key)
    if (claim !== undefined) return answer({ kind: 'claim', granted: false, claim })
    return refuseWith(this.#context.state.checkKey(key) ?? failure('not_found', `claim ${key} does not exist`))
  }

  #answerAccepted (operation: WriteOperation, result: CommandResult): ControlAnswer {
    switch (operation.kind) {
      case 'submit_job': return this.#jobAnswer(operation.spec.jobId)
      case 'cancel_job': return this.#jobAnswer(operation.jobId)
      case 'apply_change': return { kind: 'configuration_accepted', version: operation.change.version, isDryRun: false }
      case 'claim_request':
        return result.kind === 'claimed'
          ? { kind: 'claim', granted: result.granted, claim: result.claim }
          : { kind: 'done' }
      default: return { kind: 'done' }
    }
  }

  #jobAnswer (jobId: string): ControlAnswer {
    const job = this.#context.state.job(jobId)
    return job === undefined ? { kind: 'done' } : { kind: 'job', job: toJobView(job) }
  }

  #withdrawUnsubmitted ({ jobId }: JobSpec, nowMs: number): void {
    if (this.#context.state.job(jobId) === undefined) this.#schedulerDriver.remove(jobId, false, nowMs)
  }
}

function answer (value: ControlAnswer): OperationDecision {
  return { kind: 'answer', answer: value }
}

function refuseWith (cause: Failure): OperationDecision {
  return { kind: 'refuse', failure: cause }
}

function propose (command: ControlCommand): OperationDecision {
  return { kind: 'propose', command }
}

/** The states of an explanation include no end other than a refusal; any other outcome is only in the reason. */
function explainEndedJob ({ spec, outcome, detail }: JobRecord): JobExplanation {
  return {
    jobId: spec.jobId,
    state: outcome === 'refused' ? 'refused' : 'unknown',
    reason: `the job ended as ${outcome ?? 'unknown'}: ${detail}`,
    queuePosition: 0,
    blockedByJobIds: []
  }
}
