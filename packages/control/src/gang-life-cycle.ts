/**
 * Life cycle of placed gangs. All tasks of a gang are prepared before any of them starts, and none of them runs any
 * more when its cells are allocated again. The workers confirm that the accelerators are free too, except after the
 * release time-out of a gang that never started (`unstartedReleaseWaitMs`).
 */
import { DeadlineQueue, earliest, type TaskReport } from '@comfreygrade/core'
import { Gang, nextCommand, type GangTask, type StopRequest } from './gang.js'
import type { JobRecord } from './jobs.js'
import type { LeaderContext } from './leader-context.js'
import type { OrderOutcome } from './order-outbox.js'
import type { OrderKind } from './orders.js'
import type { SchedulerDriver } from './scheduler-driver.js'
import type { WorkerAvailability } from './worker-availability.js'

/**
 * Number of consecutive reports without an accepted task at which the task counts as lost. A single such report may
 * have been sent before the order arrived.
 */
const MISSING_REPORTS_UNTIL_LOST = 2

/** Drives the placed gangs of one leader. */
export class GangLifeCycle {
  readonly #context: LeaderContext
  readonly #schedulerDriver: SchedulerDriver
  readonly #availability: WorkerAvailability
  readonly #gangs = new Map<string, Gang>()
  /** By job: deadline of the preparation, or of the release. */
  readonly #deadlines = new DeadlineQueue()
  readonly #proposalRetries = new DeadlineQueue()
  /** Stop requests for jobs whose placement is not committed yet. */
  readonly #deferredStops = new Map<string, { readonly request: StopRequest, readonly isReclaimed: boolean }>()

  constructor (context: LeaderContext, schedulerDriver: SchedulerDriver, availability: WorkerAvailability) {
    this.#context = context
    this.#schedulerDriver = schedulerDriver
    this.#availability = availability
  }

  get size (): number {
    return this.#gangs.size
  }

  /**
   * Takes over a placed job at the start of a term. Each task is assumed to be as far as the phase of the job
   * guarantees; worker reports and answers to orders correct this. A gang that was still preparing is requeued. For a
   * stopping gang `ordered` is safe: every task is ordered again to stop or to write a checkpoint, whatever its worker
   * did before.
   */
  resume (job: JobRecord, nowMs: number): void {
    const isPreparing = job.phase === 'preparing'
    const gang = this.#add(job, job.phase === 'running' ? 'started' : job.phase === 'starting' ? 'held' : 'ordered')
    if (isPreparing) gang.requestStop(requeueRequest('the leader changed during preparation'))
    if (job.phase === 'starting') this.#orderAllTasks(gang, 'start')
    if (job.phase === 'stopping') this.#orderRelease(gang, job, nowMs)
    this.#advance(gang, nowMs)
  }

  /** Handles a committed placement: orders every worker to prepare its task. */
  onPlaced (job: JobRecord, nowMs: number): void {
    const gang = this.#add(job, 'ordered')
    this.#deadlines.set(gang.jobId, nowMs + this.#context.settings.prepareTimeoutMs)
    this.#orderAllTasks(gang, 'prepare')
    const deferred = this.#deferredStops.get(gang.jobId)
    this.#deferredStops.delete(gang.jobId)
    if (deferred !== undefined) this.requestStop(gang.jobId, deferred.request, deferred.isReclaimed, nowMs)
  }

  /**
   * Handles a committed `start_job`: orders every worker to start its task. An order that fails or is answered with
   * `stale_term` is retried; one that is refused, or whose placement the worker does not know, stops the gang.
   */
  onStartCommitted (job: JobRecord, nowMs: number): void {
    const gang = this.#find(job.spec.jobId, job.leaseId)
    if (gang === undefined) return
    this.#deadlines.delete(gang.jobId)
    this.#orderAllTasks(gang, 'start')
    this.#advance(gang, nowMs)
  }

  /** Handles a committed `stop_job`: orders every worker to stop its task, with a checkpoint if the command says so. */
  onStopCommitted (job: JobRecord, nowMs: number): void {
    const gang = this.#find(job.spec.jobId, job.leaseId)
    if (gang === undefined) return
    this.#orderRelease(gang, job, nowMs)
    this.#advance(gang, nowMs)
  }

