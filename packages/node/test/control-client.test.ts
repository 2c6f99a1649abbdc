import test from 'ava'
import { CountingMetrics, fail } from '@comfreygrade/core'
import type { ControlOperation, ControlResult } from '@comfreygrade/control'
import { ControlClient, type ControlClientOptions } from '../src/control-client.js'
import type { PeerMessage } from '../src/peer-messages.js'
import { SystemClock } from '../src/system-clock.js'

const operation: ControlOperation = { kind: 'get_job', jobId: 'j1' }
const done: ControlResult = { ok: true, value: { kind: 'done' } }

type Fate = 'answer' | 'lose' | 'link_down' | 'not_leader'

/** A client whose messages meet the given fates in turn; the last one repeats. */
function createClient (fates: Fate[], options: Partial<ControlClientOptions> = {}) {
  const sent: string[] = []
  const client: ControlClient = new ControlClient({
    nodeId: 'n1',
    timeoutMs: 500,
    attemptTimeoutMs: 60,
    clock: new SystemClock(),
    metrics: new CountingMetrics(),
    leaderNodeId: () => 'n2',
    send: (_nodeId, message) => {
      const fate = fates.length > 1 ? fates.shift() : fates[0]
      sent.push(fate ?? '')
      if (fate === 'answer') answer(message, done)
      if (fate === 'not_leader') answer(message, fail('not_leader', 'another node leads'))
      return fate !== 'link_down'
    },
    askLocal: async () => done,
    ...options
  })
  const answer = (message: PeerMessage, result: ControlResult): void => {
    if (message.kind !== 'control_request') return
    setImmediate(() => { client.receive({ kind: 'control_response', requestId: message.requestId, result }) })
  }
  return { client, sent }
}

function kindOf (result: ControlResult): string {
  return result.ok ? 'ok' : result.failure.kind
}

test('an answer that is lost is asked for again, so that a silent link does not cost the whole deadline', async t => {
  const { client, sent } = createClient(['lose', 'answer'])
  t.is(kindOf(await client.ask(operation)), 'ok')
  t.deepEqual(sent, ['lose', 'answer'])
})

test('an operation that may have been taken once is never answered as not run', async t => {
  const { client } = createClient(['lose', 'link_down'])
  t.is(kindOf(await client.ask(operation)), 'outcome_unknown')
})

test('an operation that certainly reached nobody is answered as not run', async t => {
  t.is(kindOf(await createClient(['link_down']).client.ask(operation)), 'control_unavailable')
  t.is(kindOf(await createClient(['not_leader']).client.ask(operation)), 'control_unavailable')
  t.is(kindOf(await createClient(['answer'], { leaderNodeId: () => null }).client.ask(operation)), 'control_unavailable')
})

test('a node that does not lead any more sends the client to the next leader', async t => {
  const { client, sent } = createClient(['not_leader', 'not_leader', 'answer'])
  t.is(kindOf(await client.ask(operation)), 'ok')
  t.is(sent.length, 3)
})

test('a lost link ends the attempt at once, so that the next one does not wait for its time limit', async t => {
  const { client, sent } = createClient(['lose', 'answer'], { attemptTimeoutMs: 100_000 })
  const asked = client.ask(operation, 100_000)
  setImmediate(() => { client.disconnected('n2') })
  t.is(kindOf(await asked), 'ok')
  t.is(sent.length, 2)
})
