/** Start forecasts: where and when a waiting gang that does not fit can be expected to start. */
import type { CellPool } from './cells.js'
import type { Fleet } from './fleet.js'
import type { CellFilter } from './free-cell-search.js'
import type { JobRecord } from './job-record.js'
import type { PlacementSettings } from './settings.js'
import type { GangShape } from './shapes.js'

/** Cells for a whole gang, and the time at which all of them are expected to be free. */
export interface StartForecast {
  readonly cells: readonly number[]
  readonly startMs: number
  /** Jobs that must end first. */
  readonly blockers: ReadonlySet<JobRecord>
}

/** A forecast whose cells are reserved for a waiting job. */
export interface Reservation extends StartForecast {
  readonly job: JobRecord
  readonly calculatedMs: number
}

interface ExpectedFreeCell {
  readonly cell: number
  readonly freeAtMs: number
}

/** Computes forecasts from the estimated end times of running jobs. */
export class StartForecaster {
  readonly #fleet: Fleet
  readonly #settings: PlacementSettings
  readonly #estimatedEndMs: (job: JobRecord) => number

  /** @param estimatedEndMs estimated end time of a running job or of a job with a claim */
  constructor (fleet: Fleet, settings: PlacementSettings, estimatedEndMs: (job: JobRecord) => number) {
    this.#fleet = fleet
    this.#settings = settings
    this.#estimatedEndMs = estimatedEndMs
  }

  /**
   * The earliest start in one pool, among the first `candidateRacks` racks of each pool, or further ones if the gang
   * fits into none of these. Undefined if no single pool can hold the gang in usable cells of available workers.
   */
  forecast (shape: GangShape, nowMs: number, isUsable: CellFilter): StartForecast | undefined {
    let best: ExpectedFreeCell[] | undefined
    for (const { pool, level } of shape.poolLevels) {
      const found = this.#earliestInPool(shape, pool, level, nowMs, isUsable)
      if (found !== undefined && (best === undefined || startMsOf(found) < startMsOf(best))) best = found
    }
    if (best === undefined) return undefined
    const cells = best.map(expected => expected.cell)
    return { cells, startMs: startMsOf(best), blockers: this.#blockersOf(cells) }
  }

  #earliestInPool (
    shape: GangShape, pool: CellPool, level: number, nowMs: number, isUsable: CellFilter
  ): ExpectedFreeCell[] | undefined {
    let best: ExpectedFreeCell[] | undefined
    let collected: ExpectedFreeCell[] = []
    let racks = 0
    for (const rackIndex of this.#fleet.used.racksByEmptiness(pool.index)) {
      if (racks++ >= this.#settings.candidateRacks && best !== undefined) break
      const rackCells = this.#expectedFreeCells(rackIndex, level, nowMs, isUsable)
      if (shape.adjacency === 'none') collected = earliest([...collected, ...rackCells], shape.tasks)
      const candidate = shape.adjacency === 'none' ? collected : this.#earliestAdjacent(shape, rackCells)
      if (candidate.length < shape.tasks) continue
      if (best === undefined || startMsOf(candidate) < startMsOf(best)) best = candidate
    }
    return best
  }

  #earliestAdjacent (shape: GangShape, rackCells: ExpectedFreeCell[]): ExpectedFreeCell[] {
    if (shape.adjacency === 'rack') return earliest(rackCells, shape.tasks)
    const byWorker = new Map<number, ExpectedFreeCell[]>()
    for (const expected of rackCells) {
      const worker = this.#fleet.tree.worker[expected.cell]!
      byWorker.set(worker, [...byWorker.get(worker) ?? [], expected])
    }
    let best: ExpectedFreeCell[] = []
    for (const workerCells of byWorker.values()) {
      const candidate = earliest(workerCells, shape.tasks)
      const isWhole = candidate.length === shape.tasks
      if (isWhole && (best.length === 0 || startMsOf(candidate) < startMsOf(best))) best = candidate
    }
    return best
  }

  #expectedFreeCells (rackIndex: number, level: number, nowMs: number, isUsable: CellFilter): ExpectedFreeCell[] {
    const expected: ExpectedFreeCell[] = []
    for (const root of this.#fleet.tree.racks[rackIndex]!.rootCells) {
      for (const cell of this.#fleet.availableCells(root, level)) {
        if (isUsable(cell)) expected.push({ cell, freeAtMs: this.#expectedFreeAtMs(cell, nowMs) })
      }
    }
    return expected
  }

  #expectedFreeAtMs (cell: number, nowMs: number): number {
    if (this.#fleet.used.isFree(cell)) return nowMs
    let latestMs = nowMs
    for (const job of this.#fleet.jobsOverlapping(cell)) latestMs = Math.max(latestMs, this.#estimatedEndMs(job))
    for (const job of this.#fleet.claimantsOverlapping(cell)) latestMs = Math.max(latestMs, this.#estimatedEndMs(job))
    return latestMs
  }

  #blockersOf (cells: readonly number[]): Set<JobRecord> {
    const blockers = new Set<JobRecord>()
    for (const cell of cells) {
      for (const job of this.#fleet.jobsOverlapping(cell)) blockers.add(job)
      for (const job of this.#fleet.claimantsOverlapping(cell)) blockers.add(job)
    }
    return blockers
  }
}

function earliest (cells: readonly ExpectedFreeCell[], count: number): ExpectedFreeCell[] {
  return [...cells].sort((left, right) => left.freeAtMs - right.freeAtMs).slice(0, count)
}

function startMsOf (cells: readonly ExpectedFreeCell[]): number {
  return cells.reduce((latest, cell) => Math.max(latest, cell.freeAtMs), 0)
}
