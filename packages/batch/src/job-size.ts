/** Memory that an accepted job takes in each replica, apart from its tasks that have started. */
import type { JobSpec } from './jobs.js'

/** Records of a job without steps and payload. */
const JOB_BYTES = 1_300
/** One step without its texts and dependencies. */
const STEP_BYTES = 370
const DEPENDENCY_BYTES = 8

/**
 * Estimated memory of a job in bytes.
 *
 * @example
 * estimateJobBytes({ jobId: '5c0e', payload: 'x'.repeat(4_000), steps: [step] }) // 5,674
 */
export function estimateJobBytes ({ jobId, payload, steps }: JobSpec): number {
  const stepBytes = steps.reduce((sum, { dependsOn, requiredLabel, dataRack, image }) =>
    sum + STEP_BYTES + dependsOn.length * DEPENDENCY_BYTES + requiredLabel.length + dataRack.length + image.length, 0)
  return JOB_BYTES + jobId.length + Buffer.byteLength(payload) + stepBytes
}
