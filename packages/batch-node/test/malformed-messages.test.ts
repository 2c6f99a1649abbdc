/** Malformed messages on a peer link: the process that receives them lives and serves the next request. */
import { createConnection, type Socket } from 'node:net'
import { Encoder } from 'cbor-x'
import fc from 'fast-check'
import test from 'ava'
import type { PeerAddress } from '@comfreygrade/node/adapters'
import { isValidMessage } from '../src/message-validation.js'
import { Cluster } from './cluster.js'

const codec = new Encoder({ useRecords: false, mapsAsObjects: true })
const NODE_IDS = ['a', 'b', 'c']
const VOTER = { nodeId: 'x', diskId: 'd' }
const SHAPE = { cpuMillicores: 1, memoryMb: 1, acceleratorCount: 0 }
const ENTRY = { index: 9_000, term: 90, logTimeMs: 1, body: { kind: 'command', proposalId: 'p', command: { kind: 'release', runs: [] } } }
const REPORT = {
  workerId: 'w',
  incarnation: 1,
  service: 's',
  address: 'w:1',
  vmId: 'm',
  availabilityZone: 'z',
  sequence: 1,
  state: 'active',
  capacity: SHAPE,
  labels: ['l'],
  rack: 'r',
  clockMs: 1,
  coldRemainingMs: 0,
  running: [{ taskKey: 'j.0.0.0', run: 1, checkpoint: '', percent: 1, usage: 0 }],
  ends: [{ sequence: 1, taskKey: 'j.0.0.0', run: 1, reason: 'done', checkpoint: '' }]
}
const CONTROL_NODE = { nodeId: 'y', host: '127.0.0.1', port: 9, voter: { nodeId: 'y', diskId: 'd' }, startedWallMs: 1 }
const SUBMISSION = {
  request: { host: 'h', path: '/q/1', apiKey: 'k' },
  spec: { payload: '', steps: [{ taskCount: 1, shape: SHAPE, estimateMs: 1, dependsOn: [] }] }
}

/** One sound message of each kind; a term of 0 keeps those of the replica without effect. */
const MESSAGES: readonly object[] = [
  { kind: 'hello', nodeId: 'x', control: null },
  { kind: 'hello', nodeId: 'y', control: CONTROL_NODE },
  { kind: 'members', nodes: [CONTROL_NODE], leaderNodeId: null },
  { kind: 'raft', from: VOTER, to: VOTER, message: { kind: 'vote_request', term: 0, isPreVote: true, lastIndex: 1, lastTerm: 1, isTransfer: false } },
  { kind: 'raft', from: VOTER, to: VOTER, message: { kind: 'vote_response', term: 0, isPreVote: true, granted: false } },
  { kind: 'raft', from: VOTER, to: VOTER, message: { kind: 'append_request', term: 0, previousIndex: 1, previousTerm: 1, entries: [ENTRY], commitIndex: 1, round: 1 } },
  { kind: 'raft', from: VOTER, to: VOTER, message: { kind: 'append_response', term: 0, success: true, matchIndex: 1, round: 1 } },
  { kind: 'raft', from: VOTER, to: VOTER, message: { kind: 'snapshot_ack', term: 0, lastIndex: 1, receivedBytes: 1 } },
  { kind: 'ask', requestId: 'r', ask: { kind: 'report', report: REPORT } },
  { kind: 'ask', requestId: 'r', ask: { kind: 'worker_left', workerId: 'w' } },
  { kind: 'ask', requestId: 'r', ask: { kind: 'operation', operation: { kind: 'submit', ...SUBMISSION } } },
  { kind: 'ask', requestId: 'r', ask: { kind: 'operation', operation: { kind: 'put_configuration', document: { version: 0, queues: [], services: [], organisations: [{ name: 'o', apiKeys: [], guaranteedAccelerators: 0, permittedRegions: ['r'] }], source: '' } } } },
  { kind: 'ask', requestId: 'r', ask: { kind: 'operation', operation: { kind: 'start_evacuation', zone: 'z', requestedBy: 'h' } } },
  { kind: 'ask', requestId: 'r', ask: { kind: 'operation', operation: { kind: 'list_evacuations' } } },
  { kind: 'answer', requestId: 'r', answer: { kind: 'not_leader', leaderNodeId: null } },
  { kind: 'answer', requestId: 'r', answer: { kind: 'result', result: { ok: true, value: { kind: 'accepted' } } } },
  { kind: 'answer', requestId: 'r', answer: { kind: 'result', result: { ok: false, failure: { kind: 'unknown_job', detail: '' } } } },
  { kind: 'leaving', voter: VOTER }
]

