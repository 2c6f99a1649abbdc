/** Which accelerators of a worker are held by which placement; no accelerator is ever held twice. */
import type { Placement, TaskPlacement } from '@comfreygrade/core'

/** Accelerators held for one task, from the commit of its placement until all tasks of its gang are released. */
export interface HeldCell {
  readonly jobId: string
  readonly leaseId: number
  readonly task: TaskPlacement
}

/** Held cells by worker. */
export class HeldCells {
  readonly #byWorker = new Map<string, readonly HeldCell[]>()

  /** Cells held on a worker. */
  on (workerId: string): readonly HeldCell[] {
    return this.#byWorker.get(workerId) ?? []
  }

  /** Gives the first cell that shares an accelerator with the task, or undefined. */
  findOverlap (task: TaskPlacement): HeldCell | undefined {
    return this.on(task.workerId).find(held => overlaps(held.task, task))
  }

  hold (jobId: string, leaseId: number, placement: Placement): void {
    for (const task of placement.tasks) {
      this.#byWorker.set(task.workerId, [...this.on(task.workerId), { jobId, leaseId, task }])
    }
  }

  release (jobId: string, placement: Placement): void {
    for (const { workerId } of placement.tasks) {
      const rest = this.on(workerId).filter(held => held.jobId !== jobId)
      if (rest.length === 0) this.#byWorker.delete(workerId)
      else this.#byWorker.set(workerId, rest)
    }
  }
}

/**
 * Says whether two tasks share an accelerator of a worker; a task without accelerators shares none.
 *
 * @example
 * overlaps(first, second) // false on different workers
 */
export function overlaps (left: TaskPlacement, right: TaskPlacement): boolean {
  return left.workerId === right.workerId && left.acceleratorCount > 0 && right.acceleratorCount > 0 &&
    left.firstAccelerator < right.firstAccelerator + right.acceleratorCount &&
    right.firstAccelerator < left.firstAccelerator + left.acceleratorCount
}
