/** Decides whether a new job is accepted, from the load of the fleet. */
import type { Failure } from '@comfreygrade/core'
import type { JobSpec } from './jobs.js'
import type { QueueConfiguration } from './queues.js'
import type { PassDecision } from './scheduling-pass.js'
import type { QueuedStep } from './waiting-steps.js'
import type { WorkerView } from './worker-view.js'

/** A job that is about to be accepted. */
export interface AdmissionRequest {
  readonly spec: JobSpec
  readonly queue: QueueConfiguration
  /** Empty for a request without a key. */
  readonly organisation: string
  readonly nowMs: number
  /** The workers that have reported to this leader. */
  readonly views: Iterable<WorkerView>
  /** Workers that had runs and may still exist, also those that have not reported to this leader. */
  readonly presentWorkerIds: () => readonly string[]
  /** Whether a configuration is proposed that is not committed yet. */
  readonly isConfigurationPending: boolean
  /** Whether the job is urgent and fits into its organisation's guarantee beside the urgent jobs that are open. */
  readonly isWithinGuarantee: () => boolean
}

/** Admission of jobs; each rule is a subclass. */
export abstract class AdmissionPolicy {
  /** The reason for which the job is refused; undefined where it is accepted. */
  abstract refusalOf (request: AdmissionRequest): Failure | undefined

  /** Takes the result of a scheduling pass; `listWork` lists the steps that waited before it, and is costly. */
  abstract recordPass (listWork: () => readonly QueuedStep[], decision: PassDecision, nowMs: number): void
}

/** Accepts every job. */
export class AcceptAllJobs extends AdmissionPolicy {
  override refusalOf (): undefined {
    return undefined
  }

  override recordPass (): void {}
}
