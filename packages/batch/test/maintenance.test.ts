import test from 'ava'
import { step } from './sample-data.js'
import { LeaderFixture, rows } from './leader-fixture.js'

const wave = { waveId: '1', vmIds: ['vm-w1', 'vm-w2'], maxConcurrent: 1, durationMs: 20_000 }

function fixtureWithWave (): LeaderFixture {
  const fixture = new LeaderFixture()
  fixture.beat('w1')
  fixture.beat('w2')
  fixture.operate({ kind: 'start_wave', wave })
  return fixture
}

test('a new leader calls about VMs only once calls of an earlier one are over', t => {
  const fixture = fixtureWithWave()
  fixture.advance(2_000)
  t.deepEqual(fixture.maintenanceCalls, [])
  fixture.advance(1_500)
  t.deepEqual(fixture.maintenanceCalls.map(call => call.vmId), ['vm-w1'])
})

test('no more VMs of a wave are down at once than it allows', t => {
  const fixture = fixtureWithWave()
  fixture.advance(3_500)
  const call = fixture.maintenanceCalls[0] ?? { waveId: '', vmId: '' }
  fixture.tell({ kind: 'maintenance_answered', call, answer: 'begun' })
  fixture.advance(2_000)
  t.is(fixture.maintenanceCalls.length, 1)
  fixture.advance(2_000)
  fixture.advance(100)
  t.deepEqual(fixture.maintenanceCalls.map(({ vmId }) => vmId), ['vm-w1', 'vm-w2'])
})

test('a wave is completed only when the platform has begun the maintenance of each of its VMs', t => {
  const fixture = fixtureWithWave()
  const stateOf = () => fixture.operate({ kind: 'wave_state', waveId: '1' })
  for (let elapsedMs = 0; elapsedMs < 12_000; elapsedMs += 100) {
    fixture.advance(100)
    const call = fixture.maintenanceCalls.shift()
    if (call === undefined) continue
    t.like(stateOf(), { value: { state: 'running' } })
    fixture.tell({ kind: 'maintenance_answered', call, answer: 'begun' })
  }
  t.like(stateOf(), { value: { state: 'completed' } })
})

test('a VM that is next for maintenance gets no new run', t => {
  const fixture = fixtureWithWave()
  fixture.advance(3_500)
  for (const workerId of ['w1', 'w2']) fixture.beat(workerId)
  fixture.submit('j1', [step({ taskCount: 1 })])
  fixture.advance(200)
  t.deepEqual(fixture.beat('w1')?.starts, [])
  t.is(fixture.beat('w2')?.starts.length, 1)
})

/** A lasting step of two tasks, one at work on each worker of the wave; `maxUnavailable` of them may be away. */
function fixtureWithLasting (maxUnavailable: number) {
  const fixture = new LeaderFixture()
  fixture.beat('w1')
  fixture.beat('w2')
  fixture.submit('web', [step({ isLasting: true, maxTasksPerWorker: 1, maxUnavailable })])
  const startedOn = new Map(['w1', 'w2'].map(workerId => [workerId, rows(fixture.beat(workerId)?.starts ?? [], 100)]))
  const beat = (workerId: string) => fixture.beat(workerId, { running: startedOn.get(workerId) ?? [] })
  beat('w1')
  beat('w2')
  fixture.operate({ kind: 'start_wave', wave: { ...wave, durationMs: 4_000 } })
  // The VM is cordoned in one check of the fleet and emptied in the next.
  fixture.advance(3_500)
  fixture.advance(200)
  return { fixture, beat }
}

test('maintenance moves a lasting task only while enough others of its step are at work (AVAIL)', t => {
  const { beat } = fixtureWithLasting(1)
  t.is(beat('w1')?.stops.length, 1)
  t.is(beat('w2')?.stops.length, 0)
})

test('maintenance waits, late if need be, for lasting tasks that may not be away (AVAIL)', t => {
  const { fixture, beat } = fixtureWithLasting(0)
  for (let elapsedMs = 0; elapsedMs < 10_000; elapsedMs += 200) {
    for (const workerId of ['w1', 'w2']) t.deepEqual(beat(workerId)?.stops, [])
    fixture.advance(30)
  }
  t.deepEqual(fixture.maintenanceCalls, [])
})

