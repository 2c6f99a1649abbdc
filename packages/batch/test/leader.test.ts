import test from 'ava'
import { document, HOST, KEY, queue, report, step } from './sample-data.js'
import { LeaderFixture, runningTasks } from './leader-fixture.js'

/** A leader with one worker that has reported, so that a pass can use it. */
function createFixtureWithWorker (): LeaderFixture {
  const fixture = new LeaderFixture()
  fixture.heartbeat('w1')
  fixture.advance(200)
  return fixture
}

test('submitting a job again neither fails nor changes it', t => {
  const fixture = createFixtureWithWorker()
  t.true(fixture.submit('j1', [step()])?.ok)
  t.true(fixture.submit('j1', [step({ taskCount: 9 })])?.ok)
  t.is(fixture.state.job('j1')?.spec.steps[0]?.taskCount, 2)
})

test('a request without a known API key is refused, unless its queue is anonymous', t => {
  const fixture = new LeaderFixture(document(1, [queue(), queue({ name: 'open', pathPrefix: '/open/', isAnonymous: true })]))
  const state = (path: string, apiKey?: string) => fixture.execute({ kind: 'job_state', request: { host: HOST, path, apiKey } })
  t.like(state('/normal/', 'other'), { failure: { kind: 'unknown_key' } })
  t.like(state('/open/'), { ok: true })
  t.like(state('/none/', KEY), { failure: { kind: 'unknown_queue' } })
})

test('a start order is repeated until the worker reports the run, so that a lost answer does not lose it', t => {
  const fixture = createFixtureWithWorker()
  fixture.submit('j1', [step({ taskCount: 1 })])
  const first = fixture.heartbeat('w1')
  t.is(first?.starts.length, 1)
  fixture.advance(200)
  const again = fixture.heartbeat('w1')
  t.deepEqual(again?.starts, first?.starts)
  fixture.advance(200)
  t.deepEqual(fixture.heartbeat('w1', { running: runningTasks(again?.starts ?? []) })?.starts, [])
})

test('the answer to a heartbeat waits for the command that records its run end', t => {
  const fixture = createFixtureWithWorker()
  fixture.submit('j1', [step({ taskCount: 1 })])
  const starts = fixture.heartbeat('w1')?.starts ?? []
  fixture.advance(200)
  fixture.heartbeat('w1', { running: runningTasks(starts) })
  fixture.advance(200)
  fixture.isCommitting = false
  const ends = [{ sequence: 1, taskKey: 'j1.0.0.0', run: 1, reason: 'done' as const, checkpoint: '' }]
  t.is(fixture.heartbeat('w1', { ends }), undefined)
  const proposal = fixture.proposals.at(-1)
  t.is(proposal?.command.kind, 'record_ends')
  fixture.advance(700)
  t.is(fixture.state.job('j1')?.state, 'open')
})

test('a run being stopped stays assigned until the worker reports its end, so that its task is not started elsewhere', t => {
  const fixture = createFixtureWithWorker()
  fixture.submit('j1', [step({ taskCount: 1 })])
  const starts = fixture.heartbeat('w1')?.starts ?? []
  fixture.advance(200)
  fixture.heartbeat('w1', { running: runningTasks(starts) })
  fixture.cancel('j1')
  fixture.advance(200)
  t.is(fixture.heartbeat('w1', { running: runningTasks(starts) })?.stops.length, 1)
  fixture.advance(200)
  // While the worker stops the run, it reports it neither as running nor as ended.
  fixture.heartbeat('w1')
  t.is([...fixture.state.runsOf('w1')].length, 1)
  fixture.advance(200)
  const ends = [{ sequence: 1, taskKey: 'j1.0.0.0', run: 1, reason: 'stopped' as const, checkpoint: '' }]
  fixture.heartbeat('w1', { ends })
  t.is([...fixture.state.runsOf('w1')].length, 0)
})

test('a run whose start order was not sent is released at the next heartbeat after its job is cancelled', t => {
  const fixture = createFixtureWithWorker()
  fixture.submit('j1', [step({ taskCount: 1 })])
  fixture.advance(50)
  t.is([...fixture.state.runsOf('w1')].length, 1)
  fixture.cancel('j1')
  fixture.advance(200)
  t.deepEqual(fixture.heartbeat('w1')?.starts, [])
  t.is([...fixture.state.runsOf('w1')].length, 0)
})

test('a new leader does not restart a task elsewhere while the worker that it was assigned to may run it', t => {
  const fixture = createFixtureWithWorker()
  fixture.heartbeat('w2')
  fixture.submit('j1', [step({ taskCount: 1 })])
  fixture.advance(50)
  const holder = [...fixture.state.runsOf('w1')].length === 1 ? 'w1' : 'w2'
  fixture.changeLeader()
  const other = holder === 'w1' ? 'w2' : 'w1'
  const earliestMs = fixture.clock.monotonicMs() + 6_000
  while (fixture.clock.monotonicMs() < earliestMs) {
    t.deepEqual(fixture.heartbeat(other)?.starts, [])
    fixture.advance(200)
  }
  fixture.advance(600)
  t.is(fixture.heartbeat(other)?.starts.length, 1)
})

test('a later incarnation at the same address frees the runs of the crashed one', t => {
  const fixture = createFixtureWithWorker()
  fixture.submit('j1', [step({ taskCount: 1 })])
  fixture.heartbeat('w1')
  fixture.advance(200)
  const starts = fixture.heartbeat('w1-again', { address: 'w1:80', incarnation: 2_000 })?.starts
  t.deepEqual(starts?.map(start => start.run), [2])
  t.is(fixture.heartbeat('w1', { incarnation: 1_000 }), undefined)
})

