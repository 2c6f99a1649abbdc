import test from 'ava'
import { NullMetrics } from '@comfreygrade/core'
import { SystemClock } from '@comfreygrade/node/adapters'
import { LeaderClient } from '../src/leader-client.js'
import type { AskAnswer, BatchMessage } from '../src/index.js'

const operation = { kind: 'get_configuration' } as const
const done: AskAnswer = { kind: 'result', result: { ok: true, value: { kind: 'accepted' } } }

/** A client of nodes that answer as the test says; `'down'` refuses, `'silent'` never answers. */
function clientOf (nodes: Record<string, AskAnswer | 'down' | 'silent'>): LeaderClient {
  const client: LeaderClient = new LeaderClient({
    nodeId: 'self',
    clock: new SystemClock(),
    metrics: new NullMetrics(),
    candidates: () => Object.keys(nodes),
    askLocal: async () => ({ kind: 'not_leader', leaderNodeId: null }),
    leaderHinted: () => {},
    send: (nodeId: string, message: BatchMessage) => {
      const reply = nodes[nodeId]
      if (message.kind !== 'ask' || reply === undefined || reply === 'down') return false
      if (reply !== 'silent') {
        queueMicrotask(() => { client.receive({ kind: 'answer', requestId: message.requestId, answer: reply }) })
      }
      return true
    }
  })
  return client
}

test('the next node is asked where one does not lead', async t => {
  const client = clientOf({ a: { kind: 'not_leader', leaderNodeId: 'b' }, b: done })
  t.true((await client.operate(operation, 500)).ok)
})

test('"not run" is said only where no attempt can have counted', async t => {
  const result = await clientOf({ a: 'down', b: { kind: 'not_leader', leaderNodeId: null } }).operate(operation, 150)
  t.like(result, { ok: false, failure: { kind: 'control_unavailable' } })
})

test('an attempt without an answer leaves the outcome unknown', async t => {
  const result = await clientOf({ a: 'silent', b: 'down' }).operate(operation, 150)
  t.like(result, { ok: false, failure: { kind: 'outcome_unknown' } })
})

test('an operation that may have counted is repeated, since all are idempotent', async t => {
  const lost: AskAnswer = {
    kind: 'result', result: { ok: false, failure: { kind: 'outcome_unknown', detail: 'lost its role' } }
  }
  t.true((await clientOf({ a: lost, b: done }).operate(operation, 500)).ok)
})

test('a heartbeat that a node may have taken is not handed to a second one', async t => {
  const client = clientOf({ a: 'silent', b: done })
  t.is(await client.askOnce({ kind: 'worker_left', workerId: 'w' }, 100), undefined)
})
