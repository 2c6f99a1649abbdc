/** Capacity of workers and the runs that occupy it, during one scheduling pass. */
import type { BatchState } from './batch-state.js'
import type { Assignment } from './commands.js'
import { NO_RESOURCES, occupiedShape, stepKeyOf, type StepSpec, type TaskShape } from './jobs.js'
import { estimateRemainingMs } from './run-estimates.js'
import type { RunPolicies } from './policies.js'
import type { WorkerView } from './worker-view.js'

/** A run on a worker, with the capacity that it occupies. */
export interface OccupyingRun {
  readonly assignment: Assignment
  readonly spec: StepSpec
  readonly organisation: string
  readonly priority: number
  readonly isStopping: boolean
  /** Time since the run was first reported to this leader. */
  readonly elapsedMs: number
  /** Estimated time until its end. */
  readonly remainingMs: number
  /** Time that the whole run is unlikely to exceed on a worker of typical speed. */
  readonly highRunMs: number
}

interface MutableShape {
  cpuMillicores: number
  memoryMb: number
  acceleratorCount: number
}

/** Free and reserved capacity of one worker; updated during a pass. */
export class WorkerCapacity {
  readonly view: WorkerView
  readonly runs: readonly OccupyingRun[]
  /** Whether start orders reach the worker at once. */
  readonly isReachable: boolean
  /** Run time on the worker as a multiple of that on a typical one. */
  readonly slowdown: number
  readonly #free: MutableShape
  /** Time from now until the earliest reservation starts; `Infinity` without one. */
  #reservedAfterMs = Infinity
  /**
   * Capacity expected to be free when the reservation that was made first starts, less all reservations made so far;
   * undefined without one. Reservations with other start times do not change the time for which it holds.
   */
  #unreserved: MutableShape | undefined
  /** For limits of tasks per worker. */
  readonly #taskCountByStep = new Map<string, number>()

