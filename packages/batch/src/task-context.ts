/** A task with its step and job. */
import type { JobRecord } from './job-record.js'
import type { StepSpec, TaskId } from './jobs.js'
import type { StepRecord, TaskRecord } from './step-record.js'

/** What a {@link TaskContext} is made of. */
export interface TaskContextFields {
  readonly job: JobRecord
  readonly stepSpec: StepSpec
  readonly step: StepRecord
  readonly id: TaskId
}

/**
 * A task of an occurrence that has started.
 *
 * @example
 * state.findTask('5c0e.0.1.17')?.task.lastRun
 */
export class TaskContext implements TaskContextFields {
  readonly job: JobRecord
  readonly stepSpec: StepSpec
  readonly step: StepRecord
  readonly id: TaskId

  constructor ({ job, stepSpec, step, id }: TaskContextFields) {
    this.job = job
    this.stepSpec = stepSpec
    this.step = step
    this.id = id
  }

  /** The task as it is now. */
  get task (): TaskRecord {
    const task = this.step.task(this.id.index)
    if (task === undefined) throw new RangeError(`the step has no task ${this.id.index}`)
    return task
  }

  /** Indexes of the tasks that share their ends: all members of a gang, otherwise this task alone. */
  memberIndexes (): number[] {
    if (!this.stepSpec.isGang) return [this.id.index]
    return Array.from({ length: this.step.taskCount }, (_unused, index) => index)
  }
}
