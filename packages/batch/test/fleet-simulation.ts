/** Workers that obey their orders, lose their runs when the maintenance of their VM begins, and come back. */
import { LeaderFixture } from './leader-fixture.js'
import { report } from './sample-data.js'
import type { RunEnd, WorkerOrders } from '../src/index.js'

const TICK_MS = 50
const HEARTBEAT_MS = 200
/** A heartbeat without an answer for this long, as after a change of leader, is followed by the next one. */
const ANSWER_TIMEOUT_MS = 1_000
/** Time from the start of a task until it is available. */
const STARTUP_MS = 300
/** Time for which a VM is down for its maintenance. */
const MAINTENANCE_MS = 2_000

interface SimulatedRun {
  readonly run: number
  readonly startedMs: number
}

interface SimulatedWorker {
  readonly workerId: string
  incarnation: number
  sequence: number
  upAtMs: number
  nextHeartbeatMs: number
  pendingRequestId: string | undefined
  runs: Map<string, SimulatedRun>
  ends: RunEnd[]
  endCount: number
}

/** Called whenever an order or a maintenance has made available tasks unavailable. */
export type DisruptionListener = (taskKeys: readonly string[]) => void

/** Drives a fixture and its workers in steps of time. */
export class FleetSimulation {
  readonly fixture = new LeaderFixture(undefined, {})
  readonly #workers: SimulatedWorker[]
  readonly #onDisruption: DisruptionListener

  constructor (workerCount: number, onDisruption: DisruptionListener) {
    this.#onDisruption = onDisruption
    this.#workers = Array.from({ length: workerCount }, (_, index) => ({
      workerId: `w${index}`,
      incarnation: 1_000,
      sequence: 0,
      upAtMs: -Infinity,
      nextHeartbeatMs: -Infinity,
      pendingRequestId: undefined,
      runs: new Map(),
      ends: [],
      endCount: 0
    }))
  }

  get vmIds (): string[] {
    return this.#workers.map(({ workerId }) => `vm-${workerId}`)
  }

  /** Keys of the tasks that are available on some worker. */
  availableTasks (): Set<string> {
    return new Set(this.#workers.flatMap(worker => this.#availableOn(worker)))
  }

  /** Passes time. */
  run (durationMs: number): void {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += TICK_MS) {
      this.fixture.advance(TICK_MS)
      for (const worker of this.#workers) this.#step(worker)
      for (const call of this.fixture.maintenanceCalls.splice(0)) {
        this.#beginMaintenance(call.vmId)
        this.fixture.deliver({ kind: 'maintenance_answered', call, answer: 'begun' })
      }
    }
  }

  get #nowMs (): number {
    return this.fixture.clock.monotonicMs()
  }

  #availableOn ({ runs }: SimulatedWorker): string[] {
    return [...runs].filter(([, run]) => this.#nowMs - run.startedMs >= STARTUP_MS).map(([taskKey]) => taskKey)
  }

  #step (worker: SimulatedWorker): void {
    if (this.#nowMs < worker.upAtMs) return
    const { pendingRequestId } = worker
    const orders = pendingRequestId === undefined ? undefined : this.fixture.answerTo(pendingRequestId)
    if (orders !== undefined) this.#obey(worker, orders)
    if (this.#nowMs >= worker.nextHeartbeatMs) this.#sendHeartbeat(worker)
  }

  #sendHeartbeat (worker: SimulatedWorker): void {
    const { workerId, incarnation, runs, ends } = worker
    const available = new Set(this.#availableOn(worker))
    const running = [...runs].map(([taskKey, { run }]) =>
      ({ taskKey, run, checkpoint: '', percent: available.has(taskKey) ? 100 : 0, usage: 0 }))
    const sequence = ++worker.sequence
    worker.nextHeartbeatMs = this.#nowMs + ANSWER_TIMEOUT_MS
    worker.pendingRequestId =
      this.fixture.sendReport(report(workerId, { incarnation, sequence, clockMs: this.#nowMs, running, ends }))
  }

  #obey (worker: SimulatedWorker, orders: WorkerOrders): void {
    worker.pendingRequestId = undefined
    worker.nextHeartbeatMs = this.#nowMs + Math.min(HEARTBEAT_MS, orders.nextReportMs)
    worker.ends = worker.ends.filter(end => end.sequence > orders.recordedEndSequence)
    const available = new Set(this.#availableOn(worker))
    for (const { taskKey, run } of orders.stops) {
      if (worker.runs.get(taskKey)?.run !== run) continue
      worker.runs.delete(taskKey)
      worker.ends.push({ sequence: ++worker.endCount, taskKey, run, reason: 'stopped', checkpoint: '' })
      if (available.has(taskKey)) this.#onDisruption([taskKey])
    }
    for (const { taskKey, run } of orders.starts) worker.runs.set(taskKey, { run, startedMs: this.#nowMs })
  }

  /** A new incarnation comes back, which knows nothing of the earlier one. */
  #beginMaintenance (vmId: string): void {
    const worker = this.#workers.find(({ workerId }) => `vm-${workerId}` === vmId)
    if (worker === undefined) return
    const disrupted = this.#availableOn(worker)
    Object.assign(worker, {
      incarnation: worker.incarnation + 1,
      sequence: 0,
      upAtMs: this.#nowMs + MAINTENANCE_MS,
      nextHeartbeatMs: -Infinity,
      pendingRequestId: undefined,
      runs: new Map(),
      ends: [],
      endCount: 0
    })
    if (disrupted.length > 0) this.#onDisruption(disrupted)
  }
}
