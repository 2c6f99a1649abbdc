import test from 'ava'
import { NullMetrics } from '@comfreygrade/core'
import { SystemClock } from '@comfreygrade/node/adapters'
import { LeaderClient } from '../src/leader-client.js'
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

test('a request that a node may have handled is not sent to a second one', async t => {
  const client = createClient({ a: 'silent', b: acceptedResponse })
  t.is(await client.requestOnce({ kind: 'worker_left', workerId: 'w' }, 100), undefined)
})
