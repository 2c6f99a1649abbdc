/** Which workers may get new tasks: those that have joined and are neither draining nor in quarantine. */
import type { PlacementSettings } from './settings.js'
import { WorkerHealth } from './worker-health.js'

/** Availability of workers, whether or not they are in the inventory. */
export class WorkerAvailability {
  readonly health: WorkerHealth
  readonly #joinedWorkerIds = new Set<string>()
  readonly #drainingWorkerIds = new Set<string>()

  constructor (settings: PlacementSettings) {
    this.health = new WorkerHealth(settings)
  }

  join (workerId: string): void {
    this.#joinedWorkerIds.add(workerId)
  }

  /** Records that a worker was lost. */
  leave (workerId: string): void {
    this.#joinedWorkerIds.delete(workerId)
  }

  setDraining (workerId: string, isDraining: boolean): void {
    if (isDraining) this.#drainingWorkerIds.add(workerId)
    else this.#drainingWorkerIds.delete(workerId)
  }

  /** IDs of the draining workers, sorted. */
  drainingWorkerIds (): string[] {
    return [...this.#drainingWorkerIds].sort()
  }

  /** Whether a worker may get new tasks, provided that it is in the inventory. */
  isInService (workerId: string): boolean {
    return this.#joinedWorkerIds.has(workerId) && !this.#drainingWorkerIds.has(workerId) &&
      !this.health.isQuarantined(workerId)
  }

  isMissingOrQuarantined (workerId: string): boolean {
    return !this.#joinedWorkerIds.has(workerId) || this.health.isQuarantined(workerId)
  }
}
