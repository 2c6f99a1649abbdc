/** Replays a load without a network: a leader, and workers whose runs end by themselves. */
import {
  jobIdOf, type BatchPolicies, type BatchResult, type PolicyContext, type QueueDocument, type RunEnd, type StepSpec
} from '../src/index.js'
import { LeaderFixture, runningTasks } from './leader-fixture.js'
import { HOST, step } from './sample-data.js'

interface SimulatedWorker {
  readonly workerId: string
  running: ReturnType<typeof runningTasks>
  ends: RunEnd[]
  endCount: number
}

/** Workers that carry out their orders, and whose runs end after the time that the load gives for their jobs. */
export class ReplayedFleet {
  readonly fixture: LeaderFixture
  readonly startedMs = new Map<string, number>()
  readonly endedMs = new Map<string, number>()
  readonly #runMsOf: (jobId: string) => number
  readonly #workers: SimulatedWorker[]

  constructor (
    workerCount: number,
    runMsOf: (jobId: string) => number,
    createPolicies: (context: PolicyContext) => BatchPolicies,
    configuration: QueueDocument
  ) {
    this.fixture = new LeaderFixture(configuration, undefined, undefined, createPolicies)
    this.#runMsOf = runMsOf
    this.#workers = Array.from({ length: workerCount }, (_, index) =>
      ({ workerId: `w${index}`, running: [], ends: [], endCount: 0 }))
    this.round()
    this.fixture.advance(2_000)
    this.round()
  }

  get nowMs (): number {
    return this.fixture.clock.monotonicMs()
  }

  submit (
    jobId: string, organisation: string, fields: Partial<StepSpec>, queuePath = '/normal/'
  ): BatchResult | undefined {
    const request = { host: HOST, path: `${queuePath}${jobId}`, apiKey: organisation }
    return this.fixture.execute({ kind: 'submit', request, spec: { payload: '', steps: [step(fields)] } })
  }

  /** One heartbeat of each worker; returns the tasks that are to be stopped. */
  round (): string[] {
    return this.#workers.flatMap(worker => {
      for (const { taskKey, run } of worker.running.filter(task => this.#hasEnded(task.taskKey))) {
        this.endedMs.set(taskKey, this.nowMs)
        worker.ends.push({ sequence: ++worker.endCount, taskKey, run, reason: 'done', checkpoint: '' })
      }
      worker.running = worker.running.filter(task => !this.#hasEnded(task.taskKey))
        .map(task => ({ ...task, percent: task.percent + 0.1 }))
      const orders = this.fixture.heartbeat(worker.workerId, { running: worker.running, ends: worker.ends })
      if (orders === undefined) return []
      worker.ends = worker.ends.filter(end => end.sequence > orders.recordedEndSequence)
      for (const { taskKey } of orders.starts) this.startedMs.set(taskKey, this.nowMs)
      worker.running = [...worker.running, ...runningTasks(orders.starts, 1)]
      return orders.stops.map(({ taskKey }) => taskKey)
    })
  }

  #hasEnded (taskKey: string): boolean {
    return this.nowMs - (this.startedMs.get(taskKey) ?? Infinity) >= this.#runMsOf(jobIdOf(taskKey))
  }
}
