/** Numbers that steer placement. */

/** Settings of the gang scheduler; every number has a default in {@link defaultPlacementSettings}. */
export interface PlacementSettings {
  /** Failures of different jobs after which a worker is quarantined. */
  readonly quarantineAfterFailures: number
  /** First time in quarantine, in milliseconds; each further quarantine doubles it. */
  readonly quarantineRetryMs: number
  /** Longest time in quarantine, in milliseconds. */
  readonly quarantineRetryMaxMs: number
  /** Different workers on which a job may fail before it is stopped. */
  readonly maxFailedPlacements: number
  /** Time in which an organisation's past use counts half, in milliseconds. */
  readonly serviceHalfLifeMs: number
  /** Finished runs of a class that are remembered. */
  readonly runHistoryLength: number
  /** Finished runs of a class below which the declaration is used. */
  readonly runHistoryMin: number
  /** Quantile, 0 to 1, of a class's finished runs that serves as its estimate. */
  readonly runTimeQuantile: number
  /** Shortest time between two calculations of the same start-time reservation, in milliseconds. */
  readonly reservationRefreshMs: number
  /** Groups of waiting jobs that are tried in vain before a pass ends; bounds the time of a pass with a deep queue. */
  readonly maxFailedTrials: number
  /** Racks that are compared when cells have to be reclaimed or reserved; bounds the cost of one decision. */
  readonly candidateRacks: number
  /** Refused and stopped jobs whose reason `explain` still knows. */
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