  /** Handles a committed `requeue_job` or `end_job`, which freed the cells of the job if it had any. */
  onCellsFreed (jobId: string, nowMs: number): void {
    const gang = this.#gangs.get(jobId)
    this.#deferredStops.delete(jobId)
    this.#schedulerDriver.remove(jobId, gang?.isReclaimed ?? false, nowMs)
    if (gang === undefined) return
    this.#gangs.delete(jobId)
    this.#deadlines.delete(jobId)
    this.#proposalRetries.delete(jobId)
    for (const { placement } of gang.tasks) {
      this.#context.outbox.drop(placement.workerId, gang.leaseId, placement.taskIndex)
    }
  }

  /** Handles the outcome of a proposed command. One that was rejected or refused is reconsidered after a delay. */
  onProposalSettled (jobId: string, leaseId: number, isAccepted: boolean, nowMs: number): void {
    const gang = this.#find(jobId, leaseId)
    if (gang === undefined) return
    gang.hasPendingCommand = false
    if (isAccepted) this.#advance(gang, nowMs)
    else this.#proposalRetries.set(jobId, nowMs + this.#context.settings.proposalRetryMs)
  }

  /** Stops a placed job, or defers the stop until its placement is committed. Returns false if it is not placed. */
  requestStop (jobId: string, request: StopRequest, isReclaimed: boolean, nowMs: number): boolean {
    const gang = this.#gangs.get(jobId)
    if (gang === undefined) {
      const isPlaced = this.#schedulerDriver.isPlaced(jobId)
      if (isPlaced) this.#deferredStops.set(jobId, { request, isReclaimed })
      return isPlaced
    }
    gang.isReclaimed ||= isReclaimed
    gang.requestStop(request)
    this.#advance(gang, nowMs)
    return true
  }

  onOrderOutcome (outcome: OrderOutcome, nowMs: number): void {
    const gang = this.#find(outcome.order.jobId, outcome.order.leaseId)
    const task = gang?.findTask(outcome.order.taskIndex)
    if (gang === undefined || task === undefined || task.progress === 'released') return
    switch (outcome.order.kind) {
      case 'prepare': this.#onPrepareOutcome(gang, task, outcome, nowMs); break
      case 'start': this.#onStartOutcome(gang, task, outcome); break
      case 'checkpoint': this.#onCheckpointOutcome(gang, task, outcome); break
      case 'stop': this.#onStopOutcome(gang, task, outcome); break
      case 'throttle': break
    }
    this.#advance(gang, nowMs)
  }

  /** Updates the tasks on a worker from its report, which is keyed by `taskReportKey`. */
  onReport (workerId: string, reports: ReadonlyMap<string, TaskReport>, nowMs: number): void {
    for (const { jobId, leaseId, task: { taskIndex } } of this.#context.state.allocatedCells(workerId)) {
      const gang = this.#find(jobId, leaseId)
      const task = gang?.findTask(taskIndex)
      if (gang === undefined || task === undefined || task.progress === 'released') continue
      const report = reports.get(taskReportKey({ jobId, taskIndex, leaseId }))
      if (report === undefined) this.#onTaskMissing(gang, task)
      else this.#onTaskReport(gang, task, report, nowMs)
      this.#advance(gang, nowMs)
    }
  }

  /** Handles the end of a worker process or of its lease, after which none of its tasks can be running. */
  onWorkerGone (workerId: string, reason: string, nowMs: number): void {
    for (const { jobId, leaseId, task: { taskIndex } } of this.#context.state.allocatedCells(workerId)) {
      const gang = this.#find(jobId, leaseId)
      const task = gang?.findTask(taskIndex)
      if (gang === undefined || task === undefined || task.progress === 'completed') continue
      task.progress = 'released'
      gang.requestStop(requeueRequest(reason))
      this.#advance(gang, nowMs)
    }
  }

