/** The report for operators. */
import type { FleetReport, GuaranteeReport } from './decisions.js'
import type { Fleet } from './fleet.js'
import type { GuaranteeState } from './guarantees.js'
import type { JobRecord } from './jobs.js'
import type { GangShape } from './shapes.js'

/** What the report is built from; the fleet without reservations. */
export interface ReportedState {
  readonly fleet: Fleet
  readonly jobs: readonly JobRecord[]
  readonly waitingJobs: number
  readonly quarantinedWorkerIds: readonly string[]
  readonly drainingWorkerIds: readonly string[]
  readonly lostWorkerIds: readonly string[]
}

/** Builds the report; costs one step for each job and worker. */
export function buildFleetReport (state: ReportedState): FleetReport {
  const placed = state.jobs.filter(job => job.state === 'placed')
  const lost = new Set(state.lostWorkerIds)
  const lostWorkers = state.fleet.tree.workers.filter(worker => lost.has(worker.workerId))
  return {
    accelerators: state.fleet.accelerators,
    acceleratorsInUse: sum(placed.map(job => job.heldAccelerators)),
    acceleratorsLost: sum(lostWorkers.map(worker => worker.accelerators)),
    fragmentation: fragmentation(state),
    waitingJobs: state.jobs.length - placed.length,
    runningJobs: placed.length,
    guarantees: guaranteeReports(state.fleet, placed),
    quarantinedWorkerIds: state.quarantinedWorkerIds,
    drainingWorkerIds: state.drainingWorkerIds
  }
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

/** Share of the free accelerators of a model that the model's largest waiting shape cannot use. */
function fragmentation ({ fleet, jobs }: ReportedState): number {
  let free = 0
  let usable = 0
  for (const shape of largestWaitingShapes(jobs)) {
    const pools = new Set(fleet.tree.pools.filter(pool => pool.modelIndex === shape.options[0]!.pool.modelIndex))
    free += sum([...pools].map(pool => fleet.used.freeInPool(pool.index)))
    usable += usableAccelerators(fleet, shape)
  }
  return free === 0 ? 0 : 1 - usable / free
}

function largestWaitingShapes (jobs: readonly JobRecord[]): GangShape[] {
  const largest = new Map<string, GangShape>()
  for (const { state, spec, shape } of jobs) {
    if (state === 'placed' || shape.options.length === 0) continue
    const known = largest.get(spec.acceleratorModel)
    if (known === undefined || shape.accelerators > known.accelerators) largest.set(spec.acceleratorModel, shape)
  }
  return [...largest.values()]
}

function usableAccelerators (fleet: Fleet, shape: GangShape): number {
  let total = 0
  for (const { pool, level } of shape.options) {
    const cells = sum(pool.rackIndexes.map(rackIndex => usableCells(fleet, shape, rackIndex, level)))
    total += cells * 2 ** level
  }
  return shape.adjacency === 'none' && total < shape.accelerators ? 0 : total
}

function usableCells (fleet: Fleet, shape: GangShape, rackIndex: number, level: number): number {
  const wholeGangs = (cells: number) => cells - cells % shape.tasks
  if (shape.adjacency === 'none') return fleet.used.capacityInRack(rackIndex, level)
  if (shape.adjacency === 'rack') return wholeGangs(fleet.used.capacityInRack(rackIndex, level))
  const { workerIndexes } = fleet.tree.racks[rackIndex]!
  return sum(workerIndexes.map(index => wholeGangs(freeCellsOnWorker(fleet, index, level))))
}

function freeCellsOnWorker (fleet: Fleet, workerIndex: number, level: number): number {
  const cells = fleet.tree.workers[workerIndex]!.topCells.flatMap(top => fleet.workingCells(top, level))
  return cells.filter(cell => fleet.used.isFree(cell)).length
}

function guaranteeReports (fleet: Fleet, placed: readonly JobRecord[]): GuaranteeReport[] {
  const missing = new Map(fleet.ledger.check().missingCells.map(entry => [entry.guaranteeId, entry.cells]))
  const shortage = shortageByModel(fleet, placed)
  return fleet.ledger.states.map(state => {
    const { guarantee, boundCells } = state
    const lentOfUnbound = takeShortage(shortage, state)
    return {
      guaranteeId: guarantee.guaranteeId,
      organisationId: guarantee.organisationId,
      acceleratorModel: guarantee.acceleratorModel,
      acceleratorsPerCell: guarantee.acceleratorsPerCell,
      cells: guarantee.cells,
      cellsInUse: boundCells.size,
      lentAccelerators: lentOfUnbound + sum([...boundCells].map(cell => lentWithin(fleet, cell))),
      missingCells: missing.get(guarantee.guaranteeId) ?? 0
    }
  })
}

/** Accelerators of unbound guarantees that are not free, by model: lent jobs occupy them. */
function shortageByModel (fleet: Fleet, placed: readonly JobRecord[]): Map<number, number> {
  const demand = new Map<number, number>()
  for (const state of fleet.ledger.states) {
    const unbound = (state.guarantee.cells - state.boundCells.size) * 2 ** state.level
    demand.set(state.modelIndex, (demand.get(state.modelIndex) ?? 0) + unbound)
  }
  for (const modelIndex of demand.keys()) {
    const unheld = sum(fleet.held.listedByLevel(modelIndex).map((cells, level) => cells * 2 ** level))
    const lent = sum(placed.map(job => lentOutsideBindings(fleet, job, modelIndex)))
    const wanted = demand.get(modelIndex)!
    demand.set(modelIndex, Math.min(lent, Math.max(0, wanted - (unheld - lent))))
  }
  return demand
}

function lentOutsideBindings (fleet: Fleet, job: JobRecord, modelIndex: number): number {
  if (job.plan!.capacityClass !== 'lent') return 0
  const own = job.plan!.cells.filter(cell => fleet.tree.poolOf(cell).modelIndex === modelIndex)
  return sum(own.filter(cell => fleet.held.isFree(cell)).map(cell => 2 ** fleet.tree.level[cell]!))
}

function takeShortage (shortage: Map<number, number>, state: GuaranteeState): number {
  const left = shortage.get(state.modelIndex) ?? 0
  const unbound = (state.guarantee.cells - state.boundCells.size) * 2 ** state.level
  const taken = Math.min(left, unbound)
  shortage.set(state.modelIndex, left - taken)
  return taken
}

function lentWithin (fleet: Fleet, boundCell: number): number {
  let total = 0
  for (const job of fleet.jobsIn(boundCell)) {
    if (job.plan!.capacityClass !== 'lent') continue
    for (const cell of job.plan!.cells) total += overlap(fleet, boundCell, cell)
  }
  return total
}

function overlap (fleet: Fleet, left: number, right: number): number {
  const { tree } = fleet
  const [small, large] = tree.level[left]! <= tree.level[right]! ? [left, right] : [right, left]
  return tree.ancestor(small, tree.level[large]!) === large ? 2 ** tree.level[small]! : 0
}
