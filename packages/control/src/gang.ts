/** Volatile state of a placed gang on the leader, and the transitions of its life cycle. */
import type { TaskPlacement } from '@comfreygrade/core'
import { canRequeue, type JobRecord } from './jobs.js'
import type { ControlCommand, StopGoal } from './commands.js'

/**
 * Progress of a task as far as the leader knows: `ordered` until its worker accepted `prepare`, `held` from then until
 * it starts (workers report it as `prepared`), and `released` once it certainly does not run. A released task holds no
 * accelerators either, except after the release time-out of a gang that never started (`unstartedReleaseWaitMs`).
 */
export type TaskProgress = 'ordered' | 'held' | 'started' | 'completed' | 'released'

/** One task of a placed gang. */
export interface GangTask {
  readonly placement: TaskPlacement
  progress: TaskProgress
  /** Consecutive worker reports that did not list the task. */
  missingReports: number
}

/** Request to stop a gang. Where the goal is a requeue and the job cannot run again, the job ends as failed instead. */
export interface StopRequest {
  readonly reason: string
  readonly isCheckpoint: boolean
  readonly goal: StopGoal
}

/** One gang in one placement, which `leaseId` identifies. */
export class Gang {
  readonly jobId: string
  readonly leaseId: number
  readonly tasks: readonly GangTask[]
  /** Whether a life cycle command is in flight. No other is proposed meanwhile, so that no transition is made twice. */
  hasPendingCommand = false
  /** Whether the scheduler decided to reclaim the cells of the job. */
  isReclaimed = false
  #stopRequest: StopRequest | undefined

  constructor (job: JobRecord, progress: TaskProgress) {
    this.jobId = job.spec.jobId
    this.leaseId = job.leaseId
    this.tasks = (job.placement?.tasks ?? []).map(placement => ({ placement, progress, missingReports: 0 }))
  }

  get stopRequest (): StopRequest | undefined {
    return this.#stopRequest
  }

  /** Keeps the first request, except that a request to end the job replaces a request to requeue it. */
  requestStop (request: StopRequest): void {
    if (this.#stopRequest === undefined || (this.#stopRequest.goal === 'requeue' && request.goal !== 'requeue')) {
      this.#stopRequest = request
    }
  }

  findTask (taskIndex: number): GangTask | undefined {
    return this.tasks.find(task => task.placement.taskIndex === taskIndex)
  }

  areAllTasks (...progress: readonly TaskProgress[]): boolean {
    return this.tasks.every(task => progress.includes(task.progress))
  }
}

/**
 * Returns the command for the next transition of a gang, or undefined while it waits for its workers.
 *
 * @example
 * nextCommand(gang, job)?.kind // 'start_job' when all tasks of a preparing gang are held
 */
export function nextCommand (gang: Gang, job: JobRecord): ControlCommand | undefined {
  switch (job.phase) {
    case 'preparing': return stopCommand(gang, job) ?? startCommand(gang)
    case 'starting': return completedCommand(gang) ?? stopCommand(gang, job) ?? runningCommand(gang)
    case 'running': return completedCommand(gang) ?? stopCommand(gang, job)
    case 'stopping': return overrideCommand(gang, job) ?? releasedCommand(gang, job)
    default: return undefined
  }
}

function startCommand (gang: Gang): ControlCommand | undefined {
  return gang.areAllTasks('held') ? { kind: 'start_job', jobId: gang.jobId, leaseId: gang.leaseId } : undefined
}

function runningCommand (gang: Gang): ControlCommand | undefined {
  return gang.areAllTasks('started', 'completed')
    ? { kind: 'job_running', jobId: gang.jobId, leaseId: gang.leaseId }
    : undefined
}

function completedCommand ({ jobId, leaseId, tasks }: Gang): ControlCommand | undefined {
  const isCompleted = tasks.every(task => task.progress === 'completed')
  return isCompleted
    ? { kind: 'end_job', jobId, leaseId, outcome: 'completed', reason: 'all tasks completed' }
    : undefined
}

function stopCommand ({ jobId, leaseId, stopRequest }: Gang, job: JobRecord): ControlCommand | undefined {
  if (stopRequest === undefined) return undefined
  const { reason, isCheckpoint, goal } = stopRequest
  const then = goal === 'requeue' && !canRequeue(job) ? 'failed' : goal
  const canCheckpoint = job.phase === 'running' && job.spec.preemption === 'checkpoint'
  return { kind: 'stop_job', jobId, leaseId, reason, isCheckpoint: isCheckpoint && canCheckpoint, then }
}

function overrideCommand (gang: Gang, job: JobRecord): ControlCommand | undefined {
  const isRequeueOverridden = gang.stopRequest !== undefined && gang.stopRequest.goal !== 'requeue' && job.stop?.then === 'requeue'
  return isRequeueOverridden ? stopCommand(gang, job) : undefined
}

function releasedCommand (gang: Gang, job: JobRecord): ControlCommand | undefined {
  const { jobId, leaseId } = gang
  // All tasks completed before the stop took effect, so there is nothing left to requeue or cancel.
  if (job.stop?.isUnstarted === false && gang.areAllTasks('completed')) return completedCommand(gang)
  if (!gang.areAllTasks('completed', 'released')) return undefined
  const then = job.stop?.then ?? 'requeue'
  return then === 'requeue'
    ? { kind: 'requeue_job', jobId, leaseId, reason: job.detail }
    : { kind: 'end_job', jobId, leaseId, outcome: then, reason: job.detail }
}
