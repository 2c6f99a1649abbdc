/** Results of a scheduling pass and reports of the gang scheduler. */
import type { Failure, Placement } from '@comfreygrade/core'

/** How lent capacity is taken back. */
export type ReclaimMethod = 'checkpoint' | 'stop'

/** What a scheduling pass decides. */
export type PlacementDecision =
  | { readonly kind: 'place', readonly jobId: string, readonly placement: Placement }
  | {
    readonly kind: 'reclaim'
    readonly jobId: string
    readonly method: ReclaimMethod
    /** The job that needs the capacity. */
    readonly forJobId: string
    readonly reason: string
  }
  | { readonly kind: 'stop', readonly jobId: string, readonly failure: Failure }

/** What an organisation holds and lends. */
export interface GuaranteeReport {
  readonly guaranteeId: string
  readonly organisationId: string
  readonly acceleratorModel: string
  readonly acceleratorsPerCell: number
  readonly cells: number
  readonly cellsInUse: number
  /** Accelerators of the cells not in use that jobs of others occupy at present. */
  readonly lentAccelerators: number
  /** Cells that the working hardware cannot hold any more. */
  readonly missingCells: number
}

/** State of the fleet for operators. */
export interface FleetReport {
  readonly accelerators: number
  readonly acceleratorsInUse: number
  readonly acceleratorsLost: number
  /** Share, 0 to 1, of free accelerators that the largest waiting shape cannot use. */
  readonly fragmentation: number
  readonly waitingJobs: number
  readonly runningJobs: number
  readonly guarantees: readonly GuaranteeReport[]
  readonly quarantinedWorkerIds: readonly string[]
  readonly drainingWorkerIds: readonly string[]
}

/** Result of the reclaim invariant: whether all organisations could claim their guarantees at once. */
export interface ReclaimCheck {
  readonly isReclaimable: boolean
  readonly missingCells: ReadonlyArray<{ readonly guaranteeId: string, readonly cells: number }>
}
