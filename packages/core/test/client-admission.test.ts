import test from 'ava'
import { ClientAdmission, type AdmittedBody, type ClientAdmissionLimits } from '../src/index.js'

interface Thing { readonly name: string }

function thing (name: string): Thing {
  return { name }
}

const limits: ClientAdmissionLimits = {
  budgetBytes: 1_000,
  maxAddressPercent: 50,
  maxConnections: { client: 4, control: 4, readiness: 2, metrics: 2 },
  maxPipelinedRequests: 2,
  maxFragmentedBodies: 1
}

function create (changes: Partial<ClientAdmissionLimits> = {}): ClientAdmission<Thing, Thing> {
  return new ClientAdmission({ ...limits, ...changes })
}

function connect (admission: ClientAdmission<Thing, Thing>, name: string, address: string, nowMs = 0): Thing {
  const connection = thing(name)
  admission.openConnection(connection, { address, pool: 'client', nowMs })
  return connection
}

function beginBody (
  admission: ClientAdmission<Thing, Thing>, body: Thing, connection: Thing, maxBodyBytes: number
): AdmittedBody<Thing> {
  const admitted = admission.beginBody(body, connection, { maxBodyBytes }, 0)
  if (typeof admitted === 'string') throw new Error(admitted)
  return admitted
}

// Guards against idle connections that keep new clients out, and against the loss of an ordinary client's connection.
test('a full pool replaces the oldest connection without an answer, never one that was answered', t => {
  const admission = create({ maxAddressPercent: 100 })
  const ordinary = connect(admission, 'ordinary', 'a')
  admission.beginRequest(ordinary)
  admission.endRequest(ordinary, 0)
  const idle = connect(admission, 'idle', 'b')
  for (const name of ['c', 'd']) admission.beginRequest(connect(admission, name, name))
  t.deepEqual(admission.openConnection(thing('new'), { address: 'e', pool: 'client', nowMs: 1 }), {
    dropped: [idle], droppedFor: 'connections'
  })
  t.is(admission.openConnection(thing('readiness'), { address: 'e', pool: 'readiness', nowMs: 1 }).refused, undefined)
})

// Guards against workers that no control node admits, since all keep connections to the leaders of earlier terms.
test('a full pool replaces the answered connection that has been idle for longest, but none in use', t => {
  const admission = create({ maxAddressPercent: 100 })
  const names = ['first', 'second', 'third', 'fourth']
  const connections = names.map(name => connect(admission, name, name))
  for (const connection of connections) {
    admission.beginRequest(connection)
    admission.endRequest(connection, 0, 0)
  }
  admission.beginRequest(connections[0] as Thing)
  admission.endRequest(connections[0] as Thing, 0, 4_000)
  admission.beginRequest(connections[1] as Thing)
  const open = (name: string, nowMs: number): unknown =>
    admission.openConnection(thing(name), { address: name, pool: 'client', nowMs })
  t.like(open('early', 4_900), { refused: 'connections' })
  t.like(open('late', 5_000), { refused: undefined, dropped: [connections[2]] })
})

// Guards against a single address that takes all connections.
test('an address holds only its share of a pool', t => {
  const admission = create()
  for (const name of ['a', 'b']) admission.beginRequest(connect(admission, name, 'x'))
  t.is(admission.openConnection(thing('c'), { address: 'x', pool: 'client', nowMs: 1 }).refused, 'address_connections')
  t.is(admission.openConnection(thing('d'), { address: 'y', pool: 'client', nowMs: 1 }).refused, undefined)
})

// Guards against stalled bodies that hold the connections of an address until their timeout.
test('a connection with a stalled body makes room for a new one', t => {
  const admission = create()
  const connections = ['a', 'b'].map(name => connect(admission, name, 'x'))
  for (const connection of connections) {
    admission.beginRequest(connection)
    beginBody(admission, connection, connection, 100)
  }
  t.deepEqual(admission.openConnection(thing('c'), { address: 'x', pool: 'client', nowMs: 2_000 }).dropped, [connections[0]])
})

test('a body over its limit is refused by its announced length, or once it exceeds the limit', t => {
  const admission = create()
  const connection = connect(admission, 'a', 'x')
  t.is(admission.beginBody(thing('a'), connection, { maxBodyBytes: 100, announcedBytes: 101 }, 0), 'body_bytes')
  const body = beginBody(admission, thing('b'), connection, 100)
  t.is(admission.receiveChunk(body, 100, 100, 0).refused, undefined)
  t.is(admission.receiveChunk(body, 1, 200, 0).refused, 'body_bytes')
  t.is(admission.heldBytes, 0)
})