test('a leaving worker gets no new run', t => {
  const fixture = createFixtureWithWorker()
  fixture.heartbeat('w1', { state: 'leaving' })
  fixture.submit('j1', [step()])
  fixture.advance(200)
  t.deepEqual(fixture.heartbeat('w1', { state: 'leaving' })?.starts, [])
})

test('a gang starts on all its workers with the same run number, or not at all', t => {
  const fixture = createFixtureWithWorker()
  const gangStep = step({ taskCount: 2, isGang: true, shape: { cpuMillicores: 1, memoryMb: 1, acceleratorCount: 8 } })
  fixture.submit('j1', [gangStep])
  t.deepEqual(fixture.heartbeat('w1')?.starts, [])
  fixture.heartbeat('w2')
  fixture.advance(200)
  const starts = [fixture.heartbeat('w1'), fixture.heartbeat('w2')].map(orders => orders?.starts.map(start => start.run))
  t.deepEqual(starts, [[1], [1]])
})

test('a step of a queue with an advice policy starts only on a worker with a ticket', t => {
  const advice = { decideMs: 10, perWorkerMs: 1, ticketValidMs: 5_000 }
  const fixture = new LeaderFixture(document(1, [queue({ advice })]))
  fixture.heartbeat('w1')
  fixture.heartbeat('w2')
  fixture.submit('j1', [step({ taskCount: 1 })])
  fixture.advance(200)
  t.deepEqual(fixture.adviceRequests.map(({ stepKey, workerIds }) => [stepKey, workerIds]), [['j1.0.0', ['w1', 'w2']]])
  t.deepEqual(fixture.heartbeat('w1')?.starts, [])
  const tickets = [{ workerId: 'w2', ticket: 't-2' }]
  fixture.deliver({ kind: 'advice', stepKey: 'j1.0.0', tickets, requestedAtMs: fixture.clock.monotonicMs() })
  fixture.advance(50)
  t.deepEqual(fixture.heartbeat('w1')?.starts, [])
  t.is(fixture.heartbeat('w2')?.starts[0]?.ticket, 't-2')
})

test('the state of a queue counts the jobs that have not started', t => {
  const fixture = createFixtureWithWorker()
  fixture.submit('j1', [step({ taskCount: 1 })])
  fixture.submit('j2', [step({ requiredLabel: 'none' })])
  const starts = fixture.heartbeat('w1')?.starts ?? []
  fixture.advance(200)
  fixture.heartbeat('w1', { running: runningTasks(starts) })
  const result = fixture.execute({ kind: 'job_state', request: { host: HOST, path: '/normal/', apiKey: KEY } })
  t.like(result, { value: { kind: 'queue', pendingJobs: 1 } })
})

/** A gang assigned to two workers, of which only the first has received its start order. */
function createHalfStartedGang (): { fixture: LeaderFixture, starts: ReturnType<typeof runningTasks> } {
  const fixture = createFixtureWithWorker()
  fixture.heartbeat('w2')
  const shape = { cpuMillicores: 1, memoryMb: 1, acceleratorCount: 8 }
  fixture.submit('gang', [step({ taskCount: 2, isGang: true, estimateMs: 60_000, shape })])
  return { fixture, starts: runningTasks(fixture.heartbeat('w1')?.starts ?? []) }
}

test('when one member of a gang is preempted, no other member is started', t => {
  const { fixture, starts } = createHalfStartedGang()
  const shape = { cpuMillicores: 1, memoryMb: 1, acceleratorCount: 8 }
  fixture.submit('urgent', [step({ taskCount: 1, estimateMs: 100, shape })], '/urgent/')
  let stops = 0
  for (let waitedMs = 0; waitedMs < 4_000 && stops === 0; waitedMs += 200) {
    fixture.advance(200)
    stops = fixture.heartbeat('w1', { running: starts })?.stops.length ?? 0
  }
  t.is(stops, 1)
  const started = fixture.heartbeat('w2')?.starts.filter(start => start.taskKey.startsWith('gang'))
  t.deepEqual(started, [])
})

test('when one member of a gang is refused, the other members are stopped', t => {
  const { fixture, starts } = createHalfStartedGang()
  fixture.advance(200)
  const other = fixture.heartbeat('w2')?.starts[0]
  fixture.advance(200)
  const ends = [{ sequence: 1, taskKey: other?.taskKey ?? '', run: 1, reason: 'refused' as const, checkpoint: '' }]
  fixture.heartbeat('w2', { ends })
  t.deepEqual(fixture.heartbeat('w1', { running: starts })?.stops.map(stop => stop.run), [1])
})

test('a gap between heartbeats delays no start on a worker without runs, though its lease is uncertain', t => {
  const fixture = new LeaderFixture()
  fixture.heartbeat('w1')
  fixture.submit('j1', [step({ taskCount: 1 })])
  // The answer to the first heartbeat may have been lost, since the next one comes after the report timeout.
  fixture.advance(1_200)
  t.is(fixture.heartbeat('w1')?.starts.length, 1)
})

test('runs of a silent worker are freed even while frequent heartbeats leave no time for a tick event', t => {
  const fixture = createFixtureWithWorker()
  fixture.submit('j1', [step({ taskCount: 1 })])
  const starts = runningTasks(fixture.heartbeat('w1')?.starts ?? [])
  fixture.heartbeat('w1', { running: starts })
  for (let elapsedMs = 0; elapsedMs < 8_000; elapsedMs += 20) {
    fixture.clock.advance(20)
    const now = fixture.clock.monotonicMs()
    fixture.deliver({ kind: 'report', requestId: `b${now}`, report: report('w2', { clockMs: now, sequence: now }) })
  }
  t.is([...fixture.state.runsOf('w1')].length, 0)
  t.is([...fixture.state.runsOf('w2')].length, 1)
})
