/** Numbers of the batch scheduler. */

/** Every number that the leader and its scheduler use. */
export interface BatchSettings {
  /** Lease that an answer to a heartbeat grants, counted from its sending. */
  readonly leaseMs: number
  /** Largest relative error of a worker's clock. */
  readonly clockRateBound: number
  /** Added to a lease before its runs count as ended, for the way of the heartbeat. */
  readonly leaseMarginMs: number
  /** Workers drop an answer that comes later than this. */
  readonly reportTimeoutMs: number
  /** A heartbeat is answered without its commands after this wait, below the worker's limit. */
  readonly maxReportHoldMs: number
  /** A heartbeat waits this long for a scheduling pass that is due. */
  readonly maxPassHoldMs: number
  /** A heartbeat of a worker without work waits this long for work, below the worker's limit. */
  readonly maxIdleHoldMs: number
  /** Wait that a worker keeps before its next heartbeat. */
  readonly nextReportMs: number
  /** The same for a worker without work, whose heartbeat then waits for work. */
  readonly nextIdleReportMs: number
  /** Heartbeats that the leader takes from all workers; the wait grows where there are many. */
  readonly maxReportsPerSecond: number
  /** A worker that has been silent for this long gets no new runs. */
  readonly silentAfterMs: number
  /** Time from the start of a term until an absent run of an earlier term is believed to be absent. */
  readonly inheritedRunGraceMs: number
  /** Time in which a job of priority 0 within its organisation's guarantee must have begun. */
  readonly reclaimMs: number
  /** Time that stops and the start after them take, so that a reclaim begins this long before it is due. */
  readonly reclaimLeadMs: number
  /** Time from the start of a term in which most workers have not been heard, so that full room may only seem so. */
  readonly fleetSettleMs: number
  /** Work of others that may be thrown away for an urgent step, as a multiple of its own. */
  readonly reclaimWorkFactor: number
  /** Core-seconds of others' work that may be thrown away for any urgent step. */
  readonly leastReclaimBudgetCoreSeconds: number
  /** Times as long that a same-rack gang takes over several racks. */
  readonly farFactor: number
  /** Share of the fleet in use from which work may wait longer for a better rack. */
  readonly busyFleetShare: number
  /** Waiting steps that room is held back for. */
  readonly maxReservations: number
  /** Interval between two scheduling passes at most. */
  readonly passIntervalMs: number
  /** Occurrences start this long after they are due, so that clocks that differ start none early. */
  readonly dueMarginMs: number
  /** A leaving worker may live this much longer than it says; work that would be lost stays for that long. */
  readonly leavingGraceMs: number
  /** A run without progress for this long stands still; its worker gets no new runs after the second. */
  readonly stalledAfterMs: number
  readonly suspectAfterMs: number
  /** Time for which the members of a gang wait for one another. */
  readonly gangWaitMs: number
  /** Calls of an earlier leader about a VM are over this long after the start of a term. */
  readonly orderLeaseMs: number
  /** Time from the begin of a maintenance until its worker is surely back. */
  readonly maintenanceDownMs: number
  /** Longest wait for the runs of a VM before its maintenance. */
  readonly maxMaintenancePatienceMs: number
  /** Retention of ended jobs. */
  readonly endedJobRetentionMs: number
  /** Most workers that one call for advice may name. */
  readonly maxAdviceWorkers: number
}

/**
 * Defaults; the node's settings override those that the deployment gives.
 *
 * @example
 * const settings: BatchSettings = { ...defaultBatchSettings, leaseMs: 4_000 }
 */
export const defaultBatchSettings: BatchSettings = {
  leaseMs: 6_000,
  clockRateBound: 0.02,
  leaseMarginMs: 400,
  reportTimeoutMs: 1_000,
  maxReportHoldMs: 600,
  maxPassHoldMs: 60,
  maxIdleHoldMs: 600,
  nextReportMs: 200,
  nextIdleReportMs: 50,
  maxReportsPerSecond: 3_000,
  silentAfterMs: 2_500,
  inheritedRunGraceMs: 2_000,
  reclaimMs: 5_700,
  reclaimLeadMs: 2_200,
  fleetSettleMs: 2_000,
  reclaimWorkFactor: 3,
  leastReclaimBudgetCoreSeconds: 1_000,
  farFactor: 3,
  busyFleetShare: 0.6,
  maxReservations: 4,
  passIntervalMs: 20,
  dueMarginMs: 20,
  leavingGraceMs: 6_000,
  stalledAfterMs: 4_000,
  suspectAfterMs: 1_500,
  gangWaitMs: 3_000,
  orderLeaseMs: 3_000,
  maintenanceDownMs: 3_500,
  maxMaintenancePatienceMs: 10_000,
  endedJobRetentionMs: 240_000,
  maxAdviceWorkers: 100
}
