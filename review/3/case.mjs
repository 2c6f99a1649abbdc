/** See claim.txt. */
import { runCase, need } from '../lib/case.mjs'
import { jobId, route, SERVICE, startSystem } from '../lib/deployment.mjs'
import { serve } from '../lib/http.mjs'
import { Runner } from '../lib/runner.mjs'
import { nowMs, pause } from '../lib/time.mjs'

const RUNNER_COUNT = 120
const ADVICE = { decideMs: 5, eachMs: 0.1, validMs: 20_000 }
const DOWN_MS = 4_000
const FINISH_MS = 14_000
const STARVED_MS = 3_000

await runCase(new URL('record.txt', import.meta.url), async ({ record, isTroubled, onEnd }) => {
  /** The policy of the queue allows these runners for every step; the system can only learn that by asking. */
  const allowed = new Set(['i-0', 'i-1', 'i-2'])
  const advice = await serve('127.0.0.1', async ({ body }) => {
    if (body.workers.length > 100) return { status: 400, body: {} }
    await pause(ADVICE.decideMs + ADVICE.eachMs * body.workers.length)
    const granted = body.workers.filter(id => allowed.has(id)).map(id => [id, `ticket-${body.step}`])
    record.add('advice', { step: body.step, workerCount: body.workers.length, granted })
    return { status: 200, body: { granted } }
  })
  onEnd(() => { advice.close() })
  const routes = [route('queue', { advice: ADVICE })]
  const { system, client } = await startSystem({ record, onEnd }, routes, { adviceAddress: advice.address })
  const runners = Array.from({ length: RUNNER_COUNT }, (_, index) => new Runner(record, system.controlAddresses, {
    id: `i-${index}`,
    address: `127.${system.network}.1.${index + 1}:8080`,
    service: SERVICE,
    labels: ['a', `r${Math.floor(index / 8)}`],
    isTicketNeeded: () => true
  }))
  onEnd(() => { for (const runner of runners) runner.crash('end of the case') })
  for (const runner of runners) {
    runner.up()
    await pause(10)
  }
  await pause(1_500)
  const job = {
    spec: JSON.stringify({ cpu: 8_000, memMb: 8_000, workMs: 1_000 }),
    steps: [{ count: 2, cpu: 8_000, memMb: 8_000, estimateMs: 1_000 }]
  }
  need(await client.submit(`/queue/${jobId(1)}`, job), 'the first job was not accepted')
  await pause(4_000)
  need(await client.state(`/queue/${jobId(1)}`) === 'completed', 'the first job was not completed')
  const allowedRunners = runners.filter(({ id }) => allowed.has(id))
  if (isTroubled) for (const runner of allowedRunners) runner.crash('crash')
  await pause(DOWN_MS)
  for (const runner of allowedRunners) runner.up()
  await pause(2_000)

  const path = `/queue/${jobId(2)}`
  need(await client.submit(path, job), 'the second job was not accepted')
  record.add('end of the traffic')
  const hasStarted = () => runners.some(runner => runner.starts.some(start => start.unit.startsWith(jobId(2))))
  const endMs = nowMs() + FINISH_MS + STARVED_MS
  while (nowMs() < endMs && !hasStarted()) await pause(100)
  const state = await client.state(path)
  if (hasStarted()) return undefined
  return `no work unit of the second job (shown as ${state}) was started ${FINISH_MS + STARVED_MS} ms after the end of ` +
    'the traffic, though the three runners that its policy allows are up and empty'
})
