import { createServer, connect, type AddressInfo, type Socket } from 'node:net'
import test, { type ExecutionContext } from 'ava'
import { InMemoryMetrics, NullEventLog, NullMetrics } from '@comfreygrade/core'
import { PeerLinks } from '../src/peer-links.js'
import { encodeFrame, type PeerMessage } from '../src/peer-messages.js'
import { SystemClock } from '../src/system-clock.js'
import { findFreePort, waitUntil } from './fixture.js'

const HOST = '127.0.0.1'
const request: PeerMessage = { kind: 'feed_request', version: 1, sentAtMs: 2 }

/** Starts a TCP server in place of a peer, which records the bytes that it receives. */
async function startPeer () {
  const sockets: Socket[] = []
  let received = Buffer.alloc(0)
  const server = createServer(socket => {
    sockets.push(socket)
    socket.on('data', chunk => { received = Buffer.concat([received, chunk]) })
    socket.on('error', () => {})
  })
  await new Promise<void>(resolve => { server.listen(0, HOST, resolve) })
  return {
    port: (server.address() as AddressInfo).port,
    received: () => received,
    stop: () => {
      for (const socket of sockets) socket.destroy()
      server.close()
    }
  }
}

for (const readsNumberedFields of [true, undefined]) {
  const title = readsNumberedFields === true
    ? 'a peer that reads numbered fields gets numbered frames after its hello'
    : 'a peer of an older version gets named frames only, so that a rolling upgrade breaks no link'
  test(title, async t => {
    const peer = await startPeer()
    const port = await findFreePort()
    const common = { host: HOST, httpAddress: 'http://127.0.0.1:1', region: 'r', roles: ['entry' as const] }
    let hasReceivedHello = false
    const ownHello: PeerMessage = { kind: 'hello', nodeId: 'n1', control: null }
    const links = new PeerLinks<PeerMessage>({
      nodeId: 'n1',
      host: HOST,
      port,
      peers: [{ ...common, nodeId: 'n1', port }, { ...common, nodeId: 'n2', port: peer.port }],
      pingIntervalMs: 60_000,
      silenceTimeoutMs: 60_000,
      redialDelayMs: 60_000,
      clock: new SystemClock(),
      metrics: new NullMetrics(),
      log: new NullEventLog(),
      hello: () => ownHello,
      onMessage: (_nodeId, message) => { hasReceivedHello ||= message.kind === 'hello' },
      onConnect: () => {},
      onDisconnect: () => {}
    })
    await links.start()
    const socket = connect(port, HOST)
    const hello: PeerMessage = { kind: 'hello', nodeId: 'n2', control: null }
    socket.write(encodeFrame(readsNumberedFields === true ? { ...hello, readsNumberedFields } : hello))
    await waitUntil(() => hasReceivedHello && links.connectedNodeIds().length === 1)
    t.true(links.send('n2', request))
    const expected = Buffer.concat([
      encodeFrame(ownHello), encodeFrame(request, readsNumberedFields === true ? 'numbered' : 'named')
    ])
    await waitUntil(() => peer.received().length >= expected.length)
    t.deepEqual(peer.received(), expected)
    socket.destroy()
    peer.stop()
    await links.stop()
  })
}

test('a reconnected link calls onConnect again, so that a restarted peer is sent the backend server records', async t => {
  const [port, peerPort] = [await findFreePort(), await findFreePort()]
  const common = { host: HOST, httpAddress: 'http://127.0.0.1:1', region: 'r', roles: ['entry' as const] }
  const peers = [{ ...common, nodeId: 'n1', port }, { ...common, nodeId: 'n2', port: peerPort }]
  const connected: string[] = []
  const createLinks = (nodeId: string, ownPort: number, onConnect: (peerId: string) => void) => new PeerLinks({
    nodeId,
    host: HOST,
    port: ownPort,
    peers,
    pingIntervalMs: 60_000,
    silenceTimeoutMs: 60_000,
    redialDelayMs: 10,
    clock: new SystemClock(),
    metrics: new NullMetrics(),
    log: new NullEventLog(),
    hello: () => ({ kind: 'hello', nodeId, control: null }),
    onMessage: () => {},
    onConnect,
    onDisconnect: () => {}
  })
  const links = createLinks('n1', port, peerId => { connected.push(peerId) })
  await links.start()
  for (const start of [1, 2]) {
    const peer = createLinks('n2', peerPort, () => {})
    await peer.start()
    await waitUntil(() => connected.length === start)
    await peer.stop()
  }
  t.deepEqual(connected, ['n2', 'n2'])
  await links.stop()
})

