/** Types of gang jobs, their placement and their explanation. */

/** Priority of a job. Urgent jobs may preempt jobs of lower priority that run on lent capacity. */
export type JobPriority = 'urgent' | 'normal' | 'low'

/** Placement constraint for the tasks of a gang: all on one worker, all in one rack, or none. */
export type Adjacency = 'worker' | 'rack' | 'none'

/**
 * What may happen to a job when its capacity is reclaimed or a worker fails.
 *
 * - `checkpoint`: it may write a checkpoint before it is stopped, and may be started again.
 * - `repeat`: it is stopped without a checkpoint, and may be started again.
 * - `none`: it is never preempted, and is not started again once it has started, so it fails if a worker is lost after
 *   that.
 */
export type Preemption = 'checkpoint' | 'repeat' | 'none'

/**
 * Phase in the life cycle of a job.
 *
 * - `waiting`: it has no placement.
 * - `preparing`: it is placed, and its workers are asked to prepare their tasks.
 * - `starting`: all its workers have prepared, and are asked to start their tasks.
 * - `running`: all its tasks were started.
 * - `stopping`: its workers are asked to stop their tasks.
 * - `ended`: it has its final result.
 */
export type JobPhase = 'waiting' | 'preparing' | 'starting' | 'running' | 'stopping' | 'ended'

/** Final result of a job. */
export type JobOutcome = 'completed' | 'failed' | 'cancelled' | 'refused'

/**
 * Whether a placement uses capacity guaranteed to the organisation or capacity lent to it.
 *
 * - `guaranteed`: capacity that a guarantee of the organisation covers; it is not reclaimed.
 * - `lent`: free capacity outside the organisation's guarantees, possibly guaranteed to others. It is reclaimed, that
 *   is, its job is stopped, when a guarantee or an urgent job needs it, unless the job's preemption is `none`.
 */
export type CapacityClass = 'guaranteed' | 'lent'

/** A gang job as submitted. */
export interface JobSpec {
  readonly jobId: string
  readonly organisationId: string
  /** Class of jobs with similar run times, for run-time estimates; for example `nightly-reconciliation`. */
  readonly jobClass: string
  readonly tasks: number
  readonly acceleratorModel: string
  readonly acceleratorsPerTask: number
  readonly coresPerTask: number
  readonly memoryGbPerTask: number
  readonly adjacency: Adjacency
  /** Run time that the submitter expects, in milliseconds. A job may run longer. */
  readonly declaredRunMs: number
  readonly priority: JobPriority
  readonly preemption: Preemption
}

/** Worker and accelerators of one task of a gang. */
export interface TaskPlacement {
  readonly taskIndex: number
  readonly workerId: string
  /** Index of the first accelerator on the worker; the task uses `acceleratorCount` adjacent ones. */
  readonly firstAccelerator: number
  readonly acceleratorCount: number
}

/** Placement of all tasks of a gang. */
export interface Placement {
  readonly capacityClass: CapacityClass
  readonly tasks: readonly TaskPlacement[]
  /** One sentence for the job explanation: why these workers were chosen. */
  readonly reason: string
}

/** Why a job is waiting, or how it was placed or refused. */
export interface JobExplanation {
  readonly jobId: string
  /** `reclaiming`: the job runs on lent capacity that is being reclaimed; `unknown`: no such job waits or runs. */
  readonly state: 'waiting' | 'placed' | 'reclaiming' | 'refused' | 'unknown'
  readonly reason: string
  /** Position in the scheduling order of waiting jobs, from 1; 0 if the job is not waiting. */
  readonly queuePosition: number
  /** Jobs that must end or be preempted before this job can start. */
  readonly blockedByJobIds: readonly string[]
  /** Estimated time until the start in milliseconds; `undefined` if there is no estimate. */
  readonly estimatedStartInMs?: number
}
