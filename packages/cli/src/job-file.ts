/** Reads a gang job from a file. */
import { randomBytes } from 'node:crypto'
import type { JobSpec } from '@comfreygrade/core'
import { z } from 'zod'
import { type FileReading, readYaml } from '@comfreygrade/documents'

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

/** Longest job class that is repeated in a generated job ID; an identifier has at most 64 characters. */
const MAX_JOB_CLASS_PREFIX_CHARACTERS = 50

/**
 * Reads a job; a job ID is generated where the file gives none, so that a repeated submission creates no second job.
 *
 * @example
 * readJobFile('job.yaml', text)
 */
export function readJobFile (file: string, text: string): FileReading<JobSpec> {
  const result = readYaml(file, text, jobSchema, () => [])
  if (result.kind === 'invalid') return result
  const { jobId, ...rest } = result.value
  return { kind: 'valid', value: { jobId: jobId ?? generateJobId(rest.jobClass), ...rest } }
}

function generateJobId (jobClass: string): string {
  return `${jobClass.slice(0, MAX_JOB_CLASS_PREFIX_CHARACTERS)}-${randomBytes(6).toString('hex')}`
}