const hostileValue = fc.oneof(
  fc.constantFrom<unknown>(null, undefined, '', 'x'.repeat(5_000), -1, Number.NaN, 1e308, true, [], [[]], {}, ['__proto__'], { kind: 'constructor' }),
  fc.jsonValue({ maxDepth: 6 })
)

/** Replaces the value at one place of a message, chosen by `path`, by another value. */
function mutate (value: unknown, path: readonly number[], replacement: unknown): unknown {
  if (path.length === 0 || typeof value !== 'object' || value === null) return replacement
  const keys = Object.keys(value)
  if (keys.length === 0) return replacement
  const key = keys[(path[0] as number) % keys.length] as string
  const copy: Record<string, unknown> = { ...value }
  copy[key] = mutate(copy[key], path.slice(1), replacement)
  return Array.isArray(value) ? Object.values(copy) : copy
}

const place = fc.array(fc.nat(20), { minLength: 1, maxLength: 6 })
const mutatedMessage = fc.tuple(fc.constantFrom(...MESSAGES), place, hostileValue)
  .map(([message, path, replacement]) => mutate(message, path, replacement))

function frame (body: Buffer): Buffer {
  const header = Buffer.alloc(4)
  header.writeUInt32BE(body.length)
  return Buffer.concat([header, body])
}

async function connect ({ host, port }: PeerAddress): Promise<Socket> {
  const socket = createConnection({ host, port })
  socket.on('error', () => {})
  // Answers are discarded; unread ones would keep the socket from closing.
  socket.resume()
  await new Promise(resolve => { socket.once('connect', resolve) })
  socket.write(frame(codec.encode({ kind: 'hello', nodeId: 'x', control: null })))
  return socket
}

/** Sends a body on a new link and waits until the receiver has read it. */
async function sendOnNewLink (address: PeerAddress, body: Buffer): Promise<void> {
  const socket = await connect(address)
  socket.write(frame(body))
  const closed = new Promise<void>(resolve => { socket.once('close', () => { resolve() }) })
  socket.end()
  await closed
}

test('the samples are valid messages, so that each mutation starts from one that is handled', t => {
  for (const message of MESSAGES) t.true(isValidMessage(message), JSON.stringify(message))
})

// Guards against a port that no node can dial: the attempt throws, and the process that was told of the node ended.
test('a control node with a port out of range is not valid', t => {
  for (const port of [0, -1, 65_536, 2 ** 32, '80']) {
    t.false(isValidMessage({ kind: 'hello', nodeId: 'y', control: { ...CONTROL_NODE, port } }))
    t.false(isValidMessage({ kind: 'members', nodes: [{ ...CONTROL_NODE, port }], leaderNodeId: null }))
  }
})

test('malformed messages, frames and values on a peer link do not end the process or stop its service', async t => {
  const cluster = await Cluster.create()
  t.teardown(async () => { await cluster.close() })
  await Promise.all(NODE_IDS.map(async nodeId => await cluster.startControl(nodeId, true)))
  const entry = await cluster.startFrontend('entry')
  const encode = (value: unknown): Buffer => codec.encode(value)
  const messages = fc.sample(mutatedMessage, { numRuns: 3_000, seed: 7 }).map(encode)
  const values = fc.sample(fc.anything(), { numRuns: 100, seed: 7 }).map(encode)
  const noise = fc.sample(fc.uint8Array({ maxLength: 200 }), { numRuns: 100, seed: 7 }).map(bytes => Buffer.from(bytes))
  // Each has a link of its own, since a value that is not a message closes its link.
  for (const [index, body] of [...messages, ...values, ...noise].entries()) {
    await sendOnNewLink(cluster.addressOf(NODE_IDS[index % NODE_IDS.length] as string), body)
  }
  // A mutated document of a higher version may be in force, and then the change is accepted without effect.
  const document = { version: 1, queues: [], services: [], organisations: [], source: '{}' }
  t.true((await cluster.executeUntil(entry, { kind: 'put_configuration', document })).ok)
  t.true((await cluster.executeUntil(entry, { kind: 'get_configuration' })).ok)
})
