/** Resources that the runs of each organisation occupy. */
import { NO_RESOURCES, occupiedShape, type TaskShape } from './jobs.js'
import type { OrganisationUsage } from './organisation-shares.js'
import type { WorkerCapacity } from './worker-capacity.js'

type Amounts = { -readonly [Resource in keyof TaskShape]: number }

/**
 * Usage of the organisations that have runs, as shares of the given workers.
 *
 * @example
 * usageByOrganisation(workers).get('org-a')?.dominantShare // 0.25
 */
export function usageByOrganisation (workers: readonly WorkerCapacity[]): ReadonlyMap<string, OrganisationUsage> {
  const total: Amounts = { ...NO_RESOURCES }
  const used = new Map<string, Amounts>()
  for (const { view, runs } of workers) {
    add(total, view.latest.capacity)
    for (const { organisation, spec } of runs) {
      const amounts = used.get(organisation) ?? { ...NO_RESOURCES }
      used.set(organisation, amounts)
      add(amounts, occupiedShape(spec))
    }
  }
  return new Map([...used].map(([organisation, amounts]) =>
    [organisation, { dominantShare: dominantShare(amounts, total) }]))
}

function add (sum: Amounts, shape: TaskShape): void {
  sum.cpuMillicores += shape.cpuMillicores
  sum.memoryMb += shape.memoryMb
  sum.acceleratorCount += shape.acceleratorCount
}

function dominantShare (used: TaskShape, total: TaskShape): number {
  return Math.max(
    used.cpuMillicores / Math.max(1, total.cpuMillicores),
    used.memoryMb / Math.max(1, total.memoryMb),
    used.acceleratorCount / Math.max(1, total.acceleratorCount)
  )
}
