import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import { createConnection, type Socket } from 'node:net'
import test, { type ExecutionContext } from 'ava'
import { defaultRules, fail, succeed } from '@comfreygrade/core'
import type { ControlOperation, ControlResult, JobView } from '@comfreygrade/control'
import { request } from 'undici'
import { EntryApplication, listen, startApi, until } from './http-fixture.js'

interface Answer { status: number, headers: Record<string, unknown>, body: Record<string, unknown> }

interface Entry {
  readonly application: EntryApplication
  readonly url: string
  send (method: 'GET' | 'POST' | 'PUT' | 'DELETE', path: string, body?: unknown, headers?: object): Promise<Answer>
}

async function startEntry (t: ExecutionContext): Promise<Entry> {
  const application = new EntryApplication()
  const { api, url } = await startApi(application)
  t.teardown(async () => {
    await api.stop()
    await application.backendClient.close()
  })
  return {
    application,
    url,
    async send (method, path, body, headers = {}) {
      const text = body === undefined ? undefined : JSON.stringify(body)
      const response = await request(`${url}${path}`, { method, body: text, headers: { ...headers } })
      const answer = await response.body.json() as Record<string, unknown>
      return { status: response.statusCode, headers: response.headers, body: answer }
    }
  }
}

/** Announces a backend server of `billing`. */
async function announce (entry: Entry, port: number, slots = 4): Promise<void> {
  const answer = await entry.send('PUT', '/v1/backend-servers/b1', {
    incarnation: 1,
    sequence: 1,
    address: `http://127.0.0.1:${port}`,
    region: 'r',
    availabilityZone: 'z',
    services: ['billing'],
    slots,
    connections: 4
  })
  if (answer.status !== 200) throw new Error(JSON.stringify(answer.body))
}

const path = '/v1/services/billing/requests'
const caller = { 'comfreygrade-organisation': 'o1' }

const spec = {
  organisationId: 'o1', tasks: 2, acceleratorModel: 'gpu', acceleratorsPerTask: 1, declaredRunMs: 1000
}

/** Control that creates each job once. */
function createJobs (): (operation: ControlOperation) => ControlResult {
  const jobs = new Map<string, JobView>()
  return operation => {
    if (operation.kind === 'get_job') {
      const job = jobs.get(operation.jobId)
      return job === undefined ? fail('not_found', 'no such job') : succeed({ kind: 'job', job })
    }
    if (operation.kind !== 'submit_job') return fail('internal_error', operation.kind)
    const job: JobView = jobs.get(operation.spec.jobId) ?? {
      spec: operation.spec,
      phase: 'waiting',
      outcome: null,
      placement: null,
      starts: 0,
      detail: '',
      submittedLogMs: 1,
      changedLogMs: 1
    }
    jobs.set(operation.spec.jobId, job)
    return succeed({ kind: 'job', job })
  }
}

/** A caller that has sent its whole request; `destroy` makes it go away. */
function sendRaw (url: string, headers = ''): Socket {
  const socket = createConnection({ host: '127.0.0.1', port: Number(new URL(url).port) })
  socket.write(`POST ${path} HTTP/1.1\r\nhost: x\r\ncomfreygrade-organisation: o1\r\n${headers}content-length: 1\r\n\r\nx`)
  return socket
}

/** Backend server that answers when it is told to. */
async function listenHeld (t: ExecutionContext) {
  const held: ServerResponse[] = []
  const backend = await listen((req, res) => {
    req.resume()
    held.push(res)
  })
  t.teardown(() => { backend.close() })
  return { port: backend.port, held }
}

test('a caller that goes away ends its waiting request, so that abandoned work takes no slot', async t => {
  const { port, held } = await listenHeld(t)
  const entry = await startEntry(t)
  await announce(entry, port, 1)
  const { requests } = entry.application
  const first = sendRaw(entry.url)
  await until(() => held.length === 1)
  const second = sendRaw(entry.url)
  await until(() => requests.openRequests === 2)
  second.destroy()
  await until(() => requests.openRequests === 1)
  held[0]?.end('done')
  await until(() => requests.openRequests === 0)
  t.is(held.length, 1)
  first.destroy()
})

