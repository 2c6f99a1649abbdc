/** Settings of the gang scheduler and their defaults. */

/** Settings of the gang scheduler; see {@link defaultPlacementSettings}. */
export interface PlacementSettings {
  /** Number of different jobs whose tasks must fail on a worker for the worker to be quarantined. */
  readonly quarantineAfterFailures: number
  /** Duration of the first quarantine of a worker, in milliseconds; it doubles with each further one. */
  readonly quarantineRetryMs: number
  /** Longest duration of a quarantine, in milliseconds. */
  readonly quarantineRetryMaxMs: number
  /** Number of different workers on which tasks of a job must fail for the job to be stopped. */
  readonly maxFailedPlacements: number
  /** Half-life of an organisation's past use in its attained service, in milliseconds. */
  readonly serviceHalfLifeMs: number
  /** Number of most recent run times kept for each job class. */
  readonly runHistoryLength: number
  /** Minimum number of finished runs of a job class for its run-time estimate to replace the declared run time. */
  readonly runHistoryMin: number
  /** Quantile, 0 to 1, of the run times of a job class that is used as its estimate. */
  readonly runTimeQuantile: number
  /** Minimum time between two calculations of the same start-time reservation, in milliseconds. */
  readonly reservationRefreshMs: number
  /** Number of failed trials (attempts to place a job) after which a pass ends; bounds its duration with many jobs. */
  readonly maxFailedTrials: number
  /**
   * Number of racks of a pool after which a search for cells to reclaim or reserve takes the best solution found; it
   * goes on while there is none. To bind a guaranteed cell, this many racks with free cells, this many with free or
   * lent cells, and the one with the smallest sufficient cell are considered.
   */
  readonly candidateRacks: number
  /** Number of refused and stopped jobs whose reason is kept for `explain`. */
  readonly explainHistoryLength: number
}

/** Defaults of {@link PlacementSettings}. */
export const defaultPlacementSettings: PlacementSettings = {
  quarantineAfterFailures: 3,
  quarantineRetryMs: 60_000,
  quarantineRetryMaxMs: 3_600_000,
  maxFailedPlacements: 3,
  serviceHalfLifeMs: 1_800_000,
  runHistoryLength: 32,
  runHistoryMin: 3,
  runTimeQuantile: 0.75,
  reservationRefreshMs: 10_000,
  maxFailedTrials: 64,
  candidateRacks: 32,
  explainHistoryLength: 1_000
}
