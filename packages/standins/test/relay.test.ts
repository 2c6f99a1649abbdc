import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import test from 'ava'
import { Relay } from '../src/index.js'
import { pollUntil } from './fake-entry.js'

async function startEchoServer (): Promise<{ port: number, close: () => void }> {
  const server = createServer(socket => { socket.on('error', () => {}).pipe(socket) })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return { port: (server.address() as AddressInfo).port, close: () => { server.close() } }
}

async function connectTo (relay: Relay): Promise<Socket> {
  const socket = connect(relay.port, '127.0.0.1')
  await once(socket, 'connect')
  return socket
}

async function sendAndReceive (socket: Socket, text: string, waitMs: number): Promise<string> {
  socket.write(text)
  const silence = new Promise<string>(resolve => setTimeout(resolve, waitMs, 'silence'))
  return await Promise.race([once(socket, 'data').then(([chunk]) => String(chunk)), silence])
}

async function withRelay (body: (relay: Relay) => Promise<void>): Promise<void> {
  const target = await startEchoServer()
  const relay = new Relay(target.port)
  await relay.start()
  await body(relay)
  await relay.stop()
  target.close()
}

test('a blocked relay forwards nothing and delivers held-back data once restored, like a network partition', async t => {
  await withRelay(async relay => {
    const socket = await connectTo(relay)
    t.is(await sendAndReceive(socket, 'a', 2_000), 'a')
    for (const direction of ['to_target', 'to_client', 'both'] as const) {
      relay.block(direction)
      t.is(await sendAndReceive(socket, direction, 60), 'silence')
      const delivered = once(socket, 'data')
      relay.restore()
      t.is(String((await delivered)[0]), direction)
    }
    t.false(socket.destroyed)
    socket.destroy()
  })
})

test('silenced connections stay silent while new ones work, so that only an idle timeout can detect them', async t => {
  await withRelay(async relay => {
    const old = await connectTo(relay)
    await sendAndReceive(old, 'a', 2_000)
    relay.silenceOpenConnections()
    relay.restore()
    t.is(await sendAndReceive(old, 'b', 60), 'silence')
    const fresh = await connectTo(relay)
    t.is(await sendAndReceive(fresh, 'c', 2_000), 'c')
    old.destroy()
    fresh.destroy()
  })
})

test('a close during a block reaches the other end once restored, so that no connection leaks', async t => {
  await withRelay(async relay => {
    for (const close of ['destroy', 'resetAndDestroy'] as const) {
      const socket = await connectTo(relay)
      await sendAndReceive(socket, 'a', 2_000)
      relay.block('both')
      socket[close]()
      await new Promise(resolve => setTimeout(resolve, 30))
      t.is(relay.openConnections, 1)
      relay.restore()
      await pollUntil(() => relay.openConnections === 0)
    }
  })
})
