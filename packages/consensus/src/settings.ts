/** Settings of a replica. */

/** Every number that a replica uses. */
export interface ReplicaSettings {
  /** Interval between two rounds of heartbeats. */
  readonly heartbeatMs: number
  /** A follower campaigns after a random silence of the leader between these two; below the first it refuses votes. */
  readonly electionMinMs: number
  readonly electionMaxMs: number
  /** A pre-vote that found no majority is repeated after a random time between these two. */
  readonly preVoteRetryMinMs: number
  readonly preVoteRetryMaxMs: number
  /** A campaign that found no majority ends after a random time between these two. */
  readonly campaignMinMs: number
  readonly campaignMaxMs: number
  /** A leader that a majority has not answered for this long steps down. */
  readonly checkQuorumMs: number
  /** How long the answer of a majority entitles a leader to answer reads. */
  readonly leaseMs: number
  /** Largest relative difference between the rates of two clocks. */
  readonly clockRateBound: number
  /** Bounds of one append message. */
  readonly maxAppendEntries: number
  readonly maxAppendBytes: number
  /** Bounds of what is sent to one replica and not yet answered. */
  readonly maxInflightAppends: number
  readonly maxInflightBytes: number
  /** Proposals are rejected while this much waits for a commit. */
  readonly maxUncommittedEntries: number
  readonly maxUncommittedBytes: number
  /** Size of one piece of a snapshot, and when it is sent again. */
  readonly snapshotChunkBytes: number
  readonly snapshotResendMs: number
  /** What is kept of the log behind a snapshot for replicas that are a little behind. */
  readonly keepTailEntries: number
  readonly keepTailBytes: number
  /** A new voter has caught up when it is at most this many entries behind. */
  readonly learnerMaxLagEntries: number
  /** A replacement ends without effect when the new voter is silent for this long. */
  readonly learnerSilenceMs: number
  /** A transfer of leadership is given up after this time. */
  readonly transferTimeoutMs: number
}

/**
 * Defaults for 12 ms one-way delay between regions and disks that take up to 100 ms for a sync.
 *
 * @example
 * const settings: ReplicaSettings = { ...defaultReplicaSettings, heartbeatMs: 50 }
 */
export const defaultReplicaSettings: ReplicaSettings = {
  heartbeatMs: 100,
  electionMinMs: 600,
  electionMaxMs: 1_200,
  preVoteRetryMinMs: 100,
  preVoteRetryMaxMs: 300,
  campaignMinMs: 400,
  campaignMaxMs: 800,
  checkQuorumMs: 580,
  leaseMs: 500,
  clockRateBound: 0.01,
  maxAppendEntries: 512,
  maxAppendBytes: 262_144,
  maxInflightAppends: 32,
  maxInflightBytes: 4_194_304,
  maxUncommittedEntries: 20_000,
  maxUncommittedBytes: 33_554_432,
  snapshotChunkBytes: 262_144,
  snapshotResendMs: 1_000,
  keepTailEntries: 2_000,
  keepTailBytes: 8_388_608,
  learnerMaxLagEntries: 64,
  learnerSilenceMs: 10_000,
  transferTimeoutMs: 1_000
}

/**
 * Throws a `RangeError` for settings under which an old leader could answer beside a new one.
 *
 * @example
 * checkSettings({ ...defaultReplicaSettings, leaseMs: 700 }) // throws
 */
export function checkSettings (settings: ReplicaSettings): void {
  const latestMs = settings.electionMinMs * (1 - settings.clockRateBound)
  const slowest = 1 + settings.clockRateBound
  if (settings.leaseMs * slowest > latestMs) throw new RangeError('leaseMs must end before electionMinMs on any clock')
  if (settings.checkQuorumMs * slowest > latestMs) {
    throw new RangeError('checkQuorumMs must end before electionMinMs on any clock')
  }
}
