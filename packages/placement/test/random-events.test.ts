import test, { type ExecutionContext } from 'ava'
import fc from 'fast-check'
import type { JobSpec, Placement, Preemption } from '@comfreygrade/core'
import { BuddyCellPolicy, GangScheduler, defaultPlacementSettings, type PlacementDecision } from '../src/index.js'
import { type TestRack, cellsOfSize, fitsByExhaustiveSearch, testConfiguration } from './exhaustive-search.js'

const racks: TestRack[] = [{ workers: 3, accelerators: 4 }, { workers: 2, accelerators: 4 }]
const guarantees = [
  { organisationId: 'o1', acceleratorsPerCell: 8, cells: 1 },
  { organisationId: 'o2', acceleratorsPerCell: 2, cells: 2 }
]
const configuration = testConfiguration(racks, guarantees)

interface SubmitStep extends Pick<JobSpec, 'tasks' | 'organisationId' | 'adjacency' | 'priority' | 'preemption'> {
  kind: 'submit'
  size: number
}

/**
 * `pick` selects a placed job for `end`, `requeue` and `fail` (one of its tasks fails), any submitted job for `cancel`,
 * and a worker for `lose` and `join`. With `leave`, all preempted jobs vacate their cells. `configure` applies an equal
 * configuration with a copied map of workers, so that the fleet state is rebuilt.
 */
type EventStep =
  | SubmitStep
  | { kind: 'end' | 'cancel' | 'fail' | 'requeue' | 'lose' | 'join' | 'leave' | 'configure', pick: number }

const submitStep = fc.record({
  kind: fc.constant('submit' as const),
  tasks: fc.integer({ min: 1, max: 4 }),
  size: fc.constantFrom(1, 2, 4),
  organisationId: fc.constantFrom('o1', 'o2'),
  adjacency: fc.constantFrom('worker' as const, 'rack' as const, 'none' as const),
  priority: fc.constantFrom('urgent' as const, 'normal' as const, 'low' as const),
  preemption: fc.constantFrom('checkpoint' as const, 'repeat' as const, 'none' as const)
})
const plannedStep = fc.record({
  kind: fc.constantFrom('end' as const, 'cancel' as const, 'requeue' as const, 'leave' as const, 'configure' as const),
  pick: fc.nat(100)
})
const failureStep = fc.record({
  kind: fc.constantFrom('fail' as const, 'lose' as const, 'join' as const),
  pick: fc.nat(100)
})

/** Executes every decision as the control leader does, and checks it against its own record of placements. */
class SchedulerHarness {
  readonly scheduler = new GangScheduler(defaultPlacementSettings, new BuddyCellPolicy())
  readonly specs = new Map<string, JobSpec>()
  readonly placed = new Map<string, Placement>()
  readonly preempted = new Set<string>()
  nowMs = 0
  #jobs = 0

  constructor (readonly t: ExecutionContext) {
    this.scheduler.applyConfiguration(configuration)
    for (const workerId of configuration.workers.keys()) this.scheduler.workerJoined(workerId, 0)
  }

  apply (step: EventStep): void {
    this.nowMs += 1000
    if (step.kind === 'submit') this.#submit(step)
    else this.#applyEvent(step.kind, step.pick)
    this.runPass()
  }

  runPass (): void {
    for (const decision of this.scheduler.runPass(this.nowMs)) this.#applyDecision(decision)
    const names = [...this.placed.values()].flatMap(acceleratorNames)
    this.t.is(new Set(names).size, names.length)
    this.t.is(this.scheduler.report().acceleratorsInUse, names.length)
  }

  endAllJobs (): void {
    for (const jobId of this.specs.keys()) this.scheduler.cancel(jobId, this.nowMs)
    for (const jobId of this.specs.keys()) this.scheduler.jobEnded(jobId, this.nowMs)
    this.placed.clear()
    this.preempted.clear()
  }

  vacatePreempted (): void {
    for (const jobId of [...this.preempted]) this.#vacate(jobId, 'requeue')
    this.runPass()
  }

