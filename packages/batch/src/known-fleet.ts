/** Workers of each service that were seen, to tell jobs that can never be served from those that have to wait. */
import { NO_RESOURCES, type StepSpec, type TaskShape } from './jobs.js'
import { couldHold } from './worker-capacity.js'
import type { WorkerView } from './worker-view.js'

interface KnownPool {
  /** Shapes of which none contains another. */
  shapes: TaskShape[]
  /** The most of each resource that all workers had at one time. */
  capacity: TaskShape
}

/** The largest shapes and the largest capacity of each service. Workers that have gone count, as they may come back. */
export class KnownFleet {
  readonly #pools = new Map<string, KnownPool>()
  readonly #workerIds = new Set<string>()

  /** Takes all workers that report. */
  record (views: Iterable<WorkerView>): void {
    const totals = new Map<string, TaskShape>()
    for (const { latest: { workerId, service, capacity } } of views) {
      this.#workerIds.add(workerId)
      totals.set(service, combine(totals.get(service) ?? NO_RESOURCES, capacity, (left, right) => left + right))
      this.#addShape(this.#poolOf(service), capacity)
    }
    for (const [service, total] of totals) {
      const pool = this.#poolOf(service)
      pool.capacity = combine(pool.capacity, total, Math.max)
    }
  }

  hasSeen (workerIds: readonly string[]): boolean {
    return workerIds.every(workerId => this.#workerIds.has(workerId))
  }

  capacityOf (service: string): TaskShape {
    return this.#pools.get(service)?.capacity ?? NO_RESOURCES
  }

  /** Whether no worker that was seen could hold a task, even without other runs; false before any was seen. */
  noneHolds (service: string, step: StepSpec): boolean {
    const pool = this.#pools.get(service)
    return pool !== undefined && !pool.shapes.some(shape => couldHold(shape, step))
  }

  #poolOf (service: string): KnownPool {
    const pool = this.#pools.get(service) ?? { shapes: [], capacity: NO_RESOURCES }
    this.#pools.set(service, pool)
    return pool
  }

  #addShape (pool: KnownPool, shape: TaskShape): void {
    if (pool.shapes.some(other => contains(other, shape))) return
    pool.shapes = [...pool.shapes.filter(other => !contains(shape, other)), shape]
  }
}

function contains (outer: TaskShape, inner: TaskShape): boolean {
  return outer.cpuMillicores >= inner.cpuMillicores && outer.memoryMb >= inner.memoryMb &&
    outer.acceleratorCount >= inner.acceleratorCount
}

function combine (left: TaskShape, right: TaskShape, merge: (left: number, right: number) => number): TaskShape {
  return {
    cpuMillicores: merge(left.cpuMillicores, right.cpuMillicores),
    memoryMb: merge(left.memoryMb, right.memoryMb),
    acceleratorCount: merge(left.acceleratorCount, right.acceleratorCount)
  }
}
