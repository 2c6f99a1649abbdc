/** Paces of fillers, on one worker with a lasting task whose target latency is 100 ms. */
import test from 'ava'
import { step } from './sample-data.js'
import { LeaderFixture, runningTasks } from './leader-fixture.js'
import type { WorkerOrders } from '../src/index.js'

const FILLER_MILLICORES = 1_000

/** A worker with a lasting task and a filler, which obeys the paces that the answers to its heartbeats order. */
class PacedWorker {
  readonly fixture = new LeaderFixture()
  readonly #running: ReturnType<typeof runningTasks>
  #pacePercent = 100

  constructor () {
    this.fixture.heartbeat('w1')
    this.fixture.submit('web', [step({ taskCount: 1, isLasting: true, targetLatencyMs: 100 })])
    this.fixture.submit('fill', [step({ taskCount: 1, isFiller: true, estimateMs: 20_000 })])
    this.#running = runningTasks(this.fixture.heartbeat('w1')?.starts ?? [])
  }

  /** Sends a heartbeat, and returns the tasks that its answer starts. */
  startsAt (latencyMs: number): string[] {
    return this.#heartbeat(latencyMs)?.starts.map(start => start.taskKey) ?? []
  }

  #heartbeat (latencyMs: number): WorkerOrders | undefined {
    this.fixture.advance(200)
    const fillerMillicores = FILLER_MILLICORES * this.#pacePercent / 100
    const running = this.#running.map(task => task.taskKey.startsWith('web')
      ? { ...task, percent: 100, usage: latencyMs }
      : { ...task, usage: fillerMillicores })
    return this.fixture.heartbeat('w1', { running })
  }

  get runCount (): number {
    return this.#running.length
  }

  /**
   * Sends a heartbeat with this latency of the lasting task, and returns the pace of the filler after its answer;
   * `isLost` where the answer does not reach the worker.
   */
  paceAt (latencyMs: number, { isLost = false } = {}): number {
    const orders = this.#heartbeat(latencyMs)
    if (!isLost) this.#pacePercent = orders?.paces[0]?.percent ?? this.#pacePercent
    return this.#pacePercent
  }
}

test('fillers slow down while a lasting task is above 85 % of its target latency, and speed up below 60 %', t => {
  const worker = new PacedWorker()
  t.is(worker.runCount, 2)
  t.is(worker.paceAt(150), 50)
  t.is(worker.paceAt(150), 25)
  t.is(worker.paceAt(70), 25)
  t.is(worker.paceAt(20), 30)
})

// Guards against the loss of the ordered paces with their leader: the next one took them for full and ordered nothing.
test('fillers that a former leader paused speed up again under the next one', t => {
  const worker = new PacedWorker()
  for (let round = 0; round < 6; round++) worker.paceAt(150)
  t.is(worker.paceAt(150), 0)
  worker.fixture.changeLeader()
  t.is(worker.paceAt(20), 5)
  t.is(worker.paceAt(20), 10)
  for (let round = 0; round < 17; round++) worker.paceAt(20)
  t.is(worker.paceAt(20), 100)
})

// Guards against a burst after a change of leader: it slowed fillers down from full pace, whatever theirs was.
test('a new leader slows fillers down from the pace that they have', t => {
  const worker = new PacedWorker()
  t.is(worker.paceAt(150), 50)
  t.is(worker.paceAt(150), 25)
  worker.fixture.changeLeader()
  t.is(worker.paceAt(150), 12)
})

test('fillers keep their full pace over a change of leader while the lasting task is below its target', t => {
  const worker = new PacedWorker()
  t.is(worker.paceAt(20), 100)
  worker.fixture.changeLeader()
  t.is(worker.paceAt(20), 100)
})

// Guards against a pace order that is lost with its answer: it counted as obeyed and was never sent again.
test('a pace order that did not reach its worker is repeated', t => {
  const worker = new PacedWorker()
  t.is(worker.paceAt(150, { isLost: true }), 100)
  for (let round = 0; round < 4; round++) worker.paceAt(70)
  t.is(worker.paceAt(70), 50)
})

// Guards against a paused filler that counts as stalled and keeps all other work off its worker.
test('a worker whose filler is paused gets other work', t => {
  const worker = new PacedWorker()
  for (let round = 0; round < 20; round++) worker.paceAt(150)
  t.is(worker.paceAt(150), 0)
  worker.fixture.submit('job', [step({ taskCount: 1 })])
  t.deepEqual(worker.startsAt(150), ['job.0.0.0'])
})
