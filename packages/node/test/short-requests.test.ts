import test from 'ava'
import { request } from 'undici'
import { EntryApplication, listen, startHttpApi } from './fixture.js'

test('concurrent short requests get their own complete answers although the answers arrive out of order', async t => {
  const backend = await listen((req, res) => {
    const chunks: Buffer[] = []
    req.on('data', chunk => chunks.push(chunk))
    req.on('end', () => {
      const text = Buffer.concat(chunks).toString()
      // Earlier requests are answered later, so that answers arrive out of order.
      setTimeout(() => { res.end(`answer to ${text}`) }, 200 - Number(text) * 10)
    })
  })
  const application = new EntryApplication()
  const { api, url } = await startHttpApi(application)
  t.teardown(async () => {
    await api.stop()
    await application.backendClient.close()
    backend.close()
  })

  const announced = await request(`${url}/v1/backend-servers/b1`, {
    method: 'PUT',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify({
      incarnation: 1,
      sequence: 1,
      address: `http://127.0.0.1:${backend.port}`,
      region: 'r',
      availabilityZone: 'z',
      services: ['billing'],
      slots: 64,
      connections: 64
    })
  })
  t.is(announced.statusCode, 200)
  await announced.body.dump()

  const answers = await Promise.all(Array.from({ length: 20 }, async (_, index) => {
    const response = await request(`${url}/v1/services/billing/requests`, {
      method: 'POST',
      headers: { 'comfreygrade-organisation': 'o1', 'comfreygrade-request-id': `req-${index}` },
      body: String(index)
    })
    t.is(response.headers['comfreygrade-request-id'], `req-${index}`)
    return await response.body.text()
  }))
  t.deepEqual(answers, Array.from({ length: 20 }, (_, index) => `answer to ${index}`))
})
