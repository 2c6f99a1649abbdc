/** Checks whether a job may be submitted at all. */
import { failure, type Failure, type JobSpec } from '@comfreygrade/core'
import type { OrganisationUsage } from './organisations.js'
import type { GangShape } from './shapes.js'

/** What a submission is checked against. */
export interface AdmissionContext {
  readonly hasJob: (jobId: string) => boolean
  readonly usage: OrganisationUsage
  readonly maxGangTasks: number
}

/**
 * Returns why a job cannot be accepted: `job_exists`, `unknown_organisation`, `impossible_shape` or `quota_exceeded`;
 * undefined if it can.
 */
export function checkAdmission (
  spec: JobSpec, shape: GangShape, { hasJob, usage, maxGangTasks }: AdmissionContext
): Failure | undefined {
  const { organisationId, tasks } = spec
  if (hasJob(spec.jobId)) return failure('job_exists', `job ${spec.jobId} already exists`)
  if (!usage.has(organisationId)) {
    return failure('unknown_organisation', `organisation ${organisationId} is not in the configuration`)
  }
  if (!(tasks >= 1) || tasks > maxGangTasks) {
    return failure('impossible_shape', `the job has ${tasks} tasks, 1 to ${maxGangTasks} are allowed`)
  }
  if (!shape.isPossible) return failure('impossible_shape', describeImpossibleShape(spec))
  const quota = usage.quota(organisationId)
  if (shape.minAccelerators <= quota) return undefined
  return failure('quota_exceeded',
    `the job needs ${shape.minAccelerators} accelerators, the quota of organisation ${organisationId} is ${quota}`)
}

function describeImpossibleShape (spec: JobSpec): string {
  return `the inventory cannot hold ${spec.tasks} tasks of ${spec.acceleratorsPerTask} ` +
    `${spec.acceleratorModel} accelerators, ${spec.coresPerTask} cores and ${spec.memoryGbPerTask} GB with adjacency ${spec.adjacency}`
}
