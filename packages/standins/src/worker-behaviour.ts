/** How a stand-in worker treats orders: well, or one of the faults that tests need. */
import type { WorkerOrder } from './orders.js'

/** How a task will end by itself. */
export interface PlannedEnd {
  readonly state: 'completed' | 'failed'
  readonly afterMs: number
}

/** Names of the behaviours, for settings. */
export const workerBehaviourNames = ['work', 'refuse', 'fail'] as const

/** Name of a behaviour. */
export type WorkerBehaviourName = typeof workerBehaviourNames[number]

/** Decides which orders are accepted and how tasks end. */
export abstract class WorkerBehaviour {
  /** Whether a cell is held for the order. */
  abstract acceptsPrepare (order: WorkerOrder): boolean
  /** How a task that starts now and needs `runMs` will end. */
  abstract plan (runMs: number): PlannedEnd
}

/** Accepts and completes. */
export class WorkNormally extends WorkerBehaviour {
  override acceptsPrepare (): boolean {
    return true
  }

  override plan (runMs: number): PlannedEnd {
    return { state: 'completed', afterMs: runMs }
  }
}

/** Refuses every new cell; what is held goes on. */
export class RefusePrepare extends WorkNormally {
  override acceptsPrepare (): boolean {
    return false
  }
}

/** Accepts everything; each task fails `failAfterMs` after its start. */
export class FailEverything extends WorkerBehaviour {
  readonly #failAfterMs: number

  constructor (failAfterMs = 0) {
    super()
    this.#failAfterMs = failAfterMs
  }

  override acceptsPrepare (): boolean {
    return true
  }

  override plan (): PlannedEnd {
    return { state: 'failed', afterMs: this.#failAfterMs }
  }
}

/**
 * Gives the behaviour of a name.
 *
 * @example
 * workerBehaviour('refuse')
 */
export function workerBehaviour (name: WorkerBehaviourName): WorkerBehaviour {
  switch (name) {
    case 'work': return new WorkNormally()
    case 'refuse': return new RefusePrepare()
    case 'fail': return new FailEverything()
  }
}
