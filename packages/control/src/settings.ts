/** Settings of the control state and of the control leader. */

/**
 * Limits of the replicated state. All replicas must use the same values, because the result of `apply` depends on them
 * and replicas with different values would diverge.
 */
export interface ControlStateSettings {
  /** How long a claim is kept after the later of its commit and its key's time of issue. */
  readonly claimRetentionMs: number
  /** How far a key's time of issue may be ahead of log time, which falls behind during every gap between leaders. */
  readonly claimMaxAheadMs: number
  /** Maximum body size of a recorded answer; a claim with a larger one is settled without it. */
  readonly claimAnswerMaxBytes: number
  /** Maximum total size of recorded answers; the oldest are evicted first. */
  readonly claimAnswersTotalMaxBytes: number
  /** Maximum number of claims of all organisations together. */
  readonly maxClaims: number
  readonly maxClaimsPerOrganisation: number
  /** How long an ended job is kept, in log time. */
  readonly endedJobRetentionMs: number
  /** Maximum number of ended jobs; the oldest are removed first. */
  readonly maxEndedJobs: number
  /** Maximum number of jobs that have not ended. */
  readonly maxOpenJobs: number
  readonly maxOpenJobsPerOrganisation: number
  /** Recent configuration changes kept for the configuration feed. */
  readonly maxRecentChanges: number
  /** Maximum number of records in all recent changes, so that a large change is not kept along with many others. */
  readonly maxRecentChangeRecords: number
  /** Number of versions whose digest is kept, so that a resent change gets the same answer again. */
  readonly maxChangeDigests: number
  readonly maxDrains: number
}

/** Timing and limits of the control leader. */
export interface ControlSettings {
  /** Duration of a worker lease, counted from the sending of the report that renewed it. */
  readonly leaseMs: number
  /** Maximum relative difference in rate between two monotonic clocks. */
  readonly clockRateBound: number
  /**
   * How long a committed proposal proves leadership, counted from when it was proposed. Must be below the shortest
   * election time-out, because a new leader counts the leases that it did not grant from the start of its own term.
   */
  readonly leadershipValidMs: number
  /** Time within which all workers of a gang must accept `prepare`. */
  readonly prepareTimeoutMs: number
  /**
   * How long a gang that never started waits for its workers to confirm the release. No `start` was or will be sent
   * in its placement, so after this time the gang may be placed again; a worker that still holds a cell refuses to
   * prepare another task on it. Must be far below 5.1 s, the target for starting an urgent job, so that a silent
   * worker does not delay an urgent gang for a whole lease.
   */
  readonly unstartedReleaseWaitMs: number
  /** An order that is not answered within this time counts as failed. */
  readonly orderTimeoutMs: number
  /** First delay of orders to a worker that refused some or did not answer; doubles up to `maxOrderRetryMs`. */
  readonly orderRetryMs: number
  readonly maxOrderRetryMs: number
  readonly maxOrdersPerMessage: number
  /** Delay before a command that was rejected or refused is reconsidered. */
  readonly proposalRetryMs: number
  /** Minimum time between two scheduling passes, so that a burst of events causes a single pass. */
  readonly minPassIntervalMs: number
  /** Time between two passes while jobs wait, for decisions that depend only on time, such as backfilling. */
  readonly idlePassIntervalMs: number
  /**
   * First period for which a worker that refused a placement or did not answer is excluded from new ones. The period
   * doubles with each exclusion up to `maxWorkerHoldMs`.
   */
  readonly workerHoldMs: number
  /** Maximum exclusion period of a worker. */
  readonly maxWorkerHoldMs: number
  /** How long before the end of `reclaimWithinMs` an unfinished checkpoint is replaced by a stop. */
  readonly reclaimStopMarginMs: number
  /** Maximum time without a command under a leader; bounds the delay with which claims and ended jobs expire. */
  readonly clockIntervalMs: number
}

const HOUR_MS = 3_600_000
const MIB_BYTES = 1024 * 1024

/** Default limits of the replicated state, for the target size of the system. */
export const defaultControlStateSettings: ControlStateSettings = {
  claimRetentionMs: 24 * HOUR_MS,
  // Log time does not advance without a leader, so it lags behind wall time by the total duration of such outages.
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
