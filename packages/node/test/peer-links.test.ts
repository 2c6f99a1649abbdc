import { createServer, connect, type AddressInfo, type Socket } from 'node:net'
import test from 'ava'
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
