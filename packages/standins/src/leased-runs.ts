/** Runs of a stand-in worker of the batch scheduler: its lease, its runs and the ends that it reports. */
import type { Clock } from '@comfreygrade/core'
import type { EndReason, RunEnd, RunningTask, WorkerOrders } from '@comfreygrade/batch'
import type { GangMeetings } from './gang-meetings.js'
import { GangMember, SingleRun, type LeasedRun } from './leased-run.js'
import { readPayload } from './run-payload.js'
import type { RunHistory } from './run-history.js'

/** What varies between the workers of simulations. */
export interface LeasedRunsOptions {
  /** Time that a stop takes, in which the run may still complete. */
  readonly drawStopMs?: () => number
  /** Without it, the members of a gang run each by itself. */
  readonly gangs?: GangMeetings
  /** Whether the worker takes a start order; one that it does not take ends as refused. */
  readonly acceptsStart?: (start: WorkerOrders['starts'][number]) => boolean
}

/**
 * One incarnation of a worker without input or output, on its own clock. The payload of a job says what its tasks do,
 * see {@link readPayload}.
 *
 * @example
 * const runs = new LeasedRuns('w1', clock, history)
 * runs.applyOrders(orders, heartbeatSentMs)
 */
export class LeasedRuns {
  readonly #workerId: string
  readonly #clock: Clock
  readonly #history: RunHistory
  readonly #options: LeasedRunsOptions
  readonly #runs = new Map<string, LeasedRun>()
  /** A repeated order must not start a run that has ended. */
  readonly #lastEndedRunByTask = new Map<string, number>()
  /** Ends that are reported in every heartbeat until they are acknowledged. */
  #ends: RunEnd[] = []
  #lastEndSequence = 0
  #fencingToken = 0
  #leaseEndMs = 0

  constructor (workerId: string, clock: Clock, history: RunHistory, options: LeasedRunsOptions = {}) {
    this.#options = options
    this.#workerId = workerId
    this.#clock = clock
    this.#history = history
  }

  /** Runs as a heartbeat lists them; one that is being stopped is listed neither here nor among the ends. */
  running (): RunningTask[] {
    return [...this.#runs].filter(([, { stopsAtMs }]) => stopsAtMs === undefined)
      .map(([taskKey, { run, percent }]) => ({ taskKey, run, checkpoint: '', percent, usage: 0 }))
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
    for (const [taskKey, run] of this.#runs) {
      run.end(undefined)
      this.#history.recordNotRunning(taskKey, this.#workerId)
    }
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
    for (const [taskKey, run] of this.#runs) {
      const reason = hasLapsed ? 'lapsed' : run.ownEnd ?? (nowMs >= (run.stopsAtMs ?? Infinity) ? 'stopped' : undefined)
      if (reason !== undefined) this.#endRun(taskKey, run, reason)
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
    for (const start of orders.starts) this.#startRun(start)
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
    const stopMs = this.#options.drawStopMs?.() ?? 0
    if (stopMs === 0) this.#endRun(taskKey, run, 'stopped')
    else run.stopsAtMs ??= this.#clock.monotonicMs() + stopMs
  }

  #endRun (taskKey: string, leasedRun: LeasedRun, reason: EndReason): void {
    this.#runs.delete(taskKey)
    leasedRun.end(reason)
    this.#recordEnd(taskKey, leasedRun.run, reason)
  }

  #recordEnd (taskKey: string, run: number, reason: EndReason): void {
    this.#lastEndedRunByTask.set(taskKey, Math.max(run, this.#lastEndedRunByTask.get(taskKey) ?? 0))
    const end = { sequence: ++this.#lastEndSequence, taskKey, run, reason, checkpoint: '' }
    this.#ends.push(end)
    this.#history.recordRunEnded(end, this.#workerId)
  }

  #startRun (start: WorkerOrders['starts'][number]): void {
    const { taskKey, run, payload } = start
    if (this.#runs.has(taskKey) || run <= (this.#lastEndedRunByTask.get(taskKey) ?? 0)) return
    if (this.#options.acceptsStart?.(start) === false) return this.#recordEnd(taskKey, run, 'refused')
    this.#runs.set(taskKey, this.#createRun(taskKey, run, payload))
    this.#history.recordRunStarted(taskKey, this.#workerId)
  }

  /** The first step of a job may be a gang. A member of its first run may fail, the first of them. */
  #createRun (taskKey: string, run: number, payload: string): LeasedRun {
    const { durationMs, fails, gangSize, breaksAfterShare } = readPayload(payload)
    const { gangs } = this.#options
    const [jobId, occurrence, step] = taskKey.split('.')
    if (gangs === undefined || gangSize === undefined || step !== '0') {
      return new SingleRun(run, this.#clock, durationMs, fails)
    }
    const breaks = breaksAfterShare !== undefined && run === 1
    const failure = { taskKey: `${jobId}.${occurrence}.${step}.0`, afterMs: durationMs * (breaksAfterShare ?? 1) }
    return new GangMember(run, taskKey, gangs, { size: gangSize, durationMs, failure: breaks ? failure : undefined })
  }
}
