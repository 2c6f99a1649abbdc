/** Requests to the advice service, whose tickets permit workers to run the steps of some queues. */
import test from 'ava'
import { LeaderFixture } from './leader-fixture.js'
import { document, queue, report, step } from './sample-data.js'

const TICKET_VALID_MS = 20_000
const MAX_WORKERS_PER_REQUEST = 100
const WHOLE_WORKER = { cpuMillicores: 64_000, memoryMb: 1_000, acceleratorCount: 0 }

/** A fleet whose advice service permits some workers, whatever the step. */
class AdvisedFleet {
  readonly fixture: LeaderFixture
  readonly workerIds: readonly string[]
  readonly permitted: Set<string>
  /** Workers that each request so far named. */
  readonly asked: Array<readonly string[]> = []
  readonly #incarnations = new Map<string, number>()

  constructor (workerCount: number, permitted: readonly string[]) {
    const advice = { decideMs: 10, perWorkerMs: 1, ticketValidMs: TICKET_VALID_MS }
    this.fixture = new LeaderFixture(document(1, [queue({ advice })]))
    this.workerIds = Array.from({ length: workerCount }, (_, index) => `w${index}`)
    this.permitted = new Set(permitted)
    this.reportAll()
  }

  restart (workerId: string): void {
    this.#incarnations.set(workerId, (this.#incarnations.get(workerId) ?? 1_000) + 1)
    this.report(workerId)
  }

  report (workerId: string): string {
    const now = this.fixture.clock.monotonicMs()
    const incarnation = this.#incarnations.get(workerId) ?? 1_000
    return this.fixture.sendReport(report(workerId, { clockMs: now, sequence: Math.round(now), incarnation }))
  }

  reportAll (): void {
    for (const workerId of this.workerIds) this.report(workerId)
  }

  /** Answers the requests that are open, and passes the time until the next pass. */
  answerRequests (): void {
    for (const request of this.fixture.adviceRequests.splice(0)) {
      this.asked.push(request.workerIds)
      const granted = request.workerIds.filter(workerId => this.permitted.has(workerId))
      this.fixture.deliver({
        kind: 'advice',
        stepKey: request.stepKey,
        tickets: granted.map(workerId => ({ workerId, ticket: `ticket of ${workerId}` })),
        requestedAtMs: this.fixture.clock.monotonicMs()
      })
    }
    this.fixture.advance(30)
  }

  /** Answers requests for a second, while all workers report, and returns the workers with assigned runs. */
  settle (): string[] {
    for (let round = 0; round < 10; round++) {
      this.reportAll()
      this.fixture.advance(100)
      this.answerRequests()
    }
    return this.workerIds.filter(workerId => this.fixture.state.hasRuns(workerId))
  }
}

// Guards against a step that waits for good: only the first 100 workers were asked for, again and again.
test('a step starts on the only permitted worker of a fleet that needs several requests', t => {
  const fleet = new AdvisedFleet(250, ['w249'])
  fleet.fixture.submit('j1', [step({ taskCount: 1 })])
  t.deepEqual(fleet.settle(), ['w249'])
  t.true(fleet.asked.every(workerIds => workerIds.length <= MAX_WORKERS_PER_REQUEST))
})

// Guards against a permitted worker that starts again, and so comes after the 100 workers that were asked for.
test('a step starts on a permitted worker that has started again', t => {
  const fleet = new AdvisedFleet(120, ['w0'])
  fleet.fixture.submit('j1', [step({ taskCount: 1 })])
  t.deepEqual(fleet.settle(), ['w0'])
  fleet.restart('w0')
  fleet.fixture.submit('j2', [step({ taskCount: 1 })])
  fleet.settle()
  t.deepEqual([...fleet.fixture.state.runsOf('w0')].map(run => run.taskKey).sort(), ['j1.0.0.0', 'j2.0.0.0'])
})

// Guards against a step that waits for the permitted workers of the first answer while others are idle.
test('further workers are asked for while those with a ticket are full', t => {
  const fleet = new AdvisedFleet(120, ['w0', 'w110'])
  fleet.fixture.submit('j1', [step({ taskCount: 2, shape: WHOLE_WORKER, estimateMs: 60_000 })])
  t.deepEqual(fleet.settle(), ['w0', 'w110'])
})

