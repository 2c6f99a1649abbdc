/** Maps HTTP endpoints for callers, workers and operators to operations on the control leader. */
import { v7 } from 'uuid'
import { configurationChangeSchema, fail, succeed, type JobSpec, type Result } from '@comfreygrade/core'
import type { ControlAnswer, ControlOperation } from '@comfreygrade/control'
import {
  changeQuerySchema, checkInput, drainSchema, jobSchema, jobsQuerySchema, identifierSchema, workerReportSchema
} from './http-schemas.js'

/** Parts of a request that an endpoint reads. */
export interface RouteInput {
  readonly params: Readonly<Record<string, string>>
  readonly query: Readonly<Record<string, unknown>>
  readonly body: unknown
}

/** HTTP status and JSON body of an answer. */
export interface JsonAnswer {
  readonly status: number
  readonly body: unknown
}

/** An endpoint that executes an operation on the control leader. */
export interface ControlRoute {
  /** Method and path below `/v1`. */
  readonly alias: string
  /** Name of the moleculer action. */
  readonly action: string
  /** Whether the endpoint takes query parameters; otherwise a request with any of them is refused. */
  readonly hasQuery?: boolean
  readonly toOperation: (input: RouteInput) => Result<ControlOperation>
  /** Lookup that is executed first; if it finds nothing, the operation creates the resource and the status is 201. */
  readonly toLookup?: (input: RouteInput) => ControlOperation | undefined
  readonly toAnswer: (answer: ControlAnswer) => JsonAnswer
}

/** `GET /v1/queue` lists at most this many waiting jobs and omits the others without notice. */
const MAX_QUEUE_JOBS = 1000

function createOkAnswer (body: unknown): JsonAnswer {
  return { status: 200, body }
}

/** Omits `kind`, which is not part of the HTTP answer. */
function toAnswerWithoutKind (answer: ControlAnswer): JsonAnswer {
  return createOkAnswer(Object.fromEntries(Object.entries(answer).filter(([name]) => name !== 'kind')))
}

function toJobAnswer (answer: ControlAnswer): JsonAnswer {
  return createOkAnswer(answer.kind === 'job' ? answer.job : answer)
}

function createOperationForId (
  input: RouteInput,
  build: (id: string) => ControlOperation
): Result<ControlOperation> {
  const id = checkInput(identifierSchema, input.params.id, 'path.id')
  return id.ok ? succeed(build(id.value)) : id
}

function toSubmitOperation (input: RouteInput): Result<ControlOperation> {
  const checked = checkInput(jobSchema, input.body, 'body')
  if (!checked.ok) return checked
  const spec: JobSpec = { ...checked.value, jobId: checked.value.jobId ?? v7() }
  return succeed({ kind: 'submit_job', spec })
}

/** A body without a job ID needs no lookup, as it is submitted under a new ID. */
function toJobLookup (input: RouteInput): ControlOperation | undefined {
  const checked = checkInput(jobSchema, input.body, 'body')
  if (!checked.ok || checked.value.jobId === undefined) return undefined
  return { kind: 'get_job', jobId: checked.value.jobId }
}

function toListOperation (input: RouteInput): Result<ControlOperation> {
  const checked = checkInput(jobsQuerySchema, input.query, 'query')
  if (!checked.ok) return checked
  const { phase, organisation, limit } = checked.value
  return succeed({ kind: 'list_jobs', phase, organisationId: organisation, limit })
}

function toReportOperation (input: RouteInput): Result<ControlOperation> {
  const checked = checkInput(workerReportSchema, input.body, 'body')
  if (!checked.ok) return checked
  return createOperationForId(input, workerId => ({ kind: 'report_worker', report: { ...checked.value, workerId } }))
}

function toChangeOperation (input: RouteInput): Result<ControlOperation> {
  const query = checkInput(changeQuerySchema, input.query, 'query')
  if (!query.ok) return query
  const change = checkInput(configurationChangeSchema, input.body, 'body')
  if (!change.ok) return change
  return succeed({ kind: 'apply_change', change: change.value, isDryRun: query.value.dryRun === 'true' })
}

function toDrainOperation (input: RouteInput): Result<ControlOperation> {
  const drain = checkInput(drainSchema, input.body, 'body')
  return drain.ok ? succeed({ kind: 'drain', drain: drain.value }) : drain
}

function toUndrainOperation (input: RouteInput): Result<ControlOperation> {
  const drain = checkInput(drainSchema, { kind: input.params.kind, id: input.params.id }, 'path')
  return drain.ok ? succeed({ kind: 'undrain', drain: drain.value }) : drain
}