// Guards against large unfinished bodies that keep ordinary ones out.
test('the slowest and largest unfinished body is dropped to keep the budget, never a complete one', t => {
  const admission = create({ maxAddressPercent: 100 })
  const [complete, slow, ordinary] = ['x', 'y', 'z'].map(name => (
    beginBody(admission, thing(name), connect(admission, name, name), 1_000)
  )) as [AdmittedBody<Thing>, AdmittedBody<Thing>, AdmittedBody<Thing>]
  admission.receiveChunk(complete, 500, 500, 0)
  admission.completeBody(complete)
  admission.receiveChunk(slow, 450, 450, 0)
  t.deepEqual(admission.receiveChunk(ordinary, 100, 100, 50), { dropped: [slow.body], droppedFor: 'body_budget' })
  t.is(admission.heldBytes, 600)
})

// Guards against a single address that uses up the budget of all others.
test('an address keeps to its share of the budget, but a single body may use all of it', t => {
  const admission = create()
  const connection = connect(admission, 'a', 'x')
  const first = beginBody(admission, thing('1'), connection, 1_000)
  t.is(admission.receiveChunk(first, 900, 900, 0).refused, undefined)
  const second = beginBody(admission, thing('2'), connection, 1_000)
  t.deepEqual(admission.receiveChunk(second, 50, 50, 10).dropped, [first.body])
})

// Guards against chunks of one byte, which cost processor time rather than memory.
test('fragmented bodies beyond the limit are refused, a single one is served', t => {
  const admission = create({ budgetBytes: 1_000_000 })
  const refusals = ['a', 'b'].map(name => {
    const body = beginBody(admission, thing(name), connect(admission, name, name), 10_000)
    return Array.from({ length: 5_000 }, () => admission.receiveChunk(body, 1, 100, 0).refused).find(Boolean)
  })
  t.deepEqual(refusals, [undefined, 'chunk_size'])
})

// Guards against requests sent ahead, and against answers that nobody reads.
test('requests sent ahead are limited, and the connection with most unread answers is dropped first', t => {
  const admission = create()
  const [reader, other] = [connect(admission, 'reader', 'x'), connect(admission, 'other', 'y')]
  t.deepEqual([1, 2, 3].map(() => admission.beginRequest(other).refused), [undefined, undefined, 'pipelined_requests'])
  admission.beginAnswer(other, 600)
  admission.beginRequest(reader)
  t.deepEqual(admission.beginAnswer(reader, 500).dropped, [other])
  admission.endRequest(reader, 500)
  t.is(admission.heldBytes, 0)
})

/** Sends a body in many chunks of one size; returns the limit that refused it. */
function sendChunks (
  admission: ClientAdmission<Thing, Thing>, body: AdmittedBody<Thing>, chunkBytes: number
): string | undefined {
  return Array.from({ length: 2_500 }, () => admission.receiveChunk(body, chunkBytes, 100, 0).refused).find(Boolean)
}

// Guards against a large configuration in many packets that is refused because of the small chunks of other clients.
test('a body of many ordinary chunks is served while others are fragmented', t => {
  const admission = create({ budgetBytes: 1_000_000 })
  const [first, late, large] = ['a', 'b', 'c'].map(name => (
    beginBody(admission, thing(name), connect(admission, name, name), 16_000_000)
  )) as [AdmittedBody<Thing>, AdmittedBody<Thing>, AdmittedBody<Thing>]
  t.is(sendChunks(admission, first, 1), undefined)
  admission.receiveChunk(late, 150_000, 100, 0)
  sendChunks(admission, late, 1)
  t.is(sendChunks(admission, large, 1_460), undefined)
})

// Guards against a sender of one large chunk that evades the limit for all its small ones.
test('a body that becomes fragmented after a large chunk is refused too', t => {
  const admission = create({ budgetBytes: 1_000_000 })
  const [first, late] = ['a', 'b'].map(name => (
    beginBody(admission, thing(name), connect(admission, name, name), 16_000_000)
  )) as [AdmittedBody<Thing>, AdmittedBody<Thing>]
  t.is(sendChunks(admission, first, 1), undefined)
  admission.receiveChunk(late, 150_000, 100, 0)
  t.is(sendChunks(admission, late, 1), undefined)
  t.is(sendChunks(admission, late, 1), 'chunk_size')
})

// Guards against the loss of an ordinary reader's answer to make room beside the unfinished bodies of other clients.
test('an answer makes room by dropping a larger unfinished body rather than an answer that is being read', t => {
  const admission = create({ maxAddressPercent: 100 })
  const [sender, first, second] = ['x', 'y', 'z'].map(name => connect(admission, name, name)) as [Thing, Thing, Thing]
  const unfinished = beginBody(admission, thing('unfinished'), sender, 1_000)
  admission.receiveChunk(unfinished, 950, 950, 0)
  for (const reader of [first, second]) admission.beginRequest(reader)
  t.deepEqual(admission.beginAnswer(first, 40).dropped, [])
  const { dropped, droppedBodies } = admission.beginAnswer(second, 40, 100)
  t.deepEqual([dropped, droppedBodies], [[], [unfinished.body]])
  t.is(admission.heldBytes, 80)
})
