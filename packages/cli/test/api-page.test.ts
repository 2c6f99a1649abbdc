import { readFile } from 'node:fs/promises'
import test from 'ava'
import { errorTable } from '@comfreygrade/core'

const API_PAGE_URL = new URL('../../../docs/api.md', import.meta.url)

/** Returns the table of error kinds as a map from kind to the other cells of its row, without backticks. */
async function readDocumentedErrorKinds (): Promise<Record<string, string[]>> {
  const page = await readFile(API_PAGE_URL, 'utf8')
  const section = page.slice(page.indexOf('## 7. Error kinds'))
  const rows = section.split('\n').filter(line => line.startsWith('| `'))
  const cells = rows.map(row => row.split('|').slice(1, -1).map(cell => cell.trim().replaceAll('`', '')))
  return Object.fromEntries(cells.map(([kind = '', ...rest]) => [kind, rest]))
}

test('the API page lists exactly the error kinds of the code, with their status, outcome and retry advice, so that clients can be written from it', async t => {
  const documented = Object.entries(await readDocumentedErrorKinds()).map(([kind, cells]) => [kind, cells.slice(0, 4)])
  const actual = Object.entries(errorTable).map(([kind, { httpStatus, outcome, repeat, retryAfterMs }]) => (
    [kind, [String(httpStatus), outcome, repeat, String(retryAfterMs)]]))
  t.deepEqual(Object.fromEntries(documented), Object.fromEntries(actual))
})

test('every error kind on the API page has a description', async t => {
  for (const [kind, cells] of Object.entries(await readDocumentedErrorKinds())) t.regex(cells[4] ?? '', /\w.*\.$/, kind)
})
