/** Text tables of benchmark results. */

/** Result table of a benchmark. The first column holds the row names. */
export interface BenchTable {
  readonly title: string
  readonly columns: string[]
  readonly rows: string[][]
}

/**
 * Formats a table as text with the first column left-aligned and the others right-aligned.
 *
 * @example
 * formatTable({ title: 'Placement', columns: ['policy', 'passes/s'], rows: [['buddy', '1200']] })
 */
export function formatTable ({ title, columns, rows }: BenchTable): string {
  const widths = columns.map((column, index) => Math.max(column.length, ...rows.map(row => (row[index] ?? '').length)))
  const formatRow = (row: readonly string[]) => row.map((cell, index) => pad(cell, widths[index] ?? 0, index)).join('  ')
  const rule = widths.map(width => '-'.repeat(width)).join('  ')
  return [title, formatRow(columns), rule, ...rows.map(formatRow)].join('\n')
}

function pad (cell: string, width: number, index: number): string {
  return index === 0 ? cell.padEnd(width) : cell.padStart(width)
}
