/** Failures of refused and of stopped jobs, for explanations. */
import type { Failure } from '@comfreygrade/core'

/** Keeps the latest failures, one for each job. */
export class RefusalHistory {
  readonly #maxLength: number
  readonly #failures = new Map<string, Failure>()

  constructor (maxLength: number) {
    this.#maxLength = maxLength
  }

  /** Failures by job ID, oldest first. */
  get failures (): ReadonlyMap<string, Failure> {
    return this.#failures
  }

  record (jobId: string, failure: Failure): void {
    this.#failures.delete(jobId)
    this.#failures.set(jobId, failure)
    if (this.#failures.size <= this.#maxLength) return
    const [oldest] = this.#failures.keys()
    this.#failures.delete(oldest!)
  }
}
