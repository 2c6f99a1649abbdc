/** Simulated worker of the batch scheduler. The caller passes the time in. */
import type { EndReason, RunEnd, RunningTask, TaskShape, WorkerOrders, WorkerReport } from '@comfreygrade/batch'

/** What a worker reports of itself. */
export interface WorkerIdentity {
  readonly workerId: string
  readonly rack: string
  readonly zone: string
  readonly capacity: TaskShape
}

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
  /** How the run ends at `endsAtMs`. */
  endReason: 'done' | 'failed'
  /** Duration of the whole task on this worker, including the resumed work. */
  workMs: number
}

/** Receives the starts and ends of runs and decides how long a run takes. */
export abstract class RunListener {
  abstract isCheckpointing (taskKey: string): boolean
  abstract runStarted (worker: SimulatedWorker, run: SimulatedRun): void
  abstract runEnded (worker: SimulatedWorker, run: SimulatedRun, reason: EndReason, atMs: number): void
}

/** Time from the response to a heartbeat until the next heartbeat, unless the leader sets another one. */
const HEARTBEAT_INTERVAL_MS = 200
/** Time after which a worker gives a heartbeat up. */
const HEARTBEAT_TIMEOUT_MS = 1_000
/** Time from the end of a run, or from the response that was outstanding then, until it is reported. */
const MAX_END_REPORT_DELAY_MS = 50
/** Time from a stop order until the run has ended. */
const STOP_DURATION_MS = 200
/** Interval at which a run saves its progress. */
export const CHECKPOINT_INTERVAL_MS = 500

/** One incarnation of a worker. */
export class SimulatedWorker {
  readonly identity: WorkerIdentity
  readonly speed: number
  readonly runs = new Map<string, SimulatedRun>()
  readonly #listener: RunListener
  readonly #stopAtMs = new Map<string, number>()
  #ends: RunEnd[] = []
  #endSequence = 0
  #sequence = 0
  #nextHeartbeatMs: number
  /** Time at which the outstanding heartbeat was sent. */
  #sentAtMs: number | undefined
  #leaseEndsAtMs = -Infinity
  #hasCrashed = false

  constructor (identity: WorkerIdentity, speed: number, firstHeartbeatMs: number, listener: RunListener) {
    this.identity = identity
    this.speed = speed
    this.#nextHeartbeatMs = firstHeartbeatMs
    this.#listener = listener
  }

  /** Ends the runs that are due, and gives up a heartbeat without an answer. */
  advance (nowMs: number): void {
    for (const run of [...this.runs.values()]) {
      const stopAtMs = this.#stopAtMs.get(run.taskKey) ?? Infinity
      if (this.#leaseEndsAtMs <= nowMs) this.end(run, 'lapsed', nowMs)
      else if (stopAtMs <= nowMs) this.end(run, 'stopped', nowMs)
      else if (run.endsAtMs <= nowMs) this.end(run, run.endReason, nowMs)
    }
    if (this.#sentAtMs === undefined || nowMs - this.#sentAtMs < HEARTBEAT_TIMEOUT_MS) return
    this.#sentAtMs = undefined
    this.#nextHeartbeatMs = nowMs
  }

  /** Loses all runs; the worker sends no heartbeats any more. */
  crash (nowMs: number): void {
    this.#nextHeartbeatMs = Infinity
    this.#sentAtMs = undefined
    this.#hasCrashed = true
    for (const run of [...this.runs.values()]) this.end(run, 'lapsed', nowMs)
  }

  /** Ends a run and reports it with the next heartbeat. */
  end (run: SimulatedRun, reason: EndReason, nowMs: number): void {
    if (!this.runs.delete(run.taskKey)) return
    this.#stopAtMs.delete(run.taskKey)
    const isSaved = reason !== 'done' && this.#listener.isCheckpointing(run.taskKey)
    const checkpoint = isSaved ? checkpointOf(run, nowMs) : ''
    this.#ends.push({ sequence: ++this.#endSequence, taskKey: run.taskKey, run: run.run, reason, checkpoint })
    this.#nextHeartbeatMs = Math.min(this.#nextHeartbeatMs, nowMs + MAX_END_REPORT_DELAY_MS)
    this.#listener.runEnded(this, run, reason, nowMs)
  }

  /** Returns the heartbeat if one is due. */
  heartbeat (nowMs: number): WorkerReport | undefined {
    if (this.#hasCrashed || this.#sentAtMs !== undefined || nowMs < this.#nextHeartbeatMs) return undefined
    this.#sentAtMs = nowMs
    const { workerId, rack, zone, capacity } = this.identity
    return {
      workerId,
      incarnation: 1,
      service: 'simulated',
      address: `${workerId}:80`,
      vmId: workerId,
      availabilityZone: zone,
      sequence: ++this.#sequence,
      state: 'active',
      capacity,
      labels: [zone, rack],
      rack,
      clockMs: nowMs,
      coldRemainingMs: 0,
      running: [...this.runs.values()].map(run => toRunningTask(run, nowMs)),
      ends: this.#ends
    }
  }

  /** Applies the response to the outstanding heartbeat; `orders` is undefined if the leader sent none. */
  applyOrders (sequence: number, orders: WorkerOrders | undefined, nowMs: number): void {
    if (this.#sentAtMs === undefined || sequence !== this.#sequence) return
    if (orders?.leaseMs !== undefined) this.#leaseEndsAtMs = this.#sentAtMs + orders.leaseMs
    this.#sentAtMs = undefined
    const dueMs = nowMs + (orders?.nextReportMs ?? HEARTBEAT_INTERVAL_MS)
    const hasUnrecordedEnds = this.#ends.some(end => end.sequence > (orders?.recordedEndSequence ?? 0))
    this.#nextHeartbeatMs = hasUnrecordedEnds ? Math.min(dueMs, nowMs + MAX_END_REPORT_DELAY_MS) : dueMs
    if (orders === undefined) return
    this.#ends = this.#ends.filter(end => end.sequence > orders.recordedEndSequence)
    for (const { taskKey } of orders.stops) {
      if (!this.#stopAtMs.has(taskKey)) this.#stopAtMs.set(taskKey, nowMs + STOP_DURATION_MS)
    }
    for (const { taskKey, run, checkpoint } of orders.starts) {
      if (this.runs.has(taskKey)) continue
      const started: SimulatedRun = {
        taskKey,
        run,
        startedMs: nowMs,
        resumedWorkMs: Number(checkpoint),
        endsAtMs: Infinity,
        endReason: 'done',
        workMs: Infinity
      }
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
  const percent = Number.isFinite(run.workMs) ? Math.min(100, Math.floor(doneMs / run.workMs * 100)) : 0
  return { taskKey: run.taskKey, run: run.run, checkpoint: '', percent, usage: 0 }
}
