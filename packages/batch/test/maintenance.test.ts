/** Maintenance waves, evictions from leaving workers and of stalled runs, and lasting tasks. */
import test from 'ava'
import { step } from './sample-data.js'
import { LeaderFixture, runningTasks } from './leader-fixture.js'

const wave = { waveId: '1', vmIds: ['vm-w1', 'vm-w2'], maxConcurrent: 1, durationMs: 20_000 }

function createFixtureWithWave (): LeaderFixture {
  const fixture = new LeaderFixture()
  fixture.heartbeat('w1')
  fixture.heartbeat('w2')
  fixture.execute({ kind: 'start_wave', wave })
  return fixture
}

test('a new leader begins no maintenance while a call of an earlier leader may be in progress', t => {
  const fixture = createFixtureWithWave()
  fixture.advance(2_000)
  t.deepEqual(fixture.maintenanceCalls, [])
  fixture.advance(1_500)
  t.deepEqual(fixture.maintenanceCalls.map(call => call.vmId), ['vm-w1'])
})

test('at most maxConcurrent VMs of a wave are down at once', t => {
  const fixture = createFixtureWithWave()
  fixture.advance(3_500)
  const call = fixture.maintenanceCalls[0] ?? { waveId: '', vmId: '' }
  fixture.deliver({ kind: 'maintenance_answered', call, answer: 'begun' })
  fixture.advance(2_000)
  t.is(fixture.maintenanceCalls.length, 1)
  fixture.advance(2_000)
  fixture.advance(100)
  t.deepEqual(fixture.maintenanceCalls.map(({ vmId }) => vmId), ['vm-w1', 'vm-w2'])
})

test('a wave is completed only once the platform has begun the maintenance of each of its VMs', t => {
  const fixture = createFixtureWithWave()
  const stateOf = () => fixture.execute({ kind: 'wave_state', waveId: '1' })
  for (let elapsedMs = 0; elapsedMs < 12_000; elapsedMs += 100) {
    fixture.advance(100)
    const call = fixture.maintenanceCalls.shift()
    if (call === undefined) continue
    t.like(stateOf(), { value: { state: 'running' } })
    fixture.deliver({ kind: 'maintenance_answered', call, answer: 'begun' })
  }
  t.like(stateOf(), { value: { state: 'completed' } })
})

test('a VM that is cordoned for maintenance gets no new run', t => {
  const fixture = createFixtureWithWave()
  fixture.advance(3_500)
  for (const workerId of ['w1', 'w2']) fixture.heartbeat(workerId)
  fixture.submit('j1', [step({ taskCount: 1 })])
  fixture.advance(200)
  t.deepEqual(fixture.heartbeat('w1')?.starts, [])
  t.is(fixture.heartbeat('w2')?.starts.length, 1)
})

/**
 * A lasting step of two tasks, one available on each worker of a wave, with the given disruption budget. Returns a
 * function that passes time, while both workers report, and tells which of them are ordered to stop their task.
 */
function createFixtureWithLastingTasks (maxUnavailable: number) {
  const fixture = new LeaderFixture()
  fixture.heartbeat('w1')
  fixture.heartbeat('w2')
  fixture.submit('web', [step({ isLasting: true, maxTasksPerWorker: 1, maxUnavailable })])
  const startedOn = new Map(['w1', 'w2'].map(workerId => [workerId, runningTasks(fixture.heartbeat(workerId)?.starts ?? [], 100)]))
  fixture.execute({ kind: 'start_wave', wave: { ...wave, durationMs: 4_000 } })
  const workersStoppedWithin = (durationMs: number): string[] => {
    const stopped = new Set<string>()
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 200) {
      fixture.advance(30)
      for (const [workerId, running] of startedOn) {
        if ((fixture.heartbeat(workerId, { running })?.stops.length ?? 0) > 0) stopped.add(workerId)
      }
    }
    return [...stopped]
  }
  return { fixture, workersStoppedWithin }
}

test('maintenance evicts a lasting task from a cordoned VM where its disruption budget allows it', t => {
  t.deepEqual(createFixtureWithLastingTasks(1).workersStoppedWithin(5_000), ['w1'])
})

test('maintenance waits, beyond the end of the wave, for lasting tasks whose disruption budget is 0', t => {
  const { fixture, workersStoppedWithin } = createFixtureWithLastingTasks(0)
  t.deepEqual(workersStoppedWithin(14_000), [])
  t.deepEqual(fixture.maintenanceCalls, [])
})

