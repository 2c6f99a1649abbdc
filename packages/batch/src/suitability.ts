/** Whether a worker could ever run a task, apart from where it is and from what runs on it. */
import { couldHold } from './worker-capacity.js'
import type { JobRecord } from './job-record.js'
import type { StepSpec } from './jobs.js'
import type { WorkerView } from './worker-view.js'

/**
 * Whether the worker belongs to the job's service, has the required label and could hold a task if it were empty.
 *
 * @example
 * const candidates = views.filter(view => isSuitable(view, job, spec))
 */
export function isSuitable ({ latest }: WorkerView, job: JobRecord, spec: StepSpec): boolean {
  return latest.service === job.service && couldHold(latest.capacity, spec) &&
    (spec.requiredLabel === '' || latest.labels.includes(spec.requiredLabel))
}
