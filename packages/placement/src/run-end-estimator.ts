/** Estimates of how long jobs run and when placed jobs end. */
import type { JobSpec } from '@comfreygrade/core'
import type { JobRecord } from './job-record.js'
import type { PlacementPolicy } from './policies.js'
import type { RunTimeHistory } from './run-times.js'

/** A job that runs longer than its estimate is expected to run on for this fraction of its elapsed time. */
const OVERRUN_EXTENSION_FACTOR = 0.5
/** Minimum of this extension. */
const OVERRUN_EXTENSION_MIN_MS = 1_000

/** The time of an estimate, and the limit of the rules for the end of a preempted job. */
export interface EstimateContext {
  readonly nowMs: number
  readonly reclaimWithinMs: number
}

/** Estimates from the declared and the learned run times, as the policy weighs them. */
export class RunEndEstimator {
  readonly #policy: PlacementPolicy
  readonly #runTimes: RunTimeHistory

  constructor (policy: PlacementPolicy, runTimes: RunTimeHistory) {
    this.#policy = policy
    this.#runTimes = runTimes
  }

  /** Estimated run time of a job that starts anew. */
  estimateRunMs (spec: JobSpec): number {
    return this.#policy.estimateRunMs(spec, this.#runTimes.learnedRunMs(spec))
  }

  /** Estimated end of a job; one that is not placed counts as starting now. */
  estimatedEndMs (job: JobRecord, { nowMs, reclaimWithinMs }: EstimateContext): number {
    const estimateMs = this.estimateRunMs(job.spec)
    if (job.state !== 'placed') return nowMs + estimateMs
    if (job.isBeingPreempted) return nowMs + reclaimWithinMs
    const elapsedMs = nowMs - job.startedMs
    if (elapsedMs < estimateMs) return job.startedMs + estimateMs
    return nowMs + Math.max(OVERRUN_EXTENSION_MIN_MS, elapsedMs * OVERRUN_EXTENSION_FACTOR)
  }
}
