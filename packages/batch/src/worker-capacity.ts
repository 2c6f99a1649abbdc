/** Capacity of workers during one scheduling pass. */
import type { BatchState } from './batch-state.js'
import type { Assignment } from './commands.js'
import { stepKeyOf, type StepSpec, type TaskShape } from './jobs.js'
import type { WorkerView } from './worker-view.js'

/** A run on a worker with what it takes. */
export interface OccupyingRun {
  readonly assignment: Assignment
  readonly spec: StepSpec
  readonly priority: number
  readonly isStopping: boolean
  /** How long it has been at work. */
  readonly elapsedMs: number
  /** Estimated time to its end. */
  readonly remainingMs: number
}

/** A shape whose parts change during a pass. */
interface MutableShape {
  cpuMillicores: number
  memoryMb: number
  acceleratorCount: number
}

/** Free capacity of one worker; changes during a pass. */
export class WorkerSlot {
  readonly view: WorkerView
  readonly runs: readonly OccupyingRun[]
  readonly #free: MutableShape
  /** Time from now at which the first reservation needs its room; `Infinity` without one. */
  #reservedInMs = Infinity
  /** What is left beside the reservations once they need their room. */
  #spare: MutableShape | undefined
  /** Tasks by step, for limits of tasks per worker. */
  readonly #tasksByStep = new Map<string, number>()

