/** Operations of callers and operators on the batch scheduler, and their answers. */
import type { Result } from '@comfreygrade/core'
import type { MaintenanceWave } from './commands.js'
import type { JobSpec, JobState } from './jobs.js'
import type { QueueDocument } from './queues.js'

/** Address and credential of a caller's request. */
export interface QueueRequest {
  readonly host: string
  readonly path: string
  /** Undefined where the caller sent none. */
  readonly apiKey?: string
}

/** An operation that a front end sends to the leader. */
export type BatchOperation =
  | { readonly kind: 'submit', readonly request: QueueRequest, readonly spec: Omit<JobSpec, 'jobId'> }
  /** Answered with the state of the queue where the path names no job. */
  | { readonly kind: 'job_state', readonly request: QueueRequest }
  | { readonly kind: 'cancel', readonly request: QueueRequest }
  | { readonly kind: 'put_configuration', readonly document: QueueDocument }
  | { readonly kind: 'get_configuration' }
  | { readonly kind: 'start_wave', readonly wave: MaintenanceWave }
  | { readonly kind: 'wave_state', readonly waveId: string }

/** Result of a successful operation. */
export type BatchAnswer =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'job_state', readonly state: JobState }
  | { readonly kind: 'queue', readonly pendingJobs: number }
  | { readonly kind: 'configuration', readonly source: string }
  | { readonly kind: 'wave', readonly state: 'running' | 'completed' }

export type BatchResult = Result<BatchAnswer>
