/** One placed gang in the memory of the leader, and the next step of its life cycle. */
import type { TaskPlacement } from '@comfreygrade/core'
import { mayRequeue, type JobRecord } from './jobs.js'
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
export interface StopIntent {
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
  isProposing = false
  /** Set when the scheduler asked the job to leave. */
  isReclaimed = false
  #stopIntent: StopIntent | undefined

  constructor (job: JobRecord, progress: TaskProgress) {
    this.jobId = job.spec.jobId
    this.leaseId = job.leaseId
    this.tasks = (job.placement?.tasks ?? []).map(placement => ({ placement, progress, missingReports: 0 }))
  }

  get stopIntent (): StopIntent | undefined {
    return this.#stopIntent
  }

  /** Keeps the first reason; only an end replaces a requeue. */
  intendStop (intent: StopIntent): void {
    if (this.#stopIntent === undefined || (this.#stopIntent.goal === 'requeue' && intent.goal !== 'requeue')) {
      this.#stopIntent = intent
    }
  }

  task (taskIndex: number): GangTask | undefined {
    return this.tasks.find(task => task.placement.taskIndex === taskIndex)
  }

  every (...progress: readonly TaskProgress[]): boolean {
    return this.tasks.every(task => progress.includes(task.progress))
  }
}

/**
 * Gives the command that takes a gang to its next step, or undefined when it has to wait for workers.
 *
 * @example
 * nextStep(gang, job)?.kind // 'start_job' when all workers of a preparing gang hold their cells
 */
export function nextStep (gang: Gang, job: JobRecord): ControlCommand | undefined {
  switch (job.phase) {
    case 'preparing': return stopStep(gang, job) ?? startStep(gang)
    case 'starting': return completedStep(gang) ?? stopStep(gang, job) ?? runningStep(gang)
    case 'running': return completedStep(gang) ?? stopStep(gang, job)
    case 'stopping': return overrideStep(gang, job) ?? releaseStep(gang, job)
    default: return undefined
  }
}

function startStep (gang: Gang): ControlCommand | undefined {
  return gang.every('held') ? { kind: 'start_job', jobId: gang.jobId, leaseId: gang.leaseId } : undefined
}

function runningStep (gang: Gang): ControlCommand | undefined {
  return gang.every('started', 'completed')
    ? { kind: 'job_running', jobId: gang.jobId, leaseId: gang.leaseId }
    : undefined
}

function completedStep ({ jobId, leaseId, tasks }: Gang): ControlCommand | undefined {
  const isCompleted = tasks.every(task => task.progress === 'completed')
  return isCompleted
    ? { kind: 'end_job', jobId, leaseId, outcome: 'completed', reason: 'all tasks completed' }
    : undefined
}

function stopStep ({ jobId, leaseId, stopIntent }: Gang, job: JobRecord): ControlCommand | undefined {
  if (stopIntent === undefined) return undefined
  const { reason, isCheckpoint, goal } = stopIntent
  const then = goal === 'requeue' && !mayRequeue(job) ? 'failed' : goal
  const mayCheckpoint = job.phase === 'running' && job.spec.preemption === 'checkpoint'
  return { kind: 'stop_job', jobId, leaseId, reason, isCheckpoint: isCheckpoint && mayCheckpoint, then }
}

function overrideStep (gang: Gang, job: JobRecord): ControlCommand | undefined {
  const isOverride = gang.stopIntent !== undefined && gang.stopIntent.goal !== 'requeue' && job.stop?.then === 'requeue'
  return isOverride ? stopStep(gang, job) : undefined
}

function releaseStep (gang: Gang, job: JobRecord): ControlCommand | undefined {
  const { jobId, leaseId } = gang
  if (job.stop?.isUnstarted === false && gang.every('completed')) return completedStep(gang)
  if (!gang.every('completed', 'released')) return undefined
  const then = job.stop?.then ?? 'requeue'
  return then === 'requeue'
    ? { kind: 'requeue_job', jobId, leaseId, reason: job.detail }
    : { kind: 'end_job', jobId, leaseId, outcome: then, reason: job.detail }
}
