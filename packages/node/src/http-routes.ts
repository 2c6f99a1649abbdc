/** Maps HTTP endpoints of callers, workers and operators to operations of the control leader. */
import { v7 } from 'uuid'
import { configurationChangeSchema, fail, succeed, type JobSpec, type Result } from '@comfreygrade/core'
import type { ControlAnswer, ControlOperation } from '@comfreygrade/control'
import {
  changeQuerySchema, checkInput, drainSchema, jobSchema, jobsQuerySchema, pathIdentifierSchema, workerReportSchema
} from './http-schemas.js'

/** Parts of a request that an endpoint may read. */
export interface RouteInput {
  readonly params: Readonly<Record<string, string>>
  readonly query: Readonly<Record<string, unknown>>
  readonly body: unknown
}

/** A JSON answer. */
export interface JsonAnswer {
  readonly status: number
  readonly body: unknown
}

/** One endpoint that asks the control leader. */
export interface ControlRoute {
  /** Method and path below `/v1`. */
  readonly alias: string
  /** Name of the action, also the tag of its counters. */
  readonly action: string
  /** Whether the endpoint has query values; otherwise any of them is refused. */
  readonly hasQuery?: boolean
  readonly toOperation: (input: RouteInput) => Result<ControlOperation>
  /** Read that is asked first; where it finds nothing, the operation creates something and is answered with 201. */
  readonly toLookup?: (input: RouteInput) => ControlOperation | undefined
  readonly toAnswer: (answer: ControlAnswer) => JsonAnswer
}

const QUEUE_LIMIT = 1000

function okJson (body: unknown): JsonAnswer {
  return { status: 200, body }
}

/** Drops the `kind` of an answer, which callers do not need. */
function withoutKind (answer: ControlAnswer): JsonAnswer {
  return okJson(Object.fromEntries(Object.entries(answer).filter(([name]) => name !== 'kind')))
}

function jobAnswer (answer: ControlAnswer): JsonAnswer {
  return okJson(answer.kind === 'job' ? answer.job : answer)
}

function withId (
  input: RouteInput,
  build: (id: string) => ControlOperation
): Result<ControlOperation> {
  const id = checkInput(pathIdentifierSchema, input.params.id, 'path.id')
  return id.ok ? succeed(build(id.value)) : id
}

function toSubmit (input: RouteInput): Result<ControlOperation> {
  const checked = checkInput(jobSchema, input.body, 'body')
  if (!checked.ok) return checked
  const spec: JobSpec = { ...checked.value, jobId: checked.value.jobId ?? v7() }
  return succeed({ kind: 'submit_job', spec })
}

/** Without a job ID there is nothing to look up, as the ID is made for this submission. */
function toJobLookup (input: RouteInput): ControlOperation | undefined {
  const checked = checkInput(jobSchema, input.body, 'body')
  if (!checked.ok || checked.value.jobId === undefined) return undefined
  return { kind: 'get_job', jobId: checked.value.jobId }
}

function toList (input: RouteInput): Result<ControlOperation> {
  const checked = checkInput(jobsQuerySchema, input.query, 'query')
  if (!checked.ok) return checked
  const { phase, organisation, limit } = checked.value
  return succeed({ kind: 'list_jobs', phase, organisationId: organisation, limit })
}

function toReport (input: RouteInput): Result<ControlOperation> {
  const checked = checkInput(workerReportSchema, input.body, 'body')
  if (!checked.ok) return checked
  return withId(input, workerId => ({ kind: 'report_worker', report: { ...checked.value, workerId } }))
}

function toChange (input: RouteInput): Result<ControlOperation> {
  const query = checkInput(changeQuerySchema, input.query, 'query')
  if (!query.ok) return query
  const change = checkInput(configurationChangeSchema, input.body, 'body')
  if (!change.ok) return change
  return succeed({ kind: 'apply_change', change: change.value, isDryRun: query.value.dryRun === 'true' })
}

function toDrain (input: RouteInput): Result<ControlOperation> {
  const drain = checkInput(drainSchema, input.body, 'body')
  return drain.ok ? succeed({ kind: 'drain', drain: drain.value }) : drain
}

