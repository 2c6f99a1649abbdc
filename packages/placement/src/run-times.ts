/** Run-time estimates learned by job class. */
import type { JobSpec } from '@comfreygrade/core'
import type { PlacementSettings } from './settings.js'

/** Keeps the run times of the most recent runs of each job class of each organisation. */
export class RunTimeHistory {
  readonly #settings: PlacementSettings
  readonly #runsByClass = new Map<string, number[]>()

  constructor (settings: PlacementSettings) {
    this.#settings = settings
  }

  /** Records a run that ended without failure, cancellation or preemption. */
  record (spec: JobSpec, runMs: number): void {
    const key = classKey(spec)
    const runs = this.#runsByClass.get(key) ?? []
    runs.push(runMs)
    if (runs.length > this.#settings.runHistoryLength) runs.shift()
    this.#runsByClass.set(key, runs)
  }

  /**
   * The configured quantile of the recorded run times of a job's class; undefined until enough runs have finished.
   *
   * @example
   * history.learnedRunMs(spec) ?? spec.declaredRunMs
   */
  learnedRunMs (spec: JobSpec): number | undefined {
    const runs = this.#runsByClass.get(classKey(spec))
    if (runs === undefined || runs.length < this.#settings.runHistoryMin) return undefined
    const sorted = [...runs].sort((left, right) => left - right)
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * this.#settings.runTimeQuantile))]
  }
}

function classKey (spec: JobSpec): string {
  return `${spec.organisationId}/${spec.jobClass}`
}