test('a leader whose fencing token was rejected begins no further maintenance', t => {
  const fixture = createFixtureWithWave()
  fixture.advance(3_500)
  const call = fixture.maintenanceCalls[0] ?? { waveId: '', vmId: '' }
  fixture.deliver({ kind: 'maintenance_answered', call, answer: 'fenced' })
  fixture.advance(5_000)
  t.is(fixture.maintenanceCalls.length, 1)
})

test('a checkpointing run leaves a leaving worker at once, but a run that may still end stays', t => {
  const fixture = new LeaderFixture()
  fixture.heartbeat('w1')
  fixture.submit('saved', [step({ taskCount: 1, isCheckpointing: true, estimateMs: 30_000 })])
  fixture.submit('plain', [step({ taskCount: 1, estimateMs: 4_000 })])
  const starts = runningTasks(fixture.heartbeat('w1')?.starts ?? [])
  t.is(starts.length, 2)
  const leaving = { state: 'leaving', remainingMs: 2_500, running: starts } as const
  fixture.heartbeat('w1', leaving)
  fixture.advance(200)
  t.deepEqual(fixture.heartbeat('w1', leaving)?.stops.map(stop => stop.taskKey), ['saved.0.0.0'])
})

test('a stalled run is evicted, and its worker gets no new run before that', t => {
  const fixture = new LeaderFixture()
  fixture.heartbeat('w1')
  fixture.submit('j1', [step({ taskCount: 1, estimateMs: 2_000 })])
  const starts = runningTasks(fixture.heartbeat('w1')?.starts ?? [])
  fixture.heartbeat('w1', { running: starts })
  fixture.advance(2_000)
  fixture.heartbeat('w1', { running: starts })
  fixture.submit('j2', [step({ taskCount: 1 })])
  t.deepEqual(fixture.heartbeat('w1', { running: starts })?.starts, [])
  fixture.advance(2_500)
  fixture.heartbeat('w1', { running: starts })
  fixture.advance(200)
  t.deepEqual(fixture.heartbeat('w1', { running: starts })?.stops.map(stop => stop.taskKey), ['j1.0.0.0'])
})

test('a run of a worker that was only silent for a while is not evicted: it may have made progress meanwhile', t => {
  const fixture = new LeaderFixture()
  fixture.heartbeat('w1')
  fixture.submit('j1', [step({ taskCount: 1, estimateMs: 2_000 })])
  const starts = runningTasks(fixture.heartbeat('w1')?.starts ?? [])
  fixture.heartbeat('w1', { running: starts })
  for (let silentMs = 0; silentMs < 5_500; silentMs += 100) fixture.advance(100)
  const progressed = starts.map(task => ({ ...task, percent: 60 }))
  t.deepEqual(fixture.heartbeat('w1', { running: progressed })?.stops, [])
})

test('a gang member at full progress does not count as stalled while another member still works', t => {
  const fixture = new LeaderFixture()
  fixture.heartbeat('w1')
  fixture.submit('gang', [step({ taskCount: 2, isGang: true, estimateMs: 2_000 })])
  const [fast, slow] = runningTasks(fixture.heartbeat('w1')?.starts ?? [], 100)
  if (fast === undefined || slow === undefined) return t.fail('the gang did not start')
  for (let percent = 10; percent < 90; percent++) {
    fixture.advance(200)
    t.deepEqual(fixture.heartbeat('w1', { running: [fast, { ...slow, percent }] })?.stops, [])
  }
})

test('a lasting task is restarted however it ends', t => {
  const fixture = new LeaderFixture()
  fixture.heartbeat('w1')
  fixture.submit('web', [step({ taskCount: 1, isLasting: true })])
  const starts = runningTasks(fixture.heartbeat('w1')?.starts ?? [])
  fixture.heartbeat('w1', { running: starts })
  for (const [index, reason] of (['failed', 'done', 'failed'] as const).entries()) {
    const ends = [{ sequence: index + 1, taskKey: 'web.0.0.0', run: index + 1, reason, checkpoint: '' }]
    fixture.advance(200)
    fixture.heartbeat('w1', { ends })
    fixture.advance(200)
    t.is([...fixture.state.runsOf('w1')][0]?.run, index + 2)
    fixture.heartbeat('w1', { running: [{ taskKey: 'web.0.0.0', run: index + 2, checkpoint: '', percent: 0, usage: 0 }] })
  }
})
