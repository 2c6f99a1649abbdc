/** Expected run times of tasks, from the callers' estimates and from runs that have ended. */
import type { TaskContext } from './task-context.js'
import type { JobRecord } from './job-record.js'

/** How long a task of a step is expected to run on a worker of typical speed. */
export interface RunTimePrediction {
  /** Median of the run time. */
  readonly typicalMs: number
  /**
   * Run time for the objective and the order: the caller's estimate, made longer where the estimates of this caller are
   * too short on average. Unlike `typicalMs`, it keeps the differences between the estimates of one caller.
   */
  readonly objectiveMs: number
  /** Run time that nine of ten such tasks do not exceed. */
  readonly highMs: number
  /** Weight of the ended runs behind the prediction; 0 where it is the caller's estimate alone. */
  readonly sampleCount: number
}

/** A run to learn from. */
export interface RunSample {
  readonly job: JobRecord
  readonly stepIndex: number
  /**
   * Time that the whole task takes on a worker of typical speed, or, where the run was cut short, the time for which it
   * ran without an end.
   */
  readonly runMs: number
  readonly kind: 'finished' | 'cut_short'
}

/** Predicts run times; each way to predict them is a subclass. */
export abstract class RunTimePredictor {
  /** Prediction for a task of a step. */
  abstract predict (job: JobRecord, stepIndex: number): RunTimePrediction

  /** Best knowledge of the run time, for reports of its error; decisions use `predict`. */
  forecast (job: JobRecord, stepIndex: number): RunTimePrediction {
    return this.predict(job, stepIndex)
  }

  /** Prediction for a task that has been assigned. */
  predictTask ({ job, stepSpec }: Pick<TaskContext, 'job' | 'stepSpec'>): RunTimePrediction {
    return this.predict(job, job.spec.steps.indexOf(stepSpec))
  }

  /** Learns from a run; runs that failed are not passed in. */
  abstract learn (sample: RunSample): void
}

/** Takes every caller's estimate for the run time. */
export class CallerEstimates extends RunTimePredictor {
  override predict ({ spec }: JobRecord, stepIndex: number): RunTimePrediction {
    const typicalMs = spec.steps[stepIndex]?.estimateMs ?? 0
    return { typicalMs, objectiveMs: typicalMs, highMs: typicalMs, sampleCount: 0 }
  }

  override learn (_sample: RunSample): void {}
}
