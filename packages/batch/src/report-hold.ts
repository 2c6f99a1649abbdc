/** How long the answer to a heartbeat may wait for orders (long polling). */
import type { BatchState } from './batch-state.js'
import { estimateRemainingMs } from './run-estimates.js'
import type { RunTimePredictor } from './run-time-predictor.js'
import type { BatchSettings } from './settings.js'
import type { WorkerView } from './worker-view.js'

/** The answer comes this long before the expected end of a run, so that the worker can report the end at once. */
const EXPECTED_END_MARGIN_MS = 50
/** Shorter waits are not worth a heartbeat of their own. */
const MIN_HOLD_MS = 100

/**
 * A worker has one heartbeat in flight at a time. While its answer is held, orders reach the worker at once, but it
 * cannot report the end of a run. So the answer is held for as long as no run is expected to end.
 *
 * Load pattern: short runs on many workers, of whose heartbeats some are delayed in the network until their workers
 * give them up. Fewer heartbeats that are held for longer lose less time to that than many that are answered at once.
 */
export class ReportHold {
  readonly #state: BatchState
  readonly #settings: BatchSettings
  readonly #runTimes: RunTimePredictor

  constructor (state: BatchState, settings: BatchSettings, runTimes: RunTimePredictor) {
    this.#state = state
    this.#runTimes = runTimes
    this.#settings = settings
  }

  /**
   * Time for which the answer to the latest report of a worker may be held; 0 where it should not be.
   *
   * @example
   * pendingReports.add(pending, hold.durationMs(view, clock.monotonicMs()))
   */
  durationMs (view: WorkerView, nowMs: number): number {
    const { latest } = view
    if (latest.state !== 'active' || latest.ends.length > 0 || this.#isPaced(view)) return 0
    const durationMs = Math.min(this.#settings.maxLongPollMs, this.#nextEndMs(view, nowMs) - EXPECTED_END_MARGIN_MS)
    return durationMs < MIN_HOLD_MS ? 0 : durationMs
  }

  /** Fillers are slowed down step by step, one with each answer. */
  #isPaced ({ latest }: WorkerView): boolean {
    return latest.running.some(({ taskKey }) => this.#state.findTask(taskKey)?.stepSpec.isFiller === true)
  }

  /** Time until the next expected end of a run on the worker; also of one that is not reported yet. */
  #nextEndMs (view: WorkerView, nowMs: number): number {
    let nextEndMs = Infinity
    for (const assignment of this.#state.runsOf(view.latest.workerId)) {
      const context = this.#state.findTask(assignment.taskKey)
      if (context === undefined) continue
      const { typicalMs } = this.#runTimes.predictTask(context)
      nextEndMs = Math.min(nextEndMs, estimateRemainingMs(view, assignment, context.stepSpec, nowMs, typicalMs))
    }
    return nextEndMs
  }
}
