/**
 * Binds guaranteed cells to physical cells, and checks that the unbound ones can still be provided.
 *
 * A guarantee promises a number of cells of one size without fixing which. A cell is bound to a physical cell while
 * tasks of the organisation use it.
 */
import type { Configuration, Guarantee } from '@comfreygrade/core'
import type { CellTree } from './cells.js'
import type { ReclaimCheck } from './decisions.js'
import type { CellMarks, FreeCellIndex } from './occupancy.js'
import { guaranteeLevel, missingByLevel } from './reclaim-check.js'

/** A guarantee and the physical cells that it is bound to. */
export interface GuaranteeState {
  readonly guarantee: Guarantee
  /** Level of its cells. */
  readonly level: number
  /** Index of its accelerator model in the cell tree. */
  readonly modelIndex: number
  /** Indexes of the physical cells that are bound. */
  readonly boundCells: Set<number>
}

/** A guaranteed cell that is bound to a physical cell, with the number of tasks that use it. */
export interface Binding {
  readonly state: GuaranteeState
  readonly cell: number
  users: number
}

/**
 * Allocates physical cells to guarantees. Bound cells are marked in `committed`; the reclaim check compares the unbound
 * guaranteed cells with the cells that are not committed.
 */
export class GuaranteeAllocator {
  readonly #tree: CellTree
  readonly #committed: FreeCellIndex
  readonly #unavailable: CellMarks
  readonly #states: GuaranteeState[] = []
  readonly #byOrganisationAndModel = new Map<string, GuaranteeState[]>()
  readonly #bindings = new Map<number, Binding>()
  /** Number of unbound guaranteed cells by level, by model index. */
  readonly #unboundByModel = new Map<number, number[]>()

