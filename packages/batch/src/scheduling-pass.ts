/** Input, working state and result of a scheduling pass. */
import type { Assignment } from './commands.js'
import type { FailedPlacements } from './failed-placements.js'
import type { PermittedRegions } from './permitted-regions.js'
import type { WaitingStep } from './waiting-steps.js'
import type { WorkerCapacity } from './worker-capacity.js'
import type { UnschedulableReason } from './worker-registry.js'
import type { WorkerView } from './worker-view.js'

/** Volatile state that a pass reads besides the replicated state. */
export interface FleetView {
  readonly views: Iterable<WorkerView>
  /** Why a worker gets no new runs; undefined where it may get some. */
  readonly unschedulableReason: (view: WorkerView) => UnschedulableReason | undefined
  readonly isStopping: (assignment: Assignment) => boolean
  /** Whether start orders reach a worker at once, since its heartbeat waits for the answer. */
  readonly isReachable: (workerId: string) => boolean
  /** Incarnations of the workers with a valid ticket for a step, by worker. */
  readonly permittedWorkers: (key: string) => ReadonlyMap<string, number>
}

/** A run that is preempted for an urgent step. */
export interface Reclaim {
  readonly assignment: Assignment
  readonly forStepKey: string
  /** Work that the whole plan for the step discards, not only this run. */
  readonly lostCoreSeconds: number
}

/**
 * Why tasks of a step were not placed: the step needs tickets, no worker could ever hold a task, no such worker is in a
 * region that the step may run in, all racks that could hold the gang or that have the data are in use, runs are being
 * stopped for it, capacity is reserved for it, it has to wait for any capacity, or so many tasks have started and are
 * not done that the state takes no further ones.
 */
export type WaitReason =
  | 'ticket' | 'no_worker' | 'region' | 'rack' | 'data_rack' | 'reclaim' | 'reservation' | 'capacity' | 'state_limit'

/** A step with tasks that were not placed in a pass. */
export interface StepWait {
  readonly step: WaitingStep
  readonly reason: WaitReason
  /** Number of tasks that were not placed. */
  readonly taskCount: number
  /** For a reservation: time until all tasks are expected to fit. */
  readonly expectedStartMs?: number
}

/** Result of a pass. */
export interface PassDecision {
  /** Workers that may get new runs, with the capacity that the pass left free; empty where no step waited. */
  readonly workers: readonly WorkerCapacity[]
  /** Whether all workers have had time to report to this leader. */
  readonly isFleetKnown: boolean
  readonly assignments: readonly Assignment[]
  readonly reclaims: readonly Reclaim[]
  /** Steps with tasks that were not placed and could be, if the advice service granted further tickets for them. */
  readonly stepsNeedingTickets: readonly WaitingStep[]
  /** Steps that were considered and not placed completely. */
  readonly waits: readonly StepWait[]
  /** Number of workers that could not get new runs, by reason; empty where no step waited. */
  readonly unschedulableWorkers: ReadonlyMap<UnschedulableReason, number>
  /** Number of tasks of open jobs that had started before the pass and were not done. */
  readonly startedTaskCount: number
}

/** Working state of a pass. */
export interface Pass extends PassDecision {
  readonly nowWallMs: number
  readonly regions: PermittedRegions
  /** Longest wait for a better rack; unlimited while the fleet is busy. */
  readonly maxRackWaitMs: number
  readonly assignments: Assignment[]
  readonly reclaims: Reclaim[]
  readonly stepsNeedingTickets: WaitingStep[]
  readonly waits: StepWait[]
  readonly failed: FailedPlacements
  reservationCount: number
  /** Number of steps that were tried and did not fit completely. */
  unplacedStepCount: number
  /** Number of steps that waited for tickets. */
  ticketWaitCount: number
  /** Number of tasks that have not started before and may start in this pass. */
  newTaskRoom: number
}

/**
 * What became of a step in a pass. Of a job's further occurrences, the next one is considered only where it may fare
 * otherwise: not where no worker or no capacity for such a task is known (`excluded`).
 */
export type StepOutcome = 'placed' | 'tried' | 'ticket' | 'excluded'

/** Why a step was not placed completely. */
export type UnplacedReason = Pick<StepWait, 'reason' | 'expectedStartMs'>

/**
 * Most tasks that a pass places before it ends, unless the last step is a gang; the next pass follows at once. It
 * bounds the time of a pass and the size of the command that records it.
 */
export const MAX_ASSIGNMENTS_PER_PASS = 1_000
/** Most steps without a ticket in a pass after which further occurrences of their jobs are considered. */
const MAX_TICKET_WAITS_PER_PASS = 256

/** Whether the next occurrence of a step's job may be considered. */
export function mayFollow (outcome: StepOutcome, { ticketWaitCount }: Pass): boolean {
  return outcome !== 'excluded' && ticketWaitCount <= MAX_TICKET_WAITS_PER_PASS
}

/** Whether a pass may try a further step, where it tries at most `maxUnplaced` that do not fit. */
export function mayContinue (pass: Pass, maxUnplaced: number): boolean {
  return pass.unplacedStepCount < maxUnplaced && pass.assignments.length < MAX_ASSIGNMENTS_PER_PASS
}
