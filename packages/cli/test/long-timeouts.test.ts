import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import test from 'ava'
import { NodeTransport } from '../src/node-transport.js'

/** Longer than a time limit that Node.js shortens to 1 ms. */
const ANSWER_DELAY_MS = 100

// Guards against a command that says that no node responded, since its --timeout-ms is longer than a timer of Node.js
// lasts and ends after 1 ms, or is refused before the call is made.
for (const timeoutMs of [3_000_000_000, 5_000_000_000]) {
  test(`a call with a timeout of ${timeoutMs} ms waits for its answer`, async t => {
    let callCount = 0
    const server = createServer((_request, response) => {
      callCount++
      setTimeout(() => { response.end('{}') }, ANSWER_DELAY_MS)
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    t.teardown(() => { server.closeAllConnections(); server.close() })
    const address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
    const transport = new NodeTransport([address], timeoutMs)
    const { status } = await transport.send({ method: 'GET', path: '/v1/status', isIdempotent: true })
    await transport.close()
    t.is(status, 200)
    t.is(callCount, 1)
  })
}
