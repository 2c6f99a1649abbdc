/** Settings of the batch scheduler. */

/** Whether organisations that occupy more than their share of a busy fleet come later, within lateness and priority. */
export type SharingRule = 'none' | 'fair'

/** Which jobs are refused: those that no worker could hold, or also those that the backlog makes useless. */
export type AdmissionRule = 'shape' | 'backlog'

/** Whether run times that were learned only show in metrics and the log, or also decide. */
export type RunTimeRule = 'observed' | 'learned'

/** Settings of the leader and its scheduler. A heartbeat is the message that carries a worker's report. */
export interface BatchSettings {
  /**
   * Lease that the answer to a heartbeat grants, counted from the sending of the heartbeat. A worker may keep its runs
   * while it has a lease, and they end with the lease, so that the tasks can be run elsewhere afterwards.
   */
  readonly leaseMs: number
  /** Largest relative rate error of a worker's clock. */
  readonly clockRateBound: number
  /**
   * Allowance for the travel time of heartbeats, added to a lease before its runs count as ended. The leader counts the
   * lease from the arrival of a heartbeat, the worker from its sending.
   */
  readonly leaseMarginMs: number
  /** Workers discard an answer that comes later than this after their heartbeat. */
  readonly reportTimeoutMs: number
  /**
   * Longest time for which the answer to a heartbeat waits until proposed commands that concern the worker are
   * settled (committed or rejected); below `reportTimeoutMs`.
   */
  readonly maxReportHoldMs: number
  /** Longest time for which the answer waits for a scheduling pass that is due. */
  readonly maxPassHoldMs: number
  /**
   * Longest time for which the answer to a heartbeat is held until there are orders for its worker; below
   * `reportTimeoutMs`.
   */
  readonly maxLongPollMs: number
  /**
   * The same for a worker with a member of a gang whose other members cannot be started yet. The difference to
   * `reportTimeoutMs` covers the way of the heartbeat and of its answer.
   */
  readonly gangAssemblyHoldMs: number
  /** Longest time for which members of a gang are not started because others cannot be. */
  readonly gangAssemblyMs: number
  /** Time from the answer until the worker's next heartbeat. */
  readonly nextReportMs: number
  /** The same where the answer to that heartbeat will be held. */
  readonly nextHeldReportMs: number
  /** Most heartbeats of all workers together; in a large fleet the time between heartbeats grows accordingly. */
  readonly maxReportsPerSecond: number
  /**
   * A worker whose next heartbeat is overdue by this much gets no new runs; longer than `reportTimeoutMs`, after which
   * a worker sends another one in place of a heartbeat that was delayed.
   */
  readonly reportOverdueMs: number
  /** Time from the start of a term before a run of an earlier term that is not reported counts as absent. */
  readonly inheritedRunGraceMs: number
  /** Time within which a job of priority 0 that its organisation's guarantee covers must have started. */
  readonly reclaimMs: number
  /**
   * A reclaim begins this long before it is due, to allow for the time from the decision to stop runs until the step
   * has started.
   */
  readonly reclaimLeadMs: number
  /** Time from the start of a term until all workers have reported; before that, capacity may seem to be lacking. */
  readonly fleetDiscoveryMs: number
  /**
   * Work that may be discarded for an urgent step, as a multiple of the estimated work that remains from this step on
   * along the critical path.
   */
  readonly reclaimWorkFactor: number
  /** Core-seconds that may be discarded for any urgent step, however little work remains for it. */
  readonly minReclaimBudgetCoreSeconds: number
  /** Region of each availability zone of the deployment; empty where the settings name none. */
  readonly regionByAvailabilityZone: Readonly<Record<string, string>>
  readonly runTimes: RunTimeRule
  readonly sharing: SharingRule
  readonly admission: AdmissionRule
  /** Slowdown of a same-rack gang that is spread over several racks. */
  readonly farFactor: number
  /** Utilisation of the fleet from which steps may wait longer for a better rack. */
  readonly busyFleetUtilisation: number
  /** Most waiting steps with a reservation in one pass. */
  readonly maxReservations: number
  /** Shortest interval between two scheduling passes. */
  readonly passIntervalMs: number
  /** Occurrences start this long after they are due, so that clock differences start none early. */
  readonly dueMarginMs: number
  /** Runs on a leaving worker whose work would be lost may be estimated to take this much longer than it lives. */
  readonly leavingGraceMs: number
  /**
   * Time before a leaving worker may be gone at which its runs are stopped, so that it reports how they ended: for the
   * next heartbeat, the stop, the heartbeat that lists the end and its answer.
   */
  readonly leavingStopLeadMs: number
  /**
   * A run without progress for this long, plus allowances for its estimate and for gangs, has stalled and is evicted.
   */
  readonly stalledAfterMs: number
  /**
   * A run without progress for this long, plus an allowance for its estimate, is suspect: its worker gets no new runs.
   */
  readonly suspectAfterMs: number
  /** Longest time for which gang members wait for one another; a gang's runs count as stalled this much later. */
  readonly gangWaitMs: number
  /**
   * Time from the start of a term in which the leader begins no maintenance, since maintenance calls of an earlier
   * leader may still be in progress; longer than such a call can take. Unrelated to worker orders and leases.
   */
  readonly maintenanceCallGraceMs: number
  /** Time from the beginning of a VM's maintenance until its worker is certainly back. */
  readonly maintenanceDownMs: number
  /**
   * Longest wait for the runs of a VM to end before its maintenance, which ends the runs that are left. The wait has no
   * limit while the disruption budget of a lasting step forbids to stop one of them.
   */
  readonly maxMaintenanceDrainMs: number
  /**
   * Time from the acknowledgement of an evacuation after which no task starts in its zone; a run that a worker reports
   * as started later is logged. Longer than `reportTimeoutMs`, for which a start order may be on its way.
   */
  readonly evacuateMs: number
  /** Time for which ended jobs are kept. */
  readonly endedJobRetentionMs: number
  /** Most memory of all stored jobs, without their tasks that have started; further jobs are refused. */
  readonly maxJobBytes: number
  /**
   * Most tasks that have started and are not done. No further task starts while there are as many, so that the state of
   * tasks that start and are stopped again and again stays within the memory of a process.
   */
  readonly maxStartedTasks: number
  /** Most workers that one request to the advice service may name. */
  readonly maxAdviceWorkers: number
}

