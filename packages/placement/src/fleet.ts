/** Occupancy of the cells by jobs, claims, reservations and unavailable workers. */
import type { Configuration } from '@comfreygrade/core'
import { type CellTree, NO_INDEX, buildCellTree } from './cells.js'
import { type Binding, GuaranteeAllocator } from './guarantees.js'
import { type GangPlan, type JobRecord, isPreemptible } from './job-record.js'
import { CellMarks, FreeCellIndex } from './occupancy.js'

/** A cell that could be allocated, with the jobs to preempt for it and the total cost of preempting them (no unit). */
export interface CandidateCell {
  readonly cell: number
  readonly cost: number
  readonly victims: ReadonlySet<JobRecord>
}

/** Whether a search may preempt a job. */
export type VictimFilter = (job: JobRecord) => boolean

const NO_VICTIMS: ReadonlySet<JobRecord> = new Set()

/**
 * The cells of one inventory and what occupies them. A claim keeps cells for a job until the jobs preempted for it have
 * vacated them.
 */
export class Fleet {
  readonly tree: CellTree
  /** Cells with jobs, claims or start-time reservations, and cells of unavailable workers. */
  readonly used: FreeCellIndex
  /** Cells that no further guarantee can be bound to: bound, unavailable, or used by a non-preemptible lent job. */
  readonly committed: FreeCellIndex
  /** Cells that no preemption can free: claimed, unavailable, or occupied by a guaranteed or non-preemptible job. */
  readonly nonPreemptible: CellMarks
  readonly unavailable: CellMarks
  readonly guarantees: GuaranteeAllocator
  readonly #jobByCell = new Map<number, JobRecord>()
  readonly #claimantByCell = new Map<number, JobRecord>()
  readonly #unavailableWorkers = new Set<number>()

  constructor (configuration: Configuration) {
    this.tree = buildCellTree(configuration)
    this.used = new FreeCellIndex(this.tree)
    this.committed = new FreeCellIndex(this.tree)
    this.nonPreemptible = new CellMarks(this.tree)
    this.unavailable = new CellMarks(this.tree)
    this.guarantees = new GuaranteeAllocator(this.tree, this.committed, this.unavailable, configuration)
  }

  /** Number of accelerators in the inventory. */
  get accelerators (): number {
    return this.tree.workers.reduce((sum, worker) => sum + worker.accelerators, 0)
  }

  /** Number of accelerators in the given cells. */
  acceleratorsOf (cells: readonly number[]): number {
    return cells.reduce((sum, cell) => sum + 2 ** this.tree.level[cell]!, 0)
  }

