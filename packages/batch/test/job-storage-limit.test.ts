/** Jobs for which the control processes have no memory. */
import test from 'ava'
import { deriveStateLimits, type BatchResult } from '../src/index.js'
import { LeaderFixture, runningTasks } from './leader-fixture.js'
import { HOST, KEY, step } from './sample-data.js'

const PAYLOAD = 'x'.repeat(10_000)
/** Room for three jobs with the payload, and for many without it. */
const MAX_JOB_BYTES = 38_000
const RETENTION_MS = 240_000

function submit (fixture: LeaderFixture, jobId: string, payload = PAYLOAD): BatchResult | undefined {
  const request = { host: HOST, path: `/normal/${jobId}`, apiKey: KEY }
  return fixture.execute({ kind: 'submit', request, spec: { payload, steps: [step({ taskCount: 1 })] } })
}

function createFullFixture (): LeaderFixture {
  const fixture = new LeaderFixture(undefined, { maxLongPollMs: 60, gangAssemblyMs: 0, maxJobBytes: MAX_JOB_BYTES })
  for (const jobId of ['a', 'b', 'c']) submit(fixture, jobId)
  return fixture
}

function retryAfterMs (result: BatchResult | undefined): number | undefined {
  return result?.ok === false && result.failure.kind === 'queue_full' ? result.failure.retryAfterMs : undefined
}

// Guards against control processes that end with an exhausted heap because nothing bounds all jobs together.
test('a job for which there is no memory is refused before it is proposed, and says when to come back', t => {
  const fixture = createFullFixture()
  const proposals = fixture.proposals.length
  const delayMs = retryAfterMs(submit(fixture, 'd'))
  t.true(delayMs !== undefined && delayMs >= 1_000 && delayMs <= 120_000, String(delayMs))
  t.is(fixture.proposals.length, proposals)
  t.is(fixture.state.job('d'), undefined)
})

// Guards against an accepted job whose repeated submission is told that it was not accepted.
test('a job that was accepted is accepted again while there is no memory', t => {
  const fixture = createFullFixture()
  t.true(submit(fixture, 'a')?.ok)
})

// Guards against memory that is promised twice while submissions wait for their commits.
test('submissions that are not committed yet count', t => {
  const fixture = new LeaderFixture(undefined, { maxJobBytes: MAX_JOB_BYTES })
  fixture.isCommitting = false
  const answers = ['a', 'b', 'c', 'd', 'e'].map(jobId => submit(fixture, jobId))
  t.deepEqual(answers.map(answer => retryAfterMs(answer) !== undefined), [false, false, false, true, true])
  while (fixture.refuseNext() !== undefined);
  fixture.advance(1_000)
  t.is(submit(fixture, 'd'), undefined)
})

test('a job is accepted again once others have ended', t => {
  const fixture = createFullFixture()
  t.true(retryAfterMs(submit(fixture, 'd')) !== undefined)
  fixture.cancel('a')
  fixture.advance(1_000)
  t.true(submit(fixture, 'd')?.ok)
})

// Guards against a job that starts though its caller was refused: entry nodes repeat a refusal for a moment.
test('a refused job stays refused for a moment', t => {
  const fixture = createFullFixture()
  const first = submit(fixture, 'd')
  fixture.cancel('a')
  fixture.advance(100)
  t.deepEqual(submit(fixture, 'd'), first)
})

// Guards against a Retry-After that is too early to be of use, or says nothing about when there will be room.
test('the delay follows the removal of ended jobs', t => {
  const fixture = new LeaderFixture(undefined, { maxJobBytes: 5_000 })
  for (const jobId of ['a', 'b']) submit(fixture, jobId, '')
  for (const jobId of ['a', 'b']) fixture.cancel(jobId)
  fixture.advance(RETENTION_MS - 10_000)
  fixture.state.apply({ kind: 'cancel_job', jobId: 'none' }, fixture.clock.monotonicMs())
  const delayMs = retryAfterMs(submit(fixture, 'c', ''))
  t.true(delayMs !== undefined && delayMs >= 9_000 && delayMs <= 20_000, String(delayMs))
  fixture.advance(10_500)
  fixture.state.apply({ kind: 'cancel_job', jobId: 'none' }, fixture.clock.monotonicMs())
  t.true(submit(fixture, 'c', '')?.ok)
})

// Guards against a state of an earlier version, with more jobs than the limit, that is not served any more.
test('jobs that were accepted without the limit run to their end', t => {
  const fixture = new LeaderFixture(undefined, { maxLongPollMs: 60, gangAssemblyMs: 0, maxJobBytes: 1_000 })
  const spec = { jobId: 'old', payload: PAYLOAD, steps: [step({ taskCount: 1 })] }
  const queueAddress = `${HOST}/normal/`
  fixture.state.apply({ kind: 'submit_job', spec, queueAddress, organisation: 'org-a', acceptedWallMs: 0 }, 1)
  const starts = fixture.heartbeat('w1')?.starts ?? []
  t.deepEqual(starts.map(start => start.taskKey), ['old.0.0.0'])
  fixture.heartbeat('w1', { running: runningTasks(starts) })
  fixture.heartbeat('w1', { ends: [{ sequence: 1, taskKey: 'old.0.0.0', run: 1, reason: 'done', checkpoint: '' }] })
  t.is(fixture.state.job('old')?.state, 'completed')
})

// Guards against an accepted gang that can never start, since it needs more tasks than may have started at once.
test('a gang beyond the limit of started tasks is refused for good', t => {
  const fixture = new LeaderFixture(undefined, { maxStartedTasks: 10 })
  const refused = fixture.submit('gang', [step({ taskCount: 11, isGang: true })])
  t.like(refused, { ok: false, failure: { kind: 'impossible_shape' } })
  t.true(fixture.submit('wide', [step({ taskCount: 11 })])?.ok)
})

test('the limits follow from the heap', t => {
  const small = deriveStateLimits(200 * 1_048_576)
  const large = deriveStateLimits(400 * 1_048_576)
  t.is(large.maxJobBytes, 2 * small.maxJobBytes)
  t.true(large.maxStartedTasks >= 2 * small.maxStartedTasks)
})
