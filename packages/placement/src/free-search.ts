/** Search for free cells for a whole gang. */
import type { CellPool } from './cells.js'
import type { Fleet } from './fleet.js'
import type { PlacementPolicy } from './policies.js'
import type { GangShape } from './shapes.js'

/** Whether a free cell may be used, for example because no guarantee needs it. */
export type CellFilter = (cell: number) => boolean

/** Finds free cells in the order of a policy, without changing anything. */
export class FreeSearch {
  readonly #fleet: Fleet
  readonly #policy: PlacementPolicy

  constructor (fleet: Fleet, policy: PlacementPolicy) {
    this.#fleet = fleet
    this.#policy = policy
  }

  /** One free cell for each task, or undefined where the gang does not fit as a whole. */
  find (shape: GangShape, accepts?: CellFilter): number[] | undefined {
    if (shape.adjacency === 'none' || shape.tasks === 1) return this.#spread(shape, accepts)
    for (const { pool, level } of shape.options) {
      const cells = this.#adjacent(shape, pool, level, accepts)
      if (cells !== undefined) return cells
    }
    return undefined
  }

  #adjacent (shape: GangShape, pool: CellPool, level: number, accepts?: CellFilter): number[] | undefined {
    const needed = shape.tasks * 2 ** level
    if (this.#fleet.used.freeInPool(pool.index) < needed) return undefined
    for (const rackIndex of this.#policy.candidateRacks(this.#fleet.used, pool, needed)) {
      if (this.#fleet.used.capacityInRack(rackIndex, level) < shape.tasks) continue
      const cells = shape.adjacency === 'rack'
        ? this.#take(this.#listed(rackIndex, level), level, shape.tasks, accepts)
        : this.#takeOnOneWorker(rackIndex, level, shape.tasks, accepts)
      if (cells.length === shape.tasks) return cells
    }
    return undefined
  }

  #spread (shape: GangShape, accepts?: CellFilter): number[] | undefined {
    const cells: number[] = []
    for (const { pool, level } of shape.options) {
      const left = shape.tasks - cells.length
      if (this.#policy.takesSmallestCell()) cells.push(...this.#smallestCells(pool, level, left, accepts))
      else cells.push(...this.#firstCells(pool, level, left, accepts))
      if (cells.length === shape.tasks) return cells
    }
    return undefined
  }

  #smallestCells (pool: CellPool, level: number, tasks: number, accepts?: CellFilter): number[] {
    const { used, tree } = this.#fleet
    const found: number[] = []
    for (let listed = level; listed < tree.levels && found.length < tasks; listed++) {
      if (used.listedInPool(pool.index, listed) === 0) continue
      for (const rackIndex of this.#policy.candidateRacks(used, pool, 2 ** listed)) {
        if (used.listedInRack(rackIndex, listed) === 0) continue
        const cells = used.listedCells(rackIndex, listed).filter(cell => tree.level[cell] === listed)
        found.push(...this.#take(cells, level, tasks - found.length, accepts))
        if (found.length === tasks) break
      }
    }
    return found
  }

  #firstCells (pool: CellPool, level: number, tasks: number, accepts?: CellFilter): number[] {
    const found: number[] = []
    for (const rackIndex of this.#policy.candidateRacks(this.#fleet.used, pool, 2 ** level)) {
      found.push(...this.#take(this.#listed(rackIndex, level), level, tasks - found.length, accepts))
      if (found.length === tasks) break
    }
    return found
  }

  #listed (rackIndex: number, level: number): number[] {
    const cells = this.#fleet.used.listedCells(rackIndex, level)
    if (!this.#policy.takesSmallestCell()) return cells
    const levels = this.#fleet.tree.level
    return cells.sort((left, right) => levels[left]! - levels[right]!)
  }

  #take (listed: readonly number[], level: number, tasks: number, accepts?: CellFilter): number[] {
    const found: number[] = []
    for (const cell of listed) {
      if (found.length === tasks) break
      this.#split(cell, level, tasks, found, accepts)
    }
    return found
  }

  #split (cell: number, level: number, tasks: number, found: number[], accepts?: CellFilter): void {
    if (found.length === tasks) return
    if (this.#fleet.tree.level[cell] === level) {
      if (accepts === undefined || accepts(cell)) found.push(cell)
      return
    }
    const left = this.#fleet.tree.firstChild[cell]!
    this.#split(left, level, tasks, found, accepts)
    this.#split(left + 1, level, tasks, found, accepts)
  }

  #takeOnOneWorker (rackIndex: number, level: number, tasks: number, accepts?: CellFilter): number[] {
    const all = this.#take(this.#listed(rackIndex, level), level, Infinity, accepts)
    const byWorker = new Map<number, number[]>()
    for (const cell of all) {
      const worker = this.#fleet.tree.worker[cell]!
      byWorker.set(worker, [...byWorker.get(worker) ?? [], cell])
    }
    let best: number[] = []
    for (const cells of byWorker.values()) {
      const isTighter = best.length === 0 || (this.#policy.takesSmallestCell() && cells.length < best.length)
      if (cells.length >= tasks && isTighter) best = cells
    }
    return best.slice(0, tasks)
  }
}
