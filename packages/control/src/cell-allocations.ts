/** Cells that are allocated to placed tasks. `allocate` checks nothing: to place a job, call `findConflict` first. */
import type { Placement, TaskPlacement } from '@comfreygrade/core'

/**
 * A cell is a block of adjacent accelerators. This one belongs to one worker and is allocated to one task, from the
 * commit of its placement until all tasks of its gang are released.
 */
export interface CellAllocation {
  readonly jobId: string
  readonly leaseId: number
  readonly task: TaskPlacement
}

/** Allocated cells, indexed by worker. */
export class CellAllocations {
  readonly #byWorker = new Map<string, readonly CellAllocation[]>()

  forWorker (workerId: string): readonly CellAllocation[] {
    return this.#byWorker.get(workerId) ?? []
  }

  /** Returns the first allocated cell that shares an accelerator with the task. */
  findConflict (task: TaskPlacement): CellAllocation | undefined {
    return this.forWorker(task.workerId).find(allocation => shareAccelerators(allocation.task, task))
  }

  allocate (jobId: string, leaseId: number, placement: Placement): void {
    for (const task of placement.tasks) {
      this.#byWorker.set(task.workerId, [...this.forWorker(task.workerId), { jobId, leaseId, task }])
    }
  }

  free (jobId: string, placement: Placement): void {
    for (const { workerId } of placement.tasks) {
      const remaining = this.forWorker(workerId).filter(allocation => allocation.jobId !== jobId)
      if (remaining.length === 0) this.#byWorker.delete(workerId)
      else this.#byWorker.set(workerId, remaining)
    }
  }
}

/**
 * Returns whether two tasks use a common accelerator of a worker; a task without accelerators shares none.
 *
 * @example
 * shareAccelerators(first, second) // false on different workers
 */
export function shareAccelerators (left: TaskPlacement, right: TaskPlacement): boolean {
  return left.workerId === right.workerId && left.acceleratorCount > 0 && right.acceleratorCount > 0 &&
    left.firstAccelerator < right.firstAccelerator + right.acceleratorCount &&
    right.firstAccelerator < left.firstAccelerator + left.acceleratorCount
}
