/** Behaviours of a stand-in worker: normal execution, or one of the faults that tests inject. */
import type { WorkerOrder } from './orders.js'

/** How a task ends unless it is stopped before. */
export interface PlannedEnd {
  readonly state: 'completed' | 'failed'
  readonly afterMs: number
}

/** Behaviour names, as the command line takes them. */
export const workerBehaviourNames = ['work', 'refuse', 'fail'] as const

export type WorkerBehaviourName = typeof workerBehaviourNames[number]

/** Decides which orders are accepted and how tasks end. */
export abstract class WorkerBehaviour {
  /** Whether the worker reserves accelerators for a `prepare` order. */
  abstract acceptsPrepare (order: WorkerOrder): boolean
  /** Plans the end of a task that starts now and runs for `runMs`. */
  abstract planEnd (runMs: number): PlannedEnd
}

/** Accepts every order and completes every task. */
export class CompleteTasksBehaviour extends WorkerBehaviour {
  override acceptsPrepare (): boolean {
    return true
  }

  override planEnd (runMs: number): PlannedEnd {
    return { state: 'completed', afterMs: runMs }
  }
}

/** Refuses every `prepare` order; tasks that were prepared before continue. */
export class RefusePrepareBehaviour extends CompleteTasksBehaviour {
  override acceptsPrepare (): boolean {
    return false
  }
}

/** Accepts every order; each task fails `failAfterMs` after its start. */
export class FailTasksBehaviour extends WorkerBehaviour {
  readonly #failAfterMs: number

  constructor (failAfterMs = 0) {
    super()
    this.#failAfterMs = failAfterMs
  }

  override acceptsPrepare (): boolean {
    return true
  }

  override planEnd (): PlannedEnd {
    return { state: 'failed', afterMs: this.#failAfterMs }
  }
}

/**
 * Creates the behaviour with the given name.
 *
 * @example
 * createWorkerBehaviour('refuse')
 */
export function createWorkerBehaviour (name: WorkerBehaviourName): WorkerBehaviour {
  switch (name) {
    case 'work': return new CompleteTasksBehaviour()
    case 'refuse': return new RefusePrepareBehaviour()
    case 'fail': return new FailTasksBehaviour()
  }
}
