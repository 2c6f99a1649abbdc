/** Start-time reservations: where and when the first waiting job that does not fit can start. */
import type { CellPool } from './cells.js'
import type { Fleet } from './fleet.js'
import type { CellFilter } from './free-search.js'
import type { JobRecord } from './jobs.js'
import type { PlacementSettings } from './settings.js'
import type { GangShape } from './shapes.js'

/** Cells that are expected to be free for a whole gang. */
export interface StartForecast {
  readonly cells: readonly number[]
  readonly startMs: number
  /** Jobs that have to end first. */
  readonly blockers: ReadonlySet<JobRecord>
}

/** A forecast that is kept for one waiting job. */
export interface Reservation extends StartForecast {
  readonly job: JobRecord
  readonly calculatedMs: number
}

interface FutureCell {
  readonly cell: number
  readonly freeMs: number
}

/** Computes forecasts from the estimated ends of running jobs. */
export class StartForecaster {
  readonly #fleet: Fleet
  readonly #settings: PlacementSettings
  readonly #endOf: (job: JobRecord) => number

  /** @param endOf estimated end of a running job or of a job that holds a claim */
  constructor (fleet: Fleet, settings: PlacementSettings, endOf: (job: JobRecord) => number) {
    this.#fleet = fleet
    this.#settings = settings
    this.#endOf = endOf
  }

  /** The earliest start among the racks that are compared; undefined where the working hardware cannot hold it. */
  forecast (shape: GangShape, nowMs: number, accepts: CellFilter): StartForecast | undefined {
    let best: FutureCell[] | undefined
    for (const { pool, level } of shape.options) {
      const found = this.#earliestInPool(shape, pool, level, nowMs, accepts)
      if (found !== undefined && (best === undefined || startOf(found) < startOf(best))) best = found
    }
    if (best === undefined) return undefined
    const cells = best.map(future => future.cell)
    return { cells, startMs: startOf(best), blockers: this.#blockersOf(cells) }
  }

  #earliestInPool (
    shape: GangShape, pool: CellPool, level: number, nowMs: number, accepts: CellFilter
  ): FutureCell[] | undefined {
    let best: FutureCell[] | undefined
    let collected: FutureCell[] = []
    let racks = 0
    for (const rackIndex of this.#fleet.used.racksByEmptiness(pool.index)) {
      if (racks++ >= this.#settings.candidateRacks && best !== undefined) break
      const futures = this.#futureCells(rackIndex, level, nowMs, accepts)
      if (shape.adjacency === 'none') collected = earliest([...collected, ...futures], shape.tasks)
      const candidate = shape.adjacency === 'none' ? collected : this.#adjacent(shape, futures)
      if (candidate.length < shape.tasks) continue
      if (best === undefined || startOf(candidate) < startOf(best)) best = candidate
    }
    return best
  }

  #adjacent (shape: GangShape, futures: FutureCell[]): FutureCell[] {
    if (shape.adjacency === 'rack') return earliest(futures, shape.tasks)
    const byWorker = new Map<number, FutureCell[]>()
    for (const future of futures) {
      const worker = this.#fleet.tree.worker[future.cell]!
      byWorker.set(worker, [...byWorker.get(worker) ?? [], future])
    }
    let best: FutureCell[] = []
    for (const own of byWorker.values()) {
      const candidate = earliest(own, shape.tasks)
      const isWhole = candidate.length === shape.tasks
      if (isWhole && (best.length === 0 || startOf(candidate) < startOf(best))) best = candidate
    }
    return best
  }

  #futureCells (rackIndex: number, level: number, nowMs: number, accepts: CellFilter): FutureCell[] {
    const futures: FutureCell[] = []
    for (const root of this.#fleet.tree.racks[rackIndex]!.rootCells) {
      for (const cell of this.#fleet.workingCells(root, level)) {
        if (accepts(cell)) futures.push({ cell, freeMs: this.#freeMs(cell, nowMs) })
      }
    }
    return futures
  }

  #freeMs (cell: number, nowMs: number): number {
    if (this.#fleet.used.isFree(cell)) return nowMs
    let latestMs = nowMs
    for (const job of this.#fleet.jobsIn(cell)) latestMs = Math.max(latestMs, this.#endOf(job))
    for (const job of this.#fleet.claimsIn(cell)) latestMs = Math.max(latestMs, this.#endOf(job))
    return latestMs
  }

  #blockersOf (cells: readonly number[]): Set<JobRecord> {
    const blockers = new Set<JobRecord>()
    for (const cell of cells) {
      for (const job of this.#fleet.jobsIn(cell)) blockers.add(job)
      for (const job of this.#fleet.claimsIn(cell)) blockers.add(job)
    }
    return blockers
  }
}

function earliest (futures: readonly FutureCell[], count: number): FutureCell[] {
  return [...futures].sort((left, right) => left.freeMs - right.freeMs).slice(0, count)
}

function startOf (futures: readonly FutureCell[]): number {
  return futures.reduce((latest, future) => Math.max(latest, future.freeMs), 0)
}
