/** Slows best-effort tasks (fillers) down where they disturb lasting tasks that serve users. */
import type { Clock, EventLog } from '@comfreygrade/core'
import type { BatchState } from './batch-state.js'
import { assignmentKey, taskRunKey } from './run-keys.js'
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
/**
 * An unchanged pace is ordered again after this time. Workers do not report the paces in force, so an order that was
 * lost with its answer goes unnoticed.
 */
const ORDER_REPEAT_MS = 1_000

interface TaskWithSpec {
  readonly task: RunningTask
  readonly spec: StepSpec
}

interface SentOrder {
  readonly percent: number
  readonly sentAtMs: number
}

/** Pace of the fillers of one worker. */
interface WorkerPace {
  percent: number
  /** Latest order for each filler, by run. */
  sentOrders: Map<string, SentOrder>
}

/** Options of {@link FillerPacing}. */
export interface FillerPacingOptions {
  readonly state: BatchState
  readonly clock: Clock
  readonly log: EventLog
}

/** Controls the pace of the fillers of each worker from the tail latency that its lasting tasks report. */
export class FillerPacing {
  readonly #options: FillerPacingOptions
  readonly #paces = new WeakMap<WorkerView, WorkerPace>()

  constructor (options: FillerPacingOptions) {
    this.#options = options
  }

  /**
   * Advances the pace of a worker's fillers by one step and takes the pace orders for the answer to its heartbeat:
   * those that are new, and those that are due to be repeated.
   */
  takeOrders (view: WorkerView): PaceOrder[] {
    const tasks = view.latest.running.flatMap(task => this.#withSpec(task))
    const fillers = tasks.filter(({ spec }) => spec.isFiller)
    if (fillers.length === 0) return []
    const pace = this.#paces.get(view) ?? { percent: reportedPacePercent(view, fillers), sentOrders: new Map() }
    this.#paces.set(view, pace)
    const targetShare = worstTargetShare(tasks)
    const percent = nextPacePercent(pace.percent, targetShare)
    this.#logChange(view.latest.workerId, { from: pace.percent, to: percent, targetShare })
    pace.percent = percent
    return this.#dueOrders(pace, fillers)
  }

  #withSpec (task: RunningTask): TaskWithSpec[] {
    const spec = this.#options.state.findTask(task.taskKey)?.stepSpec
    return spec === undefined ? [] : [{ task, spec }]
  }

  /** Only a change between full pace, slowed and paused is logged, since the pace may change with every heartbeat. */
  #logChange (workerId: string, { from, to, targetShare }: { from: number, to: number, targetShare: number }): void {
    if (paceLevel(from) === paceLevel(to)) return
    this.#options.log.info('fillers paced', {
      workerId, pace: paceLevel(to), percent: to, targetShare: Number(targetShare.toFixed(2))
    })
  }

  #dueOrders (pace: WorkerPace, fillers: readonly TaskWithSpec[]): PaceOrder[] {
    const nowMs = this.#options.clock.monotonicMs()
    const { percent } = pace
    const sentOrders = new Map<string, SentOrder>()
    const orders: PaceOrder[] = []
    for (const { task: { taskKey, run } } of fillers) {
      const key = taskRunKey({ taskKey, run })
      const sent = pace.sentOrders.get(key)
      const isInForce = sent !== undefined && sent.percent === percent && nowMs - sent.sentAtMs < ORDER_REPEAT_MS
      if (!isInForce) orders.push({ taskKey, run, percent })
      sentOrders.set(key, isInForce ? sent : { percent, sentAtMs: nowMs })
    }
    pace.sentOrders = sentOrders
    return orders
  }
}

/**
 * Pace of a worker's fillers before the first order of this term. Fillers of this term started at full pace; the pace
 * of others, which a former leader ordered, is derived from the processor time that they use.
 */
function reportedPacePercent (view: WorkerView, fillers: readonly TaskWithSpec[]): number {
  const { workerId, incarnation } = view.latest
  const paces = fillers.map(({ task: { taskKey, run, usage }, spec: { shape } }) => {
    const isOfThisTerm = view.assignedInTerm.has(assignmentKey({ taskKey, run, workerId, incarnation }))
    if (isOfThisTerm || shape.cpuMillicores === 0) return FULL_PACE_PERCENT
    return Math.floor(FULL_PACE_PERCENT * usage / shape.cpuMillicores)
  })
  return Math.min(FULL_PACE_PERCENT, Math.max(0, ...paces))
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
