/** The decisions of the leader that have several implementations. */
import type { Clock, EventLog, Metrics } from '@comfreygrade/core'
import { AcceptAllJobs, type AdmissionPolicy } from './admission-policy.js'
import { UnlimitedShares, type OrganisationShares } from './organisation-shares.js'
import { CallerEstimates, type RunTimePredictor } from './run-time-predictor.js'
import type { BatchSettings } from './settings.js'
import { ShapeAdmission } from './shape-admission.js'
import { EqualWorkerSpeeds, type WorkerSpeeds } from './worker-speeds.js'

/** One implementation of each decision. They hold state, so each leader gets its own. */
export interface BatchPolicies {
  readonly runTimes: RunTimePredictor
  readonly workerSpeeds: WorkerSpeeds
  readonly shares: OrganisationShares
  readonly admission: AdmissionPolicy
}

/** Policies that learn nothing and refuse nothing, with which others are compared. */
export function plainPolicies (): BatchPolicies {
  return {
    runTimes: new CallerEstimates(),
    workerSpeeds: new EqualWorkerSpeeds(),
    shares: new UnlimitedShares(),
    admission: new AcceptAllJobs()
  }
}

/** What the adaptive policies need from their process. */
export interface PolicyContext {
  readonly settings: BatchSettings
  readonly clock: Clock
  readonly metrics: Metrics
  readonly log: EventLog
}

/**
 * Policies that learn from the load and decide by it. `FairShares` and `BacklogAdmission` are not among them, since
 * they did not serve callers better under the benchmark loads; see their design notes.
 */
export function adaptivePolicies (context: PolicyContext): BatchPolicies {
  return { ...plainPolicies(), admission: new ShapeAdmission(context) }
}