  /**
   * @param committed marks of cells that are bound, unavailable or used by non-preemptible jobs
   * @param unavailable marks of cells on workers that have not joined, were lost, or are draining or quarantined
   */
  constructor (tree: CellTree, committed: FreeCellIndex, unavailable: CellMarks, configuration: Configuration) {
    this.#tree = tree
    this.#committed = committed
    this.#unavailable = unavailable
    for (const guarantee of configuration.guarantees.values()) this.#add(guarantee)
    for (const states of this.#byOrganisationAndModel.values()) states.sort((left, right) => left.level - right.level)
  }

  /** Guarantees of an organisation for an accelerator model, in increasing order of cell size. */
  forOrganisation (organisationId: string, acceleratorModel: string): readonly GuaranteeState[] {
    return this.#byOrganisationAndModel.get(`${organisationId}/${acceleratorModel}`) ?? []
  }

  /** All guarantees with their bindings. */
  get states (): readonly GuaranteeState[] {
    return this.#states
  }

  /** The binding of a physical cell, if any. */
  bindingOf (cell: number): Binding | undefined {
    return this.#bindings.get(cell)
  }

  /**
   * Binds one cell of a guarantee to a physical cell, unless other guaranteed cells could then no longer be provided.
   *
   * @returns undefined if the guarantee has no unbound cell, the cell is committed, or more guaranteed cells would be
   * missing
   */
  bind (state: GuaranteeState, cell: number): Binding | undefined {
    if (state.boundCells.size >= state.guarantee.cells || !this.#committed.isFree(cell)) return undefined
    const missingBefore = this.#missingAccelerators(state.modelIndex)
    const binding = this.#addBinding(state, cell)
    if (this.#missingAccelerators(state.modelIndex) <= missingBefore) return binding
    this.release(binding)
    return undefined
  }

  /**
   * Binds the cell of a recorded placement without the reclaim check, as the job already runs there. The cell may be
   * marked in `committed`, for example while its worker is unavailable, but must not overlap another binding.
   *
   * @returns undefined if the guarantee has no unbound cell, or the cell overlaps a bound one
   */
  restoreBinding (state: GuaranteeState, cell: number): Binding | undefined {
    if (state.boundCells.size >= state.guarantee.cells || this.#overlapsBinding(cell)) return undefined
    return this.#addBinding(state, cell)
  }

  /** Unbinds a cell of a guarantee from its physical cell. */
  release (binding: Binding): void {
    this.#bindings.delete(binding.cell)
    binding.state.boundCells.delete(binding.cell)
    this.#committed.unmark(binding.cell)
    this.#unboundByLevel(binding.state.modelIndex)[binding.state.level]! += 1
  }

  /** Whether a non-preemptible job can use the cells without increasing the number of missing guaranteed cells. */
  canCommit (cells: readonly number[]): boolean {
    const modelIndex = this.#tree.poolOf(cells[0]!).modelIndex
    if (!cells.every(cell => this.#committed.isFree(cell))) return false
    const missingBefore = this.#missingAccelerators(modelIndex)
    for (const cell of cells) this.#committed.mark(cell)
    const missingAfter = this.#missingAccelerators(modelIndex)
    for (const cell of cells) this.#committed.unmark(cell)
    return missingAfter <= missingBefore
  }

  /** Counts the missing cells of each guarantee: unbound cells that do not fit, and unavailable bound cells. */
  checkReclaimable (): ReclaimCheck {
    const missingCells: Array<{ guaranteeId: string, cells: number }> = []
    const missing = new Map<number, number[]>()
    for (const modelIndex of this.#unboundByModel.keys()) missing.set(modelIndex, this.#missingCells(modelIndex))
    for (const state of this.#states) {
      const remaining = missing.get(state.modelIndex)!
      const unbound = state.guarantee.cells - state.boundCells.size
      const unsatisfied = Math.min(unbound, remaining[state.level] ?? 0)
      remaining[state.level]! -= unsatisfied
      const cells = unsatisfied + this.#countUnavailableBoundCells(state)
      if (cells > 0) missingCells.push({ guaranteeId: state.guarantee.guaranteeId, cells })
    }
    return { isReclaimable: missingCells.length === 0, missingCells }
  }

  #add (guarantee: Guarantee): void {
    const state: GuaranteeState = {
      guarantee,
      level: guaranteeLevel(guarantee),
      modelIndex: this.#tree.modelIndex(guarantee.acceleratorModel),
      boundCells: new Set()
    }
    this.#states.push(state)
    const key = `${guarantee.organisationId}/${guarantee.acceleratorModel}`
    this.#byOrganisationAndModel.set(key, [...this.#byOrganisationAndModel.get(key) ?? [], state])
    const unbound = this.#unboundByLevel(state.modelIndex)
    while (unbound.length <= state.level) unbound.push(0)
    unbound[state.level]! += guarantee.cells
  }

  #addBinding (state: GuaranteeState, cell: number): Binding {
    const binding: Binding = { state, cell, users: 0 }
    this.#committed.mark(cell)
    this.#unboundByLevel(state.modelIndex)[state.level]! -= 1
    state.boundCells.add(cell)
    this.#bindings.set(cell, binding)
    return binding
  }

  #overlapsBinding (cell: number): boolean {
    for (const bound of this.#bindings.keys()) {
      const level = this.#tree.level[bound]!
      if (level >= this.#tree.level[cell]! && this.#tree.ancestor(cell, level) === bound) return true
      if (this.#tree.ancestor(bound, this.#tree.level[cell]!) === cell) return true
    }
    return false
  }

  #countUnavailableBoundCells (state: GuaranteeState): number {
    let count = 0
    for (const cell of state.boundCells) {
      if (!this.#unavailable.isFree(cell)) count += 1
    }
    return count
  }

  #unboundByLevel (modelIndex: number): number[] {
    const existing = this.#unboundByModel.get(modelIndex)
    if (existing !== undefined) return existing
    const created: number[] = []
    this.#unboundByModel.set(modelIndex, created)
    return created
  }

  #missingCells (modelIndex: number): number[] {
    return missingByLevel(this.#committed.maximalCellsByLevel(modelIndex), this.#unboundByLevel(modelIndex))
  }

  #missingAccelerators (modelIndex: number): number {
    return this.#missingCells(modelIndex).reduce((total, cells, level) => total + cells * 2 ** level, 0)
  }
}
