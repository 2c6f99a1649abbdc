/** One placed gang in the memory of the leader, and the next step of its life cycle. */
import type { TaskPlacement } from '@comfreygrade/core'
import { canRequeue, type JobRecord } from './jobs.js'
import type { ControlCommand, StopGoal } from './commands.js'

/** How far a task is known to be; `released` means that it certainly runs no more and holds nothing. */
export type TaskProgress = 'ordered' | 'held' | 'started' | 'completed' | 'released'

/** One task of a placed gang. */
export interface GangTask {
  readonly placement: TaskPlacement
  progress: TaskProgress
  /** Reports in a row without the task. */
  missingReports: number
}

/** Why a gang has to leave its cells and what follows; a job that may not run again ends as failed instead. */
export interface StopRequest {
  readonly reason: string
  readonly isCheckpoint: boolean
  readonly goal: StopGoal
}

/** Progress of one gang under one lease. */
export class Gang {
  readonly jobId: string
  readonly leaseId: number
  readonly tasks: readonly GangTask[]
  /** Set while a command of the life cycle is in flight, so that no step is taken twice. */
  hasPendingCommand = false
  /** Set when the scheduler asked the job to leave. */
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

  /** Keeps the first reason; only an end replaces a requeue. */
  requestStop (request: StopRequest): void {
    if (this.#stopRequest === undefined || (this.#stopRequest.goal === 'requeue' && request.goal !== 'requeue')) {
      this.#stopRequest = request
    }
  }

  task (taskIndex: number): GangTask | undefined {
    return this.tasks.find(task => task.placement.taskIndex === taskIndex)
  }

  isEveryTask (...progress: readonly TaskProgress[]): boolean {
    return this.tasks.every(task => progress.includes(task.progress))
  }
}

/**
 * Gives the command that takes a gang to its next step, or undefined when it has to wait for workers.
 *
 * @example
 * nextStep(gang, job)?.kind // 'start_job' when all workers of a preparing gang hold their cells
 */
export function nextCommand (gang: Gang, job: JobRecord): ControlCommand | undefined {
  switch (job.phase) {
    case 'preparing': return stopCommand(gang, job) ?? startCommand(gang)
    case 'starting': return completedCommand(gang) ?? stopCommand(gang, job) ?? runningCommand(gang)
    case 'running': return completedCommand(gang) ?? stopCommand(gang, job)
    case 'stopping': return overrideCommand(gang, job) ?? releaseCommand(gang, job)
    default: return undefined
  }
}

function startCommand (gang: Gang): ControlCommand | undefined {
  return gang.isEveryTask('held') ? { kind: 'start_job', jobId: gang.jobId, leaseId: gang.leaseId } : undefined
}

function runningCommand (gang: Gang): ControlCommand | undefined {
  return gang.isEveryTask('started', 'completed')
    ? { kind: 'job_running', jobId: gang.jobId, leaseId: gang.leaseId }
    : undefined
}

function completedCommand ({ jobId, leaseId, tasks }: Gang): ControlCommand | undefined {
  const isCompleted = tasks.every(task => task.progress === 'completed')
  return isCompleted
    ? { kind: 'end_job', jobId, leaseId, outcome: 'completed', reason: 'all tasks completed' }
    : undefined
}

function stopCommand ({ jobId, leaseId, stopRequest: stopIntent }: Gang, job: JobRecord): ControlCommand | undefined {
  if (stopIntent === undefined) return undefined
  const { reason, isCheckpoint, goal } = stopIntent
  const then = goal === 'requeue' && !canRequeue(job) ? 'failed' : goal
  const canCheckpoint = job.phase === 'running' && job.spec.preemption === 'checkpoint'
  return { kind: 'stop_job', jobId, leaseId, reason, isCheckpoint: isCheckpoint && canCheckpoint, then }
}

function overrideCommand (gang: Gang, job: JobRecord): ControlCommand | undefined {
  const isRequeueOverridden = gang.stopRequest !== undefined && gang.stopRequest.goal !== 'requeue' && job.stop?.then === 'requeue'
  return isRequeueOverridden ? stopCommand(gang, job) : undefined
}

function releaseCommand (gang: Gang, job: JobRecord): ControlCommand | undefined {
  const { jobId, leaseId } = gang
  if (job.stop?.isUnstarted === false && gang.isEveryTask('completed')) return completedCommand(gang)
  if (!gang.isEveryTask('completed', 'released')) return undefined
  const then = job.stop?.then ?? 'requeue'
  return then === 'requeue'
    ? { kind: 'requeue_job', jobId, leaseId, reason: job.detail }
    : { kind: 'end_job', jobId, leaseId, outcome: then, reason: job.detail }
}
