/** Text tables. */
import Table from 'cli-table3'

export type Cell = string | number | boolean

/**
 * Renders rows under a header, without colours, so that the text can be piped.
 *
 * @example
 * renderTable(['worker', 'state'], [['w1', 'active']])
 */
export function renderTable (head: readonly string[], rows: ReadonlyArray<readonly Cell[]>): string {
  const table = new Table({ head: [...head], style: { head: [], border: [], compact: true } })
  for (const row of rows) table.push(row.map(String))
  return table.toString()
}

/**
 * Renders an object as a table of field paths and values.
 *
 * @example
 * renderFields({ version: 3, isDryRun: false })
 */
export function renderFields (fields: object): string {
  return renderTable(['field', 'value'], flatten('', fields))
}

/**
 * Renders titled sections, separated by blank lines.
 *
 * @example
 * renderSections([['Workers', renderTable(['worker'], [])]])
 */
export function renderSections (sections: ReadonlyArray<readonly [string, string]>): string {
  return sections.map(([title, body]) => `${title}\n${body}`).join('\n\n')
}

function flatten (prefix: string, value: unknown): Cell[][] {
  if (value === null || typeof value !== 'object') return [[prefix, String(value ?? '-')]]
  if (Array.isArray(value) && value.every(item => typeof item !== 'object')) return [[prefix, value.join(', ')]]
  if (Object.keys(value).length === 0) return [[prefix, '-']]
  return Object.entries(value).flatMap(([key, item]) => flatten(prefix === '' ? key : `${prefix}.${key}`, item))
}
