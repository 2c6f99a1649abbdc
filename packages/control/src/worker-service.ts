/** Reports of workers: leases, new processes, lost workers, and the changes of state that follow. */
import { failure, type Failure, type TaskReport, type WorkerReport } from '@comfreygrade/core'
import { DeadlineQueue, earliest } from './deadline-queue.js'
import { taskReportKey, type GangLifeCycle } from './gang-life-cycle.js'
import { LeadershipProof } from './leadership-proof.js'
import type { ControlAnswer, ControlResult } from './operations.js'
import type { LeaderContext } from './leader-context.js'
import type { ReportAge, WorkerContact } from './worker-leases.js'
import type { WorkerAvailability } from './worker-availability.js'
import type { WorkerRecord } from './workers.js'

/** A report whose answer waits until leadership is proven. */
interface WaitingReport {
  readonly requestId: string
  readonly report: WorkerReport
  readonly receivedAtMs: number
}

/** Workers under this leader. */
export class WorkerService {
  readonly #context: LeaderContext
  readonly #gangs: GangLifeCycle
  readonly #availability: WorkerAvailability
  readonly #proof: LeadershipProof
  readonly #proposing = new Set<string>()
  readonly #proposalRetries = new DeadlineQueue()
  #waiting: WaitingReport[] = []
  #isProofInFlight = false

  constructor (context: LeaderContext, gangs: GangLifeCycle, availability: WorkerAvailability) {
    this.#context = context
    this.#gangs = gangs
    this.#availability = availability
    this.#proof = new LeadershipProof(context.settings.leadershipValidMs)
  }

  /** Takes over the workers of the state; leases that others granted count from now. */
  start (nowMs: number): void {
    for (const record of this.#context.state.workers()) {
      this.#context.leases.adopt(record, nowMs)
      this.#availability.refresh(record.workerId, nowMs)
    }
  }

  /** Treats tasks on workers that are recorded as lost as gone; call after the gangs are resumed. */
  dropTasksOfLostWorkers (nowMs: number): void {
    for (const { workerId, state } of this.#context.state.workers()) {
      if (state === 'lost') this.#gangs.workerGone(workerId, `worker ${workerId} is lost`, nowMs)
    }
  }

  /** Takes in a report and says why it is refused, if it is. */
  observe (report: WorkerReport, nowMs: number): Failure | undefined {
    const { workerId, incarnation } = report
    const { state, leases } = this.#context
    if (!state.configuration.workers.has(workerId) && state.worker(workerId) === undefined) {
      return failure('not_found', `worker ${workerId} is not in the inventory`)
    }
    const hadLease = leases.get(workerId)?.hasLease ?? false
    const age = leases.report(report, nowMs)
    if (age === 'old_incarnation') {
      return failure('stale_term', `worker ${workerId} has a later incarnation than ${incarnation}`)
    }
    if (age !== 'old_sequence') this.#takeIn(report, age, hadLease, nowMs)
    return undefined
  }

