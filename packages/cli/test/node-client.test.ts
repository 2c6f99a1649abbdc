import test from 'ava'
import type { ClaimView, ConfigurationStatus, JobView, WorkerView } from '@comfreygrade/control'
import type { FleetReport } from '@comfreygrade/placement'
import type {
  ClaimAnswer, ConfigurationStatusAnswer, FleetReportAnswer, JobAnswer, WorkerAnswer
} from '../src/index.js'
import { ClientError, NodeClient, type ShortRequest, uuidV7 } from '../src/index.js'
import { FakeNode, refusal } from './fake-node.js'

/** Fails the type check where the node's types and the client's differ in a field that the client reads. */
type Reads<Client, Node extends Client> = Node
export type CheckedTypes = [
  Reads<JobAnswer, JobView>, Reads<ConfigurationStatusAnswer, ConfigurationStatus>, Reads<WorkerAnswer, WorkerView>,
  Reads<FleetReportAnswer, FleetReport>, Reads<Omit<ClaimAnswer, 'answer'>, ClaimView>
]

const DEAD_NODE = 'http://127.0.0.1:9'

const charge: ShortRequest = {
  service: 'charge', organisationId: 'o1', repeatability: 'non-repeatable', body: Buffer.from('page')
}

const answerHeaders = { 'comfreygrade-request-id': 'r1', 'comfreygrade-attempts': '2', 'comfreygrade-claim': 'none' }

async function problemOf (promise: Promise<unknown>): Promise<ClientError['problem']> {
  try {
    await promise
  } catch (error) {
    if (error instanceof ClientError) return error.problem
  }
  throw new Error('the call did not fail as expected')
}

async function withNode (body: (node: FakeNode) => Promise<void>): Promise<void> {
  const node = await new FakeNode().start()
  try {
    await body(node)
  } finally {
    node.stop()
  }
}

test('the next node is asked when one is gone, so that one lost VM stops no operator', async t => {
  await withNode(async node => {
    node.on('GET /v1/status', { nodeId: 'n2' })
    t.deepEqual(await new NodeClient([DEAD_NODE, node.address], 2_000).status(), { nodeId: 'n2' })
  })
})

test('the next node is asked when one shuts down, so that a rolling restart fails no command', async t => {
  await withNode(async stopping => {
    const reply = refusal({ kind: 'shutting_down', detail: 'this node is shutting down' })
    stopping.replies.set('POST /v1/drains', () => reply)
    stopping.replies.set('POST /v1/services/charge/requests', () => reply)
    await withNode(async node => {
      node.on('POST /v1/drains', {}).on('POST /v1/services/charge/requests', 'done')
      const client = new NodeClient([stopping.address, node.address], 2_000)
      await client.drain({ kind: 'vm', id: 'n1' })
      t.like(await problemOf(client.sendRequest(charge)), { kind: 'refused', body: { error: 'shutting_down' } })
      t.deepEqual(node.routes(), ['POST /v1/drains'])
    })
    const alone = new NodeClient([stopping.address, DEAD_NODE], 2_000)
    t.like(await problemOf(alone.drain({ kind: 'vm', id: 'n1' })), { kind: 'refused', body: { error: 'shutting_down' } })
  })
})

test('a refusal does not hide that another node may have done the work', async t => {
  await withNode(async lost => {
    lost.answersToLose = 1
    await withNode(async stopping => {
      stopping.replies.set('POST /v1/drains', () => refusal({ kind: 'shutting_down', detail: 'stops' }))
      const client = new NodeClient([lost.address, stopping.address], 2_000)
      t.like(await problemOf(client.drain({ kind: 'vm', id: 'n1' })), { kind: 'unreachable', progress: 'maybe_sent' })
    })
  })
})

test('a non-repeatable request without a key goes out once, so that no page is charged twice', async t => {
  await withNode(async node => {
    node.answersToLose = 5
    const client = new NodeClient([node.address, node.address], 2_000)
    t.like(await problemOf(client.sendRequest(charge)), { kind: 'unreachable', progress: 'maybe_sent' })
    t.is(node.calls.length, 1)
    const dead = new NodeClient([DEAD_NODE, node.address], 2_000)
    t.like(await problemOf(dead.sendRequest(charge)), { kind: 'unreachable', progress: 'not_sent' })
    t.is(node.calls.length, 1)
  })
})

test('a request with a key is sent again with the same key, so that a lost answer can be recovered', async t => {
  await withNode(async node => {
    node.on('POST /v1/services/charge/requests', 'done', 201, answerHeaders)
    node.answersToLose = 1
    const idempotencyKey = uuidV7(1_700_000_000_000)
    const answer = await new NodeClient([node.address], 2_000).sendRequest({ ...charge, idempotencyKey })
    t.like(answer, { status: 201, requestId: 'r1', attempts: 2, claim: 'none' })
    t.deepEqual(node.calls.map(call => call.headers['idempotency-key']), [idempotencyKey, idempotencyKey])
    t.regex(idempotencyKey, /^018bcfe5-6800-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/)
  })
})

test('an error answer of a backend server is passed on, so that it is not taken for a refusal', async t => {
  await withNode(async node => {
    node.on('POST /v1/services/charge/requests', { error: 'no toner' }, 422, answerHeaders)
    const answer = await new NodeClient([node.address], 2_000).sendRequest(charge)
    t.is(answer.status, 422)
    node.replies.set('POST /v1/services/charge/requests', () => refusal({ kind: 'queue_full', detail: 'full' }))
    const problem = await problemOf(new NodeClient([node.address], 2_000).sendRequest(charge))
    t.is(problem.kind === 'refused' ? problem.body.error : '', 'queue_full')
  })
})

test('an answer of another kind of server is reported as such, so that no wrong value is shown', async t => {
  await withNode(async node => {
    node.on('GET /v1/fleet', '<html>')
    t.like(await problemOf(new NodeClient([node.address], 2_000).fleet()), { kind: 'unexpected', status: 200 })
  })
})
