import test from 'ava'
import { BatchState, type Assignment, type EndReason } from '../src/index.js'
import { document, HOST, job, step } from './sample-data.js'

const ADDRESS = `${HOST}/normal/`
const worker = { workerId: 'w1', incarnation: 1_000 }

function stateWith (steps = [step()], jobId = 'j1'): BatchState {
  const state = new BatchState({ endedJobRetentionMs: 10_000 })
  state.apply({ kind: 'put_configuration', document: document() }, 1)
  const submit = { kind: 'submit_job', spec: job(jobId, steps), queueAddress: ADDRESS, organisation: 'org-a' } as const
  state.apply({ ...submit, acceptedWallMs: 5 }, 5)
  return state
}

function assign (state: BatchState, taskKey: string, run: number, life = worker): Assignment {
  const assignment = { taskKey, run, ...life }
  state.apply({ kind: 'assign', assignments: [assignment] }, 10)
  return assignment
}

let endSequence = 0
function end (state: BatchState, taskKey: string, run: number, reason: EndReason, checkpoint = ''): void {
  const ends = [{ sequence: ++endSequence, taskKey, run, reason, checkpoint }]
  state.apply({ kind: 'record_ends', life: worker, ends }, 20)
}

test('a job is completed only when every task of every step is done', t => {
  const state = stateWith([step({ taskCount: 1 }), step({ taskCount: 1, dependsOn: [0] })])
  assign(state, 'j1.0.0.0', 1)
  end(state, 'j1.0.0.0', 1, 'done')
  t.is(state.job('j1')?.state, 'open')
  assign(state, 'j1.0.1.0', 1)
  end(state, 'j1.0.1.0', 1, 'done')
  t.is(state.job('j1')?.state, 'completed')
})

test('only failed ends count as attempts, so that a job is not failed for what others did to it', t => {
  const state = stateWith([step({ taskCount: 1 })])
  const reasons: EndReason[] = ['stopped', 'lapsed', 'broken', 'alone', 'refused', 'failed']
  reasons.forEach((reason, index) => {
    assign(state, 'j1.0.0.0', index + 1)
    end(state, 'j1.0.0.0', index + 1, reason)
  })
  t.is(state.job('j1')?.state, 'open')
  assign(state, 'j1.0.0.0', 7)
  end(state, 'j1.0.0.0', 7, 'failed')
  t.is(state.job('j1')?.state, 'failed')
})

test('the failures of the members of a gang in one run count once', t => {
  const state = stateWith([step({ isGang: true })])
  for (const run of [1, 2]) {
    for (const index of [0, 1]) assign(state, `j1.0.0.${index}`, run)
    for (const index of [0, 1]) end(state, `j1.0.0.${index}`, run, 'failed')
    t.is(state.job('j1')?.state, run === 1 ? 'open' : 'failed')
  }
})

test('a checkpoint of one member of a gang counts for all, since all must start from the same one', t => {
  const state = stateWith([step({ isGang: true, isCheckpointing: true })])
  for (const index of [0, 1]) assign(state, `j1.0.0.${index}`, 1)
  end(state, 'j1.0.0.0', 1, 'stopped', 'saved-7')
  t.is(state.locate('j1.0.0.1')?.task.checkpoint, 'saved-7')
})

test('an end of a run that the state does not have is acknowledged without effect', t => {
  const state = stateWith([step({ taskCount: 1 })])
  const gone = assign(state, 'j1.0.0.0', 1)
  state.apply({ kind: 'worker_gone', life: gone, checkpoints: [] }, 15)
  end(state, 'j1.0.0.0', 1, 'done')
  t.is(state.job('j1')?.state, 'open')
  t.is(state.lastEndSequence(worker), endSequence)
})

test('a later life of a worker frees the runs of the earlier one and starts its ends anew', t => {
  const state = stateWith([step({ taskCount: 1 })])
  assign(state, 'j1.0.0.0', 1)
  const later = { workerId: 'w1', incarnation: 2_000 }
  state.apply({ kind: 'record_ends', life: later, ends: [] }, 30)
  t.deepEqual([...state.runsOf('w1')], [])
  t.is(state.lastEndSequence(later), 0)
})

test('a run number that was used is not used again, also after a snapshot', t => {
  const state = stateWith([step({ taskCount: 1 })])
  const first = assign(state, 'j1.0.0.0', 1)
  state.apply({ kind: 'release', runs: [first] }, 15)
  const restored = BatchState.restore(structuredClone(state.snapshot()), { endedJobRetentionMs: 10_000 })
  assign(restored, 'j1.0.0.0', 1)
  t.deepEqual([...restored.runsOf('w1')], [])
  assign(restored, 'j1.0.0.0', 2)
  t.is([...restored.runsOf('w1')].length, 1)
})

test('the highest version of the configuration is in force, whatever the order of arrival', t => {
  const state = stateWith()
  state.apply({ kind: 'put_configuration', document: document(9) }, 10)
  t.deepEqual(state.apply({ kind: 'put_configuration', document: document(5) }, 11), { kind: 'unchanged' })
  t.deepEqual(state.apply({ kind: 'put_configuration', document: { ...document(9), queues: [] } }, 12), { kind: 'unchanged' })
  t.is(state.directory?.document.version, 9)
  t.is(state.directory?.document.queues.length, 2)
})

test('an ended job is kept for the retention and forgotten after it', t => {
  const state = stateWith()
  state.apply({ kind: 'cancel_job', jobId: 'j1' }, 100)
  state.apply({ kind: 'cancel_job', jobId: 'other' }, 10_100)
  t.is(state.job('j1')?.state, 'cancelled')
  state.apply({ kind: 'cancel_job', jobId: 'other' }, 10_101)
  t.is(state.job('j1'), undefined)
})

test('a job that was cancelled takes no further run', t => {
  const state = stateWith()
  state.apply({ kind: 'cancel_job', jobId: 'j1' }, 100)
  assign(state, 'j1.0.0.0', 1)
  t.deepEqual([...state.runsOf('w1')], [])
})
