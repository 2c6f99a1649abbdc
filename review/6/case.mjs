/** Recurring jobs whose occurrences are all due: the work units of all of them fill the memory of each leader. */
import { Case, newId, pause } from '../lib-2/case.mjs'

const RUNNERS = 8
const BURST_JOBS = 20
const WIDTH = 72
const INTERVAL_MS = 1_000
/** `times` of the site file, and the number with the disruption. */
const USUAL_REPEATS = 8
const REPEATS = 1_000
/** `finish_s` of the bounds. */
const FINISH_MS = 14_000
const ASK_ATTEMPTS = 5
const ORDINARY = { spec: 'ordinary', steps: [{ count: 3, cpu: 7500, memMb: 39000, estimateMs: 2000 }] }

const test = new Case(import.meta.dirname)

/** Whether a job is known and shown within one of several attempts, each with the client's deadline of 3 s. */
async function isAnswered (path) {
  for (let attempt = 0; attempt < ASK_ATTEMPTS; attempt++) {
    const { status, body, error } = await test.client('GET', path)
    test.note(`GET ${path} -> ${status} ${body?.state ?? body?.error ?? error}`)
    if (status === 200) return true
    await pause(500)
  }
  return false
}

await test.run({}, async () => {
  await test.configure(test.manifest(1))
  test.addRunners(RUNNERS, { durationMs: () => 2000 })
  await pause(3_000)
  const accepted = []
  const submit = async body => {
    const path = `/q/${newId()}`
    if (await test.submit(path, body) === 200) accepted.push(path)
  }
  for (let count = 0; count < 4; count++) await submit(ORDINARY)
  const repeatCount = test.withTrouble ? REPEATS : USUAL_REPEATS
  const step = { count: WIDTH, cpu: 5600, memMb: 16000, gpu: 1, estimateMs: 2000 }
  for (let count = 0; count < BURST_JOBS; count++) {
    const firstMs = Date.now() - repeatCount * INTERVAL_MS
    await submit({ spec: 'recurring', steps: [step], repeatCount, firstMs, intervalMs: INTERVAL_MS })
  }
  for (let count = 0; count < 2; count++) await submit(ORDINARY)
  await pause(FINISH_MS)
  const answers = await Promise.all([...accepted.slice(0, 5), ...accepted.slice(-2)].map(isAnswered))
  const ends = test.deployment.controls.map(control => control.ends.length)
  test.note(`accepted ${accepted.length} jobs; asked for ${answers.length}, answered ${answers.filter(Boolean).length}`)
  test.note(`ends by themselves of the control processes: ${ends.join(', ')}`)
  return answers.includes(false)
})
