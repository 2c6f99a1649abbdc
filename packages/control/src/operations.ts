/** Operations that entry VMs send to the control leader, and its answers. */
import type {
  BackendServerRecord, ConfigurationChange, ConfigurationDocument, Failure, JobExplanation, JobOutcome, JobPhase,
  JobSpec, Placement, WorkerReport, WorkerState
} from '@comfreygrade/core'
import type { FleetReport } from '@comfreygrade/placement'

/**
 * State of a claim of a non-repeatable request:
 *
 * - `pending`: granted, and the request may be running.
 * - `completed`: the request ran; its response is recorded unless it is too large or was evicted.
 * - `not_run`: the request certainly did not run, so the key may be granted again.
 * - `unknown`: the request may have run. A claim that is pending beyond the maximum request deadline is shown so too.
 */
export type ClaimState = 'pending' | 'completed' | 'not_run' | 'unknown'

/** Recorded response to a completed non-repeatable request; opaque to the control nodes. */
export interface RecordedAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: Uint8Array
}

/** A claim as callers see it. */
export interface ClaimView {
  readonly organisationId: string
  readonly key: string
  readonly state: ClaimState
  readonly answer: RecordedAnswer | null
}

/** A job as callers see it. */
export interface JobView {
  readonly spec: JobSpec
  readonly phase: JobPhase
  readonly outcome: JobOutcome | null
  readonly placement: Placement | null
  /** Number of times the gang was started. */
  readonly starts: number
  /** Reason for the last change of phase. */
  readonly detail: string
  readonly submittedLogMs: number
  readonly changedLogMs: number
}

/** A worker as operators see it. */
export interface WorkerView {
  readonly workerId: string
  readonly state: WorkerState
  readonly address: string
  readonly tasks: number
}

/** Kinds of resources that can be drained. The leader acts on workers, the node adapter on VMs and backend servers. */
export type DrainKind = 'vm' | 'worker' | 'backend-server'

/** A resource that an operator drained. */
export interface Drain {
  readonly kind: DrainKind
  readonly id: string
}

/** Propagation of a configuration to the nodes. */
export interface ConfigurationStatus {
  readonly version: number
  readonly isInForceEverywhere: boolean
  readonly nodes: ReadonlyArray<{
    readonly nodeId: string
    readonly acknowledgedVersion: number
    /** Whether the node may still serve requests under the version that it acknowledged. */
    readonly hasLease: boolean
  }>
}

/** Requests to the control leader. */
export type ControlOperation =
  | { readonly kind: 'submit_job', readonly spec: JobSpec }
  | { readonly kind: 'cancel_job', readonly jobId: string }
  | { readonly kind: 'get_job', readonly jobId: string }
  | { readonly kind: 'list_jobs', readonly phase?: JobPhase, readonly organisationId?: string, readonly limit: number }
  | { readonly kind: 'explain_job', readonly jobId: string }
  | { readonly kind: 'report_worker', readonly report: WorkerReport }
  | { readonly kind: 'leave_worker', readonly workerId: string }
  | { readonly kind: 'apply_change', readonly change: ConfigurationChange, readonly isDryRun: boolean }
  | { readonly kind: 'get_configuration' }
  | { readonly kind: 'get_configuration_status' }
  | { readonly kind: 'get_fleet' }
  | { readonly kind: 'drain', readonly drain: Drain }
  | { readonly kind: 'undrain', readonly drain: Drain }
  | {
    readonly kind: 'claim_request'
    readonly organisationId: string
    readonly key: string
    /** Digest of service, path and body; a key is refused if it was used with another digest. */
    readonly digest: string
    /** Identifies one request of one node. A pending claim is granted again to its own claimant. */
    readonly claimantId: string
  }
  | {
    readonly kind: 'settle_claim'
    readonly organisationId: string
    readonly key: string
    readonly claimantId: string
    readonly state: Exclude<ClaimState, 'pending'>
    readonly answer: RecordedAnswer | null
  }
  | { readonly kind: 'get_claim', readonly organisationId: string, readonly key: string }

/** Answers of the control leader. */
export type ControlAnswer =
  | { readonly kind: 'job', readonly job: JobView }
  | { readonly kind: 'jobs', readonly jobs: readonly JobView[], readonly total: number }
  | { readonly kind: 'explanation', readonly explanation: JobExplanation }
  /**
   * Renews the lease of the worker, which covers all of its tasks: `leaseMs` counts from the sending of the report.
   * `stopTasks` are reported tasks without an allocation; their `leaseId` identifies a placement, not the worker lease.
   */
  | {
    readonly kind: 'worker_lease'
    readonly term: number
    readonly leaseMs: number
    readonly stopTasks: ReadonlyArray<{ readonly jobId: string, readonly taskIndex: number, readonly leaseId: number }>
  }
  | { readonly kind: 'configuration_accepted', readonly version: number, readonly isDryRun: boolean }
  | { readonly kind: 'configuration', readonly version: number, readonly document: ConfigurationDocument }
  | { readonly kind: 'configuration_status', readonly status: ConfigurationStatus }
  | {
    readonly kind: 'fleet'
    readonly report: FleetReport
    readonly workers: readonly WorkerView[]
    readonly drains: readonly Drain[]
    readonly backendServers: readonly BackendServerRecord[]
  }
  /**
   * `granted` permits the claimant one dispatch, however often the grant is answered; without it, `claim` is the
   * existing claim.
   */
  | { readonly kind: 'claim', readonly granted: boolean, readonly claim: ClaimView }
  | { readonly kind: 'done' }

export type ControlResult =
  | { readonly ok: true, readonly value: ControlAnswer }
  | { readonly ok: false, readonly failure: Failure }
