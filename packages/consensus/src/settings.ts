/** Timeouts, intervals and limits of a replica, their defaults, and the validation of the leader's timeouts. */

/** Timeouts, intervals and limits of a replica. */
export interface ReplicaSettings {
  /** Interval between rounds of heartbeats. */
  readonly heartbeatMs: number
  /**
   * Range of the randomised election timeout. A replica that had contact with a leader within `electionMinMs` rejects
   * vote requests.
   */
  readonly electionMinMs: number
  readonly electionMaxMs: number
  /** Range of the randomised delay after which a pre-vote without a majority is repeated. */
  readonly preVoteRetryMinMs: number
  readonly preVoteRetryMaxMs: number
  /**
   * Range of the randomised timeout after which a campaign without a majority ends. A campaign is one candidate's
   * attempt to win an election.
   */
  readonly campaignMinMs: number
  readonly campaignMaxMs: number
  /**
   * A leader steps down when it has had no response from a majority for this long, counted from the sending of the
   * latest heartbeats that a majority answered.
   */
  readonly checkQuorumMs: number
  /**
   * How long the responses of a majority allow the leader to serve reads from its own state, counted like
   * `checkQuorumMs`. The lease is safe only because it starts no later than the election timeouts of the followers.
   */
  readonly leaseMs: number
  /** Upper bound of the relative deviation of each clock's rate from real time. */
  readonly clockRateBound: number
  /** Limits of one append request. */
  readonly maxAppendEntries: number
  readonly maxAppendBytes: number
  /** Limits of the append requests to one replica that are in flight. */
  readonly maxInflightAppends: number
  readonly maxInflightBytes: number
  /** Proposals are rejected while the uncommitted part of the log has reached either limit. */
  readonly maxUncommittedEntries: number
  readonly maxUncommittedBytes: number
  /** Size of one snapshot chunk, and the time after which an unacknowledged chunk is sent again. */
  readonly snapshotChunkBytes: number
  readonly snapshotResendMs: number
  /**
   * Limits of the trailing entries: those that the latest snapshot covers but that stay in memory, so that a slightly
   * lagging replica does not need the snapshot.
   */
  readonly keepTailEntries: number
  readonly keepTailBytes: number
  /** A learner has caught up when it lags by at most this many entries. */
  readonly learnerMaxLagEntries: number
  /** A replacement is aborted when the new voter has not responded for this long. */
  readonly learnerSilenceMs: number
  /**
   * Time limit of a leadership transfer. If the target has not caught up by then, the transfer is cancelled; if it was
   * already asked to start an election, the leader becomes a follower.
   */
  readonly transferTimeoutMs: number
}

/**
 * Defaults for a one-way network delay of 12 ms between regions and disks that take up to 100 ms to sync.
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
 * Throws a `RangeError` if the lease or the check-quorum timeout of a leader could outlast the minimum election timeout
 * of a voter. A deposed leader could then still serve reads, or act as the leader, after the next one is elected.
 *
 * @example
 * validateSettings({ ...defaultReplicaSettings, leaseMs: 700 }) // throws
 */
export function validateSettings (settings: ReplicaSettings): void {
  // A timeout of t on a clock of rate r lasts t / r. The leader's clock may be the slowest and a voter's the fastest,
  // so leaseMs / (1 - bound) must not exceed electionMinMs / (1 + bound). Both sides are multiplied by both rates.
  const scaledElectionMinMs = settings.electionMinMs * (1 - settings.clockRateBound)
  const fastestRate = 1 + settings.clockRateBound
  if (settings.leaseMs * fastestRate > scaledElectionMinMs) throw new RangeError('leaseMs can outlast electionMinMs when clock rates differ as much as clockRateBound allows')
  if (settings.checkQuorumMs * fastestRate > scaledElectionMinMs) {
    throw new RangeError('checkQuorumMs can outlast electionMinMs when clock rates differ as much as clockRateBound allows')
  }
}
