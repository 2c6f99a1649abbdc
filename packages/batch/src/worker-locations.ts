/** Index of workers by VM and by address. */
import type { WorkerReport } from './worker-messages.js'

type WorkerLocation = Pick<WorkerReport, 'workerId' | 'vmId' | 'address'>

/**
 * Finds workers at the same location, of which at most one is alive.
 *
 * @example
 * const locations = new WorkerLocations()
 * locations.add({ workerId: 'w1', vmId: 'vm1', address: '10.0.0.1:80' })
 * [...locations.findAt({ workerId: 'w2', vmId: 'vm1', address: '10.0.0.2:80' })] // ['w1']
 */
export class WorkerLocations {
  readonly #byVm = new Map<string, Set<string>>()
  readonly #byAddress = new Map<string, Set<string>>()

  add ({ workerId, vmId, address }: WorkerLocation): void {
    if (vmId !== '') addTo(this.#byVm, vmId, workerId)
    addTo(this.#byAddress, address, workerId)
  }

  remove ({ workerId, vmId, address }: WorkerLocation): void {
    removeFrom(this.#byVm, vmId, workerId)
    removeFrom(this.#byAddress, address, workerId)
  }

  /** Workers on the same VM or at the same address, under any ID. */
  findAt ({ vmId, address }: WorkerLocation): Set<string> {
    return new Set([...this.#byVm.get(vmId) ?? [], ...this.#byAddress.get(address) ?? []])
  }
}

function addTo (index: Map<string, Set<string>>, key: string, workerId: string): void {
  const workerIds = index.get(key)
  if (workerIds === undefined) index.set(key, new Set([workerId]))
  else workerIds.add(workerId)
}

function removeFrom (index: Map<string, Set<string>>, key: string, workerId: string): void {
  const workerIds = index.get(key)
  if (workerIds === undefined) return
  workerIds.delete(workerId)
  if (workerIds.size === 0) index.delete(key)
}
