/**
 * Buddy cells over the accelerators of workers and racks.
 *
 * A cell of level L is 2^L adjacent accelerators. Workers of one type (model, accelerators, cores, memory) at
 * consecutive positions of a rack form larger cells, provided that their number of accelerators is a power of two: only
 * then does a single cell cover a whole worker. The tree depends on the inventory only; occupancy is tracked in
 * `occupancy.ts`. The design follows the multi-level cells with buddy allocation of HiveD (OSDI 2020).
 */
import type { Configuration, Worker } from '@comfreygrade/core'

/** Stands for a missing index, such as the parent of a root cell or the child of a single-accelerator cell. */
export const NO_INDEX = -1

/** All workers of one type. A cell never spans pools. */
export interface CellPool {
  readonly index: number
  readonly modelIndex: number
  readonly acceleratorModel: string
  readonly acceleratorsPerWorker: number
  readonly coresPerWorker: number
  readonly memoryGbPerWorker: number
  readonly rackIndexes: number[]
}

/** The workers of a rack that belong to one pool. A rack with workers of several types has one for each type. */
export interface PoolRack {
  readonly index: number
  readonly rackId: string
  readonly poolIndex: number
  readonly rootCells: number[]
  readonly workerIndexes: number[]
  accelerators: number
}

/** A worker; `topCells` are the largest cells that lie within it. */
export interface CellWorker {
  readonly index: number
  readonly workerId: string
  readonly rackIndex: number
  readonly accelerators: number
  readonly topCells: number[]
}

/** Smallest level whose cells have at least `count` accelerators. */
export function smallestLevelHolding (count: number): number {
  return count <= 1 ? 0 : 32 - Math.clz32(Math.ceil(count) - 1)
}

/** Largest level whose cells have at most `count` accelerators. */
export function largestLevelWithin (count: number): number {
  return 31 - Math.clz32(count)
}

/**
 * Splits consecutive positions into power-of-two blocks, as large as possible. A block starts at a multiple of its size
 * if one of that size fits there, which keeps many blocks in place when a worker is added at either end. Other blocks
 * may move or merge into larger ones.
 *
 * @example
 * splitIntoBlocks(0, 7) // [{ start: 0, length: 4 }, { start: 4, length: 2 }, { start: 6, length: 1 }]
 */
export function splitIntoBlocks (start: number, length: number): Array<{ start: number, length: number }> {
  if (length === 0) return []
  const size = 2 ** largestLevelWithin(length)
  const aligned = Math.ceil(start / size) * size
  const blockStart = aligned + size <= start + length ? aligned : start
  const before = splitIntoBlocks(start, blockStart - start)
  const after = splitIntoBlocks(blockStart + size, start + length - blockStart - size)
  return [...before, { start: blockStart, length: size }, ...after]
}

/** Immutable tree of all cells of an inventory. A cell is an index into the typed arrays that hold its properties. */
export class CellTree {
  readonly pools: CellPool[] = []
  readonly racks: PoolRack[] = []
  readonly workers: CellWorker[] = []
  readonly acceleratorModels: string[] = []
  /** Number of levels: the highest level plus one. */
  readonly levels: number
  /** Parent of a cell; `NO_INDEX` for a root. */
  readonly parent: Int32Array
  /** First of the two children of a cell; the second has the next index. */
  readonly firstChild: Int32Array
  /** Level of a cell: the binary logarithm of its number of accelerators. */
  readonly level: Uint8Array
  /** Index of the cell's rack in `racks`. */
  readonly rack: Int32Array
  /** Worker index of a cell; `NO_INDEX` for a cell that spans several workers. */
  readonly worker: Int32Array
  /** First accelerator of a cell on its worker, below 64 by the limits of the configuration; 0 if it spans several. */
  readonly firstAccelerator: Uint8Array
  readonly #workerIndexes = new Map<string, number>()
  readonly #poolIndexes = new Map<string, number>()
  readonly #columns: CellColumns = { parent: [], firstChild: [], level: [], rack: [], worker: [], firstAccelerator: [] }