  tick (nowMs: number): void {
    for (const jobId of this.#deadlines.takeDue(nowMs)) this.#onDeadline(jobId, nowMs)
    for (const jobId of this.#proposalRetries.takeDue(nowMs)) {
      const gang = this.#gangs.get(jobId)
      if (gang !== undefined) this.#advance(gang, nowMs)
    }
  }

  nextWakeAtMs (): number | undefined {
    return earliest([this.#deadlines.earliestDeadlineMs(), this.#proposalRetries.earliestDeadlineMs()])
  }

  #add (job: JobRecord, progress: GangTask['progress']): Gang {
    const gang = new Gang(job, progress)
    this.#gangs.set(gang.jobId, gang)
    return gang
  }

  #find (jobId: string, leaseId: number): Gang | undefined {
    const gang = this.#gangs.get(jobId)
    return gang?.leaseId === leaseId ? gang : undefined
  }

  #advance (gang: Gang, nowMs: number): void {
    const job = this.#context.state.job(gang.jobId)
    if (gang.hasPendingCommand || job === undefined || job.leaseId !== gang.leaseId) return
    if (this.#proposalRetries.get(gang.jobId) !== undefined) return
    const command = nextCommand(gang, job)
    if (command === undefined) return
    gang.hasPendingCommand = true
    this.#context.proposals.propose(command, { kind: 'gang', jobId: gang.jobId, leaseId: gang.leaseId }, nowMs)
  }

  #orderAllTasks (gang: Gang, kind: OrderKind): void {
    for (const task of gang.tasks) {
      if (task.progress !== 'released') this.#queueOrder(gang, task, kind)
    }
  }