  /** Answers a report with a lease, at once or when the next proposal proves leadership. */
  answer (requestId: string, report: WorkerReport, nowMs: number): ControlAnswer | undefined {
    if (this.#proof.covers(nowMs, nowMs)) return this.#lease(report)
    this.#waiting.push({ requestId, report, receivedAtMs: nowMs })
    this.#seekProof(nowMs)
    return undefined
  }

  /** Takes in that a proposal of this leader was committed; gives the answers that it allows. */
  proven (proposedAtMs: number, isProof: boolean, nowMs: number): Array<{ requestId: string, result: ControlResult }> {
    this.#proof.prove(proposedAtMs)
    if (isProof) this.#isProofInFlight = false
    const waiting = this.#waiting
    this.#waiting = waiting.filter(({ receivedAtMs }) => !this.#proof.covers(receivedAtMs, nowMs))
    if (this.#waiting.length > 0) this.#seekProof(nowMs)
    return waiting
      .filter(({ receivedAtMs }) => this.#proof.covers(receivedAtMs, nowMs))
      .map(({ requestId, report }) => ({ requestId, result: { ok: true, value: this.#lease(report) } }))
  }

  /** Gives up the answers that wait, because leadership could not be proven. */
  takeUnproven (): string[] {
    const requestIds = this.#waiting.map(({ requestId }) => requestId)
    this.#waiting = []
    this.#isProofInFlight = false
    return requestIds
  }

  /** Takes in a committed change of a worker. */
  changed (workerId: string, nowMs: number): void {
    this.#availability.refresh(workerId, nowMs)
    this.#agree(workerId, nowMs)
  }

  /** Takes in that a proposed change of a worker was committed or refused, or will not be committed. */
  proposalEnded (workerId: string, isDone: boolean, nowMs: number): void {
    this.#proposing.delete(workerId)
    if (isDone) this.#agree(workerId, nowMs)
    else this.#proposalRetries.set(workerId, nowMs + this.#context.settings.proposalRetryMs)
  }

  /** Takes in that workers left the inventory; their gangs are stopped in order, as their cells may be given anew. */
  removed (workerId: string, nowMs: number): void {
    this.#availability.refresh(workerId, nowMs)
    for (const { jobId } of this.#context.state.cellsOn(workerId)) {
      const intent = { reason: `worker ${workerId} left the inventory`, isCheckpoint: true, goal: 'requeue' as const }
      this.#gangs.requestStop(jobId, intent, false, nowMs)
    }
    if (this.#context.state.worker(workerId) === undefined) this.#context.leases.forget(workerId)
  }

  tick (nowMs: number): void {
    for (const contact of this.#context.leases.takeEnded(nowMs)) this.#leaseEnded(contact, nowMs)
    for (const workerId of this.#proposalRetries.takeDue(nowMs)) this.#agree(workerId, nowMs)
  }

  nextAtMs (): number | undefined {
    return earliest([this.#context.leases.nextAtMs(), this.#proposalRetries.nextAtMs()])
  }

  #seekProof (nowMs: number): void {
    if (this.#isProofInFlight) return
    this.#isProofInFlight = true
    this.#context.proposals.propose({ kind: 'clock' }, { kind: 'proof' }, nowMs)
  }

  #takeIn (report: WorkerReport, age: ReportAge, hadLease: boolean, nowMs: number): void {
    const { workerId, incarnation } = report
    if (age === 'new_incarnation') {
      this.#context.log.info('worker restarted', { workerId, incarnation })
      this.#context.outbox.dropWorker(workerId)
      this.#gangs.workerGone(workerId, `worker ${workerId} restarted`, nowMs)
    }
    const reports = new Map(report.tasks.map(task => [taskReportKey(task), task]))
    this.#gangs.observe(workerId, reports, nowMs)
    this.#agree(workerId, nowMs)
    if (!hadLease) this.#availability.refresh(workerId, nowMs)
  }

  #lease ({ workerId, tasks }: WorkerReport): ControlAnswer {
    const { term, settings } = this.#context
    const stopTasks = tasks
      .filter(task => !this.#isHeld(workerId, task))
      .map(({ jobId, taskIndex, leaseId }) => ({ jobId, taskIndex, leaseId }))
    return { kind: 'worker_lease', term, leaseMs: settings.leaseMs, stopTasks }
  }

  #isHeld (workerId: string, report: TaskReport): boolean {
    return this.#context.state.cellsOn(workerId).some(({ jobId, leaseId, task }) =>
      jobId === report.jobId && leaseId === report.leaseId && task.taskIndex === report.taskIndex)
  }

  #leaseEnded ({ workerId }: WorkerContact, nowMs: number): void {
    this.#context.log.warn('worker lost', { workerId })
    this.#context.metrics.increment('worker_lost')
    this.#context.outbox.dropWorker(workerId)
    this.#gangs.workerGone(workerId, `worker ${workerId} did not renew its lease`, nowMs)
    this.#availability.refresh(workerId, nowMs)
    this.#agree(workerId, nowMs)
  }

  /** Proposes what this leader knows of a worker where it differs from the state. */
  #agree (workerId: string, nowMs: number): void {
    if (this.#proposing.has(workerId)) return
    const { state, leases, proposals } = this.#context
    const known = state.worker(workerId)
    if (known === undefined && !state.configuration.workers.has(workerId)) leases.forget(workerId)
    const contact = leases.get(workerId)
    if (contact === undefined || isSame(known, contact)) return
    this.#proposing.add(workerId)
    const { incarnation, address } = contact
    proposals.propose({ kind: 'worker_state', workerId, state: wantedState(known, contact), incarnation, address },
      { kind: 'worker', workerId }, nowMs)
  }
}

/** A worker that is leaving keeps draining until its next process. */
function wantedState (known: WorkerRecord | undefined, { hasLease, incarnation }: WorkerContact): WorkerRecord['state'] {
  if (!hasLease) return 'lost'
  const isKept = known !== undefined && known.incarnation === incarnation && known.state !== 'lost'
  return isKept ? known.state : 'active'
}

function isSame (known: WorkerRecord | undefined, contact: WorkerContact): boolean {
  return known !== undefined &&
    known.incarnation === contact.incarnation &&
    known.address === contact.address &&
    known.state === wantedState(known, contact)
}
