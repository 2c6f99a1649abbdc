/**
 * Moves of runs out of zones in which they could not start any more, because the zone is evacuated or because the
 * configuration in force does not permit its region.
 *
 * Failure: a zone that is lost while runs are in it which could go on elsewhere from a checkpoint.
 */
import type { Clock, Metrics } from '@comfreygrade/core'
import type { BatchState } from './batch-state.js'
import type { TaskContext } from './task-context.js'
import type { Assignment } from './commands.js'
import { compareValues } from './compare-values.js'
import type { Eviction } from './evictions.js'
import { stepKeyOf } from './jobs.js'
import type { BatchSettings } from './settings.js'
import type { RunPolicies } from './policies.js'
import type { StartObstacle, StartRules } from './start-rules.js'
import { isSuitable } from './suitability.js'
import { listOccupyingRuns, type OccupyingRun, type WorkerCapacity } from './worker-capacity.js'
import { groupByRack } from './worker-selection.js'
import type { WorkerView } from './worker-view.js'

/** Options of {@link ZoneMoves}. */
export interface ZoneMovesOptions {
  readonly state: BatchState
  readonly settings: BatchSettings
  readonly clock: Clock
  readonly metrics: Metrics
  readonly startRules: StartRules
  readonly views: () => Iterable<WorkerView>
  /** Workers that may get new runs, with their runs. */
  readonly schedulableWorkers: () => WorkerCapacity[]
  readonly isStopping: (assignment: Assignment) => boolean
  readonly policies: RunPolicies
  /** Runs of the gang that a run belongs to; only the run itself where it belongs to none. */
  readonly gangRuns: (assignment: Assignment) => Assignment[]
  /** Whether the disruption budgets of their steps allow to stop the runs together. */
  readonly allowsStops: (assignments: readonly Assignment[]) => boolean
  readonly evict: (eviction: Eviction) => void
}

interface Move {
  readonly run: OccupyingRun
  readonly context: TaskContext
  readonly obstacle: StartObstacle
  /** The members of a gang, or the run alone. */
  readonly members: readonly Assignment[]
}

/** Capacity that is kept for a task until it starts again. */
interface PendingTask {
  readonly stopped: Assignment
  readonly expiresAtMs: number
}

/** Interval between two rounds: about the time from a stop until the task can start elsewhere. */
const ROUND_INTERVAL_MS = 500
/** Longest time from a stop until the task has been assigned elsewhere, where the capacity for it is still free. */
const PENDING_TIMEOUT_MS = 2_000

/**
 * Stops checkpointing runs that would continue for long, and lasting ones, while other workers have free capacity for
 * them. All other runs end in place. A gang moves with all its members or not at all.
 */
export class ZoneMoves {
  readonly #options: ZoneMovesOptions
  readonly #pending = new Map<string, PendingTask>()
  #nextRoundMs = -Infinity

  constructor (options: ZoneMovesOptions) {
    this.#options = options
  }