test('a fenced leader calls no more', t => {
  const fixture = fixtureWithWave()
  fixture.advance(3_500)
  const call = fixture.maintenanceCalls[0] ?? { waveId: '', vmId: '' }
  fixture.tell({ kind: 'maintenance_answered', call, answer: 'fenced' })
  fixture.advance(5_000)
  t.is(fixture.maintenanceCalls.length, 1)
})

test('work that is saved moves off a leaving worker at once; work that may still end stays', t => {
  const fixture = new LeaderFixture()
  fixture.beat('w1')
  fixture.submit('saved', [step({ taskCount: 1, isCheckpointing: true, estimateMs: 30_000 })])
  fixture.submit('plain', [step({ taskCount: 1, estimateMs: 4_000 })])
  const starts = rows(fixture.beat('w1')?.starts ?? [])
  t.is(starts.length, 2)
  const leaving = { state: 'leaving', remainingMs: 2_500, running: starts } as const
  fixture.beat('w1', leaving)
  fixture.advance(200)
  t.deepEqual(fixture.beat('w1', leaving)?.stops.map(stop => stop.taskKey), ['saved.0.0.0'])
})

test('a run that stands still is started elsewhere, and its worker gets nothing new meanwhile', t => {
  const fixture = new LeaderFixture()
  fixture.beat('w1')
  fixture.submit('j1', [step({ taskCount: 1, estimateMs: 2_000 })])
  const starts = rows(fixture.beat('w1')?.starts ?? [])
  fixture.beat('w1', { running: starts })
  fixture.advance(2_000)
  fixture.submit('j2', [step({ taskCount: 1 })])
  t.deepEqual(fixture.beat('w1', { running: starts })?.starts, [])
  fixture.advance(2_500)
  t.deepEqual(fixture.beat('w1', { running: starts })?.stops.map(stop => stop.taskKey), ['j1.0.0.0'])
})

test('a member of a gang that has done its work is not taken off while another works on (kartli-yards trouble-1)', t => {
  const fixture = new LeaderFixture()
  fixture.beat('w1')
  fixture.submit('gang', [step({ taskCount: 2, isGang: true, estimateMs: 2_000 })])
  const [fast, slow] = rows(fixture.beat('w1')?.starts ?? [], 100)
  if (fast === undefined || slow === undefined) return t.fail('the gang did not start')
  for (let percent = 10; percent < 90; percent++) {
    fixture.advance(200)
    t.deepEqual(fixture.beat('w1', { running: [fast, { ...slow, percent }] })?.stops, [])
  }
})

test('fillers slow down while a lasting task is over its target, and speed up again after', t => {
  const fixture = new LeaderFixture()
  fixture.beat('w1')
  fixture.submit('web', [step({ taskCount: 1, isLasting: true, targetLatencyMs: 100 })])
  fixture.submit('fill', [step({ taskCount: 1, isFiller: true, estimateMs: 600_000 })])
  const starts = rows(fixture.beat('w1')?.starts ?? [])
  t.is(starts.length, 2)
  const withLatency = (latencyMs: number) => starts.map(row => ({ ...row, usage: row.taskKey.startsWith('web') ? latencyMs : 500 }))
  const paceAt = (latencyMs: number): number | undefined => {
    fixture.advance(200)
    return fixture.beat('w1', { running: withLatency(latencyMs) })?.paces[0]?.percent
  }
  t.is(paceAt(150), 50)
  t.is(paceAt(150), 25)
  t.is(paceAt(70), undefined)
  t.is(paceAt(20), 30)
})

test('a lasting task is started again however it ends', t => {
  const fixture = new LeaderFixture()
  fixture.beat('w1')
  fixture.submit('web', [step({ taskCount: 1, isLasting: true })])
  const starts = rows(fixture.beat('w1')?.starts ?? [])
  fixture.beat('w1', { running: starts })
  for (const [index, reason] of (['failed', 'done', 'failed'] as const).entries()) {
    const ends = [{ sequence: index + 1, taskKey: 'web.0.0.0', run: index + 1, reason, checkpoint: '' }]
    fixture.advance(200)
    fixture.beat('w1', { ends })
    fixture.advance(200)
    t.is([...fixture.state.runsOf('w1')][0]?.run, index + 2)
    fixture.beat('w1', { running: [{ taskKey: 'web.0.0.0', run: index + 2, checkpoint: '', percent: 0, usage: 0 }] })
  }
})
