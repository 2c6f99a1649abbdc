/** Search for cells of guarantees, and for lent cells that urgent jobs may take from others. */
import type { CellPool } from './cells.js'
import type { CellSlot, Fleet, VictimRule } from './fleet.js'
import type { Binding, GuaranteeState } from './guarantees.js'
import type { GangPlan, JobRecord } from './jobs.js'
import type { PlacementSettings } from './settings.js'
import type { GangShape } from './shapes.js'

/** Cost of asking a job to leave. */
export type VictimCost = (job: JobRecord) => number

/** Part of the fleet that a gang must lie in. */
interface Domain {
  readonly pool: CellPool
  readonly level: number
  readonly rackIndex?: number
  readonly workerIndex?: number
}

/** Cells chosen in a domain, with the guaranteed cells that were newly bound for them. */
interface Attempt {
  readonly slots: readonly GuaranteedSlot[]
  readonly newBindings: readonly Binding[]
}

interface GuaranteedSlot extends CellSlot {
  readonly binding: Binding
}

/** Finds cells whose present users have to leave, at the least cost. */
export class ClaimSearch {
  readonly #fleet: Fleet
  readonly #settings: PlacementSettings
  #costOf: VictimCost = () => 1

  constructor (fleet: Fleet, settings: PlacementSettings) {
    this.#fleet = fleet
    this.#settings = settings
  }

  /** A plan within the organisation's guaranteed cells; binds new ones where the plan needs them. */
  findGuaranteed (job: JobRecord, costOf: VictimCost): GangPlan | undefined {
    this.#costOf = costOf
    const { organisationId, acceleratorModel } = job.spec
    const states = this.#fleet.ledger.of(organisationId, acceleratorModel)
    if (states.length === 0) return undefined
    const domain = this.#cheapestDomain(job.shape, states)
    const attempt = domain === undefined ? undefined : this.#attempt(job.shape, states, domain)
    return attempt === undefined ? undefined : guaranteedPlan(attempt)
  }

  /**
   * A plan on lent capacity that other lent jobs leave.
   *
   * @param mayLeave which of them may be asked to
   */
  findLent (shape: GangShape, mayLeave: VictimRule, costOf: VictimCost): GangPlan | undefined {
    this.#costOf = costOf
    for (const { pool, level } of shape.options) {
      const slots = this.#lentSlots(shape, pool, level, mayLeave)
      if (slots !== undefined) return lentPlan(slots)
    }
    return undefined
  }

  #lentSlots (shape: GangShape, pool: CellPool, level: number, mayLeave: VictimRule): CellSlot[] | undefined {
    let best: CellSlot[] | undefined
    let collected: CellSlot[] = []
    let racks = 0
    for (const rackIndex of this.#fleet.used.racksByEmptiness(pool.index)) {
      if (racks++ >= this.#settings.candidateRacks && best !== undefined) break
      const slots = this.#slotsInRack(rackIndex, level, mayLeave)
      if (shape.adjacency === 'none') collected = cheapest([...collected, ...slots], shape.tasks)
      const candidate = shape.adjacency === 'none' ? collected : this.#adjacentSlots(shape, slots)
      if (candidate.length === shape.tasks && totalCost(candidate) < totalCost(best)) best = candidate
      if (totalCost(best) === 0) break
    }
    return best
  }

