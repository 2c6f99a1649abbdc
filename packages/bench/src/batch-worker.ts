/** Simulated worker of the batch scheduler. The caller passes the time in. */
import type { EndReason, RunEnd, RunningTask, WorkerOrders, WorkerReport } from '@comfreygrade/batch'

/** A run of one task on a worker. */
export interface SimulatedRun {
  readonly taskKey: string
  readonly run: number
  readonly startedMs: number
  /** Work of earlier runs that the checkpoint preserves. */
  readonly resumedWorkMs: number
  /** Undefined while the run waits for the other members of its gang. */
  workStartedMs?: number
  endsAtMs: number
  /** Duration of the whole task on this worker, including the resumed work. */
  workMs: number
}

/** Receives the starts and ends of runs and decides how long a run takes. */
export abstract class RunListener {
  abstract runStarted (worker: SimulatedWorker, run: SimulatedRun): void
  abstract runEnded (worker: SimulatedWorker, run: SimulatedRun, reason: EndReason, atMs: number): void
}

/** Time from the response to a heartbeat until the next heartbeat, unless the leader sets another one. */
const HEARTBEAT_INTERVAL_MS = 200
/** Longest delay before the end of a run is reported. */
const MAX_END_REPORT_DELAY_MS = 50
/** Time from a stop order until the run has ended. */
const STOP_DURATION_MS = 200
/** Interval at which a run saves its progress. */
const CHECKPOINT_INTERVAL_MS = 500

/** One incarnation of a worker with 64 cores, 256 GB and 8 accelerators. */
export class SimulatedWorker {
  readonly workerId: string
  readonly rack: string
  readonly speed: number
  readonly runs = new Map<string, SimulatedRun>()
  readonly #listener: RunListener
  readonly #stopAtMs = new Map<string, number>()
  #ends: RunEnd[] = []
  #endSequence = 0
  #sequence = 0
  #nextHeartbeatMs: number
  #isAwaitingOrders = false

  constructor (workerId: string, rack: string, speed: number, firstHeartbeatMs: number, listener: RunListener) {
    this.workerId = workerId
    this.rack = rack
    this.speed = speed
    this.#nextHeartbeatMs = firstHeartbeatMs
    this.#listener = listener
  }

  /** Ends the runs that are done or whose stop has taken effect. */
  advance (nowMs: number): void {
    for (const run of [...this.runs.values()]) {
      const stopAtMs = this.#stopAtMs.get(run.taskKey) ?? Infinity
      if (stopAtMs <= nowMs) this.end(run, 'stopped', nowMs)
      else if (run.endsAtMs <= nowMs) this.end(run, 'done', nowMs)
    }
  }

  /** Ends a run and reports it with the next heartbeat. */
  end (run: SimulatedRun, reason: EndReason, nowMs: number): void {
    if (!this.runs.delete(run.taskKey)) return
    this.#stopAtMs.delete(run.taskKey)
    const checkpoint = reason === 'done' ? '' : checkpointOf(run, nowMs)
    this.#ends.push({ sequence: ++this.#endSequence, taskKey: run.taskKey, run: run.run, reason, checkpoint })
    this.#nextHeartbeatMs = Math.min(this.#nextHeartbeatMs, nowMs + MAX_END_REPORT_DELAY_MS)
    this.#listener.runEnded(this, run, reason, nowMs)
  }

  /** Returns the heartbeat if one is due. */
  heartbeat (nowMs: number): WorkerReport | undefined {
    if (this.#isAwaitingOrders || nowMs < this.#nextHeartbeatMs) return undefined
    this.#isAwaitingOrders = true
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
      running: [...this.runs.values()].map(run => toRunningTask(run, nowMs)),
      ends: this.#ends
    }
  }

  /** Applies the response to a heartbeat; undefined if the leader sent no orders. */
  applyOrders (orders: WorkerOrders | undefined, nowMs: number): void {
    this.#isAwaitingOrders = false
    this.#nextHeartbeatMs = nowMs + (orders?.nextReportMs ?? HEARTBEAT_INTERVAL_MS)
    if (orders === undefined) return
    this.#ends = this.#ends.filter(end => end.sequence > orders.recordedEndSequence)
    for (const { taskKey } of orders.stops) {
      if (!this.#stopAtMs.has(taskKey)) this.#stopAtMs.set(taskKey, nowMs + STOP_DURATION_MS)
    }
    for (const { taskKey, run, checkpoint } of orders.starts) {
      if (this.runs.has(taskKey)) continue
      const resumedWorkMs = Number(checkpoint)
      const started = { taskKey, run, startedMs: nowMs, resumedWorkMs, endsAtMs: Infinity, workMs: Infinity }
      this.runs.set(taskKey, started)
      this.#listener.runStarted(this, started)
    }
  }
}

/** Returns the checkpoint of a run: the preserved work in milliseconds as text, empty for none. */
function checkpointOf (run: SimulatedRun, nowMs: number): string {
  if (run.workStartedMs === undefined) return run.resumedWorkMs === 0 ? '' : String(run.resumedWorkMs)
  const doneMs = run.resumedWorkMs + nowMs - run.workStartedMs
  return String(Math.floor(doneMs / CHECKPOINT_INTERVAL_MS) * CHECKPOINT_INTERVAL_MS)
}

function toRunningTask (run: SimulatedRun, nowMs: number): RunningTask {
  const doneMs = run.workStartedMs === undefined ? 0 : run.resumedWorkMs + nowMs - run.workStartedMs
  const percent = Number.isFinite(run.workMs) ? Math.min(99, Math.floor(doneMs / run.workMs * 100)) : 0
  return { taskKey: run.taskKey, run: run.run, checkpoint: '', percent, usage: 0 }
}
