/** Workload of the demo: gang jobs and short requests, with checks of their results. */
import type { ErrorBody, JobSpec } from '@comfreygrade/core'
import {
  ClientError, type JobResponse, type NodeClient, type ShortRequest, type ShortRequestResponse, uuidV7
} from '@comfreygrade/cli'
import { pause } from '@comfreygrade/timers'
import type { StandInBackendServer } from './backend-server.js'
import { waitFor } from './waiting.js'

const JOBS_TIMEOUT_MS = 60_000

/** Limit for retries of a refused request, for example until its entry node knows the backend servers. */
const REQUEST_RETRY_TIMEOUT_MS = 15_000

/** The kinds are idempotent, non-repeatable, and repeated with the same key. */
const REQUESTS_PER_KIND = 60

const ORGANISATIONS = ['universidad-norte', 'universidad-sur', 'instituto-costa', 'escuela-tecnica'] as const

const PAGE_COUNT_JOB: Omit<JobSpec, 'jobId'> = {
  organisationId: 'escuela-tecnica',
  jobClass: 'page-count',
  tasks: 1,
  acceleratorModel: 'gpu-a',
  acceleratorsPerTask: 4,
  coresPerTask: 8,
  memoryGbPerTask: 16,
  adjacency: 'none',
  declaredRunMs: 2_000,
  priority: 'normal',
  preemption: 'repeat'
}

const RECONCILIATION_JOB: Omit<JobSpec, 'jobId'> = {
  ...PAGE_COUNT_JOB,
  organisationId: 'universidad-norte',
  jobClass: 'reconciliation',
  tasks: 2,
  acceleratorsPerTask: 8,
  adjacency: 'rack',
  declaredRunMs: 4_000,
  preemption: 'checkpoint'
}

/** Jobs in order of submission; `audit-1` needs the whole fleet, so it waits until the others have ended. */
export const demoJobs: readonly JobSpec[] = [
  { ...RECONCILIATION_JOB, jobId: 'reconciliation-1' },
  { ...RECONCILIATION_JOB, jobId: 'reconciliation-2', organisationId: 'universidad-sur' },
  { ...PAGE_COUNT_JOB, jobId: 'page-count-1' },
  { ...PAGE_COUNT_JOB, jobId: 'page-count-2', organisationId: 'instituto-costa' },
  { ...RECONCILIATION_JOB, jobId: 'audit-1', jobClass: 'audit', tasks: 6, adjacency: 'none', declaredRunMs: 2_000 }
]

/** Run times of tasks on the stand-in workers by job class. */
export const demoRunMsByClass: Readonly<Record<string, number>> = { reconciliation: 5_000, 'page-count': 4_000, audit: 1_500 }

/** Job whose explanation is shown while it waits. */
export const WAITING_JOB_ID = 'audit-1'

/**
 * Submits the jobs and waits until all but the waiting one run or have ended.
 *
 * @example
 * const placed = await submitDemoJobs(client)
 */
export async function submitDemoJobs (client: NodeClient): Promise<readonly JobResponse[]> {
  for (const job of demoJobs) await client.submitJob(job)
  return await waitFor('the first jobs to run', JOBS_TIMEOUT_MS, async () => {
    const { jobs } = await client.jobs()
    const isStarted = ({ spec, phase }: JobResponse) => spec.jobId === WAITING_JOB_ID || phase === 'running' || phase === 'ended'
    return jobs.length === demoJobs.length && jobs.every(isStarted) ? jobs : undefined
  })
}

/** Waits until every job has ended; rejects if one did not complete. */
export async function waitForDemoJobs (client: NodeClient): Promise<readonly JobResponse[]> {
  const jobs = await waitFor('all jobs to end', JOBS_TIMEOUT_MS, async () => {
    const response = await client.jobs()
    return response.jobs.every(({ phase }) => phase === 'ended') ? response.jobs : undefined
  })
  const notCompleted = jobs.filter(({ outcome }) => outcome !== 'completed')
  if (notCompleted.length > 0) throw new Error(`jobs that did not complete: ${JSON.stringify(notCompleted)}`)
  return jobs
}

