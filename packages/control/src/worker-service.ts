/** Handling of worker reports: leases, restarts, lost workers and the resulting changes of the replicated state. */
import { DeadlineQueue, earliest, failure, type Failure, type TaskReport, type WorkerReport } from '@comfreygrade/core'
import { taskReportKey, type GangLifeCycle } from './gang-life-cycle.js'
import { LeadershipProof } from './leadership-proof.js'
import type { ControlAnswer, ControlResult } from './operations.js'
import type { LeaderContext } from './leader-context.js'
import type { ReportFreshness, WorkerSession } from './worker-sessions.js'
import type { WorkerAvailability } from './worker-availability.js'
import type { WorkerRecord } from './workers.js'

/** Report that is answered once leadership is proven. */
interface PendingReport {
  readonly requestId: string
  readonly report: WorkerReport
  readonly receivedAtMs: number
}

/** Manages the workers of one leader. */
export class WorkerService {
  readonly #context: LeaderContext
  readonly #gangs: GangLifeCycle
  readonly #availability: WorkerAvailability
  readonly #proof: LeadershipProof
  readonly #pendingProposals = new Set<string>()
  readonly #proposalRetries = new DeadlineQueue()
  #pendingReports: PendingReport[] = []
  #isProofInFlight = false

  constructor (context: LeaderContext, gangs: GangLifeCycle, availability: WorkerAvailability) {
    this.#context = context
    this.#gangs = gangs
    this.#availability = availability
    this.#proof = new LeadershipProof(context.settings.leadershipValidMs)
  }

  /** Takes over the workers in the state. Leases that former leaders granted are counted from now. */
  start (nowMs: number): void {
    for (const record of this.#context.state.workers()) {
      this.#context.sessions.adopt(record, nowMs)
      this.#availability.refresh(record.workerId, nowMs)
    }
  }

  /** Marks the tasks on workers that are recorded as lost as released. Must be called after the gangs are resumed. */
  markTasksOfLostWorkersReleased (nowMs: number): void {
    for (const { workerId, state } of this.#context.state.workers()) {
      if (state === 'lost') this.#gangs.onWorkerGone(workerId, `worker ${workerId} is lost`, nowMs)
    }
  }

  /** Handles a report; returns why it is refused, or undefined if it is accepted. */
  onReport (report: WorkerReport, nowMs: number): Failure | undefined {
    const { workerId, incarnation } = report
    const { state, sessions } = this.#context
    if (!state.configuration.workers.has(workerId) && state.worker(workerId) === undefined) {
      return failure('not_found', `worker ${workerId} is not in the inventory`)
    }
    const hadLease = sessions.find(workerId)?.hasLease ?? false
    const freshness = sessions.renewLease(report, nowMs)
    if (freshness === 'old_incarnation') {
      return failure('stale_term', `worker ${workerId} has a later incarnation than ${incarnation}`)
    }
    if (freshness !== 'old_sequence') this.#processReport(report, freshness, hadLease, nowMs)
    return undefined
  }

