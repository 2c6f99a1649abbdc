/** Open jobs whose queue a later configuration has removed: what the queue laid down still holds for them. */
import test from 'ava'
import { BatchState, type EndReason } from '../src/index.js'
import { LeaderFixture, runningTasks } from './leader-fixture.js'
import { document, HOST, job, queue, step } from './sample-data.js'

const LIFE = { workerId: 'w1', incarnation: 1_000 }
const OTHER_QUEUE = queue({ name: 'other', pathPrefix: '/other/' })

/** A job of one task in a queue with two attempts, which version 2 of the configuration removes. */
function createStateWithRemovedQueue (): BatchState {
  const state = new BatchState({ endedJobRetentionMs: 10_000 })
  state.apply({ kind: 'put_configuration', document: document(1, [queue({ maxAttempts: 2 }), OTHER_QUEUE]) }, 1)
  const queueAddress = `${HOST}/normal/`
  const spec = job('j1', [step({ taskCount: 1 })])
  state.apply({ kind: 'submit_job', spec, queueAddress, organisation: 'org-a', acceptedWallMs: 5 }, 5)
  state.apply({ kind: 'put_configuration', document: document(2, [OTHER_QUEUE]) }, 6)
  return state
}

function fail (state: BatchState, run: number): void {
  state.apply({ kind: 'assign', assignments: [{ taskKey: 'j1.0.0.0', run, ...LIFE }] }, 10)
  const end = { sequence: run, taskKey: 'j1.0.0.0', run, reason: 'failed', checkpoint: '' } as const
  state.apply({ kind: 'record_ends', life: LIFE, ends: [end] }, 20)
}

// Guards against attempts without limit, once the queue that limits them is not configured any more.
test('a job whose queue was removed fails after the attempts that the queue allowed', t => {
  const state = createStateWithRemovedQueue()
  fail(state, 1)
  t.is(state.job('j1')?.state, 'open')
  fail(state, 2)
  t.is(state.job('j1')?.state, 'failed')
})

test('the attempts that a removed queue allowed survive a snapshot and further configurations', t => {
  const options = { endedJobRetentionMs: 10_000 }
  const state = BatchState.restore(createStateWithRemovedQueue().snapshot(), options)
  state.apply({ kind: 'put_configuration', document: document(3, [OTHER_QUEUE]) }, 7)
  fail(state, 1)
  const restored = BatchState.restore(state.snapshot(), options)
  fail(restored, 2)
  t.is(restored.job('j1')?.state, 'failed')
})

test('a queue that is configured again counts as it is configured now', t => {
  const state = createStateWithRemovedQueue()
  state.apply({ kind: 'put_configuration', document: document(3, [queue({ maxAttempts: 3 })]) }, 7)
  fail(state, 1)
  fail(state, 2)
  t.is(state.job('j1')?.state, 'open')
  fail(state, 3)
  t.is(state.job('j1')?.state, 'failed')
})

test('a removed queue is forgotten once it has no open job', t => {
  const state = createStateWithRemovedQueue()
  t.is(state.snapshot().removedQueues?.length, 1)
  state.apply({ kind: 'cancel_job', jobId: 'j1' }, 7)
  state.apply({ kind: 'put_configuration', document: document(3, [OTHER_QUEUE]) }, 8)
  t.is(state.snapshot().removedQueues?.length, 0)
})

function removeQueue (fixture: LeaderFixture): void {
  fixture.execute({ kind: 'put_configuration', document: document(2, [OTHER_QUEUE]) })
}

// Guards against a second start of a gang whose silent worker may have used up the last attempt.
test('a gang of a removed queue waits for the end that may be the failure of its last attempt', t => {
  const fixture = new LeaderFixture(document(1, [queue({ maxAttempts: 1 }), OTHER_QUEUE]))
  const shape = { cpuMillicores: 1_000, memoryMb: 1_000, acceleratorCount: 8 }
  for (const workerId of ['w1', 'w2']) fixture.heartbeat(workerId)
  fixture.submit('gang', [step({ isGang: true, shape, estimateMs: 60_000 })])
  const running = new Map(['w1', 'w2'].map(workerId => [workerId, runningTasks(fixture.heartbeat(workerId)?.starts ?? [])]))
  for (const [workerId, tasks] of running) fixture.heartbeat(workerId, { running: tasks })
  removeQueue(fixture)
  fixture.heartbeat('spare')
  const reason: EndReason = 'broken'
  const ends = (running.get('w1') ?? []).map(({ taskKey, run }) => ({ sequence: 1, taskKey, run, reason, checkpoint: '' }))
  fixture.advance(200)
  fixture.heartbeat('w1', { ends })
  fixture.heartbeat('spare')
  t.deepEqual(fixture.state.activeRunsOf('gang').map(({ run }) => run), [1])
})

// Guards against starts without the ticket that workers of such a queue require, which they refuse.
test('a job of a removed queue still starts only with a ticket', t => {
  const advice = { decideMs: 10, perWorkerMs: 1, ticketValidMs: 5_000 }
  const fixture = new LeaderFixture(document(1, [queue({ advice }), OTHER_QUEUE]))
  fixture.submit('j1', [step({ taskCount: 1 })])
  removeQueue(fixture)
  t.deepEqual(fixture.heartbeat('w1')?.starts, [])
  fixture.advance(100)
  const tickets = [{ workerId: 'w1', ticket: 't-1' }]
  t.is(fixture.adviceRequests.length, 1)
  fixture.deliver({ kind: 'advice', stepKey: 'j1.0.0', tickets, requestedAtMs: fixture.clock.monotonicMs() })
  fixture.advance(50)
  t.is(fixture.heartbeat('w1')?.starts[0]?.ticket, 't-1')
})

// Guards against a guaranteed job that loses its guarantee, and its runs to preemption, with its queue.
test('an urgent job of a removed queue keeps its priority and its guarantee', t => {
  const fixture = new LeaderFixture(document(1, [queue({ name: 'urgent', pathPrefix: '/urgent/', priority: 0 }), OTHER_QUEUE]))
  const shape = { cpuMillicores: 1_000, memoryMb: 1_000, acceleratorCount: 8 }
  fixture.heartbeat('w1')
  fixture.submit('lent', [step({ taskCount: 1, shape, estimateMs: 60_000 })], '/other/')
  const running = runningTasks(fixture.heartbeat('w1')?.starts ?? [])
  fixture.submit('urgent', [step({ taskCount: 1, shape, estimateMs: 60_000 })], '/urgent/')
  removeQueue(fixture)
  const stopped = new Set<string>()
  for (let round = 0; round < 20; round++) {
    fixture.advance(200)
    const progressed = running.map(task => ({ ...task, percent: 10 + round }))
    for (const { taskKey } of fixture.heartbeat('w1', { running: progressed })?.stops ?? []) stopped.add(taskKey)
  }
  t.deepEqual([...stopped], ['lent.0.0.0'])
})

// Guards against a job that was accepted while its queue was being removed, and then never ran.
test('a job is refused while a configuration without its queue is being committed', t => {
  const fixture = new LeaderFixture(document(1, [queue(), OTHER_QUEUE]))
  fixture.isCommitting = false
  removeQueue(fixture)
  const late = fixture.submit('late', [step()])
  t.like(late, { ok: false, failure: { kind: 'control_unavailable' } })
  fixture.submit('other', [step()], '/other/')
  t.is(fixture.commitNext()?.command.kind, 'put_configuration')
  t.is(fixture.commitNext()?.command.kind, 'submit_job')
  t.like(fixture.submit('later', [step()]), { ok: false, failure: { kind: 'unknown_queue' } })
})
