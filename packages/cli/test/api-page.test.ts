import { readFile } from 'node:fs/promises'
import test from 'ava'
import { errorTable } from '@comfreygrade/core'

const PAGE = new URL('../../../docs/api.md', import.meta.url)

/** Cells of the table of error kinds by kind, without their backticks. */
async function readDocumentedErrorKinds (): Promise<Record<string, string[]>> {
  const page = await readFile(PAGE, 'utf8')
  const section = page.slice(page.indexOf('## 7. Error kinds'))
  const rows = section.split('\n').filter(line => line.startsWith('| `'))
  const cells = rows.map(row => row.split('|').slice(1, -1).map(cell => cell.trim().replaceAll('`', '')))
  return Object.fromEntries(cells.map(([kind = '', ...rest]) => [kind, rest]))
}

test('the page lists exactly the error kinds of the code with their answers, so that clients are written from truth', async t => {
  const documented = Object.entries(await readDocumentedErrorKinds()).map(([kind, cells]) => [kind, cells.slice(0, 4)])
  const actual = Object.entries(errorTable).map(([kind, { httpStatus, outcome, repeat, retryAfterMs }]) => (
    [kind, [String(httpStatus), outcome, repeat, String(retryAfterMs)]]))
  t.deepEqual(Object.fromEntries(documented), Object.fromEntries(actual))
})

test('every error kind of the page has a meaning, so that no row is left empty', async t => {
  for (const [kind, cells] of Object.entries(await readDocumentedErrorKinds())) t.regex(cells[4] ?? '', /\w.*\.$/, kind)
})
