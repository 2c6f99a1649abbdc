/** Predictions that are compared with the run times, but not decided by. */
import type { JobRecord } from './job-record.js'
import { CallerEstimates, type RunSample, type RunTimePrediction, type RunTimePredictor } from './run-time-predictor.js'

/**
 * Decides by the callers' estimates, while another predictor learns and its errors are reported beside those of the
 * estimates, so that operators can compare both before they let the learned run times decide.
 */
export class ObservedRunTimes extends CallerEstimates {
  readonly #observed: RunTimePredictor

  constructor (observed: RunTimePredictor) {
    super()
    this.#observed = observed
  }

  override forecast (job: JobRecord, stepIndex: number): RunTimePrediction {
    return this.#observed.forecast(job, stepIndex)
  }

  override learn (sample: RunSample): void {
    this.#observed.learn(sample)
  }
}
