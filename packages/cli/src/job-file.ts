/** Parses the file of a gang job. */
import { randomBytes } from 'node:crypto'
import type { JobSpec } from '@comfreygrade/core'
import { z } from 'zod'
import { type ValidationResult, parseYaml } from '@comfreygrade/documents'

const identifier = z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/)

const jobSchema = z.strictObject({
  jobId: identifier.optional(),
  organisationId: identifier,
  jobClass: identifier,
  tasks: z.int().min(1),
  acceleratorModel: identifier,
  acceleratorsPerTask: z.int().min(0),
  coresPerTask: z.int().min(0),
  memoryGbPerTask: z.number().min(0),
  adjacency: z.enum(['worker', 'rack', 'none']),
  declaredRunMs: z.int().min(1),
  priority: z.enum(['urgent', 'normal', 'low']),
  preemption: z.enum(['checkpoint', 'repeat', 'none'])
})

/** A generated job ID starts with the job class, cut to this length so that the ID stays within 64 characters. */
const MAX_JOB_CLASS_PREFIX_CHARACTERS = 50

/**
 * Parses and validates a job. Generates a job ID when the file has none, so that a retry by the client does not create
 * a second job. Parsing the same file again gives another ID.
 *
 * @example
 * parseJobFile('job.yaml', text)
 */
export function parseJobFile (file: string, text: string): ValidationResult<JobSpec> {
  const result = parseYaml(file, text, jobSchema, () => [])
  if (result.kind === 'invalid') return result
  const { jobId, ...rest } = result.value
  return { kind: 'valid', value: { jobId: jobId ?? generateJobId(rest.jobClass), ...rest } }
}

function generateJobId (jobClass: string): string {
  return `${jobClass.slice(0, MAX_JOB_CLASS_PREFIX_CHARACTERS)}-${randomBytes(6).toString('hex')}`
}
