/**
 * A heartbeat without the lists of runs, which another writer may send under the ID of a worker: a missing field is
 * decoded as an empty list. Guards against a run that is taken for absent by it and assigned again while it runs.
 */
import test from 'ava'
import { report, step } from './sample-data.js'
import { LeaderFixture, runningTasks } from './leader-fixture.js'

test('a run that has just started is not released after one heartbeat without lists, while its zone is evacuated', t => {
  const fixture = new LeaderFixture()
  fixture.advance(1_000)
  fixture.heartbeat('w1')
  fixture.submit('j1', [step({ taskCount: 1 })])
  const running = runningTasks(fixture.heartbeat('w1')?.starts ?? [])
  t.is(running.length, 1)
  fixture.execute({ kind: 'start_evacuation', zone: 'a', requestedBy: 'operator' })
  fixture.advance(50)
  const nowMs = fixture.clock.monotonicMs()
  fixture.sendReport(report('w1', { clockMs: nowMs, sequence: Math.round(nowMs) }))
  fixture.advance(100)
  fixture.heartbeat('w2', { availabilityZone: 'b', rack: 'r2', labels: ['kind', 'r2'] })
  const starts = fixture.heartbeat('w2', { availabilityZone: 'b', rack: 'r2', labels: ['kind', 'r2'] })?.starts ?? []
  t.deepEqual(starts, [])
  t.is([...fixture.state.runsOf('w1')].length, 1)
})