/** Checks only the length of the key; the control leader checks the form of a key without a claim. */
function toClaimOperation (input: RouteInput): Result<ControlOperation> {
  const { organisation, key } = input.params
  const id = checkInput(identifierSchema, organisation, 'path.organisation')
  if (!id.ok) return id
  if (key === undefined || key.length > 64) return fail('key_invalid', 'the key must be a UUID of version 7')
  return succeed({ kind: 'get_claim', organisationId: id.value, key })
}

function toClaimAnswer (answer: ControlAnswer): JsonAnswer {
  if (answer.kind !== 'claim') return createOkAnswer(answer)
  const { organisationId, key, state, answer: recorded } = answer.claim
  const body = recorded === null
    ? null
    : {
        status: recorded.status,
        contentType: recorded.contentType,
        body: Buffer.from(recorded.body).toString('base64')
      }
  return createOkAnswer({ organisationId, key, state, answer: body })
}

/** All endpoints that execute operations on the control leader. */
export const controlRoutes: readonly ControlRoute[] = [
  { alias: 'POST /jobs', action: 'submitJob', toOperation: toSubmitOperation, toLookup: toJobLookup, toAnswer: toJobAnswer },
  { alias: 'GET /jobs', action: 'listJobs', hasQuery: true, toOperation: toListOperation, toAnswer: toAnswerWithoutKind },
  {
    alias: 'GET /jobs/:id',
    action: 'getJob',
    toOperation: input => createOperationForId(input, jobId => ({ kind: 'get_job', jobId })),
    toAnswer: toJobAnswer
  },
  {
    alias: 'DELETE /jobs/:id',
    action: 'cancelJob',
    toOperation: input => createOperationForId(input, jobId => ({ kind: 'cancel_job', jobId })),
    toAnswer: toJobAnswer
  },
  {
    alias: 'GET /jobs/:id/explanation',
    action: 'explainJob',
    toOperation: input => createOperationForId(input, jobId => ({ kind: 'explain_job', jobId })),
    toAnswer: answer => createOkAnswer(answer.kind === 'explanation' ? answer.explanation : answer)
  },
  { alias: 'PUT /workers/:id', action: 'reportWorker', toOperation: toReportOperation, toAnswer: toAnswerWithoutKind },
  {
    alias: 'DELETE /workers/:id',
    action: 'leaveWorker',
    toOperation: input => createOperationForId(input, workerId => ({ kind: 'leave_worker', workerId })),
    toAnswer: toAnswerWithoutKind
  },
  {
    alias: 'GET /configuration',
    action: 'getConfiguration',
    toOperation: () => succeed({ kind: 'get_configuration' }),
    toAnswer: toAnswerWithoutKind
  },
  {
    alias: 'GET /configuration/status',
    action: 'getConfigurationStatus',
    toOperation: () => succeed({ kind: 'get_configuration_status' }),
    toAnswer: answer => createOkAnswer(answer.kind === 'configuration_status' ? answer.status : answer)
  },
  {
    alias: 'POST /configuration/changes',
    action: 'applyChange',
    hasQuery: true,
    toOperation: toChangeOperation,
    toAnswer: toAnswerWithoutKind
  },
  {
    alias: 'GET /fleet',
    action: 'getFleet',
    toOperation: () => succeed({ kind: 'get_fleet' }),
    toAnswer: toAnswerWithoutKind
  },
  {
    alias: 'GET /queue',
    action: 'getQueue',
    toOperation: () => succeed({ kind: 'list_jobs', phase: 'waiting', limit: MAX_QUEUE_JOBS }),
    toAnswer: toAnswerWithoutKind
  },
  {
    alias: 'GET /guarantees',
    action: 'getGuarantees',
    toOperation: () => succeed({ kind: 'get_fleet' }),
    toAnswer: answer => createOkAnswer({ guarantees: answer.kind === 'fleet' ? answer.report.guarantees : [] })
  },
  { alias: 'POST /drains', action: 'drain', toOperation: toDrainOperation, toAnswer: toAnswerWithoutKind },
  { alias: 'DELETE /drains/:kind/:id', action: 'undrain', toOperation: toUndrainOperation, toAnswer: toAnswerWithoutKind },
  { alias: 'GET /claims/:organisation/:key', action: 'getClaim', toOperation: toClaimOperation, toAnswer: toClaimAnswer }
]
