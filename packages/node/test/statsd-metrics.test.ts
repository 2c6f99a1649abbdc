import { createSocket } from 'node:dgram'
import test from 'ava'
import { StatsdMetrics } from '../src/statsd-metrics.js'

test('refusals are sent with a tag for their kind, so that operators see why callers are refused', async t => {
  const server = createSocket('udp4')
  const lines: string[] = []
  server.on('message', message => { lines.push(...message.toString().split('\n')) })
  await new Promise<void>(resolve => { server.bind(0, '127.0.0.1', resolve) })
  const metrics = new StatsdMetrics({ host: '127.0.0.1', port: server.address().port, prefix: 'comfreygrade' }, 'n1')
  metrics.increment('refusal', { kind: 'queue_full' })
  metrics.increment('refusal', { kind: 'queue_full' }, 2)
  while (lines.length < 2) await new Promise(resolve => setTimeout(resolve, 5))
  await metrics.close()
  server.close()
  t.regex(lines[0] ?? '', /^comfreygrade\.refusal:1\|c\|#.*kind:queue_full/)
  t.regex(lines[0] ?? '', /node:n1/)
  t.regex(lines[1] ?? '', /^comfreygrade\.refusal:2\|c/)
  t.deepEqual(metrics.snapshot(), { 'refusal{kind=queue_full}': 3 })
})

test('an unreachable StatsD server causes no failure, and metrics are still counted', async t => {
  const metrics = new StatsdMetrics({ host: '127.0.0.1', port: 9, prefix: 'comfreygrade' }, 'n1')
  metrics.increment('retry', { reason: 'rejected' })
  await metrics.close()
  t.is(metrics.snapshot()['retry{reason=rejected}'], 1)
})
