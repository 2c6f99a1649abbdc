import { once } from 'node:events'
import type { ServerResponse } from 'node:http'
import { createConnection, type Socket } from 'node:net'
import test, { type ExecutionContext } from 'ava'
import { defaultRules, fail, succeed } from '@comfreygrade/core'
import type { ControlOperation, ControlResult, JobView } from '@comfreygrade/control'
import { request } from 'undici'
import { EntryApplication, listen, startHttpApi, waitUntil } from './fixture.js'

interface Answer { status: number, headers: Record<string, unknown>, body: Record<string, unknown> }

interface EntryNode {
  readonly application: EntryApplication
  readonly url: string
  send (method: 'GET' | 'POST' | 'PUT' | 'DELETE', path: string, body?: unknown, headers?: object): Promise<Answer>
}

async function startEntryNode (t: ExecutionContext): Promise<EntryNode> {
  const application = new EntryApplication()
  const { api, url } = await startHttpApi(application)
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

/** Announces a backend server for the service `billing`. */
async function announce (entry: EntryNode, port: number, slots = 4): Promise<void> {
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

const REQUESTS_PATH = '/v1/services/billing/requests'
const CALLER_HEADERS = { 'comfreygrade-organisation': 'o1' }

const JOB_BODY = {
  organisationId: 'o1', tasks: 2, acceleratorModel: 'gpu', acceleratorsPerTask: 1, declaredRunMs: 1000
}

/** Fake control leader that creates each job once. */
function createJobControl (): (operation: ControlOperation) => ControlResult {
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

/** Sends a complete request on a socket of its own; destroying the socket disconnects the caller. */
function sendRawRequest (url: string, headers = ''): Socket {
  const socket = createConnection({ host: '127.0.0.1', port: Number(new URL(url).port) })
  socket.write(`POST ${REQUESTS_PATH} HTTP/1.1\r\nhost: x\r\ncomfreygrade-organisation: o1\r\n${headers}content-length: 1\r\n\r\nx`)
  return socket
}

/** Starts a backend server whose requests are held until the test answers them. */
async function startHeldBackend (t: ExecutionContext) {
  const held: ServerResponse[] = []
  const backend = await listen((req, res) => {
    req.resume()
    held.push(res)
  })
  t.teardown(() => { backend.close() })
  return { port: backend.port, held }
}

test('a queued request is cancelled when its caller disconnects, so that it takes no slot', async t => {
  const { port, held } = await startHeldBackend(t)
  const entry = await startEntryNode(t)
  await announce(entry, port, 1)
  const { requests } = entry.application
  const first = sendRawRequest(entry.url)
  await waitUntil(() => held.length === 1)
  const second = sendRawRequest(entry.url)
  await waitUntil(() => requests.openRequests === 2)
  second.destroy()
  await waitUntil(() => requests.openRequests === 1)
  held[0]?.end('done')
  await waitUntil(() => requests.openRequests === 0)
  t.is(held.length, 1)
  first.destroy()
})

test('a dispatched request is completed after its caller disconnects, so that its claim records the answer', async t => {
  const { port, held } = await startHeldBackend(t)
  const entry = await startEntryNode(t)
  await announce(entry, port, 1)
  const { application } = entry
  const key = '0193a5e0-7c00-7d0a-8f3e-2b1c4d5e6f70'
  const claim = { organisationId: 'o1', key, state: 'pending' as const, answer: null }
  application.answerControl = () => succeed({ kind: 'claim', granted: true, claim })
  const socket = sendRawRequest(entry.url, `idempotency-key: ${key}\r\n`)
  await waitUntil(() => held.length === 1)
  socket.destroy()
  await once(socket, 'close')
  held[0]?.end('done')
  await waitUntil(() => application.operations.length === 2)
  t.like(application.operations[1], { kind: 'settle_claim', key, state: 'completed', answer: { body: Buffer.from('done') } })
  t.is(held.length, 1)
})

test('a backend server that deregisters is leaving and gets no new requests', async t => {
  let received = 0
  const backend = await listen((_req, res) => {
    received++
    res.end('done')
  })
  t.teardown(() => { backend.close() })
  const entry = await startEntryNode(t)
  await announce(entry, backend.port)
  const left = await entry.send('DELETE', '/v1/backend-servers/b1')
  t.like(left, { status: 200, body: { state: 'leaving' } })
  t.is(entry.application.backendServers()[0]?.state, 'leaving')
  const refused = await entry.send('POST', REQUESTS_PATH, 'x', { ...CALLER_HEADERS, 'comfreygrade-deadline-ms': '200' })
  t.like(refused.body, { outcome: 'not_run' })
  t.is(received, 0)
})

test('deregistering an unknown backend server is refused, so that the server tries another node', async t => {
  const entry = await startEntryNode(t)
  t.like(await entry.send('DELETE', '/v1/backend-servers/b9'), { status: 404, body: { error: 'not_found' } })
})

test('a deadline out of range is refused instead of being clamped', async t => {
  const entry = await startEntryNode(t)
  const { maxDeadlineMs } = defaultRules
  for (const deadline of ['0', '-5', '1.5', '', '1e400', String(maxDeadlineMs + 1)]) {
    const headers = { ...CALLER_HEADERS, 'comfreygrade-deadline-ms': deadline }
    const { status, body } = await entry.send('POST', REQUESTS_PATH, 'x', headers)
    t.like({ status, ...body }, { status: 400, error: 'invalid_request', outcome: 'not_run' }, deadline)
    t.regex(String(body.detail), new RegExp(`from 1 to ${maxDeadlineMs}`))
  }
  const longest = { ...CALLER_HEADERS, 'comfreygrade-deadline-ms': String(maxDeadlineMs) }
  t.is((await entry.send('POST', REQUESTS_PATH, 'x', longest)).body.error, 'no_backend_server')
})

test('drain and undrain operations carry kind and ID, and an unknown kind is refused', async t => {
  const entry = await startEntryNode(t)
  entry.application.answerControl = () => succeed({ kind: 'done' })
  t.like(await entry.send('POST', '/v1/drains', { kind: 'worker', id: 'w1' }), { status: 200, body: {} })
  t.is((await entry.send('DELETE', '/v1/drains/worker/w1')).status, 200)
  t.deepEqual(entry.application.operations, [
    { kind: 'drain', drain: { kind: 'worker', id: 'w1' } }, { kind: 'undrain', drain: { kind: 'worker', id: 'w1' } }
  ])
  t.like(await entry.send('POST', '/v1/drains', { kind: 'rack', id: 'r1' }), { status: 400 })
  t.like(await entry.send('DELETE', '/v1/drains/rack/r1'), { status: 400 })
  t.is(entry.application.operations.length, 2)
})

test('a drained node fails its health check and refuses new requests, so that callers go to another node', async t => {
  const entry = await startEntryNode(t)
  t.like(await entry.send('GET', '/v1/health'), { status: 200, body: { state: 'serving' } })
  entry.application.isDrained = true
  t.like(await entry.send('GET', '/v1/health'), { status: 503, body: { state: 'drained' } })
  const { status, body } = await entry.send('POST', REQUESTS_PATH, 'x', CALLER_HEADERS)
  t.like({ status, ...body }, { status: 503, error: 'shutting_down', outcome: 'not_run', repeat: 'now' })
})

test('a node without a configuration lease fails its health check, so that it gets no callers after a restart', async t => {
  const entry = await startEntryNode(t)
  entry.application.isConfigurationStale = true
  const health = await entry.send('GET', '/v1/health')
  t.like(health, { status: 503, body: { state: 'serving', hasConfigurationLease: false } })
})

test('a new job is answered with 201 and a repeated submission with 200, so that a caller sees whether it created one', async t => {
  const entry = await startEntryNode(t)
  entry.application.answerControl = createJobControl()
  t.is((await entry.send('POST', '/v1/jobs', { ...JOB_BODY, jobId: 'j1' })).status, 201)
  t.is((await entry.send('POST', '/v1/jobs', { ...JOB_BODY, jobId: 'j1' })).status, 200)
  t.is((await entry.send('POST', '/v1/jobs', JOB_BODY)).status, 201)
  entry.application.answerControl = () => fail('control_unavailable', 'no control leader')
  t.like(await entry.send('POST', '/v1/jobs', { ...JOB_BODY, jobId: 'j2' }),
    { status: 503, body: { error: 'control_unavailable', outcome: 'not_run' } })
})

test('a wrong method is answered with 405 and the allowed methods, an unknown path with 404, so that a client sees which to correct', async t => {
  const entry = await startEntryNode(t)
  const jobs = await entry.send('DELETE', '/v1/jobs')
  t.like(jobs, { status: 405, headers: { allow: 'POST, GET' }, body: { error: 'method_not_allowed' } })
  t.like(await entry.send('GET', REQUESTS_PATH), { status: 405, headers: { allow: 'POST' } })
  t.like(await entry.send('GET', '/v1/jobs/a/b'), { status: 404, body: { error: 'not_found' } })
})

test('an unknown query parameter is refused, so that a misspelt filter is not ignored', async t => {
  const entry = await startEntryNode(t)
  for (const url of ['/v1/fleet?phase=running', '/v1/jobs?phaze=running', '/v1/queue?limit=1']) {
    t.like(await entry.send('GET', url), { status: 400, body: { error: 'unknown_field' } }, url)
  }
  t.like(await entry.send('POST', `${REQUESTS_PATH}?deadlineMs=5`, 'x', CALLER_HEADERS), { status: 400, body: { error: 'unknown_field' } })
})

test('the content type of a request is forwarded to the backend server, so that it can parse the body', async t => {
  const types: unknown[] = []
  const backend = await listen((req, res) => {
    types.push(req.headers['content-type'])
    req.resume().on('end', () => { res.end('"done"') })
  })
  t.teardown(() => { backend.close() })
  const entry = await startEntryNode(t)
  await announce(entry, backend.port)
  await entry.send('POST', REQUESTS_PATH, 'x', { ...CALLER_HEADERS, 'content-type': 'text/csv; charset=utf-8' })
  await entry.send('POST', REQUESTS_PATH, 'x', CALLER_HEADERS)
  t.deepEqual(types, ['text/csv; charset=utf-8', 'application/octet-stream'])
})

test('the body of a recorded answer is returned in base64 under its documented field names', async t => {
  const entry = await startEntryNode(t)
  const claim = { organisationId: 'o1', key: 'k', state: 'completed' as const }
  const answer = { status: 200, contentType: 'text/plain', body: Buffer.from('12 pages') }
  entry.application.answerControl = () => succeed({ kind: 'claim', granted: false, claim: { ...claim, answer } })
  const { body } = await entry.send('GET', '/v1/claims/o1/0193a5e0-7c00-7d0a-8f3e-2b1c4d5e6f70')
  const recorded = { status: 200, contentType: 'text/plain', body: Buffer.from('12 pages').toString('base64') }
  t.deepEqual(body, { ...claim, answer: recorded })
})

test('a refusal by the router or by the control leader is counted exactly once, so that refusal rates are correct', async t => {
  const entry = await startEntryNode(t)
  t.is((await entry.send('POST', REQUESTS_PATH, 'x', CALLER_HEADERS)).body.error, 'no_backend_server')
  t.is((await entry.send('GET', '/v1/jobs')).body.error, 'control_unavailable')
  t.like(entry.application.metrics.snapshot(), {
    'refusal{kind=no_backend_server}': 1, 'refusal{kind=control_unavailable}': 1
  })
})

/** Sends raw bytes and resolves to all that is received until the connection is closed. */
async function exchange (url: string, bytes: string): Promise<string> {
  const socket = createConnection(Number(new URL(url).port), '127.0.0.1')
  let received = ''
  socket.on('data', chunk => { received += String(chunk) })
  socket.on('error', () => {})
  socket.write(bytes)
  await once(socket, 'close')
  return received
}

// Guards against bodies that are kept chunk by chunk or read to their end, for short requests and for the gateway.
for (const path of ['/v1/services/billing/requests', '/v1/backend-servers/b1']) {
  test(`a body of ${path} over the limit is refused as not run, and one in chunks of one byte is read whole`, async t => {
    const entry = await startEntryNode(t)
    const head = `${path.endsWith('b1') ? 'PUT' : 'POST'} ${path} HTTP/1.1\r\nHost: a\r\nComfreygrade-Organisation: o1\r\n`
    const refused = await exchange(entry.url, `${head}Content-Length: 9000000000\r\n\r\nabc`)
    t.regex(refused, /^HTTP\/1.1 413 .*"outcome":"not_run"/s)
    const chunks = [...'{"unknown":1}'].map(byte => `1\r\n${byte}\r\n`).join('')
    const read = await exchange(entry.url, `${head}Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`)
    t.regex(read, path.endsWith('b1') ? /^HTTP\/1.1 400 .*unknown/s : /^HTTP\/1.1 503 .*no_backend_server|unknown_service/s)
  })
}

// Guards against requests sent ahead that are all executed although their answers are not read.
test('a connection with too many requests sent ahead is closed', async t => {
  const entry = await startEntryNode(t)
  const received = await exchange(entry.url, 'GET /v1/queue HTTP/1.1\r\nHost: a\r\n\r\n'.repeat(1_000))
  t.true(entry.application.operations.length <= 8)
  t.is(received.split('HTTP/1.1').length <= 9, true)
})
