import test from 'ava'
import { ManualClock, NullMetrics, Random, StrictEventLog } from '@comfreygrade/core'
import { defaultBatchSettings, type RunningTask, type StepSpec, type WorkerReport } from '../src/index.js'
import { LearnedWorkerSpeeds } from '../src/learned-worker-speeds.js'
import { SLOW_FROM } from '../src/speed-tiers.js'
import { WorkerView } from '../src/worker-view.js'
import { report, step } from './sample-data.js'

const REPORT_MS = 250
const SEEDS = [3, 17, 40, 59, 88]

interface SimulatedRun {
  readonly taskKey: string
  readonly workMs: number
  /** Time for which it has waited for its gang before it makes progress. */
  waitsMs: number
  percent: number
}

interface SimulatedWorker {
  readonly workerId: string
  readonly rack: string
  incarnation: number
  speed: number
  coldRemainingMs: number
  view: WorkerView
  runs: SimulatedRun[]
}

interface FleetOptions {
  readonly speeds: readonly number[]
  readonly spec?: Partial<StepSpec>
  readonly racks?: number
}

/** Workers that each run one task of each step in turn; the work of the tasks differs from its mean by up to e^0.3. */
class SimulatedFleet {
  readonly speeds = new LearnedWorkerSpeeds({ metrics: new NullMetrics(), log: new StrictEventLog() })
  readonly workers: SimulatedWorker[]
  readonly #clock = new ManualClock(100_000)
  readonly #random: Random
  readonly #spec: StepSpec
  #sequence = 1
  #stepCount = 0

  constructor (seed: number, { speeds, spec = {}, racks = 1 }: FleetOptions) {
    this.#random = new Random(seed)
    this.#spec = step({ taskCount: speeds.length, ...spec })
    this.workers = speeds.map((speed, index) => {
      const workerId = `w${index}`
      const first = report(workerId, { rack: `r${index % racks}` })
      const view = new WorkerView(first, 0, this.#clock, defaultBatchSettings)
      return { workerId, rack: first.rack, incarnation: 1_000, speed, coldRemainingMs: 0, view, runs: [] }
    })
  }

  run (durationMs: number): void {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += REPORT_MS) {
      if (this.workers.every(({ runs }) => runs.length === 0)) this.#startStep()
      this.#clock.advance(REPORT_MS)
      for (const worker of this.workers) this.#advance(worker)
    }
  }

  slowdownOf (index: number, fields: Partial<WorkerReport> = {}): number {
    const { workerId, incarnation } = this.workers[index] as SimulatedWorker
    return this.speeds.slowdownOf(report(workerId, { incarnation, ...fields }))
  }

  #startStep (): void {
    const jobId = `j${this.#stepCount++}`
    const workMs = 1_500 + this.#random.nextFloat() * 3_000
    this.workers.forEach((worker, index) => {
      const factor = Math.exp((this.#random.nextFloat() * 2 - 1) * 0.3)
      worker.runs = [{ taskKey: `${jobId}.0.0.${index}`, workMs: workMs * factor, waitsMs: 600, percent: 0 }]
    })
  }

  #advance (worker: SimulatedWorker): void {
    for (const run of worker.runs) {
      run.waitsMs -= REPORT_MS
      if (run.waitsMs < 0) run.percent += REPORT_MS * worker.speed / run.workMs * 100
    }
    worker.runs = worker.runs.filter(run => run.percent < 100)
    const running: RunningTask[] = worker.runs.map(({ taskKey, percent }) =>
      ({ taskKey, run: 1, checkpoint: '', percent: Math.floor(percent), usage: 0 }))
    const { workerId, rack, incarnation, coldRemainingMs } = worker
    const clockMs = this.#clock.monotonicMs()
    const sequence = ++this.#sequence
    worker.view.accept(
      report(workerId, { rack, incarnation, sequence, clockMs, coldRemainingMs, running }), clockMs)
    this.speeds.observe(worker.view, clockMs, () => this.#spec)
  }
}

/** Of these workers, every fourth one has half of the speed of the others. */
const UNEVEN = Array.from({ length: 16 }, (_, index) => index % 4 === 3 ? 0.55 : 1.1)

function slowdowns (fleet: SimulatedFleet): number[] {
  return fleet.workers.map((_, index) => fleet.slowdownOf(index))
}

test('slow workers are told from fast ones though the work of the tasks differs, so that gangs can avoid them', t => {
  for (const seed of SEEDS) {
    const fleet = new SimulatedFleet(seed, { speeds: UNEVEN })
    fleet.run(30_000)
    const areSlow = slowdowns(fleet).map(slowdown => slowdown >= SLOW_FROM)
    t.deepEqual(areSlow, UNEVEN.map(speed => speed < 1), `seed ${seed}: ${slowdowns(fleet).join(' ')}`)
  }
})

test('a worker that becomes slow is detected within a few seconds, not only after all of its earlier runs have aged', t => {
  for (const seed of SEEDS) {
    const fleet = new SimulatedFleet(seed, { speeds: Array.from({ length: 12 }, () => 1) })
    fleet.run(20_000)
    t.true(fleet.slowdownOf(5) < SLOW_FROM, `seed ${seed}`)
    ;(fleet.workers[5] as SimulatedWorker).speed = 0.2
    fleet.run(6_000)
    t.true(fleet.slowdownOf(5) > SLOW_FROM, `seed ${seed}: ${fleet.slowdownOf(5)}`)
  }
})

test('a worker whose runs make no progress has no slowdown, since it is the quarantine that handles stalled runs', t => {
  const fleet = new SimulatedFleet(7, { speeds: [0, ...UNEVEN] })
  fleet.run(20_000)
  t.is(fleet.slowdownOf(0), 1)
})

test('a cold worker is not taken for a slow one', t => {
  const fleet = new SimulatedFleet(7, { speeds: [0.3, ...UNEVEN] })
  ;(fleet.workers[0] as SimulatedWorker).coldRemainingMs = 5_000
  fleet.run(20_000)
  t.is(fleet.slowdownOf(0), 1)
})

test('runs outside their data rack say nothing about the speed of their workers', t => {
  const speeds = UNEVEN.map((speed, index) => index % 2 === 1 ? speed / 3 : speed)
  const fleet = new SimulatedFleet(7, { speeds, racks: 2, spec: { dataRack: 'r0' } })
  fleet.run(20_000)
  t.is(fleet.slowdownOf(1), 1)
})

test('a same-rack gang that is spread over several racks says nothing about the speed of its workers', t => {
  const fleet = new SimulatedFleet(7, { speeds: UNEVEN, racks: 2, spec: { isGang: true, isSameRack: true } })
  fleet.run(20_000)
  t.deepEqual(slowdowns(fleet), UNEVEN.map(() => 1))
})

test('a speed is kept for a later incarnation only on the same VM', t => {
  const fleet = new SimulatedFleet(7, { speeds: UNEVEN })
  fleet.run(20_000)
  t.true(fleet.slowdownOf(3, { incarnation: 2_000 }) > 1.4)
  t.is(fleet.slowdownOf(3, { vmId: 'vm-new' }), 1)
})

test('speeds without recent runs are forgotten, so that the state does not grow with workers that are gone', t => {
  const fleet = new SimulatedFleet(7, { speeds: UNEVEN })
  fleet.run(20_000)
  for (const worker of fleet.workers.slice(0, 8)) worker.speed = 0
  fleet.run(120_000)
  t.is(fleet.slowdownOf(3), 1)
})
