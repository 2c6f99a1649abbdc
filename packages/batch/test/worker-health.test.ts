/** Quarantine: which failures count against a worker, and which against the job. */
import test from 'ava'
import { ManualClock, NullEventLog } from '@comfreygrade/core'
import { LeaderFixture } from './leader-fixture.js'
import { step } from './sample-data.js'
import { WorkerHealth } from '../src/worker-health.js'
import type { EndReason, RunEnd } from '../src/index.js'

function createHealth () {
  const clock = new ManualClock()
  const health = new WorkerHealth(clock, new NullEventLog())
  const report = (workerId: string, taskKey: string, reason: EndReason = 'failed'): void => {
    health.update(workerId, { sequence: 1, taskKey, run: 1, reason, checkpoint: '' })
  }
  return { clock, health, report }
}

test('a worker on which two jobs fail is quarantined, longer each time, until a run succeeds there', t => {
  const { clock, health, report } = createHealth()
  report('w1', 'a.0.0.0')
  t.false(health.isQuarantined('w1'))
  report('w1', 'b.0.0.0')
  t.true(health.isQuarantined('w1'))
  clock.advance(3_000)
  t.false(health.isQuarantined('w1'))
  report('w1', 'c.0.0.0')
  clock.advance(5_999)
  t.true(health.isQuarantined('w1'))
  report('w1', 'd.0.0.0', 'done')
  t.false(health.isQuarantined('w1'))
})

// Guards against the longest quarantine at once, where all runs of a worker fail together.
test('runs that fail during a quarantine do not make it longer', t => {
  const { clock, health, report } = createHealth()
  for (const job of ['a', 'b', 'c', 'd', 'e']) report('w1', `${job}.0.0.0`)
  clock.advance(2_999)
  t.true(health.isQuarantined('w1'))
  clock.advance(1)
  t.false(health.isQuarantined('w1'))
})

test('a quarantine stays while failures of other jobs suffice for it', t => {
  const { health, report } = createHealth()
  for (const job of ['a', 'b', 'c']) report('w1', `${job}.0.0.0`)
  report('w2', 'a.0.0.0')
  t.true(health.isQuarantined('w1'))
  report('w2', 'b.0.0.0')
  t.false(health.isQuarantined('w1'))
})

test('several failures of one job do not quarantine a worker', t => {
  const { health, report } = createHealth()
  for (const index of [0, 1, 2]) report('w1', `a.0.0.${index}`)
  t.false(health.isQuarantined('w1'))
})

// Guards against a fleet in quarantine, beside which sound jobs wait, after jobs that can never succeed.
test('jobs that fail on two workers quarantine neither of them', t => {
  const { health, report } = createHealth()
  for (let index = 0; index < 20; index++) {
    report('w1', `poison${index}.0.0.0`)
    report('w2', `poison${index}.0.0.0`)
  }
  t.false(health.isQuarantined('w1'))
  t.false(health.isQuarantined('w2'))
})

test('a quarantine ends where one of the jobs that led to it turns out to be faulty', t => {
  const { health, report } = createHealth()
  report('w1', 'poison.0.0.0')
  report('w1', 'sound.0.0.0')
  t.true(health.isQuarantined('w1'))
  report('w2', 'poison.0.0.0')
  t.false(health.isQuarantined('w1'))
  report('w1', 'other.0.0.0')
  t.true(health.isQuarantined('w1'))
})

// Guards against faulty workers that go unnoticed, since a wide job has tasks on several of them.
test('a job whose tasks fail once each on faulty workers counts against these workers', t => {
  const { health, report } = createHealth()
  for (const job of ['a', 'b']) {
    report('w1', `${job}.0.0.0`)
    report('w2', `${job}.0.0.1`)
    report('w3', `${job}.0.0.0`, 'done')
  }
  t.true(health.isQuarantined('w1'))
  t.true(health.isQuarantined('w2'))
})

test('jobs that are not known any more are forgotten', t => {
  const { health, report } = createHealth()
  report('w1', 'a.0.0.0')
  health.retainJobs(() => false)
  report('w2', 'a.0.0.0')
  report('w2', 'b.0.0.0')
  t.true(health.isQuarantined('w2'))
})

// Guards against a fleet that does nothing, since jobs that can never succeed have put most of it into quarantine.
test('sound jobs run while most workers are in quarantine', t => {
  const fixture = new LeaderFixture()
  const workerIds = ['w1', 'w2']
  const heartbeat = (workerId: string, ends: readonly RunEnd[] = []) =>
    fixture.heartbeat(workerId, { labels: ['kind', 'r1', workerId], ends })
  for (const workerId of workerIds) heartbeat(workerId)
  for (const [index, workerId] of [...workerIds, ...workerIds].entries()) {
    fixture.submit(`poison${index}`, [step({ taskCount: 1, requiredLabel: workerId })])
    const [start] = heartbeat(workerId)?.starts ?? []
    fixture.advance(200)
    heartbeat(workerId, [{ sequence: index + 1, taskKey: start?.taskKey ?? '', run: 1, reason: 'failed', checkpoint: '' }])
    fixture.cancel(`poison${index}`)
  }
  fixture.submit('sound', [step({ taskCount: 1 })])
  fixture.advance(200)
  t.is(workerIds.flatMap(workerId => heartbeat(workerId)?.starts ?? []).length, 1)
})
