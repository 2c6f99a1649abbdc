import test from 'ava'
import type { ClaimView, ConfigurationStatus, JobView, WorkerView } from '@comfreygrade/control'
import type { FleetReport } from '@comfreygrade/placement'
import type {
  ClaimResponse, ConfigurationStatusResponse, FleetSummary, JobResponse, WorkerSummary
} from '../src/index.js'
import { ClientError, NodeClient, type ShortRequest, uuidV7 } from '../src/index.js'
import { errorResponse, FakeNode } from './fake-node.js'

/**
 * Fails the type check when a field that the client reads is missing or different in the node's type. The node status,
 * the configuration and short requests are not covered.
 */
type AssertAssignable<Client, Node extends Client> = Node
export type CheckedTypes = [
  AssertAssignable<JobResponse, JobView>, AssertAssignable<ConfigurationStatusResponse, ConfigurationStatus>,
  AssertAssignable<WorkerSummary, WorkerView>, AssertAssignable<FleetSummary, FleetReport>,
  AssertAssignable<Omit<ClaimResponse, 'answer'>, ClaimView>
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

test('a call fails over to the next node when a node is unreachable', async t => {
  await withFakeNode(async node => {
    node.respondWith('GET /v1/status', { nodeId: 'n2' })
    t.deepEqual(await new NodeClient([UNREACHABLE_NODE_URL, node.address], 2_000).status(), { nodeId: 'n2' })
  })
})

test('when a node is shutting down, an idempotent call fails over and a non-repeatable one does not, so that a rolling restart fails no command and repeats no request', async t => {
  await withFakeNode(async stoppingNode => {
    const shuttingDown = errorResponse({ kind: 'shutting_down', detail: 'this node is shutting down' })
    stoppingNode.responseHandlers.set('POST /v1/drains', () => shuttingDown)
    stoppingNode.responseHandlers.set('POST /v1/services/charge/requests', () => shuttingDown)
    await withFakeNode(async node => {
      node.respondWith('POST /v1/drains', {}).respondWith('POST /v1/services/charge/requests', 'done')
      const client = new NodeClient([stoppingNode.address, node.address], 2_000)
      await client.drain({ kind: 'vm', id: 'n1' })
      t.like(await captureProblem(client.sendRequest(chargeRequest)), { kind: 'refused', body: { error: 'shutting_down' } })
      t.deepEqual(node.calledRoutes(), ['POST /v1/drains'])
    })
    const failingClient = new NodeClient([stoppingNode.address, UNREACHABLE_NODE_URL], 2_000)
    t.like(await captureProblem(failingClient.drain({ kind: 'vm', id: 'n1' })), { kind: 'refused', body: { error: 'shutting_down' } })
  })
})

test('a refusal by one node does not hide that another node may have executed the call', async t => {
  await withFakeNode(async droppingNode => {
    droppingNode.responsesToDrop = 1
    await withFakeNode(async stoppingNode => {
      stoppingNode.responseHandlers.set('POST /v1/drains', () => errorResponse({ kind: 'shutting_down', detail: 'stops' }))
      const client = new NodeClient([droppingNode.address, stoppingNode.address], 2_000)
      t.like(await captureProblem(client.drain({ kind: 'vm', id: 'n1' })), { kind: 'unreachable', progress: 'maybe_sent' })
    })
  })
})

test('a non-repeatable request without a key is sent only once, so that it is never executed twice', async t => {
  await withFakeNode(async node => {
    node.responsesToDrop = 5
    const client = new NodeClient([node.address, node.address], 2_000)
    t.like(await captureProblem(client.sendRequest(chargeRequest)), { kind: 'unreachable', progress: 'maybe_sent' })
    t.is(node.calls.length, 1)
    const failingClient = new NodeClient([UNREACHABLE_NODE_URL, node.address], 2_000)
    t.like(await captureProblem(failingClient.sendRequest(chargeRequest)), { kind: 'unreachable', progress: 'not_sent' })
    t.is(node.calls.length, 1)
  })
})

test('a request with an idempotency key is retried with the same key after a lost response', async t => {
  await withFakeNode(async node => {
    node.respondWith('POST /v1/services/charge/requests', 'done', 201, responseHeaders)
    node.responsesToDrop = 1
    const idempotencyKey = uuidV7(1_700_000_000_000)
    const response = await new NodeClient([node.address], 2_000).sendRequest({ ...chargeRequest, idempotencyKey })
    t.like(response, { status: 201, requestId: 'r1', attempts: 2, claim: 'none' })
    t.deepEqual(node.calls.map(call => call.headers['idempotency-key']), [idempotencyKey, idempotencyKey])
    t.regex(idempotencyKey, /^018bcfe5-6800-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/)
  })
})

test('an error response of a backend server is returned and not mistaken for a refusal by the node', async t => {
  await withFakeNode(async node => {
    node.respondWith('POST /v1/services/charge/requests', { error: 'no toner' }, 422, responseHeaders)
    const response = await new NodeClient([node.address], 2_000).sendRequest(chargeRequest)
    t.is(response.status, 422)
    node.responseHandlers.set('POST /v1/services/charge/requests', () => errorResponse({ kind: 'queue_full', detail: 'full' }))
    const problem = await captureProblem(new NodeClient([node.address], 2_000).sendRequest(chargeRequest))
    t.is(problem.kind === 'refused' ? problem.body.error : '', 'queue_full')
  })
})

test('a response that is not from a node is reported as unexpected instead of being shown as a value', async t => {
  await withFakeNode(async node => {
    node.respondWith('GET /v1/fleet', '<html>')
    t.like(await captureProblem(new NodeClient([node.address], 2_000).fleet()), { kind: 'unexpected', status: 200 })
  })
})
