/** Schemas of HTTP bodies, queries and path parameters; unknown fields are errors. */
import { z } from 'zod'
import { fail, succeed, type Result } from '@comfreygrade/core'

const identifier = z.string().regex(
  /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/, 'a letter or digit, then letters, digits, ".", "_" or "-", at most 64 in all'
)

/** Body of `POST /v1/jobs`. */
export const jobSchema = z.strictObject({
  jobId: identifier.optional(),
  organisationId: identifier,
  /** Label for run-time estimates. */
  jobClass: identifier.default('default'),
  /** Wider than `maxGangTasks` can be; the control leader refuses a gang above that rule as `impossible_shape`. */
  tasks: z.int().min(1).max(1024),
  acceleratorModel: identifier,
  acceleratorsPerTask: z.int().min(1).max(1024),
  coresPerTask: z.int().min(0).max(100_000).default(0),
  memoryGbPerTask: z.int().min(0).max(1_000_000).default(0),
  /** Whether all tasks must be placed on one worker, in one rack, or anywhere. */
  adjacency: z.enum(['worker', 'rack', 'none']).default('none'),
  declaredRunMs: z.int().min(1).max(365 * 24 * 3_600_000),
  priority: z.enum(['urgent', 'normal', 'low']).default('normal'),
  /**
   * What happens to a started job whose capacity is taken back: it is stopped and waits to run again, with `checkpoint`
   * after a checkpoint from which it can continue, and with `repeat` from the start. A job with `none` keeps its
   * capacity, and fails if a worker is lost.
   */
  preemption: z.enum(['checkpoint', 'repeat', 'none']).default('repeat')
})

const address = z.url({ protocol: /^http$/ })

/** Body of `PUT /v1/backend-servers/{id}`. */
export const backendServerSchema = z.strictObject({
  incarnation: z.int().min(0),
  sequence: z.int().min(0),
  address,
  region: identifier,
  availabilityZone: identifier,
  services: z.array(identifier).min(1).max(64),
  slots: z.int().min(1).max(100_000),
  connections: z.int().min(1).max(1_000_000)
})

/** Body of `PUT /v1/workers/{id}`. */
export const workerReportSchema = z.strictObject({
  incarnation: z.int().min(0),
  sequence: z.int().min(0),
  address,
  tasks: z.array(z.strictObject({
    jobId: identifier,
    taskIndex: z.int().min(0),
    leaseId: z.int().min(0),
    state: z.enum(['prepared', 'running', 'completed', 'failed', 'stopped'])
  })).max(4096)
})

/** Body of `POST /v1/drains`. */
export const drainSchema = z.strictObject({
  kind: z.enum(['vm', 'worker', 'backend-server']),
  id: identifier
})

/** Query of `GET /v1/jobs`. */
export const jobsQuerySchema = z.strictObject({
  phase: z.enum(['waiting', 'preparing', 'starting', 'running', 'stopping', 'ended']).optional(),
  organisation: identifier.optional(),
  limit: z.coerce.number().int().min(1).max(1000).default(100)
})

/** Query of `POST /v1/configuration/changes`. */
export const changeQuerySchema = z.strictObject({
  dryRun: z.enum(['true', 'false']).default('false')
})

/** Query of an endpoint without query parameters. */
export const emptyQuerySchema = z.strictObject({})

/** Identifier in a path, query, header or body. */
export const identifierSchema = identifier

/**
 * Validates a value; the failure detail lists all errors.
 *
 * @example
 * checkInput(drainSchema, { kind: 'vm', id: 'n1' }, 'body')
 */
export function checkInput<T> (schema: z.ZodType<T>, value: unknown, location: string): Result<T> {
  const parsed = schema.safeParse(value)
  if (parsed.success) return succeed(parsed.data)
  const { issues } = parsed.error
  const isOnlyUnknown = issues.every(issue => issue.code === 'unrecognized_keys')
  const detail = issues.map(issue => describeIssue(issue, location)).join('; ')
  return fail(isOnlyUnknown ? 'unknown_field' : 'invalid_request', detail)
}

function describeIssue (issue: z.core.$ZodIssue, location: string): string {
  const field = [location, ...issue.path].join('.')
  return `${field}: ${issue.message}`
}
