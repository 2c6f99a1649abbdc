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
  /** Number of jobs in state `waiting`. Unused: the report also counts jobs in state `claiming`. */
  readonly waitingJobs: number
  readonly quarantinedWorkerIds: readonly string[]
  readonly drainingWorkerIds: readonly string[]
  /** Workers that have not joined, were lost or are quarantined. */
  readonly missingOrQuarantinedWorkerIds: readonly string[]
}

/** Builds the report. Takes time linear in the number of workers and of jobs, for each accelerator model. */
export function buildFleetReport (input: FleetReportInput): FleetReport {
  const placed = input.jobs.filter(job => job.state === 'placed')
  const workerIds = new Set(input.missingOrQuarantinedWorkerIds)
  const missingOrQuarantined = input.fleet.tree.workers.filter(worker => workerIds.has(worker.workerId))
  return {
    accelerators: input.fleet.accelerators,
    acceleratorsInUse: sum(placed.map(job => job.heldAccelerators)),
    acceleratorsLost: sum(missingOrQuarantined.map(worker => worker.accelerators)),
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
    const pools = new Set(fleet.tree.pools.filter(pool => pool.modelIndex === shape.poolLevels[0]!.pool.modelIndex))
    free += sum([...pools].map(pool => fleet.used.freeInPool(pool.index)))
    usable += usableAccelerators(fleet, shape)
  }
  return free === 0 ? 0 : 1 - usable / free
}

function largestWaitingShapes (jobs: readonly JobRecord[]): GangShape[] {
  const largest = new Map<string, GangShape>()
  for (const { state, spec, shape } of jobs) {
    if (state === 'placed' || shape.poolLevels.length === 0) continue
    const other = largest.get(spec.acceleratorModel)
    if (other === undefined || shape.minAccelerators > other.minAccelerators) largest.set(spec.acceleratorModel, shape)
  }
  return [...largest.values()]
}

function usableAccelerators (fleet: Fleet, shape: GangShape): number {
  let total = 0
  for (const { pool, level } of shape.poolLevels) {
    const cells = sum(pool.rackIndexes.map(rackIndex => usableCells(fleet, shape, rackIndex, level)))
    total += cells * 2 ** level
  }
  // A gang without adjacency can use all free cells of its pools, or none if these are too few.
  return shape.adjacency === 'none' && total < shape.minAccelerators ? 0 : total
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
  const missing = new Map(fleet.guarantees.checkReclaimable().missingCells.map(item => [item.guaranteeId, item.cells]))
  const lentByModel = lentOfUnboundByModel(fleet, placed)
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

/**
 * Accelerators of unbound guaranteed cells that are occupied by jobs on lent capacity, by model index. An unbound cell
 * has no place yet: what the free uncommitted accelerators cannot cover must be occupied by lent jobs.
 */
function lentOfUnboundByModel (fleet: Fleet, placed: readonly JobRecord[]): Map<number, number> {
  // First all accelerators of unbound guaranteed cells, then replaced by those that are lent.
  const byModel = new Map<number, number>()
  for (const state of fleet.guarantees.states) {
    const unbound = (state.guarantee.cells - state.boundCells.size) * 2 ** state.level
    byModel.set(state.modelIndex, (byModel.get(state.modelIndex) ?? 0) + unbound)
  }
  for (const modelIndex of byModel.keys()) {
    const uncommitted = sum(fleet.committed.maximalCellsByLevel(modelIndex).map((cells, level) => cells * 2 ** level))
    const lent = sum(placed.map(job => lentOutsideBindings(fleet, job, modelIndex)))
    const required = byModel.get(modelIndex)!
    byModel.set(modelIndex, Math.min(lent, Math.max(0, required - (uncommitted - lent))))
  }
  return byModel
}

function lentOutsideBindings (fleet: Fleet, job: JobRecord, modelIndex: number): number {
  if (job.plan!.capacityClass !== 'lent') return 0
  const modelCells = job.plan!.cells.filter(cell => fleet.tree.poolOf(cell).modelIndex === modelIndex)
  return sum(modelCells.filter(cell => fleet.committed.isFree(cell)).map(cell => 2 ** fleet.tree.level[cell]!))
}

/** Takes the share of a guarantee out of `lentByModel`; guarantees are served in the order of the configuration. */
function attributeLent (lentByModel: Map<number, number>, state: GuaranteeState): number {
  const remaining = lentByModel.get(state.modelIndex) ?? 0
  const unbound = (state.guarantee.cells - state.boundCells.size) * 2 ** state.level
  const taken = Math.min(remaining, unbound)
  lentByModel.set(state.modelIndex, remaining - taken)
  return taken
}

function lentWithin (fleet: Fleet, boundCell: number): number {
  let total = 0
  for (const job of fleet.jobsOverlapping(boundCell)) {
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
