/** Occupancy of the cells of a tree: nested marks, and an index of the free cells by level and rack. */
import { type CellTree, NO_INDEX } from './cells.js'

/**
 * Number of buckets for the racks of a pool by their fraction of free accelerators, besides the one for full racks, so
 * that racks are found in order of fullness without sorting them or scanning their workers.
 */
const RACK_BUCKETS = 64

/** Counts marks on cells. Marks may be nested: a worker can fail within a bound rack cell. */
export class CellMarks {
  protected readonly tree: CellTree
  readonly #marks: Uint16Array
  /** Marks on the descendants of a cell. */
  readonly #marksBelow: Uint32Array

  constructor (tree: CellTree) {
    this.tree = tree
    this.#marks = new Uint16Array(tree.size)
    this.#marksBelow = new Uint32Array(tree.size)
  }

  mark (cell: number): void {
    this.#marks[cell]! += 1
    for (let up = this.tree.parent[cell]!; up !== NO_INDEX; up = this.tree.parent[up]!) this.#marksBelow[up]! += 1
  }

  unmark (cell: number): void {
    if (this.#marks[cell] === 0) throw new RangeError(`cannot unmark cell ${cell}: it has no mark`)
    this.#marks[cell]! -= 1
    for (let up = this.tree.parent[cell]!; up !== NO_INDEX; up = this.tree.parent[up]!) this.#marksBelow[up]! -= 1
  }

  /** Number of marks on the cell itself. */
  marksOn (cell: number): number {
    return this.#marks[cell]!
  }

  /** Number of marks on the descendants of a cell. */
  marksBelow (cell: number): number {
    return this.#marksBelow[cell]!
  }

  /** Whether the cell, its ancestors and its descendants have no marks. */
  isFree (cell: number): boolean {
    return this.#marks[cell] === 0 && this.#marksBelow[cell] === 0 && !this.hasMarkAbove(cell)
  }

  /** Whether an ancestor of the cell has a mark. */
  hasMarkAbove (cell: number): boolean {
    for (let up = this.tree.parent[cell]!; up !== NO_INDEX; up = this.tree.parent[up]!) {
      if (this.#marks[up]! > 0) return true
    }
    return false
  }
}

/**
 * Marks with an index of the maximal free cells: free cells whose parent is not free, as in the free lists of a buddy
 * allocator. Free means without marks of this index: in an index of committed cells, the free cells are those that are
 * not committed, whether or not a job occupies them.
 *
 * A change takes one step per level, plus one for each maximal free cell below a cell that gets its first or
 * loses its last mark.
 */
export class FreeCellIndex extends CellMarks {
  readonly #isMaximal: Uint8Array
  /** 16 bits suffice: the configuration limits a rack to 256 positions of 64 accelerators. */
  readonly #maximalByRack: Uint16Array
  readonly #freeByRack: Int32Array
  readonly #freeByPool: Int32Array
  readonly #maximalByPool: Int32Array
  readonly #maximalByModel: Int32Array
  readonly #rackBuckets: Array<Array<Set<number>>>

  constructor (tree: CellTree) {
    super(tree)
    this.#isMaximal = new Uint8Array(tree.size)
    this.#maximalByRack = new Uint16Array(tree.racks.length * tree.levels)
    this.#freeByRack = new Int32Array(tree.racks.length)
    this.#freeByPool = new Int32Array(tree.pools.length)
    this.#maximalByPool = new Int32Array(tree.pools.length * tree.levels)
    this.#maximalByModel = new Int32Array(tree.acceleratorModels.length * tree.levels)
    this.#rackBuckets = tree.pools.map(() => Array.from({ length: RACK_BUCKETS + 1 }, () => new Set<number>()))
    for (const rack of tree.racks) {
      this.#rackBuckets[rack.poolIndex]![0]!.add(rack.index)
      for (const root of rack.rootCells) this.#addMaximal(root)
    }
  }

  override mark (cell: number): void {
    const isCovered = this.marksOn(cell) > 0 || this.hasMarkAbove(cell)
    if (!isCovered && this.marksBelow(cell) === 0) this.#splitDownTo(cell)
    else if (!isCovered) this.#removeMaximalWithin(cell)
    super.mark(cell)
  }

  override unmark (cell: number): void {
    super.unmark(cell)
    if (this.marksOn(cell) > 0 || this.hasMarkAbove(cell)) return
    if (this.marksBelow(cell) === 0) this.#coalesce(cell)
    else this.#addMaximalWithin(cell)
  }

  /** Free accelerators in a rack. */
  freeInRack (rackIndex: number): number {
    return this.#freeByRack[rackIndex]!
  }

  /** Free accelerators in a pool. */
  freeInPool (poolIndex: number): number {
    return this.#freeByPool[poolIndex]!
  }

  /** Number of maximal free cells by level over all pools of a model; empty for the index of an unknown model. */
  maximalCellsByLevel (modelIndex: number): readonly number[] {
    if (modelIndex < 0) return []
    const start = modelIndex * this.tree.levels
    return Array.from(this.#maximalByModel.subarray(start, start + this.tree.levels))
  }

  /** Number of maximal free cells of a level in a pool. */
  maximalCellsInPool (poolIndex: number, level: number): number {
    return this.#maximalByPool[poolIndex * this.tree.levels + level]!
  }

  /** Number of maximal free cells of a level in a rack. */
  maximalCellsInRack (rackIndex: number, level: number): number {
    return this.#maximalByRack[rackIndex * this.tree.levels + level]!
  }

  /** Number of cells of a level that the free cells of a rack can be split into. */
  capacityInRack (rackIndex: number, level: number): number {
    let capacity = 0
    for (let cellLevel = level; cellLevel < this.tree.levels; cellLevel++) {
      capacity += this.maximalCellsInRack(rackIndex, cellLevel) * 2 ** (cellLevel - level)
    }
    return capacity
  }

  /** Racks of a pool with at least `minFree` free accelerators, fullest first with a resolution of 1/64 of a rack. */
  * racksByFullness (poolIndex: number, minFree: number): Generator<number> {
    for (const bucket of this.#rackBuckets[poolIndex]!) {
      for (const rackIndex of bucket) {
        if (this.#freeByRack[rackIndex]! >= minFree) yield rackIndex
      }
    }
  }

  /** Racks of a pool, emptiest first with a resolution of 1/64 of a rack. */
  * racksByEmptiness (poolIndex: number): Generator<number> {
    const buckets = this.#rackBuckets[poolIndex]!
    for (let index = buckets.length - 1; index >= 0; index--) yield * buckets[index]!
  }

  /** Maximal free cells of at least `minLevel` in a rack, in order of position. */
  listMaximalCells (rackIndex: number, minLevel: number): number[] {
    const found: number[] = []
    for (const root of this.tree.racks[rackIndex]!.rootCells) this.#collectMaximal(root, minLevel, found)
    return found
  }

  #collectMaximal (cell: number, minLevel: number, found: number[]): void {
    if (this.tree.level[cell]! < minLevel) return
    if (this.#isMaximal[cell] === 1) {
      found.push(cell)
      return
    }
    const left = this.tree.firstChild[cell]!
    if (this.marksOn(cell) > 0 || left === NO_INDEX) return
    this.#collectMaximal(left, minLevel, found)
    this.#collectMaximal(left + 1, minLevel, found)
  }

  #splitDownTo (cell: number): void {
    let ancestor = cell
    while (this.#isMaximal[ancestor] === 0) ancestor = this.tree.parent[ancestor]!
    this.#removeMaximal(ancestor)
    for (let child = cell; child !== ancestor; child = this.tree.parent[child]!) this.#addMaximal(this.#buddy(child))
  }

  #coalesce (cell: number): void {
    let current = cell
    while (this.tree.parent[current] !== NO_INDEX && this.#isMaximal[this.#buddy(current)] === 1) {
      this.#removeMaximal(this.#buddy(current))
      current = this.tree.parent[current]!
    }
    this.#addMaximal(current)
  }

  #removeMaximalWithin (cell: number): void {
    if (this.#isMaximal[cell] === 1) {
      this.#removeMaximal(cell)
      return
    }
    const left = this.tree.firstChild[cell]!
    if (this.marksOn(cell) > 0 || left === NO_INDEX) return
    this.#removeMaximalWithin(left)
    this.#removeMaximalWithin(left + 1)
  }

  #addMaximalWithin (cell: number): void {
    if (this.marksOn(cell) > 0) return
    if (this.marksBelow(cell) === 0) {
      this.#addMaximal(cell)
      return
    }
    const left = this.tree.firstChild[cell]!
    this.#addMaximalWithin(left)
    this.#addMaximalWithin(left + 1)
  }

