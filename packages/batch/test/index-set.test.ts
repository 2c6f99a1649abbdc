import test from 'ava'
import fc from 'fast-check'
import { IndexSet } from '../src/index-set.js'

const INDEX = fc.nat({ max: 30 })

test('a set of ranges has the same indexes as a plain set, also when it is restored', t => {
  fc.assert(fc.property(fc.array(INDEX, { maxLength: 40 }), INDEX, INDEX, (indexes, end, probe) => {
    const plain = new Set(indexes)
    const set = new IndexSet()
    for (const index of indexes) set.add(index)
    set.addAllBelow(end)
    for (let index = 0; index < end; index++) plain.add(index)
    const restored = new IndexSet(set.toRanges())
    let firstMissing = probe
    while (plain.has(firstMissing)) firstMissing++
    for (const candidate of [set, restored]) {
      if (candidate.size !== plain.size || candidate.has(probe) !== plain.has(probe)) return false
      if (candidate.firstMissing(probe) !== firstMissing) return false
    }
    return true
  }))
  t.pass()
})

test('contiguous indexes take one range', t => {
  const set = new IndexSet()
  for (const index of [2, 0, 1, 3]) set.add(index)
  t.deepEqual(set.toRanges(), [0, 4])
})
