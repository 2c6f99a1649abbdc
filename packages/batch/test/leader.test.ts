import test from 'ava'
import { document, HOST, KEY, queue, report, step } from './sample-data.js'
import { LeaderFixture, rows } from './leader-fixture.js'

/** A worker that has been heard, so that a pass can use it. */
function fixtureWithWorker (): LeaderFixture {
  const fixture = new LeaderFixture()
  fixture.beat('w1')
  fixture.advance(200)
  return fixture
}

test('a job is accepted once, whatever the number of its submissions', t => {
  const fixture = fixtureWithWorker()
  t.true(fixture.submit('j1', [step()])?.ok)
  t.true(fixture.submit('j1', [step({ taskCount: 9 })])?.ok)
  t.is(fixture.state.job('j1')?.spec.steps[0]?.taskCount, 2)
})

test('a request without a known key is refused, unless its queue is open', t => {
  const fixture = new LeaderFixture(document(1, [queue(), queue({ name: 'open', pathPrefix: '/open/', isAnonymous: true })]))
  const state = (path: string, apiKey?: string) => fixture.operate({ kind: 'job_state', request: { host: HOST, path, apiKey } })
  t.like(state('/normal/', 'other'), { failure: { kind: 'unknown_key' } })
  t.like(state('/open/'), { ok: true })
  t.like(state('/none/', KEY), { failure: { kind: 'unknown_queue' } })
})

test('a start is offered until the worker lists the run', t => {
  const fixture = fixtureWithWorker()
  fixture.submit('j1', [step({ taskCount: 1 })])
  const first = fixture.beat('w1')
  t.is(first?.starts.length, 1)
  fixture.advance(200)
  const again = fixture.beat('w1')
  t.deepEqual(again?.starts, first?.starts)
  fixture.advance(200)
  t.deepEqual(fixture.beat('w1', { running: rows(again?.starts ?? []) })?.starts, [])
})

test('an end is acknowledged only once it is committed', t => {
  const fixture = fixtureWithWorker()
  fixture.submit('j1', [step({ taskCount: 1 })])
  const starts = fixture.beat('w1')?.starts ?? []
  fixture.advance(200)
  fixture.beat('w1', { running: rows(starts) })
  fixture.advance(200)
  fixture.commits = false
  const ends = [{ sequence: 1, taskKey: 'j1.0.0.0', run: 1, reason: 'done' as const, checkpoint: '' }]
  t.is(fixture.beat('w1', { ends }), undefined)
  const proposal = fixture.proposed.at(-1)
  t.is(proposal?.command.kind, 'record_ends')
  fixture.advance(700)
  t.is(fixture.state.job('j1')?.state, 'open')
})

test('a run that is being stopped keeps its task until its end is listed (kartli-yards trouble-1, TWICE)', t => {
  const fixture = fixtureWithWorker()
  fixture.submit('j1', [step({ taskCount: 1 })])
  const starts = fixture.beat('w1')?.starts ?? []
  fixture.advance(200)
  fixture.beat('w1', { running: rows(starts) })
  fixture.cancel('j1')
  fixture.advance(200)
  t.is(fixture.beat('w1', { running: rows(starts) })?.stops.length, 1)
  fixture.advance(200)
  // The worker kills the run and lists it neither as running nor as ended.
  fixture.beat('w1')
  t.is([...fixture.state.runsOf('w1')].length, 1)
  fixture.advance(200)
  const ends = [{ sequence: 1, taskKey: 'j1.0.0.0', run: 1, reason: 'stopped' as const, checkpoint: '' }]
  fixture.beat('w1', { ends })
  t.is([...fixture.state.runsOf('w1')].length, 0)
})

test('a start that no answer has carried is withdrawn at once when its job is cancelled', t => {
  const fixture = fixtureWithWorker()
  fixture.submit('j1', [step({ taskCount: 1 })])
  fixture.advance(50)
  t.is([...fixture.state.runsOf('w1')].length, 1)
  fixture.cancel('j1')
  fixture.advance(200)
  t.deepEqual(fixture.beat('w1')?.starts, [])
  t.is([...fixture.state.runsOf('w1')].length, 0)
})

test('a new leader does not start a task again while the worker may still have it', t => {
  const fixture = fixtureWithWorker()
  fixture.beat('w2')
  fixture.submit('j1', [step({ taskCount: 1 })])
  fixture.advance(50)
  const holder = [...fixture.state.runsOf('w1')].length === 1 ? 'w1' : 'w2'
  fixture.changeLeader()
  const other = holder === 'w1' ? 'w2' : 'w1'
  const earliestMs = fixture.clock.monotonicMs() + 6_000
  while (fixture.clock.monotonicMs() < earliestMs) {
    t.deepEqual(fixture.beat(other)?.starts, [])
    fixture.advance(200)
  }
  fixture.advance(600)
  t.is(fixture.beat(other)?.starts.length, 1)
})

test('a later life at the same address frees the runs of the crashed one', t => {
  const fixture = fixtureWithWorker()
  fixture.submit('j1', [step({ taskCount: 1 })])
  fixture.beat('w1')
  fixture.advance(200)
  const starts = fixture.beat('w1-again', { address: 'w1:80', incarnation: 2_000 })?.starts
  t.deepEqual(starts?.map(start => start.run), [2])
  t.is(fixture.beat('w1', { incarnation: 1_000 }), undefined)
})

