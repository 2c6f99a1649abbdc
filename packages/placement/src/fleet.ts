/** State of all cells: which jobs, claims, reservations and unavailable workers occupy them. */
import type { Configuration } from '@comfreygrade/core'
import { type CellTree, NO_CELL, buildCellTree } from './cells.js'
import { type Binding, GuaranteeLedger } from './guarantees.js'
import { type GangPlan, type JobRecord, isReclaimable } from './jobs.js'
import { CellMarks, FreeCells } from './occupancy.js'

/** A cell that could be taken, with the cost of making the jobs in it leave. */
export interface CellSlot {
  readonly cell: number
  readonly cost: number
  readonly victims: ReadonlySet<JobRecord>
}

/** Which jobs a search may ask to leave. */
export type VictimRule = (job: JobRecord) => boolean

const NO_VICTIMS: ReadonlySet<JobRecord> = new Set()

/** Cells of one inventory with all that occupies them. */
export class Fleet {
  readonly tree: CellTree
  /** Cells with jobs, claims, reservations or failed workers. */
  readonly used: FreeCells
  /** Cells that are bound to guarantees, unavailable, or used by jobs that are never reclaimed. */
  readonly held: FreeCells
  /** Cells that no decision may reclaim: guaranteed jobs, claims, jobs without preemption, unavailable workers. */
  readonly firm: CellMarks
  readonly unavailable: CellMarks
  readonly ledger: GuaranteeLedger
  readonly #jobAt = new Map<number, JobRecord>()
  readonly #claimAt = new Map<number, JobRecord>()
  readonly #unavailableWorkers = new Set<number>()

  constructor (configuration: Configuration) {
    this.tree = buildCellTree(configuration)
    this.used = new FreeCells(this.tree)
    this.held = new FreeCells(this.tree)
    this.firm = new CellMarks(this.tree)
    this.unavailable = new CellMarks(this.tree)
    this.ledger = new GuaranteeLedger(this.tree, this.held, this.unavailable, configuration)
  }

  /** Accelerators of the inventory. */
  get accelerators (): number {
    return this.tree.workers.reduce((sum, worker) => sum + worker.accelerators, 0)
  }

  /** Accelerators of some cells. */
  acceleratorsOf (cells: readonly number[]): number {
    return cells.reduce((sum, cell) => sum + 2 ** this.tree.level[cell]!, 0)
  }

