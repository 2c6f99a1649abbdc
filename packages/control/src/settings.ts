/** Numbers of the control state and of the control leader. */

/**
 * Bounds of the replicated state. Every replica must use the same values: they decide what `apply` answers, so replicas
 * with different values would diverge.
 */
export interface ControlStateSettings {
  /** How long a claim is kept after both its commit and its key's time of issue. */
  readonly claimRetentionMs: number
  /** How far a key's time of issue may lie after log time, which lags by every gap between two leaders. */
  readonly claimMaxAheadMs: number
  /** Larger answers are not recorded; the claim is settled without one. */
  readonly claimAnswerMaxBytes: number
  /** Total of recorded answers; the oldest ones are dropped first. */
  readonly claimAnswersTotalMaxBytes: number
  readonly maxClaims: number
  readonly maxClaimsPerOrganisation: number
  readonly endedJobRetentionMs: number
  readonly maxEndedJobs: number
  /** Jobs that have not ended. */
  readonly maxOpenJobs: number
  readonly maxOpenJobsPerOrganisation: number
  /** Recent configuration changes kept for the feed. */
  readonly maxRecentChanges: number
  /** Records in all recent changes together, so that one large change does not stay in memory with many others. */
  readonly maxRecentChangeRecords: number
  /** Versions whose digest is kept, so that a resent change gets its first answer. */
  readonly maxChangeDigests: number
  readonly maxDrains: number
}

/** Timing of the control leader. */
export interface ControlSettings {
  /** Lease of a worker, counted from when it sent the report that renewed it. */
  readonly leaseMs: number
  /** Greatest difference in rate between two monotonic clocks. */
  readonly clockRateBound: number
  /**
   * How long a committed proposal proves leadership, counted from when it was proposed. It must be below the shortest
   * election timeout, because a new leader counts the leases that it did not grant from the start of its own term.
   */
  readonly leadershipValidMs: number
  /** Time in which all workers of a gang must accept `prepare`. */
  readonly prepareTimeoutMs: number
  /**
   * How long a gang that never started waits for its workers to confirm that they released it. No `start` was sent
   * under its lease and none follows, so after this time it may be placed again; a worker that still holds a cell
   * refuses to give it to another. Far below the 5.1 s within which urgent work starts, so that a silent worker
   * does not hold up an urgent gang for a whole lease.
   */
  readonly unstartedReleaseWaitMs: number
  /** An order without any answer for this long counts as failed. */
  readonly orderTimeoutMs: number
  readonly orderRetryMs: number
  readonly maxOrderRetryMs: number
  readonly maxOrdersPerMessage: number
  /** Time between two attempts to commit a decision that was rejected. */
  readonly proposalRetryMs: number
  /** Least time between two scheduling passes, so that a burst of events shares one pass. */
  readonly minPassIntervalMs: number
  /** Time between two passes while jobs wait, for decisions that depend on time alone, such as backfilling. */
  readonly idlePassIntervalMs: number
  /** First exclusion of a worker that refused a placement or did not answer; doubles up to `maxWorkerHoldMs`. */
  readonly workerHoldMs: number
  readonly maxWorkerHoldMs: number
  /** Time before the end of `reclaimWithinMs` at which a checkpoint that is not finished is stopped. */
  readonly reclaimStopMarginMs: number
  /** Longest time without a command, so that log time advances and claims are forgotten. */
  readonly clockIntervalMs: number
}

const HOUR_MS = 3_600_000
const MIB_BYTES = 1024 * 1024

/** Defaults of the replicated state, sized for the two-year target of the design page. */
export const defaultControlStateSettings: ControlStateSettings = {
  claimRetentionMs: 24 * HOUR_MS,
  // Log time stands still while no leader is elected, so it falls behind wall time by the sum of all outages.
  claimMaxAheadMs: 30 * 24 * HOUR_MS,
  claimAnswerMaxBytes: 4096,
  claimAnswersTotalMaxBytes: 32 * MIB_BYTES,
  maxClaims: 200_000,
  maxClaimsPerOrganisation: 50_000,
  endedJobRetentionMs: 24 * HOUR_MS,
  maxEndedJobs: 50_000,
  maxOpenJobs: 100_000,
  maxOpenJobsPerOrganisation: 20_000,
  maxRecentChanges: 4096,
  maxRecentChangeRecords: 50_000,
  maxChangeDigests: 65_536,
  maxDrains: 10_000
}

/** Defaults of the control leader. */
export const defaultControlSettings: ControlSettings = {
  leaseMs: 30_000,
  clockRateBound: 0.01,
  leadershipValidMs: 500,
  prepareTimeoutMs: 2_000,
  unstartedReleaseWaitMs: 300,
  orderTimeoutMs: 1_000,
  orderRetryMs: 100,
  maxOrderRetryMs: 2_000,
  maxOrdersPerMessage: 64,
  proposalRetryMs: 200,
  minPassIntervalMs: 20,
  idlePassIntervalMs: 1_000,
  workerHoldMs: 2_000,
  maxWorkerHoldMs: 600_000,
  reclaimStopMarginMs: 500,
  clockIntervalMs: 10_000
}
