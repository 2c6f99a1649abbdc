/** Search for free cells for a whole gang. */
import type { CellPool } from './cells.js'
import type { Fleet } from './fleet.js'
import type { PlacementPolicy } from './policies.js'
import type { GangShape } from './shapes.js'

/** Whether a free cell may be used; non-preemptible jobs, for example, may not use cells that a guarantee needs. */
export type CellFilter = (cell: number) => boolean

/** Finds free cells in the order of the policy; pools are searched in the order of the inventory. Read-only. */
export class FreeCellSearch {
  readonly #fleet: Fleet
  readonly #policy: PlacementPolicy

  constructor (fleet: Fleet, policy: PlacementPolicy) {
    this.#fleet = fleet
    this.#policy = policy
  }

  /** One free cell for each task; undefined if the whole gang does not fit. */
  find (shape: GangShape, isUsable?: CellFilter): number[] | undefined {
    if (shape.adjacency === 'none' || shape.tasks === 1) return this.#findAnywhere(shape, isUsable)
    for (const { pool, level } of shape.poolLevels) {
      const cells = this.#findAdjacent(shape, pool, level, isUsable)
      if (cells !== undefined) return cells
    }
    return undefined
  }

  #findAdjacent (shape: GangShape, pool: CellPool, level: number, isUsable?: CellFilter): number[] | undefined {
    const needed = shape.tasks * 2 ** level
    if (this.#fleet.used.freeInPool(pool.index) < needed) return undefined
    for (const rackIndex of this.#policy.racksInSearchOrder(this.#fleet.used, pool, needed)) {
      if (this.#fleet.used.capacityInRack(rackIndex, level) < shape.tasks) continue
      const cells = shape.adjacency === 'rack'
        ? this.#collectCells(this.#maximalFreeCells(rackIndex, level), level, shape.tasks, isUsable)
        : this.#collectOnOneWorker(rackIndex, level, shape.tasks, isUsable)
      if (cells.length === shape.tasks) return cells
    }
    return undefined
  }

  #findAnywhere (shape: GangShape, isUsable?: CellFilter): number[] | undefined {
    const cells: number[] = []
    for (const { pool, level } of shape.poolLevels) {
      const remaining = shape.tasks - cells.length
      if (this.#policy.usesBestFit()) cells.push(...this.#findBestFit(pool, level, remaining, isUsable))
      else cells.push(...this.#findFirstFit(pool, level, remaining, isUsable))
      if (cells.length === shape.tasks) return cells
    }
    return undefined
  }

  #findBestFit (pool: CellPool, level: number, tasks: number, isUsable?: CellFilter): number[] {
    const { used, tree } = this.#fleet
    const found: number[] = []
    for (let cellLevel = level; cellLevel < tree.levels && found.length < tasks; cellLevel++) {
      if (used.maximalCellsInPool(pool.index, cellLevel) === 0) continue
      for (const rackIndex of this.#policy.racksInSearchOrder(used, pool, 2 ** cellLevel)) {
        if (used.maximalCellsInRack(rackIndex, cellLevel) === 0) continue
        const cells = used.listMaximalCells(rackIndex, cellLevel).filter(cell => tree.level[cell] === cellLevel)
        found.push(...this.#collectCells(cells, level, tasks - found.length, isUsable))
        if (found.length === tasks) break
      }
    }
    return found
  }

  #findFirstFit (pool: CellPool, level: number, tasks: number, isUsable?: CellFilter): number[] {
    const found: number[] = []
    for (const rackIndex of this.#policy.racksInSearchOrder(this.#fleet.used, pool, 2 ** level)) {
      found.push(...this.#collectCells(this.#maximalFreeCells(rackIndex, level), level, tasks - found.length, isUsable))
      if (found.length === tasks) break
    }
    return found
  }

  #maximalFreeCells (rackIndex: number, level: number): number[] {
    const cells = this.#fleet.used.listMaximalCells(rackIndex, level)
    if (!this.#policy.usesBestFit()) return cells
    const levels = this.#fleet.tree.level
    return cells.sort((left, right) => levels[left]! - levels[right]!)
  }

  #collectCells (maximalCells: readonly number[], level: number, tasks: number, isUsable?: CellFilter): number[] {
    const found: number[] = []
    for (const cell of maximalCells) {
      if (found.length === tasks) break
      this.#collectWithin(cell, level, tasks, found, isUsable)
    }
    return found
  }

  #collectWithin (cell: number, level: number, tasks: number, found: number[], isUsable?: CellFilter): void {
    if (found.length === tasks) return
    if (this.#fleet.tree.level[cell] === level) {
      if (isUsable === undefined || isUsable(cell)) found.push(cell)
      return
    }
    const left = this.#fleet.tree.firstChild[cell]!
    this.#collectWithin(left, level, tasks, found, isUsable)
    this.#collectWithin(left + 1, level, tasks, found, isUsable)
  }

  #collectOnOneWorker (rackIndex: number, level: number, tasks: number, isUsable?: CellFilter): number[] {
    const all = this.#collectCells(this.#maximalFreeCells(rackIndex, level), level, Infinity, isUsable)
    const byWorker = new Map<number, number[]>()
    for (const cell of all) {
      const worker = this.#fleet.tree.worker[cell]!
      byWorker.set(worker, [...byWorker.get(worker) ?? [], cell])
    }
    let best: number[] = []
    for (const cells of byWorker.values()) {
      const isTighter = best.length === 0 || (this.#policy.usesBestFit() && cells.length < best.length)
      if (cells.length >= tasks && isTighter) best = cells
    }
    return best.slice(0, tasks)
  }
}
