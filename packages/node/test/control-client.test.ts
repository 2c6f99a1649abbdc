import test from 'ava'
import { InMemoryMetrics, fail } from '@comfreygrade/core'
import type { ControlOperation, ControlResult } from '@comfreygrade/control'
import { ControlClient, type ControlClientOptions } from '../src/control-client.js'
import type { PeerMessage } from '../src/peer-messages.js'
import { SystemClock } from '../src/system-clock.js'

const operation: ControlOperation = { kind: 'get_job', jobId: 'j1' }
const DONE: ControlResult = { ok: true, value: { kind: 'done' } }

type Delivery = 'answer' | 'lose' | 'link_down' | 'not_leader'

/** Creates a client whose messages are delivered as listed; the last entry applies to all further messages. */
function createClient (deliveries: Delivery[], options: Partial<ControlClientOptions> = {}) {
  const sent: string[] = []
  const client: ControlClient = new ControlClient({
    nodeId: 'n1',
    timeoutMs: 500,
    attemptTimeoutMs: 60,
    clock: new SystemClock(),
    metrics: new InMemoryMetrics(),
    leaderNodeId: () => 'n2',
    send: (_nodeId, message) => {
      const delivery = deliveries.length > 1 ? deliveries.shift() : deliveries[0]
      sent.push(delivery ?? '')
      if (delivery === 'answer') answer(message, DONE)
      if (delivery === 'not_leader') answer(message, fail('not_leader', 'another node leads'))
      return delivery !== 'link_down'
    },
    executeLocally: async () => DONE,
    ...options
  })
  const answer = (message: PeerMessage, result: ControlResult): void => {
    if (message.kind !== 'control_request') return
    setImmediate(() => { client.receive({ kind: 'control_response', requestId: message.requestId, result }) })
  }
  return { client, sent }
}

function resultKind (result: ControlResult): string {
  return result.ok ? 'ok' : result.failure.kind
}

test('an operation is retried after the attempt timeout, so that a lost response does not use up the timeout', async t => {
  const { client, sent } = createClient(['lose', 'answer'])
  t.is(resultKind(await client.execute(operation)), 'ok')
  t.deepEqual(sent, ['lose', 'answer'])
})

test('an operation with one attempt of unknown outcome is reported as unknown, never as not run', async t => {
  const { client } = createClient(['lose', 'link_down'])
  t.is(resultKind(await client.execute(operation)), 'outcome_unknown')
})

test('an operation that definitely reached no leader is reported as not run', async t => {
  t.is(resultKind(await createClient(['link_down']).client.execute(operation)), 'control_unavailable')
  t.is(resultKind(await createClient(['not_leader']).client.execute(operation)), 'control_unavailable')
  t.is(resultKind(await createClient(['answer'], { leaderNodeId: () => null }).client.execute(operation)), 'control_unavailable')
})

test('an operation is retried while the node asked is no longer the leader', async t => {
  const { client, sent } = createClient(['not_leader', 'not_leader', 'answer'])
  t.is(resultKind(await client.execute(operation)), 'ok')
  t.is(sent.length, 3)
})

test('a lost link ends the attempt at once, so that the retry does not wait for the attempt timeout', async t => {
  const { client, sent } = createClient(['lose', 'answer'], { attemptTimeoutMs: 100_000 })
  const execution = client.execute(operation, 100_000)
  setImmediate(() => { client.onDisconnect('n2') })
  t.is(resultKind(await execution), 'ok')
  t.is(sent.length, 2)
})
