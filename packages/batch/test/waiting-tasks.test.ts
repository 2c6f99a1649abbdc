/** Backlogs of far more tasks than can run. */
import { spawnSync } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import test from 'ava'
import { LeaderFixture, runningTasks } from './leader-fixture.js'
import { HOST, KEY, step } from './sample-data.js'
import type { WorkerReport } from '../src/index.js'

/** A small part of what a process on a control node has. */
const MAX_HEAP_MIB = 48
const PROGRAM = fileURLToPath(new URL('./backlog-process.ts', import.meta.url))

// Guards against control processes that end with an exhausted heap, one leader after the other, since a pass needed
// memory for each task that waits.
for (const kind of ['recurring', 'dependent', 'wide', 'large_schedule']) {
  test(`a leader with a backlog of over a million tasks lives on: ${kind}`, t => {
    const args = [`--max-old-space-size=${MAX_HEAP_MIB}`, '--import=tsx', '--conditions=source', PROGRAM, kind]
    const { status, signal, stderr } = spawnSync(process.execPath, args, { encoding: 'utf8' })
    t.deepEqual({ status, signal }, { status: 0, signal: null }, stderr.slice(0, 500))
  })
}

const LARGE_WORKER: Partial<WorkerReport> = {
  capacity: { cpuMillicores: 5_000_000, memoryMb: 5_000_000, acceleratorCount: 5_000 }
}

// Guards against one pass that places so much that the leader loses its lease, with a command too large for the log.
test('a pass places a limited number of tasks, and the next ones place the rest', t => {
  const fixture = new LeaderFixture()
  fixture.heartbeat('w1', LARGE_WORKER)
  fixture.submit('j1', [step({ taskCount: 4_500 })])
  for (let pass = 0; pass < 10; pass++) fixture.advance(25)
  const sizes = fixture.proposals.flatMap(({ command }) => command.kind === 'assign' ? [command.assignments.length] : [])
  t.true(Math.max(...sizes) <= 1_000, sizes.join(', '))
  t.is(sizes.reduce((sum, size) => sum + size, 0), 4_500)
})

// Guards against a pass that spends all its tries on the occurrences of one job, and begins with them again.
test('a job behind any number of due occurrences that do not fit is tried within a few passes', t => {
  const fixture = new LeaderFixture()
  for (const workerId of ['w1', 'w2']) fixture.heartbeat(workerId)
  const gang = step({ taskCount: 3, isGang: true, shape: { cpuMillicores: 1, memoryMb: 1, acceleratorCount: 8 } })
  const schedule = { firstDueMs: 0, intervalMs: 1_000, occurrences: 1_000 }
  const request = (jobId: string) => ({ host: HOST, path: `/normal/${jobId}`, apiKey: KEY })
  for (const jobId of ['gangs', 'others']) {
    fixture.execute({ kind: 'submit', request: request(jobId), spec: { payload: '', steps: [gang], schedule } })
  }
  fixture.submit('small', [step({ taskCount: 1, estimateMs: 60_000 })])
  for (let pass = 0; pass < 5; pass++) fixture.advance(25)
  t.is(fixture.state.activeRunsOf('small').length, 1)
})

test('a gang that is larger than the limit of a pass is placed as a whole', t => {
  const fixture = new LeaderFixture()
  fixture.heartbeat('w1', LARGE_WORKER)
  fixture.submit('j1', [step({ taskCount: 1_500, isGang: true })])
  const sizes = fixture.proposals.flatMap(({ command }) => command.kind === 'assign' ? [command.assignments.length] : [])
  t.deepEqual(sizes, [1_500])
})

/** Starts as many tasks as the leader allows, and ends those that run. */
class StoppingWorker {
  readonly fixture = new LeaderFixture(undefined, { maxLongPollMs: 60, gangAssemblyMs: 0, maxStartedTasks: 10 })
  /** Keys of all tasks that have started. */
  readonly started: string[] = []
  #running: ReturnType<typeof runningTasks> = []
  #ends: WorkerReport['ends'] = []
  #endCount = 0

  /** Reports the ends and the running tasks; returns the keys of the tasks that start. */
  report (): string[] {
    const orders = this.fixture.heartbeat('w1', { ...LARGE_WORKER, running: this.#running, ends: this.#ends })
    const starts = orders?.starts ?? []
    this.#running = [...this.#running, ...runningTasks(starts)]
    this.started.push(...starts.map(start => start.taskKey))
    return starts.map(start => start.taskKey)
  }

  endAll (reason: 'done' | 'stopped'): void {
    this.#end(this.#running.length, reason)
  }

  /** The first runs end. */
  endSome (count: number): void {
    this.#end(count, 'done')
  }

  #end (count: number, reason: 'done' | 'stopped'): void {
    this.#ends = this.#running.slice(0, count).map(({ taskKey, run }) =>
      ({ sequence: ++this.#endCount, taskKey, run, reason, checkpoint: '' }))
    this.#running = this.#running.slice(count)
  }
}

// Guards against a gang that waits for good at the limit of started tasks, since smaller steps take what becomes free.
test('a gang starts at the limit of started tasks before steps that come after it', t => {
  const worker = new StoppingWorker()
  worker.report()
  worker.fixture.submit('first', [step({ taskCount: 8 })])
  t.is(worker.report().length, 8)
  worker.fixture.submit('gang', [step({ taskCount: 9, isGang: true })])
  for (let index = 0; index < 20; index++) worker.fixture.submit(`later${index}`, [step({ taskCount: 1 })])
  worker.endSome(4)
  const starts = [...worker.report(), ...worker.report()]
  t.deepEqual(starts.filter(key => key.startsWith('later')), [])
  worker.endAll('done')
  worker.report()
  worker.report()
  t.is(worker.started.filter(key => key.startsWith('gang')).length, 9)
})

// Guards against records that grow with each task that starts and is stopped again: tasks without a record wait then,
// and those that have one go on.
test('no further task starts while the limit of started tasks is reached, and all tasks end', t => {
  const worker = new StoppingWorker()
  worker.report()
  worker.fixture.submit('j1', [step({ taskCount: 25 })])
  const first = worker.report()
  t.is(first.length, 10)
  worker.endAll('stopped')
  worker.report()
  t.deepEqual([...worker.report(), ...worker.report()].filter(key => !first.includes(key)), [])
  for (let round = 0; round < 12 && worker.fixture.state.job('j1')?.state === 'open'; round++) {
    worker.endAll('done')
    worker.report()
  }
  t.is(worker.fixture.state.job('j1')?.state, 'completed')
})
