import test from 'ava'
import { BatchState, type Assignment, type EndReason } from '../src/index.js'
import { document, HOST, job, step } from './sample-data.js'

const ADDRESS = `${HOST}/normal/`
const workerIncarnation = { workerId: 'w1', incarnation: 1_000 }

function createState (steps = [step()], jobId = 'j1'): BatchState {
  const state = new BatchState({ endedJobRetentionMs: 10_000 })
  state.apply({ kind: 'put_configuration', document: document() }, 1)
  const submit = { kind: 'submit_job', spec: job(jobId, steps), queueAddress: ADDRESS, organisation: 'org-a' } as const
  state.apply({ ...submit, acceptedWallMs: 5 }, 5)
  return state
}

function assign (state: BatchState, taskKey: string, run: number, worker = workerIncarnation): Assignment {
  const assignment = { taskKey, run, ...worker }
  state.apply({ kind: 'assign', assignments: [assignment] }, 10)
  return assignment
}

let endSequence = 0
function recordEnd (state: BatchState, taskKey: string, run: number, reason: EndReason, checkpoint = ''): void {
  const ends = [{ sequence: ++endSequence, taskKey, run, reason, checkpoint }]
  state.apply({ kind: 'record_ends', life: workerIncarnation, ends }, 20)
}

test('a job is completed only when all its steps are done', t => {
  const state = createState([step({ taskCount: 1 }), step({ taskCount: 1, dependsOn: [0] })])
  assign(state, 'j1.0.0.0', 1)
  recordEnd(state, 'j1.0.0.0', 1, 'done')
  t.is(state.job('j1')?.state, 'open')
  assign(state, 'j1.0.1.0', 1)
  recordEnd(state, 'j1.0.1.0', 1, 'done')
  t.is(state.job('j1')?.state, 'completed')
})

test('only ends with the reason failed count as attempts, so that preemption and lost workers do not fail a job', t => {
  const state = createState([step({ taskCount: 1 })])
  const reasons: EndReason[] = ['stopped', 'lapsed', 'broken', 'alone', 'refused', 'failed']
  reasons.forEach((reason, index) => {
    assign(state, 'j1.0.0.0', index + 1)
    recordEnd(state, 'j1.0.0.0', index + 1, reason)
  })
  t.is(state.job('j1')?.state, 'open')
  assign(state, 'j1.0.0.0', 7)
  recordEnd(state, 'j1.0.0.0', 7, 'failed')
  t.is(state.job('j1')?.state, 'failed')
})

test('failures of several gang members in the same run count as one attempt', t => {
  const state = createState([step({ isGang: true })])
  for (const run of [1, 2]) {
    for (const index of [0, 1]) assign(state, `j1.0.0.${index}`, run)
    for (const index of [0, 1]) recordEnd(state, `j1.0.0.${index}`, run, 'failed')
    t.is(state.job('j1')?.state, run === 1 ? 'open' : 'failed')
  }
})

test('a checkpoint of one gang member applies to all, since all must start from the same one', t => {
  const state = createState([step({ isGang: true, isCheckpointing: true })])
  for (const index of [0, 1]) assign(state, `j1.0.0.${index}`, 1)
  recordEnd(state, 'j1.0.0.0', 1, 'stopped', 'saved-7')
  t.is(state.findTask('j1.0.0.1')?.task.checkpoint, 'saved-7')
})

test('the end of a freed run whose task was assigned again is acknowledged without effect', t => {
  const state = createState([step({ taskCount: 1 })])
  const gone = assign(state, 'j1.0.0.0', 1)
  state.apply({ kind: 'worker_gone', life: gone, checkpoints: [] }, 15)
  assign(state, 'j1.0.0.0', 2, { workerId: 'w2', incarnation: 1_000 })
  recordEnd(state, 'j1.0.0.0', 1, 'done')
  t.is(state.job('j1')?.state, 'open')
  t.is(state.lastEndSequence(workerIncarnation), endSequence)
})

test('the end of a freed run is not acknowledged where its task was assigned again while the end was being recorded', t => {
  const state = createState([step({ taskCount: 1 })])
  const gone = assign(state, 'j1.0.0.0', 1)
  state.apply({ kind: 'worker_gone', life: gone, checkpoints: [] }, 15)
  assign(state, 'j1.0.0.0', 2, { workerId: 'w2', incarnation: 1_000 })
  const before = state.lastEndSequence(workerIncarnation)
  const ends = [{ sequence: before + 1, taskKey: 'j1.0.0.0', run: 1, reason: 'done' as const, checkpoint: '' }]
  state.apply({ kind: 'record_ends', life: workerIncarnation, ends, voidEndSequence: 0 }, 20)
  t.is(state.lastEndSequence(workerIncarnation), before)
})

