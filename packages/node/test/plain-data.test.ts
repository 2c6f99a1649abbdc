import { Encoder } from 'cbor-x'
import fc from 'fast-check'
import test from 'ava'
import { findNonPlainValue } from '../src/plain-data.js'

const codec = new Encoder({ useRecords: false, mapsAsObjects: true })

function nested (depth: number): unknown {
  let value: unknown = 1
  for (let level = 0; level < depth; level++) value = [value]
  return value
}

for (const [title, value, expected] of [
  ['a function', { ends: [{ reason: Object }] }, { path: 'ends.0.reason', problem: 'function' }],
  ['a symbol', Symbol('x'), { path: '', problem: 'symbol' }],
  ['an integer beyond the numbers', { run: 1n }, { path: 'run', problem: 'bigint' }],
  ['an object of a class', { at: new Date(0) }, { path: 'at', problem: 'object of a class' }],
  ['half of a surrogate pair', ['a\ud800'], { path: '0', problem: 'text that is not well-formed' }]
] as const) {
  test(`${title} is not plain data`, t => { t.deepEqual(findNonPlainValue(value), expected) })
}

test('deep nesting is not plain data, however deep', t => {
  t.is(findNonPlainValue(nested(60)), undefined)
  for (const depth of [100, 100_000]) t.is(findNonPlainValue(nested(depth))?.problem, 'nesting too deep')
})

test('plain data are encoded and read back as they were', t => {
  const values = fc.jsonValue({ maxDepth: 8 }).filter(value => !JSON.stringify(value).includes('__proto__'))
  fc.assert(fc.property(values, value => {
    if (findNonPlainValue(value) !== undefined) return
    // JSON does not distinguish -0, which is read back as 0.
    t.is(JSON.stringify(codec.decode(codec.encode(value))), JSON.stringify(value))
  }), { seed: 29, numRuns: 500 })
})
