import test from 'ava'
import { NullMetrics } from '@comfreygrade/core'
import { SystemClock } from '@comfreygrade/node/adapters'
import { LeaderClient } from '../src/leader-client.js'
import type { ErrorKind } from '@comfreygrade/core'
import type { BatchOperation } from '@comfreygrade/batch'
import type { LeaderResponse, BatchMessage } from '../src/index.js'

const operation = { kind: 'get_configuration' } as const
const acceptedResponse: LeaderResponse = { kind: 'result', result: { ok: true, value: { kind: 'accepted' } } }

/** Creates a client of nodes with fixed responses. `'down'` nodes are unreachable, `'silent'` ones never respond. */
function createClient (nodes: Record<string, LeaderResponse | 'down' | 'silent'>): LeaderClient {
  const client: LeaderClient = new LeaderClient({
    nodeId: 'self',
    clock: new SystemClock(),
    metrics: new NullMetrics(),
    candidates: () => Object.keys(nodes),
    handleLocally: async () => ({ kind: 'not_leader', leaderNodeId: null }),
    onLeaderHint: () => {},
    send: (nodeId: string, message: BatchMessage) => {
      const response = nodes[nodeId]
      if (message.kind !== 'ask' || response === undefined || response === 'down') return false
      if (response !== 'silent') {
        queueMicrotask(() => { client.receiveResponse({ kind: 'answer', requestId: message.requestId, answer: response }) })
      }
      return true
    }
  })
  return client
}

test('the next candidate is tried if one does not lead', async t => {
  const client = createClient({ a: { kind: 'not_leader', leaderNodeId: 'b' }, b: acceptedResponse })
  t.true((await client.execute(operation, 500)).ok)
})

test('`control_unavailable` is returned if no attempt can have taken effect', async t => {
  const result = await createClient({ a: 'down', b: { kind: 'not_leader', leaderNodeId: null } }).execute(operation, 150)
  t.like(result, { ok: false, failure: { kind: 'control_unavailable' } })
})

test('an attempt without a response makes the outcome unknown', async t => {
  const result = await createClient({ a: 'silent', b: 'down' }).execute(operation, 150)
  t.like(result, { ok: false, failure: { kind: 'outcome_unknown' } })
})

test('an operation that may have taken effect is retried, since all operations are idempotent', async t => {
  const unknown: LeaderResponse = {
    kind: 'result', result: { ok: false, failure: { kind: 'outcome_unknown', detail: 'lost its role' } }
  }
  t.true((await createClient({ a: unknown, b: acceptedResponse }).execute(operation, 500)).ok)
})

// Guards against a failure of a later version, for which this one has no response: answering the caller threw.
test('a failure of an unknown kind is an internal error', async t => {
  for (const kind of ['exploded', 'constructor']) {
    const result = { ok: false, failure: { kind: kind as ErrorKind, detail: 'of a later version' } } as const
    t.deepEqual(await createClient({ a: { kind: 'result', result } }).execute(operation, 500), {
      ok: false, failure: { kind: 'internal_error', detail: `${kind}: of a later version` }
    })
  }
})

/** A client whose presumed leader `old` never responds, until `new` turns out to lead. */
function createClientOfFormerLeader () {
  const nodes: Record<string, LeaderResponse | 'silent'> = { old: 'silent' }
  const client = createClient(nodes)
  const changeLeader = (): void => {
    delete nodes.old
    nodes.new = acceptedResponse
    client.handleLeaderChange('new')
  }
  return { client, changeLeader }
}

test('an operation that waits for a former leader is sent to the new one at once', async t => {
  const { client, changeLeader } = createClientOfFormerLeader()
  const startedMs = performance.now()
  const result = client.execute(operation, 5_000)
  changeLeader()
  t.true((await result).ok)
  t.true(performance.now() - startedMs < 900, 'before the time limit of the first attempt')
})

test('a heartbeat that waits for a former leader is sent to the new one at once', async t => {
  const { client, changeLeader } = createClientOfFormerLeader()
  const response = client.requestOnce({ kind: 'worker_left', workerId: 'w' }, 800)
  changeLeader()
  t.deepEqual(await response, acceptedResponse)
})

test('after a change of leader, a refusal by the new one does not tell the caller that the job never runs', async t => {
  const nodes: Record<string, LeaderResponse | 'silent'> = { old: 'silent' }
  const client = createClient(nodes)
  const result = client.execute(submission, 300)
  delete nodes.old
  nodes.new = refusal('unknown_queue')
  client.handleLeaderChange('new')
  t.like(await result, { ok: false, failure: { kind: 'outcome_unknown' } })
})

const submission: BatchOperation = { kind: 'submit', request: { host: 'h', path: '/q/1' }, spec: { payload: '', steps: [] } }

function refusal (kind: ErrorKind): LeaderResponse {
  return { kind: 'result', result: { ok: false, failure: { kind, detail: 'refused' } } }
}

for (const kind of ['unknown_queue', 'unknown_key', 'control_unavailable', 'no_configuration'] as const) {
  test(`after a submission without an answer, a later ${kind} does not tell the caller that the job never runs`, async t => {
    const result = await createClient({ a: 'silent', b: refusal(kind) }).execute(submission, 1_200)
    t.like(result, { ok: false, failure: { kind: 'outcome_unknown' } })
  })
}

test('a refusal that depends on the request alone is final, also after an attempt without an answer', async t => {
  const result = await createClient({ a: 'silent', b: refusal('invalid_request') }).execute(submission, 1_200)
  t.like(result, { ok: false, failure: { kind: 'invalid_request' } })
})

test('a read has no effect, so its refusal is final, also after an attempt without an answer', async t => {
  const read: BatchOperation = { kind: 'job_state', request: { host: 'h', path: '/q/1' } }
  const result = await createClient({ a: 'silent', b: refusal('unknown_queue') }).execute(read, 1_200)
  t.like(result, { ok: false, failure: { kind: 'unknown_queue' } })
})

test('a request that a node may have handled is not sent to a second one', async t => {
  const client = createClient({ a: 'silent', b: acceptedResponse })
  t.is(await client.requestOnce({ kind: 'worker_left', workerId: 'w' }, 100), undefined)
})
