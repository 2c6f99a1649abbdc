import test, { type ExecutionContext } from 'ava'
import fc from 'fast-check'
import type { JobSpec, Placement, Preemption } from '@comfreygrade/core'
import { BuddyCellPolicy, GangScheduler, defaultPlacementSettings, type PlacementDecision } from '../src/index.js'
import { type TestRack, cellsOfSize, fitsByTrying, testConfiguration } from './brute-force.js'

const racks: TestRack[] = [{ workers: 3, accelerators: 4 }, { workers: 2, accelerators: 4 }]
const cells = [
  { organisationId: 'o1', acceleratorsPerCell: 8, cells: 1 },
  { organisationId: 'o2', acceleratorsPerCell: 2, cells: 2 }
]
const configuration = testConfiguration(racks, cells)

interface SubmitStep extends Pick<JobSpec, 'tasks' | 'organisationId' | 'adjacency' | 'priority' | 'preemption'> {
  kind: 'submit'
  size: number
}

type Step =
  | SubmitStep
  | { kind: 'end' | 'cancel' | 'fail' | 'requeue' | 'lose' | 'join' | 'leave' | 'configure', pick: number }

const submit = fc.record({
  kind: fc.constant('submit' as const),
  tasks: fc.integer({ min: 1, max: 4 }),
  size: fc.constantFrom(1, 2, 4),
  organisationId: fc.constantFrom('o1', 'o2'),
  adjacency: fc.constantFrom('worker' as const, 'rack' as const, 'none' as const),
  priority: fc.constantFrom('urgent' as const, 'normal' as const, 'low' as const),
  preemption: fc.constantFrom('checkpoint' as const, 'repeat' as const, 'none' as const)
})
const calm = fc.record({
  kind: fc.constantFrom('end' as const, 'cancel' as const, 'requeue' as const, 'leave' as const, 'configure' as const),
  pick: fc.nat(100)
})
const rough = fc.record({ kind: fc.constantFrom('fail' as const, 'lose' as const, 'join' as const), pick: fc.nat(100) })

/** Follows every decision as the control leader does, and checks it against independent books. */
class Harness {
  readonly scheduler = new GangScheduler(defaultPlacementSettings, new BuddyCellPolicy())
  readonly specs = new Map<string, JobSpec>()
  readonly placed = new Map<string, Placement>()
  readonly leaving = new Set<string>()
  nowMs = 0
  #jobs = 0

  constructor (readonly t: ExecutionContext) {
    this.scheduler.applyConfiguration(configuration)
    for (const workerId of configuration.workers.keys()) this.scheduler.workerJoined(workerId, 0)
  }

  apply (step: Step): void {
    this.nowMs += 1000
    if (step.kind === 'submit') this.#submit(step)
    else this.#disturb(step.kind, step.pick)
    this.follow()
  }

  follow (): void {
    for (const decision of this.scheduler.pass(this.nowMs)) this.#carryOut(decision)
    const names = [...this.placed.values()].flatMap(accelerators)
    this.t.is(new Set(names).size, names.length)
    this.t.is(this.scheduler.report().acceleratorsInUse, names.length)
  }

  empty (): void {
    for (const jobId of this.specs.keys()) this.scheduler.cancel(jobId, this.nowMs)
    for (const jobId of this.specs.keys()) this.scheduler.ended(jobId, this.nowMs)
    this.placed.clear()
    this.leaving.clear()
  }

  letLeave (): void {
    for (const jobId of [...this.leaving]) this.#leave(jobId, 'reclaimed')
    this.follow()
  }

  /** Leaves only running lent jobs, without a pass in which others could take the guarantees. */
  endAllButLent (): void {
    for (const jobId of this.specs.keys()) if (!this.placed.has(jobId)) this.scheduler.cancel(jobId, this.nowMs)
    for (const [jobId, placement] of [...this.placed]) {
      if (placement.capacityClass === 'guaranteed') this.#leave(jobId, 'reclaimed')
      if (placement.capacityClass === 'guaranteed') this.scheduler.cancel(jobId, this.nowMs)
    }
  }

