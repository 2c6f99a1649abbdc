/** Conversion between plans (cells) and placements (accelerators on workers). */
import type { JobSpec, Placement, TaskPlacement } from '@comfreygrade/core'
import type { CellTree } from './cells.js'
import type { Fleet } from './fleet.js'
import type { Binding } from './guarantees.js'
import type { GangPlan } from './job-record.js'

/** Converts a plan with a cell for each task to a placement; task `i` gets the cell at index `i`. */
export function toPlacement (tree: CellTree, plan: GangPlan): Placement {
  const tasks: TaskPlacement[] = plan.cells.map((cell, taskIndex) => ({
    taskIndex,
    workerId: tree.workers[tree.worker[cell]!]!.workerId,
    firstAccelerator: tree.firstAccelerator[cell]!,
    acceleratorCount: 2 ** tree.level[cell]!
  }))
  const workers = new Set(tasks.map(task => task.workerId)).size
  const racks = new Set(plan.cells.map(cell => tree.racks[tree.rack[cell]!]!.rackId)).size
  const summary = `${tasks.length} tasks on ${workers} workers in ${racks} racks`
  return { capacityClass: plan.capacityClass, tasks, reason: `${summary}: ${plan.reason}` }
}

/**
 * Restores the plan of a recorded placement. Tasks on workers that left the inventory have no cell. If the guarantee no
 * longer covers all cells, the plan is one on lent capacity; the placement itself is not changed.
 */
export function restorePlan (fleet: Fleet, spec: JobSpec, placement: Placement): GangPlan {
  const cells: number[] = []
  for (const task of placement.tasks) {
    const cell = fleet.tree.cellAt(task.workerId, task.firstAccelerator, task.acceleratorCount)
    if (cell !== undefined) cells.push(cell)
  }
  const bindings = placement.capacityClass === 'guaranteed' ? restoreBindings(fleet, spec, cells) : undefined
  const capacityClass = bindings === undefined ? 'lent' : 'guaranteed'
  return { capacityClass, cells, bindings: bindings ?? [], victims: new Set(), reason: placement.reason }
}

function restoreBindings (fleet: Fleet, spec: JobSpec, cells: readonly number[]): Binding[] | undefined {
  const bindings: Binding[] = []
  for (const cell of cells) {
    const binding = restoreBinding(fleet, spec, cell)
    if (binding === undefined) {
      releaseUnusedBindings(fleet, bindings)
      return undefined
    }
    bindings.push(binding)
  }
  return bindings
}

/** Existing bindings come first, as several tasks may share one guaranteed cell. */
function restoreBinding (fleet: Fleet, spec: JobSpec, cell: number): Binding | undefined {
  const states = fleet.guarantees.forOrganisation(spec.organisationId, spec.acceleratorModel)
  const candidates = states.map(state => ({ state, cellToBind: fleet.tree.ancestor(cell, state.level) }))
  for (const { state, cellToBind } of candidates) {
    const existing = cellToBind === undefined ? undefined : fleet.guarantees.bindingOf(cellToBind)
    if (existing?.state === state) return existing
  }
  for (const { state, cellToBind } of candidates) {
    const created = cellToBind === undefined ? undefined : fleet.guarantees.restoreBinding(state, cellToBind)
    if (created !== undefined) return created
  }
  return undefined
}

function releaseUnusedBindings (fleet: Fleet, bindings: readonly Binding[]): void {
  for (const binding of new Set(bindings)) {
    if (binding.users === 0) fleet.guarantees.release(binding)
  }
}
