/** Moves of runs out of zones in which they could not start any more. */
import test from 'ava'
import type { QueueDocument, StepSpec, WorkerOrders } from '../src/index.js'
import { document, queue, step } from './sample-data.js'
import { LeaderFixture, runningTasks } from './leader-fixture.js'

const SETTINGS = { maxLongPollMs: 60, gangAssemblyMs: 0, regionByAvailabilityZone: { z1: 'north', z2: 'south' } }
const inZ1 = { availabilityZone: 'z1' }
const inZ2 = { availabilityZone: 'z2' }
const LONG = { estimateMs: 60_000 }

/** A step that fits only once on a worker. */
function wholeWorkerStep (fields: Partial<StepSpec> = {}): StepSpec {
  const shape = { cpuMillicores: 1_000, memoryMb: 1_000, acceleratorCount: 8 }
  return step({ taskCount: 1, shape, ...LONG, ...fields })
}

/** A fixture whose workers go on to report the runs that they started. */
class Fleet {
  readonly fixture = new LeaderFixture(document(), SETTINGS)
  readonly #zones: Record<string, object>
  readonly #running = new Map<string, ReturnType<typeof runningTasks>>()
  readonly #percent: number

  constructor (zones: Readonly<Record<string, object>>, percent = 10) {
    this.#zones = { ...zones }
    this.#percent = percent
    this.report()
  }

