/** Slows best-effort tasks (fillers) down where they disturb lasting tasks that serve users. */
import type { EventLog } from '@comfreygrade/core'
import type { BatchState } from './batch-state.js'
import { taskRunKey } from './run-keys.js'
import type { StepSpec } from './jobs.js'
import type { PaceOrder, RunningTask } from './worker-messages.js'
import type { WorkerView } from './worker-view.js'

/** Tail latency as a share of its target above which fillers are slowed, and below which they speed up again. */
const SLOW_DOWN_ABOVE_TARGET_SHARE = 0.85
const SPEED_UP_BELOW_TARGET_SHARE = 0.6
/** Multiplicative decrease and additive increase in percent, as in congestion control. */
const DECREASE_FACTOR = 0.5
const INCREASE_PERCENT = 5
const FULL_PACE_PERCENT = 100
/** Below this pace fillers are paused. */
const MIN_PACE_PERCENT = 5

interface TaskWithSpec {
  readonly task: RunningTask
  readonly spec: StepSpec
}

/** Controls the pace of the fillers of each worker from the tail latency that its lasting tasks report. */
export class FillerPacing {
  readonly #state: BatchState
  readonly #log: EventLog
  readonly #paceByWorker = new Map<string, number>()
  /** Latest ordered pace, by worker and run. */
  readonly #orderedPaces = new Map<string, Map<string, number>>()

  constructor (state: BatchState, log: EventLog) {
    this.#state = state
    this.#log = log
  }

  /**
   * Advances the pace of a worker's fillers by one step and takes the pace orders for the answer to its heartbeat:
   * those of fillers whose pace has changed since the last answer.
   */
  takeOrders (view: WorkerView): PaceOrder[] {
    const { workerId } = view.latest
    const tasks = view.latest.running.flatMap(task => this.#withSpec(task))
    const fillers = tasks.filter(({ spec }) => spec.isFiller)
    if (fillers.length === 0) {
      this.#orderedPaces.delete(workerId)
      return []
    }
    const current = this.#paceByWorker.get(workerId) ?? FULL_PACE_PERCENT
    const targetShare = worstTargetShare(tasks)
    const percent = nextPacePercent(current, targetShare)
    this.#paceByWorker.set(workerId, percent)
    this.#logChange(workerId, { from: current, to: percent, targetShare })
    return this.#changedPaces(workerId, fillers, percent)
  }

  /** Only a change between full pace, slowed and paused is logged, since the pace may change with every heartbeat. */
  #logChange (workerId: string, { from, to, targetShare }: { from: number, to: number, targetShare: number }): void {
    if (paceLevel(from) === paceLevel(to)) return
    this.#log.info('fillers paced', {
      workerId, pace: paceLevel(to), percent: to, targetShare: Number(targetShare.toFixed(2))
    })
  }

  #withSpec (task: RunningTask): TaskWithSpec[] {
    const spec = this.#state.findTask(task.taskKey)?.stepSpec
    return spec === undefined ? [] : [{ task, spec }]
  }

  #changedPaces (workerId: string, fillers: readonly TaskWithSpec[], percent: number): PaceOrder[] {
    const previous = this.#orderedPaces.get(workerId) ?? new Map<string, number>()
    const next = new Map<string, number>()
    const orders: PaceOrder[] = []
    for (const { task: { taskKey, run } } of fillers) {
      const key = taskRunKey({ taskKey, run })
      next.set(key, percent)
      if ((previous.get(key) ?? FULL_PACE_PERCENT) !== percent) orders.push({ taskKey, run, percent })
    }
    this.#orderedPaces.set(workerId, next)
    return orders
  }
}

/** Highest tail latency of the lasting tasks, as a share of their targets. */
function worstTargetShare (tasks: readonly TaskWithSpec[]): number {
  const lastingTasks = tasks.filter(({ spec }) => spec.isLasting && spec.targetLatencyMs > 0)
  return Math.max(0, ...lastingTasks.map(({ task, spec }) => task.usage / spec.targetLatencyMs))
}

function nextPacePercent (current: number, targetShare: number): number {
  if (targetShare > SLOW_DOWN_ABOVE_TARGET_SHARE) {
    const slower = Math.floor(current * DECREASE_FACTOR)
    return slower < MIN_PACE_PERCENT ? 0 : slower
  }
  if (targetShare < SPEED_UP_BELOW_TARGET_SHARE) return Math.min(FULL_PACE_PERCENT, current + INCREASE_PERCENT)
  return current
}

function paceLevel (percent: number): 'full' | 'slowed' | 'paused' {
  if (percent >= FULL_PACE_PERCENT) return 'full'
  return percent > 0 ? 'slowed' : 'paused'
}