test('a request that runs goes on when its caller goes away, so that its claim records what was done', async t => {
  const { port, held } = await listenHeld(t)
  const entry = await startEntry(t)
  await announce(entry, port, 1)
  const { application } = entry
  const key = '0193a5e0-7c00-7d0a-8f3e-2b1c4d5e6f70'
  const claim = { organisationId: 'o1', key, state: 'pending' as const, answer: null }
  application.answerControl = () => succeed({ kind: 'claim', granted: true, claim })
  const socket = sendRaw(entry.url, `idempotency-key: ${key}\r\n`)
  await until(() => held.length === 1)
  socket.destroy()
  await once(socket, 'close')
  held[0]?.end('done')
  await until(() => application.asked.length === 2)
  t.like(application.asked[1], { kind: 'settle_claim', key, state: 'completed', answer: { body: Buffer.from('done') } })
  t.is(held.length, 1)
})

test('a backend server that deletes itself is leaving and gets no new request', async t => {
  let received = 0
  const backend = await listen((_req, res) => {
    received++
    res.end('done')
  })
  t.teardown(() => { backend.close() })
  const entry = await startEntry(t)
  await announce(entry, backend.port)
  const left = await entry.send('DELETE', '/v1/backend-servers/b1')
  t.like(left, { status: 200, body: { state: 'leaving' } })
  t.is(entry.application.backendServers()[0]?.state, 'leaving')
  const refused = await entry.send('POST', path, 'x', { ...caller, 'comfreygrade-deadline-ms': '200' })
  t.like(refused.body, { outcome: 'not_run' })
  t.is(received, 0)
})

test('the leave of an unknown backend server is refused, so that it asks another node', async t => {
  const entry = await startEntry(t)
  t.like(await entry.send('DELETE', '/v1/backend-servers/b9'), { status: 404, body: { error: 'not_found' } })
})

test('a deadline out of range is refused instead of being cut to the range', async t => {
  const entry = await startEntry(t)
  const { maxDeadlineMs } = defaultRules
  for (const deadline of ['0', '-5', '1.5', '', '1e400', String(maxDeadlineMs + 1)]) {
    const headers = { ...caller, 'comfreygrade-deadline-ms': deadline }
    const { status, body } = await entry.send('POST', path, 'x', headers)
    t.like({ status, ...body }, { status: 400, error: 'invalid_request', outcome: 'not_run' }, deadline)
    t.regex(String(body.detail), new RegExp(`from 1 to ${maxDeadlineMs}`))
  }
  const longest = { ...caller, 'comfreygrade-deadline-ms': String(maxDeadlineMs) }
  t.is((await entry.send('POST', path, 'x', longest)).body.error, 'no_backend_server')
})

test('a drain and its end reach control with kind and ID, and a wrong kind does not', async t => {
  const entry = await startEntry(t)
  entry.application.answerControl = () => succeed({ kind: 'done' })
  t.like(await entry.send('POST', '/v1/drains', { kind: 'worker', id: 'w1' }), { status: 200, body: {} })
  t.is((await entry.send('DELETE', '/v1/drains/worker/w1')).status, 200)
  t.deepEqual(entry.application.asked, [
    { kind: 'drain', drain: { kind: 'worker', id: 'w1' } }, { kind: 'undrain', drain: { kind: 'worker', id: 'w1' } }
  ])
  t.like(await entry.send('POST', '/v1/drains', { kind: 'rack', id: 'r1' }), { status: 400 })
  t.like(await entry.send('DELETE', '/v1/drains/rack/r1'), { status: 400 })
  t.is(entry.application.asked.length, 2)
})

test('a drained node fails its health check and refuses new requests, so that callers go to another node', async t => {
  const entry = await startEntry(t)
  t.like(await entry.send('GET', '/v1/health'), { status: 200, body: { state: 'serving' } })
  entry.application.isDrained = true
  t.like(await entry.send('GET', '/v1/health'), { status: 503, body: { state: 'drained' } })
  const { status, body } = await entry.send('POST', path, 'x', caller)
  t.like({ status, ...body }, { status: 503, error: 'shutting_down', outcome: 'not_run', repeat: 'now' })
})

