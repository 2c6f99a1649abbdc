import test from 'ava'
import { plainPolicies } from '../src/policies.js'
import { RunTimePredictor, type RunTimePrediction } from '../src/run-time-predictor.js'
import type { JobRecord } from '../src/job-record.js'
import { LeaderFixture, runningTasks } from './leader-fixture.js'
import { step } from './sample-data.js'

const WHOLE_WORKER = { cpuMillicores: 1_000, memoryMb: 1_000, acceleratorCount: 8 }
const ONE_ACCELERATOR = { ...WHOLE_WORKER, acceleratorCount: 1 }

/** Predicts fixed run times by job; the tests submit estimates that differ from them. */
class FixedRunTimes extends RunTimePredictor {
  readonly #highMsByJob: Readonly<Record<string, number>>

  constructor (highMsByJob: Readonly<Record<string, number>>) {
    super()
    this.#highMsByJob = highMsByJob
  }

  override predict ({ spec }: JobRecord): RunTimePrediction {
    const highMs = this.#highMsByJob[spec.jobId] ?? 1_000
    return { typicalMs: highMs / 2, objectiveMs: highMs / 2, highMs, sampleCount: 10 }
  }

  override learn (): void {}
}

function createFixture (highMsByJob: Readonly<Record<string, number>>): LeaderFixture {
  const policies = { ...plainPolicies(), runTimes: new FixedRunTimes(highMsByJob) }
  const fixture = new LeaderFixture(undefined, undefined, undefined, () => policies)
  fixture.heartbeat('w1')
  fixture.advance(2_000)
  return fixture
}

test('of two waiting jobs, the one that is predicted to be shorter goes first, whatever the callers estimate', t => {
  const fixture = createFixture({ first: 2_000, long: 60_000, short: 4_000 })
  fixture.submit('first', [step({ taskCount: 1, shape: WHOLE_WORKER })])
  const first = fixture.heartbeat('w1')?.starts ?? []
  fixture.submit('long', [step({ taskCount: 1, shape: WHOLE_WORKER, estimateMs: 10 })])
  fixture.submit('short', [step({ taskCount: 1, shape: WHOLE_WORKER, estimateMs: 30_000 })])
  const ends = first.map(({ taskKey, run }) => ({ sequence: 1, taskKey, run, reason: 'done', checkpoint: '' } as const))
  const next = fixture.heartbeat('w1', { ends })?.starts ?? []
  t.deepEqual(next.map(start => start.taskKey), ['short.0.0.0'])
})

test('a task backfills before a reservation by the high quantile of its run time, not by its estimate', t => {
  for (const [highMs, expected] of [[3_000, 1], [50_000, 0]] as const) {
    const fixture = createFixture({ running: 20_000, large: 1_000, small: highMs })
    fixture.submit('running', [step({ taskCount: 1, shape: ONE_ACCELERATOR })])
    const started = fixture.heartbeat('w1')?.starts ?? []
    fixture.submit('large', [step({ taskCount: 1, shape: WHOLE_WORKER })])
    fixture.submit('small', [step({ taskCount: 1, shape: ONE_ACCELERATOR, estimateMs: highMs > 10_000 ? 10 : 60_000 })])
    const starts = fixture.heartbeat('w1', { running: runningTasks(started, 1) })?.starts ?? []
    t.is(starts.length, expected, `${highMs}`)
  }
})

test('a run counts as stalled by the longest time that is predicted for it', t => {
  for (const [highMs, isStopped] of [[1_000, true], [60_000, false]] as const) {
    const fixture = createFixture({ job: highMs })
    fixture.submit('job', [step({ taskCount: 1, estimateMs: highMs > 10_000 ? 10 : 60_000 })])
    const running = runningTasks(fixture.heartbeat('w1')?.starts ?? [], 50)
    const stops = Array.from({ length: 10 }, () => {
      fixture.advance(500)
      return fixture.heartbeat('w1', { running })?.stops ?? []
    }).flat()
    t.is(stops.length > 0, isStopped, `${highMs}`)
  }
})
