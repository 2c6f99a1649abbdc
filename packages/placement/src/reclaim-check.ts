/**
 * The reclaim invariant, checked level by level: the cells that are not committed, including those lent to preemptible
 * jobs, can be split into all unbound guaranteed cells.
 */
import { type Configuration, type Failure, type Guarantee, failure } from '@comfreygrade/core'
import { buildCellTree, smallestLevelHolding } from './cells.js'
import { FreeCellIndex } from './occupancy.js'

/**
 * Counts missing cells by level. Fitting greedily from the highest level down is exact for power-of-two sizes: each
 * cell that one level does not need is split in two for the next.
 *
 * @param free number of maximal uncommitted cells by level
 * @param demand number of required cells by level
 * @returns the number of cells of each level that do not fit; all zero if the invariant holds
 * @example
 * missingByLevel([0, 1], [3, 0]) // [1, 0]
 */
export function missingByLevel (free: readonly number[], demand: readonly number[]): number[] {
  const levels = Math.max(free.length, demand.length)
  const missing: number[] = new Array(levels).fill(0)
  let available = 0
  for (let level = levels - 1; level >= 0; level--) {
    available = available * 2 + (free[level] ?? 0) - (demand[level] ?? 0)
    if (available < 0) {
      missing[level] = -available
      available = 0
    }
  }
  return missing
}

/** Level of the cells of a guarantee. */
export function guaranteeLevel (guarantee: Guarantee): number {
  return smallestLevelHolding(guarantee.acceleratorsPerCell)
}

/**
 * Checks that the inventory can provide all guarantees when all workers are available and free.
 *
 * @returns `guarantee_unsatisfiable` with the guarantees and their missing cells, where cells that are missing on a
 * level are counted for each guarantee of that level; undefined if all can be provided
 * @example
 * const failure = validateGuarantees(configuration)
 * if (failure !== undefined) console.log(failure.detail)
 */
export function validateGuarantees (configuration: Configuration): Failure | undefined {
  const tree = buildCellTree(configuration)
  const freeCells = new FreeCellIndex(tree)
  const shortages: string[] = []
  for (const [model, guarantees] of guaranteesByModel(configuration)) {
    const modelIndex = tree.modelIndex(model)
    const missing = missingByLevel(freeCells.maximalCellsByLevel(modelIndex), demandByLevel(guarantees))
    for (const guarantee of guarantees) {
      const count = missing[guaranteeLevel(guarantee)]!
      if (count > 0) shortages.push(describeShortage(guarantee, Math.min(count, guarantee.cells)))
    }
  }
  return shortages.length === 0 ? undefined : failure('guarantee_unsatisfiable', shortages.join('; '))
}

function demandByLevel (guarantees: readonly Guarantee[]): number[] {
  const demand: number[] = []
  for (const guarantee of guarantees) {
    const level = guaranteeLevel(guarantee)
    while (demand.length <= level) demand.push(0)
    demand[level]! += guarantee.cells
  }
  return demand
}

function describeShortage (guarantee: Guarantee, count: number): string {
  return `guarantee ${guarantee.guaranteeId} needs ${guarantee.cells} cells of ${guarantee.acceleratorsPerCell} ` +
    `${guarantee.acceleratorModel} accelerators, the inventory cannot provide ${count} of these cells`
}

function guaranteesByModel (configuration: Configuration): Map<string, Guarantee[]> {
  const groups = new Map<string, Guarantee[]>()
  for (const guarantee of configuration.guarantees.values()) {
    const group = groups.get(guarantee.acceleratorModel) ?? []
    group.push(guarantee)
    groups.set(guarantee.acceleratorModel, group)
  }
  return groups
}
