/** Disruption budgets of lasting steps during maintenance waves: never are more tasks unavailable than allowed. */
import test from 'ava'
import { FleetSimulation } from './fleet-simulation.js'
import { step } from './sample-data.js'

const TASK_COUNT = 6

interface Wave {
  readonly workerCount: number
  /** At most this many tasks on one worker; 0 for no limit. */
  readonly maxTasksPerWorker: number
  readonly maxUnavailable: number
  readonly maxConcurrent: number
  readonly durationMs: number
  /** Time from the start of the wave at which another leader takes over; undefined for none. */
  readonly leaderChangesAfterMs?: number
}

/** Plays a wave over all VMs; returns its state and the disruptions that exceeded the budget. */
function playWave (
  { workerCount, maxTasksPerWorker, maxUnavailable, maxConcurrent, durationMs, leaderChangesAfterMs }: Wave
) {
  const exceeded: string[] = []
  const fleet: FleetSimulation = new FleetSimulation(workerCount, taskKeys => {
    const unavailable = TASK_COUNT - fleet.availableTasks().size
    if (unavailable > maxUnavailable) exceeded.push(`${taskKeys.join(', ')}: ${unavailable} unavailable`)
  })
  const { fixture } = fleet
  fleet.run(1_000)
  const spec = { taskCount: TASK_COUNT, isLasting: true, maxTasksPerWorker, maxUnavailable, estimateMs: 300 }
  fixture.submit('web', [step(spec)])
  fleet.run(4_000)
  const started = fleet.availableTasks().size
  fixture.execute({ kind: 'start_wave', wave: { waveId: '1', vmIds: fleet.vmIds, maxConcurrent, durationMs } })
  if (leaderChangesAfterMs !== undefined) {
    fleet.run(leaderChangesAfterMs)
    fixture.changeLeader()
  }
  fleet.run(60_000)
  return { started, exceeded, state: fixture.execute({ kind: 'wave_state', waveId: '1' }) }
}

const waves: Readonly<Record<string, Wave>> = {
  'with little time': {
    workerCount: 3, maxTasksPerWorker: 0, maxUnavailable: 1, maxConcurrent: 1, durationMs: 1_000
  },
  'with little time, over a change of leader': {
    workerCount: 3,
    maxTasksPerWorker: 0,
    maxUnavailable: 1,
    maxConcurrent: 1,
    durationMs: 8_000,
    leaderChangesAfterMs: 500
  },
  'of several VMs at once': {
    workerCount: 6, maxTasksPerWorker: 1, maxUnavailable: 1, maxConcurrent: 3, durationMs: 1_000
  },
  'of several VMs at once, over a change of leader': {
    workerCount: 6,
    maxTasksPerWorker: 2,
    maxUnavailable: 2,
    maxConcurrent: 3,
    durationMs: 1_000,
    leaderChangesAfterMs: 2_500
  },
  'with time enough': { workerCount: 4, maxTasksPerWorker: 2, maxUnavailable: 2, maxConcurrent: 2, durationMs: 50_000 }
}

for (const [title, wave] of Object.entries(waves)) {
  // Guards against maintenance that ends several tasks of a step together, where its budget allows each alone.
  test(`a wave ${title} ends no more tasks of a step than its disruption budget allows, and is completed`, t => {
    const { started, exceeded, state } = playWave(wave)
    t.is(started, TASK_COUNT)
    t.deepEqual(exceeded, [])
    t.like(state, { ok: true, value: { state: 'completed' } })
  })
}
