/** What entry VMs ask of the control leader, and its answers. */
import type {
  BackendServerRecord, ConfigurationChange, ConfigurationDocument, Failure, JobExplanation, JobOutcome, JobPhase,
  JobSpec, Placement, WorkerReport, WorkerState
} from '@comfreygrade/core'
import type { FleetReport } from '@comfreygrade/placement'

/** State of a claim of a non-repeatable request. */
export type ClaimState = 'pending' | 'completed' | 'not_run' | 'unknown'

/** Recorded answer of a completed non-repeatable request; opaque to control. */
export interface RecordedAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: Uint8Array
}

/** A claim as callers may ask for it. */
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
  /** Starts of the whole gang so far. */
  readonly starts: number
  /** One sentence about the last change of phase. */
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

/** What can be drained. */
export type DrainKind = 'vm' | 'worker' | 'backend-server'

/** A drain that an operator asked for. */
export interface Drain {
  readonly kind: DrainKind
  readonly id: string
}

/** How far a configuration has spread. */
export interface ConfigurationStatus {
  readonly version: number
  readonly isInForceEverywhere: boolean
  readonly nodes: ReadonlyArray<{
    readonly nodeId: string
    readonly acknowledgedVersion: number
    /** Whether the node may still answer from what it acknowledged. */
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
    /** Digest of service, path and body: the same key with other content is refused. */
    readonly digest: string
    /** Identifies one request of one node; a repeat by the same claimant is granted again. */
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
  /** `leaseMs` counts from when the worker sent its report; `stopTasks` are not known to the leader any more. */
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
  /** `granted` allows exactly one dispatch; otherwise the claim existed before. */
  | { readonly kind: 'claim', readonly granted: boolean, readonly claim: ClaimView }
  | { readonly kind: 'done' }

/** Result of an operation: an answer or a failure. */
export type ControlResult =
  | { readonly ok: true, readonly value: ControlAnswer }
  | { readonly ok: false, readonly failure: Failure }
