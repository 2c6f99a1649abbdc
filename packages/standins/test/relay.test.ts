import { once } from 'node:events'
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import test from 'ava'
import { Relay } from '../src/index.js'
import { until } from './fake-entry.js'

async function startEcho (): Promise<{ port: number, close: () => void }> {
  const server = createServer(socket => { socket.on('error', () => {}).pipe(socket) })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return { port: (server.address() as AddressInfo).port, close: () => { server.close() } }
}

async function dial (relay: Relay): Promise<Socket> {
  const socket = connect(relay.port, '127.0.0.1')
  await once(socket, 'connect')
  return socket
}

async function echo (socket: Socket, text: string, waitMs: number): Promise<string> {
  socket.write(text)
  const silence = new Promise<string>(resolve => setTimeout(resolve, waitMs, 'silence'))
  return await Promise.race([once(socket, 'data').then(([chunk]) => String(chunk)), silence])
}

async function withRelay (body: (relay: Relay) => Promise<void>): Promise<void> {
  const target = await startEcho()
  const relay = new Relay(target.port)
  await relay.start()
  await body(relay)
  await relay.stop()
  target.close()
}

test('a blocked relay is silent and delivers what it held when restored, as a partition does', async t => {
  await withRelay(async relay => {
    const socket = await dial(relay)
    t.is(await echo(socket, 'a', 2_000), 'a')
    for (const direction of ['to_target', 'to_client', 'both'] as const) {
      relay.block(direction)
      t.is(await echo(socket, direction, 60), 'silence')
      const delivered = once(socket, 'data')
      relay.restore()
      t.is(String((await delivered)[0]), direction)
    }
    t.false(socket.destroyed)
    socket.destroy()
  })
})

test('silenced connections stay silent while new ones work, so that only a silence limit can find them', async t => {
  await withRelay(async relay => {
    const old = await dial(relay)
    await echo(old, 'a', 2_000)
    relay.silenceOpenConnections()
    relay.restore()
    t.is(await echo(old, 'b', 60), 'silence')
    const fresh = await dial(relay)
    t.is(await echo(fresh, 'c', 2_000), 'c')
    old.destroy()
    fresh.destroy()
  })
})

test('a closure during a block reaches the other end once restored, so that no connection is left behind', async t => {
  await withRelay(async relay => {
    for (const close of ['destroy', 'resetAndDestroy'] as const) {
      const socket = await dial(relay)
      await echo(socket, 'a', 2_000)
      relay.block('both')
      socket[close]()
      await new Promise(resolve => setTimeout(resolve, 30))
      t.is(relay.openConnections, 1)
      relay.restore()
      await until(() => relay.openConnections === 0)
    }
  })
})
