/** A burst on a queue with advice: the leader's calls wait for one another until it takes their tickets for too old. */
import { Case, newId, pause } from '../lib-2/case.mjs'
import { Advice } from '../lib-2/advice.mjs'

const RUNNERS = 30
/** A call that names all runners takes 500 ms. */
const POLICY = { decideMs: 200, eachMs: 10, validMs: 2_000 }
const BURST_JOBS = 12
const UNIT_MS = 1_000
const NEED = { cpu: 5_600, memMb: 16_000, gpu: 1 }
/** `finish_s` of the bounds, and the time for which a job may have nothing running after that. */
const FINISH_MS = 14_000
const IDLE_LIMIT_MS = 3_000
const CHECK_MS = 50
const ADVICE_PORT = 8524

const test = new Case(import.meta.dirname)
const adviceHost = prefix => `${prefix}.99`

await test.run({ settings: prefix => ({ advice: `${adviceHost(prefix)}:${ADVICE_PORT}` }) }, async () => {
  const advice = new Advice({
    host: adviceHost(test.deployment.prefix),
    port: ADVICE_PORT,
    policy: POLICY,
    onEvent: (kind, { step, workers, afterMs }) => {
      test.note(`advice ${kind} ${step} for ${workers} runners, ${afterMs} ms after the call; valid for ${POLICY.validMs} ms from now`)
    }
  })
  await advice.start()
  await test.configure(test.manifest(1, { routes: [{ pathPrefix: '/q/', advice: POLICY }] }))
  test.addRunners(RUNNERS, { durationMs: () => UNIT_MS })
  for (const runner of test.runners) {
    runner.takesTicket = (ticket, unit) => advice.isValid(ticket, unit.slice(0, unit.lastIndexOf('.')), runner.id)
  }
  await pause(4_000)
  const jobs = []
  for (let count = 0; count < BURST_JOBS; count++) {
    const jobId = newId()
    test.needs.set(jobId, NEED)
    const status = await test.submit(`/q/${jobId}`, { spec: 'advised', steps: [{ count: 2, ...NEED, estimateMs: UNIT_MS }] })
    if (status === 200) jobs.push(jobId)
    // Without the burst, each job comes when the one before it has ended.
    if (!test.withTrouble) await pause(2_500)
  }
  await pause(FINISH_MS)
  const waiting = new Set(jobs)
  let largestShare = 0
  for (const untilMs = performance.now() + IDLE_LIMIT_MS; performance.now() < untilMs; await pause(CHECK_MS)) {
    for (const jobId of waiting) if (test.isRunning(jobId)) waiting.delete(jobId)
    largestShare = Math.max(largestShare, test.usedShare())
  }
  let broken = 0
  for (const jobId of jobs) {
    const { status, body } = await test.client('GET', `/q/${jobId}`)
    const isIdle = waiting.has(jobId) && body?.state !== 'completed'
    test.note(`GET /q/${jobId} -> ${status} ${body?.state}${isIdle ? `; nothing has run for ${IDLE_LIMIT_MS} ms` : ''}`)
    if (isIdle) broken++
  }
  test.note(`${broken} of ${jobs.length} jobs stand still; largest share in use ${largestShare.toFixed(3)}`)
  advice.stop()
  return broken > 0 && largestShare < 0.5
})
