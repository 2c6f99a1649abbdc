/** The decisions of the leader that have several implementations. */
import type { Clock, EventLog, Metrics } from '@comfreygrade/core'
import { LearnedWorkerSpeeds } from './learned-worker-speeds.js'
import { BacklogAdmission } from './backlog-admission.js'
import { FairShares } from './fair-shares.js'
import { AcceptAllJobs, type AdmissionPolicy } from './admission-policy.js'
import { UnlimitedShares, type OrganisationShares } from './organisation-shares.js'
import { LearnedRunTimes } from './learned-run-times.js'
import { ObservedRunTimes } from './observed-run-times.js'
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

/** What decides how long a run is expected to take on its worker. */
export type RunPolicies = Pick<BatchPolicies, 'runTimes' | 'workerSpeeds'>

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

/** Policies that learn from the load and decide by it, as far as the settings ask for them. */
export function adaptivePolicies (context: PolicyContext): BatchPolicies {
  const { settings, clock } = context
  const learned = new LearnedRunTimes(clock)
  return {
    runTimes: settings.runTimes === 'learned' ? learned : new ObservedRunTimes(learned),
    workerSpeeds: new LearnedWorkerSpeeds(context),
    shares: settings.sharing === 'fair' ? new FairShares(context) : new UnlimitedShares(),
    admission: settings.admission === 'backlog' ? new BacklogAdmission(context) : new ShapeAdmission(context)
  }
}
