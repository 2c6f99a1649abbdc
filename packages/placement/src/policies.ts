/** Policies of the gang scheduler: what varies between the real one and the baseline. */
import type { JobPriority, JobSpec } from '@comfreygrade/core'
import type { CellPool } from './cells.js'
import type { FreeCells } from './occupancy.js'

/** What a policy sees of the job that a group of waiting jobs would start next. */
export interface WaitingHead {
  readonly priority: JobPriority
  /** Order of submission. */
  readonly sequence: number
  /** The organisation's attained service against its quota. */
  readonly share: number
}

const PRIORITY_ORDER: Readonly<Record<JobPriority, number>> = { urgent: 0, normal: 1, low: 2 }

/**
 * Compares priorities.
 *
 * @example
 * comparePriority('urgent', 'low') < 0
 */
export function comparePriority (left: JobPriority, right: JobPriority): number {
  return PRIORITY_ORDER[left] - PRIORITY_ORDER[right]
}

/** Decisions that differ between schedulers. */
export abstract class PlacementPolicy {
  /** Name for reports. */
  abstract readonly name: string
  /** Order in which waiting jobs are considered; negative where `left` goes first. */
  abstract compareWaiting (left: WaitingHead, right: WaitingHead): number
  /** Racks of a pool with at least `minFree` free accelerators, in the order in which they are tried. */
  abstract candidateRacks (cells: FreeCells, pool: CellPool, minFree: number): Iterable<number>
  /** Whether the smallest cell that fits is taken, or the first. */
  abstract takesSmallestCell (): boolean
  /** Whether guaranteed cells are bound and lent capacity is reclaimed for them. */
  abstract usesGuarantees (): boolean
  /** Whether urgent jobs take lent capacity of lower priorities. */
  abstract reclaimsForUrgent (): boolean
  /** Whether jobs may start before an earlier one that does not fit, without delaying its reserved start. */
  abstract backfills (): boolean
  /** Estimated run time in milliseconds; `learnedMs` is undefined without enough history. */
  abstract estimateRunMs (spec: JobSpec, learnedMs: number | undefined): number
}

/** The policy of production: best fit in buddy cells, guarantees, fair shares, EASY backfilling, learned run times. */
export class BuddyCellPolicy extends PlacementPolicy {
  readonly name: string = 'buddy cells'

  override compareWaiting (left: WaitingHead, right: WaitingHead): number {
    return comparePriority(left.priority, right.priority) || left.share - right.share || left.sequence - right.sequence
  }

  override candidateRacks (cells: FreeCells, pool: CellPool, minFree: number): Iterable<number> {
    return cells.racksByFullness(pool.index, minFree)
  }

  override takesSmallestCell (): boolean {
    return true
  }

  override usesGuarantees (): boolean {
    return true
  }

  override reclaimsForUrgent (): boolean {
    return true
  }

  override backfills (): boolean {
    return true
  }

  override estimateRunMs (spec: JobSpec, learnedMs: number | undefined): number {
    return learnedMs ?? spec.declaredRunMs
  }
}

/** The baseline: first come, first served, first fit, no guarantees, nothing overtakes the first waiting job. */
export class FirstFitPolicy extends PlacementPolicy {
  readonly name: string = 'first fit'

  override compareWaiting (left: WaitingHead, right: WaitingHead): number {
    return left.sequence - right.sequence
  }

  override candidateRacks (cells: FreeCells, pool: CellPool, minFree: number): Iterable<number> {
    return pool.rackIndexes.filter(rackIndex => cells.freeInRack(rackIndex) >= minFree)
  }

  override takesSmallestCell (): boolean {
    return false
  }

  override usesGuarantees (): boolean {
    return false
  }

  override reclaimsForUrgent (): boolean {
    return false
  }

  override backfills (): boolean {
    return false
  }

  override estimateRunMs (spec: JobSpec): number {
    return spec.declaredRunMs
  }
}
