/** Decisions of a scheduling pass, and the reports of the gang scheduler. */
import type { Failure, Placement } from '@comfreygrade/core'

/**
 * How a job on lent capacity is preempted: after writing a checkpoint, or by stopping it without one. The job is
 * requeued in both cases; after `stop` it starts anew.
 */
export type ReclaimMethod = 'checkpoint' | 'stop'

/**
 * One decision of a scheduling pass. `place` starts a gang. `reclaim` preempts a job that runs on lent capacity, for a
 * guarantee or for an urgent job; the preempted job is requeued. `stop` ends a job for good with the given failure.
 */
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
  /**
   * Accelerators of guaranteed cells that are occupied by jobs on lent capacity. Those of unbound cells, which have no
   * fixed place, are attributed to the guarantees of the model in the order of the configuration.
   */
  readonly lentAccelerators: number
  /** Guaranteed cells that the available workers cannot provide. */
  readonly missingCells: number
}

/** Summary of the fleet for operators. */
export interface FleetReport {
  readonly accelerators: number
  /** Accelerators of placed jobs, without the cells that are claimed for a job while others vacate them. */
  readonly acceleratorsInUse: number
  /** Accelerators of workers that have not joined, were lost or are quarantined. */
  readonly acceleratorsLost: number
  /**
   * Fraction, 0 to 1, of the free accelerators that the largest waiting gang of their model cannot use. Only models
   * with waiting gangs count; 0 if there are none.
   */
  readonly fragmentation: number
  /** Jobs that are waiting for capacity, or for preempted jobs to vacate the cells claimed for them. */
  readonly waitingJobs: number
  readonly runningJobs: number
  readonly guarantees: readonly GuaranteeReport[]
  readonly quarantinedWorkerIds: readonly string[]
  readonly drainingWorkerIds: readonly string[]
}

/**
 * Result of checking the reclaim invariant: the available workers can provide all guarantees at the same time, where
 * capacity that is lent to preemptible jobs counts as available.
 */
export interface ReclaimCheck {
  readonly isReclaimable: boolean
  readonly missingCells: ReadonlyArray<{ readonly guaranteeId: string, readonly cells: number }>
}
