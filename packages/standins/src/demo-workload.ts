/** What the demo asks of the system: gang jobs and short requests, each with its check. */
import { setTimeout as delay } from 'node:timers/promises'
import type { ErrorBody, JobSpec } from '@comfreygrade/core'
import {
  ClientError, type JobAnswer, type NodeClient, type ShortRequest, type ShortRequestAnswer, uuidV7
} from '@comfreygrade/cli'
import type { StandInBackendServer } from './backend-server.js'
import { waitFor } from './waiting.js'

/** Longest wait for all jobs of the demo. */
const JOBS_LIMIT_MS = 60_000

/** How long a request is repeated as its refusals advise, for example until each entry node knows the servers. */
const REQUEST_LIMIT_MS = 15_000

/** Requests of each kind. */
const REQUESTS = 60

const ORGANISATIONS = ['universidad-norte', 'universidad-sur', 'instituto-costa', 'escuela-tecnica'] as const

const SMALL_JOB: Omit<JobSpec, 'jobId'> = {
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

const RECONCILIATION: Omit<JobSpec, 'jobId'> = {
  ...SMALL_JOB,
  organisationId: 'universidad-norte',
  jobClass: 'reconciliation',
  tasks: 2,
  acceleratorsPerTask: 8,
  adjacency: 'rack',
  declaredRunMs: 4_000,
  preemption: 'checkpoint'
}

/** Jobs in order of submission; `audit-1` needs the whole fleet, so it has to wait for the others. */
export const demoJobs: readonly JobSpec[] = [
  { ...RECONCILIATION, jobId: 'reconciliation-1' },
  { ...RECONCILIATION, jobId: 'reconciliation-2', organisationId: 'universidad-sur' },
  { ...SMALL_JOB, jobId: 'page-count-1' },
  { ...SMALL_JOB, jobId: 'page-count-2', organisationId: 'instituto-costa' },
  { ...RECONCILIATION, jobId: 'audit-1', jobClass: 'audit', tasks: 6, adjacency: 'none', declaredRunMs: 2_000 }
]

/** Run times of the stand-in workers by job class. */
export const demoRunMs: Readonly<Record<string, number>> = { reconciliation: 5_000, 'page-count': 4_000, audit: 1_500 }

/** Job whose explanation is shown while it waits. */
export const WAITING_JOB_ID = 'audit-1'

/**
 * Submits the jobs and waits until all but the last are placed.
 *
 * @example
 * const placed = await submitDemoJobs(client)
 */
export async function submitDemoJobs (client: NodeClient): Promise<readonly JobAnswer[]> {
  for (const job of demoJobs) await client.submitJob(job)
  return await waitFor('the first jobs to run', JOBS_LIMIT_MS, async () => {
    const { jobs } = await client.jobs()
    const isStarted = ({ spec, phase }: JobAnswer) => spec.jobId === WAITING_JOB_ID || phase === 'running' || phase === 'ended'
    return jobs.length === demoJobs.length && jobs.every(isStarted) ? jobs : undefined
  })
}

/** Waits until every job has completed; a job that ended otherwise is an error. */
export async function awaitDemoJobs (client: NodeClient): Promise<readonly JobAnswer[]> {
  const jobs = await waitFor('all jobs to end', JOBS_LIMIT_MS, async () => {
    const answer = await client.jobs()
    return answer.jobs.every(({ phase }) => phase === 'ended') ? answer.jobs : undefined
  })
  const wrong = jobs.filter(({ outcome }) => outcome !== 'completed')
  if (wrong.length > 0) throw new Error(`jobs that did not complete: ${JSON.stringify(wrong)}`)
  return jobs
}

/** What the short requests of the demo led to. */
export interface RequestSummary {
  readonly idempotentAnswers: number
  readonly nonRepeatableAnswers: number
  readonly replayedAnswers: number
  readonly executionsOfNonRepeatable: number
}

/**
 * Sends idempotent and non-repeatable requests, then each non-repeatable one again with the same key, and checks that
 * every caller got its own answer and that no key was executed twice.
 *
 * @example
 * const summary = await sendDemoRequests(clients, servers)
 */
export async function sendDemoRequests (
  clients: readonly NodeClient[], servers: readonly StandInBackendServer[]
): Promise<RequestSummary> {
  const numbers = Array.from({ length: REQUESTS }, (_, index) => index)
  const keys = numbers.map(() => uuidV7(Date.now()))
  const sendAll = async (keyOf: (index: number) => string | undefined) => (
    await Promise.all(numbers.map(async index => await sendOne(clients, index, keyOf(index)))))
  const idempotent = await sendAll(() => undefined)
  const first = await sendAll(index => keys[index])
  const repeated = await sendAll(index => keys[index])
  const executions = servers.flatMap(server => server.executions).filter(({ idempotencyKey }) => idempotencyKey !== '')
  if (new Set(executions.map(({ idempotencyKey }) => idempotencyKey)).size !== executions.length) {
    throw new Error('a non-repeatable request was executed twice')
  }
  if (executions.length !== REQUESTS) {
    throw new Error(`${REQUESTS} non-repeatable requests were answered, ${executions.length} executed`)
  }
  return {
    idempotentAnswers: idempotent.length,
    nonRepeatableAnswers: first.length,
    replayedAnswers: repeated.filter(({ claim }) => claim === 'replayed').length,
    executionsOfNonRepeatable: executions.length
  }
}

async function sendOne (
  clients: readonly NodeClient[], index: number, idempotencyKey: string | undefined
): Promise<ShortRequestAnswer> {
  const client = clients[index % clients.length]
  const organisationId = ORGANISATIONS[index % ORGANISATIONS.length]
  if (client === undefined || organisationId === undefined) throw new Error('no entry node to send to')
  const body = Buffer.from(`page ${index}`)
  const repeatability = idempotencyKey === undefined ? 'idempotent' : 'non-repeatable'
  const request = { service: 'charge', organisationId, repeatability, body, contentType: 'text/plain', idempotencyKey } as const
  const answer = await sendAsAdvised(client, request)
  if (answer.status !== 200 || !answer.body.equals(body)) {
    throw new Error(`request ${index} was answered with status ${answer.status} and another body`)
  }
  return answer
}

/** Repeats a refused request where its refusal says so; the same key makes every repeat of a keyed request safe. */
async function sendAsAdvised (client: NodeClient, request: ShortRequest): Promise<ShortRequestAnswer> {
  const endsMs = performance.now() + REQUEST_LIMIT_MS
  for (;;) {
    try {
      return await client.sendRequest(request)
    } catch (error) {
      const refusal = error instanceof ClientError && error.problem.kind === 'refused' ? error.problem.body : undefined
      if (refusal === undefined || !mayRepeat(refusal, request) || performance.now() > endsMs) throw error
      await delay(refusal.retryAfterMs)
    }
  }
}

function mayRepeat ({ repeat }: ErrorBody, { idempotencyKey }: ShortRequest): boolean {
  return repeat === 'now' || repeat === 'later' || (repeat === 'ask_outcome' && idempotencyKey !== undefined)
}
