/** Jobs as the gang scheduler keeps them. */
import type { CapacityClass, JobSpec, Placement } from '@comfreygrade/core'
import type { Binding } from './guarantees.js'
import type { GangShape } from './shapes.js'
import type { WaitingGroup } from './waiting-jobs.js'

/** Where a job is in the scheduler; `claiming` holds cells that other jobs still have to leave. */
export type RecordState = 'waiting' | 'claiming' | 'placed'

/** Cells chosen for a whole gang. */
export interface GangPlan {
  readonly capacityClass: CapacityClass
  /** One cell for each task. */
  readonly cells: readonly number[]
  /** Guaranteed cells that the tasks use; one entry for each task, none for lent capacity. */
  readonly bindings: readonly Binding[]
  /** Jobs that have to leave first. */
  readonly victims: ReadonlySet<JobRecord>
  /** One sentence for `explain`. */
  readonly reason: string
}

/** A job with its state; owned by the scheduler. */
export interface JobRecord {
  readonly spec: JobSpec
  /** Order of submission. */
  readonly sequence: number
  readonly submittedMs: number
  shape: GangShape
  state: RecordState
  plan: GangPlan | undefined
  placement: Placement | undefined
  startedMs: number
  /** Accelerators that count against the quota. */
  heldAccelerators: number
  isReclaiming: boolean
  /** Whether the job ends, rather than waits again, when its cells are free. */
  isLeaving: boolean
  readonly failedWorkerIds: Set<string>
  hasFailedTask: boolean
  /** Jobs that wait for this one to leave. */
  readonly claimants: Set<JobRecord>
  /** Jobs that this one still waits for. */
  readonly waitsFor: Set<JobRecord>
  group: WaitingGroup | undefined
  previous: JobRecord | undefined
  next: JobRecord | undefined
}

/** Whether a job may be asked to leave lent capacity. */
export function isReclaimable (spec: JobSpec): boolean {
  return spec.preemption !== 'none'
}

/** A job that was just submitted. */
export function createRecord (spec: JobSpec, shape: GangShape, sequence: number, nowMs: number): JobRecord {
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
    isReclaiming: false,
    isLeaving: false,
    failedWorkerIds: new Set(),
    hasFailedTask: false,
    claimants: new Set(),
    waitsFor: new Set(),
    group: undefined,
    previous: undefined,
    next: undefined
  }
}
