/** What occupies the cells of a tree: nested marks, and an index of the free cells by level and rack. */
import { type CellTree, NO_CELL } from './cells.js'

/** Racks of a pool are kept in this many buckets by their free share, so that finding one never scans workers. */
const RACK_BUCKETS = 64

/** Counts marks on cells. Marks may be nested: a worker can fail below a bound rack cell. */
export class CellMarks {
  protected readonly tree: CellTree
  readonly #marks: Uint16Array
  /** Marks strictly below a cell. */
  readonly #marksBelow: Uint32Array

  constructor (tree: CellTree) {
    this.tree = tree
    this.#marks = new Uint16Array(tree.size)
    this.#marksBelow = new Uint32Array(tree.size)
  }

  /** Adds a mark to a cell. */
  mark (cell: number): void {
    this.#marks[cell]! += 1
    for (let up = this.tree.parent[cell]!; up !== NO_CELL; up = this.tree.parent[up]!) this.#marksBelow[up]! += 1
  }

  /** Takes one mark off a cell. */
  unmark (cell: number): void {
    if (this.#marks[cell] === 0) throw new RangeError(`cell ${cell} has no mark`)
    this.#marks[cell]! -= 1
    for (let up = this.tree.parent[cell]!; up !== NO_CELL; up = this.tree.parent[up]!) this.#marksBelow[up]! -= 1
  }

  /** Marks on the cell itself. */
  marksOn (cell: number): number {
    return this.#marks[cell]!
  }

  /** Marks on the cells strictly below a cell. */
  marksBelow (cell: number): number {
    return this.#marksBelow[cell]!
  }

  /** Whether no mark lies on, above or below the cell. */
  isFree (cell: number): boolean {
    return this.#marks[cell] === 0 && this.#marksBelow[cell] === 0 && !this.hasMarkAbove(cell)
  }

  /** Whether a mark lies on a cell that contains the given one. */
  hasMarkAbove (cell: number): boolean {
    for (let up = this.tree.parent[cell]!; up !== NO_CELL; up = this.tree.parent[up]!) {
      if (this.#marks[up]! > 0) return true
    }
    return false
  }
}

/**
 * Marks with an index of the largest free cells. A free cell is listed when its parent is not free. Each change costs
 * one step per level, plus the listed cells below a cell that gets its first or loses its last mark.
 */
export class FreeCells extends CellMarks {
  readonly #isListed: Uint8Array
  readonly #rackListed: Uint16Array
  readonly #rackFree: Int32Array
  readonly #poolFree: Int32Array
  readonly #poolListed: Int32Array
  readonly #modelListed: Int32Array
  readonly #buckets: Array<Array<Set<number>>>

  constructor (tree: CellTree) {
    super(tree)
    this.#isListed = new Uint8Array(tree.size)
    this.#rackListed = new Uint16Array(tree.racks.length * tree.levels)
    this.#rackFree = new Int32Array(tree.racks.length)
    this.#poolFree = new Int32Array(tree.pools.length)
    this.#poolListed = new Int32Array(tree.pools.length * tree.levels)
    this.#modelListed = new Int32Array(tree.acceleratorModels.length * tree.levels)
    this.#buckets = tree.pools.map(() => Array.from({ length: RACK_BUCKETS + 1 }, () => new Set<number>()))
    for (const rack of tree.racks) {
      this.#buckets[rack.poolIndex]![0]!.add(rack.index)
      for (const root of rack.rootCells) this.#list(root)
    }
  }

  override mark (cell: number): void {
    const isCovered = this.marksOn(cell) > 0 || this.hasMarkAbove(cell)
    if (!isCovered && this.marksBelow(cell) === 0) this.#carve(cell)
    else if (!isCovered) this.#unlistWithin(cell)
    super.mark(cell)
  }

  override unmark (cell: number): void {
    super.unmark(cell)
    if (this.marksOn(cell) > 0 || this.hasMarkAbove(cell)) return
    if (this.marksBelow(cell) === 0) this.#merge(cell)
    else this.#listWithin(cell)
  }

  /** Free accelerators of a rack. */
  freeInRack (rackIndex: number): number {
    return this.#rackFree[rackIndex]!
  }

  /** Free accelerators of a pool. */
  freeInPool (poolIndex: number): number {
    return this.#poolFree[poolIndex]!
  }

  /** Listed free cells by level over all pools of a model; none for a model that the inventory does not have. */
  listedByLevel (modelIndex: number): readonly number[] {
    if (modelIndex < 0) return []
    const start = modelIndex * this.tree.levels
    return Array.from(this.#modelListed.subarray(start, start + this.tree.levels))
  }

  /** Listed free cells of a level in a pool. */
  listedInPool (poolIndex: number, level: number): number {
    return this.#poolListed[poolIndex * this.tree.levels + level]!
  }

  /** Listed free cells of a level in a rack. */
  listedInRack (rackIndex: number, level: number): number {
    return this.#rackListed[rackIndex * this.tree.levels + level]!
  }

  /** Cells of a level that the free cells of a rack can hold. */
  capacityInRack (rackIndex: number, level: number): number {
    let capacity = 0
    for (let listed = level; listed < this.tree.levels; listed++) {
      capacity += this.listedInRack(rackIndex, listed) * 2 ** (listed - level)
    }
    return capacity
  }

  /** Racks of a pool with at least `minFree` free accelerators, the fullest first, in steps of a 64th of a rack. */
  * racksByFullness (poolIndex: number, minFree: number): Generator<number> {
    for (const bucket of this.#buckets[poolIndex]!) {
      for (const rackIndex of bucket) {
        if (this.#rackFree[rackIndex]! >= minFree) yield rackIndex
      }
    }
  }

  /** Racks of a pool, the emptiest first. */
  * racksByEmptiness (poolIndex: number): Generator<number> {
    const buckets = this.#buckets[poolIndex]!
    for (let index = buckets.length - 1; index >= 0; index--) yield * buckets[index]!
  }

  /** Listed cells of at least a level in a rack, in the order of their position. */
  listedCells (rackIndex: number, minLevel: number): number[] {
    const found: number[] = []
    for (const root of this.tree.racks[rackIndex]!.rootCells) this.#collect(root, minLevel, found)
    return found
  }

  #collect (cell: number, minLevel: number, found: number[]): void {
    if (this.tree.level[cell]! < minLevel) return
    if (this.#isListed[cell] === 1) {
      found.push(cell)
      return
    }
    const left = this.tree.firstChild[cell]!
    if (this.marksOn(cell) > 0 || left === NO_CELL) return
    this.#collect(left, minLevel, found)
    this.#collect(left + 1, minLevel, found)
  }

  #carve (cell: number): void {
    let listed = cell
    while (this.#isListed[listed] === 0) listed = this.tree.parent[listed]!
    this.#unlist(listed)
    for (let current = cell; current !== listed; current = this.tree.parent[current]!) this.#list(this.#buddy(current))
  }

  #merge (cell: number): void {
    let current = cell
    while (this.tree.parent[current] !== NO_CELL && this.#isListed[this.#buddy(current)] === 1) {
      this.#unlist(this.#buddy(current))
      current = this.tree.parent[current]!
    }
    this.#list(current)
  }

  #unlistWithin (cell: number): void {
    if (this.#isListed[cell] === 1) {
      this.#unlist(cell)
      return
    }
    const left = this.tree.firstChild[cell]!
    if (this.marksOn(cell) > 0 || left === NO_CELL) return
    this.#unlistWithin(left)
    this.#unlistWithin(left + 1)
  }

  #listWithin (cell: number): void {
    if (this.marksOn(cell) > 0) return
    if (this.marksBelow(cell) === 0) {
      this.#list(cell)
      return
    }
    const left = this.tree.firstChild[cell]!
    this.#listWithin(left)
    this.#listWithin(left + 1)
  }

