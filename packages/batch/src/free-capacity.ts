/** Capacity of workers during one scheduling pass. */
import type { BatchState } from './batch-state.js'
import type { Assignment } from './commands.js'
import type { StepSpec, TaskShape } from './jobs.js'
import type { WorkerView } from './worker-view.js'

/** A run on a worker with what it takes. */
export interface OccupyingRun {
  readonly assignment: Assignment
  readonly spec: StepSpec
  readonly priority: number
  readonly isStopping: boolean
}

/** Free capacity of one worker; changes during a pass. */
export class WorkerSlot {
  readonly view: WorkerView
  readonly runs: readonly OccupyingRun[]
  cpuMillicores: number
  memoryMb: number
  acceleratorCount: number
  /** Tasks by step, for limits of tasks per worker. */
  readonly tasksByStep = new Map<string, number>()

  constructor (view: WorkerView, runs: readonly OccupyingRun[]) {
    this.view = view
    this.runs = runs
    const { capacity } = view.latest
    this.cpuMillicores = capacity.cpuMillicores
    this.memoryMb = capacity.memoryMb
    this.acceleratorCount = capacity.acceleratorCount
    for (const { assignment, spec } of runs) {
      this.take(spec)
      this.count(assignment.taskKey)
    }
  }

  get workerId (): string {
    return this.view.latest.workerId
  }

  /** Whether one more task of this shape fits. */
  fits (spec: StepSpec): boolean {
    const { shape } = spec
    return this.memoryMb >= shape.memoryMb && this.acceleratorCount >= shape.acceleratorCount &&
      (spec.isFiller || this.cpuMillicores >= shape.cpuMillicores)
  }

  /** Takes the capacity of one task. */
  take (spec: StepSpec): void {
    this.#add(spec, -1)
  }

  /** Gives the capacity of one task back. */
  giveBack (spec: StepSpec): void {
    this.#add(spec, 1)
  }

  /** Counts a task of its step. */
  count (taskKey: string): void {
    const key = stepKeyOf(taskKey)
    this.tasksByStep.set(key, (this.tasksByStep.get(key) ?? 0) + 1)
  }

  #add (spec: StepSpec, sign: 1 | -1): void {
    this.memoryMb += sign * spec.shape.memoryMb
    this.acceleratorCount += sign * spec.shape.acceleratorCount
    if (!spec.isFiller) this.cpuMillicores += sign * spec.shape.cpuMillicores
  }
}

function stepKeyOf (taskKey: string): string {
  return taskKey.slice(0, taskKey.lastIndexOf('.'))
}

/** Runs that occupy a worker, with their shapes. */
export function occupyingRuns (
  state: BatchState, workerId: string, isStopping: (run: Assignment) => boolean
): OccupyingRun[] {
  const runs: OccupyingRun[] = []
  for (const assignment of state.runsOf(workerId)) {
    const located = state.locate(assignment.taskKey)
    if (located === undefined) continue
    const { job, stepSpec } = located
    const priority = state.directory?.at(job.queueAddress)?.priority ?? Infinity
    runs.push({ assignment, spec: stepSpec, priority, isStopping: isStopping(assignment) })
  }
  return runs
}

/** Whether a shape could run on an empty worker. */
export function couldHold (capacity: TaskShape, spec: StepSpec): boolean {
  return capacity.memoryMb >= spec.shape.memoryMb && capacity.acceleratorCount >= spec.shape.acceleratorCount &&
    (spec.isFiller || capacity.cpuMillicores >= spec.shape.cpuMillicores)
}
