/** The replicated state takes memory for tasks that have started and are not done, not for all that were accepted. */
import test from 'ava'
import { ManualClock } from '@comfreygrade/core'
import { BatchState, type BatchCommand, type JobSpec, type RunEnd, type StepSpec } from '../src/index.js'
import { TicketCache } from '../src/advice-tickets.js'
import { isStepOpen } from '../src/waiting-steps.js'
import { document, HOST, step } from './sample-data.js'

const LIFE = { workerId: 'w1', incarnation: 1_000 }
const RETENTION_MS = 10_000
const OPTIONS = { endedJobRetentionMs: RETENTION_MS }

/** Runs tasks of one job to their ends, and measures the state. */
class StateFixture {
  state = new BatchState(OPTIONS)
  #endSequence = 0
  #logTimeMs = 1

  constructor (steps: readonly StepSpec[], occurrences?: number) {
    this.apply({ kind: 'put_configuration', document: document() })
    const schedule = occurrences === undefined ? undefined : { firstDueMs: 0, intervalMs: 1, occurrences }
    const spec: JobSpec = { jobId: 'j1', payload: 'x'.repeat(4_000), steps, schedule }
    const queueAddress = `${HOST}/normal/`
    this.apply({ kind: 'submit_job', spec, queueAddress, organisation: 'org-a', acceptedWallMs: 0 })
  }

