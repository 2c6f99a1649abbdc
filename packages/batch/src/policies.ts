/** The decisions of the leader that have several implementations. */
import { AcceptAllJobs, type AdmissionPolicy } from './admission-policy.js'
import { UnlimitedShares, type OrganisationShares } from './organisation-shares.js'
import { CallerEstimates, type RunTimePredictor } from './run-time-predictor.js'
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
