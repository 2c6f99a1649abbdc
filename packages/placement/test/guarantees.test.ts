import test, { type ExecutionContext } from 'ava'
import fc from 'fast-check'
import { CellMarks, FreeCells } from '../src/occupancy.js'
import { type CellTree, buildCellTree, splitRun } from '../src/cells.js'
import { GuaranteeLedger } from '../src/guarantees.js'
import { validateGuarantees } from '../src/reclaim-check.js'
import { type TestRack, cellsOfSize, fitsByTrying, testConfiguration } from './brute-force.js'

const rack = fc.record({ workers: fc.integer({ min: 1, max: 4 }), accelerators: fc.constantFrom(1, 2, 3, 4) })
const racks = fc.array(rack, { minLength: 1, maxLength: 2 })
const guarantee = fc.record({ acceleratorsPerCell: fc.constantFrom(1, 2, 4, 8), cells: fc.integer({ min: 1, max: 2 }) })
const guarantees = fc.array(guarantee, { maxLength: 3 })
const step = fc.record({ kind: fc.constantFrom('bind', 'release', 'fail', 'repair'), pick: fc.nat(1000), other: fc.nat(7) })

function names (tree: CellTree, cell: number): string[] {
  const worker = tree.worker[cell]!
  if (worker < 0) return [tree.firstChild[cell]!, tree.firstChild[cell]! + 1].flatMap(child => names(tree, child))
  const first = tree.firstAccelerator[cell]!
  return Array.from({ length: 2 ** tree.level[cell]! }, (_, offset) => `${tree.workers[worker]!.workerId}#${first + offset}`)
}

test('the tree holds every aligned cell exactly once, so no shape is refused or promised wrongly', t => {
  fc.assert(fc.property(racks, shape => {
    const tree = buildCellTree(testConfiguration(shape))
    for (let level = 0; level < 5; level++) {
      const found: string[] = []
      for (let cell = 0; cell < tree.size; cell++) if (tree.level[cell] === level) found.push(names(tree, cell).join())
      t.deepEqual(found.sort(), cellsOfSize(shape, 2 ** level).map(cell => cell.join()).sort())
    }
  }), { seed: 11, numRuns: 60 })
})

test('splitting a run that does not start at a multiple still finds its largest block', t => {
  t.deepEqual(splitRun(1, 8), [{ start: 1, length: 8 }])
  t.deepEqual(splitRun(1, 7).map(block => block.length), [1, 2, 4])
})

test('a set of guarantees is refused exactly when trying every arrangement finds none', t => {
  fc.assert(fc.property(racks, guarantees, (shape, wanted) => {
    const sizes = wanted.flatMap(part => new Array<number>(part.cells).fill(part.acceleratorsPerCell))
    const accepted = validateGuarantees(testConfiguration(shape, wanted)) === undefined
    t.is(accepted, fitsByTrying(shape, new Set(), sizes))
  }), { seed: 12, numRuns: 300 })
})

class Fixture {
  readonly tree: CellTree
  readonly held: FreeCells
  readonly ledger: GuaranteeLedger
  readonly failed = new Set<number>()
  readonly #unavailable: CellMarks

