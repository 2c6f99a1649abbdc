/** Tests of the cell tree, the free cell index, the guarantee allocator and the reclaim check. */
import test, { type ExecutionContext } from 'ava'
import fc from 'fast-check'
import { CellMarks, FreeCellIndex } from '../src/occupancy.js'
import { type CellTree, buildCellTree, splitIntoBlocks } from '../src/cells.js'
import { GuaranteeAllocator } from '../src/guarantees.js'
import { validateGuarantees } from '../src/reclaim-check.js'
import { type TestRack, cellsOfSize, fitsByExhaustiveSearch, testConfiguration } from './exhaustive-search.js'

const anyRack = fc.record({ workers: fc.integer({ min: 1, max: 4 }), accelerators: fc.constantFrom(1, 2, 3, 4) })
const anyRacks = fc.array(anyRack, { minLength: 1, maxLength: 2 })
const anyGuarantee = fc.record({
  acceleratorsPerCell: fc.constantFrom(1, 2, 4, 8),
  cells: fc.integer({ min: 1, max: 2 })
})
const anyGuarantees = fc.array(anyGuarantee, { maxLength: 3 })
/** `pick` selects the worker or cell, `other` the guarantee. */
const anyStep = fc.record({
  kind: fc.constantFrom('bind', 'release', 'fail', 'repair'),
  pick: fc.nat(1000),
  other: fc.nat(7)
})

/** Names of the accelerators in a cell, such as `r0w1#3`. */
function names (tree: CellTree, cell: number): string[] {
  const worker = tree.worker[cell]!
  if (worker < 0) return [tree.firstChild[cell]!, tree.firstChild[cell]! + 1].flatMap(child => names(tree, child))
  const first = tree.firstAccelerator[cell]!
  return Array.from({ length: 2 ** tree.level[cell]! }, (_, offset) =>
    `${tree.workers[worker]!.workerId}#${first + offset}`)
}

// With a missing or extra cell the scheduler would refuse or accept shapes wrongly.
test('the cell tree contains every aligned cell exactly once', t => {
  fc.assert(fc.property(anyRacks, racks => {
    const tree = buildCellTree(testConfiguration(racks))
    for (let level = 0; level < 5; level++) {
      const found: string[] = []
      for (let cell = 0; cell < tree.size; cell++) if (tree.level[cell] === level) found.push(names(tree, cell).join())
      t.deepEqual(found.sort(), cellsOfSize(racks, 2 ** level).map(cell => cell.join()).sort())
    }
  }), { seed: 11, numRuns: 60 })
})

test('splitting positions that do not start at a multiple of the block size still finds the largest block', t => {
  t.deepEqual(splitIntoBlocks(1, 8), [{ start: 1, length: 8 }])
  t.deepEqual(splitIntoBlocks(1, 7).map(block => block.length), [1, 2, 4])
})

test('guarantees are refused exactly when exhaustive search finds no arrangement for them', t => {
  fc.assert(fc.property(anyRacks, anyGuarantees, (racks, guarantees) => {
    const sizes = guarantees.flatMap(part => new Array<number>(part.cells).fill(part.acceleratorsPerCell))
    const accepted = validateGuarantees(testConfiguration(racks, guarantees)) === undefined
    t.is(accepted, fitsByExhaustiveSearch(racks, new Set(), sizes))
  }), { seed: 12, numRuns: 300 })
})

class AllocatorFixture {
  readonly tree: CellTree
  readonly committed: FreeCellIndex
  readonly allocator: GuaranteeAllocator
  readonly failedWorkers = new Set<number>()
  readonly #unavailable: CellMarks

