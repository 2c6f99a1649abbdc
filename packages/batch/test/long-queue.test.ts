/** Scheduling passes with many steps that do not fit, before others that do. */
import test from 'ava'
import { LeaderFixture, runningTasks } from './leader-fixture.js'
import { document, HOST, KEY, queue, step } from './sample-data.js'
import type { StepSpec, WorkerReport } from '../src/index.js'

const WHOLE_WORKER = { cpuMillicores: 1_000, memoryMb: 1_000, acceleratorCount: 8 }
const ORDINARY: Partial<StepSpec> = { taskCount: 1, estimateMs: 1_000 }

/** Workers that report whenever `report` is called, with their runs. */
class Fleet {
  readonly fixture = new LeaderFixture(document(1, [queue(), queue({ name: 'later', pathPrefix: '/later/', priority: 2 })]))
  readonly #workers: ReadonlyMap<string, Partial<WorkerReport>>
  readonly #running = new Map<string, ReturnType<typeof runningTasks>>()

  constructor (workers: Readonly<Record<string, Partial<WorkerReport>>>) {
    this.#workers = new Map(Object.entries(workers))
    this.report()
  }

  report (): void {
    for (const [workerId, fields] of this.#workers) {
      const running = (this.#running.get(workerId) ?? []).map(task => ({ ...task, percent: task.percent + 0.1 }))
      const starts = this.fixture.heartbeat(workerId, { ...fields, running })?.starts ?? []
      this.#running.set(workerId, [...running, ...runningTasks(starts, 1)])
    }
  }

  /** Submits a job of one step without passing time; those of the queue `later` come after all others. */
  submit (jobId: string, fields: Partial<StepSpec>, queueName: 'normal' | 'later' = 'normal'): void {
    const request = { host: HOST, path: `/${queueName}/${jobId}`, apiKey: KEY }
    this.fixture.execute({ kind: 'submit', request, spec: { payload: '', steps: [step({ taskCount: 1, ...fields })] } })
  }

  tasksOn (workerId: string): string[] {
    return [...this.fixture.state.runsOf(workerId)].map(run => run.taskKey).sort()
  }
}

/** A worker of kind b, all of which a task takes, and an idle one of kind a. */
function createFleetOfTwoKinds (): Fleet {
  const fleet = new Fleet({ busy: { labels: ['b', 'r1'] }, idle: { labels: ['a', 'r1'] } })
  fleet.submit('first', { shape: WHOLE_WORKER, requiredLabel: 'b', estimateMs: 60_000 })
  fleet.report()
  return fleet
}

// Guards against a pass that ends after 64 steps which wait for one kind of worker: others waited beside idle workers.
test('steps that wait for one kind of worker do not keep the workers of another kind idle', t => {
  const fleet = createFleetOfTwoKinds()
  for (let index = 0; index < 80; index++) {
    fleet.submit(`b${index}`, { shape: WHOLE_WORKER, requiredLabel: 'b', estimateMs: 60_000 })
  }
  fleet.submit('ordinary', ORDINARY, 'later')
  fleet.report()
  t.deepEqual(fleet.tasksOn('idle'), ['ordinary.0.0.0'])
})

// Guards against the same with steps that have nothing in common, so that each of them has to be tried.
test('a step behind any number of steps that do not fit is tried within a few passes', t => {
  const fleet = createFleetOfTwoKinds()
  for (let index = 0; index < 400; index++) {
    const shape = { ...WHOLE_WORKER, memoryMb: 1_000 + index }
    fleet.submit(`gang${index}`, { isGang: true, taskCount: 2, shape, requiredLabel: 'b', estimateMs: 60_000 })
  }
  fleet.submit('ordinary', ORDINARY, 'later')
  for (let round = 0; round < 4; round++) fleet.report()
  t.deepEqual(fleet.tasksOn('idle'), ['ordinary.0.0.0'])
})

test('a smaller step behind larger ones that do not fit uses what they leave', t => {
  const fleet = new Fleet({ w1: {} })
  const large = { cpuMillicores: 1_000, memoryMb: 1_000, acceleratorCount: 6 }
  for (let index = 0; index < 80; index++) fleet.submit(`large${index}`, { shape: large, estimateMs: 60_000 })
  fleet.submit('small', { ...ORDINARY, shape: { ...large, acceleratorCount: 2 } }, 'later')
  fleet.report()
  fleet.report()
  t.deepEqual(fleet.tasksOn('w1').slice(1), ['small.0.0.0'])
})

test('a short step behind long ones that do not fit uses capacity that is reserved for later', t => {
  const fleet = new Fleet({ w1: {} })
  const half = { cpuMillicores: 1_000, memoryMb: 1_000, acceleratorCount: 4 }
  fleet.submit('running', { shape: half, estimateMs: 60_000 })
  fleet.report()
  fleet.submit('whole', { shape: WHOLE_WORKER, estimateMs: 60_000 })
  for (let index = 0; index < 80; index++) fleet.submit(`long${index}`, { shape: half, estimateMs: 90_000 })
  fleet.submit('short', { ...ORDINARY, shape: half }, 'later')
  fleet.report()
  t.deepEqual(fleet.tasksOn('w1'), ['running.0.0.0', 'short.0.0.0'])
})
