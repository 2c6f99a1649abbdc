/** Commands of the replicated control state. */
import type { ConfigurationChange, Failure, JobOutcome, JobSpec, Placement, WorkerState } from '@comfreygrade/core'
import type { ClaimView, ControlOperation, Drain } from './operations.js'

/**
 * Goal of a stop, stored as `then`: once all tasks of the stopping job are released, it is requeued or ends with an
 * outcome.
 */
export type StopGoal = 'requeue' | JobOutcome

/**
 * Every change of the control state. Commands carry the results of decisions, never their inputs, so that applying them
 * is deterministic.
 */
export type ControlCommand =
  | { readonly kind: 'apply_configuration', readonly change: ConfigurationChange }
  | { readonly kind: 'submit_job', readonly spec: JobSpec }
  | { readonly kind: 'place_job', readonly jobId: string, readonly placement: Placement }
  | { readonly kind: 'start_job', readonly jobId: string, readonly leaseId: number }
  | { readonly kind: 'job_running', readonly jobId: string, readonly leaseId: number }
  /**
   * Starts the release of every task of the placement that `leaseId` identifies; its cells stay allocated. A later
   * command may replace a requeue by an outcome, but not the reverse.
   */
  | {
    readonly kind: 'stop_job'
    readonly jobId: string
    readonly leaseId: number
    readonly reason: string
    readonly isCheckpoint: boolean
    readonly then: StopGoal
  }
  /** Frees the cells of a stopping job, which waits again. Proposed once every task is released or completed. */
  | { readonly kind: 'requeue_job', readonly jobId: string, readonly leaseId: number, readonly reason: string }
  /** Ends a job and frees its cells. `leaseId` identifies the placement; it is 0 for a job without one. */
  | {
    readonly kind: 'end_job'
    readonly jobId: string
    readonly leaseId: number
    readonly outcome: JobOutcome
    readonly reason: string
  }
  | { readonly kind: 'worker_state', readonly workerId: string, readonly state: WorkerState, readonly incarnation: number, readonly address: string }
  | { readonly kind: 'set_drain', readonly drain: Drain, readonly isDraining: boolean }
  /** The claim operations are committed unchanged. */
  | Extract<ControlOperation, { readonly kind: 'claim_request' | 'settle_claim' }>
  /** Advances log time when nothing else is proposed, so that claims and ended jobs expire. */
  | { readonly kind: 'clock' }

/** Result of applying a command. */
export type CommandResult =
  | { readonly kind: 'done' }
  | { readonly kind: 'claimed', readonly granted: boolean, readonly claim: ClaimView }
  | { readonly kind: 'refused', readonly failure: Failure }
