/** The reclaim invariant: whether free cells hold all guaranteed cells, by level. */
import { type Configuration, type Failure, type Guarantee, failure } from '@comfreygrade/core'
import { buildCellTree, levelFor } from './cells.js'
import { FreeCells } from './occupancy.js'

/**
 * Missing cells by level. Fitting from the largest level downwards is exact for cells of power-of-two sizes: what a
 * level leaves over is split in two for the next.
 *
 * @param free listed free cells by level
 * @param demand cells to hold by level
 * @returns the cells of each level that do not fit; all zero where the invariant holds
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

/** Level of one cell of a guarantee. */
export function guaranteeLevel (guarantee: Guarantee): number {
  return levelFor(guarantee.acceleratorsPerCell)
}

/**
 * Checks that the whole inventory, when all of it works, holds all guarantees.
 *
 * @returns `guarantee_unsatisfiable` with the guarantees and the missing cells, or undefined
 * @example
 * const problem = validateGuarantees(configuration)
 * if (problem !== undefined) console.log(problem.detail)
 */
export function validateGuarantees (configuration: Configuration): Failure | undefined {
  const tree = buildCellTree(configuration)
  const cells = new FreeCells(tree)
  const problems: string[] = []
  for (const [model, guarantees] of guaranteesByModel(configuration)) {
    const modelIndex = tree.modelIndex(model)
    const missing = missingByLevel(cells.listedByLevel(modelIndex), demandByLevel(guarantees))
    for (const guarantee of guarantees) {
      const count = missing[guaranteeLevel(guarantee)]!
      if (count > 0) problems.push(describeMissing(guarantee, Math.min(count, guarantee.cells)))
    }
  }
  return problems.length === 0 ? undefined : failure('guarantee_unsatisfiable', problems.join('; '))
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

function describeMissing (guarantee: Guarantee, count: number): string {
  return `guarantee ${guarantee.guaranteeId} asks for ${guarantee.cells} cells of ${guarantee.acceleratorsPerCell} ` +
    `accelerators ${guarantee.acceleratorModel}, the inventory lacks ${count}`
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
