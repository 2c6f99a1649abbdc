/** Gang jobs: what callers submit and what the control state keeps. */

/** How urgent a job is. Urgent jobs may take lent capacity of lower priorities. */
export type JobPriority = 'urgent' | 'normal' | 'low'

/** How close the tasks of a gang must be placed. */
export type Adjacency = 'worker' | 'rack' | 'none'

/** What may be done with a job when its capacity is taken back or a worker fails. */
export type Preemption = 'checkpoint' | 'repeat' | 'none'

/** Life cycle of a job. */
export type JobPhase = 'waiting' | 'preparing' | 'starting' | 'running' | 'stopping' | 'ended'

/** How a job ended. */
export type JobOutcome = 'completed' | 'failed' | 'cancelled' | 'refused'

/** Whether a placement uses the organisation's own guarantee or lent capacity. */
export type CapacityClass = 'guaranteed' | 'lent'

/** A gang job as submitted. */
export interface JobSpec {
  readonly jobId: string
  readonly organisationId: string
  /** Label for run-time estimates, for example `nightly-reconciliation`. */
  readonly jobClass: string
  readonly tasks: number
  readonly acceleratorModel: string
  readonly acceleratorsPerTask: number
  readonly coresPerTask: number
  readonly memoryGbPerTask: number
  readonly adjacency: Adjacency
  readonly declaredRunMs: number
  readonly priority: JobPriority
  readonly preemption: Preemption
}

/** Where one task of a gang runs. */
export interface TaskPlacement {
  readonly taskIndex: number
  readonly workerId: string
  /** Index of the first accelerator on the worker; the task holds `acceleratorCount` adjacent ones. */
  readonly firstAccelerator: number
  readonly acceleratorCount: number
}

/** Where a whole gang runs. */
export interface Placement {
  readonly capacityClass: CapacityClass
  readonly tasks: readonly TaskPlacement[]
  /** One sentence for `explain`: why these workers. */
  readonly reason: string
}

/** Why a job waits, or how it was placed or refused. */
export interface JobExplanation {
  readonly jobId: string
  readonly state: 'waiting' | 'placed' | 'reclaiming' | 'refused' | 'unknown'
  readonly reason: string
  /** Position in the order in which waiting jobs are considered, from 1; 0 when not waiting. */
  readonly queuePosition: number
  /** Jobs whose end or removal this job waits for. */
  readonly blockedByJobIds: readonly string[]
  /** Estimated start in milliseconds from now; undefined where none can be given. */
  readonly estimatedStartInMs?: number
}
