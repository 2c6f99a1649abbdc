/** Guaranteed cells: which are bound to physical cells, by whom they are used, and whether the rest can be held. */
import type { Configuration, Guarantee } from '@comfreygrade/core'
import type { CellTree } from './cells.js'
import type { ReclaimCheck } from './decisions.js'
import type { CellMarks, FreeCells } from './occupancy.js'
import { guaranteeLevel, missingByLevel } from './reclaim-check.js'

/** A guarantee and the physical cells that it is bound to at present. */
export interface GuaranteeState {
  readonly guarantee: Guarantee
  readonly level: number
  readonly modelIndex: number
  readonly boundCells: Set<number>
}

/** A guaranteed cell that is bound to a physical cell, with the number of tasks that use it. */
export interface Binding {
  readonly state: GuaranteeState
  readonly cell: number
  users: number
}

/** Keeps the bindings of all guarantees. A bound cell is marked in `held`; the reclaim check counts what is not. */
export class GuaranteeLedger {
  readonly #tree: CellTree
  readonly #held: FreeCells
  readonly #unavailable: CellMarks
  readonly #states: GuaranteeState[] = []
  readonly #byHolder = new Map<string, GuaranteeState[]>()
  readonly #bindings = new Map<number, Binding>()
  readonly #demand = new Map<number, number[]>()

  /**
   * @param held marks of cells that are bound, lost or used by jobs that cannot be reclaimed
   * @param unavailable marks of cells that are lost, draining or quarantined
   */
  constructor (tree: CellTree, held: FreeCells, unavailable: CellMarks, configuration: Configuration) {
    this.#tree = tree
    this.#held = held
    this.#unavailable = unavailable
    for (const guarantee of configuration.guarantees.values()) this.#add(guarantee)
    for (const states of this.#byHolder.values()) states.sort((left, right) => left.level - right.level)
  }

  /** Guarantees of an organisation for a model, the smallest cells first. */
  of (organisationId: string, acceleratorModel: string): readonly GuaranteeState[] {
    return this.#byHolder.get(`${organisationId}/${acceleratorModel}`) ?? []
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
   * Binds one cell of a guarantee to a physical cell if everything else that is guaranteed still fits.
   *
   * @returns undefined where the guarantee is used up, the cell is held, or another guarantee would not fit any more
   */
  bind (state: GuaranteeState, cell: number): Binding | undefined {
    if (state.boundCells.size >= state.guarantee.cells || !this.#held.isFree(cell)) return undefined
    const missingBefore = this.#missingTotal(state.modelIndex)
    const binding = this.#attach(state, cell)
    if (this.#missingTotal(state.modelIndex) <= missingBefore) return binding
    this.release(binding)
    return undefined
  }

  /** Binds a cell as recorded before a change of leader, without the check: the job runs there already. */
  rebind (state: GuaranteeState, cell: number): Binding | undefined {
    if (state.boundCells.size >= state.guarantee.cells || this.#overlapsBinding(cell)) return undefined
    return this.#attach(state, cell)
  }

  /** Returns a cell to its guarantee. */
  release (binding: Binding): void {
    this.#bindings.delete(binding.cell)
    binding.state.boundCells.delete(binding.cell)
    this.#held.unmark(binding.cell)
    this.#demandOf(binding.state.modelIndex)[binding.state.level]! += 1
  }

  /** Whether cells can be held by jobs that are never reclaimed, without making a guarantee miss more cells. */
  canHold (cells: readonly number[]): boolean {
    const modelIndex = this.#tree.poolOf(cells[0]!).modelIndex
    if (!cells.every(cell => this.#held.isFree(cell))) return false
    const missingBefore = this.#missingTotal(modelIndex)
    for (const cell of cells) this.#held.mark(cell)
    const missingAfter = this.#missingTotal(modelIndex)
    for (const cell of cells) this.#held.unmark(cell)
    return missingAfter <= missingBefore
  }

  /** Cells of each guarantee that the working hardware cannot hold, bound ones with failed parts included. */
  check (): ReclaimCheck {
    const missingCells: Array<{ guaranteeId: string, cells: number }> = []
    const missing = new Map<number, number[]>()
    for (const modelIndex of this.#demand.keys()) missing.set(modelIndex, this.#missing(modelIndex))
    for (const state of this.#states) {
      const left = missing.get(state.modelIndex)!
      const unbound = state.guarantee.cells - state.boundCells.size
      const unheld = Math.min(unbound, left[state.level] ?? 0)
      left[state.level]! -= unheld
      const cells = unheld + this.#damaged(state)
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
    const holder = `${guarantee.organisationId}/${guarantee.acceleratorModel}`
    this.#byHolder.set(holder, [...this.#byHolder.get(holder) ?? [], state])
    const demand = this.#demandOf(state.modelIndex)
    while (demand.length <= state.level) demand.push(0)
    demand[state.level]! += guarantee.cells
  }

  #attach (state: GuaranteeState, cell: number): Binding {
    const binding: Binding = { state, cell, users: 0 }
    this.#held.mark(cell)
    this.#demandOf(state.modelIndex)[state.level]! -= 1
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

  #damaged (state: GuaranteeState): number {
    let count = 0
    for (const cell of state.boundCells) {
      if (!this.#unavailable.isFree(cell)) count += 1
    }
    return count
  }

  #demandOf (modelIndex: number): number[] {
    const known = this.#demand.get(modelIndex)
    if (known !== undefined) return known
    const created: number[] = []
    this.#demand.set(modelIndex, created)
    return created
  }

  #missing (modelIndex: number): number[] {
    return missingByLevel(this.#held.listedByLevel(modelIndex), this.#demandOf(modelIndex))
  }

  #missingTotal (modelIndex: number): number {
    return this.#missing(modelIndex).reduce((total, cells, level) => total + cells * 2 ** level, 0)
  }
}
