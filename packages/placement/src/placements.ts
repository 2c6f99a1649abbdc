/** Conversion between plans in cells and placements on workers. */
import type { JobSpec, Placement, TaskPlacement } from '@comfreygrade/core'
import type { CellTree } from './cells.js'
import type { Fleet } from './fleet.js'
import type { Binding } from './guarantees.js'
import type { GangPlan } from './jobs.js'

/** The placement of a plan; task `i` is in cell `i`. */
export function placementOf (tree: CellTree, plan: GangPlan): Placement {
  const tasks: TaskPlacement[] = plan.cells.map((cell, taskIndex) => ({
    taskIndex,
    workerId: tree.workers[tree.worker[cell]!]!.workerId,
    firstAccelerator: tree.firstAccelerator[cell]!,
    acceleratorCount: 2 ** tree.level[cell]!
  }))
  const workers = new Set(tasks.map(task => task.workerId)).size
  const racks = new Set(plan.cells.map(cell => tree.racks[tree.rack[cell]!]!.rackId)).size
  const where = `${tasks.length} tasks on ${workers} workers in ${racks} racks`
  return { capacityClass: plan.capacityClass, tasks, reason: `${where}: ${plan.reason}` }
}

/**
 * The plan of a recorded placement. Tasks on workers that left the inventory have no cell. Where the guarantee does not
 * cover the cells any more, the job counts as lent.
 */
export function planOf (fleet: Fleet, spec: JobSpec, placement: Placement): GangPlan {
  const cells: number[] = []
  for (const task of placement.tasks) {
    const cell = fleet.tree.find(task.workerId, task.firstAccelerator, task.acceleratorCount)
    if (cell !== undefined) cells.push(cell)
  }
  const bindings = placement.capacityClass === 'guaranteed' ? bindingsOf(fleet, spec, cells) : undefined
  const capacityClass = bindings === undefined ? 'lent' : 'guaranteed'
  return { capacityClass, cells, bindings: bindings ?? [], victims: new Set(), reason: placement.reason }
}

function bindingsOf (fleet: Fleet, spec: JobSpec, cells: readonly number[]): Binding[] | undefined {
  const bindings: Binding[] = []
  for (const cell of cells) {
    const binding = bindingOf(fleet, spec, cell)
    if (binding === undefined) {
      releaseUnused(fleet, bindings)
      return undefined
    }
    bindings.push(binding)
  }
  return bindings
}

function bindingOf (fleet: Fleet, spec: JobSpec, cell: number): Binding | undefined {
  const states = fleet.ledger.of(spec.organisationId, spec.acceleratorModel)
  const candidates = states.map(state => ({ state, bound: fleet.tree.ancestor(cell, state.level) }))
  for (const { state, bound } of candidates) {
    const existing = bound === undefined ? undefined : fleet.ledger.bindingOf(bound)
    if (existing?.state === state) return existing
  }
  for (const { state, bound } of candidates) {
    const created = bound === undefined ? undefined : fleet.ledger.rebind(state, bound)
    if (created !== undefined) return created
  }
  return undefined
}

function releaseUnused (fleet: Fleet, bindings: readonly Binding[]): void {
  for (const binding of new Set(bindings)) {
    if (binding.users === 0) fleet.ledger.release(binding)
  }
}