  /** Ends all jobs except those placed on lent capacity, without a pass that could place others on the guarantees. */
  endAllExceptLent (): void {
    for (const jobId of this.specs.keys()) if (!this.placed.has(jobId)) this.scheduler.cancel(jobId, this.nowMs)
    for (const [jobId, placement] of [...this.placed]) {
      // Requeued first: a waiting job is removed when it is cancelled, a placed one is not.
      if (placement.capacityClass === 'guaranteed') this.#vacate(jobId, 'requeue')
      if (placement.capacityClass === 'guaranteed') this.scheduler.cancel(jobId, this.nowMs)
    }
  }

  #submit ({ kind, tasks, size, ...rest }: SubmitStep): void {
    // The job class is `submit` for all jobs.
    const needs = { acceleratorsPerTask: size, coresPerTask: 1, memoryGbPerTask: 1, declaredRunMs: 5000 }
    const spec = { ...rest, ...needs, jobId: `j${this.#jobs++}`, jobClass: kind, tasks, acceleratorModel: 'gpu' }
    if (this.scheduler.submit(spec, this.nowMs) === undefined) this.specs.set(spec.jobId, spec)
  }

  #applyEvent (kind: Exclude<EventStep['kind'], 'submit'>, pick: number): void {
    const running = [...this.placed.keys()]
    const jobId = running[pick % Math.max(1, running.length)]
    const workers = [...configuration.workers.keys()]
    const workerId = workers[pick % workers.length]!
    if (kind === 'lose') this.scheduler.workerLost(workerId, this.nowMs)
    if (kind === 'join') this.scheduler.workerJoined(workerId, this.nowMs)
    const copy = { ...configuration, workers: new Map(configuration.workers) }
    if (kind === 'configure') this.scheduler.applyConfiguration(copy)
    if (kind === 'cancel') this.#cancel([...this.specs.keys()][pick % Math.max(1, this.specs.size)])
    if (kind === 'leave') for (const victim of [...this.preempted]) this.#vacate(victim, 'requeue')
    if (jobId === undefined) return
    if (kind === 'fail') this.scheduler.taskFailed(jobId, this.placed.get(jobId)!.tasks[0]!.workerId, this.nowMs)
    if (kind === 'end') this.#vacate(jobId, 'jobEnded')
    if (kind === 'requeue') this.#vacate(jobId, 'requeue')
  }

  #cancel (jobId: string | undefined): void {
    if (jobId === undefined) return
    this.scheduler.cancel(jobId, this.nowMs)
    if (this.placed.has(jobId)) this.#vacate(jobId, 'jobEnded')
  }

  #vacate (jobId: string, how: 'jobEnded' | 'requeue'): void {
    this.scheduler[how](jobId, this.nowMs)
    this.placed.delete(jobId)
    this.preempted.delete(jobId)
  }

  #applyDecision (decision: PlacementDecision): void {
    const { jobId } = decision
    if (decision.kind === 'place') {
      this.#checkGang(this.specs.get(jobId)!, decision.placement)
      this.placed.set(jobId, decision.placement)
    } else if (decision.kind === 'reclaim') {
      this.t.is(this.placed.get(jobId)?.capacityClass, 'lent')
      this.t.not(this.specs.get(jobId)!.preemption, 'none')
      this.t.false(this.preempted.has(jobId), 'preempted twice')
      this.preempted.add(jobId)
    } else if (this.placed.has(jobId)) this.#vacate(jobId, 'jobEnded')
  }

  #checkGang (spec: JobSpec, placement: Placement): void {
    this.t.is(placement.tasks.length, spec.tasks)
    const workers = new Set(placement.tasks.map(task => task.workerId))
    if (spec.adjacency === 'worker') this.t.is(workers.size, 1)
    if (spec.adjacency === 'rack') this.t.is(new Set([...workers].map(workerId => workerId.slice(0, 2))).size, 1)
  }

  /** Whether the unbound guaranteed cells fit next to the bound cells and the non-preemptible jobs. */
  isReclaimableByExhaustiveSearch (): boolean {
    const taken = new Set<string>()
    const sizes: number[] = []
    for (const { organisationId, acceleratorsPerCell, cells: count } of guarantees) {
      const bound = this.#boundCells(organisationId, acceleratorsPerCell)
      for (const cell of bound) for (const name of cell) taken.add(name)
      sizes.push(...new Array<number>(count - bound.length).fill(acceleratorsPerCell))
    }
    for (const [jobId, placement] of this.placed) {
      const isCommitted = placement.capacityClass === 'lent' && this.specs.get(jobId)!.preemption === 'none'
      if (isCommitted) for (const name of acceleratorNames(placement)) taken.add(name)
    }
    return fitsByExhaustiveSearch(racks, taken, sizes)
  }

  #boundCells (organisationId: string, size: number): string[][] {
    const guaranteedPlacements = [...this.placed].filter(([jobId, placement]) =>
      placement.capacityClass === 'guaranteed' && this.specs.get(jobId)!.organisationId === organisationId)
    const usedNames = new Set(guaranteedPlacements.flatMap(([, placement]) => acceleratorNames(placement)))
    return cellsOfSize(racks, size).filter(cell => cell.some(name => usedNames.has(name)))
  }
}