  /** All workers report; returns the tasks that each was ordered to stop. */
  report (): Record<string, string[]> {
    const stopped: Record<string, string[]> = {}
    for (const [workerId, zone] of Object.entries(this.#zones)) {
      const running = this.#running.get(workerId) ?? []
      const orders = this.fixture.heartbeat(workerId, { ...zone, running })
      this.#running.set(workerId, [...running, ...this.#started(orders)])
      if ((orders?.stops.length ?? 0) > 0) stopped[workerId] = orders?.stops.map(({ taskKey }) => taskKey) ?? []
    }
    return stopped
  }

  /** Tasks that were ordered to stop within some rounds of reports. */
  stoppedWithin (rounds: number): Record<string, string[]> {
    const stopped: Record<string, string[]> = {}
    for (let round = 0; round < rounds; round++) Object.assign(stopped, this.report())
    return stopped
  }

  addWorkers (zones: Readonly<Record<string, object>>): void {
    Object.assign(this.#zones, zones)
    this.report()
  }

  evacuate (): void {
    this.fixture.execute({ kind: 'start_evacuation', zone: 'z1', requestedBy: '10.0.0.7' })
  }

  #started (orders: WorkerOrders | undefined): ReturnType<typeof runningTasks> {
    return runningTasks(orders?.starts ?? [], this.#percent)
  }
}

function workersIn (zone: object, prefix: string, count: number): Record<string, object> {
  return Object.fromEntries(Array.from({ length: count }, (_, index) => [`${prefix}${index + 1}`, zone]))
}

/** Starts jobs in zone z1 before the workers of zone z2 report. */
function startInZ1 (steps: readonly StepSpec[], workersInZ1: number, workersInZ2: number, percent?: number): Fleet {
  const fleet = new Fleet(workersIn(inZ1, 'a', workersInZ1), percent)
  steps.forEach((spec, index) => { fleet.fixture.submit(`j${index}`, [spec]) })
  fleet.report()
  fleet.report()
  fleet.addWorkers(workersIn(inZ2, 'b', workersInZ2))
  return fleet
}

test('checkpointing runs that would continue for long leave an evacuated zone, and all others end in place', t => {
  const small = { taskCount: 1 }
  const fleet = startInZ1([
    step({ ...small, ...LONG, isCheckpointing: true }),
    step({ ...small, ...LONG }),
    step({ ...small, estimateMs: 4_000, isCheckpointing: true })
  ], 1, 2)
  t.deepEqual(fleet.stoppedWithin(5), {})
  fleet.evacuate()
  t.deepEqual(fleet.stoppedWithin(8), { a1: ['j0.0.0.0'] })
})

test('a run stays in an evacuated zone while no other zone has capacity for it', t => {
  const fleet = startInZ1([wholeWorkerStep({ isCheckpointing: true })], 1, 0)
  fleet.evacuate()
  t.deepEqual(fleet.stoppedWithin(10), {})
})

// Guards against runs that are stopped for capacity which another moved run takes.
test('only as many runs leave as there is capacity for, over several rounds', t => {
  const fleet = startInZ1([wholeWorkerStep({ isCheckpointing: true, taskCount: 3 })], 3, 1)
  fleet.evacuate()
  t.is(Object.keys(fleet.stoppedWithin(6)).length, 1)
})

test('lasting tasks leave an evacuated zone within their disruption budget', t => {
  const lasting = { isLasting: true, taskCount: 2, estimateMs: 0 }
  const strict = startInZ1([wholeWorkerStep({ ...lasting, maxUnavailable: 0 })], 2, 2, 100)
  strict.evacuate()
  t.deepEqual(strict.stoppedWithin(8), {})
  const relaxed = startInZ1([wholeWorkerStep({ ...lasting, maxUnavailable: 1 })], 2, 2, 100)
  relaxed.evacuate()
  t.is(Object.keys(relaxed.stoppedWithin(6)).length, 1)
})

test('a gang leaves with all its members, or not at all', t => {
  const gang = wholeWorkerStep({ isCheckpointing: true, isGang: true, taskCount: 2 })
  const tight = startInZ1([gang], 2, 1)
  tight.evacuate()
  t.deepEqual(tight.stoppedWithin(10), {})
  const roomy = startInZ1([gang], 2, 2)
  roomy.evacuate()
  t.deepEqual(roomy.stoppedWithin(6), { a1: ['j0.0.0.0'], a2: ['j0.0.0.1'] })
})

// Guards against a gang that is moved to racks of which none holds it, where it would run several times slower.
test('a gang of one rack leaves only for one rack', t => {
  const gang = wholeWorkerStep({ isCheckpointing: true, isGang: true, isSameRack: true, taskCount: 2 })
  const fleet = startInZ1([gang], 2, 0)
  fleet.addWorkers({ b1: { ...inZ2, rack: 'r2' }, b2: { ...inZ2, rack: 'r3' } })
  fleet.evacuate()
  t.deepEqual(fleet.stoppedWithin(10), {})
})

test('a run leaves a region that a later configuration does not permit', t => {
  const fleet = startInZ1([wholeWorkerStep({ isCheckpointing: true })], 1, 1)
  const restricted: QueueDocument = document(2, [queue({ permittedRegions: ['south'] })])
  fleet.fixture.execute({ kind: 'put_configuration', document: restricted })
  t.deepEqual(fleet.stoppedWithin(6), { a1: ['j0.0.0.0'] })
})

// Guards against work that is stopped for capacity which the scheduler keeps for a step that comes before it.
test('a run does not move to capacity that is reserved for another step', t => {
  const half = { cpuMillicores: 1_000, memoryMb: 1_000, acceleratorCount: 4 }
  const fleet = new Fleet(workersIn(inZ1, 'a', 1))
  fleet.fixture.submit('bulk', [step({ taskCount: 1, shape: half, isCheckpointing: true, ...LONG })])
  fleet.report()
  fleet.report()
  fleet.evacuate()
  fleet.addWorkers(workersIn(inZ2, 'b', 1))
  fleet.fixture.submit('urgent0', [step({ taskCount: 1, shape: half, ...LONG })], '/urgent/')
  fleet.fixture.submit('urgent1', [wholeWorkerStep()], '/urgent/')
  fleet.report()
  t.deepEqual(fleet.stoppedWithin(30), {})
})

// Guards against a gang that stays in the zone because its own runs, which stop with it, count towards its limit.
test('a gang with a limit of tasks per worker moves to workers that have members of it', t => {
  const gang = wholeWorkerStep({ isCheckpointing: true, isGang: true, taskCount: 2, maxTasksPerWorker: 1 })
  const fleet = new Fleet({ ...workersIn(inZ1, 'a', 1), ...workersIn(inZ2, 'b', 1) })
  fleet.fixture.submit('j0', [gang])
  fleet.report()
  fleet.report()
  fleet.addWorkers({ b2: inZ2 })
  fleet.evacuate()
  t.deepEqual(Object.keys(fleet.stoppedWithin(6)).sort(), ['a1', 'b1'])
})
