/** Collects what the ends of runs say about run times. */
import type { Metrics } from '@comfreygrade/core'
import type { BatchState } from './batch-state.js'
import type { TaskContext } from './task-context.js'
import type { Assignment, EndReason, RunEnd } from './commands.js'
import { jobIdOf } from './jobs.js'
import { gangRunKey, taskRunKey } from './run-keys.js'
import { wholeRunMs, workedMs } from './run-estimates.js'
import type { RunSample, RunTimePredictor } from './run-time-predictor.js'
import type { RunProgress, WorkerView } from './worker-view.js'
import type { WorkerSpeeds } from './worker-speeds.js'

/** Run time of a run that is done, beside what was expected of it, for the log. */
export interface RunTimeError {
  readonly runMs: number
  readonly predictedMs: number
  readonly estimateMs: number
}

/** Options of {@link RunSamples}. */
export interface RunSamplesOptions {
  readonly state: BatchState
  readonly runTimes: RunTimePredictor
  readonly workerSpeeds: WorkerSpeeds
  readonly metrics: Metrics
  readonly rackOf: (workerId: string) => string | undefined
}

/**
 * Passes the run times of ended runs to the predictor, as they would be on a worker of typical speed. Runs that take
 * longer where they are than elsewhere are left out: those away from the rack of their data, same-rack gangs over
 * several racks, and runs on cold workers.
 */
export class RunSamples {
  readonly #options: RunSamplesOptions
  /** Runs of same-rack gangs that this leader placed within one rack, by gang run. */
  readonly #gangsInOneRack = new Set<string>()

  constructor (options: RunSamplesOptions) {
    this.#options = options
  }

  /** Notes which gangs of a committed assignment are within one rack; their members are all in it. */
  recordAssigned (assignments: readonly Assignment[]): void {
    const racksByGang = new Map<string, Set<string | undefined>>()
    for (const assignment of assignments) {
      if (this.#options.state.findTask(assignment.taskKey)?.stepSpec.isSameRack !== true) continue
      const key = gangRunKey(assignment)
      const racks = racksByGang.get(key) ?? new Set()
      racksByGang.set(key, racks.add(this.#options.rackOf(assignment.workerId)))
    }
    for (const [key, racks] of racksByGang) if (racks.size === 1) this.#gangsInOneRack.add(key)
  }

  /**
   * Learns from a recorded end while the view still has the progress of the run. Returns the errors of the expected run
   * times where the whole run time is known.
   *
   * @example
   * const error = samples.learn(end, view, receivedAtMs)
   */
  learn (end: RunEnd, view: WorkerView, endSeenMs: number): RunTimeError | undefined {
    const { state, runTimes, workerSpeeds } = this.#options
    const kind = sampleKind(end.reason)
    const context = state.findTask(end.taskKey)
    const progress = view.endedProgress.get(taskRunKey(end))
    if (kind === undefined || context === undefined || progress === undefined) return undefined
    const { job, stepSpec } = context
    if (stepSpec.isLasting || stepSpec.isFiller || this.#isSlowedByPlacement(end, context, view)) return undefined
    const onWorkerMs = kind === 'finished' ? wholeRunMs(progress, stepSpec, endSeenMs) : cutShortMs(progress)
    if (onWorkerMs === undefined) return undefined
    const runMs = onWorkerMs / workerSpeeds.slowdownOf(view.latest)
    const sample: RunSample = { job, stepIndex: job.spec.steps.indexOf(stepSpec), runMs, kind }
    const error = kind === 'finished' ? this.#recordError(sample, stepSpec.estimateMs) : undefined
    runTimes.learn(sample)
    return error
  }

  /** Removes the gangs of jobs that the state no longer has. */
  retainJobs (isKnown: (jobId: string) => boolean): void {
    for (const key of this.#gangsInOneRack) if (!isKnown(jobIdOf(key))) this.#gangsInOneRack.delete(key)
  }

  #isSlowedByPlacement (end: RunEnd, { stepSpec }: TaskContext, { latest }: WorkerView): boolean {
    const isRemoteFromData = stepSpec.dataRack !== '' && latest.rack !== stepSpec.dataRack
    const isSpread = stepSpec.isGang && stepSpec.isSameRack && !this.#gangsInOneRack.has(gangRunKey(end))
    return isRemoteFromData || isSpread || latest.coldRemainingMs > 0
  }

  #recordError ({ job, stepIndex, runMs }: RunSample, estimateMs: number): RunTimeError {
    const { state, runTimes, metrics } = this.#options
    const predictedMs = runTimes.forecast(job, stepIndex).typicalMs
    const queue = state.queueOf(job)?.name ?? ''
    metrics.timing('run_time_error_ms', Math.abs(predictedMs - runMs), { queue, of: 'prediction' })
    metrics.timing('run_time_error_ms', Math.abs(estimateMs - runMs), { queue, of: 'estimate' })
    return { runMs: Math.round(runMs), predictedMs: Math.round(predictedMs), estimateMs: Math.round(estimateMs) }
  }
}

/** Failures and refusals say nothing about the run time. */
function sampleKind (reason: EndReason): RunSample['kind'] | undefined {
  switch (reason) {
    case 'done': return 'finished'
    case 'stopped': case 'lapsed': case 'broken': case 'alone': return 'cut_short'
    case 'failed': case 'refused': return undefined
  }
}

function cutShortMs (progress: RunProgress): number | undefined {
  const runMs = workedMs(progress)
  return runMs > 0 ? runMs : undefined
}
