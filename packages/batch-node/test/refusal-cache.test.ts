import test from 'ava'
import { fail, ManualClock, succeed } from '@comfreygrade/core'
import type { BatchOperation } from '@comfreygrade/batch'
import { RefusalCache } from '../src/refusal-cache.js'

const REFUSED = fail('queue_full', 'the backlog is too long', 4_000)

function submission (path: string): BatchOperation {
  return { kind: 'submit', request: { host: 'a.example', path, apiKey: 'key' }, spec: { payload: '', steps: [] } }
}

function createCache (): { clock: ManualClock, cache: RefusalCache } {
  const clock = new ManualClock(1_000, 1_000)
  return { clock, cache: new RefusalCache(clock) }
}

// Guards against load of the leader by callers that retry before the time that the refusal states.
test('a refused job is refused again from the cache for 500 ms after it was sent', t => {
  const { clock, cache } = createCache()
  cache.record(submission('/q/job'), REFUSED, clock.monotonicMs())
  clock.advance(499)
  t.deepEqual(cache.recall(submission('/q/job')), REFUSED)
  clock.advance(1)
  t.is(cache.recall(submission('/q/job')), undefined)
})

// Guards against an untrue "not run": another job of the same queue may have been accepted before.
test('other jobs, and other operations on the job, are sent to the leader', t => {
  const { clock, cache } = createCache()
  cache.record(submission('/q/job'), REFUSED, clock.monotonicMs())
  t.is(cache.recall(submission('/q/other')), undefined)
  t.is(cache.recall({ kind: 'job_state', request: { host: 'a.example', path: '/q/job', apiKey: 'key' } }), undefined)
})

test('only refusals under load are kept, and none of an earlier leader', t => {
  const { clock, cache } = createCache()
  cache.record(submission('/q/accepted'), succeed({ kind: 'accepted' }), clock.monotonicMs())
  cache.record(submission('/q/unknown'), fail('outcome_unknown', 'no answer'), clock.monotonicMs())
  cache.record(submission('/q/job'), REFUSED, clock.monotonicMs())
  t.is(cache.recall(submission('/q/accepted')), undefined)
  t.is(cache.recall(submission('/q/unknown')), undefined)
  cache.clear()
  t.is(cache.recall(submission('/q/job')), undefined)
})

test('a flood of refusals takes up bounded memory', t => {
  const { clock, cache } = createCache()
  for (let index = 0; index < 1_001; index++) cache.record(submission(`/q/${index}`), REFUSED, clock.monotonicMs())
  t.deepEqual(cache.recall(submission('/q/999')), REFUSED)
  t.is(cache.recall(submission('/q/1000')), undefined)
})
