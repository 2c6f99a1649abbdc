/** Search for guaranteed cells, and for lent cells that an urgent job gets by preempting other jobs. */
import type { CellPool } from './cells.js'
import type { CandidateCell, Fleet, VictimFilter } from './fleet.js'
import type { Binding, GuaranteeState } from './guarantees.js'
import type { GangPlan, JobRecord } from './job-record.js'
import type { PlacementSettings } from './settings.js'
import type { GangShape } from './shapes.js'

/** Cost of preempting a job, relative to that of others; has no unit. */
export type PreemptionCost = (job: JobRecord) => number

/** Part of the fleet that all tasks of a gang must be placed in: a pool, one of its racks or one worker. */
interface TopologyDomain {
  readonly pool: CellPool
  /** Level of the cell that a task needs in the pool. */
  readonly level: number
  readonly rackIndex?: number
  readonly workerIndex?: number
}

/** Cells chosen in a domain, and the bindings that were created for them. */
interface Allocation {
  readonly candidates: readonly GuaranteedCandidate[]
  readonly newBindings: readonly Binding[]
}

interface GuaranteedCandidate extends CandidateCell {
  readonly binding: Binding
}

/**
 * Finds cells within one pool with a low total cost of preempting the jobs that occupy them. The searches need not find
 * the lowest cost: they are greedy, need not search all racks, and count a job once for each chosen cell that it
 * occupies. A gang with adjacency `none` is not spread over several pools here, unlike in free cells.
 */
export class PreemptionSearch {
  readonly #fleet: Fleet
  readonly #settings: PlacementSettings
  /** Set by each call of a public method. */
  #costOf: PreemptionCost = () => 1

  constructor (fleet: Fleet, settings: PlacementSettings) {
    this.#fleet = fleet
    this.#settings = settings
  }

  /** Finds a plan within the organisation's guaranteed cells, binding further ones, free or lent, as needed. */
  findGuaranteed (job: JobRecord, costOf: PreemptionCost): GangPlan | undefined {
    this.#costOf = costOf
    const { organisationId, acceleratorModel } = job.spec
    const states = this.#fleet.guarantees.forOrganisation(organisationId, acceleratorModel)
    if (states.length === 0) return undefined
    const domain = this.#cheapestDomain(job.shape, states)
    const allocation = domain === undefined ? undefined : this.#allocate(job.shape, states, domain)
    return allocation === undefined ? undefined : createGuaranteedPlan(allocation)
  }

  /**
   * Finds a plan on lent capacity by preempting other jobs there, in the first pool that has one.
   *
   * @param isVictim whether a job may be preempted
   */
  findLent (shape: GangShape, isVictim: VictimFilter, costOf: PreemptionCost): GangPlan | undefined {
    this.#costOf = costOf
    for (const { pool, level } of shape.poolLevels) {
      const candidates = this.#lentCandidates(shape, pool, level, isVictim)
      if (candidates !== undefined) return createLentPlan(candidates)
    }
    return undefined
  }