  #submit ({ kind, tasks, size, ...rest }: SubmitStep): void {
    const needs = { acceleratorsPerTask: size, coresPerTask: 1, memoryGbPerTask: 1, declaredRunMs: 5000 }
    const spec = { ...rest, ...needs, jobId: `j${this.#jobs++}`, jobClass: kind, tasks, acceleratorModel: 'gpu' }
    if (this.scheduler.submit(spec, this.nowMs) === undefined) this.specs.set(spec.jobId, spec)
  }

  #disturb (kind: Exclude<Step['kind'], 'submit'>, pick: number): void {
    const running = [...this.placed.keys()]
    const jobId = running[pick % Math.max(1, running.length)]
    const workers = [...configuration.workers.keys()]
    const workerId = workers[pick % workers.length]!
    if (kind === 'lose') this.scheduler.workerLost(workerId, this.nowMs)
    if (kind === 'join') this.scheduler.workerJoined(workerId, this.nowMs)
    const copy = { ...configuration, workers: new Map(configuration.workers) }
    if (kind === 'configure') this.scheduler.applyConfiguration(copy)
    if (kind === 'cancel') this.#cancel([...this.specs.keys()][pick % Math.max(1, this.specs.size)])
    if (kind === 'leave') for (const victim of [...this.leaving]) this.#leave(victim, 'reclaimed')
    if (jobId === undefined) return
    if (kind === 'fail') this.scheduler.taskFailed(jobId, this.placed.get(jobId)!.tasks[0]!.workerId, this.nowMs)
    if (kind === 'end') this.#leave(jobId, 'ended')
    if (kind === 'requeue') this.#leave(jobId, 'reclaimed')
  }

  #cancel (jobId: string | undefined): void {
    if (jobId === undefined) return
    this.scheduler.cancel(jobId, this.nowMs)
    if (this.placed.has(jobId)) this.#leave(jobId, 'ended')
  }

  #leave (jobId: string, how: 'ended' | 'reclaimed'): void {
    this.scheduler[how](jobId, this.nowMs)
    this.placed.delete(jobId)
    this.leaving.delete(jobId)
  }

  #carryOut (decision: PlacementDecision): void {
    const { jobId } = decision
    if (decision.kind === 'place') {
      this.#checkGang(this.specs.get(jobId)!, decision.placement)
      this.placed.set(jobId, decision.placement)
    } else if (decision.kind === 'reclaim') {
      this.t.is(this.placed.get(jobId)?.capacityClass, 'lent')
      this.t.not(this.specs.get(jobId)!.preemption, 'none')
      this.t.false(this.leaving.has(jobId), 'told twice')
      this.leaving.add(jobId)
    } else if (this.placed.has(jobId)) this.#leave(jobId, 'ended')
  }

  #checkGang (spec: JobSpec, placement: Placement): void {
    this.t.is(placement.tasks.length, spec.tasks)
    const workers = new Set(placement.tasks.map(task => task.workerId))
    if (spec.adjacency === 'worker') this.t.is(workers.size, 1)
    if (spec.adjacency === 'rack') this.t.is(new Set([...workers].map(workerId => workerId.slice(0, 2))).size, 1)
  }

  /** Whether the unbound guaranteed cells fit beside bound cells and jobs that are never reclaimed. */
  isReclaimableByTrying (): boolean {
    const taken = new Set<string>()
    const sizes: number[] = []
    for (const { organisationId, acceleratorsPerCell, cells: count } of cells) {
      const bound = this.#boundCells(organisationId, acceleratorsPerCell)
      for (const cell of bound) for (const name of cell) taken.add(name)
      sizes.push(...new Array<number>(count - bound.length).fill(acceleratorsPerCell))
    }
    for (const [jobId, placement] of this.placed) {
      const isFirm = placement.capacityClass === 'lent' && this.specs.get(jobId)!.preemption === 'none'
      if (isFirm) for (const name of accelerators(placement)) taken.add(name)
    }
    return fitsByTrying(racks, taken, sizes)
  }

  #boundCells (organisationId: string, size: number): string[][] {
    const own = [...this.placed].filter(([jobId, placement]) =>
      placement.capacityClass === 'guaranteed' && this.specs.get(jobId)!.organisationId === organisationId)
    const used = new Set(own.flatMap(([, placement]) => accelerators(placement)))
    return cellsOfSize(racks, size).filter(cell => cell.some(name => used.has(name)))
  }
}

function accelerators (placement: Placement): string[] {
  return placement.tasks.flatMap(task => Array.from({ length: task.acceleratorCount }, (_, offset) =>
    `${task.workerId}#${task.firstAccelerator + offset}`))
}

const claim = (organisationId: string, tasks: number, size: number, preemption: Preemption): SubmitStep =>
  ({ kind: 'submit', tasks, size, organisationId, adjacency: 'none', priority: 'normal', preemption })

test('whatever was placed before, holders that ask get the whole of their guarantees once lent jobs have left', t => {
  fc.assert(fc.property(fc.array(fc.oneof(submit, calm), { maxLength: 30 }), steps => {
    const harness = new Harness(t)
    for (const step of steps) {
      harness.apply(step)
      t.true(harness.isReclaimableByTrying())
      t.true(harness.scheduler.checkReclaimable().isReclaimable)
    }
    harness.letLeave()
    harness.endAllButLent()
    const before = new Set(harness.specs.keys())
    harness.apply(claim('o1', 2, 4, 'none'))
    harness.apply(claim('o2', 2, 2, 'none'))
    for (let round = 0; round < 6; round++) harness.letLeave()
    const held = [...harness.placed].filter(([jobId]) => !before.has(jobId))
    t.is(held.flatMap(([, placement]) => accelerators(placement)).length, 12)
    t.is(harness.leaving.size, 0)
  }), { seed: 21, numRuns: 300 })
})

test('with failures at any time no accelerator is given twice and none is lost when all jobs are gone', t => {
  fc.assert(fc.property(fc.array(fc.oneof(submit, calm, rough), { maxLength: 40 }), steps => {
    const harness = new Harness(t)
    for (const step of steps) harness.apply(step)
    harness.empty()
    for (const workerId of configuration.workers.keys()) harness.scheduler.workerJoined(workerId, harness.nowMs)
    harness.nowMs += 10 * defaultPlacementSettings.quarantineRetryMaxMs
    harness.follow()
    t.is(harness.scheduler.report().acceleratorsInUse, 0)
    t.true(harness.scheduler.checkReclaimable().isReclaimable)
    harness.apply({ ...claim('o1', 3, 4, 'repeat'), adjacency: 'rack' })
    t.is(harness.placed.size, 1)
  }), { seed: 22, numRuns: 300 })
})