  /** Returns a lease for a report, or undefined if the answer has to wait until leadership is proven. */
  answerReport (requestId: string, report: WorkerReport, nowMs: number): ControlAnswer | undefined {
    if (this.#proof.isValid(nowMs, nowMs)) return this.#grantLease(report)
    this.#pendingReports.push({ requestId, report, receivedAtMs: nowMs })
    this.#proposeProof(nowMs)
    return undefined
  }

  /**
   * Handles the commit of a proposal of this leader, which proves leadership even if the state refused its command.
   * Returns the answers to reports that the proof makes possible.
   */
  onCommitted (
    proposedAtMs: number,
    isProof: boolean,
    nowMs: number
  ): Array<{ requestId: string, result: ControlResult }> {
    this.#proof.recordCommit(proposedAtMs)
    if (isProof) this.#isProofInFlight = false
    const pending = this.#pendingReports
    this.#pendingReports = pending.filter(({ receivedAtMs }) => !this.#proof.isValid(receivedAtMs, nowMs))
    if (this.#pendingReports.length > 0) this.#proposeProof(nowMs)
    return pending
      .filter(({ receivedAtMs }) => this.#proof.isValid(receivedAtMs, nowMs))
      .map(({ requestId, report }) => ({ requestId, result: { ok: true, value: this.#grantLease(report) } }))
  }

  /** Removes the pending reports because leadership could not be proven; returns the IDs of their requests. */
  takePendingRequestIds (): string[] {
    const requestIds = this.#pendingReports.map(({ requestId }) => requestId)
    this.#pendingReports = []
    this.#isProofInFlight = false
    return requestIds
  }

  /** Handles a committed change of a worker. */
  onWorkerChanged (workerId: string, nowMs: number): void {
    this.#availability.refresh(workerId, nowMs)
    this.#reconcile(workerId, nowMs)
  }

  /** Handles the outcome of a proposed change of a worker. One that is rejected or refused is retried after a delay. */
  onProposalSettled (workerId: string, isAccepted: boolean, nowMs: number): void {
    this.#pendingProposals.delete(workerId)
    if (isAccepted) this.#reconcile(workerId, nowMs)
    else this.#proposalRetries.set(workerId, nowMs + this.#context.settings.proposalRetryMs)
  }

  /**
   * Handles the removal of a worker from the inventory. Its gangs are stopped in an orderly way, with a checkpoint
   * where the job supports one, because their cells may be allocated again.
   */
  onWorkerRemoved (workerId: string, nowMs: number): void {
    this.#availability.refresh(workerId, nowMs)
    for (const { jobId } of this.#context.state.allocatedCells(workerId)) {
      const request = { reason: `worker ${workerId} was removed from the inventory`, isCheckpoint: true, goal: 'requeue' as const }
      this.#gangs.requestStop(jobId, request, false, nowMs)
    }
    if (this.#context.state.worker(workerId) === undefined) this.#context.sessions.remove(workerId)
  }

  tick (nowMs: number): void {
    for (const session of this.#context.sessions.endExpiredLeases(nowMs)) this.#onLeaseExpired(session, nowMs)
    for (const workerId of this.#proposalRetries.takeDue(nowMs)) this.#reconcile(workerId, nowMs)
  }

  nextWakeAtMs (): number | undefined {
    return earliest([this.#context.sessions.nextWakeAtMs(), this.#proposalRetries.earliestDeadlineMs()])
  }

  #proposeProof (nowMs: number): void {
    if (this.#isProofInFlight) return
    this.#isProofInFlight = true
    this.#context.proposals.propose({ kind: 'clock' }, { kind: 'proof' }, nowMs)
  }

  #processReport (report: WorkerReport, freshness: ReportFreshness, hadLease: boolean, nowMs: number): void {
    const { workerId, incarnation } = report
    if (freshness === 'new_incarnation') {
      this.#context.log.info('worker restarted', { workerId, incarnation })
      this.#context.outbox.dropWorker(workerId)
      this.#gangs.onWorkerGone(workerId, `worker ${workerId} restarted`, nowMs)
    }
    const reports = new Map(report.tasks.map(task => [taskReportKey(task), task]))
    this.#gangs.onReport(workerId, reports, nowMs)
    this.#reconcile(workerId, nowMs)
    if (!hadLease) this.#availability.refresh(workerId, nowMs)
  }

  #grantLease ({ workerId, tasks }: WorkerReport): ControlAnswer {
    const { term, settings } = this.#context
    const stopTasks = tasks
      .filter(task => !this.#isAllocated(workerId, task))
      .map(({ jobId, taskIndex, leaseId }) => ({ jobId, taskIndex, leaseId }))
    return { kind: 'worker_lease', term, leaseMs: settings.leaseMs, stopTasks }
  }

  #isAllocated (workerId: string, report: TaskReport): boolean {
    return this.#context.state.allocatedCells(workerId).some(({ jobId, leaseId, task }) =>
      jobId === report.jobId && leaseId === report.leaseId && task.taskIndex === report.taskIndex)
  }

  #onLeaseExpired ({ workerId }: WorkerSession, nowMs: number): void {
    this.#context.log.warn('worker lost', { workerId })
    this.#context.metrics.increment('worker_lost')
    this.#context.outbox.dropWorker(workerId)
    this.#gangs.onWorkerGone(workerId, `worker ${workerId} did not renew its lease`, nowMs)
    this.#availability.refresh(workerId, nowMs)
    this.#reconcile(workerId, nowMs)
  }

  /** Proposes a change of the worker record if it differs from the session of the worker. */
  #reconcile (workerId: string, nowMs: number): void {
    if (this.#pendingProposals.has(workerId)) return
    const { state, sessions, proposals } = this.#context
    const record = state.worker(workerId)
    if (record === undefined && !state.configuration.workers.has(workerId)) sessions.remove(workerId)
    const session = sessions.find(workerId)
    if (session === undefined || isUpToDate(record, session)) return
    this.#pendingProposals.add(workerId)
    const { incarnation, address } = session
    proposals.propose({ kind: 'worker_state', workerId, state: desiredState(record, session), incarnation, address },
      { kind: 'worker', workerId }, nowMs)
  }
}

/** A leaving worker stays in the state `draining` until its process restarts or its lease expires. */
function desiredState (record: WorkerRecord | undefined, { hasLease, incarnation }: WorkerSession): WorkerRecord['state'] {
  if (!hasLease) return 'lost'
  const isSameProcess = record !== undefined && record.incarnation === incarnation && record.state !== 'lost'
  return isSameProcess ? record.state : 'active'
}

function isUpToDate (record: WorkerRecord | undefined, session: WorkerSession): boolean {
  return record !== undefined &&
    record.incarnation === session.incarnation &&
    record.address === session.address &&
    record.state === desiredState(record, session)
}