  constructor (view: WorkerView, runs: readonly OccupyingRun[], isReachable: boolean, slowdown = 1) {
    this.view = view
    this.runs = runs
    this.isReachable = isReachable
    this.slowdown = slowdown
    this.#free = { ...view.latest.capacity }
    for (const { assignment, spec } of runs) {
      addTask(this.#free, spec, -1)
      this.#count(stepKeyOf(assignment.taskKey), 1)
    }
  }

  get workerId (): string {
    return this.view.latest.workerId
  }

  get free (): TaskShape {
    return this.#free
  }

  /** Whether one more task fits now. */
  fits (spec: StepSpec): boolean {
    return canHold(this.#free, spec)
  }

  /**
   * Whether one more task fits now and delays no reservation, which a task that runs for at most `highRunMs` does not
   * where it ends before the reservation starts.
   */
  admits (spec: StepSpec, highRunMs: number): boolean {
    if (!canHold(this.#free, spec)) return false
    return this.#unreserved === undefined || this.#endsBeforeReservation(highRunMs) ||
      canHold(this.#unreserved, spec)
  }

  /** Number of tasks of a step on this worker. */
  taskCountOf (key: string): number {
    return this.#taskCountByStep.get(key) ?? 0
  }

  /** Deducts the capacity of one task of a step. */
  place (key: string, spec: StepSpec, highRunMs: number): void {
    addTask(this.#free, spec, -1)
    if (this.#unreserved !== undefined && !this.#endsBeforeReservation(highRunMs)) addTask(this.#unreserved, spec, -1)
    this.#count(key, 1)
  }

  /** Releases the capacity of one task of a step. */
  unplace (key: string, spec: StepSpec, highRunMs: number): void {
    addTask(this.#free, spec, 1)
    if (this.#unreserved !== undefined && !this.#endsBeforeReservation(highRunMs)) addTask(this.#unreserved, spec, 1)
    this.#count(key, -1)
  }

  /** Counts a run as stopped, so that its capacity is free, or as running again. */
  setPreempted (run: OccupyingRun, isPreempted: boolean): void {
    addTask(this.#free, run.spec, isPreempted ? 1 : -1)
    this.#count(stepKeyOf(run.assignment.taskKey), isPreempted ? -1 : 1)
  }

  /** Reserves capacity for a task that is expected to start after `delayMs`. */
  reserve (spec: StepSpec, delayMs: number): void {
    if (this.#unreserved === undefined || delayMs < this.#reservedAfterMs) this.#reservedAfterMs = delayMs
    this.#unreserved ??= this.#expectedFreeAfter(delayMs)
    addTask(this.#unreserved, spec, -1)
  }

  /**
   * Times from now at which the first, second, ... further task fits as runs end; at most `limit` of them. On a worker
   * with reservations they may be too early: the capacity that is expected to be free beside the reservations, which
   * includes that of runs that end before, counts as free from now on, and again when those runs end.
   */
  expectedStartTimes (spec: StepSpec, limit: number): number[] {
    const available = { ...(this.#unreserved ?? this.#free) }
    const ends = [...this.runs].sort((left, right) => left.remainingMs - right.remainingMs)
    const times: number[] = []
    let delayMs = 0
    while (times.length < limit) {
      if (canHold(available, spec)) {
        addTask(available, spec, -1)
        times.push(delayMs)
        continue
      }
      const next = ends.shift()
      if (next === undefined) break
      delayMs = Math.max(delayMs, next.remainingMs)
      addTask(available, next.spec, 1)
    }
    return times
  }

  #endsBeforeReservation (highRunMs: number): boolean {
    return highRunMs * this.slowdown <= this.#reservedAfterMs
  }

  #expectedFreeAfter (delayMs: number): MutableShape {
    const available = { ...this.#free }
    for (const run of this.runs) if (run.remainingMs <= delayMs) addTask(available, run.spec, 1)
    return available
  }

  #count (key: string, by: number): void {
    this.#taskCountByStep.set(key, this.taskCountOf(key) + by)
  }
}

/** Utilisation of all workers together, for the resource that is used most. */
export function peakUtilisation (workers: readonly WorkerCapacity[]): number {
  const used: MutableShape = { ...NO_RESOURCES }
  const total: MutableShape = { ...used }
  for (const { view: { latest: { capacity } }, free } of workers) {
    addShape(total, capacity, 1)
    addShape(used, capacity, 1)
    addShape(used, free, -1)
  }
  const share = (part: number, whole: number): number => whole === 0 ? 0 : part / whole
  return Math.max(
    share(used.cpuMillicores, total.cpuMillicores),
    share(used.memoryMb, total.memoryMb),
    share(used.acceleratorCount, total.acceleratorCount)
  )
}

function addShape (sum: MutableShape, shape: TaskShape, sign: 1 | -1): void {
  sum.cpuMillicores += sign * shape.cpuMillicores
  sum.memoryMb += sign * shape.memoryMb
  sum.acceleratorCount += sign * shape.acceleratorCount
}

/** Whether an empty worker of this capacity could hold a task. */
export function couldHold (capacity: TaskShape, spec: StepSpec): boolean {
  return canHold(capacity, spec)
}

/** How many tasks of a step an empty worker of this capacity could hold. */
export function tasksThatFit (capacity: TaskShape, { shape, isFiller }: StepSpec): number {
  const memory = shape.memoryMb > 0 ? capacity.memoryMb / shape.memoryMb : Infinity
  const accelerators = shape.acceleratorCount > 0 ? capacity.acceleratorCount / shape.acceleratorCount : Infinity
  const cpu = isFiller || shape.cpuMillicores === 0 ? Infinity : capacity.cpuMillicores / shape.cpuMillicores
  return Math.floor(Math.min(memory, accelerators, cpu))
}

function canHold (available: TaskShape, { shape, isFiller }: StepSpec): boolean {
  return available.memoryMb >= shape.memoryMb && available.acceleratorCount >= shape.acceleratorCount &&
    (isFiller || available.cpuMillicores >= shape.cpuMillicores)
}

function addTask (available: MutableShape, spec: StepSpec, sign: 1 | -1): void {
  addShape(available, occupiedShape(spec), sign)
}

/** Lists the runs that occupy a worker, with their estimated ends. */
export function listOccupyingRuns (
  state: BatchState, view: WorkerView, isStopping: (assignment: Assignment) => boolean, nowMs: number,
  policies: RunPolicies
): OccupyingRun[] {
  const runs: OccupyingRun[] = []
  const slowdown = policies.workerSpeeds.slowdownOf(view.latest)
  for (const assignment of state.runsOf(view.latest.workerId)) {
    const context = state.findTask(assignment.taskKey)
    if (context === undefined) continue
    const { job, stepSpec: spec } = context
    const priority = state.queueOf(job)?.priority ?? Infinity
    const elapsedMs = view.elapsedMs(assignment.taskKey, assignment.run, nowMs) ?? 0
    const isBeingStopped = isStopping(assignment)
    const { typicalMs, highMs } = policies.runTimes.predictTask(context)
    const remainingMs = isBeingStopped
      ? EXPECTED_STOP_MS
      : estimateRemainingMs(view, assignment, spec, nowMs, typicalMs * slowdown)
    runs.push({
      assignment,
      spec,
      organisation: job.organisation,
      priority,
      isStopping: isBeingStopped,
      elapsedMs,
      remainingMs,
      highRunMs: highMs
    })
  }
  return runs
}

/**
 * Expected time from now until a worker reports the end of a run that is already being stopped. It is shorter than the
 * time from a new stop order until the capacity can be used, which includes the heartbeat that carries the order.
 */
const EXPECTED_STOP_MS = 300
