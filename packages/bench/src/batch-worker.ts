/** A simulated worker of the batch scheduler: heartbeats, starts, stops and ends. Time is passed in. */
import type { EndReason, RunEnd, RunningTask, WorkerOrders, WorkerReport } from '@comfreygrade/batch'

/** A run on the worker. */
export interface SimulatedRun {
  readonly taskKey: string
  readonly run: number
  readonly startedMs: number
  /** Work done before this run, from its checkpoint. */
  readonly resumedMs: number
  /** Undefined while a gang waits for its members. */
  worksFromMs?: number
  endsAtMs: number
  workMs: number
}

/** What the worker asks of the simulation. */
export abstract class RunModel {
  /** A run has been placed on the worker. */
  abstract started (worker: SimulatedWorker, run: SimulatedRun): void
  /** A run has ended. */
  abstract ended (worker: SimulatedWorker, run: SimulatedRun, reason: EndReason, atMs: number): void
}

/** Pause after an answer without orders. */
const HEARTBEAT_MS = 200
const AFTER_END_MS = 50
const STOP_MS = 200
/** Progress is saved at this interval. */
const SAVE_MS = 500

/** One life of a worker with 64 cores, 256 GB and 8 accelerators. */
export class SimulatedWorker {
  readonly workerId: string
  readonly rack: string
  readonly speed: number
  readonly runs = new Map<string, SimulatedRun>()
  readonly #model: RunModel
  readonly #stopping = new Map<string, number>()
  #ends: RunEnd[] = []
  #endSequence = 0
  #sequence = 0
  #nextHeartbeatMs: number
  #isWaiting = false

  constructor (workerId: string, rack: string, speed: number, firstHeartbeatMs: number, model: RunModel) {
    this.workerId = workerId
    this.rack = rack
    this.speed = speed
    this.#nextHeartbeatMs = firstHeartbeatMs
    this.#model = model
  }

  /** Ends what is due. */
  advance (nowMs: number): void {
    for (const run of [...this.runs.values()]) {
      const stopAtMs = this.#stopping.get(run.taskKey) ?? Infinity
      if (stopAtMs <= nowMs) this.end(run, 'stopped', nowMs)
      else if (run.endsAtMs <= nowMs) this.end(run, 'done', nowMs)
    }
  }

  /** Ends a run and lists its end in the next heartbeat. */
  end (run: SimulatedRun, reason: EndReason, nowMs: number): void {
    if (!this.runs.delete(run.taskKey)) return
    this.#stopping.delete(run.taskKey)
    const checkpoint = reason === 'done' ? '' : checkpointOf(run, nowMs)
    this.#ends.push({ sequence: ++this.#endSequence, taskKey: run.taskKey, run: run.run, reason, checkpoint })
    this.#nextHeartbeatMs = Math.min(this.#nextHeartbeatMs, nowMs + AFTER_END_MS)
    this.#model.ended(this, run, reason, nowMs)
  }

  /** The heartbeat that is due, if any. */
  heartbeat (nowMs: number): WorkerReport | undefined {
    if (this.#isWaiting || nowMs < this.#nextHeartbeatMs) return undefined
    this.#isWaiting = true
    return {
      workerId: this.workerId,
      incarnation: 1,
      service: 'simulated',
      address: `${this.workerId}:80`,
      vmId: this.workerId,
      availabilityZone: 'a',
      sequence: ++this.#sequence,
      state: 'active',
      capacity: { cpuMillicores: 64_000, memoryMb: 262_144, acceleratorCount: 8 },
      labels: ['a', this.rack],
      rack: this.rack,
      clockMs: nowMs,
      coldRemainingMs: 0,
      running: [...this.runs.values()].map(run => listed(run, nowMs)),
      ends: this.#ends
    }
  }

  /** Carries out the answer to a heartbeat. */
  obey (orders: WorkerOrders | undefined, nowMs: number): void {
    this.#isWaiting = false
    this.#nextHeartbeatMs = nowMs + (orders?.nextReportMs ?? HEARTBEAT_MS)
    if (orders === undefined) return
    this.#ends = this.#ends.filter(end => end.sequence > orders.recordedEndSequence)
    for (const { taskKey } of orders.stops) {
      if (!this.#stopping.has(taskKey)) this.#stopping.set(taskKey, nowMs + STOP_MS)
    }
    for (const { taskKey, run, checkpoint } of orders.starts) {
      if (this.runs.has(taskKey)) continue
      const resumedMs = Number(checkpoint)
      const placed = { taskKey, run, startedMs: nowMs, resumedMs, endsAtMs: Infinity, workMs: Infinity }
      this.runs.set(taskKey, placed)
      this.#model.started(this, placed)
    }
  }
}

function checkpointOf (run: SimulatedRun, nowMs: number): string {
  if (run.worksFromMs === undefined) return run.resumedMs === 0 ? '' : String(run.resumedMs)
  const doneMs = run.resumedMs + nowMs - run.worksFromMs
  return String(Math.floor(doneMs / SAVE_MS) * SAVE_MS)
}

function listed (run: SimulatedRun, nowMs: number): RunningTask {
  const doneMs = run.worksFromMs === undefined ? 0 : run.resumedMs + nowMs - run.worksFromMs
  const percent = Number.isFinite(run.workMs) ? Math.min(99, Math.floor(doneMs / run.workMs * 100)) : 0
  return { taskKey: run.taskKey, run: run.run, checkpoint: '', percent, usage: 0 }
}
