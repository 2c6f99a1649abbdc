/** See claim.txt. */
import { runCase, need } from '../lib/case.mjs'
import { jobId, manifest, route, SERVICE, startSystem } from '../lib/deployment.mjs'
import { Runner } from '../lib/runner.mjs'
import { pause } from '../lib/time.mjs'

const MAX_ATTEMPTS = 2
const WORK_MS = 1_500

await runCase(new URL('record.txt', import.meta.url), async ({ record, isTroubled, onEnd }) => {
  const stays = route('stays')
  const changes = route('changes', { maxAttempts: MAX_ATTEMPTS })
  const { system, operator, client } = await startSystem({ record, onEnd }, [stays, changes])
  const runners = Array.from({ length: 6 }, (_, index) => new Runner(record, system.controlAddresses, {
    id: `i-${index}`,
    address: `127.${system.network}.1.${index + 1}:8080`,
    service: SERVICE,
    labels: ['a', 'r1']
  }))
  onEnd(() => { for (const runner of runners) runner.crash('end of the case') })
  for (const runner of runners) runner.up()
  await pause(1_500)

  const path = `/changes/${jobId(1)}`
  need(await client.submit(path, {
    spec: JSON.stringify({ cpu: 8_000, memMb: 8_000, workMs: WORK_MS, fails: true }),
    steps: [{ count: 1, cpu: 8_000, memMb: 8_000, estimateMs: WORK_MS }]
  }), 'the job was not accepted')
  const put = async (version, routes) => {
    need(await operator.change('PUT', '/api/config', manifest(version, routes)), `version ${version} was not acknowledged`)
  }
  if (isTroubled) await put(2, [stays])
  await pause(15_000)
  if (isTroubled) await put(3, [stays, changes])
  await pause(5_000)
  const state = await client.state(path)
  const starts = runners.flatMap(runner => runner.starts).sort((left, right) => left.atMs - right.atMs)
  record.add('starts of the work unit', { starts })
  need(starts.length >= MAX_ATTEMPTS, 'the work unit was not attempted')
  if (starts.length <= MAX_ATTEMPTS) return undefined
  return `${starts.length} starts of a work unit whose runs all end failed, with maxAttempts ${MAX_ATTEMPTS}; its job is ` +
    `shown as ${state}`
})