  #lentCandidates (
    shape: GangShape, pool: CellPool, level: number, isVictim: VictimFilter
  ): CandidateCell[] | undefined {
    let best: CandidateCell[] | undefined
    let collected: CandidateCell[] = []
    let racks = 0
    for (const rackIndex of this.#fleet.used.racksByEmptiness(pool.index)) {
      if (racks++ >= this.#settings.candidateRacks && best !== undefined) break
      const candidates = this.#candidatesInRack(rackIndex, level, isVictim)
      if (shape.adjacency === 'none') collected = cheapest([...collected, ...candidates], shape.tasks)
      const selection = shape.adjacency === 'none' ? collected : this.#cheapestAdjacent(shape, candidates)
      if (selection.length === shape.tasks && totalCost(selection) < totalCost(best)) best = selection
      if (totalCost(best) === 0) break
    }
    return best
  }

  #candidatesInRack (rackIndex: number, level: number, isVictim: VictimFilter): CandidateCell[] {
    return this.#fleet.tree.racks[rackIndex]!.rootCells.flatMap(root =>
      this.#fleet.candidatesWithin(root, level, isVictim, this.#costOf))
  }

  #cheapestAdjacent (shape: GangShape, candidates: CandidateCell[]): CandidateCell[] {
    if (shape.adjacency === 'rack') return cheapest(candidates, shape.tasks)
    let best: CandidateCell[] = []
    for (const worker of new Set(candidates.map(candidate => this.#fleet.tree.worker[candidate.cell]!))) {
      const own = cheapest(
        candidates.filter(candidate => this.#fleet.tree.worker[candidate.cell] === worker), shape.tasks)
      if (own.length === shape.tasks && (best.length === 0 || totalCost(own) < totalCost(best))) best = own
    }
    return best
  }

  #cheapestDomain (shape: GangShape, states: readonly GuaranteeState[]): TopologyDomain | undefined {
    let best: TopologyDomain | undefined
    let bestCost = Infinity
    for (const domain of this.#domains(shape, states)) {
      const allocation = this.#allocate(shape, states, domain)
      if (allocation === undefined) continue
      this.#releaseBindings(allocation.newBindings)
      // Each new binding adds 1, so several new bindings can cost more than preempting a job of low cost.
      const cost = totalCost(allocation.candidates) + allocation.newBindings.length
      if (cost < bestCost) [best, bestCost] = [domain, cost]
      if (totalCost(allocation.candidates) === 0) break
    }
    return best
  }

  * #domains (shape: GangShape, states: readonly GuaranteeState[]): Generator<TopologyDomain> {
    for (const { pool, level } of shape.poolLevels) {
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

  * #workersOf (pool: CellPool, level: number, rackIndex: number): Generator<TopologyDomain> {
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

  /** Racks with free cells that could be bound, then racks with any such cells; up to `candidateRacks` each. */
  * #racksForBinding (pool: CellPool, state: GuaranteeState): Generator<number> {
    for (const marks of [this.#fleet.used, this.#fleet.committed]) {
      let remaining = this.#settings.candidateRacks
      for (const rackIndex of marks.racksByFullness(pool.index, 2 ** state.level)) {
        if (remaining === 0) break
        if (this.#fleet.committed.capacityInRack(rackIndex, state.level) === 0) continue
        if (marks.capacityInRack(rackIndex, state.level) === 0) continue
        remaining -= 1
        yield rackIndex
      }
    }
    yield * this.#rackOfSmallestUncommittedCell(pool, state)
  }

  /** Binding the smallest uncommitted cell always passes the reclaim check, so its rack must be searched too. */
  * #rackOfSmallestUncommittedCell (pool: CellPool, state: GuaranteeState): Generator<number> {
    const { committed, tree } = this.#fleet
    let level = state.level
    while (level < tree.levels && committed.maximalCellsInPool(pool.index, level) === 0) level += 1
    if (level === tree.levels) return
    for (const rackIndex of committed.racksByFullness(pool.index, 2 ** level)) {
      if (committed.maximalCellsInRack(rackIndex, level) === 0) continue
      yield rackIndex
      return
    }
  }

  #allocate (shape: GangShape, states: readonly GuaranteeState[], domain: TopologyDomain): Allocation | undefined {
    const newBindings: Binding[] = []
    let candidates = states.flatMap(state =>
      [...state.boundCells].flatMap(cell => this.#candidatesInBoundCell(cell, domain)))
    let chosen = cheapest(candidates, shape.tasks)
    while (chosen.length < shape.tasks) {
      const binding = this.#bindAnotherCell(states, domain, shape.tasks - chosen.length)
      if (binding === undefined) {
        this.#releaseBindings(newBindings)
        return undefined
      }
      newBindings.push(binding)
      candidates = [...candidates, ...this.#candidatesInBoundCell(binding.cell, domain)]
      chosen = cheapest(candidates, shape.tasks)
    }
    return { candidates: chosen, newBindings }
  }

  #candidatesInBoundCell (cell: number, domain: TopologyDomain): GuaranteedCandidate[] {
    const { tree } = this.#fleet
    const rack = tree.racks[tree.rack[cell]!]!
    if (rack.poolIndex !== domain.pool.index) return []
    if (domain.rackIndex !== undefined && rack.index !== domain.rackIndex) return []
    const binding = this.#fleet.guarantees.bindingOf(cell)!
    const candidates = this.#fleet.candidatesWithin(cell, domain.level, () => true, this.#costOf)
    return candidates
      .filter(candidate => domain.workerIndex === undefined || tree.worker[candidate.cell] === domain.workerIndex)
      .map(candidate => ({ ...candidate, binding }))
  }

  /**
   * Binds one more cell, preferably of the guarantee with the smallest cells that can hold all remaining tasks,
   * otherwise of the one with the largest cells.
   */
  #bindAnotherCell (states: readonly GuaranteeState[], domain: TopologyDomain, tasks: number): Binding | undefined {
    const usable = states.filter(state =>
      state.level >= domain.level && state.boundCells.size < state.guarantee.cells)
    const sufficient = usable.filter(state => 2 ** (state.level - domain.level) >= tasks)
    const others = usable.filter(state => !sufficient.includes(state)).reverse()
    for (const state of [...sufficient, ...others]) {
      const binding = this.#bindInDomain(state, domain)
      if (binding !== undefined) return binding
    }
    return undefined
  }

  /** Binds a free cell if the reclaim check allows it, otherwise the least occupied cell that it allows. */
  #bindInDomain (state: GuaranteeState, domain: TopologyDomain): Binding | undefined {
    const racks = domain.rackIndex === undefined ? this.#racksForBinding(domain.pool, state) : [domain.rackIndex]
    const occupied: Array<{ cell: number, occupancy: number }> = []
    for (const rackIndex of new Set(racks)) {
      const candidates = this.#bindableCells(state, domain, rackIndex)
      const binding = this.#bindFirstFeasible(state, candidates.filter(({ occupancy }) => occupancy === 0))
      if (binding !== undefined) return binding
      occupied.push(...candidates.filter(({ occupancy }) => occupancy > 0))
    }
    return this.#bindFirstFeasible(state, occupied.sort((left, right) => left.occupancy - right.occupancy))
  }

  #bindFirstFeasible (state: GuaranteeState, candidates: ReadonlyArray<{ cell: number }>): Binding | undefined {
    for (const { cell } of candidates) {
      const binding = this.#fleet.guarantees.bind(state, cell)
      if (binding !== undefined) return binding
    }
    return undefined
  }

  /** Cells of a rack that a guarantee could be bound to; `occupancy` is 0 if the cell is free, else 1 + marks below. */
  #bindableCells (
    state: GuaranteeState, domain: TopologyDomain, rackIndex: number
  ): Array<{ cell: number, occupancy: number }> {
    const { committed, used } = this.#fleet
    const found: Array<{ cell: number, occupancy: number }> = []
    for (const maximalCell of committed.listMaximalCells(rackIndex, state.level)) {
      for (const cell of this.#fleet.availableCells(maximalCell, state.level)) {
        if (domain.workerIndex !== undefined && !this.#overlapsWorker(cell, domain.workerIndex)) continue
        const occupancy = used.isFree(cell) ? 0 : 1 + used.marksBelow(cell)
        found.push({ cell, occupancy })
      }
    }
    return found
  }

  #overlapsWorker (cell: number, workerIndex: number): boolean {
    const { tree } = this.#fleet
    if (tree.worker[cell] === workerIndex) return true
    return tree.workers[workerIndex]!.topCells.some(top => tree.ancestor(top, tree.level[cell]!) === cell)
  }

  #releaseBindings (bindings: readonly Binding[]): void {
    for (const binding of bindings) this.#fleet.guarantees.release(binding)
  }
}