  #buddy (cell: number): number {
    const left = this.tree.firstChild[this.tree.parent[cell]!]!
    return cell === left ? left + 1 : left
  }

  #list (cell: number): void {
    this.#isListed[cell] = 1
    this.#count(cell, 1)
  }

  #unlist (cell: number): void {
    this.#isListed[cell] = 0
    this.#count(cell, -1)
  }

  #count (cell: number, change: 1 | -1): void {
    const level = this.tree.level[cell]!
    const rack = this.tree.racks[this.tree.rack[cell]!]!
    const modelIndex = this.tree.pools[rack.poolIndex]!.modelIndex
    this.#modelListed[modelIndex * this.tree.levels + level]! += change
    this.#poolListed[rack.poolIndex * this.tree.levels + level]! += change
    this.#rackListed[rack.index * this.tree.levels + level]! += change
    this.#poolFree[rack.poolIndex]! += change * 2 ** level
    this.#moveRack(rack.index, change * 2 ** level)
  }

  #moveRack (rackIndex: number, change: number): void {
    const { poolIndex, accelerators } = this.tree.racks[rackIndex]!
    const before = Math.ceil(this.#rackFree[rackIndex]! * RACK_BUCKETS / accelerators)
    this.#rackFree[rackIndex]! += change
    const after = Math.ceil(this.#rackFree[rackIndex]! * RACK_BUCKETS / accelerators)
    if (before === after) return
    this.#buckets[poolIndex]![before]!.delete(rackIndex)
    this.#buckets[poolIndex]![after]!.add(rackIndex)
  }
}