function acceleratorNames (placement: Placement): string[] {
  return placement.tasks.flatMap(task => Array.from({ length: task.acceleratorCount }, (_, offset) =>
    `${task.workerId}#${task.firstAccelerator + offset}`))
}

const guaranteeJob = (organisationId: string, tasks: number, size: number, preemption: Preemption): SubmitStep =>
  ({ kind: 'submit', tasks, size, organisationId, adjacency: 'none', priority: 'normal', preemption })

test('organisations get their whole guarantees once preempted jobs have vacated them, whatever was placed before', t => {
  fc.assert(fc.property(fc.array(fc.oneof(submitStep, plannedStep), { maxLength: 30 }), steps => {
    const harness = new SchedulerHarness(t)
    for (const step of steps) {
      harness.apply(step)
      t.true(harness.isReclaimableByExhaustiveSearch())
      t.true(harness.scheduler.checkReclaimable().isReclaimable)
    }
    harness.vacatePreempted()
    harness.endAllExceptLent()
    const earlierJobIds = new Set(harness.specs.keys())
    harness.apply(guaranteeJob('o1', 2, 4, 'none'))
    harness.apply(guaranteeJob('o2', 2, 2, 'none'))
    for (let round = 0; round < 6; round++) harness.vacatePreempted()
    const newlyPlaced = [...harness.placed].filter(([jobId]) => !earlierJobIds.has(jobId))
    // The whole guarantees: 8 accelerators of o1 and 4 of o2.
    t.is(newlyPlaced.flatMap(([, placement]) => acceleratorNames(placement)).length, 12)
    t.is(harness.preempted.size, 0)
  }), { seed: 21, numRuns: 300 })
})

test('no accelerator is allocated twice or leaked when tasks fail and workers are lost at any time', t => {
  fc.assert(fc.property(fc.array(fc.oneof(submitStep, plannedStep, failureStep), { maxLength: 40 }), steps => {
    const harness = new SchedulerHarness(t)
    for (const step of steps) harness.apply(step)
    harness.endAllJobs()
    for (const workerId of configuration.workers.keys()) harness.scheduler.workerJoined(workerId, harness.nowMs)
    harness.nowMs += 10 * defaultPlacementSettings.quarantineRetryMaxMs
    harness.runPass()
    t.is(harness.scheduler.report().acceleratorsInUse, 0)
    t.true(harness.scheduler.checkReclaimable().isReclaimable)
    harness.apply({ ...guaranteeJob('o1', 3, 4, 'repeat'), adjacency: 'rack' })
    t.is(harness.placed.size, 1)
  }), { seed: 22, numRuns: 300 })
})