  /** Stops the runs that can move now. */
  runIfDue (): void {
    const { clock, startRules } = this.#options
    const nowMs = clock.monotonicMs()
    if (!startRules.isAnyInForce || nowMs < this.#nextRoundMs) return
    this.#nextRoundMs = nowMs + ROUND_INTERVAL_MS
    const moves = this.#listMoves(nowMs)
    if (moves.length === 0) return
    const workers = this.#options.schedulableWorkers()
    this.#keepCapacityOfPending(workers, nowMs)
    for (const move of moves) this.#moveIfPossible(move, workers, nowMs)
  }

  /** The runs that would go on for longest come first. */
  #listMoves (nowMs: number): Move[] {
    const { views, startRules, state, policies } = this.#options
    const moves: Move[] = []
    for (const view of views()) {
      if (!startRules.mayObstructIn(view.latest.availabilityZone)) continue
      for (const run of listOccupyingRuns(state, view, () => false, nowMs, policies)) {
        const context = state.findTask(run.assignment.taskKey)
        if (context === undefined || !this.#mayMove(run)) continue
        const obstacle = startRules.obstacleIn(view.latest.availabilityZone, context.job)
        if (obstacle === undefined) continue
        moves.push({ run, context, obstacle, members: this.#options.gangRuns(run.assignment) })
      }
    }
    return moves.sort((left, right) => compareValues(right.run.remainingMs, left.run.remainingMs))
  }

  /** A checkpointing run that ends before the bound of an evacuation is over does not continue for long. */
  #mayMove ({ spec, remainingMs }: OccupyingRun): boolean {
    return spec.isLasting || (spec.isCheckpointing && remainingMs > this.#options.settings.evacuateMs)
  }

  /** Tasks that were stopped and have not been assigned elsewhere yet need the capacity that was found for them. */
  #keepCapacityOfPending (workers: readonly WorkerCapacity[], nowMs: number): void {
    for (const [taskKey, { stopped, expiresAtMs }] of this.#pending) {
      const context = this.#options.state.findTask(taskKey)
      const hasNewRun = context === undefined || context.task.isDone || context.task.lastRun > stopped.run
      if (hasNewRun || expiresAtMs <= nowMs) this.#pending.delete(taskKey)
      else this.#placeTasks(context, stepKeyOf(taskKey), 1, this.#suitableWorkers(context, workers))
    }
  }

  #moveIfPossible (move: Move, workers: readonly WorkerCapacity[], nowMs: number): void {
    const { run, obstacle, members } = move
    const { spec } = run
    const { isStopping, allowsStops, evict, metrics } = this.#options
    if (members.some(isStopping) || !allowsStops(members)) return
    if (!this.#holdPlaces(move, workers)) return
    const expiresAtMs = nowMs + PENDING_TIMEOUT_MS
    for (const stopped of members) this.#pending.set(stopped.taskKey, { stopped, expiresAtMs })
    metrics.increment('run.moved', { reason: obstacle }, members.length)
    evict({ assignment: run.assignment, reason: obstacle, ...(spec.isLasting ? {} : { remainingMs: run.remainingMs }) })
  }

  /** Holds a place for each member; the places that the members outside the zone have now count as free. */
  #holdPlaces ({ run, context, members }: Move, workers: readonly WorkerCapacity[]): boolean {
    const key = stepKeyOf(run.assignment.taskKey)
    const memberKeys = new Set(members.map(member => member.taskKey))
    const freed = workers.flatMap(worker => worker.runs
      .filter(({ assignment }) => memberKeys.has(assignment.taskKey))
      .map(occupying => ({ worker, occupying })))
    for (const { worker, occupying } of freed) worker.setPreempted(occupying, true)
    const suitable = this.#suitableWorkers(context, workers)
    const { isGang, isSameRack } = context.stepSpec
    const groups = isGang && isSameRack ? [...groupByRack(suitable).values()] : [suitable]
    const isHeld = groups.some(group => this.#placeTasks(context, key, members.length, group))
    if (!isHeld) for (const { worker, occupying } of freed) worker.setPreempted(occupying, false)
    return isHeld
  }

  #suitableWorkers ({ job, stepSpec }: TaskContext, workers: readonly WorkerCapacity[]): readonly WorkerCapacity[] {
    const { startRules } = this.#options
    return workers.filter(({ view }) => isSuitable(view, job, stepSpec) &&
      startRules.obstacleIn(view.latest.availabilityZone, job) === undefined)
  }

  /** Takes the capacity for all the tasks, or for none. */
  #placeTasks (
    context: TaskContext, stepKey: string, count: number, workers: readonly WorkerCapacity[]
  ): boolean {
    const { stepSpec: spec } = context
    const { highMs } = this.#options.policies.runTimes.predictTask(context)
    const places: WorkerCapacity[] = []
    const limit = spec.maxTasksPerWorker > 0 ? spec.maxTasksPerWorker : Infinity
    while (places.length < count) {
      const worker = workers.find(candidate => candidate.admits(spec, highMs) &&
        candidate.taskCountOf(stepKey) < limit)
      if (worker === undefined) break
      worker.place(stepKey, spec, highMs)
      places.push(worker)
    }
    if (places.length === count) return true
    for (const worker of places) worker.unplace(stepKey, spec, highMs)
    return false
  }
}
