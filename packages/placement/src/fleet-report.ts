/** Builds the fleet report for operators. */
import type { FleetReport, GuaranteeReport } from './decisions.js'
import type { Fleet } from './fleet.js'
import type { GuaranteeState } from './guarantees.js'
import type { JobRecord } from './job-record.js'
import type { GangShape } from './shapes.js'

/** Input of the report. The fleet must not have start-time reservations marked, as these count as used cells. */
export interface FleetReportInput {
  readonly fleet: Fleet
  readonly jobs: readonly JobRecord[]
  readonly waitingJobs: number
  readonly quarantinedWorkerIds: readonly string[]
  readonly drainingWorkerIds: readonly string[]
  readonly lostWorkerIds: readonly string[]
}

/** Builds the report in time linear in the number of jobs and workers. */
export function buildFleetReport (input: FleetReportInput): FleetReport {
  const placed = input.jobs.filter(job => job.state === 'placed')
  const lostWorkerIds = new Set(input.lostWorkerIds)
  const lostWorkers = input.fleet.tree.workers.filter(worker => lostWorkerIds.has(worker.workerId))
  return {
    accelerators: input.fleet.accelerators,
    acceleratorsInUse: sum(placed.map(job => job.heldAccelerators)),
    acceleratorsLost: sum(lostWorkers.map(worker => worker.accelerators)),
    fragmentation: measureFragmentation(input),
    waitingJobs: input.jobs.length - placed.length,
    runningJobs: placed.length,
    guarantees: buildGuaranteeReports(input.fleet, placed),
    quarantinedWorkerIds: input.quarantinedWorkerIds,
    drainingWorkerIds: input.drainingWorkerIds
  }
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

/** Fraction of the free accelerators that the largest waiting gang of their model cannot use. */
function measureFragmentation ({ fleet, jobs }: FleetReportInput): number {
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
    const previous = largest.get(spec.acceleratorModel)
    if (previous === undefined || shape.accelerators > previous.accelerators) largest.set(spec.acceleratorModel, shape)
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
  const roundDownToGangs = (cells: number) => cells - cells % shape.tasks
  if (shape.adjacency === 'none') return fleet.used.capacityInRack(rackIndex, level)
  if (shape.adjacency === 'rack') return roundDownToGangs(fleet.used.capacityInRack(rackIndex, level))
  const { workerIndexes } = fleet.tree.racks[rackIndex]!
  return sum(workerIndexes.map(index => roundDownToGangs(freeCellsOnWorker(fleet, index, level))))
}

function freeCellsOnWorker (fleet: Fleet, workerIndex: number, level: number): number {
  const cells = fleet.tree.workers[workerIndex]!.topCells.flatMap(top => fleet.availableCells(top, level))
  return cells.filter(cell => fleet.used.isFree(cell)).length
}

function buildGuaranteeReports (fleet: Fleet, placed: readonly JobRecord[]): GuaranteeReport[] {
  const missing = new Map(fleet.guarantees.check().missingCells.map(entry => [entry.guaranteeId, entry.cells]))
  const lentByModel = lentFromUnboundByModel(fleet, placed)
  return fleet.guarantees.states.map(state => {
    const { guarantee, boundCells } = state
    const lentForUnbound = attributeLent(lentByModel, state)
    return {
      guaranteeId: guarantee.guaranteeId,
      organisationId: guarantee.organisationId,
      acceleratorModel: guarantee.acceleratorModel,
      acceleratorsPerCell: guarantee.acceleratorsPerCell,
      cells: guarantee.cells,
      cellsInUse: boundCells.size,
      lentAccelerators: lentForUnbound + sum([...boundCells].map(cell => lentWithin(fleet, cell))),
      missingCells: missing.get(guarantee.guaranteeId) ?? 0
    }
  })
}

/** Accelerators of unbound guaranteed cells that are occupied by jobs on lent capacity, by model index. */
function lentFromUnboundByModel (fleet: Fleet, placed: readonly JobRecord[]): Map<number, number> {
  const demand = new Map<number, number>()
  for (const state of fleet.guarantees.states) {
    const unbound = (state.guarantee.cells - state.boundCells.size) * 2 ** state.level
    demand.set(state.modelIndex, (demand.get(state.modelIndex) ?? 0) + unbound)
  }
  for (const modelIndex of demand.keys()) {
    const uncommitted = sum(fleet.committed.maximalCellsByLevel(modelIndex).map((cells, level) => cells * 2 ** level))
    const lent = sum(placed.map(job => lentOutsideBindings(fleet, job, modelIndex)))
    const required = demand.get(modelIndex)!
    demand.set(modelIndex, Math.min(lent, Math.max(0, required - (uncommitted - lent))))
  }
  return demand
}

function lentOutsideBindings (fleet: Fleet, job: JobRecord, modelIndex: number): number {
  if (job.plan!.capacityClass !== 'lent') return 0
  const modelCells = job.plan!.cells.filter(cell => fleet.tree.poolOf(cell).modelIndex === modelIndex)
  return sum(modelCells.filter(cell => fleet.committed.isFree(cell)).map(cell => 2 ** fleet.tree.level[cell]!))
}

function attributeLent (lentByModel: Map<number, number>, state: GuaranteeState): number {
  const remaining = lentByModel.get(state.modelIndex) ?? 0
  const unbound = (state.guarantee.cells - state.boundCells.size) * 2 ** state.level
  const taken = Math.min(remaining, unbound)
  lentByModel.set(state.modelIndex, remaining - taken)
  return taken
}

function lentWithin (fleet: Fleet, boundCell: number): number {
  let total = 0
  for (const job of fleet.jobsIn(boundCell)) {
    if (job.plan!.capacityClass !== 'lent') continue
    for (const cell of job.plan!.cells) total += overlappingAccelerators(fleet, boundCell, cell)
  }
  return total
}

function overlappingAccelerators (fleet: Fleet, left: number, right: number): number {
  const { tree } = fleet
  const [small, large] = tree.level[left]! <= tree.level[right]! ? [left, right] : [right, left]
  return tree.ancestor(small, tree.level[large]!) === large ? 2 ** tree.level[small]! : 0
}
