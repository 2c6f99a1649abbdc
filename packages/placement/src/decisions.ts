/** Decisions of a scheduling pass, and the reports of the gang scheduler. */
import type { Failure, Placement } from '@comfreygrade/core'

/** How a job on lent capacity is preempted: after writing a checkpoint, or by stopping it. */
export type ReclaimMethod = 'checkpoint' | 'stop'

/** One decision of a scheduling pass; `reclaim` preempts a job that runs on lent capacity. */
export type PlacementDecision =
  | { readonly kind: 'place', readonly jobId: string, readonly placement: Placement }
  | {
    readonly kind: 'reclaim'
    readonly jobId: string
    readonly method: ReclaimMethod
    /** The job that gets the capacity. */
    readonly forJobId: string
    readonly reason: string
  }
  | { readonly kind: 'stop', readonly jobId: string, readonly failure: Failure }

/** Use of one guarantee: the cells in use by its organisation, and the capacity lent to other jobs. */
export interface GuaranteeReport {
  readonly guaranteeId: string
  readonly organisationId: string
  readonly acceleratorModel: string
  readonly acceleratorsPerCell: number
  readonly cells: number
  readonly cellsInUse: number
  /** Accelerators of guaranteed cells that are occupied by jobs on lent capacity. */
  readonly lentAccelerators: number
  /** Guaranteed cells that the available workers cannot provide. */
  readonly missingCells: number
}

/** Summary of the fleet for operators. */
export interface FleetReport {
  readonly accelerators: number
  readonly acceleratorsInUse: number
  readonly acceleratorsLost: number
  /** Fraction, 0 to 1, of the free accelerators that the largest waiting gang cannot use. */
  readonly fragmentation: number
  readonly waitingJobs: number
  readonly runningJobs: number
  readonly guarantees: readonly GuaranteeReport[]
  readonly quarantinedWorkerIds: readonly string[]
  readonly drainingWorkerIds: readonly string[]
}

/** Result of checking the reclaim invariant: all organisations could use their whole guarantees at the same time. */
export interface ReclaimCheck {
  readonly isReclaimable: boolean
  readonly missingCells: ReadonlyArray<{ readonly guaranteeId: string, readonly cells: number }>
}
