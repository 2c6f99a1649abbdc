/** Operations of callers and operators on the batch scheduler, and their answers. */
import type { Result } from '@comfreygrade/core'
import type { Assignment, MaintenanceWave } from './commands.js'
import type { EvacuationRecord } from './evacuations.js'
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
  /** `requestedBy` is the address that sent the request. */
  | { readonly kind: 'start_evacuation', readonly zone: string, readonly requestedBy: string }
  /** Withdraws the evacuation of a zone; accepted without an effect where the zone is not evacuated. */
  | { readonly kind: 'end_evacuation', readonly zone: string, readonly requestedBy: string }
  | { readonly kind: 'list_evacuations' }

/** The latest evacuation of a zone, with what remains there. */
export interface EvacuationStatus extends EvacuationRecord {
  /** Number of workers in the zone that have reported to the leader. */
  readonly workers: number
  /** Runs that may be on workers of the zone; none where the evacuation has ended. */
  readonly remainingRuns: readonly Assignment[]
}

/** Result of a successful operation. */
export type BatchAnswer =
  | { readonly kind: 'accepted' }
  | { readonly kind: 'job_state', readonly state: JobState }
  | { readonly kind: 'queue', readonly pendingJobs: number }
  | { readonly kind: 'configuration', readonly source: string }
  | { readonly kind: 'wave', readonly state: 'running' | 'completed' }
  | { readonly kind: 'evacuations', readonly evacuations: readonly EvacuationStatus[] }

export type BatchResult = Result<BatchAnswer>