  #queueOrder (gang: Gang, { placement }: GangTask, kind: OrderKind): void {
    const { taskIndex, firstAccelerator, acceleratorCount, workerId } = placement
    const { jobId, leaseId } = gang
    this.#context.outbox.add(workerId, { kind, jobId, taskIndex, leaseId, firstAccelerator, acceleratorCount })
  }

  #retryOrder (gang: Gang, task: GangTask, kind: OrderKind): void {
    this.#context.metrics.increment('retry', { reason: 'order_not_accepted' })
    this.#queueOrder(gang, task, kind)
  }

  #orderRelease (gang: Gang, job: JobRecord, nowMs: number): void {
    const isCheckpoint = job.stop?.isCheckpoint ?? false
    for (const task of gang.tasks) {
      if (task.progress === 'released') continue
      this.#queueOrder(gang, task, isCheckpoint && task.progress !== 'completed' ? 'checkpoint' : 'stop')
    }
    const timeoutMs = this.#releaseTimeoutMs(job)
    if (timeoutMs === undefined) this.#deadlines.delete(gang.jobId)
    else this.#deadlines.set(gang.jobId, nowMs + timeoutMs)
  }

  /**
   * Time after which a release is forced, or undefined if it is not: the gang of a plain stop waits until each worker
   * confirms the stop or loses its lease. When the time ends, the release of an unstarted gang counts as confirmed, and
   * an unfinished checkpoint is replaced by a stop.
   */
  #releaseTimeoutMs ({ stop }: JobRecord): number | undefined {
    const { settings, state } = this.#context
    if (stop?.isUnstarted === true) return settings.unstartedReleaseWaitMs
    if (stop?.isCheckpoint !== true) return undefined
    return Math.max(0, state.configuration.rules.reclaimWithinMs - settings.reclaimStopMarginMs)
  }

  #onPrepareOutcome (gang: Gang, task: GangTask, { workerId, result }: OrderOutcome, nowMs: number): void {
    if (result === 'accepted') {
      if (task.progress === 'ordered') task.progress = 'held'
      return
    }
    if (this.#phaseOf(gang) !== 'preparing') return
    this.#availability.exclude(workerId, nowMs)
    gang.requestStop(requeueRequest(`worker ${workerId} did not prepare its task (${result})`))
  }

  #onStartOutcome (gang: Gang, task: GangTask, { workerId, result }: OrderOutcome): void {
    if (this.#phaseOf(gang) === 'stopping') return
    if (result === 'accepted') {
      if (task.progress === 'held') task.progress = 'started'
      this.#availability.resetExclusionBackoff(workerId)
      return
    }
    if (result === 'unknown_lease' && task.progress !== 'completed') {
      task.progress = 'released'
      gang.requestStop(requeueRequest(`worker ${workerId} no longer knows the placement of its task`))
      return
    }
    if (result === 'refused') gang.requestStop(requeueRequest(`worker ${workerId} refused to start its task`))
    else if (task.progress === 'held') this.#retryOrder(gang, task, 'start')
  }

  #onCheckpointOutcome (gang: Gang, task: GangTask, { result }: OrderOutcome): void {
    if (result === 'unknown_lease') task.progress = 'released'
    else if (result === 'refused') this.#queueOrder(gang, task, 'stop')
    // After the deadline every task is ordered to stop; a checkpoint would replace that order while it is unsent.
    else if (result !== 'accepted' && this.#deadlines.get(gang.jobId) !== undefined) this.#retryOrder(gang, task, 'checkpoint')
  }

  #onStopOutcome (gang: Gang, task: GangTask, { result }: OrderOutcome): void {
    const isReleased = result === 'accepted' || result === 'unknown_lease'
    if (isReleased && task.progress !== 'completed') task.progress = 'released'
    if (!isReleased) this.#retryOrder(gang, task, 'stop')
  }

  #onTaskMissing (gang: Gang, task: GangTask): void {
    if (task.progress !== 'held' && task.progress !== 'started') return
    task.missingReports += 1
    if (task.missingReports < MISSING_REPORTS_UNTIL_LOST) return
    gang.requestStop(requeueRequest(`worker ${task.placement.workerId} no longer reports its task`))
  }

  #onTaskReport (gang: Gang, task: GangTask, { state }: TaskReport, nowMs: number): void {
    task.missingReports = 0
    switch (state) {
      case 'prepared': if (task.progress === 'ordered') task.progress = 'held'; break
      case 'running': if (task.progress !== 'completed') task.progress = 'started'; break
      case 'completed': task.progress = 'completed'; break
      case 'failed': this.#onTaskFailed(gang, task, nowMs); break
      case 'stopped':
        task.progress = 'released'
        gang.requestStop(requeueRequest(`worker ${task.placement.workerId} stopped its task`))
        break
    }
  }

  #onTaskFailed (gang: Gang, task: GangTask, nowMs: number): void {
    const { workerId, taskIndex } = task.placement
    task.progress = 'released'
    this.#context.scheduler.taskFailed(gang.jobId, workerId, nowMs)
    this.#schedulerDriver.requestPass()
    gang.requestStop(requeueRequest(`task ${taskIndex} failed on worker ${workerId}`))
  }

  #onDeadline (jobId: string, nowMs: number): void {
    const gang = this.#gangs.get(jobId)
    if (gang === undefined) return
    const phase = this.#phaseOf(gang)
    if (phase === 'stopping') this.#onReleaseTimeout(gang, nowMs)
    if (phase !== 'preparing') return
    const unprepared = gang.tasks.filter(task => task.progress === 'ordered')
    if (unprepared.length === 0) return
    for (const { placement } of unprepared) this.#availability.exclude(placement.workerId, nowMs)
    gang.requestStop(requeueRequest(`${unprepared.length} of ${gang.tasks.length} tasks were not prepared in time`))
    this.#advance(gang, nowMs)
  }

  #onReleaseTimeout (gang: Gang, nowMs: number): void {
    if (this.#context.state.job(gang.jobId)?.stop?.isUnstarted !== true) {
      this.#orderAllTasks(gang, 'stop')
      return
    }
    this.#context.metrics.increment('release_unconfirmed')
    for (const task of gang.tasks) task.progress = 'released'
    this.#advance(gang, nowMs)
  }

  #phaseOf (gang: Gang): JobRecord['phase'] | undefined {
    const job = this.#context.state.job(gang.jobId)
    return job?.leaseId === gang.leaseId ? job.phase : undefined
  }
}

/**
 * Returns the key of a task in a worker report.
 *
 * @example
 * taskReportKey({ jobId: 'j1', taskIndex: 0, leaseId: 7 }) // '7/0/j1'
 */
export function taskReportKey ({ jobId, taskIndex, leaseId }: Pick<TaskReport, 'jobId' | 'taskIndex' | 'leaseId'>): string {
  return `${leaseId}/${taskIndex}/${jobId}`
}

function requeueRequest (reason: string): StopRequest {
  return { reason, isCheckpoint: false, goal: 'requeue' }
}