test('a worker that leaves gets no new run', t => {
  const fixture = fixtureWithWorker()
  fixture.beat('w1', { state: 'leaving' })
  fixture.submit('j1', [step()])
  fixture.advance(200)
  t.deepEqual(fixture.beat('w1', { state: 'leaving' })?.starts, [])
})

test('a gang starts with one run number on all its workers, or not at all', t => {
  const fixture = fixtureWithWorker()
  const eight = step({ taskCount: 2, isGang: true, shape: { cpuMillicores: 1, memoryMb: 1, acceleratorCount: 8 } })
  fixture.submit('j1', [eight])
  t.deepEqual(fixture.beat('w1')?.starts, [])
  fixture.beat('w2')
  fixture.advance(200)
  const starts = [fixture.beat('w1'), fixture.beat('w2')].map(orders => orders?.starts.map(start => start.run))
  t.deepEqual(starts, [[1], [1]])
})

test('a step on a queue with an advice policy starts only with a ticket', t => {
  const advice = { decideMs: 10, perWorkerMs: 1, ticketValidMs: 5_000 }
  const fixture = new LeaderFixture(document(1, [queue({ advice })]))
  fixture.beat('w1')
  fixture.beat('w2')
  fixture.submit('j1', [step({ taskCount: 1 })])
  fixture.advance(200)
  t.deepEqual(fixture.adviceAsked.map(({ stepKey, workerIds }) => [stepKey, workerIds]), [['j1.0.0', ['w1', 'w2']]])
  t.deepEqual(fixture.beat('w1')?.starts, [])
  const tickets = [{ workerId: 'w2', ticket: 't-2' }]
  fixture.tell({ kind: 'advice', stepKey: 'j1.0.0', tickets, askedAtMs: fixture.clock.monotonicMs() })
  fixture.advance(50)
  t.deepEqual(fixture.beat('w1')?.starts, [])
  t.is(fixture.beat('w2')?.starts[0]?.ticket, 't-2')
})

test('a queue counts its jobs that no worker has begun', t => {
  const fixture = fixtureWithWorker()
  fixture.submit('j1', [step({ taskCount: 1 })])
  fixture.submit('j2', [step({ requiredLabel: 'none' })])
  const starts = fixture.beat('w1')?.starts ?? []
  fixture.advance(200)
  fixture.beat('w1', { running: rows(starts) })
  const result = fixture.operate({ kind: 'job_state', request: { host: HOST, path: '/normal/', apiKey: KEY } })
  t.like(result, { value: { kind: 'queue', pendingJobs: 1 } })
})

/** Two workers that were given the members of a gang, of which only the first has heard of it. */
function halfStartedGang (): { fixture: LeaderFixture, starts: ReturnType<typeof rows> } {
  const fixture = fixtureWithWorker()
  fixture.beat('w2')
  const shape = { cpuMillicores: 1, memoryMb: 1, acceleratorCount: 8 }
  fixture.submit('gang', [step({ taskCount: 2, isGang: true, estimateMs: 60_000, shape })])
  return { fixture, starts: rows(fixture.beat('w1')?.starts ?? []) }
}

test('no member of a gang is left to wait when another is taken back (ferreyra-cuotas hunt, GANG)', t => {
  const { fixture, starts } = halfStartedGang()
  const shape = { cpuMillicores: 1, memoryMb: 1, acceleratorCount: 8 }
  fixture.submit('urgent', [step({ taskCount: 1, estimateMs: 100, shape })], '/urgent/')
  let stops = 0
  for (let waitedMs = 0; waitedMs < 4_000 && stops === 0; waitedMs += 200) {
    fixture.advance(200)
    stops = fixture.beat('w1', { running: starts })?.stops.length ?? 0
  }
  t.is(stops, 1)
  const started = fixture.beat('w2')?.starts.filter(start => start.taskKey.startsWith('gang'))
  t.deepEqual(started, [])
})

test('the other members of a gang are stopped when one could not start', t => {
  const { fixture, starts } = halfStartedGang()
  fixture.advance(200)
  const other = fixture.beat('w2')?.starts[0]
  fixture.advance(200)
  const ends = [{ sequence: 1, taskKey: other?.taskKey ?? '', run: 1, reason: 'refused' as const, checkpoint: '' }]
  fixture.beat('w2', { ends })
  t.deepEqual(fixture.beat('w1', { running: starts })?.stops.map(stop => stop.run), [1])
})

test('a start is not held back by a gap in the heartbeats of a worker that has nothing (grown hunt, GANG)', t => {
  const fixture = new LeaderFixture()
  fixture.beat('w1')
  fixture.submit('j1', [step({ taskCount: 1 })])
  // The answer to the first heartbeat may have been lost: the next one comes after the worker's time limit.
  fixture.advance(1_200)
  t.is(fixture.beat('w1')?.starts.length, 1)
})

test('runs of a silent worker are freed also while other heartbeats leave no pause for a tick (soak seed 5)', t => {
  const fixture = fixtureWithWorker()
  fixture.submit('j1', [step({ taskCount: 1 })])
  const starts = rows(fixture.beat('w1')?.starts ?? [])
  fixture.beat('w1', { running: starts })
  for (let elapsedMs = 0; elapsedMs < 8_000; elapsedMs += 20) {
    fixture.clock.advance(20)
    const now = fixture.clock.monotonicMs()
    fixture.tell({ kind: 'report', requestId: `b${now}`, report: report('w2', { clockMs: now, sequence: now }) })
  }
  t.is([...fixture.state.runsOf('w1')].length, 0)
  t.is([...fixture.state.runsOf('w2')].length, 1)
})
