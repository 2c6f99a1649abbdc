import test from 'ava'
import { ManualClock } from '@comfreygrade/core'
import { defaultBatchSettings, type EndReason, type StepSpec, type WorkerOrders } from '../src/index.js'
import { wholeRunMs } from '../src/run-estimates.js'
import { plainPolicies } from '../src/policies.js'
import { CallerEstimates, type RunSample } from '../src/run-time-predictor.js'
import { WorkerSpeeds } from '../src/worker-speeds.js'
import { WorkerView } from '../src/worker-view.js'
import { HEARTBEAT_WAIT_MS, LeaderFixture } from './leader-fixture.js'
import { report, step } from './sample-data.js'

/** Time from one heartbeat of a worker to the next; below the report timeout, so that leases are held. */
const BEAT_MS = 800

class RecordingPredictor extends CallerEstimates {
  readonly samples: RunSample[] = []

  override learn (sample: RunSample): void {
    this.samples.push(sample)
  }
}

class FixedSpeeds extends WorkerSpeeds {
  override slowdownOf ({ workerId }: { workerId: string }): number {
    return workerId === 'slow' ? 2 : 1
  }

  override observe (): void {}
}

function startWith (steps: StepSpec[], workers: ReadonlyArray<{ workerId: string, rack: string }>) {
  const runTimes = new RecordingPredictor()
  const policies = { ...plainPolicies(), runTimes, workerSpeeds: new FixedSpeeds() }
  const fixture = new LeaderFixture(undefined, undefined, undefined, () => policies)
  for (const { workerId, rack } of workers) fixture.heartbeat(workerId, { rack })
  fixture.submit('j1', steps)
  const started = workers.map(worker => ({ ...worker, starts: [] as WorkerOrders['starts'] }))
  // A same-rack gang that fits into no rack starts after a wait of 2 s.
  for (let round = 0; round < 30 && started.some(({ starts }) => starts.length === 0); round++) {
    for (const worker of started) {
      if (worker.starts.length > 0) continue
      worker.starts = fixture.heartbeat(worker.workerId, { rack: worker.rack })?.starts ?? []
    }
  }
  const beat = (percent: number): void => {
    for (const { workerId, rack, starts } of started) {
      const running = starts.map(({ taskKey, run }) => ({ taskKey, run, checkpoint: '', percent, usage: 0 }))
      fixture.heartbeat(workerId, { rack, running })
    }
    fixture.advance(BEAT_MS - workers.length * HEARTBEAT_WAIT_MS)
  }
  const end = (reason: EndReason): void => {
    for (const { workerId, rack, starts } of started) {
      const ends = starts.map(({ taskKey, run }, index) =>
        ({ sequence: index + 1, taskKey, run, reason, checkpoint: '' }))
      fixture.heartbeat(workerId, { rack, ends })
    }
  }
  return { runTimes, beat, end }
}

const ONE_TASK = { taskCount: 1, estimateMs: 9_000 }

test('the whole time of a run that is done is extrapolated from its progress and divided by the slowdown', t => {
  const { runTimes, beat, end } = startWith([step(ONE_TASK)], [{ workerId: 'slow', rack: 'r1' }])
  // After a checkpoint at half of the work, the other half takes two beats on a worker of half the speed.
  for (const percent of [50, 75]) beat(percent)
  end('done')
  t.deepEqual(runTimes.samples.map(({ runMs, kind }) => [Math.round(runMs), kind]), [[2 * BEAT_MS, 'finished']])
})

test('a run that was stopped is a lower bound, and one that failed says nothing', t => {
  for (const [reason, expected] of [['stopped', [[BEAT_MS, 'cut_short']]], ['failed', []]] as const) {
    const { runTimes, beat, end } = startWith([step(ONE_TASK)], [{ workerId: 'w1', rack: 'r1' }])
    for (const percent of [10, 20]) beat(percent)
    end(reason)
    t.deepEqual(runTimes.samples.map(({ runMs, kind }) => [Math.round(runMs), kind]), expected, reason)
  }
})

test('runs away from their data and same-rack gangs over several racks are left out', t => {
  const remote = startWith([step({ ...ONE_TASK, dataRack: 'other' })], [{ workerId: 'w1', rack: 'r1' }])
  const shape = { cpuMillicores: 1_000, memoryMb: 1_000, acceleratorCount: 8 }
  const gang = step({ taskCount: 2, isGang: true, isSameRack: true, shape, estimateMs: 10 })
  const apart = [{ workerId: 'w1', rack: 'r1' }, { workerId: 'w2', rack: 'r2' }]
  const together = [{ workerId: 'w1', rack: 'r1' }, { workerId: 'w2', rack: 'r1' }]
  const loose = startWith([{ ...gang, isSameRack: false }], apart)
  const close = startWith([gang], together)
  const spread = startWith([gang], apart)
  const counts = [remote, spread, loose, close].map(({ runTimes, beat, end }) => {
    for (const percent of [10, 50, 90]) beat(percent)
    end('done')
    return runTimes.samples.length
  })
  t.deepEqual(counts, [0, 0, 2, 2])
})

test('time for which a gang waits for its members does not count as run time', t => {
  const clock = new ManualClock(0, 0)
  const view = new WorkerView(report('w1'), 0, clock, defaultBatchSettings)
  const running = (percent: number) => [{ taskKey: 'j.0.0.0', run: 1, checkpoint: '', percent, usage: 0 }]
  const percentAt: ReadonlyArray<readonly [number, number]> =
    [[1, 0], [2, 0], [3, 20], [4, 45], [5, 70], [6, 100], [9, 100]]
  for (const [second, percent] of percentAt) {
    const atMs = second * 1_000
    view.accept(report('w1', { sequence: second + 1, clockMs: atMs, running: running(percent) }), atMs)
  }
  const progress = view.progress.get('j.0.0.0#1')
  t.truthy(progress)
  if (progress !== undefined) t.is(wholeRunMs(progress, step({ isGang: true }), 10_000), 4_000)
})
