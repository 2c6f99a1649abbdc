/** Placement policies: the production policy and a baseline for comparison. */
import type { JobPriority, JobSpec } from '@comfreygrade/core'
import type { CellPool } from './cells.js'
import type { FreeCellIndex } from './occupancy.js'

/** Sort key of a waiting job. */
export interface WaitingOrderKey {
  readonly priority: JobPriority
  /** Order of submission. */
  readonly sequence: number
  /** The organisation's attained service relative to its quota; `-Infinity` for the holder of a reservation. */
  readonly attainedShare: number
}

const PRIORITY_ORDER: Readonly<Record<JobPriority, number>> = { urgent: 0, normal: 1, low: 2 }

/**
 * Compares priorities; negative if `left` is the higher one.
 *
 * @example
 * comparePriority('urgent', 'low') < 0
 */
export function comparePriority (left: JobPriority, right: JobPriority): number {
  return PRIORITY_ORDER[left] - PRIORITY_ORDER[right]
}

/** The choices of the gang scheduler that vary between policies. */
export abstract class PlacementPolicy {
  /** Name in benchmark reports. */
  abstract readonly name: string
  /** Order in which waiting jobs are tried; negative if `left` comes first. */
  abstract compareWaiting (left: WaitingOrderKey, right: WaitingOrderKey): number
  /** Racks of a pool with at least `minFree` free accelerators, in the order in which they are searched. */
  abstract racksInSearchOrder (cells: FreeCellIndex, pool: CellPool, minFree: number): Iterable<number>
  /** Whether cells are chosen by best fit (the smallest that is large enough) instead of first fit. */
  abstract usesBestFit (): boolean
  /** Whether guarantees are honoured: cells are bound to them, and lent capacity is reclaimed for them. */
  abstract usesGuarantees (): boolean
  /** Whether urgent jobs preempt jobs of lower priority on lent capacity. */
  abstract preemptsForUrgent (): boolean
  /** Whether jobs may start ahead of one that does not fit, as long as they do not delay its reserved start. */
  abstract backfills (): boolean
  /** Estimated run time in milliseconds; `learnedMs` is undefined until enough runs have finished. */
  abstract estimateRunMs (spec: JobSpec, learnedMs: number | undefined): number
}

/** Production policy: best fit in buddy cells, guarantees, fair sharing, EASY backfilling, learned run times. */
export class BuddyCellPolicy extends PlacementPolicy {
  readonly name: string = 'buddy cells'

  override compareWaiting (left: WaitingOrderKey, right: WaitingOrderKey): number {
    return comparePriority(left.priority, right.priority) || left.attainedShare - right.attainedShare ||
      left.sequence - right.sequence
  }

  override racksInSearchOrder (cells: FreeCellIndex, pool: CellPool, minFree: number): Iterable<number> {
    return cells.racksByFullness(pool.index, minFree)
  }

  override usesBestFit (): boolean {
    return true
  }

  override usesGuarantees (): boolean {
    return true
  }

  override preemptsForUrgent (): boolean {
    return true
  }

  override backfills (): boolean {
    return true
  }

  override estimateRunMs (spec: JobSpec, learnedMs: number | undefined): number {
    return learnedMs ?? spec.declaredRunMs
  }
}

/** Baseline: first come, first served, first fit, without guarantees, preemption or backfilling. */
export class FirstFitPolicy extends PlacementPolicy {
  readonly name: string = 'first fit'

  override compareWaiting (left: WaitingOrderKey, right: WaitingOrderKey): number {
    return left.sequence - right.sequence
  }

  override racksInSearchOrder (cells: FreeCellIndex, pool: CellPool, minFree: number): Iterable<number> {
    return pool.rackIndexes.filter(rackIndex => cells.freeInRack(rackIndex) >= minFree)
  }

  override usesBestFit (): boolean {
    return false
  }

  override usesGuarantees (): boolean {
    return false
  }

  override preemptsForUrgent (): boolean {
    return false
  }

  override backfills (): boolean {
    return false
  }

  override estimateRunMs (spec: JobSpec): number {
    return spec.declaredRunMs
  }
}
