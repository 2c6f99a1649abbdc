/**
 * Buddy cells over the accelerators of workers and racks.
 *
 * A cell of level L is 2^L adjacent accelerators. Workers of one kind (model, accelerators, cores, memory) at
 * neighbouring positions of a rack form larger cells. The tree depends on the inventory only; what occupies the cells
 * is kept in `occupancy.ts`. Source: multi-level cells with buddy allocation of HiveD (OSDI 2020).
 */
import type { Configuration, Worker } from '@comfreygrade/core'

/** No cell: the parent of a root, or the child of a single accelerator. */
export const NO_CELL = -1

/** Workers of one kind; cells are formed within a pool only. */
export interface CellPool {
  readonly index: number
  readonly modelIndex: number
  readonly acceleratorModel: string
  readonly acceleratorsPerWorker: number
  readonly coresPerWorker: number
  readonly memoryGbPerWorker: number
  readonly rackIndexes: number[]
}

/** The part of a rack that belongs to one pool. */
export interface CellRack {
  readonly index: number
  readonly rackId: string
  readonly poolIndex: number
  readonly rootCells: number[]
  readonly workerIndexes: number[]
  accelerators: number
}

/** A worker and the largest cells within it. */
export interface CellWorker {
  readonly index: number
  readonly workerId: string
  readonly rackIndex: number
  readonly accelerators: number
  readonly topCells: number[]
}

/** Smallest level whose cells hold `count` accelerators. */
export function levelFor (count: number): number {
  return count <= 1 ? 0 : 32 - Math.clz32(Math.ceil(count) - 1)
}

/** Largest level whose cells have at most `count` accelerators. */
export function levelWithin (count: number): number {
  return 31 - Math.clz32(count)
}

/**
 * Splits neighbouring positions into the largest power-of-two blocks that fit. A block starts at a multiple of its size
 * where one fits, so that adding a worker at an end moves no other block.
 *
 * @example
 * splitRun(0, 7) // [{ start: 0, length: 4 }, { start: 4, length: 2 }, { start: 6, length: 1 }]
 */
export function splitRun (start: number, length: number): Array<{ start: number, length: number }> {
  if (length === 0) return []
  const size = 2 ** levelWithin(length)
  const aligned = Math.ceil(start / size) * size
  const blockStart = aligned + size <= start + length ? aligned : start
  const before = splitRun(start, blockStart - start)
  const after = splitRun(blockStart + size, start + length - blockStart - size)
  return [...before, { start: blockStart, length: size }, ...after]
}

/** Immutable tree of all cells of an inventory. Cells are numbers; columns hold their properties. */
export class CellTree {
  readonly pools: CellPool[] = []
  readonly racks: CellRack[] = []
  readonly workers: CellWorker[] = []
  readonly acceleratorModels: string[] = []
  /** Levels of the tree: the highest level plus one. */
  readonly levels: number
  readonly parent: Int32Array
  readonly firstChild: Int32Array
  readonly level: Uint8Array
  readonly rack: Int32Array
  /** Worker of a cell; `NO_CELL` for a cell that spans workers. */
  readonly worker: Int32Array
  readonly firstAccelerator: Uint8Array
  readonly #workerIndexes = new Map<string, number>()
  readonly #poolIndexes = new Map<string, number>()
  readonly #draft: CellDraft = { parent: [], firstChild: [], level: [], rack: [], worker: [], firstAccelerator: [] }

  constructor (workers: Iterable<Worker>) {
    for (const group of groupByRackAndKind(workers)) this.#addRack(group)
    const draft = this.#draft
    this.parent = Int32Array.from(draft.parent)
    this.firstChild = Int32Array.from(draft.firstChild)
    this.level = Uint8Array.from(draft.level)
    this.rack = Int32Array.from(draft.rack)
    this.worker = Int32Array.from(draft.worker)
    this.firstAccelerator = Uint8Array.from(draft.firstAccelerator)
    this.levels = draft.level.reduce((highest, level) => Math.max(highest, level), 0) + 1
    this.#draft = { parent: [], firstChild: [], level: [], rack: [], worker: [], firstAccelerator: [] }
  }

  /** Number of cells of all levels. */
  get size (): number {
    return this.parent.length
  }

  /** Index of a worker; undefined where the inventory does not have it. */
  workerIndex (workerId: string): number | undefined {
    return this.#workerIndexes.get(workerId)
  }

  /** Index of an accelerator model; -1 where the inventory does not have it. */
  modelIndex (acceleratorModel: string): number {
    return this.acceleratorModels.indexOf(acceleratorModel)
  }

  /** Pool that a cell belongs to. */
  poolOf (cell: number): CellPool {
    return this.pools[this.racks[this.rack[cell]!]!.poolIndex]!
  }

