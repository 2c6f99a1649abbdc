/** Gangs whose member is lost with its worker start again without waiting for the end of that worker's lease. */
import test from 'ava'
import { BatchState, type Assignment, type EndReason, type RunEnd } from '../src/index.js'
import { LeaderFixture, runningTasks } from './leader-fixture.js'
import { document, HOST, job, queue, step } from './sample-data.js'

const wholeWorker = { cpuMillicores: 1_000, memoryMb: 1_000, acceleratorCount: 8 }

function end (taskKey: string, run: number, reason: EndReason, sequence = 1): RunEnd {
  return { sequence, taskKey, run, reason, checkpoint: '' }
}

/** A gang with a member on each of the workers, all of which have reported their runs. */
function createRunningGang (workerIds: readonly string[], maxAttempts = 4) {
  const fixture = new LeaderFixture(document(1, [queue({ maxAttempts })]))
  for (const workerId of workerIds) fixture.heartbeat(workerId)
  fixture.submit('gang', [step({ taskCount: workerIds.length, isGang: true, shape: wholeWorker, estimateMs: 60_000 })])
  const taskOf = new Map<string, string>()
  for (const workerId of workerIds) {
    fixture.advance(200)
    const starts = fixture.heartbeat(workerId)?.starts ?? []
    taskOf.set(workerId, starts[0]?.taskKey ?? '')
    fixture.advance(200)
    fixture.heartbeat(workerId, { running: runningTasks(starts) })
  }
  const reportEnd = (workerId: string, run: number, reason: EndReason): void => {
    fixture.advance(200)
    fixture.heartbeat(workerId, { ends: [end(taskOf.get(workerId) ?? '', run, reason, run)] })
  }
  return { fixture, taskOf, reportEnd }
}

/** Latest run of the gang that is assigned. */
function latestRun ({ state }: LeaderFixture): number {
  return Math.max(0, ...state.activeRunsOf('gang').map(({ run }) => run))
}

test('a gang starts again once all other members are broken, since the silent worker\'s member ended first', t => {
  const { fixture, reportEnd } = createRunningGang(['w1', 'w2', 'w3'])
  fixture.heartbeat('spare')
  reportEnd('w1', 1, 'broken')
  t.is(latestRun(fixture), 1)
  reportEnd('w2', 1, 'broken')
  fixture.heartbeat('spare')
  t.is(latestRun(fixture), 2)
})

test('a gang with silent members on two workers waits, since one of these may still run', t => {
  const { fixture, reportEnd } = createRunningGang(['w1', 'w2', 'w3'])
  for (const workerId of ['spare1', 'spare2']) fixture.heartbeat(workerId)
  reportEnd('w1', 1, 'broken')
  fixture.heartbeat('spare1')
  t.is(latestRun(fixture), 1)
})

test('a gang whose member failed is not presumed to have ended elsewhere, since the failure is what broke the others', t => {
  const { fixture, reportEnd } = createRunningGang(['w1', 'w2', 'w3'])
  for (const workerId of ['spare1', 'spare2']) fixture.heartbeat(workerId)
  reportEnd('w1', 1, 'failed')
  reportEnd('w2', 1, 'broken')
  fixture.heartbeat('spare1')
  t.is(latestRun(fixture), 1)
})

test('a gang waits for the report of an end that may be the failure of its last attempt', t => {
  const { fixture, reportEnd } = createRunningGang(['w1', 'w2'], 1)
  fixture.heartbeat('spare')
  reportEnd('w1', 1, 'broken')
  fixture.heartbeat('spare')
  t.is(latestRun(fixture), 1)
})

const WORKER = { workerId: 'w1', incarnation: 1_000 }

/** A gang of two, whose first member is presumed to have ended on `w1`. */
function createPresumedState (): BatchState {
  const state = new BatchState({ endedJobRetentionMs: 10_000 })
  state.apply({ kind: 'put_configuration', document: document(1, [queue({ maxAttempts: 2 })]) }, 1)
  const spec = job('gang', [step({ isGang: true })])
  const queueAddress = `${HOST}/normal/`
  state.apply({ kind: 'submit_job', spec, queueAddress, organisation: 'org-a', acceptedWallMs: 5 }, 5)
  const run: Assignment = { taskKey: 'gang.0.0.0', run: 1, ...WORKER }
  state.apply({ kind: 'assign', assignments: [run] }, 10)
  state.apply({ kind: 'presume_ended', runs: [run] }, 15)
  return state
}

function failuresOf (state: BatchState): number | undefined {
  return state.findTask('gang.0.0.1')?.task.failures
}

test('a failure that is reported after its run was presumed to have ended counts as an attempt, once', t => {
  const state = createPresumedState()
  t.deepEqual([...state.runsOf('w1')], [])
  state.apply({ kind: 'record_ends', life: WORKER, ends: [end('gang.0.0.0', 1, 'failed')] }, 20)
  t.is(failuresOf(state), 1)
  state.apply({ kind: 'record_ends', life: WORKER, ends: [end('gang.0.0.0', 1, 'failed', 2)] }, 25)
  t.is(failuresOf(state), 1)
})

test('a presumed end survives a restart from a snapshot', t => {
  const state = BatchState.restore(createPresumedState().snapshot(), { endedJobRetentionMs: 10_000 })
  state.apply({ kind: 'record_ends', life: WORKER, ends: [end('gang.0.0.0', 1, 'failed')] }, 20)
  t.is(failuresOf(state), 1)
})

test('a failure from before a lapse of the lease does not count, also where the run was presumed to have ended', t => {
  const state = createPresumedState()
  state.apply({ kind: 'worker_gone', life: WORKER, checkpoints: [] }, 18)
  state.apply({ kind: 'record_ends', life: WORKER, ends: [end('gang.0.0.0', 1, 'failed')] }, 20)
  t.is(failuresOf(state), 0)
})
