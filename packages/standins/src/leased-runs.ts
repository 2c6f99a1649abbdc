/** Runs of a stand-in worker of the batch scheduler: its lease, its runs and the ends that it reports. */
import type { Clock } from '@comfreygrade/core'
import type { EndReason, RunEnd, RunningTask, WorkerOrders } from '@comfreygrade/batch'
import type { RunHistory } from './run-history.js'

interface Run {
  readonly run: number
  readonly startedMs: number
  readonly durationMs: number
  readonly fails: boolean
  /** Time by which a stop takes effect; undefined where the run is not being stopped. */
  stopsAtMs: number | undefined
}

/** Progress of a run that has not ended. */
const MAX_RUNNING_PERCENT = 99

/** At the end of a payload, marks a job whose tasks fail. */
const FAILS_SUFFIX = '!'

/**
 * One incarnation of a worker without input or output, on its own clock. The payload of a job is the run time of each
 * task in milliseconds, followed by `!` where the tasks fail at their end.
 *
 * @example
 * const runs = new LeasedRuns('w1', clock, history)
 * runs.applyOrders(orders, heartbeatSentMs)
 */
export class LeasedRuns {
  readonly #workerId: string
  readonly #clock: Clock
  readonly #history: RunHistory
  readonly #drawStopMs: () => number
  readonly #runs = new Map<string, Run>()
  /** A repeated order must not start a run that has ended. */
  readonly #lastEndedRunByTask = new Map<string, number>()
  /** Ends that are reported in every heartbeat until they are acknowledged. */
  #ends: RunEnd[] = []
  #lastEndSequence = 0
  #fencingToken = 0
  #leaseEndMs = 0

  /** A stop takes the drawn time, in which the run may still complete; none by default. */
  constructor (workerId: string, clock: Clock, history: RunHistory, drawStopMs: () => number = () => 0) {
    this.#drawStopMs = drawStopMs
    this.#workerId = workerId
    this.#clock = clock
    this.#history = history
  }

  /** Runs as a heartbeat lists them; one that is being stopped is listed neither here nor among the ends. */
  running (): RunningTask[] {
    const nowMs = this.#clock.monotonicMs()
    return [...this.#runs].filter(([, { stopsAtMs }]) => stopsAtMs === undefined).map(([taskKey, run]) => ({
      taskKey, run: run.run, checkpoint: '', percent: progressPercent(run, nowMs), usage: 0
    }))
  }

  /** Ends that have not been acknowledged. */
  get ends (): readonly RunEnd[] {
    return this.#ends
  }

  /** Ends all runs without telling anyone, as a crash does. */
  crash (): void {
    this.exit(0)
  }

  /** Ends all runs, as {@link crash} does; others know the ends up to the given number, if the lease holds on. */
  exit (knownEndSequence: number): void {
    for (const taskKey of this.#runs.keys()) this.#history.recordNotRunning(taskKey, this.#workerId)
    this.#runs.clear()
    for (const end of this.#ends) {
      if (end.sequence > knownEndSequence) this.#history.recordEndForgotten(end, this.#workerId)
      else this.#history.recordEndLeftBehind(end, this.#workerId)
    }
  }

  /** Ends runs that are complete; after the lease has lapsed, all runs, and unacknowledged ends become void. */
  endDueRuns (): void {
    const nowMs = this.#clock.monotonicMs()
    const hasLapsed = nowMs >= this.#leaseEndMs
    if (hasLapsed) for (const end of this.#ends) this.#history.recordEndVoided(end, this.#workerId)
    for (const [taskKey, { run, startedMs, durationMs, fails, stopsAtMs }] of this.#runs) {
      if (hasLapsed) this.#endRun(taskKey, run, 'lapsed')
      else if (nowMs - startedMs >= durationMs) this.#endRun(taskKey, run, fails ? 'failed' : 'done')
      else if (stopsAtMs !== undefined && nowMs >= stopsAtMs) this.#endRun(taskKey, run, 'stopped')
    }
  }

  /**
   * Carries out the orders in the answer to the heartbeat that was sent at `sentMs`. The caller discards answers that
   * came too late.
   *
   * @returns whether the orders were obeyed; those of a deposed leader are not
   */
  applyOrders (orders: WorkerOrders, sentMs: number): boolean {
    if (orders.fencingToken < this.#fencingToken) return false
    // The lease may have lapsed while the answer was in transit.
    this.endDueRuns()
    this.#fencingToken = orders.fencingToken
    this.recordAcknowledgements(orders)
    this.#ends = this.#ends.filter(({ sequence }) => sequence > orders.recordedEndSequence)
    for (const { taskKey, run } of orders.stops) this.#stopRun(taskKey, run)
    if (orders.leaseMs === undefined) return true
    this.#leaseEndMs = Math.max(this.#leaseEndMs, sentMs + orders.leaseMs)
    for (const { taskKey, run, payload } of orders.starts) this.#startRun(taskKey, run, payload)
    return true
  }

  /**
   * Records the ends that an answer acknowledges. They count as acknowledged once the answer is sent, also where the
   * worker has crashed or discards the answer.
   */
  recordAcknowledgements ({ recordedEndSequence }: Pick<WorkerOrders, 'recordedEndSequence'>): void {
    for (const end of this.#ends) {
      if (end.sequence <= recordedEndSequence) this.#history.recordEndAcknowledged(end, this.#workerId)
    }
  }

  #stopRun (taskKey: string, runNumber: number): void {
    const run = this.#runs.get(taskKey)
    if (run?.run !== runNumber) return
    const stopMs = this.#drawStopMs()
    if (stopMs === 0) this.#endRun(taskKey, runNumber, 'stopped')
    else run.stopsAtMs ??= this.#clock.monotonicMs() + stopMs
  }

  #endRun (taskKey: string, run: number, reason: EndReason): void {
    this.#runs.delete(taskKey)
    this.#lastEndedRunByTask.set(taskKey, Math.max(run, this.#lastEndedRunByTask.get(taskKey) ?? 0))
    const end = { sequence: ++this.#lastEndSequence, taskKey, run, reason, checkpoint: '' }
    this.#ends.push(end)
    this.#history.recordRunEnded(end, this.#workerId)
  }

  #startRun (taskKey: string, run: number, payload: string): void {
    if (this.#runs.has(taskKey) || run <= (this.#lastEndedRunByTask.get(taskKey) ?? 0)) return
    const fails = payload.endsWith(FAILS_SUFFIX)
    const durationMs = Number(fails ? payload.slice(0, -FAILS_SUFFIX.length) : payload)
    this.#runs.set(taskKey, { run, startedMs: this.#clock.monotonicMs(), durationMs, fails, stopsAtMs: undefined })
    this.#history.recordRunStarted(taskKey, this.#workerId)
  }
}

function progressPercent ({ startedMs, durationMs }: Run, nowMs: number): number {
  return Math.min(MAX_RUNNING_PERCENT, Math.floor((nowMs - startedMs) / durationMs * 100))
}