test('a message to all also reaches nodes that dialled this one and that it does not dial', async t => {
  const received: PeerMessage[] = []
  const createLinks = (nodeId: string, port: number, peers: Array<{ nodeId: string, host: string, port: number }>) =>
    new PeerLinks<PeerMessage>({
      nodeId,
      host: HOST,
      port,
      peers,
      acceptsUnknownNodes: true,
      pingIntervalMs: 60_000,
      silenceTimeoutMs: 60_000,
      redialDelayMs: 60_000,
      clock: new SystemClock(),
      metrics: new NullMetrics(),
      log: new NullEventLog(),
      hello: () => ({ kind: 'hello', nodeId, control: null, readsNumberedFields: true }),
      onMessage: (_from, message) => { received.push(message) },
      onConnect: () => {},
      onDisconnect: () => {}
    })
  const ports = [await findFreePort(), await findFreePort()] as const
  const control = createLinks('control', ports[0], [])
  const entry = createLinks('entry', ports[1], [{ nodeId: 'control', host: HOST, port: ports[0] }])
  t.teardown(async () => { await Promise.all([control.stop(), entry.stop()]) })
  await control.start()
  await entry.start()
  await waitUntil(() => received.some(({ kind }) => kind === 'hello'))
  control.broadcastToAll(request)
  await waitUntil(() => received.some(({ kind }) => kind === 'feed_request'))
  t.deepEqual(received.at(-1), request)
})

// Guards against a malformed message that ends the process which receives it.
test('a message at which the receiver throws is ignored, and the next one is received', async t => {
  const port = await findFreePort()
  const received: string[] = []
  const metrics = new InMemoryMetrics()
  const links = new PeerLinks<PeerMessage>({
    nodeId: 'n1',
    host: HOST,
    port,
    peers: [],
    acceptsUnknownNodes: true,
    pingIntervalMs: 60_000,
    silenceTimeoutMs: 60_000,
    redialDelayMs: 60_000,
    clock: new SystemClock(),
    metrics,
    log: new NullEventLog(),
    hello: () => ({ kind: 'hello', nodeId: 'n1', control: null }),
    onMessage: (_nodeId, message) => {
      if (message.kind === 'members') throw new TypeError('records is not iterable')
      received.push(message.kind)
    },
    onConnect: () => {},
    onDisconnect: () => {}
  })
  await links.start()
  const socket = connect(port, HOST)
  for (const message of [{ kind: 'hello', nodeId: 'n2', control: null }, { kind: 'members' }, request]) {
    socket.write(encodeFrame(message as PeerMessage))
  }
  await waitUntil(() => received.length === 2)
  t.deepEqual(received, ['hello', 'feed_request'])
  t.is(metrics.snapshot()['peer.malformed_message'], 1)
  socket.destroy()
  await links.stop()
})

/** Links that accept any node and keep to small limits. */
async function startLimitedLinks (t: ExecutionContext) {
  const port = await findFreePort()
  const metrics = new InMemoryMetrics()
  const received: string[] = []
  const links = new PeerLinks<PeerMessage>({
    nodeId: 'n1',
    host: HOST,
    port,
    peers: [],
    acceptsUnknownNodes: true,
    pingIntervalMs: 50,
    silenceTimeoutMs: 400,
    redialDelayMs: 60_000,
    maxReceiveBytes: 1_000_000,
    maxIncomingLinks: 4,
    clock: new SystemClock(),
    metrics,
    log: new NullEventLog(),
    hello: () => ({ kind: 'hello', nodeId: 'n1', control: null }),
    onMessage: nodeId => { received.push(nodeId) },
    onConnect: () => {},
    onDisconnect: () => {}
  })
  await links.start()
  t.teardown(async () => { await links.stop() })
  const dial = (nodeId?: string): Socket => {
    const socket = connect(port, HOST)
    socket.on('error', () => {})
    socket.resume()
    if (nodeId !== undefined) socket.write(encodeFrame({ kind: 'hello', nodeId, control: null }))
    return socket
  }
  return { metrics, received, dial }
}

function unfinishedFrame (announcedBytes: number, sentBytes: number): Buffer {
  const frame = Buffer.alloc(4 + sentBytes)
  frame.writeUInt32BE(announcedBytes, 0)
  return frame
}

// Guards against unfinished frames on several links that together exhaust the memory.
test('unfinished frames keep to their budget, and other links go on', async t => {
  const { metrics, received, dial } = await startLimitedLinks(t)
  const senders = ['x', 'y', 'z'].map(nodeId => dial(nodeId))
  for (const sender of senders) sender.write(unfinishedFrame(2_000_000, 600_000))
  await waitUntil(() => (metrics.snapshot()['peer.frame_dropped'] ?? 0) >= 2)
  t.is(senders.filter(sender => !sender.destroyed).length >= 1, true)
  dial('ordinary').write(encodeFrame(request))
  await waitUntil(() => received.filter(nodeId => nodeId === 'ordinary').length === 2)
})

// Guards against clients that are no nodes and occupy links, or announce large frames before they identify themselves.
test('a link that has not identified itself may send no large frame, and is closed after a time or for another link', async t => {
  const { metrics, received, dial } = await startLimitedLinks(t)
  const large = dial()
  large.write(unfinishedFrame(1_000_000, 10))
  await waitUntil(() => large.destroyed)
  t.is(metrics.snapshot()['peer.frame_dropped'], 1)
  const idle = Array.from({ length: 6 }, () => dial())
  dial('ordinary').write(encodeFrame(request))
  await waitUntil(() => received.filter(nodeId => nodeId === 'ordinary').length === 2)
  t.true((metrics.snapshot()['peer.links_limited'] ?? 0) >= 2)
  await waitUntil(() => idle.every(socket => socket.destroyed))
})
