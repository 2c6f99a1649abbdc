/** Reads and writes benchmark results as JSON and compares a run with an earlier one. */
import { readFile, writeFile } from 'node:fs/promises'
import type { BenchTable } from './format.js'

/** Results of one run of benchmarks, as stored in a file. */
export interface BenchResults {
  readonly nodeVersion: string
  readonly seeds: readonly number[]
  readonly isQuick: boolean
  readonly tables: readonly BenchTable[]
}

export async function writeResults (file: string, results: BenchResults): Promise<void> {
  await writeFile(file, `${JSON.stringify(results, null, 2)}\n`)
}

/** Reads a file written by `writeResults`; undefined if it is missing, is not JSON or has no tables. */
export async function readResults (file: string): Promise<BenchResults | undefined> {
  try {
    const results = JSON.parse(await readFile(file, 'utf8')) as Partial<BenchResults>
    return Array.isArray(results.tables) ? results as BenchResults : undefined
  } catch {
    return undefined
  }
}

/**
 * Shows each number with its change in percent from the earlier run; a cell that is not a plain number, or was 0, is
 * shown with its earlier content. Cells are matched by table title, row name and column; those that the earlier run did
 * not have are marked `new`, and so is a whole table if its title differs, for example in the number of seeds.
 *
 * @example
 * compareTables(earlier.tables, tables).map(formatTable)
 */
export function compareTables (earlier: readonly BenchTable[], current: readonly BenchTable[]): BenchTable[] {
  return current.map(table => compareTable(earlier.find(({ title }) => title === table.title), table))
}

function compareTable (earlier: BenchTable | undefined, current: BenchTable): BenchTable {
  const rows = current.rows.map(row => {
    const earlierRow = earlier?.rows.find(([name]) => name === row[0])
    const compare = (cell: string, index: number) => compareCell(findCell(earlier, earlierRow, current, index), cell)
    return row.map((cell, index) => index === 0 ? cell : compare(cell, index))
  })
  return { title: `${current.title} (against the earlier run)`, columns: current.columns, rows }
}

function findCell (
  earlier: BenchTable | undefined, earlierRow: readonly string[] | undefined, current: BenchTable, index: number
): string | undefined {
  const earlierIndex = earlier?.columns.indexOf(current.columns[index] ?? '') ?? -1
  return earlierIndex === -1 ? undefined : earlierRow?.[earlierIndex]
}

function compareCell (earlier: string | undefined, current: string): string {
  if (earlier === undefined) return `${current} (new)`
  const [before, after] = [Number(earlier), Number(current)]
  if (Number.isNaN(before) || Number.isNaN(after) || before === 0) return `${current} (was ${earlier})`
  const changePercent = (after - before) / before * 100
  return `${current} (${changePercent >= 0 ? '+' : ''}${changePercent.toFixed(1)} %)`
}