  /** The cell of `count` accelerators from `first` on a worker; undefined where there is none. */
  find (workerId: string, first: number, count: number): number | undefined {
    const worker = this.workers[this.#workerIndexes.get(workerId) ?? NO_CELL]
    if (worker === undefined) return undefined
    const level = levelFor(count)
    for (const top of worker.topCells) {
      const offset = first - this.firstAccelerator[top]!
      if (offset >= 0 && offset < 2 ** this.level[top]!) return this.#descend(top, level, first)
    }
    return undefined
  }

  /** The cell of the given level that contains `cell`; undefined where the tree ends below that level. */
  ancestor (cell: number, level: number): number | undefined {
    let current = cell
    while (current !== NO_CELL && this.level[current]! < level) current = this.parent[current]!
    return current === NO_CELL || this.level[current] !== level ? undefined : current
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
    const pool = this.#poolFor(workers[0]!)
    const index = this.racks.length
    const rack: CellRack = {
      index, rackId: workers[0]!.rackId, poolIndex: pool.index, rootCells: [], workerIndexes: [], accelerators: 0
    }
    this.racks.push(rack)
    pool.rackIndexes.push(index)
    for (const run of consecutiveRuns(workers)) this.#addRun(rack, run)
  }

  #addRun (rack: CellRack, run: Worker[]): void {
    const accelerators = run[0]!.accelerators
    const workerLevel = levelWithin(accelerators)
    const indexes = run.map(worker => this.#addWorker(rack, worker))
    if (2 ** workerLevel !== accelerators) {
      for (const index of indexes) this.#addUnevenWorker(rack, index, accelerators)
      return
    }
    const start = run[0]!.rackPosition
    for (const block of splitRun(start, run.length)) {
      const members = indexes.slice(block.start - start, block.start - start + block.length)
      const root = this.#addCell(NO_CELL, workerLevel + levelWithin(block.length), rack.index)
      rack.rootCells.push(root)
      this.#fillRackCell(root, members, workerLevel)
    }
  }

  #addUnevenWorker (rack: CellRack, workerIndex: number, accelerators: number): void {
    for (const block of splitRun(0, accelerators)) {
      const root = this.#addCell(NO_CELL, levelWithin(block.length), rack.index)
      rack.rootCells.push(root)
      this.#fillWorkerCell(root, workerIndex, block.start, true)
    }
  }

  #addWorker (rack: CellRack, worker: Worker): number {
    const index = this.workers.length
    this.workers.push({
      index, workerId: worker.workerId, rackIndex: rack.index, accelerators: worker.accelerators, topCells: []
    })
    this.#workerIndexes.set(worker.workerId, index)
    rack.workerIndexes.push(index)
    rack.accelerators += worker.accelerators
    return index
  }

  #fillRackCell (cell: number, members: number[], workerLevel: number): void {
    if (members.length === 1) {
      this.#fillWorkerCell(cell, members[0]!, 0, true)
      return
    }
    const left = this.#split(cell)
    this.#fillRackCell(left, members.slice(0, members.length / 2), workerLevel)
    this.#fillRackCell(left + 1, members.slice(members.length / 2), workerLevel)
  }

  #fillWorkerCell (cell: number, workerIndex: number, first: number, isTop: boolean): void {
    const draft = this.#draft
    draft.worker[cell] = workerIndex
    draft.firstAccelerator[cell] = first
    if (isTop) this.workers[workerIndex]!.topCells.push(cell)
    if (draft.level[cell] === 0) return
    const left = this.#split(cell)
    this.#fillWorkerCell(left, workerIndex, first, false)
    this.#fillWorkerCell(left + 1, workerIndex, first + 2 ** draft.level[left]!, false)
  }

  #split (cell: number): number {
    const draft = this.#draft
    const left = this.#addCell(cell, draft.level[cell]! - 1, draft.rack[cell]!)
    this.#addCell(cell, draft.level[cell]! - 1, draft.rack[cell]!)
    draft.firstChild[cell] = left
    return left
  }

  #addCell (parent: number, level: number, rack: number): number {
    const draft = this.#draft
    draft.parent.push(parent)
    draft.firstChild.push(NO_CELL)
    draft.level.push(level)
    draft.rack.push(rack)
    draft.worker.push(NO_CELL)
    draft.firstAccelerator.push(0)
    return draft.parent.length - 1
  }

  #poolFor (worker: Worker): CellPool {
    const key = kindKey(worker)
    const known = this.#poolIndexes.get(key)
    if (known !== undefined) return this.pools[known]!
    const pool: CellPool = {
      index: this.pools.length,
      modelIndex: this.#modelFor(worker.acceleratorModel),
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

  #modelFor (acceleratorModel: string): number {
    const known = this.acceleratorModels.indexOf(acceleratorModel)
    return known >= 0 ? known : this.acceleratorModels.push(acceleratorModel) - 1
  }
}

interface CellDraft {
  parent: number[]
  firstChild: number[]
  level: number[]
  rack: number[]
  worker: number[]
  firstAccelerator: number[]
}

function kindKey (worker: Worker): string {
  return `${worker.acceleratorModel}/${worker.accelerators}/${worker.cores}/${worker.memoryGb}`
}

function groupByRackAndKind (workers: Iterable<Worker>): Worker[][] {
  const groups = new Map<string, Worker[]>()
  for (const worker of workers) {
    const key = `${worker.rackId}/${kindKey(worker)}`
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [worker])
    else group.push(worker)
  }
  for (const group of groups.values()) group.sort((left, right) => left.rackPosition - right.rackPosition)
  return [...groups.values()]
}

function consecutiveRuns (workers: Worker[]): Worker[][] {
  const runs: Worker[][] = []
  for (const worker of workers) {
    const run = runs.at(-1)
    if (run !== undefined && run.at(-1)!.rackPosition + 1 === worker.rackPosition) run.push(worker)
    else runs.push([worker])
  }
  return runs
}

/**
 * Builds the tree of a configuration's inventory.
 *
 * @example
 * buildCellTree(configuration).workers.length === configuration.workers.size
 */
export function buildCellTree (configuration: Configuration): CellTree {
  return new CellTree(configuration.workers.values())
}
