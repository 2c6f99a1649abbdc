/** Commands of the replicated control state. */
import type { ConfigurationChange, Failure, JobOutcome, JobSpec, Placement, WorkerState } from '@comfreygrade/core'
import type { ClaimView, ControlOperation, Drain } from './operations.js'

/** What follows when every task of a stopping job is released. */
export type StopGoal = 'requeue' | JobOutcome

/** Every change of the control state. The result of a decision is recorded, never its inputs. */
export type ControlCommand =
  | { readonly kind: 'apply_configuration', readonly change: ConfigurationChange }
  | { readonly kind: 'submit_job', readonly spec: JobSpec }
  | { readonly kind: 'place_job', readonly jobId: string, readonly placement: Placement }
  | { readonly kind: 'start_job', readonly jobId: string, readonly leaseId: number }
  | { readonly kind: 'job_running', readonly jobId: string, readonly leaseId: number }
  /** Releases every task of a placement; a requeue may later become an outcome, never the other way. */
  | {
    readonly kind: 'stop_job'
    readonly jobId: string
    readonly leaseId: number
    readonly reason: string
    readonly isCheckpoint: boolean
    readonly then: StopGoal
  }
  | { readonly kind: 'requeue_job', readonly jobId: string, readonly leaseId: number, readonly reason: string }
  /** `leaseId` is 0 for a job without a placement. */
  | {
    readonly kind: 'end_job'
    readonly jobId: string
    readonly leaseId: number
    readonly outcome: JobOutcome
    readonly reason: string
  }
  | { readonly kind: 'worker_state', readonly workerId: string, readonly state: WorkerState, readonly incarnation: number, readonly address: string }
  | { readonly kind: 'set_drain', readonly drain: Drain, readonly isDraining: boolean }
  /** Claims are recorded as they were asked for. */
  | Extract<ControlOperation, { readonly kind: 'claim_request' | 'settle_claim' }>
  /** Advances log time where nothing else is proposed, so that claims are forgotten. */
  | { readonly kind: 'clock' }

/** Result of applying a command. */
export type CommandResult =
  | { readonly kind: 'done' }
  | { readonly kind: 'claimed', readonly granted: boolean, readonly claim: ClaimView }
  | { readonly kind: 'refused', readonly failure: Failure }
