/** Run times learned by class of job. */
import type { JobSpec } from '@comfreygrade/core'
import type { PlacementSettings } from './settings.js'

/** Remembers the latest finished runs of each class of each organisation. */
export class RunTimeHistory {
  readonly #settings: PlacementSettings
  readonly #runs = new Map<string, number[]>()

  constructor (settings: PlacementSettings) {
    this.#settings = settings
  }

  /** Records a run that ended by itself. */
  record (spec: JobSpec, runMs: number): void {
    const key = classKey(spec)
    const runs = this.#runs.get(key) ?? []
    runs.push(runMs)
    if (runs.length > this.#settings.runHistoryLength) runs.shift()
    this.#runs.set(key, runs)
  }

  /**
   * The learned quantile of a class in milliseconds; undefined until enough runs have finished.
   *
   * @example
   * history.learnedMs(spec) ?? spec.declaredRunMs
   */
  learnedMs (spec: JobSpec): number | undefined {
    const runs = this.#runs.get(classKey(spec))
    if (runs === undefined || runs.length < this.#settings.runHistoryMin) return undefined
    const sorted = [...runs].sort((left, right) => left - right)
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * this.#settings.runTimeQuantile))]
  }
}

function classKey (spec: JobSpec): string {
  return `${spec.organisationId}/${spec.jobClass}`
}
