/** The replicated state against a plain model with a record of every task, with restarts from snapshots in between. */
import test from 'ava'
import fc from 'fast-check'
import { BatchState, taskKey, type Assignment, type BatchCommand, type EndReason, type JobSpec } from '../src/index.js'
import { restoreJobRecord } from '../src/job-record.js'
import type { TaskRecord } from '../src/step-record.js'
import { document, HOST, queue, step } from './sample-data.js'

const MAX_ATTEMPTS = 3
const OCCURRENCES = 3
const OPTIONS = { endedJobRetentionMs: 1_000_000 }
const STEPS = [
  step({ taskCount: 3 }),
  step({ taskCount: 2, isGang: true, dependsOn: [0] }),
  step({ taskCount: 1, isLasting: true })
]
const SPEC: JobSpec = {
  jobId: 'j1', payload: 'x', steps: STEPS, schedule: { firstDueMs: 0, intervalMs: 1, occurrences: OCCURRENCES }
}
const WORKERS = ['w1', 'w2'].map(workerId => ({ workerId, incarnation: 1_000 }))

interface ModelTask {
  lastRun: number
  failures: number
  isDone: boolean
  checkpoint: string
  active: Assignment[]
}

/** What the state should hold, without regard to memory. */
class Model {
  readonly #tasks = new Map<string, ModelTask>()
  readonly #startedOccurrences = new Set<number>()
  readonly #lastFailedRuns = new Map<string, number>()
  jobState = 'open'

  find (key: string): ModelTask | undefined {
    return this.#startedOccurrences.has(Number(key.split('.')[1])) ? this.task(key) : undefined
  }

  task (key: string): ModelTask {
    const task = this.#tasks.get(key) ?? { lastRun: 0, failures: 0, isDone: false, checkpoint: '', active: [] }
    this.#tasks.set(key, task)
    return task
  }

  assign (runs: readonly Assignment[]): void {
    for (const run of runs) {
      if (this.jobState !== 'open') return
      this.#startedOccurrences.add(Number(run.taskKey.split('.')[1]))
      const task = this.task(run.taskKey)
      if (task.isDone || run.run <= task.lastRun) continue
      task.lastRun = run.run
      task.active.push(run)
    }
  }

  remove (run: Assignment): void {
    const task = this.task(run.taskKey)
    task.active = task.active.filter(active => active !== run)
  }

  end (run: Assignment, reason: EndReason, checkpoint: string): void {
    this.remove(run)
    if (this.jobState !== 'open') return
    const [, occurrence, stepIndex] = run.taskKey.split('.').map(Number)
    const spec = STEPS[stepIndex!]!
    const stepKey = `j1.${occurrence}.${stepIndex}`
    const keys = spec.isGang ? [0, 1].map(index => `${stepKey}.${index}`) : [run.taskKey]
    if (checkpoint !== '') for (const key of keys) this.task(key).checkpoint = checkpoint
    if (spec.isLasting) return
    if (reason === 'done') for (const key of keys) this.task(key).isDone = true
    if (reason === 'failed') this.#fail(run, keys, stepKey, spec.isGang)
  }

  #fail (run: Assignment, keys: readonly string[], stepKey: string, isGang: boolean): void {
    const lastFailedRun = this.#lastFailedRuns.get(stepKey) ?? 0
    if (isGang && run.run <= lastFailedRun) return
    this.#lastFailedRuns.set(stepKey, run.run)
    for (const key of keys) this.task(key).failures++
    const task = this.task(run.taskKey)
    if (task.failures >= MAX_ATTEMPTS && !task.isDone) this.jobState = 'failed'
  }
}

const allKeys = [...Array(OCCURRENCES).keys()].flatMap(occurrence => STEPS.flatMap((spec, stepIndex) =>
  Array.from({ length: spec.taskCount }, (_unused, index) => taskKey({ jobId: 'j1', occurrence, step: stepIndex, index }))))

