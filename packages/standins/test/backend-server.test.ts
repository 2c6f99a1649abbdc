import test from 'ava'
import { request } from 'undici'
import { createBackendBehaviour, type BackendBehaviourName, StandInBackendServer } from '../src/index.js'
import { FakeEntryNode, pollUntil } from './fake-entry.js'

async function postRequest (server: StandInBackendServer, body = 'page', headers: Record<string, string> = {}) {
  const response = await request(`${server.address}/charge`, {
    method: 'POST', body, headers: { 'comfreygrade-request-id': 'r1', 'content-type': 'text/csv', ...headers }
  })
  return { status: response.statusCode, headers: response.headers, text: await response.body.text() }
}

async function startServer (name: BackendBehaviourName = 'serve'): Promise<StandInBackendServer> {
  const server = new StandInBackendServer({ serviceMs: 0 })
  await server.start()
  server.setBehaviour(createBackendBehaviour(name, 50))
  return server
}

test('a served request is recorded and its response echoes its body, so that swapped responses are detected', async t => {
  const server = await startServer()
  t.like(await postRequest(server), { status: 200, text: 'page' })
  t.like(server.executions[0], { requestId: 'r1', service: 'charge' })
  await server.stop()
})

test('a rejection has the not-run header and records no execution, so that retries can be checked', async t => {
  const server = await startServer('reject')
  const response = await postRequest(server)
  t.is(response.status, 503)
  t.is(response.headers['comfreygrade-not-run'], 'true')
  t.is(server.executions.length, 0)
  await server.stop()
})

test('an execution is recorded if the connection is closed without a response, so that duplicates are detected', async t => {
  const server = await startServer('cut_after_executing')
  await t.throwsAsync(postRequest(server))
  t.is(server.executions.length, 1)
  await server.stop()
})

test('requests that exceed the slots are queued, so that the server never executes more than it has slots', async t => {
  const server = new StandInBackendServer({ slots: 2 })
  await server.start()
  await Promise.all(Array.from({ length: 6 }, () => postRequest(server, 'x', { 'standin-service-ms': '20' })))
  for (const { startedMs } of server.executions) {
    const running = server.executions.filter(other => other.startedMs <= startedMs && startedMs < other.endedMs)
    t.true(running.length <= 2)
  }
  await server.stop()
})

test('heartbeats fail over to another entry node, and the server deregisters when it stops', async t => {
  const [first, second] = [new FakeEntryNode(), new FakeEntryNode()]
  await Promise.all([first.start(), second.start()])
  const server = new StandInBackendServer({ backendServerId: 'b1', entryAddresses: [first.address, second.address] })
  await server.start()
  await pollUntil(() => first.count('PUT') > 1)
  await first.stop()
  await pollUntil(() => second.count('PUT') > 1)
  await server.stop()
  t.deepEqual(second.requests.at(-1), { method: 'DELETE', path: '/v1/backend-servers/b1', body: {} })
  const sequences = second.requests.slice(0, -1).map(({ body }) => Number(body['sequence']))
  t.deepEqual(sequences, [...sequences].sort((left, right) => left - right))
  await second.stop()
})

test('a graceful stop completes open requests, so that no response is lost', async t => {
  const server = await startServer()
  const response = postRequest(server, 'page', { 'standin-service-ms': '50' })
  await pollUntil(() => server.openRequests === 1)
  await server.stop()
  t.like(await response, { status: 200, text: 'page' })
})

test('a frozen server can be stopped, so that no test hangs on a request without a response', async t => {
  const server = await startServer('freeze')
  const unanswered = t.throwsAsync(postRequest(server))
  await pollUntil(() => server.unansweredRequests === 1)
  // The new behaviour does not respond to the request that is already open.
  server.setBehaviour(createBackendBehaviour('serve'))
  await server.stop()
  await unanswered
})
