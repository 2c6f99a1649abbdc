import test from 'ava'
import { request } from 'undici'
import { backendBehaviour, type BackendBehaviourName, StandInBackendServer } from '../src/index.js'
import { FakeEntry, until } from './fake-entry.js'

async function post (server: StandInBackendServer, body = 'page', headers: Record<string, string> = {}) {
  const answer = await request(`${server.address}/charge`, {
    method: 'POST', body, headers: { 'comfreygrade-request-id': 'r1', 'content-type': 'text/csv', ...headers }
  })
  return { status: answer.statusCode, headers: answer.headers, text: await answer.body.text() }
}

async function started (name: BackendBehaviourName = 'serve'): Promise<StandInBackendServer> {
  const server = new StandInBackendServer({ serviceMs: 0 })
  await server.start()
  server.behave(backendBehaviour(name, 50))
  return server
}

test('a served request is answered with its own body and recorded, so mixed-up answers are seen', async t => {
  const server = await started()
  t.like(await post(server), { status: 200, text: 'page' })
  t.like(server.executions[0], { requestId: 'r1', service: 'charge' })
  await server.stop()
})

test('a rejection carries the promise that nothing ran and records nothing, so retries can be checked', async t => {
  const server = await started('reject')
  const answer = await post(server)
  t.is(answer.status, 503)
  t.is(answer.headers['comfreygrade-not-run'], 'true')
  t.is(server.executions.length, 0)
  await server.stop()
})

test('a connection cut after executing leaves a record, so a second attempt would be seen as a duplicate', async t => {
  const server = await started('cut_after_executing')
  await t.throwsAsync(post(server))
  t.is(server.executions.length, 1)
  await server.stop()
})

test('requests beyond the slots wait for one, so the server never runs more than it announces', async t => {
  const server = new StandInBackendServer({ slots: 2 })
  await server.start()
  await Promise.all(Array.from({ length: 6 }, () => post(server, 'x', { 'standin-service-ms': '20' })))
  for (const { startedMs } of server.executions) {
    const running = server.executions.filter(other => other.startedMs <= startedMs && startedMs < other.endedMs)
    t.true(running.length <= 2)
  }
  await server.stop()
})

test('heartbeats go to another entry node when one is gone and end with a leaving notice', async t => {
  const [first, second] = [new FakeEntry(), new FakeEntry()]
  await Promise.all([first.start(), second.start()])
  const server = new StandInBackendServer({ backendServerId: 'b1', entries: [first.address, second.address] })
  await server.start()
  await until(() => first.count('PUT') > 1)
  await first.stop()
  await until(() => second.count('PUT') > 1)
  await server.stop()
  t.deepEqual(second.announcements.at(-1), { method: 'DELETE', path: '/v1/backend-servers/b1', body: {} })
  const sequences = second.announcements.slice(0, -1).map(({ body }) => Number(body['sequence']))
  t.deepEqual(sequences, [...sequences].sort((left, right) => left - right))
  await second.stop()
})

test('leaving lets an open request finish, so that a graceful stop loses no answer', async t => {
  const server = await started()
  const answer = post(server, 'page', { 'standin-service-ms': '50' })
  await until(() => server.openRequests === 1)
  await server.stop()
  t.like(await answer, { status: 200, text: 'page' })
})

test('a frozen server can be stopped, so that no test hangs on a request that is never answered', async t => {
  const server = await started('freeze')
  const unanswered = t.throwsAsync(post(server))
  await until(() => server.unansweredRequests === 1)
  server.behave(backendBehaviour('serve'))
  await server.stop()
  await unanswered
})