/**
 * Default settings, which a deployment's settings override.
 *
 * @example
 * const settings: BatchSettings = { ...defaultBatchSettings, leaseMs: 4_000 }
 */
export const defaultBatchSettings: BatchSettings = {
  leaseMs: 6_000,
  clockRateBound: 0.02,
  leaseMarginMs: 400,
  reportTimeoutMs: 1_000,
  maxReportHoldMs: 750,
  maxPassHoldMs: 60,
  maxLongPollMs: 600,
  gangAssemblyHoldMs: 750,
  gangAssemblyMs: 2_000,
  nextReportMs: 200,
  nextHeldReportMs: 50,
  maxReportsPerSecond: 3_000,
  reportOverdueMs: 1_300,
  inheritedRunGraceMs: 2_000,
  reclaimMs: 5_700,
  reclaimLeadMs: 2_200,
  fleetDiscoveryMs: 2_000,
  reclaimWorkFactor: 3,
  minReclaimBudgetCoreSeconds: 1_000,
  regionByAvailabilityZone: {},
  runTimes: 'observed',
  sharing: 'none',
  admission: 'shape',
  farFactor: 3,
  busyFleetUtilisation: 0.6,
  maxReservations: 4,
  passIntervalMs: 20,
  dueMarginMs: 20,
  leavingGraceMs: 6_000,
  leavingStopLeadMs: 1_000,
  stalledAfterMs: 4_000,
  suspectAfterMs: 1_500,
  gangWaitMs: 3_000,
  maintenanceCallGraceMs: 3_000,
  maintenanceDownMs: 3_500,
  maxMaintenanceDrainMs: 10_000,
  evacuateMs: 5_000,
  endedJobRetentionMs: 240_000,
  maxJobBytes: 67_108_864,
  maxStartedTasks: 100_000,
  maxAdviceWorkers: 100
}
