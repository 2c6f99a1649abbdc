/** Speeds of workers relative to one another. */
import type { StepSpec } from './jobs.js'
import type { WorkerReport } from './worker-messages.js'
import type { WorkerView } from './worker-view.js'

/** Looks up the step of a task; undefined where its job is not known. */
export type SpecLookup = (taskKey: string) => StepSpec | undefined

/** Speeds of the workers of a fleet; each way to learn them is a subclass. */
export abstract class WorkerSpeeds {
  /** Run time on this worker as a multiple of that on a typical one; 1 where nothing is known. */
  abstract slowdownOf (worker: Pick<WorkerReport, 'workerId' | 'vmId' | 'incarnation'>): number

  /** Observes the progress in the latest accepted report of a worker. */
  abstract observe (view: WorkerView, nowMs: number, specOf: SpecLookup): void
}

/** Takes all workers for equally fast. */
export class EqualWorkerSpeeds extends WorkerSpeeds {
  override slowdownOf (): number {
    return 1
  }

  override observe (): void {}
}
