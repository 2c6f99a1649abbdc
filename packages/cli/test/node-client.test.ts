import test from 'ava'
import type { ClaimView, ConfigurationStatus, JobView, WorkerView } from '@comfreygrade/control'
import type { FleetReport } from '@comfreygrade/placement'
import type {
  ClaimResponse, ConfigurationStatusResponse, FleetSummary, JobAnswer, WorkerSummary
} from '../src/index.js'
import { ClientError, NodeClient, type ShortRequest, uuidV7 } from '../src/index.js'
import { errorReply, FakeNode } from './fake-node.js'

/** Fails the type check where the node's types and the client's differ in a field that the client reads. */
type AssertReadable<Client, Node extends Client> = Node
export type CheckedTypes = [
  AssertReadable<JobAnswer, JobView>, AssertReadable<ConfigurationStatusResponse, ConfigurationStatus>,
  AssertReadable<WorkerSummary, WorkerView>, AssertReadable<FleetSummary, FleetReport>,
  AssertReadable<Omit<ClaimResponse, 'answer'>, ClaimView>
]

const UNREACHABLE_NODE_URL = 'http://127.0.0.1:9'

const chargeRequest: ShortRequest = {
  service: 'charge', organisationId: 'o1', repeatability: 'non-repeatable', body: Buffer.from('page')
}

const responseHeaders = { 'comfreygrade-request-id': 'r1', 'comfreygrade-attempts': '2', 'comfreygrade-claim': 'none' }

async function captureProblem (promise: Promise<unknown>): Promise<ClientError['problem']> {
  try {
    await promise
  } catch (error) {
    if (error instanceof ClientError) return error.problem
  }
  throw new Error('the call did not fail as expected')
}

async function withFakeNode (body: (node: FakeNode) => Promise<void>): Promise<void> {
  const node = await new FakeNode().start()
  try {
    await body(node)
  } finally {
    node.stop()
  }
}

test('the next node is asked when one is gone, so that one lost VM stops no operator', async t => {
  await withFakeNode(async node => {
    node.respondWith('GET /v1/status', { nodeId: 'n2' })
    t.deepEqual(await new NodeClient([UNREACHABLE_NODE_URL, node.address], 2_000).status(), { nodeId: 'n2' })
  })
})

test('the next node is asked when one shuts down, so that a rolling restart fails no command', async t => {
  await withFakeNode(async stopping => {
    const reply = errorReply({ kind: 'shutting_down', detail: 'this node is shutting down' })
    stopping.replyHandlers.set('POST /v1/drains', () => reply)
    stopping.replyHandlers.set('POST /v1/services/charge/requests', () => reply)
    await withFakeNode(async node => {
      node.respondWith('POST /v1/drains', {}).respondWith('POST /v1/services/charge/requests', 'done')
      const client = new NodeClient([stopping.address, node.address], 2_000)
      await client.drain({ kind: 'vm', id: 'n1' })
      t.like(await captureProblem(client.sendRequest(chargeRequest)), { kind: 'refused', body: { error: 'shutting_down' } })
      t.deepEqual(node.routes(), ['POST /v1/drains'])
    })
    const alone = new NodeClient([stopping.address, UNREACHABLE_NODE_URL], 2_000)
    t.like(await captureProblem(alone.drain({ kind: 'vm', id: 'n1' })), { kind: 'refused', body: { error: 'shutting_down' } })
  })
})

test('a refusal does not hide that another node may have done the work', async t => {
  await withFakeNode(async lost => {
    lost.responsesToDrop = 1
    await withFakeNode(async stopping => {
      stopping.replyHandlers.set('POST /v1/drains', () => errorReply({ kind: 'shutting_down', detail: 'stops' }))
      const client = new NodeClient([lost.address, stopping.address], 2_000)
      t.like(await captureProblem(client.drain({ kind: 'vm', id: 'n1' })), { kind: 'unreachable', progress: 'maybe_sent' })
    })
  })
})

test('a non-repeatable request without a key goes out once, so that no page is charged twice', async t => {
  await withFakeNode(async node => {
    node.responsesToDrop = 5
    const client = new NodeClient([node.address, node.address], 2_000)
    t.like(await captureProblem(client.sendRequest(chargeRequest)), { kind: 'unreachable', progress: 'maybe_sent' })
    t.is(node.calls.length, 1)
    const dead = new NodeClient([UNREACHABLE_NODE_URL, node.address], 2_000)
    t.like(await captureProblem(dead.sendRequest(chargeRequest)), { kind: 'unreachable', progress: 'not_sent' })
    t.is(node.calls.length, 1)
  })
})

test('a request with a key is sent again with the same key, so that a lost answer can be recovered', async t => {
  await withFakeNode(async node => {
    node.respondWith('POST /v1/services/charge/requests', 'done', 201, responseHeaders)
    node.responsesToDrop = 1
    const idempotencyKey = uuidV7(1_700_000_000_000)
    const answer = await new NodeClient([node.address], 2_000).sendRequest({ ...chargeRequest, idempotencyKey })
    t.like(answer, { status: 201, requestId: 'r1', attempts: 2, claim: 'none' })
    t.deepEqual(node.calls.map(call => call.headers['idempotency-key']), [idempotencyKey, idempotencyKey])
    t.regex(idempotencyKey, /^018bcfe5-6800-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/)
  })
})

test('an error answer of a backend server is passed on, so that it is not taken for a refusal', async t => {
  await withFakeNode(async node => {
    node.respondWith('POST /v1/services/charge/requests', { error: 'no toner' }, 422, responseHeaders)
    const answer = await new NodeClient([node.address], 2_000).sendRequest(chargeRequest)
    t.is(answer.status, 422)
    node.replyHandlers.set('POST /v1/services/charge/requests', () => errorReply({ kind: 'queue_full', detail: 'full' }))
    const problem = await captureProblem(new NodeClient([node.address], 2_000).sendRequest(chargeRequest))
    t.is(problem.kind === 'refused' ? problem.body.error : '', 'queue_full')
  })
})

test('an answer of another kind of server is reported as such, so that no wrong value is shown', async t => {
  await withFakeNode(async node => {
    node.respondWith('GET /v1/fleet', '<html>')
    t.like(await captureProblem(new NodeClient([node.address], 2_000).fleet()), { kind: 'unexpected', status: 200 })
  })
})