  apply (command: BatchCommand): void {
    this.state.apply(command, ++this.#logTimeMs)
  }

  passTime (elapsedMs: number): void {
    this.#logTimeMs += elapsedMs
  }

  assign (taskKeys: readonly string[], run = 1): void {
    this.apply({ kind: 'assign', assignments: taskKeys.map(taskKey => ({ taskKey, run, ...LIFE })) })
  }

  end (taskKeys: readonly string[], run = 1, reason: RunEnd['reason'] = 'done'): void {
    const ends = taskKeys.map(taskKey => ({ sequence: ++this.#endSequence, taskKey, run, reason, checkpoint: '' }))
    this.apply({ kind: 'record_ends', life: LIFE, ends })
  }

  runOccurrence (occurrence: number, taskCount: number): void {
    const taskKeys = Array.from({ length: taskCount }, (_unused, index) => `j1.${occurrence}.0.${index}`)
    this.assign(taskKeys)
    this.end(taskKeys)
  }

  restart (): void {
    this.state = BatchState.restore(JSON.parse(JSON.stringify(this.state.snapshot())), OPTIONS)
  }

  get snapshotLength (): number {
    return JSON.stringify(this.state.snapshot()).length
  }
}

// Guards against control processes that end with an exhausted heap some minutes into a recurring job: the records of
// all tasks of a done occurrence stayed until the end of the job.
test('a recurring job takes no more memory after 400 occurrences than after 4', t => {
  const fixture = new StateFixture([step({ taskCount: 50 })], 500)
  for (let occurrence = 0; occurrence < 4; occurrence++) fixture.runOccurrence(occurrence, 50)
  const early = fixture.snapshotLength
  for (let occurrence = 4; occurrence < 400; occurrence++) fixture.runOccurrence(occurrence, 50)
  t.true(fixture.snapshotLength <= early + 100, `${fixture.snapshotLength} characters, ${early} before`)
})

// Guards against the same at the first task of an occurrence: it created the records of all others.
test('an assigned task takes no memory for the other tasks of its occurrence', t => {
  const fixture = new StateFixture([step({ taskCount: 20_000 })], 10_000)
  const accepted = fixture.snapshotLength
  fixture.assign(['j1.0.0.0', 'j1.1.0.0'])
  t.true(fixture.snapshotLength <= accepted + 1_000, `${fixture.snapshotLength} characters, ${accepted} before`)
})

// Guards against a schedule that takes memory for each of its occurrences before they are due.
test('an accepted job takes no memory for each occurrence', t => {
  const [one, many] = [1, 10_000].map(occurrences => new StateFixture([step()], occurrences).snapshotLength)
  t.true(many! <= one! + 100, `${many} characters, ${one} with one occurrence`)
})

// Guards against payloads that fill the memory for as long as ended jobs are kept.
test('an ended job keeps neither its payload nor records of its tasks', t => {
  const fixture = new StateFixture([step({ taskCount: 100 })])
  fixture.runOccurrence(0, 99)
  fixture.assign(['j1.0.0.99'])
  fixture.apply({ kind: 'cancel_job', jobId: 'j1' })
  fixture.end(['j1.0.0.99'], 1, 'stopped')
  t.is(fixture.state.job('j1')?.state, 'cancelled')
  t.true(fixture.snapshotLength < 2_000, `${fixture.snapshotLength} characters`)
})

for (const isRestarted of [false, true]) {
  const suffix = isRestarted ? ', after a restart from a snapshot' : ''

  // Guards against a second run of a task whose record was dropped.
  test(`a task of a done occurrence stays done${suffix}`, t => {
    const fixture = new StateFixture([step({ taskCount: 2 })], 3)
    fixture.runOccurrence(1, 2)
    if (isRestarted) fixture.restart()
    fixture.assign(['j1.1.0.0'], 2)
    t.true(fixture.state.findTask('j1.1.0.0')?.task.isDone)
    t.deepEqual(fixture.state.activeRunsOf('j1'), [])
    t.is(fixture.state.findTask('j1.0.0.0'), undefined)
  })

  // Guards against TWICE: the end of a freed run whose task ran again must not be acknowledged, also where the later
  // run has completed the task and the job has ended.
  test(`the late end of a freed run stays overruled once its task and job are done${suffix}`, t => {
    const fixture = new StateFixture([step({ taskCount: 1 })])
    const lost = { workerId: 'lost', incarnation: 1_000 }
    fixture.apply({ kind: 'assign', assignments: [{ taskKey: 'j1.0.0.0', run: 1, ...lost }] })
    fixture.apply({ kind: 'worker_gone', life: lost, checkpoints: [] })
    fixture.assign(['j1.0.0.0'], 2)
    fixture.end(['j1.0.0.0'], 2)
    t.is(fixture.state.job('j1')?.state, 'completed')
    if (isRestarted) fixture.restart()
    const late = { sequence: 1, taskKey: 'j1.0.0.0', run: 1, reason: 'done', checkpoint: '' } as const
    t.true(fixture.state.isOverruled(lost, late))
  })

  // Guards against BUDGET: attempts must not be forgotten while the task waits for its next run.
  test(`the failures of a task that waits count further${suffix}`, t => {
    const fixture = new StateFixture([step({ taskCount: 3 })])
    fixture.assign(['j1.0.0.1'])
    fixture.end(['j1.0.0.1'], 1, 'failed')
    if (isRestarted) fixture.restart()
    fixture.assign(['j1.0.0.1'], 2)
    fixture.end(['j1.0.0.1'], 2, 'failed')
    t.is(fixture.state.job('j1')?.state, 'failed')
  })

  // Guards against a gang member whose run is forgotten while its worker still has to report the end.
  test(`the active runs of a done gang stay until they end${suffix}`, t => {
    const fixture = new StateFixture([step({ taskCount: 2, isGang: true })], 2)
    fixture.assign(['j1.0.0.0', 'j1.0.0.1'])
    fixture.end(['j1.0.0.0'])
    if (isRestarted) fixture.restart()
    t.deepEqual(fixture.state.activeRunsOf('j1').map(run => run.taskKey), ['j1.0.0.1'])
    fixture.end(['j1.0.0.1'])
    t.deepEqual(fixture.state.activeRunsOf('j1'), [])
  })
}

// Guards against tickets and turns that a leader keeps for each done occurrence until the end of a recurring job.
test('a step of a done occurrence does not count as open, so that what the leader keeps for it can go', t => {
  const fixture = new StateFixture([step({ taskCount: 2 })], 3)
  fixture.runOccurrence(0, 2)
  fixture.assign(['j1.1.0.0'])
  const keys = ['j1.0.0', 'j1.1.0', 'j1.2.0', 'j2.0.0']
  t.deepEqual(keys.map(key => isStepOpen(fixture.state, key)), [false, true, true, false])
  const clock = new ManualClock(0, 0)
  const cache = new TicketCache(clock)
  const advice = { asked: [LIFE], tickets: [{ workerId: 'w1', ticket: 't' }], expiresAtMs: 10_000, validityMs: 10_000 }
  for (const key of ['j1.0.0', 'j1.1.0']) cache.record(key, advice)
  cache.retainSteps(key => isStepOpen(fixture.state, key))
  t.deepEqual(['j1.0.0', 'j1.1.0'].map(key => cache.permittedWorkers(key).size), [0, 1])
})

// Guards against memory for the run numbers of all done occurrences of a job that never ends.
test('the run numbers of done occurrences are dropped after the retention', t => {
  const fixture = new StateFixture([step({ taskCount: 1 })], 1_000)
  const sizes: number[] = []
  for (let occurrence = 0; occurrence < 60; occurrence++) {
    const taskKeys = [`j1.${occurrence}.0.0`]
    for (const [run, reason] of [[1, 'stopped'], [2, 'done']] as const) {
      fixture.assign(taskKeys, run)
      fixture.end(taskKeys, run, reason)
    }
    fixture.passTime(RETENTION_MS / 5)
    sizes.push(fixture.snapshotLength)
  }
  t.true(sizes[59]! <= sizes[19]! + 100, `${sizes[59]} characters, ${sizes[19]} before`)
})