  constructor (view: WorkerView, runs: readonly OccupyingRun[]) {
    this.view = view
    this.runs = runs
    this.#free = { ...view.latest.capacity }
    for (const { assignment, spec } of runs) {
      change(this.#free, spec, -1)
      this.#count(stepKeyOf(assignment.taskKey), 1)
    }
  }

  get workerId (): string {
    return this.view.latest.workerId
  }

  get free (): TaskShape {
    return this.#free
  }

  /** Whether one more task of this shape fits now. */
  fits (spec: StepSpec): boolean {
    return holds(this.#free, spec)
  }

  /** Whether one more task fits and leaves the reservations their room. */
  admits (spec: StepSpec): boolean {
    if (!holds(this.#free, spec)) return false
    return this.#spare === undefined || spec.estimateMs <= this.#reservedInMs || holds(this.#spare, spec)
  }

  /** Tasks of a step that this worker has. */
  tasksOf (key: string): number {
    return this.#tasksByStep.get(key) ?? 0
  }

  /** Places one task of a step. */
  place (key: string, spec: StepSpec): void {
    change(this.#free, spec, -1)
    if (this.#spare !== undefined && spec.estimateMs > this.#reservedInMs) change(this.#spare, spec, -1)
    this.#count(key, 1)
  }

  /** Takes one task of a step back. */
  unplace (key: string, spec: StepSpec): void {
    change(this.#free, spec, 1)
    if (this.#spare !== undefined && spec.estimateMs > this.#reservedInMs) change(this.#spare, spec, 1)
    this.#count(key, -1)
  }

  /** Counts the room of a run that is to stop as free, or as taken again. */
  release (run: OccupyingRun, isReleased: boolean): void {
    change(this.#free, run.spec, isReleased ? 1 : -1)
  }

  /** Holds room for a task that is expected to start in `inMs`. */
  reserve (spec: StepSpec, inMs: number): void {
    if (this.#spare === undefined || inMs < this.#reservedInMs) this.#reservedInMs = inMs
    this.#spare ??= this.#freeIn(inMs)
    change(this.#spare, spec, -1)
  }

  /** Times from now at which one more, two more, ... tasks fit as runs end; at most `limit`. */
  fittingTimes (spec: StepSpec, limit: number): number[] {
    const room = { ...(this.#spare ?? this.#free) }
    const ends = [...this.runs].sort((left, right) => left.remainingMs - right.remainingMs)
    const times: number[] = []
    let nowInMs = 0
    while (times.length < limit) {
      if (holds(room, spec)) {
        change(room, spec, -1)
        times.push(nowInMs)
        continue
      }
      const next = ends.shift()
      if (next === undefined) break
      nowInMs = Math.max(nowInMs, next.remainingMs)
      change(room, next.spec, 1)
    }
    return times
  }

  #freeIn (inMs: number): MutableShape {
    const room = { ...this.#free }
    for (const run of this.runs) if (run.remainingMs <= inMs) change(room, run.spec, 1)
    return room
  }

  #count (key: string, by: number): void {
    this.#tasksByStep.set(key, this.tasksOf(key) + by)
  }
}

/** Share of the capacity of all workers in use, of the resource that is used most. */
export function usedShare (slots: readonly WorkerSlot[]): number {
  const used: MutableShape = { cpuMillicores: 0, memoryMb: 0, acceleratorCount: 0 }
  const total: MutableShape = { ...used }
  for (const { view: { latest: { capacity } }, free } of slots) {
    add(total, capacity, 1)
    add(used, capacity, 1)
    add(used, free, -1)
  }
  const share = (part: number, whole: number): number => whole === 0 ? 0 : part / whole
  return Math.max(
    share(used.cpuMillicores, total.cpuMillicores),
    share(used.memoryMb, total.memoryMb),
    share(used.acceleratorCount, total.acceleratorCount)
  )
}

function add (sum: MutableShape, shape: TaskShape, sign: 1 | -1): void {
  sum.cpuMillicores += sign * shape.cpuMillicores
  sum.memoryMb += sign * shape.memoryMb
  sum.acceleratorCount += sign * shape.acceleratorCount
}

/** Whether an empty worker could hold a task. */
export function couldHold (capacity: TaskShape, spec: StepSpec): boolean {
  return holds(capacity, spec)
}

/** How many tasks of this shape an empty worker could hold at once. */
export function tasksThatFit (capacity: TaskShape, { shape, isFiller }: StepSpec): number {
  const memory = shape.memoryMb > 0 ? capacity.memoryMb / shape.memoryMb : Infinity
  const accelerators = shape.acceleratorCount > 0 ? capacity.acceleratorCount / shape.acceleratorCount : Infinity
  const cpu = isFiller || shape.cpuMillicores === 0 ? Infinity : capacity.cpuMillicores / shape.cpuMillicores
  return Math.floor(Math.min(memory, accelerators, cpu))
}

function holds (room: TaskShape, { shape, isFiller }: StepSpec): boolean {
  return room.memoryMb >= shape.memoryMb && room.acceleratorCount >= shape.acceleratorCount &&
    (isFiller || room.cpuMillicores >= shape.cpuMillicores)
}

function change (room: MutableShape, { shape, isFiller }: StepSpec, sign: 1 | -1): void {
  add(room, isFiller ? { ...shape, cpuMillicores: 0 } : shape, sign)
}

/** Runs that occupy a worker, with their shapes and expected ends. */
export function occupyingRuns (
  state: BatchState, view: WorkerView, isStopping: (run: Assignment) => boolean, nowMs: number
): OccupyingRun[] {
  const runs: OccupyingRun[] = []
  for (const assignment of state.runsOf(view.latest.workerId)) {
    const located = state.locate(assignment.taskKey)
    if (located === undefined) continue
    const { job, stepSpec: spec } = located
    const priority = state.directory?.at(job.queueAddress)?.priority ?? Infinity
    const elapsedMs = view.elapsedMs(assignment.taskKey, assignment.run, nowMs) ?? 0
    const isLeaving = isStopping(assignment)
    const remainingMs = isLeaving ? STOP_MS : remainingOf(view, assignment, spec, elapsedMs)
    runs.push({ assignment, spec, priority, isStopping: isLeaving, elapsedMs, remainingMs })
  }
  return runs
}

/** Time until the end of a run that is told to stop is listed. */
const STOP_MS = 300
/** Progress from which it tells more of the end than the caller's estimate. */
const TELLING_PERCENT = 10

function remainingOf (view: WorkerView, { taskKey, run }: Assignment, spec: StepSpec, elapsedMs: number): number {
  if (spec.isLasting) return Infinity
  const percent = view.rowOf(taskKey, run)?.percent ?? 0
  if (percent >= TELLING_PERCENT) return elapsedMs * (100 - percent) / percent
  return spec.estimateMs * (100 - percent) / 100
}