function toUndrain (input: RouteInput): Result<ControlOperation> {
  const drain = checkInput(drainSchema, { kind: input.params.kind, id: input.params.id }, 'path')
  return drain.ok ? succeed({ kind: 'undrain', drain: drain.value }) : drain
}

function toClaim (input: RouteInput): Result<ControlOperation> {
  const { organisation, key } = input.params
  const id = checkInput(pathIdentifierSchema, organisation, 'path.organisation')
  if (!id.ok) return id
  if (key === undefined || key.length > 64) return fail('key_invalid', 'the key must be a UUID of version 7')
  return succeed({ kind: 'get_claim', organisationId: id.value, key })
}

function claimAnswer (answer: ControlAnswer): JsonAnswer {
  if (answer.kind !== 'claim') return okJson(answer)
  const { organisationId, key, state, answer: recorded } = answer.claim
  const body = recorded === null
    ? null
    : {
        status: recorded.status,
        contentType: recorded.contentType,
        body: Buffer.from(recorded.body).toString('base64')
      }
  return okJson({ organisationId, key, state, answer: body })
}

/** All endpoints that are answered by the control leader. */
export const controlRoutes: readonly ControlRoute[] = [
  { alias: 'POST /jobs', action: 'submitJob', toOperation: toSubmit, toLookup: toJobLookup, toAnswer: jobAnswer },
  { alias: 'GET /jobs', action: 'listJobs', hasQuery: true, toOperation: toList, toAnswer: withoutKind },
  {
    alias: 'GET /jobs/:id',
    action: 'getJob',
    toOperation: input => withId(input, jobId => ({ kind: 'get_job', jobId })),
    toAnswer: jobAnswer
  },
  {
    alias: 'DELETE /jobs/:id',
    action: 'cancelJob',
    toOperation: input => withId(input, jobId => ({ kind: 'cancel_job', jobId })),
    toAnswer: jobAnswer
  },
  {
    alias: 'GET /jobs/:id/explanation',
    action: 'explainJob',
    toOperation: input => withId(input, jobId => ({ kind: 'explain_job', jobId })),
    toAnswer: answer => okJson(answer.kind === 'explanation' ? answer.explanation : answer)
  },
  { alias: 'PUT /workers/:id', action: 'reportWorker', toOperation: toReport, toAnswer: withoutKind },
  {
    alias: 'DELETE /workers/:id',
    action: 'leaveWorker',
    toOperation: input => withId(input, workerId => ({ kind: 'leave_worker', workerId })),
    toAnswer: withoutKind
  },
  {
    alias: 'GET /configuration',
    action: 'getConfiguration',
    toOperation: () => succeed({ kind: 'get_configuration' }),
    toAnswer: withoutKind
  },
  {
    alias: 'GET /configuration/status',
    action: 'getConfigurationStatus',
    toOperation: () => succeed({ kind: 'get_configuration_status' }),
    toAnswer: answer => okJson(answer.kind === 'configuration_status' ? answer.status : answer)
  },
  {
    alias: 'POST /configuration/changes',
    action: 'applyChange',
    hasQuery: true,
    toOperation: toChange,
    toAnswer: withoutKind
  },
  {
    alias: 'GET /fleet',
    action: 'getFleet',
    toOperation: () => succeed({ kind: 'get_fleet' }),
    toAnswer: withoutKind
  },
  {
    alias: 'GET /queue',
    action: 'getQueue',
    toOperation: () => succeed({ kind: 'list_jobs', phase: 'waiting', limit: QUEUE_LIMIT }),
    toAnswer: withoutKind
  },
  {
    alias: 'GET /guarantees',
    action: 'getGuarantees',
    toOperation: () => succeed({ kind: 'get_fleet' }),
    toAnswer: answer => okJson({ guarantees: answer.kind === 'fleet' ? answer.report.guarantees : [] })
  },
  { alias: 'POST /drains', action: 'drain', toOperation: toDrain, toAnswer: withoutKind },
  { alias: 'DELETE /drains/:kind/:id', action: 'undrain', toOperation: toUndrain, toAnswer: withoutKind },
  { alias: 'GET /claims/:organisation/:key', action: 'getClaim', toOperation: toClaim, toAnswer: claimAnswer }
]
