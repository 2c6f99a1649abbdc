import test from 'ava'
import { WorkerClient } from '../src/worker-client.js'

// Guards against orders that can never be sent and are taken for orders that the worker did not answer.
test('orders that the program cannot send are an error, and those to a worker that is down have no answer', async t => {
  const client = new WorkerClient(1_000)
  await t.throwsAsync(client.send('http://127.0.0.1:80:80', 1, []), { instanceOf: TypeError })
  // Nothing listens on this port.
  t.is(await client.send('http://127.0.0.1:9', 1, []), undefined)
  await client.close()
})