function cheapest<T extends CandidateCell> (candidates: readonly T[], count: number): T[] {
  return [...candidates].sort((left, right) => left.cost - right.cost).slice(0, count)
}

function totalCost (candidates: readonly CandidateCell[] | undefined): number {
  return candidates === undefined ? Infinity : candidates.reduce((sum, candidate) => sum + candidate.cost, 0)
}

function victimsOf (candidates: readonly CandidateCell[]): Set<JobRecord> {
  return new Set(candidates.flatMap(candidate => [...candidate.victims]))
}

function createGuaranteedPlan ({ candidates }: Allocation): GangPlan {
  const guaranteeIds = [...new Set(candidates.map(candidate => candidate.binding.state.guarantee.guaranteeId))].join(', ')
  return {
    capacityClass: 'guaranteed',
    cells: candidates.map(candidate => candidate.cell),
    bindings: candidates.map(candidate => candidate.binding),
    victims: victimsOf(candidates),
    reason: `cells of guarantee ${guaranteeIds}`
  }
}

function createLentPlan (candidates: readonly CandidateCell[]): GangPlan {
  return {
    capacityClass: 'lent',
    cells: candidates.map(candidate => candidate.cell),
    bindings: [],
    victims: victimsOf(candidates),
    reason: 'lent cells taken from jobs of lower priority for an urgent job'
  }
}