  constructor (workers: Iterable<Worker>) {
    for (const group of groupByRackAndType(workers)) this.#addRack(group)
    const columns = this.#columns
    this.parent = Int32Array.from(columns.parent)
    this.firstChild = Int32Array.from(columns.firstChild)
    this.level = Uint8Array.from(columns.level)
    this.rack = Int32Array.from(columns.rack)
    this.worker = Int32Array.from(columns.worker)
    this.firstAccelerator = Uint8Array.from(columns.firstAccelerator)
    this.levels = columns.level.reduce((highest, level) => Math.max(highest, level), 0) + 1
    this.#columns = { parent: [], firstChild: [], level: [], rack: [], worker: [], firstAccelerator: [] }
  }

  /** Number of cells on all levels. */
  get size (): number {
    return this.parent.length
  }

  /** Index of a worker; undefined if it is not in the inventory. */
  workerIndex (workerId: string): number | undefined {
    return this.#workerIndexes.get(workerId)
  }

  /** Index of an accelerator model; -1 if it is not in the inventory. */
  modelIndex (acceleratorModel: string): number {
    return this.acceleratorModels.indexOf(acceleratorModel)
  }

  /** The pool that contains a cell. */
  poolOf (cell: number): CellPool {
    return this.pools[this.racks[this.rack[cell]!]!.poolIndex]!
  }

  /**
   * The cell of `count` accelerators, rounded up to a power of two, that starts at `first` on a worker; undefined if
   * the tree has no such cell.
   */
  cellAt (workerId: string, first: number, count: number): number | undefined {
    const worker = this.workers[this.#workerIndexes.get(workerId) ?? NO_INDEX]
    if (worker === undefined) return undefined
    const level = smallestLevelHolding(count)
    for (const top of worker.topCells) {
      const offset = first - this.firstAccelerator[top]!
      if (offset >= 0 && offset < 2 ** this.level[top]!) return this.#descend(top, level, first)
    }
    return undefined
  }

  /**
   * The cell of the given level that contains `cell`; undefined if its root is below that level, or if `cell` itself is
   * above it.
   */
  ancestor (cell: number, level: number): number | undefined {
    let current = cell
    while (current !== NO_INDEX && this.level[current]! < level) current = this.parent[current]!
    return current === NO_INDEX || this.level[current] !== level ? undefined : current
  }

  #descend (top: number, level: number, first: number): number | undefined {
    let cell = top
    while (this.level[cell]! > level) {
      const left = this.firstChild[cell]!
      cell = first >= this.firstAccelerator[left + 1]! ? left + 1 : left
    }
    return this.level[cell] === level && this.firstAccelerator[cell] === first ? cell : undefined
  }