  /** Makes a worker's cells usable or not. */
  setAvailable (workerId: string, isAvailable: boolean): void {
    const index = this.tree.workerIndex(workerId)
    if (index === undefined || this.#unavailableWorkers.has(index) === !isAvailable) return
    if (isAvailable) this.#unavailableWorkers.delete(index)
    else this.#unavailableWorkers.add(index)
    for (const cell of this.tree.workers[index]!.topCells) this.#setUnavailable(cell, !isAvailable)
  }

  /** Runs a search in which the given workers look unavailable. */
  without<T> (workerIds: Iterable<string>, search: () => T): T {
    const hidden = [...workerIds].filter(workerId => this.isAvailable(workerId))
    for (const workerId of hidden) this.setAvailable(workerId, false)
    const result = search()
    for (const workerId of hidden) this.setAvailable(workerId, true)
    return result
  }

  /** Whether a worker of the inventory is usable. */
  isAvailable (workerId: string): boolean {
    const index = this.tree.workerIndex(workerId)
    return index !== undefined && !this.#unavailableWorkers.has(index)
  }

  /** Puts a job into the cells of its plan. */
  occupy (job: JobRecord, plan: GangPlan): void {
    for (const cell of plan.cells) {
      this.#jobAt.set(cell, job)
      this.#markPlan(cell, job, plan)
    }
    for (const binding of plan.bindings) binding.users += 1
  }

  /** Takes a job out of its cells, and releases guaranteed cells with their last task. */
  vacate (job: JobRecord, plan: GangPlan): void {
    for (const cell of plan.cells) {
      this.#jobAt.delete(cell)
      this.#unmarkPlan(cell, job, plan)
    }
    this.#releaseBindings(plan)
  }

  /** Keeps the cells of a plan for a job while others leave them. */
  claim (job: JobRecord, plan: GangPlan): void {
    for (const cell of plan.cells) {
      this.#claimAt.set(cell, job)
      this.used.mark(cell)
      this.firm.mark(cell)
    }
    for (const binding of plan.bindings) binding.users += 1
  }

  /** Ends a claim. */
  unclaim (plan: GangPlan): void {
    for (const cell of plan.cells) {
      this.#claimAt.delete(cell)
      this.used.unmark(cell)
      this.firm.unmark(cell)
    }
    this.#releaseBindings(plan)
  }

  /** Jobs in a cell, in the cells that contain it and in the cells below it. */
  jobsIn (cell: number): ReadonlySet<JobRecord> {
    return this.#collect(cell, this.#jobAt)
  }

  /** Jobs that have claimed parts of a cell. */
  claimsIn (cell: number): ReadonlySet<JobRecord> {
    return this.#claimAt.size === 0 ? NO_VICTIMS : this.#collect(cell, this.#claimAt)
  }

  /** All jobs that have a claim on a cell of the given worker. */
  claimsOnWorker (workerId: string): ReadonlySet<JobRecord> {
    const index = this.tree.workerIndex(workerId)
    const found = new Set<JobRecord>()
    if (index === undefined) return found
    for (const [cell, job] of this.#claimAt) if (this.tree.worker[cell] === index) found.add(job)
    return found
  }

  /** Cells of a level within `root` that can be taken when the jobs in them may be asked to leave. */
  slotsWithin (root: number, level: number, mayLeave: VictimRule, costOf: (job: JobRecord) => number): CellSlot[] {
    const slots: CellSlot[] = []
    if (this.tree.level[root]! >= level && !this.firm.hasMarkAbove(root)) {
      this.#collectSlots(root, level, mayLeave, costOf, slots)
    }
    return slots
  }

  /** Cells of a level within `root`, occupied or not, where no worker is unavailable. */
  workingCells (root: number, level: number, found: number[] = []): number[] {
    if (this.unavailable.marksOn(root) > 0 || this.tree.level[root]! < level) return found
    if (this.tree.level[root] === level) {
      if (this.unavailable.marksBelow(root) === 0) found.push(root)
      return found
    }
    const left = this.tree.firstChild[root]!
    this.workingCells(left, level, found)
    return this.workingCells(left + 1, level, found)
  }

  #collectSlots (
    cell: number, level: number, mayLeave: VictimRule, costOf: (job: JobRecord) => number, slots: CellSlot[]
  ): void {
    if (this.firm.marksOn(cell) > 0) return
    if (this.tree.level[cell]! > level) {
      const left = this.tree.firstChild[cell]!
      this.#collectSlots(left, level, mayLeave, costOf, slots)
      this.#collectSlots(left + 1, level, mayLeave, costOf, slots)
      return
    }
    if (this.firm.marksBelow(cell) > 0) return
    const victims = this.used.isFree(cell) ? NO_VICTIMS : this.jobsIn(cell)
    let cost = 0
    for (const victim of victims) {
      if (!isReclaimable(victim.spec) || !mayLeave(victim)) return
      cost += costOf(victim)
    }
    slots.push({ cell, cost, victims })
  }

  #collect (cell: number, jobs: ReadonlyMap<number, JobRecord>): ReadonlySet<JobRecord> {
    const found = new Set<JobRecord>()
    for (let up = this.tree.parent[cell]!; up !== NO_CELL; up = this.tree.parent[up]!) {
      const job = jobs.get(up)
      if (job !== undefined) found.add(job)
    }
    this.#collectBelow(cell, jobs, found)
    return found
  }

  #collectBelow (cell: number, jobs: ReadonlyMap<number, JobRecord>, found: Set<JobRecord>): void {
    const job = jobs.get(cell)
    if (job !== undefined) found.add(job)
    if (this.used.marksBelow(cell) === 0) return
    const left = this.tree.firstChild[cell]!
    this.#collectBelow(left, jobs, found)
    this.#collectBelow(left + 1, jobs, found)
  }

  #setUnavailable (cell: number, isUnavailable: boolean): void {
    for (const marks of [this.used, this.held, this.firm, this.unavailable]) {
      if (isUnavailable) marks.mark(cell)
      else marks.unmark(cell)
    }
  }

  #markPlan (cell: number, job: JobRecord, plan: GangPlan): void {
    this.used.mark(cell)
    if (plan.capacityClass === 'guaranteed' || !isReclaimable(job.spec)) this.firm.mark(cell)
    if (plan.capacityClass === 'lent' && !isReclaimable(job.spec)) this.held.mark(cell)
  }

  #unmarkPlan (cell: number, job: JobRecord, plan: GangPlan): void {
    this.used.unmark(cell)
    if (plan.capacityClass === 'guaranteed' || !isReclaimable(job.spec)) this.firm.unmark(cell)
    if (plan.capacityClass === 'lent' && !isReclaimable(job.spec)) this.held.unmark(cell)
  }

  #releaseBindings (plan: GangPlan): void {
    for (const binding of plan.bindings) this.#releaseUser(binding)
  }

  #releaseUser (binding: Binding): void {
    binding.users -= 1
    if (binding.users === 0) this.ledger.release(binding)
  }
}