  #buddy (cell: number): number {
    const left = this.tree.firstChild[this.tree.parent[cell]!]!
    return cell === left ? left + 1 : left
  }

  #addMaximal (cell: number): void {
    this.#isMaximal[cell] = 1
    this.#updateCounts(cell, 1)
  }

  #removeMaximal (cell: number): void {
    this.#isMaximal[cell] = 0
    this.#updateCounts(cell, -1)
  }

  #updateCounts (cell: number, change: 1 | -1): void {
    const level = this.tree.level[cell]!
    const rack = this.tree.racks[this.tree.rack[cell]!]!
    const modelIndex = this.tree.pools[rack.poolIndex]!.modelIndex
    this.#maximalByModel[modelIndex * this.tree.levels + level]! += change
    this.#maximalByPool[rack.poolIndex * this.tree.levels + level]! += change
    this.#maximalByRack[rack.index * this.tree.levels + level]! += change
    this.#freeByPool[rack.poolIndex]! += change * 2 ** level
    this.#updateRackBucket(rack.index, change * 2 ** level)
  }

  #updateRackBucket (rackIndex: number, change: number): void {
    const { poolIndex, accelerators } = this.tree.racks[rackIndex]!
    const before = Math.ceil(this.#freeByRack[rackIndex]! * RACK_BUCKETS / accelerators)
    this.#freeByRack[rackIndex]! += change
    const after = Math.ceil(this.#freeByRack[rackIndex]! * RACK_BUCKETS / accelerators)
    if (before === after) return
    this.#rackBuckets[poolIndex]![before]!.delete(rackIndex)
    this.#rackBuckets[poolIndex]![after]!.add(rackIndex)
  }
}
