import test from 'ava'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { InMemoryMetrics, NullMetrics, type BackendServerRecord } from '@comfreygrade/core'
import { BackendClient, type AttemptResult } from '../src/backend-client.js'
import { SystemClock } from '../src/system-clock.js'
import { createGuard, findFreePort, listen } from './fixture.js'

function createRecord (port: number): BackendServerRecord {
  return {
    backendServerId: 'b1',
    incarnation: 1,
    sequence: 1,
    address: `http://127.0.0.1:${port}`,
    region: 'r',
    availabilityZone: 'z',
    services: ['billing'],
    slots: 8,
    connections: 60,
    state: 'active'
  }
}

async function sendAttempt (
  port: number, timeoutMs = 2_000, guard = createGuard(new SystemClock(), new NullMetrics())
): Promise<AttemptResult> {
  const client = new BackendClient({ maxAnswerBytes: 1000, guard, connectTimeoutMs: 500 })
  const backendServer = createRecord(port)
  const pending = client.send({ backendServer, service: 'billing', headers: {}, body: Buffer.from('x'), timeoutMs })
  const result = await pending.result
  await client.close()
  return result
}

async function sendAttemptToServer (
  handler: (req: IncomingMessage, res: ServerResponse) => void,
  timeoutMs?: number
): Promise<AttemptResult> {
  const server = await listen(handler)
  const result = await sendAttempt(server.port, timeoutMs)
  server.closeAllConnections()
  server.close()
  return result
}

test('a refused connection counts as not sent, so that the request can be retried on another server', async t => {
  t.deepEqual(await sendAttempt(await findFreePort()), { kind: 'failed', progress: 'not_sent', reason: 'connect_failed' })
})

test('a connection lost after the request was sent counts as maybe sent', async t => {
  const result = await sendAttemptToServer(req => { req.socket.destroy() })
  t.deepEqual(result, { kind: 'failed', progress: 'maybe_sent', reason: 'connection_lost' })
})

test('a truncated answer is a failure, so that no caller gets a partial answer', async t => {
  const result = await sendAttemptToServer((req, res) => {
    res.writeHead(200, { 'content-length': 100 })
    res.write('half')
    setTimeout(() => { req.socket.destroy() }, 20)
  })
  t.deepEqual(result, { kind: 'failed', progress: 'maybe_sent', reason: 'connection_lost' })
})

test('a 503 with the not-run header is a rejection, any other 503 is an answer', async t => {
  const rejected = await sendAttemptToServer((_req, res) => { res.writeHead(503, { 'comfreygrade-not-run': 'true' }).end() })
  t.deepEqual(rejected, { kind: 'failed', progress: 'maybe_sent', reason: 'rejected' })
  const answered = await sendAttemptToServer((_req, res) => { res.writeHead(503).end('busy') })
  t.like(answered, { kind: 'answered', answer: { status: 503 } })
})

test('an attempt without an answer fails at its timeout', async t => {
  const result = await sendAttemptToServer(() => {}, 100)
  t.deepEqual(result, { kind: 'failed', progress: 'maybe_sent', reason: 'attempt_timeout' })
})

test('an answer above the size limit is a failure, so that memory use is bounded', async t => {
  const result = await sendAttemptToServer((_req, res) => { res.end(Buffer.alloc(5000)) })
  t.like(result, { kind: 'failed', progress: 'maybe_sent' })
})

// Guards against answers without end, each within its own limit, that together take more memory than the process has.
test('answers in progress keep to the budget of the process', async t => {
  const metrics = new InMemoryMetrics()
  const guard = createGuard(new SystemClock(), metrics, { budgetBytes: 300 * 1024 })
  const server = await listen((_req, res) => {
    res.writeHead(200)
    const timer = setInterval(() => { res.write('x'.repeat(20_000)) }, 1)
    res.on('close', () => { clearInterval(timer) })
  })
  const client = new BackendClient({ maxAnswerBytes: 200 * 1024, guard, connectTimeoutMs: 500 })
  const results = await Promise.all(Array.from({ length: 8 }, async () => await client.send({
    backendServer: createRecord(server.port), service: 'billing', headers: {}, body: Buffer.from('x'), timeoutMs: 10_000
  }).result))
  t.true(results.every(result => result.kind === 'failed' && result.reason === 'connection_lost'))
  t.true((metrics.snapshot()['client.limited{limit=body_budget}'] ?? 0) > 0, JSON.stringify(metrics.snapshot()))
  await client.close()
  server.closeAllConnections()
  server.close()
})
