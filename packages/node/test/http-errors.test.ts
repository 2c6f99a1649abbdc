import { createConnection } from 'node:net'
import test from 'ava'
import { request } from 'undici'
import { EntryApplication, startHttpApi } from './fixture.js'

const application = new EntryApplication()
let url = ''
let stop: () => Promise<void> = async () => {}

test.before(async () => {
  const started = await startHttpApi(application)
  url = started.url
  stop = async () => { await started.api.stop() }
})

test.after.always(async () => {
  await stop()
  await application.backendClient.close()
})

interface Refusal { status: number, error: string, outcome: string, detail: string }

async function send (method: 'GET' | 'POST' | 'PUT', path: string, body?: string | Buffer, headers = {}): Promise<Refusal> {
  const response = await request(`${url}${path}`, { method, body, headers })
  const { error, outcome, detail } = await response.body.json() as Omit<Refusal, 'status'>
  return { status: response.statusCode, error, outcome, detail }
}

const JOB_BODY = {
  organisationId: 'o1', tasks: 2, acceleratorModel: 'gpu', acceleratorsPerTask: 1, declaredRunMs: 1000
}

test('a malformed body is refused as not run', async t => {
  const refusal = await send('POST', '/v1/jobs', '{"tasks": ')
  t.like(refusal, { status: 400, error: 'invalid_request', outcome: 'not_run' })
})

test('an unknown field in a body is refused, so that a misspelt option is not ignored', async t => {
  const refusal = await send('POST', '/v1/jobs', JSON.stringify({ ...JOB_BODY, memoryMb: 5 }))
  t.like(refusal, { status: 400, error: 'unknown_field' })
  t.regex(refusal.detail, /memoryMb/)
})

for (const [title, fields] of Object.entries({
  negative: { tasks: -1 }, huge: { tasks: 1e9 }, fractional: { declaredRunMs: 1.5 }, textual: { declaredRunMs: '1h' }
})) {
  test(`a ${title} number is refused before it reaches the control leader`, async t => {
    const submittedBefore = application.operations.filter(operation => operation.kind === 'submit_job').length
    const refusal = await send('POST', '/v1/jobs', JSON.stringify({ ...JOB_BODY, ...fields }))
    t.like(refusal, { status: 400, error: 'invalid_request', outcome: 'not_run' })
    t.is(application.operations.filter(operation => operation.kind === 'submit_job').length, submittedBefore)
  })
}

test('a short request with an oversized body is refused as not run', async t => {
  const headers = { 'comfreygrade-organisation': 'o1' }
  const overRule = await send('POST', '/v1/services/billing/requests', Buffer.alloc(1024 * 1024 + 1), headers)
  t.like(overRule, { status: 413, error: 'body_too_large', outcome: 'not_run' })
})

test('the error names a missing organisation or an invalid deadline, and has its own kind for an invalid key', async t => {
  const missing = await send('POST', '/v1/services/billing/requests', 'x')
  t.like(missing, { status: 400, error: 'invalid_request' })
  t.regex(missing.detail, /comfreygrade-organisation/)
  const wrongUnit = await send('POST', '/v1/services/billing/requests', 'x',
    { 'comfreygrade-organisation': 'o1', 'comfreygrade-deadline-ms': '5s' })
  t.regex(wrongUnit.detail, /comfreygrade-deadline-ms: found 5s/)
  const wrongKey = await send('POST', '/v1/services/billing/requests', 'x',
    { 'comfreygrade-organisation': 'o1', 'idempotency-key': '0d8f8f0e-9a0f-4d5c-8b1a-2f1c5f0a1b2c' })
  t.is(wrongKey.error, 'key_invalid')
})

test('too many or too large headers are refused instead of being truncated', async t => {
  const many = Object.fromEntries(Array.from({ length: 150 }, (_, index) => [`x-${index}`, '1']))
  t.like(await send('GET', '/v1/jobs', undefined, many), { status: 431, error: 'headers_too_large' })
  t.like(await send('GET', '/v1/jobs', undefined, { 'x-large': 'a'.repeat(10_000) }),
    { status: 431, error: 'headers_too_large' })
})

test('a sender that never completes its request is disconnected with 408, so that it cannot hold a connection', async t => {
  const socket = createConnection({ host: '127.0.0.1', port: Number(new URL(url).port) })
  socket.write('POST /v1/jobs HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{')
  const text = await new Promise<string>(resolve => {
    const chunks: Buffer[] = []
    socket.on('data', chunk => chunks.push(chunk))
    socket.on('close', () => { resolve(Buffer.concat(chunks).toString()) })
  })
  t.regex(text, /^HTTP\/1\.1 408/)
  t.regex(text, /"error":"request_timeout"/)
})

test('a node without a configuration lease refuses new requests as not run', async t => {
  const stale = new EntryApplication()
  stale.isConfigurationStale = true
  const { api, url: staleUrl } = await startHttpApi(stale)
  const response = await request(`${staleUrl}/v1/services/billing/requests`, { method: 'POST', body: 'x' })
  t.is(response.statusCode, 503)
  t.is(response.headers['retry-after'], '1')
  t.like(await response.body.json(), { error: 'configuration_stale', outcome: 'not_run' })
  await api.stop()
  await stale.backendClient.close()
})

test('an unknown endpoint is answered with 404 and the error kind not_found', async t => {
  t.like(await send('GET', '/v1/nothing'), { status: 404, error: 'not_found' })
})