type Action =
  | { readonly kind: 'assign', readonly task: number, readonly worker: number }
  | { readonly kind: 'end', readonly run: number, readonly reason: EndReason, readonly checkpoint: string }
  | { readonly kind: 'release', readonly run: number }
  | { readonly kind: 'cancel' }
  | { readonly kind: 'restart' }

const ACTION: fc.Arbitrary<Action> = fc.oneof(
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('assign' as const), task: fc.nat(), worker: fc.nat({ max: 1 }) }) },
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('end' as const),
      run: fc.nat(),
      reason: fc.constantFrom<EndReason>('done', 'done', 'done', 'failed', 'stopped'),
      checkpoint: fc.constantFrom('', 'c1', 'c2')
    })
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('release' as const), run: fc.nat() }) },
  { weight: 1, arbitrary: fc.constant({ kind: 'restart' as const }) },
  { weight: 1, arbitrary: fc.constantFrom({ kind: 'restart' as const }, { kind: 'cancel' as const }) }
)

/** Applies the same actions to the state and to the model. */
class Comparison {
  state = new BatchState(OPTIONS)
  readonly model = new Model()
  readonly #runs: Assignment[] = []
  /** Freed runs with their latest end, which their workers may still report. */
  readonly freed: Assignment[] = []
  #sequence = 0

  constructor () {
    this.#apply({ kind: 'put_configuration', document: document(1, [queue({ maxAttempts: MAX_ATTEMPTS })]) })
    this.#apply({ kind: 'submit_job', spec: SPEC, queueAddress: `${HOST}/normal/`, organisation: '', acceptedWallMs: 0 })
  }

  perform (action: Action): void {
    switch (action.kind) {
      case 'assign': return this.#assign(allKeys[action.task % allKeys.length]!, action.worker)
      case 'end': return this.#end(action)
      case 'release': return this.#release(action.run)
      case 'cancel': return this.#cancel()
      case 'restart': this.state = BatchState.restore(JSON.parse(JSON.stringify(this.state.snapshot())), OPTIONS)
    }
  }

  #apply (command: BatchCommand): void {
    this.state.apply(command, 1)
  }

  #cancel (): void {
    this.#apply({ kind: 'cancel_job', jobId: 'j1' })
    if (this.model.jobState === 'open') this.model.jobState = 'cancelled'
  }

  #assign (key: string, worker: number): void {
    const [, occurrence, stepIndex] = key.split('.').map(Number)
    const keys = STEPS[stepIndex!]!.isGang ? [0, 1].map(index => `j1.${occurrence}.${stepIndex}.${index}`) : [key]
    if (this.model.jobState !== 'open') return
    if (keys.some(each => this.model.task(each).active.length > 0)) return
    const run = Math.max(...keys.map(each => this.model.task(each).lastRun)) + 1
    const runs = keys.map(each => ({ taskKey: each, run, ...WORKERS[worker]! }))
    this.#apply({ kind: 'assign', assignments: runs })
    this.model.assign(runs)
    this.#runs.push(...runs.filter(each => this.model.task(each.taskKey).active.includes(each)))
  }

  #take (index: number): Assignment | undefined {
    return this.#runs.length === 0 ? undefined : this.#runs.splice(index % this.#runs.length, 1)[0]
  }

  #end ({ run: index, reason, checkpoint }: Extract<Action, { kind: 'end' }>): void {
    const run = this.#take(index)
    if (run === undefined) return
    const { workerId, incarnation, taskKey: key } = run
    const end = { sequence: ++this.#sequence, taskKey: key, run: run.run, reason, checkpoint }
    this.#apply({ kind: 'record_ends', life: { workerId, incarnation }, ends: [end] })
    this.model.end(run, reason, checkpoint)
  }

  #release (index: number): void {
    const run = this.#take(index)
    if (run === undefined) return
    this.#apply({ kind: 'release', runs: [run] })
    this.model.remove(run)
    this.freed.push(run)
  }

  /** The differences between the state and the model; empty for none. */
  differences (): string[] {
    const isOpen = this.model.jobState === 'open'
    const tasks = allKeys.filter(key => {
      const actual = this.state.findTask(key)?.task
      const expected = this.model.find(key)
      if (actual === undefined || expected === undefined) return actual !== expected
      const isWaiting = isOpen && !expected.isDone
      return actual.isDone !== expected.isDone || actual.active.length !== expected.active.length ||
        (isWaiting && actual.lastRun !== expected.lastRun) ||
        (isWaiting && (actual.failures !== expected.failures || actual.checkpoint !== expected.checkpoint))
    })
    const overruled = this.freed.filter(run => {
      const [, occurrence, stepIndex] = run.taskKey.split('.').map(Number)
      const stepKey = `j1.${occurrence}.${stepIndex}`
      const keys = STEPS[stepIndex!]!.isGang ? [`${stepKey}.0`, `${stepKey}.1`] : [run.taskKey]
      const hasLaterRun = keys.some(key => this.model.task(key).lastRun > run.run)
      const expected = !STEPS[stepIndex!]!.isLasting && hasLaterRun
      const end = { sequence: 1, taskKey: run.taskKey, run: run.run, reason: 'done', checkpoint: '' } as const
      return this.state.isOverruled(run, end) !== expected
    })
    const jobState = this.state.job('j1')?.state === this.model.jobState ? [] : ['job state']
    return [...tasks, ...overruled.map(run => `overruled ${run.taskKey} ${run.run}`), ...jobState]
  }
}

