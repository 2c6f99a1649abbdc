/** Shapes of gangs: the cells that the tasks of a job need in each pool, and whether the inventory could hold them. */
import type { Adjacency, JobSpec } from '@comfreygrade/core'
import { type CellPool, type CellTree, smallestLevelHolding, largestLevelWithin } from './cells.js'

/** Shape of a gang; shared by all jobs with the same requirements. */
export interface GangShape {
  /** Equal for all jobs with the same requirements. */
  readonly key: string
  /** Number of tasks. */
  readonly tasks: number
  /** With `rack`, the tasks are placed on workers of the same rack and the same type; with `worker`, on one worker. */
  readonly adjacency: Adjacency
  /**
   * Pools that can hold a task, with the level of the cell that it needs there. Only the tasks of a gang with adjacency
   * `none` may be spread over several pools.
   */
  readonly poolLevels: ReadonlyArray<{ readonly pool: CellPool, readonly level: number }>
  /** Fewest accelerators that the gang can occupy; 0 if no pool can hold a task. */
  readonly minAccelerators: number
  /** Whether the inventory could hold the gang if all workers were available and free. */
  readonly isPossible: boolean
}

/**
 * Smallest level whose cells are large enough for a task, where a cell has a proportional share of its worker's cores
 * and memory; undefined if a whole worker is too small.
 */
export function taskLevel (spec: JobSpec, pool: CellPool): number | undefined {
  const { acceleratorsPerWorker, coresPerWorker, memoryGbPerWorker } = pool
  const forCores = Math.ceil(spec.coresPerTask * acceleratorsPerWorker / coresPerWorker)
  const forMemory = Math.ceil(spec.memoryGbPerTask * acceleratorsPerWorker / memoryGbPerWorker)
  const level = smallestLevelHolding(Math.max(1, spec.acceleratorsPerTask, forCores, forMemory))
  return level <= largestLevelWithin(acceleratorsPerWorker) ? level : undefined
}

/** Cache of gang shapes for one inventory. */
export class ShapeTable {
  readonly #tree: CellTree
  readonly #shapes = new Map<string, GangShape>()

  constructor (tree: CellTree) {
    this.#tree = tree
  }

  /**
   * The shape of a job.
   *
   * @example
   * new ShapeTable(tree).shapeOf(spec).isPossible
   */
  shapeOf (spec: JobSpec): GangShape {
    const key = `${spec.acceleratorModel}/${spec.tasks}x${spec.acceleratorsPerTask}/${spec.coresPerTask}/` +
      `${spec.memoryGbPerTask}/${spec.adjacency}`
    const existing = this.#shapes.get(key)
    if (existing !== undefined) return existing
    const created = this.#create(key, spec)
    this.#shapes.set(key, created)
    return created
  }

  #create (key: string, spec: JobSpec): GangShape {
    const options = this.#poolLevels(spec)
    const smallest = options.reduce((least, option) => Math.min(least, 2 ** option.level), Infinity)
    return {
      key,
      tasks: spec.tasks,
      adjacency: spec.adjacency,
      poolLevels: options,
      minAccelerators: options.length === 0 ? 0 : smallest * spec.tasks,
      isPossible: this.#isPossible(spec, options)
    }
  }

  #poolLevels (spec: JobSpec): Array<{ pool: CellPool, level: number }> {
    const poolLevels: Array<{ pool: CellPool, level: number }> = []
    for (const pool of this.#tree.pools) {
      if (pool.acceleratorModel !== spec.acceleratorModel) continue
      const level = taskLevel(spec, pool)
      if (level !== undefined) poolLevels.push({ pool, level })
    }
    return poolLevels
  }

  #isPossible (spec: JobSpec, poolLevels: GangShape['poolLevels']): boolean {
    switch (spec.adjacency) {
      case 'worker': return poolLevels.some(({ pool, level }) => workerCapacity(pool, level) >= spec.tasks)
      case 'rack': return poolLevels.some(({ pool, level }) => this.#largestRackCapacity(pool, level) >= spec.tasks)
      case 'none': return this.#totalCapacity(poolLevels) >= spec.tasks
    }
  }

  #totalCapacity (poolLevels: GangShape['poolLevels']): number {
    let total = 0
    for (const { pool, level } of poolLevels) {
      for (const rackIndex of pool.rackIndexes) total += this.#rackCapacity(rackIndex, level)
    }
    return total
  }

  #largestRackCapacity (pool: CellPool, level: number): number {
    return pool.rackIndexes.reduce((most, rackIndex) => Math.max(most, this.#rackCapacity(rackIndex, level)), 0)
  }

  #rackCapacity (rackIndex: number, level: number): number {
    const { workerIndexes, poolIndex } = this.#tree.racks[rackIndex]!
    return workerIndexes.length * workerCapacity(this.#tree.pools[poolIndex]!, level)
  }
}

function workerCapacity (pool: CellPool, level: number): number {
  return Math.floor(pool.acceleratorsPerWorker / 2 ** level)
}