  #slotsInRack (rackIndex: number, level: number, mayLeave: VictimRule): CellSlot[] {
    return this.#fleet.tree.racks[rackIndex]!.rootCells.flatMap(root =>
      this.#fleet.slotsWithin(root, level, mayLeave, this.#costOf))
  }

  #adjacentSlots (shape: GangShape, slots: CellSlot[]): CellSlot[] {
    if (shape.adjacency === 'rack') return cheapest(slots, shape.tasks)
    let best: CellSlot[] = []
    for (const worker of new Set(slots.map(slot => this.#fleet.tree.worker[slot.cell]!))) {
      const own = cheapest(slots.filter(slot => this.#fleet.tree.worker[slot.cell] === worker), shape.tasks)
      if (own.length === shape.tasks && (best.length === 0 || totalCost(own) < totalCost(best))) best = own
    }
    return best
  }

  #cheapestDomain (shape: GangShape, states: readonly GuaranteeState[]): Domain | undefined {
    let best: Domain | undefined
    let bestCost = Infinity
    for (const domain of this.#domains(shape, states)) {
      const attempt = this.#attempt(shape, states, domain)
      if (attempt === undefined) continue
      this.#rollBack(attempt.newBindings)
      const cost = totalCost(attempt.slots) + attempt.newBindings.length
      if (cost < bestCost) [best, bestCost] = [domain, cost]
      if (totalCost(attempt.slots) === 0) break
    }
    return best
  }

  * #domains (shape: GangShape, states: readonly GuaranteeState[]): Generator<Domain> {
    for (const { pool, level } of shape.options) {
      if (shape.adjacency === 'none' || (shape.tasks === 1 && shape.adjacency === 'rack')) {
        yield { pool, level }
        continue
      }
      for (const rackIndex of this.#racksOf(pool, states)) {
        if (shape.adjacency === 'rack') yield { pool, level, rackIndex }
        else yield * this.#workersOf(pool, level, rackIndex)
      }
    }
  }

  * #workersOf (pool: CellPool, level: number, rackIndex: number): Generator<Domain> {
    for (const workerIndex of this.#fleet.tree.racks[rackIndex]!.workerIndexes) {
      yield { pool, level, rackIndex, workerIndex }
    }
  }

  /** Racks with bound cells, then racks with free cells, then racks whose lent cells would have to be reclaimed. */
  #racksOf (pool: CellPool, states: readonly GuaranteeState[]): Set<number> {
    const racks = new Set<number>()
    for (const state of states) {
      for (const cell of state.boundCells) {
        const rackIndex = this.#fleet.tree.rack[cell]!
        if (this.#fleet.tree.racks[rackIndex]!.poolIndex === pool.index) racks.add(rackIndex)
      }
    }
    for (const state of states) {
      if (state.boundCells.size === state.guarantee.cells) continue
      for (const rackIndex of this.#racksForBinding(pool, state)) racks.add(rackIndex)
    }
    return racks
  }

  * #racksForBinding (pool: CellPool, state: GuaranteeState): Generator<number> {
    for (const marks of [this.#fleet.used, this.#fleet.held]) {
      let left = this.#settings.candidateRacks
      for (const rackIndex of marks.racksByFullness(pool.index, 2 ** state.level)) {
        if (left === 0) break
        if (this.#fleet.held.capacityInRack(rackIndex, state.level) === 0) continue
        if (marks.capacityInRack(rackIndex, state.level) === 0) continue
        left -= 1
        yield rackIndex
      }
    }
    yield * this.#rackOfSmallestCell(pool, state)
  }

  /** The smallest cell that is not held always passes the reclaim check, so its rack must be among the candidates. */
  * #rackOfSmallestCell (pool: CellPool, state: GuaranteeState): Generator<number> {
    const { held, tree } = this.#fleet
    let level = state.level
    while (level < tree.levels && held.listedInPool(pool.index, level) === 0) level += 1
    if (level === tree.levels) return
    for (const rackIndex of held.racksByFullness(pool.index, 2 ** level)) {
      if (held.listedInRack(rackIndex, level) === 0) continue
      yield rackIndex
      return
    }
  }

  #attempt (shape: GangShape, states: readonly GuaranteeState[], domain: Domain): Attempt | undefined {
    const newBindings: Binding[] = []
    let pool = states.flatMap(state => [...state.boundCells].flatMap(cell => this.#slotsOfBound(cell, domain)))
    let chosen = cheapest(pool, shape.tasks)
    while (chosen.length < shape.tasks) {
      const binding = this.#bindNext(states, domain, shape.tasks - chosen.length)
      if (binding === undefined) {
        this.#rollBack(newBindings)
        return undefined
      }
      newBindings.push(binding)
      pool = [...pool, ...this.#slotsOfBound(binding.cell, domain)]
      chosen = cheapest(pool, shape.tasks)
    }
    return { slots: chosen, newBindings }
  }

  #slotsOfBound (cell: number, domain: Domain): GuaranteedSlot[] {
    const { tree } = this.#fleet
    const rack = tree.racks[tree.rack[cell]!]!
    if (rack.poolIndex !== domain.pool.index) return []
    if (domain.rackIndex !== undefined && rack.index !== domain.rackIndex) return []
    const binding = this.#fleet.ledger.bindingOf(cell)!
    const slots = this.#fleet.slotsWithin(cell, domain.level, () => true, this.#costOf)
    return slots
      .filter(slot => domain.workerIndex === undefined || tree.worker[slot.cell] === domain.workerIndex)
      .map(slot => ({ ...slot, binding }))
  }

  /** Binds one more cell: of the smallest guarantee whose cell holds all missing tasks, else of the largest. */
  #bindNext (states: readonly GuaranteeState[], domain: Domain, tasks: number): Binding | undefined {
    const usable = states.filter(state => state.level >= domain.level && state.boundCells.size < state.guarantee.cells)
    const holdsAll = usable.filter(state => 2 ** (state.level - domain.level) >= tasks)
    const others = usable.filter(state => !holdsAll.includes(state)).reverse()
    for (const state of [...holdsAll, ...others]) {
      const binding = this.#bindIn(state, domain)
      if (binding !== undefined) return binding
    }
    return undefined
  }

  /** Binds a free cell where the reclaim check allows one, else the cheapest cell that it allows. */
  #bindIn (state: GuaranteeState, domain: Domain): Binding | undefined {
    const racks = domain.rackIndex === undefined ? this.#racksForBinding(domain.pool, state) : [domain.rackIndex]
    const occupied: Array<{ cell: number, cost: number }> = []
    for (const rackIndex of new Set(racks)) {
      const candidates = this.#bindable(state, domain, rackIndex)
      const binding = this.#bindFirst(state, candidates.filter(({ cost }) => cost === 0))
      if (binding !== undefined) return binding
      occupied.push(...candidates.filter(({ cost }) => cost > 0))
    }
    return this.#bindFirst(state, occupied.sort((left, right) => left.cost - right.cost))
  }

  #bindFirst (state: GuaranteeState, candidates: ReadonlyArray<{ cell: number }>): Binding | undefined {
    for (const { cell } of candidates) {
      const binding = this.#fleet.ledger.bind(state, cell)
      if (binding !== undefined) return binding
    }
    return undefined
  }

  /** Cells of one rack that a guarantee could be bound to, with the jobs that would have to leave. */
  #bindable (state: GuaranteeState, domain: Domain, rackIndex: number): Array<{ cell: number, cost: number }> {
    const { held, used } = this.#fleet
    const found: Array<{ cell: number, cost: number }> = []
    for (const listed of held.listedCells(rackIndex, state.level)) {
      for (const cell of this.#fleet.workingCells(listed, state.level)) {
        if (domain.workerIndex !== undefined && !this.#touches(cell, domain.workerIndex)) continue
        const cost = used.isFree(cell) ? 0 : 1 + used.marksBelow(cell)
        found.push({ cell, cost })
      }
    }
    return found
  }

  #touches (cell: number, workerIndex: number): boolean {
    const { tree } = this.#fleet
    if (tree.worker[cell] === workerIndex) return true
    return tree.workers[workerIndex]!.topCells.some(top => tree.ancestor(top, tree.level[cell]!) === cell)
  }

  #rollBack (bindings: readonly Binding[]): void {
    for (const binding of bindings) this.#fleet.ledger.release(binding)
  }
}

function cheapest<T extends CellSlot> (slots: readonly T[], count: number): T[] {
  return [...slots].sort((left, right) => left.cost - right.cost).slice(0, count)
}

function totalCost (slots: readonly CellSlot[] | undefined): number {
  return slots === undefined ? Infinity : slots.reduce((sum, slot) => sum + slot.cost, 0)
}

function victimsOf (slots: readonly CellSlot[]): Set<JobRecord> {
  return new Set(slots.flatMap(slot => [...slot.victims]))
}

function guaranteedPlan ({ slots }: Attempt): GangPlan {
  const guaranteeIds = [...new Set(slots.map(slot => slot.binding.state.guarantee.guaranteeId))].join(', ')
  return {
    capacityClass: 'guaranteed',
    cells: slots.map(slot => slot.cell),
    bindings: slots.map(slot => slot.binding),
    victims: victimsOf(slots),
    reason: `within the organisation's guarantee ${guaranteeIds}`
  }
}

function lentPlan (slots: readonly CellSlot[]): GangPlan {
  return {
    capacityClass: 'lent',
    cells: slots.map(slot => slot.cell),
    bindings: [],
    victims: victimsOf(slots),
    reason: 'lent cells that lower priorities leave to an urgent job'
  }
}
