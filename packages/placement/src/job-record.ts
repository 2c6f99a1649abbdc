/** The scheduler's record of a job. */
import type { CapacityClass, JobSpec, Placement } from '@comfreygrade/core'
import type { Binding } from './guarantees.js'
import type { GangShape } from './shapes.js'
import type { WaitingGroup } from './waiting-jobs.js'

/** State of a job in the scheduler; a `claiming` job has cells that preempted jobs have not vacated yet. */
export type JobRecordState = 'waiting' | 'claiming' | 'placed'

/** Cells chosen for a whole gang. */
export interface GangPlan {
  /**
   * `guaranteed` if all cells are bound to guarantees of the organisation. Otherwise `lent`, whether or not a guarantee
   * covers the cells: also in a fleet without guarantees, and for non-preemptible jobs.
   */
  readonly capacityClass: CapacityClass
  /** One cell for each task, in order; a restored plan has none for tasks whose workers left the inventory. */
  readonly cells: readonly number[]
  /** Guaranteed cells that the tasks use, one entry for each task; empty on lent capacity. */
  readonly bindings: readonly Binding[]
  /** Jobs that must vacate the cells first. */
  readonly victims: ReadonlySet<JobRecord>
  /** One sentence for `explain`: why these cells. */
  readonly reason: string
}

/** A job and its mutable state; owned by the scheduler. */
export interface JobRecord {
  readonly spec: JobSpec
  /** Order of submission. */
  readonly sequence: number
  /** Time of submission; of a restored job, its start. */
  readonly submittedMs: number
  shape: GangShape
  state: JobRecordState
  plan: GangPlan | undefined
  placement: Placement | undefined
  /** Start of the latest placement; time of submission until the first one. */
  startedMs: number
  /** Accelerators that count against the quota. */
  heldAccelerators: number
  isBeingPreempted: boolean
  /** Whether the job ends, rather than being requeued, once it has vacated its cells. */
  isTerminating: boolean
  /** Workers on which tasks of the job failed since its submission; it is not placed on them again. */
  readonly failedWorkerIds: Set<string>
  /** Whether a task failed since the latest placement. */
  hasFailedTask: boolean
  /** Jobs whose claims wait for this one to vacate its cells. */
  readonly claimants: Set<JobRecord>
  /** Preempted jobs that have not vacated the claimed cells yet. */
  readonly pendingVictims: Set<JobRecord>
  /** Group of the job while it is waiting; `previous` and `next` are its neighbours in the list of that group. */
  group: WaitingGroup | undefined
  previous: JobRecord | undefined
  next: JobRecord | undefined
}

/** Whether a job on lent capacity may be preempted. */
export function isPreemptible (spec: JobSpec): boolean {
  return spec.preemption !== 'none'
}

/** Creates the record of a submitted job. */
export function createJobRecord (spec: JobSpec, shape: GangShape, sequence: number, nowMs: number): JobRecord {
  return {
    spec,
    sequence,
    submittedMs: nowMs,
    shape,
    state: 'waiting',
    plan: undefined,
    placement: undefined,
    startedMs: nowMs,
    heldAccelerators: 0,
    isBeingPreempted: false,
    isTerminating: false,
    failedWorkerIds: new Set(),
    hasFailedTask: false,
    claimants: new Set(),
    pendingVictims: new Set(),
    group: undefined,
    previous: undefined,
    next: undefined
  }
}
