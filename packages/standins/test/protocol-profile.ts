/** Profiles of the protocol simulation: what it plays. Each is kept as it is, so that its seeds replay. */

/** What disturbs the protocol; `calm` leaves a gap between the others. */
export type Fault =
  | 'cancel' | 'evacuation' | 'maintenance' | 'restart' | 'cut_node' | 'transfer' | 'freeze' | 'cut_off' | 'crash' | 'leave' | 'slow_log' | 'odd_report' | 'configuration' | 'calm'

/** Lowest and highest value of a draw. */
export type Range = readonly [number, number]

/** Settings of a simulation. A share of 0 and a range of one value take no draw. */
export interface ProtocolProfile {
  readonly stepMs: number
  readonly workerIds: readonly string[]
  readonly nodeCount: number
  /** Time of the last fault and of the last job. */
  readonly faultsEndMs: number
  /** Time after the last fault within which every job must have ended. */
  readonly calmMs: number
  /** Time after the last fault from which the simulation ends once all jobs have ended. */
  readonly minCalmMs: number
  readonly faults: readonly Fault[]
  readonly jobIntervalMs: number
  readonly leaseMs: Range
  readonly runMs: Range
  readonly longRunShare: number
  readonly longRunMs: Range
  /** Share of the jobs with a second step that depends on the first one. */
  readonly secondStepShare: number
  /** Share of the jobs with a schedule, and the number of their occurrences, all of which are due. */
  readonly scheduledShare: number
  readonly occurrences: Range
  /** Time that a stop takes, in which the run may complete. */
  readonly stopMs: Range
  /** Share of the jobs that are urgent and within the guarantee of their organisation. */
  readonly urgentShare: number
  /** Share of the gangs of which a member fails in the first run; those of profiles without run each by itself. */
  readonly brokenGangShare: number
  /** Zones of the workers, in turn. */
  readonly zones: readonly string[]
  /** Whether requests reach the leader by way of other nodes, which follow the log. */
  readonly hasFollowers: boolean
  readonly refusedProposalShare: number
  /** Delays of messages after the last fault; `long` ones go on for ever. */
  readonly calmDelays: 'long' | 'short'
  /** Policies of the leader; the system uses the adaptive ones. */
  readonly policies: 'plain' | 'adaptive'
}

/** Two workers, whose runs are much shorter than a lease. */
export const SHORT_RUNS: ProtocolProfile = {
  stepMs: 5,
  workerIds: ['w1', 'w2'],
  nodeCount: 2,
  faultsEndMs: 12_000,
  calmMs: 20_000,
  minCalmMs: Infinity,
  faults: ['transfer', 'freeze', 'cut_off', 'crash', 'leave', 'slow_log', 'odd_report', 'configuration', 'calm'],
  jobIntervalMs: 250,
  leaseMs: [3_000, 3_000],
  runMs: [50, 900],
  longRunShare: 0,
  longRunMs: [0, 0],
  secondStepShare: 0,
  scheduledShare: 0,
  occurrences: [1, 1],
  stopMs: [0, 0],
  urgentShare: 0,
  brokenGangShare: 0,
  zones: ['a'],
  hasFollowers: false,
  refusedProposalShare: 0,
  calmDelays: 'long',
  policies: 'plain'
}

/** Four workers, some of whose runs are longer than a lease and a term, and work that becomes ready by an end. */
export const LONG_RUNS: ProtocolProfile = {
  ...SHORT_RUNS,
  stepMs: 10,
  workerIds: ['w1', 'w2', 'w3', 'w4'],
  faultsEndMs: 25_000,
  // Two steps of the longest runs, one after the other, and lost runs before them.
  calmMs: 100_000,
  minCalmMs: 10_000,
  jobIntervalMs: 700,
  leaseMs: [3_000, 6_000],
  longRunShare: 0.35,
  longRunMs: [900, 25_000],
  secondStepShare: 0.4,
  calmDelays: 'short',
  policies: 'adaptive'
}

/** What the system does, as far as the simulation plays it. */
export const WHOLE_SYSTEM: ProtocolProfile = {
  ...LONG_RUNS,
  nodeCount: 3,
  faults: [...SHORT_RUNS.faults, 'leave', 'restart', 'cut_node', 'cancel', 'cancel', 'evacuation', 'maintenance'],
  jobIntervalMs: 500,
  stopMs: [10, 200],
  urgentShare: 0.2,
  brokenGangShare: 0.3,
  zones: ['a', 'b'],
  hasFollowers: true,
  refusedProposalShare: 0.02
}

/**
 * Jobs with many due occurrences, most of which are done or have not started when a replica is restored. Their runs are
 * short, so that all of them can end within the calm time.
 */
export const RECURRING_JOBS: ProtocolProfile = {
  ...WHOLE_SYSTEM,
  faults: [...WHOLE_SYSTEM.faults, 'restart', 'restart'],
  jobIntervalMs: 1_000,
  runMs: [50, 900],
  longRunShare: 0,
  scheduledShare: 0.6,
  occurrences: [2, 30]
}