// Guards against orders that a worker refuses, since its ticket was granted to an earlier incarnation.
test('a ticket of an earlier incarnation is not used, and the new one is asked for', t => {
  const fleet = new AdvisedFleet(1, ['w0'])
  fleet.fixture.submit('j1', [step({ taskCount: 1 })])
  fleet.fixture.advance(100)
  fleet.restart('w0')
  fleet.answerRequests()
  t.false(fleet.fixture.state.hasRuns('w0'))
  t.deepEqual(fleet.settle(), ['w0'])
  t.is(fleet.asked.length, 2)
})

test('workers that were denied are not asked for again while others are permitted', t => {
  const fleet = new AdvisedFleet(3, ['w1'])
  fleet.fixture.submit('j1', [step({ taskCount: 2, shape: WHOLE_WORKER, estimateMs: 60_000 })])
  for (let elapsedMs = 0; elapsedMs < TICKET_VALID_MS; elapsedMs += 1_000) fleet.settle()
  t.deepEqual(fleet.asked.map(workerIds => [...workerIds].sort()), [['w0', 'w1', 'w2'], ['w1']])
})

// Guards against a backlog at the service, which answers one request after the other: urgent steps came last in it.
test('one request is open at a time, and the steps ask in their order', t => {
  const fleet = new AdvisedFleet(2, ['w0', 'w1'])
  for (let index = 0; index < 20; index++) fleet.fixture.submit(`j${index}`, [step({ taskCount: 1 })])
  const asked: string[][] = []
  for (let round = 0; round < 4; round++) {
    fleet.fixture.advance(100)
    asked.push(fleet.fixture.adviceRequests.map(({ stepKey }) => stepKey))
    fleet.answerRequests()
  }
  t.deepEqual(asked, [['j0.0.0'], ['j1.0.0'], ['j2.0.0'], ['j3.0.0']])
  t.is(fleet.settle().length, 2)
})

test('a failed request is repeated', t => {
  const fleet = new AdvisedFleet(1, ['w0'])
  fleet.fixture.submit('j1', [step({ taskCount: 1 })])
  fleet.fixture.advance(100)
  const [request] = fleet.fixture.adviceRequests.splice(0)
  t.deepEqual(request?.workerIds, ['w0'])
  fleet.fixture.deliver({ kind: 'advice', stepKey: 'j1.0.0', tickets: undefined, requestedAtMs: 0 })
  fleet.fixture.advance(100)
  t.deepEqual(fleet.fixture.adviceRequests, [])
  t.deepEqual(fleet.settle(), ['w0'])
})

// Guards against calls that are given up at once, under a policy that an earlier version accepted.
test('a call is given time for its answer also where the durations of the policy are negative', t => {
  const advice = { decideMs: -5_000, perWorkerMs: -10, ticketValidMs: TICKET_VALID_MS }
  const fixture = new LeaderFixture(document(1, [queue({ advice })]))
  fixture.heartbeat('w0')
  fixture.submit('j1', [step()])
  fixture.heartbeat('w0')
  const [request] = fixture.adviceRequests
  t.true((request?.timeoutMs ?? 0) > 1_000, `given up after ${request?.timeoutMs} ms`)
})

// Guards against a step whose calls cannot be made and that keeps those of other steps waiting for seconds.
test('after calls that could not be made the next one follows soon, without the pauses for a failing service', t => {
  const advice = { decideMs: 10, perWorkerMs: 1, ticketValidMs: TICKET_VALID_MS }
  const fixture = new LeaderFixture(document(1, [queue({ advice })]))
  fixture.heartbeat('w0')
  fixture.submit('j1', [step()])
  for (let count = 0; count < 6; count++) {
    for (let round = 0; round < 12 && fixture.adviceRequests.length === 0; round++) fixture.heartbeat('w0')
    const requests = fixture.adviceRequests.splice(0)
    t.is(requests.length, 1, `no call ${count} within a second`)
    const requestedAtMs = fixture.clock.monotonicMs()
    fixture.deliver({ kind: 'advice', stepKey: 'j1.0.0', tickets: undefined, requestedAtMs, failedBy: 'program' })
  }
})
