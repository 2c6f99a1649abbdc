/** A fleet whose steps need tickets of an advice service that takes time; the clock advances in small steps. */
import { LeaderFixture } from './leader-fixture.js'
import { document, HOST, KEY, queue, report, step } from './sample-data.js'
import { AdviceService, type ValidityStart } from './advice-service.js'
import { stepKeyOf, type AdvicePolicy, type RunEnd, type StepSpec, type WorkerReport } from '../src/index.js'

const STEP_MS = 10
const HEARTBEAT_INTERVAL_MS = 200

interface FleetWorker {
  readonly workerId: string
  running: Array<{ readonly taskKey: string, readonly run: number, readonly endsAtMs: number }>
  ends: RunEnd[]
  endCount: number
  nextHeartbeatMs: number
  requestId: string | undefined
}

/** Options of {@link AdvisedFleet}. */
export interface AdvisedFleetOptions {
  readonly workerCount: number
  readonly policy: AdvicePolicy
  readonly validityStart?: ValidityStart
  readonly runMs?: number
}

/** Queues `/normal/` and `/urgent/` have the advice policy, `/plain/` has none. */
export class AdvisedFleet {
  readonly fixture: LeaderFixture
  readonly service: AdviceService
  /** Keys of the tasks that have started, in their order. */
  readonly started: string[] = []
  readonly endedMs = new Map<string, number>()
  /** Starts that a worker refused for want of a valid ticket. */
  refusedStarts = 0
  /** Whether the answers of calls are lost, with the connection reset at once. */
  isResetting = false
  readonly #workers: readonly FleetWorker[]
  readonly #runMs: number
  /** Time at which each open call is given up. */
  readonly #openCalls = new Map<object, { readonly giveUpAtMs: number, readonly giveUp: () => void }>()

  constructor ({ workerCount, policy, validityStart, runMs = 1_000 }: AdvisedFleetOptions) {
    const advice = policy
    this.fixture = new LeaderFixture(document(1, [
      queue({ advice }),
      queue({ name: 'urgent', pathPrefix: '/urgent/', priority: 0, advice }),
      queue({ name: 'plain', pathPrefix: '/plain/' })
    ]))
    this.service = new AdviceService(this.fixture.clock, policy, validityStart)
    this.#runMs = runMs
    this.#workers = Array.from({ length: workerCount }, (_unused, index) => ({
      workerId: `w${index}`, running: [], ends: [], endCount: 0, nextHeartbeatMs: 0, requestId: undefined
    }))
    this.passTime(3_000)
  }

  get nowMs (): number {
    return this.fixture.clock.monotonicMs()
  }

  submit (jobId: string, fields: Partial<StepSpec> = {}, queueName = 'normal'): void {
    const request = { host: HOST, path: `/${queueName}/${jobId}`, apiKey: KEY }
    const steps = [step({ taskCount: 2, estimateMs: this.#runMs, ...fields })]
    this.fixture.execute({ kind: 'submit', request, spec: { payload: '', steps } })
  }

  isCompleted (jobId: string): boolean {
    return this.fixture.state.job(jobId)?.state === 'completed'
  }

  hasStarted (jobId: string): boolean {
    return this.started.some(taskKey => taskKey.startsWith(`${jobId}.`))
  }

  passTime (elapsedMs: number): void {
    for (const untilMs = this.nowMs + elapsedMs; this.nowMs < untilMs;) this.#advance()
  }

  /** Returns the time that passed until the condition held; at most the limit. */
  passTimeUntil (condition: () => boolean, limitMs: number): number {
    const startedMs = this.nowMs
    while (!condition() && this.nowMs - startedMs < limitMs) this.#advance()
    return this.nowMs - startedMs
  }

  /** The next term begins, without the calls and tickets of the one before. */
  changeLeader (): void {
    this.#openCalls.clear()
    this.fixture.changeLeader()
  }

  #advance (): void {
    this.fixture.advance(STEP_MS)
    this.#sendCalls()
    this.service.advance()
    for (const call of [...this.#openCalls.values()]) if (this.nowMs >= call.giveUpAtMs) call.giveUp()
    for (const worker of this.#workers) this.#advanceWorker(worker)
  }

  #sendCalls (): void {
    for (const { stepKey, workerIds, timeoutMs = 5_000 } of this.fixture.adviceRequests.splice(0)) {
      const requestedAtMs = this.nowMs
      const handle = {}
      const answer = (tickets: Parameters<Parameters<AdviceService['receive']>[0]['answer']>[0]): void => {
        if (!this.#openCalls.delete(handle)) return
        this.fixture.deliver({ kind: 'advice', stepKey, tickets, requestedAtMs })
      }
      this.#openCalls.set(handle, { giveUpAtMs: requestedAtMs + timeoutMs, giveUp: () => { answer(undefined) } })
      this.service.receive({ stepKey, workerIds, answer })
      if (this.isResetting) answer(undefined)
    }
  }

  #advanceWorker (worker: FleetWorker): void {
    this.#endRuns(worker)
    this.#takeOrders(worker)
    if (worker.requestId !== undefined || this.nowMs < worker.nextHeartbeatMs) return
    const running = worker.running.map(({ taskKey, run }) => ({ taskKey, run, checkpoint: '', percent: 50, usage: 0 }))
    const fields: Partial<WorkerReport> = { running, ends: worker.ends }
    const times = { clockMs: this.nowMs, sequence: Math.round(this.nowMs) }
    worker.requestId = this.fixture.sendReport(report(worker.workerId, { ...times, ...fields }))
  }

  #endRuns (worker: FleetWorker): void {
    for (const { taskKey, run, endsAtMs } of worker.running) {
      if (this.nowMs >= endsAtMs) this.#end(worker, taskKey, run, 'done')
    }
  }

  #end (worker: FleetWorker, taskKey: string, run: number, reason: RunEnd['reason']): void {
    worker.running = worker.running.filter(task => task.taskKey !== taskKey)
    worker.ends = [...worker.ends, { sequence: ++worker.endCount, taskKey, run, reason, checkpoint: '' }]
    worker.nextHeartbeatMs = Math.min(worker.nextHeartbeatMs, this.nowMs + 50)
    if (reason === 'done') this.endedMs.set(taskKey, this.nowMs)
  }

  #takeOrders (worker: FleetWorker): void {
    const orders = worker.requestId === undefined ? undefined : this.fixture.answerTo(worker.requestId)
    if (orders === undefined) return
    worker.requestId = undefined
    worker.nextHeartbeatMs = this.nowMs + HEARTBEAT_INTERVAL_MS
    worker.ends = worker.ends.filter(({ sequence }) => sequence > (orders.recordedEndSequence ?? 0))
    for (const { taskKey, run, ticket } of orders.starts) {
      if (worker.running.some(task => task.taskKey === taskKey && task.run === run)) continue
      if (taskKey.startsWith('plain') || this.service.isValid(ticket, stepKeyOf(taskKey), worker.workerId)) {
        this.started.push(taskKey)
        worker.running.push({ taskKey, run, endsAtMs: this.nowMs + this.#runMs })
      } else {
        this.refusedStarts++
        this.#end(worker, taskKey, run, 'refused')
      }
    }
  }
}