  constructor (readonly racks: TestRack[], readonly guarantees: Array<{ acceleratorsPerCell: number, cells: number }>) {
    const configuration = testConfiguration(racks, guarantees)
    this.tree = buildCellTree(configuration)
    this.committed = new FreeCellIndex(this.tree)
    this.#unavailable = new CellMarks(this.tree)
    this.allocator = new GuaranteeAllocator(this.tree, this.committed, this.#unavailable, configuration)
  }

  apply (kind: string, pick: number, other: number): void {
    const worker = pick % this.tree.workers.length
    const state = this.allocator.states[other % Math.max(1, this.allocator.states.length)]
    if (kind === 'fail' && !this.failedWorkers.has(worker)) this.#setWorkerFailed(worker, true)
    if (kind === 'repair' && this.failedWorkers.has(worker)) this.#setWorkerFailed(worker, false)
    if (state === undefined) return
    const all = Array.from({ length: this.tree.size }, (_, cell) => cell)
    const cells = all.filter(cell => this.tree.level[cell] === state.level)
    if (kind === 'bind' && cells.length > 0) this.allocator.bind(state, cells[pick % cells.length]!)
    const bound = [...state.boundCells]
    if (kind === 'release' && bound.length > 0) this.allocator.release(this.allocator.bindingOf(bound[pick % bound.length]!)!)
  }

  #setWorkerFailed (worker: number, isFailed: boolean): void {
    for (const cell of this.tree.workers[worker]!.topCells) {
      for (const marks of [this.committed, this.#unavailable]) isFailed ? marks.mark(cell) : marks.unmark(cell)
    }
    isFailed ? this.failedWorkers.add(worker) : this.failedWorkers.delete(worker)
  }

  unboundSizes (): number[] {
    return this.allocator.states.flatMap(state =>
      new Array<number>(state.guarantee.cells - state.boundCells.size).fill(2 ** state.level))
  }

  takenAccelerators (): Set<string> {
    const taken = new Set<string>()
    const cells = this.allocator.states.flatMap(state => [...state.boundCells])
    for (const worker of this.failedWorkers) cells.push(...this.tree.workers[worker]!.topCells)
    for (const cell of cells) for (const name of names(this.tree, cell)) taken.add(name)
    return taken
  }

  hasUnavailableBoundCell (): boolean {
    return this.allocator.states.some(state => [...state.boundCells].some(cell => !this.#unavailable.isFree(cell)))
  }
}

test('the reclaim check agrees with exhaustive search after any binding, release, worker failure and repair', t => {
  fc.assert(fc.property(anyRacks, anyGuarantees, fc.array(anyStep, { maxLength: 15 }), (racks, guarantees, steps) => {
    const fixture = new AllocatorFixture(racks, guarantees)
    for (const { kind, pick, other } of steps) {
      fixture.apply(kind, pick, other)
      const expected = fitsByExhaustiveSearch(racks, fixture.takenAccelerators(), fixture.unboundSizes()) &&
        !fixture.hasUnavailableBoundCell()
      t.is(fixture.allocator.checkReclaimable().isReclaimable, expected)
    }
  }), { seed: 13, numRuns: 200 })
})

test('without worker failures no binding makes another guarantee unsatisfiable, whatever was bound and released before', t => {
  const bindOrRelease = anyStep.map(({ pick, other }) => ({ kind: pick % 3 === 0 ? 'release' : 'bind', pick, other }))
  const stepsWithoutFailures = fc.array(bindOrRelease, { maxLength: 20 })
  fc.assert(fc.property(anyRacks, anyGuarantees, stepsWithoutFailures, (racks, guarantees, steps) => {
    fc.pre(validateGuarantees(testConfiguration(racks, guarantees)) === undefined)
    const fixture = new AllocatorFixture(racks, guarantees)
    for (const { kind, pick, other } of steps) {
      fixture.apply(kind, pick, other)
      t.true(fixture.allocator.checkReclaimable().isReclaimable)
    }
  }), { seed: 14, numRuns: 200 })
})

test('the free cell index lists the maximal free cells after nested marks are added and removed in any order', t => {
  const marks = fc.array(fc.nat(1000), { maxLength: 25 })
  fc.assert(fc.property(anyRacks, marks, (racks, picks) => {
    const tree = buildCellTree(testConfiguration(racks))
    const cells = new FreeCellIndex(tree)
    const marked: number[] = []
    for (const pick of picks) {
      if (pick % 2 === 0 && marked.length > 0) cells.unmark(marked.splice(pick % marked.length, 1)[0]!)
      else cells.mark(marked[marked.push(pick % tree.size) - 1]!)
      assertFreeCellIndex(t, tree, cells)
    }
  }), { seed: 15, numRuns: 200 })
})

function assertFreeCellIndex (t: ExecutionContext, tree: CellTree, cells: FreeCellIndex): void {
  for (const { index } of tree.racks) {
    const expected: number[] = []
    for (let cell = 0; cell < tree.size; cell++) {
      const isLargest = tree.parent[cell] === -1 || !cells.isFree(tree.parent[cell]!)
      if (tree.rack[cell] === index && cells.isFree(cell) && isLargest) expected.push(cell)
    }
    const free = expected.reduce((sum, cell) => sum + 2 ** tree.level[cell]!, 0)
    t.deepEqual([...cells.listMaximalCells(index, 0)].sort((a, b) => a - b), expected)
    t.deepEqual([cells.freeInRack(index), cells.capacityInRack(index, 0)], [free, free])
  }
}