  /** Sets whether new tasks may be placed on a worker. */
  setAvailable (workerId: string, isAvailable: boolean): void {
    const index = this.tree.workerIndex(workerId)
    if (index === undefined || this.#unavailableWorkers.has(index) === !isAvailable) return
    if (isAvailable) this.#unavailableWorkers.delete(index)
    else this.#unavailableWorkers.add(index)
    for (const cell of this.tree.workers[index]!.topCells) this.#setUnavailable(cell, !isAvailable)
  }

  /** Runs a search with the given workers treated as unavailable. */
  withoutWorkers<T> (workerIds: Iterable<string>, search: () => T): T {
    const hidden = [...workerIds].filter(workerId => this.isAvailable(workerId))
    for (const workerId of hidden) this.setAvailable(workerId, false)
    const result = search()
    for (const workerId of hidden) this.setAvailable(workerId, true)
    return result
  }

  /** Whether a worker is in the inventory and new tasks may be placed on it. */
  isAvailable (workerId: string): boolean {
    const index = this.tree.workerIndex(workerId)
    return index !== undefined && !this.#unavailableWorkers.has(index)
  }

  /** Marks the cells of a plan as occupied by a job. */
  occupy (job: JobRecord, plan: GangPlan): void {
    for (const cell of plan.cells) {
      this.#jobByCell.set(cell, job)
      this.#markCell(cell, job, plan)
    }
    for (const binding of plan.bindings) binding.users += 1
  }

  /** Frees the cells of a job. A guaranteed cell is released with the last task that uses it. */
  vacate (job: JobRecord, plan: GangPlan): void {
    for (const cell of plan.cells) {
      this.#jobByCell.delete(cell)
      this.#unmarkCell(cell, job, plan)
    }
    this.#releaseBindings(plan)
  }

  /** Claims the cells of a plan for a job while the preempted jobs vacate them. */
  claim (job: JobRecord, plan: GangPlan): void {
    for (const cell of plan.cells) {
      this.#claimantByCell.set(cell, job)
      this.used.mark(cell)
      this.nonPreemptible.mark(cell)
    }
    for (const binding of plan.bindings) binding.users += 1
  }

  releaseClaim (plan: GangPlan): void {
    for (const cell of plan.cells) {
      this.#claimantByCell.delete(cell)
      this.used.unmark(cell)
      this.nonPreemptible.unmark(cell)
    }
    this.#releaseBindings(plan)
  }

  /** Jobs that occupy a cell, one of its ancestors or one of its descendants. */
  jobsOverlapping (cell: number): ReadonlySet<JobRecord> {
    return this.#collectJobs(cell, this.#jobByCell)
  }

  /** Jobs with a claim on a cell, one of its ancestors or one of its descendants. */
  claimantsOverlapping (cell: number): ReadonlySet<JobRecord> {
    return this.#claimantByCell.size === 0 ? NO_VICTIMS : this.#collectJobs(cell, this.#claimantByCell)
  }

  /** Jobs with a claim on a cell of a worker. */
  claimantsOnWorker (workerId: string): ReadonlySet<JobRecord> {
    const index = this.tree.workerIndex(workerId)
    const found = new Set<JobRecord>()
    if (index === undefined) return found
    for (const [cell, job] of this.#claimantByCell) if (this.tree.worker[cell] === index) found.add(job)
    return found
  }

  /**
   * Cells of a level within `root` that are free, reserved, or occupied only by preemptible jobs that `isVictim`
   * accepts. Start-time reservations do not keep cells from guaranteed jobs, nor from urgent jobs that may preempt; a
   * reservation whose cells are taken stays until it ends or is recalculated, although its start may no longer hold.
   */
  candidatesWithin (
    root: number, level: number, isVictim: VictimFilter, costOf: (job: JobRecord) => number
  ): CandidateCell[] {
    const candidates: CandidateCell[] = []
    if (this.tree.level[root]! >= level && !this.nonPreemptible.hasMarkAbove(root)) {
      this.#collectCandidates(root, level, isVictim, costOf, candidates)
    }
    return candidates
  }

  /** Cells of a level within `root`, free or occupied, whose workers are all available. */
  availableCells (root: number, level: number, found: number[] = []): number[] {
    if (this.unavailable.marksOn(root) > 0 || this.tree.level[root]! < level) return found
    if (this.tree.level[root] === level) {
      if (this.unavailable.marksBelow(root) === 0) found.push(root)
      return found
    }
    const left = this.tree.firstChild[root]!
    this.availableCells(left, level, found)
    return this.availableCells(left + 1, level, found)
  }

  #collectCandidates (
    cell: number, level: number, isVictim: VictimFilter, costOf: (job: JobRecord) => number, candidates: CandidateCell[]
  ): void {
    if (this.nonPreemptible.marksOn(cell) > 0) return
    if (this.tree.level[cell]! > level) {
      const left = this.tree.firstChild[cell]!
      this.#collectCandidates(left, level, isVictim, costOf, candidates)
      this.#collectCandidates(left + 1, level, isVictim, costOf, candidates)
      return
    }
    if (this.nonPreemptible.marksBelow(cell) > 0) return
    const victims = this.used.isFree(cell) ? NO_VICTIMS : this.jobsOverlapping(cell)
    let cost = 0
    for (const victim of victims) {
      if (!isPreemptible(victim.spec) || !isVictim(victim)) return
      cost += costOf(victim)
    }
    candidates.push({ cell, cost, victims })
  }

  #collectJobs (cell: number, jobByCell: ReadonlyMap<number, JobRecord>): ReadonlySet<JobRecord> {
    const found = new Set<JobRecord>()
    for (let ancestor = this.tree.parent[cell]!; ancestor !== NO_INDEX; ancestor = this.tree.parent[ancestor]!) {
      const job = jobByCell.get(ancestor)
      if (job !== undefined) found.add(job)
    }
    this.#collectJobsBelow(cell, jobByCell, found)
    return found
  }

  #collectJobsBelow (cell: number, jobByCell: ReadonlyMap<number, JobRecord>, found: Set<JobRecord>): void {
    const job = jobByCell.get(cell)
    if (job !== undefined) found.add(job)
    if (this.used.marksBelow(cell) === 0) return
    const left = this.tree.firstChild[cell]!
    this.#collectJobsBelow(left, jobByCell, found)
    this.#collectJobsBelow(left + 1, jobByCell, found)
  }

  #setUnavailable (cell: number, isUnavailable: boolean): void {
    for (const marks of [this.used, this.committed, this.nonPreemptible, this.unavailable]) {
      if (isUnavailable) marks.mark(cell)
      else marks.unmark(cell)
    }
  }

  #markCell (cell: number, job: JobRecord, plan: GangPlan): void {
    this.used.mark(cell)
    if (plan.capacityClass === 'guaranteed' || !isPreemptible(job.spec)) this.nonPreemptible.mark(cell)
    if (plan.capacityClass === 'lent' && !isPreemptible(job.spec)) this.committed.mark(cell)
  }

  #unmarkCell (cell: number, job: JobRecord, plan: GangPlan): void {
    this.used.unmark(cell)
    if (plan.capacityClass === 'guaranteed' || !isPreemptible(job.spec)) this.nonPreemptible.unmark(cell)
    if (plan.capacityClass === 'lent' && !isPreemptible(job.spec)) this.committed.unmark(cell)
  }

  #releaseBindings (plan: GangPlan): void {
    for (const binding of plan.bindings) this.#releaseBinding(binding)
  }

  #releaseBinding (binding: Binding): void {
    binding.users -= 1
    if (binding.users === 0) this.guarantees.release(binding)
  }
}