/** Counts of the demo's short requests, printed under these names; an answer is a response with status 200. */
export interface RequestSummary {
  readonly idempotentAnswers: number
  readonly nonRepeatableAnswers: number
  readonly replayedAnswers: number
  readonly executionsOfNonRepeatable: number
}

/**
 * Sends idempotent and non-repeatable requests, then each non-repeatable one again with the same key. Checks that every
 * response echoes the body of its own request and that no key was executed twice.
 *
 * @example
 * const summary = await sendDemoRequests(clients, servers)
 */
export async function sendDemoRequests (
  clients: readonly NodeClient[], servers: readonly StandInBackendServer[]
): Promise<RequestSummary> {
  const indexes = Array.from({ length: REQUESTS_PER_KIND }, (_, index) => index)
  const keys = indexes.map(() => uuidV7(Date.now()))
  const sendAll = async (keyOf: (index: number) => string | undefined) => (
    await Promise.all(indexes.map(async index => await sendDemoRequest(clients, index, keyOf(index)))))
  const idempotent = await sendAll(() => undefined)
  const first = await sendAll(index => keys[index])
  const repeated = await sendAll(index => keys[index])
  const executions = servers.flatMap(server => server.executions).filter(({ idempotencyKey }) => idempotencyKey !== '')
  if (new Set(executions.map(({ idempotencyKey }) => idempotencyKey)).size !== executions.length) {
    throw new Error('a non-repeatable request was executed twice')
  }
  if (executions.length !== REQUESTS_PER_KIND) {
    throw new Error(`${REQUESTS_PER_KIND} non-repeatable requests got a response, but ${executions.length} were executed`)
  }
  return {
    idempotentAnswers: idempotent.length,
    nonRepeatableAnswers: first.length,
    replayedAnswers: repeated.filter(({ claim }) => claim === 'replayed').length,
    executionsOfNonRepeatable: executions.length
  }
}

async function sendDemoRequest (
  clients: readonly NodeClient[], index: number, idempotencyKey: string | undefined
): Promise<ShortRequestResponse> {
  const client = clients[index % clients.length]
  const organisationId = ORGANISATIONS[index % ORGANISATIONS.length]
  if (client === undefined || organisationId === undefined) throw new Error('no entry node to send the request to')
  const body = Buffer.from(`page ${index}`)
  const repeatability = idempotencyKey === undefined ? 'idempotent' : 'non-repeatable'
  const request = { service: 'charge', organisationId, repeatability, body, contentType: 'text/plain', idempotencyKey } as const
  const response = await sendWithRetries(client, request)
  if (response.status !== 200 || !response.body.equals(body)) {
    throw new Error(`request ${index}: status ${response.status} or a body that differs from the request's`)
  }
  return response
}

/** Retries a refused request as its refusal allows; an idempotency key makes every retry of its request safe. */
async function sendWithRetries (client: NodeClient, request: ShortRequest): Promise<ShortRequestResponse> {
  const retryUntilMs = performance.now() + REQUEST_RETRY_TIMEOUT_MS
  for (;;) {
    try {
      return await client.sendRequest(request)
    } catch (error) {
      const refusal = error instanceof ClientError && error.problem.kind === 'refused' ? error.problem.body : undefined
      if (refusal === undefined || !isRetryable(refusal, request) || performance.now() > retryUntilMs) throw error
      await pause(refusal.retryAfterMs)
    }
  }
}

function isRetryable ({ repeat }: ErrorBody, { idempotencyKey }: ShortRequest): boolean {
  return repeat === 'now' || repeat === 'later' || (repeat === 'ask_outcome' && idempotencyKey !== undefined)
}