  #addRack (workers: Worker[]): void {
    const pool = this.#findOrAddPool(workers[0]!)
    const index = this.racks.length
    const rack: PoolRack = {
      index, rackId: workers[0]!.rackId, poolIndex: pool.index, rootCells: [], workerIndexes: [], accelerators: 0
    }
    this.racks.push(rack)
    pool.rackIndexes.push(index)
    for (const segment of consecutiveSegments(workers)) this.#addSegment(rack, segment)
  }

  #addSegment (rack: PoolRack, segment: Worker[]): void {
    const accelerators = segment[0]!.accelerators
    const workerLevel = largestLevelWithin(accelerators)
    const indexes = segment.map(worker => this.#addWorker(rack, worker))
    if (2 ** workerLevel !== accelerators) {
      for (const index of indexes) this.#addNonPowerOfTwoWorker(rack, index, accelerators)
      return
    }
    const start = segment[0]!.rackPosition
    for (const block of splitIntoBlocks(start, segment.length)) {
      const members = indexes.slice(block.start - start, block.start - start + block.length)
      const root = this.#addCell(NO_INDEX, workerLevel + largestLevelWithin(block.length), rack.index)
      rack.rootCells.push(root)
      this.#buildRackCells(root, members, workerLevel)
    }
  }

  #addNonPowerOfTwoWorker (rack: PoolRack, workerIndex: number, accelerators: number): void {
    for (const block of splitIntoBlocks(0, accelerators)) {
      const root = this.#addCell(NO_INDEX, largestLevelWithin(block.length), rack.index)
      rack.rootCells.push(root)
      this.#buildWorkerCells(root, workerIndex, block.start, true)
    }
  }

  #addWorker (rack: PoolRack, worker: Worker): number {
    const index = this.workers.length
    this.workers.push({
      index, workerId: worker.workerId, rackIndex: rack.index, accelerators: worker.accelerators, topCells: []
    })
    this.#workerIndexes.set(worker.workerId, index)
    rack.workerIndexes.push(index)
    rack.accelerators += worker.accelerators
    return index
  }

  #buildRackCells (cell: number, members: number[], workerLevel: number): void {
    if (members.length === 1) {
      this.#buildWorkerCells(cell, members[0]!, 0, true)
      return
    }
    const left = this.#addChildren(cell)
    this.#buildRackCells(left, members.slice(0, members.length / 2), workerLevel)
    this.#buildRackCells(left + 1, members.slice(members.length / 2), workerLevel)
  }

  #buildWorkerCells (cell: number, workerIndex: number, first: number, isTop: boolean): void {
    const columns = this.#columns
    columns.worker[cell] = workerIndex
    columns.firstAccelerator[cell] = first
    if (isTop) this.workers[workerIndex]!.topCells.push(cell)
    if (columns.level[cell] === 0) return
    const left = this.#addChildren(cell)
    this.#buildWorkerCells(left, workerIndex, first, false)
    this.#buildWorkerCells(left + 1, workerIndex, first + 2 ** columns.level[left]!, false)
  }

  #addChildren (cell: number): number {
    const columns = this.#columns
    const left = this.#addCell(cell, columns.level[cell]! - 1, columns.rack[cell]!)
    this.#addCell(cell, columns.level[cell]! - 1, columns.rack[cell]!)
    columns.firstChild[cell] = left
    return left
  }

  #addCell (parent: number, level: number, rack: number): number {
    const columns = this.#columns
    columns.parent.push(parent)
    columns.firstChild.push(NO_INDEX)
    columns.level.push(level)
    columns.rack.push(rack)
    columns.worker.push(NO_INDEX)
    columns.firstAccelerator.push(0)
    return columns.parent.length - 1
  }

  #findOrAddPool (worker: Worker): CellPool {
    const key = workerTypeKey(worker)
    const existing = this.#poolIndexes.get(key)
    if (existing !== undefined) return this.pools[existing]!
    const pool: CellPool = {
      index: this.pools.length,
      modelIndex: this.#findOrAddModel(worker.acceleratorModel),
      acceleratorModel: worker.acceleratorModel,
      acceleratorsPerWorker: worker.accelerators,
      coresPerWorker: worker.cores,
      memoryGbPerWorker: worker.memoryGb,
      rackIndexes: []
    }
    this.pools.push(pool)
    this.#poolIndexes.set(key, pool.index)
    return pool
  }

  #findOrAddModel (acceleratorModel: string): number {
    const existing = this.acceleratorModels.indexOf(acceleratorModel)
    return existing >= 0 ? existing : this.acceleratorModels.push(acceleratorModel) - 1
  }
}

/** Properties of the cells while the tree is built, by cell index. */
interface CellColumns {
  parent: number[]
  firstChild: number[]
  level: number[]
  rack: number[]
  worker: number[]
  firstAccelerator: number[]
}

function workerTypeKey (worker: Worker): string {
  return `${worker.acceleratorModel}/${worker.accelerators}/${worker.cores}/${worker.memoryGb}`
}

function groupByRackAndType (workers: Iterable<Worker>): Worker[][] {
  const groups = new Map<string, Worker[]>()
  for (const worker of workers) {
    const key = `${worker.rackId}/${workerTypeKey(worker)}`
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [worker])
    else group.push(worker)
  }
  for (const group of groups.values()) group.sort((left, right) => left.rackPosition - right.rackPosition)
  return [...groups.values()]
}

function consecutiveSegments (workers: Worker[]): Worker[][] {
  const segments: Worker[][] = []
  for (const worker of workers) {
    const segment = segments.at(-1)
    if (segment !== undefined && segment.at(-1)!.rackPosition + 1 === worker.rackPosition) segment.push(worker)
    else segments.push([worker])
  }
  return segments
}

/**
 * Builds the cell tree of the inventory in a configuration.
 *
 * @example
 * buildCellTree(configuration).workers.length === configuration.workers.size
 */
export function buildCellTree (configuration: Configuration): CellTree {
  return new CellTree(configuration.workers.values())
}