test('a node without a configuration lease fails its health check, so that a restart sends no caller to a refusal', async t => {
  const entry = await startEntry(t)
  entry.application.isConfigurationStale = true
  const health = await entry.send('GET', '/v1/health')
  t.like(health, { status: 503, body: { state: 'serving', hasConfigurationLease: false } })
})

test('a new job is answered with 201 and a resend with 200, so that a caller sees whether it created one', async t => {
  const entry = await startEntry(t)
  entry.application.answerControl = createJobs()
  t.is((await entry.send('POST', '/v1/jobs', { ...spec, jobId: 'j1' })).status, 201)
  t.is((await entry.send('POST', '/v1/jobs', { ...spec, jobId: 'j1' })).status, 200)
  t.is((await entry.send('POST', '/v1/jobs', spec)).status, 201)
  entry.application.answerControl = () => fail('control_unavailable', 'no control leader')
  t.like(await entry.send('POST', '/v1/jobs', { ...spec, jobId: 'j2' }),
    { status: 503, body: { error: 'control_unavailable', outcome: 'not_run' } })
})

test('a wrong method is told apart from a wrong path, so that a client sees which of them to mend', async t => {
  const entry = await startEntry(t)
  const jobs = await entry.send('DELETE', '/v1/jobs')
  t.like(jobs, { status: 405, headers: { allow: 'POST, GET' }, body: { error: 'method_not_allowed' } })
  t.like(await entry.send('GET', path), { status: 405, headers: { allow: 'POST' } })
  t.like(await entry.send('GET', '/v1/jobs/a/b'), { status: 404, body: { error: 'not_found' } })
})

test('a query value that an endpoint does not have is refused, so that a misspelt filter is never ignored', async t => {
  const entry = await startEntry(t)
  for (const url of ['/v1/fleet?phase=running', '/v1/jobs?phaze=running', '/v1/queue?limit=1']) {
    t.like(await entry.send('GET', url), { status: 400, body: { error: 'unknown_field' } }, url)
  }
  t.like(await entry.send('POST', `${path}?deadlineMs=5`, 'x', caller), { status: 400, body: { error: 'unknown_field' } })
})

test('the content type of a request reaches the backend server, so that it can read the body', async t => {
  const types: unknown[] = []
  const backend = await listen((req, res) => {
    types.push(req.headers['content-type'])
    req.resume().on('end', () => { res.end('"done"') })
  })
  t.teardown(() => { backend.close() })
  const entry = await startEntry(t)
  await announce(entry, backend.port)
  await entry.send('POST', path, 'x', { ...caller, 'content-type': 'text/csv; charset=utf-8' })
  await entry.send('POST', path, 'x', caller)
  t.deepEqual(types, ['text/csv; charset=utf-8', 'application/octet-stream'])
})

test('a recorded answer is given in base64 under its documented name', async t => {
  const entry = await startEntry(t)
  const claim = { organisationId: 'o1', key: 'k', state: 'completed' as const }
  const answer = { status: 200, contentType: 'text/plain', body: Buffer.from('12 pages') }
  entry.application.answerControl = () => succeed({ kind: 'claim', granted: false, claim: { ...claim, answer } })
  const { body } = await entry.send('GET', '/v1/claims/o1/0193a5e0-7c00-7d0a-8f3e-2b1c4d5e6f70')
  const recorded = { status: 200, contentType: 'text/plain', body: Buffer.from('12 pages').toString('base64') }
  t.deepEqual(body, { ...claim, answer: recorded })
})

test('a refusal by the router or by control is counted once, so that rates of refusals are true', async t => {
  const entry = await startEntry(t)
  t.is((await entry.send('POST', path, 'x', caller)).body.error, 'no_backend_server')
  t.is((await entry.send('GET', '/v1/jobs')).body.error, 'control_unavailable')
  t.like(entry.application.metrics.snapshot(), {
    'refusal{kind=no_backend_server}': 1, 'refusal{kind=control_unavailable}': 1
  })
})
