/** See claim.txt. */
import { runCase, need } from '../lib/case.mjs'
import { jobId, killLeader, route, SERVICE, startSystem } from '../lib/deployment.mjs'
import { Runner } from '../lib/runner.mjs'
import { nowMs, pause } from '../lib/time.mjs'

const RUNNER_COUNT = 4
const TARGET_MS = 100
const BASE_LOAD = 0.4
const PEAK_LOAD = 1.2
/** What a filler at its full rate adds to the tail, as a share of the target. */
const FILLER_LOAD = 0.25
const PEAK_MS = 2_000
const KILL_AFTER_PEAK_BEGAN_MS = 1_500
const FINISH_MS = 14_000
const STARVED_MS = 3_000

await runCase(new URL('record.txt', import.meta.url), async ({ record, isTroubled, onEnd }) => {
  const { system, client } = await startSystem({ record, onEnd }, [route('queue')])
  let load = BASE_LOAD
  const runners = Array.from({ length: RUNNER_COUNT }, (_, index) => new Runner(record, system.controlAddresses, {
    id: `i-${index}`,
    address: `127.${system.network}.1.${index + 1}:8080`,
    service: SERVICE,
    labels: ['a', `r${index}`],
    tailMs: (_run, fillerRate) => TARGET_MS * (load + FILLER_LOAD * fillerRate)
  }))
  onEnd(() => { for (const runner of runners) runner.crash('end of the case') })
  for (const runner of runners) runner.up()

  const serving = { cpu: 8_000, memMb: 8_000, lasts: true }
  need(await client.submit(`/queue/${jobId(1)}`, {
    spec: JSON.stringify(serving),
    steps: [{ count: RUNNER_COUNT, cpu: 8_000, memMb: 8_000, estimateMs: 60_000, antiAffinity: 1, longRunning: true, image: 'front', targetMs: TARGET_MS }]
  }), 'the lasting job was not accepted')
  const filling = { cpu: 16_000, memMb: 8_000, fills: true, workMs: 20_000 }
  need(await client.submit(`/queue/${jobId(2)}`, {
    spec: JSON.stringify(filling),
    steps: [{ count: RUNNER_COUNT, cpu: 16_000, memMb: 8_000, estimateMs: 20_000, antiAffinity: 1, fills: true, image: 'batch' }]
  }), 'the filling job was not accepted')
  await pause(5_000)
  need(runners.every(runner => runner.running.size === 2), 'not every runner has a serving and a filling work unit')

  record.add('the load of the serving work units rises')
  load = PEAK_LOAD
  await pause(KILL_AFTER_PEAK_BEGAN_MS)
  need(runners.every(runner => [...runner.running.values()].some(run => run.job.fills && run.rate < 0.3)), 'the fillers were not slowed')
  if (isTroubled) killLeader(system, runners)
  await pause(PEAK_MS - KILL_AFTER_PEAK_BEGAN_MS)
  record.add('the load of the serving work units is as before')
  load = BASE_LOAD

  await pause(6_000)
  const ordinary = { cpu: 8_000, memMb: 8_000, workMs: 2_000 }
  const path = `/queue/${jobId(3)}`
  need(await client.submit(path, {
    spec: JSON.stringify(ordinary),
    steps: [{ count: 2, cpu: 8_000, memMb: 8_000, estimateMs: 2_000 }]
  }), 'the ordinary job was not accepted')
  record.add('end of the traffic')
  const hasStarted = () => runners.some(runner => runner.starts.some(start => start.unit.startsWith(jobId(3))))
  const endMs = nowMs() + FINISH_MS + STARVED_MS
  while (nowMs() < endMs && !hasStarted()) await pause(100)
  const state = await client.state(path)
  const fillerState = await client.state(`/queue/${jobId(2)}`)
  for (const runner of runners) record.add('running at the end', { id: runner.id, running: [...runner.running.values()] })
  if (hasStarted()) return undefined
  return `no work unit of the ordinary job (shown as ${state}) was started ${FINISH_MS + STARVED_MS} ms after the end ` +
    `of the traffic, with ${RUNNER_COUNT} runners at an eighth of their capacity; the filling job is ${fillerState}`
})
