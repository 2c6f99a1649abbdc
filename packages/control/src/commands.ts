/** Commands of the replicated control state. */
import type { ConfigurationChange, Failure, JobOutcome, JobSpec, Placement, WorkerState } from '@comfreygrade/core'
import type { ClaimState, ClaimView, Drain, RecordedAnswer } from './operations.js'

/** Every change of the control state. The result of a decision is recorded, never its inputs. */
export type ControlCommand =
  | { readonly kind: 'apply_configuration', readonly change: ConfigurationChange }
  | { readonly kind: 'submit_job', readonly spec: JobSpec }
  | { readonly kind: 'place_job', readonly jobId: string, readonly placement: Placement }
  | { readonly kind: 'start_job', readonly jobId: string, readonly leaseId: number }
  | { readonly kind: 'job_running', readonly jobId: string, readonly leaseId: number }
  | { readonly kind: 'stop_job', readonly jobId: string, readonly reason: string, readonly isCheckpoint: boolean, readonly then: 'requeue' | JobOutcome }
  | { readonly kind: 'requeue_job', readonly jobId: string, readonly reason: string }
  | { readonly kind: 'end_job', readonly jobId: string, readonly outcome: JobOutcome, readonly reason: string }
  | { readonly kind: 'worker_state', readonly workerId: string, readonly state: WorkerState, readonly incarnation: number, readonly address: string }
  | { readonly kind: 'set_drain', readonly drain: Drain, readonly isDraining: boolean }
  | { readonly kind: 'claim_request', readonly organisationId: string, readonly key: string, readonly digest: string }
  | {
    readonly kind: 'settle_claim'
    readonly organisationId: string
    readonly key: string
    readonly state: Exclude<ClaimState, 'pending'>
    readonly answer: RecordedAnswer | null
  }
  /** Advances log time where nothing else is proposed, so that claims are forgotten. */
  | { readonly kind: 'clock' }

/** Result of applying a command. */
export type CommandResult =
  | { readonly kind: 'done' }
  | { readonly kind: 'claimed', readonly granted: boolean, readonly claim: ClaimView }
  | { readonly kind: 'refused', readonly failure: Failure }
