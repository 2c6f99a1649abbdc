/** Slows fillers down where they disturb lasting tasks that serve users. */
import { runInLife, type BatchState } from './batch-state.js'
import type { StepSpec } from './jobs.js'
import type { PaceOrder, RunningTask } from './worker-messages.js'
import type { WorkerView } from './worker-view.js'

/** Tail latency as a share of its target above which fillers are slowed, and below which they speed up again. */
const SLOW_ABOVE_SHARE = 0.85
const SPEED_UP_BELOW_SHARE = 0.6
/** Multiplicative decrease and additive increase in percent, as in congestion control. */
const DECREASE_FACTOR = 0.5
const INCREASE_PERCENT = 5
const FULL_PERCENT = 100
/** Below this share fillers stand still. */
const LEAST_PERCENT = 5

interface Row {
  readonly row: RunningTask
  readonly spec: StepSpec
}

/** Pace of the fillers of each worker. */
export class FillerPacing {
  readonly #state: BatchState
  readonly #percentByWorker = new Map<string, number>()
  /** The latest pace ordered, by worker and run. */
  readonly #ordered = new Map<string, Map<string, number>>()

  constructor (state: BatchState) {
    this.#state = state
  }

  /** Orders for the fillers of a worker after its latest heartbeat. */
  ordersFor (view: WorkerView): PaceOrder[] {
    const { workerId } = view.latest
    const rows = view.latest.running.flatMap(row => this.#withSpec(row))
    const fillers = rows.filter(({ spec }) => spec.isFiller)
    if (fillers.length === 0) {
      this.#ordered.delete(workerId)
      return []
    }
    const percent = this.#nextPercent(workerId, rows)
    this.#percentByWorker.set(workerId, percent)
    return this.#changed(workerId, fillers, percent)
  }

  #withSpec (row: RunningTask): Row[] {
    const spec = this.#state.locate(row.taskKey)?.stepSpec
    return spec === undefined ? [] : [{ row, spec }]
  }

  #nextPercent (workerId: string, rows: readonly Row[]): number {
    const current = this.#percentByWorker.get(workerId) ?? FULL_PERCENT
    const served = rows.filter(({ spec }) => spec.isLasting && spec.targetLatencyMs > 0)
    const worst = Math.max(0, ...served.map(({ row, spec }) => row.usage / spec.targetLatencyMs))
    if (worst > SLOW_ABOVE_SHARE) {
      const slower = Math.floor(current * DECREASE_FACTOR)
      return slower < LEAST_PERCENT ? 0 : slower
    }
    if (worst < SPEED_UP_BELOW_SHARE) return Math.min(FULL_PERCENT, current + INCREASE_PERCENT)
    return current
  }

  #changed (workerId: string, fillers: readonly Row[], percent: number): PaceOrder[] {
    const known = this.#ordered.get(workerId) ?? new Map<string, number>()
    const next = new Map<string, number>()
    const orders: PaceOrder[] = []
    for (const { row: { taskKey, run } } of fillers) {
      const key = runInLife({ taskKey, run })
      next.set(key, percent)
      if ((known.get(key) ?? FULL_PERCENT) !== percent) orders.push({ taskKey, run, percent })
    }
    this.#ordered.set(workerId, next)
    return orders
  }
}