test('a later incarnation of a worker frees the runs of the earlier one and restarts the numbering of ends', t => {
  const state = createState([step({ taskCount: 1 })])
  assign(state, 'j1.0.0.0', 1)
  const later = { workerId: 'w1', incarnation: 2_000 }
  state.apply({ kind: 'record_ends', life: later, ends: [] }, 30)
  t.deepEqual([...state.runsOf('w1')], [])
  t.is(state.lastEndSequence(later), 0)
})

test('a run number is never used twice, even across a snapshot', t => {
  const state = createState([step({ taskCount: 1 })])
  const first = assign(state, 'j1.0.0.0', 1)
  state.apply({ kind: 'release', runs: [first] }, 15)
  const restored = BatchState.restore(structuredClone(state.snapshot()), { endedJobRetentionMs: 10_000 })
  assign(restored, 'j1.0.0.0', 1)
  t.deepEqual([...restored.runsOf('w1')], [])
  assign(restored, 'j1.0.0.0', 2)
  t.is([...restored.runsOf('w1')].length, 1)
})

test('the highest configuration version is in force, whatever the order of arrival', t => {
  const state = createState()
  state.apply({ kind: 'put_configuration', document: document(9) }, 10)
  t.deepEqual(state.apply({ kind: 'put_configuration', document: document(5) }, 11), { kind: 'unchanged' })
  t.deepEqual(state.apply({ kind: 'put_configuration', document: { ...document(9), queues: [] } }, 12), { kind: 'unchanged' })
  t.is(state.directory?.document.version, 9)
  t.is(state.directory?.document.queues.length, 2)
})

test('an ended job is kept for the retention time and then removed', t => {
  const state = createState()
  state.apply({ kind: 'cancel_job', jobId: 'j1' }, 100)
  state.apply({ kind: 'cancel_job', jobId: 'other' }, 10_100)
  t.is(state.job('j1')?.state, 'cancelled')
  state.apply({ kind: 'cancel_job', jobId: 'other' }, 10_101)
  t.is(state.job('j1'), undefined)
})

// Guards against replicas that differ: a restored one kept ended jobs for as long as those accepted before them.
test('a restored replica removes ended jobs at the same time as the others', t => {
  const state = createState()
  const later = { kind: 'submit_job', spec: job('j2'), queueAddress: ADDRESS, organisation: 'org-a', acceptedWallMs: 6 } as const
  state.apply(later, 6)
  state.apply({ kind: 'cancel_job', jobId: 'j2' }, 100)
  state.apply({ kind: 'cancel_job', jobId: 'j1' }, 5_000)
  const restored = BatchState.restore(structuredClone(state.snapshot()), { endedJobRetentionMs: 10_000 })
  for (const replica of [state, restored]) {
    replica.apply({ kind: 'cancel_job', jobId: 'other' }, 10_101)
    t.is(replica.job('j2'), undefined)
    t.is(replica.job('j1')?.state, 'cancelled')
  }
})

test('a cancelled job gets no further run', t => {
  const state = createState()
  state.apply({ kind: 'cancel_job', jobId: 'j1' }, 100)
  assign(state, 'j1.0.0.0', 1)
  t.deepEqual([...state.runsOf('w1')], [])
})

test('departures survive a restart from a snapshot, and end with the incarnation', t => {
  const state = createState([step()])
  const depart = (workerId: string, departure: 'leaving' | 'left') =>
    state.apply({ kind: 'record_departure', life: { workerId, incarnation: 5 }, departure }, 10)
  depart('w1', 'leaving')
  depart('w2', 'left')
  t.deepEqual(depart('w2', 'leaving'), { kind: 'unchanged' })
  const restored = BatchState.restore(state.snapshot(), { endedJobRetentionMs: 1_000 })
  t.is(restored.departureOf({ workerId: 'w1', incarnation: 5 }), 'leaving')
  t.is(restored.departureOf({ workerId: 'w2', incarnation: 5 }), 'left')
  t.is(restored.departureOf({ workerId: 'w2', incarnation: 4 }), 'left')
  t.is(restored.departureOf({ workerId: 'w2', incarnation: 6 }), undefined)
})

test('the record of a worker without runs is removed a day after its last use, so that the state does not grow', t => {
  const dayMs = 86_400_000
  const state = createState([step({ taskCount: 1 })])
  const busy = assign(state, 'j1.0.0.0', 1)
  const gone = { workerId: 'gone', incarnation: 5 }
  state.apply({ kind: 'record_departure', life: gone, departure: 'left' }, 20)
  state.apply({ kind: 'cancel_job', jobId: 'none' }, 20 + dayMs)
  t.is(state.departureOf(gone), 'left')
  state.apply({ kind: 'cancel_job', jobId: 'none' }, 21 + dayMs)
  t.is(state.departureOf(gone), undefined)
  t.deepEqual(state.snapshot().workers.map(([workerId]) => workerId), [busy.workerId])
})