// Guards against answers that differ because a record was dropped: TWICE, BUDGET and ORDER depend on them.
test('tasks without a record have the answers of a plain model, also after restarts', t => {
  fc.assert(fc.property(fc.array(ACTION, { maxLength: 120, size: 'max' }), actions => {
    const comparison = new Comparison()
    for (const action of actions) {
      comparison.perform(action)
      const differences = comparison.differences()
      if (differences.length > 0) throw new Error(differences.join(', '))
    }
  }), { numRuns: 300, seed: 47 })
  t.pass()
})

// Guards against a control process that does not start with a snapshot of an earlier version, or repeats its tasks.
test('a snapshot with a record of every task is restored', t => {
  const task = { lastRun: 0, failures: 0, isDone: false, checkpoint: '', failedOn: [], active: [] }
  const done: TaskRecord = { ...task, lastRun: 1, isDone: true }
  const rerun = { ...done, lastRun: 3 }
  const run = { run: 2, ...WORKERS[0]! }
  const active = { ...task, lastRun: 2, failures: 1, checkpoint: 'c1', failedOn: ['w9'], active: [run] }
  const spec = { ...SPEC, steps: [step({ taskCount: 3 })] }
  const occurrenceOf = (...tasks: TaskRecord[]) => ({ steps: [{ tasks, lastFailedRun: 0 }] })
  const job = restoreJobRecord({
    spec,
    queueAddress: `${HOST}/normal/`,
    service: 'billing',
    organisation: '',
    acceptedWallMs: 0,
    endedLogMs: 0,
    state: 'open',
    hasStarted: true,
    occurrences: [occurrenceOf(done, done, rerun), occurrenceOf(done, active, task), null]
  })
  const tasksOf = (occurrence: number) => [0, 1, 2].map(index => job.occurrences.at(occurrence)?.steps[0]?.task(index))
  t.deepEqual(tasksOf(0).map(each => [each?.isDone, each?.lastRun]), [[true, 1], [true, 1], [true, 3]])
  t.deepEqual(tasksOf(1), [done, active, task])
  t.is(job.occurrences.at(2), undefined)
  t.is(job.occurrences.firstUnstarted(0), 2)
  t.false(job.occurrences.isDone)
})
