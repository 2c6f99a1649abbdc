import test from 'ava'
import { criticalPathMs, remainingPathMs } from '../src/critical-path.js'
import {
  MAX_JOB_ID_LENGTH, MAX_OCCURRENCES, MAX_PAYLOAD_BYTES, MAX_STEPS_PER_JOB, MAX_TASKS_PER_OCCURRENCE, validateJob,
  type JobSpec
} from '../src/index.js'
import { LeaderFixture } from './leader-fixture.js'
import { job, step } from './sample-data.js'

const stepOf = (taskCount: number) => step({ taskCount })
const schedule = (occurrences: number) => ({ firstDueMs: 0, intervalMs: 1_000, occurrences })

const tooLarge: Readonly<Record<string, Omit<JobSpec, 'jobId'>>> = {
  bytes: { payload: 'x'.repeat(MAX_PAYLOAD_BYTES + 1), steps: [step()] },
  steps: { payload: '', steps: Array.from({ length: MAX_STEPS_PER_JOB + 1 }, () => stepOf(1)) },
  'tasks in one step': { payload: '', steps: [stepOf(MAX_TASKS_PER_OCCURRENCE + 1)] },
  'tasks over all steps': { payload: '', steps: [stepOf(MAX_TASKS_PER_OCCURRENCE), stepOf(1)] },
  occurrences: { payload: '', steps: [step()], schedule: schedule(MAX_OCCURRENCES + 1) }
}

for (const [title, spec] of Object.entries(tooLarge)) {
  test(`a job with more ${title} than allowed is refused with the limit, before it can exhaust the leader`, t => {
    const valid = validateJob(spec)
    t.false(valid.ok)
    if (!valid.ok) t.regex(valid.failure.detail, /the limit is \d+/)
  })
}

test('a job at the limits is valid', t => {
  const steps = [stepOf(MAX_TASKS_PER_OCCURRENCE)]
  t.true(validateJob({ payload: 'x'.repeat(MAX_PAYLOAD_BYTES), steps, schedule: schedule(MAX_OCCURRENCES) }).ok)
})

test('a step that depends on itself or on a later one is refused, since it could never start', t => {
  t.false(validateJob({ payload: '', steps: [step({ dependsOn: [0] })] }).ok)
  t.false(validateJob({ payload: '', steps: [step({ dependsOn: [1] }), step()] }).ok)
})

test('the leader refuses a job beyond the limits, whichever front end sent it', t => {
  const fixture = new LeaderFixture()
  const result = fixture.submit('large', [stepOf(1e15)])
  t.like(result, { ok: false, failure: { kind: 'invalid_request' } })
  t.deepEqual(fixture.proposals, [])
})

for (const jobId of ['a.b', '', 'x'.repeat(MAX_JOB_ID_LENGTH + 1)]) {
  test(`the job ID '${jobId.slice(0, 5)}' of ${jobId.length} characters is refused, since its tasks would have no key`, t => {
    const fixture = new LeaderFixture()
    t.like(fixture.submit(jobId, [step()]), { ok: false, failure: { kind: 'invalid_request' } })
    t.deepEqual(fixture.proposals, [])
  })
}

test('the critical path is the longest chain of dependent steps', t => {
  const spec = job('a', [
    step({ estimateMs: 100 }),
    step({ estimateMs: 50, dependsOn: [0] }),
    step({ estimateMs: 70, dependsOn: [0] }),
    step({ estimateMs: 10, dependsOn: [1, 2] }),
    step({ estimateMs: 130 })
  ])
  t.is(criticalPathMs(spec), 180)
  t.deepEqual([0, 1, 2, 3, 4].map(index => remainingPathMs(spec, index)), [180, 60, 80, 10, 130])
})

test('each step may depend on all earlier ones: the number of chains does not matter, which doubles with each step', t => {
  const steps = Array.from({ length: MAX_STEPS_PER_JOB }, (_, index) =>
    step({ estimateMs: 1, dependsOn: Array.from({ length: index }, (_unused, earlier) => earlier) }))
  t.is(criticalPathMs(job('dense', steps)), MAX_STEPS_PER_JOB)
})
