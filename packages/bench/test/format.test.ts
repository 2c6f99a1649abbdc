import test from 'ava'
import { type BenchTable, compareTables, formatTable } from '../src/index.js'

const earlier: BenchTable = { title: 'T', columns: ['name', 'ms', 'state'], rows: [['a', '10', 'ok'], ['b', '0', 'ok']] }

test('formatTable aligns the first column left and the figures right', t => {
  t.is(formatTable(earlier), 'T\nname  ms  state\n----  --  -----\na     10     ok\nb      0     ok')
})

test('compareTables matches rows and columns by name, not by position, and marks new rows', t => {
  const current: BenchTable = {
    title: 'T', columns: ['name', 'state', 'ms'], rows: [['c', 'ok', '1'], ['b', 'ok', '2'], ['a', 'late', '15']]
  }
  t.deepEqual(compareTables([earlier], [current])[0]?.rows, [
    ['c', 'ok (new)', '1 (new)'],
    ['b', 'ok (was ok)', '2 (was 0)'],
    ['a', 'late (was ok)', '15 (+50.0 %)']
  ])
})