  constructor (readonly shape: TestRack[], readonly wanted: Array<{ acceleratorsPerCell: number, cells: number }>) {
    const configuration = testConfiguration(shape, wanted)
    this.tree = buildCellTree(configuration)
    this.held = new FreeCells(this.tree)
    this.#unavailable = new CellMarks(this.tree)
    this.ledger = new GuaranteeLedger(this.tree, this.held, this.#unavailable, configuration)
  }

  apply (kind: string, pick: number, other: number): void {
    const worker = pick % this.tree.workers.length
    const state = this.ledger.states[other % Math.max(1, this.ledger.states.length)]
    if (kind === 'fail' && !this.failed.has(worker)) this.#setFailed(worker, true)
    if (kind === 'repair' && this.failed.has(worker)) this.#setFailed(worker, false)
    if (state === undefined) return
    const all = Array.from({ length: this.tree.size }, (_, cell) => cell)
    const cells = all.filter(cell => this.tree.level[cell] === state.level)
    if (kind === 'bind' && cells.length > 0) this.ledger.bind(state, cells[pick % cells.length]!)
    const bound = [...state.boundCells]
    if (kind === 'release' && bound.length > 0) this.ledger.release(this.ledger.bindingOf(bound[pick % bound.length]!)!)
  }

  #setFailed (worker: number, isFailed: boolean): void {
    for (const cell of this.tree.workers[worker]!.topCells) {
      for (const marks of [this.held, this.#unavailable]) isFailed ? marks.mark(cell) : marks.unmark(cell)
    }
    isFailed ? this.failed.add(worker) : this.failed.delete(worker)
  }

  unboundSizes (): number[] {
    return this.ledger.states.flatMap(state =>
      new Array<number>(state.guarantee.cells - state.boundCells.size).fill(2 ** state.level))
  }

  takenNames (): Set<string> {
    const taken = new Set<string>()
    const cells = this.ledger.states.flatMap(state => [...state.boundCells])
    for (const worker of this.failed) cells.push(...this.tree.workers[worker]!.topCells)
    for (const cell of cells) for (const name of names(this.tree, cell)) taken.add(name)
    return taken
  }

  hasDamagedBinding (): boolean {
    return this.ledger.states.some(state => [...state.boundCells].some(cell => !this.#unavailable.isFree(cell)))
  }
}

test('after any binding, release, failure and repair the reclaim check agrees with trying every arrangement', t => {
  fc.assert(fc.property(racks, guarantees, fc.array(step, { maxLength: 15 }), (shape, wanted, steps) => {
    const fixture = new Fixture(shape, wanted)
    for (const { kind, pick, other } of steps) {
      fixture.apply(kind, pick, other)
      const expected = fitsByTrying(shape, fixture.takenNames(), fixture.unboundSizes()) && !fixture.hasDamagedBinding()
      t.is(fixture.ledger.check().isReclaimable, expected)
    }
  }), { seed: 13, numRuns: 200 })
})

test('without failures no binding makes another guarantee impossible, so holders get their cells whenever they ask', t => {
  const healthyStep = step.map(({ pick, other }) => ({ kind: pick % 3 === 0 ? 'release' : 'bind', pick, other }))
  const healthy = fc.array(healthyStep, { maxLength: 20 })
  fc.assert(fc.property(racks, guarantees, healthy, (shape, wanted, steps) => {
    fc.pre(validateGuarantees(testConfiguration(shape, wanted)) === undefined)
    const fixture = new Fixture(shape, wanted)
    for (const { kind, pick, other } of steps) {
      fixture.apply(kind, pick, other)
      t.true(fixture.ledger.check().isReclaimable)
    }
  }), { seed: 14, numRuns: 200 })
})

test('the free index lists the largest free cells after nested marks come and go in any order', t => {
  const marks = fc.array(fc.nat(1000), { maxLength: 25 })
  fc.assert(fc.property(racks, marks, (shape, picks) => {
    const tree = buildCellTree(testConfiguration(shape))
    const cells = new FreeCells(tree)
    const marked: number[] = []
    for (const pick of picks) {
      if (pick % 2 === 0 && marked.length > 0) cells.unmark(marked.splice(pick % marked.length, 1)[0]!)
      else cells.mark(marked[marked.push(pick % tree.size) - 1]!)
      assertIndex(t, tree, cells)
    }
  }), { seed: 15, numRuns: 200 })
})

function assertIndex (t: ExecutionContext, tree: CellTree, cells: FreeCells): void {
  for (const { index } of tree.racks) {
    const expected: number[] = []
    for (let cell = 0; cell < tree.size; cell++) {
      const isLargest = tree.parent[cell] === -1 || !cells.isFree(tree.parent[cell]!)
      if (tree.rack[cell] === index && cells.isFree(cell) && isLargest) expected.push(cell)
    }
    const free = expected.reduce((sum, cell) => sum + 2 ** tree.level[cell]!, 0)
    t.deepEqual([...cells.listedCells(index, 0)].sort((a, b) => a - b), expected)
    t.deepEqual([cells.freeInRack(index), cells.capacityInRack(index, 0)], [free, free])
  }
}
