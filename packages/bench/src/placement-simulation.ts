/** Drives the gang scheduler through a load with an event heap and an injected clock. */
import type { Placement } from '@comfreygrade/core'
import {
  GangScheduler, Heap, type PlacementDecision, type PlacementPolicy, type PlacementSettings, type ReclaimMethod
} from '@comfreygrade/placement'
import type { CancelWave, LoadClass, LoadJob, PlacementLoad, WorkerTrouble } from './placement-load.js'

const CHECKPOINT_MS = 2_000
const STOP_MS = 500
/** Time that a checkpointed job needs to load its state again. */
const RESUME_MS = 30_000
/** Time after which a broken job, or a task on a sick worker, fails. */
const FAILURE_MS = 30_000
const TICK_MS = 30_000
const SAMPLE_MS = 600_000
/** A run is cut off this many times its load's duration after its start. */
const DRAIN_FACTOR = 3

/** What became of one job. */
export interface JobResult {
  readonly job: LoadJob
  /** Time from submission to the first start; undefined for a job that never started. */
  readonly waitMs: number | undefined
  /** Time from submission to the end; undefined for a job that did not complete. */
  readonly completionMs: number | undefined
  readonly fate: 'completed' | 'cancelled' | 'refused' | 'stopped' | 'unfinished'
}

/** Results of one run. */
export interface SimulationResult {
  readonly jobs: readonly JobResult[]
  /** Share of the inventory's accelerator time that jobs held while load arrived. */
  readonly utilisation: number
  /** Share of the inventory's accelerator time that completed runs needed while load arrived. */
  readonly goodput: number
  /** Mean of the sampled fragmentation while jobs waited. */
  readonly fragmentation: number
  readonly reclaimMs: readonly number[]
  readonly reclaims: number
  readonly passes: number
}

type SimulationEvent =
  | { readonly kind: 'submit', readonly job: LoadJob }
  | { readonly kind: 'end' | 'leave' | 'fail', readonly jobId: string, readonly start: number, readonly workerId?: string }
  | { readonly kind: 'cancel', readonly wave: CancelWave }
  | { readonly kind: 'trouble_starts' | 'trouble_ends', readonly trouble: WorkerTrouble }
  | { readonly kind: 'tick' }

interface TimedEvent { readonly atMs: number, readonly order: number, readonly event: SimulationEvent }

interface JobState {
  readonly job: LoadJob
  remainingMs: number
  placement: Placement | undefined
  startedMs: number
  /** Number of the present start; events of an earlier start are dropped. */
  start: number
  waitMs: number | undefined
  completionMs: number | undefined
  fate: JobResult['fate']
  claimedMs: number | undefined
  isLeaving: boolean
}

/**
 * Runs one load under one policy.
 *
 * @example
 * simulate(generateLoad(settings, 101), new BuddyCellPolicy(), defaultPlacementSettings).utilisation
 */
export function simulate (load: PlacementLoad, policy: PlacementPolicy, settings: PlacementSettings): SimulationResult {
  return new Simulation(load, new GangScheduler(settings, policy)).run()
}

class Simulation {
  readonly #load: PlacementLoad
  readonly #scheduler: GangScheduler
  readonly #events = new Heap<TimedEvent>((left, right) => left.atMs - right.atMs || left.order - right.order)
  readonly #jobs = new Map<string, JobState>()
  readonly #sickWorkerIds = new Set<string>()
  readonly #lostWorkerIds = new Set<string>()
  readonly #accelerators: number
  readonly #reclaimMs: number[] = []
  readonly #fragmentation: number[] = []
  #nowMs = 0
  #order = 0
  #open = 0
  #heldAccelerators = 0
  #heldTime = 0
  #usefulTime = 0
  #reclaims = 0
  #passes = 0
  #sampledMs = 0

  constructor (load: PlacementLoad, scheduler: GangScheduler) {
    this.#load = load
    this.#scheduler = scheduler
    this.#accelerators = [...load.configuration.workers.values()].reduce((sum, worker) => sum + worker.accelerators, 0)
  }

  run (): SimulationResult {
    this.#prepare()
    for (let next = this.#events.pop(); next !== undefined; next = this.#events.pop()) {
      if (next.atMs > this.#load.durationMs * DRAIN_FACTOR || (this.#open === 0 && this.#isOver())) break
      this.#advance(next.atMs)
      this.#handle(next.event)
      this.#pass()
    }
    return this.#result()
  }

  #prepare (): void {
    this.#scheduler.applyConfiguration(this.#load.configuration)
    for (const workerId of this.#load.configuration.workers.keys()) this.#scheduler.workerJoined(workerId, 0)
    for (const job of this.#load.jobs) this.#at(job.submitMs, { kind: 'submit', job })
    for (const wave of this.#load.cancelWaves) this.#at(wave.atMs, { kind: 'cancel', wave })
    for (const trouble of this.#load.troubles) {
      this.#at(trouble.fromMs, { kind: 'trouble_starts', trouble })
      this.#at(trouble.untilMs, { kind: 'trouble_ends', trouble })
    }
    this.#at(TICK_MS, { kind: 'tick' })
  }

  #isOver (): boolean {
    return this.#jobs.size === this.#load.jobs.length
  }

  #at (atMs: number, event: SimulationEvent): void {
    this.#events.push({ atMs, order: this.#order++, event })
  }

  #advance (atMs: number): void {
    const end = Math.min(atMs, this.#load.durationMs)
    this.#heldTime += this.#heldAccelerators * Math.max(0, end - this.#nowMs)
    this.#nowMs = atMs
  }

  #handle (event: SimulationEvent): void {
    switch (event.kind) {
      case 'submit': this.#submit(event.job); break
      case 'end': this.#ifCurrent(event, state => this.#complete(state)); break
      case 'leave': this.#ifCurrent(event, state => this.#leave(state)); break
      case 'fail': this.#ifCurrent(event, state => this.#fail(state, event.workerId!)); break
      case 'cancel': this.#cancel(event.wave); break
      case 'trouble_starts': this.#startTrouble(event.trouble); break
      case 'trouble_ends': this.#endTrouble(event.trouble); break
      case 'tick': this.#tick(); break
    }
  }

  #ifCurrent (event: { jobId: string, start: number }, act: (state: JobState) => void): void {
    const state = this.#jobs.get(event.jobId)!
    if (state.placement !== undefined && state.start === event.start) act(state)
  }

  #submit (job: LoadJob): void {
    const state: JobState = {
      job,
      remainingMs: job.actualRunMs,
      placement: undefined,
      startedMs: 0,
      start: 0,
      waitMs: undefined,
      completionMs: undefined,
      fate: 'unfinished',
      claimedMs: undefined,
      isLeaving: false
    }
    this.#jobs.set(job.spec.jobId, state)
    this.#open += 1
    if (this.#scheduler.submit(job.spec, this.#nowMs) !== undefined) this.#close(state, 'refused')
  }

  #pass (): void {
    this.#passes += 1
    for (const decision of this.#scheduler.pass(this.#nowMs)) this.#carryOut(decision)
  }

  #carryOut (decision: PlacementDecision): void {
    const state = this.#jobs.get(decision.jobId)!
    switch (decision.kind) {
      case 'place': this.#start(state, decision.placement); break
      case 'reclaim': this.#askToLeave(state, decision.method, decision.forJobId); break
      case 'stop': this.#stop(state); break
    }
  }

  #start (state: JobState, placement: Placement): void {
    state.placement = placement
    state.startedMs = this.#nowMs
    state.start += 1
    state.isLeaving = false
    state.waitMs ??= this.#nowMs - state.job.submitMs
    if (state.claimedMs !== undefined) this.#reclaimMs.push(this.#nowMs - state.claimedMs)
    state.claimedMs = undefined
    this.#heldAccelerators += acceleratorsOf(placement)
    this.#scheduleEnd(state, placement)
  }

  #scheduleEnd (state: JobState, placement: Placement): void {
    const { jobId } = state.job.spec
    const sick = placement.tasks.find(task => this.#sickWorkerIds.has(task.workerId))
    const failing = sick ?? (state.job.isBroken ? placement.tasks[0] : undefined)
    if (failing !== undefined) {
      this.#at(this.#nowMs + FAILURE_MS, { kind: 'fail', jobId, start: state.start, workerId: failing.workerId })
    } else this.#at(this.#nowMs + state.remainingMs, { kind: 'end', jobId, start: state.start })
  }

  #askToLeave (state: JobState, method: ReclaimMethod, forJobId: string): void {
    const leaveMs = method === 'checkpoint' ? CHECKPOINT_MS : STOP_MS
    this.#reclaims += 1
    state.isLeaving = true
    this.#jobs.get(forJobId)!.claimedMs ??= this.#nowMs
    this.#at(this.#nowMs + leaveMs, { kind: 'leave', jobId: state.job.spec.jobId, start: state.start })
  }

  #leave (state: JobState): void {
    if (state.job.spec.preemption === 'checkpoint') {
      const doneMs = Math.min(state.remainingMs, this.#nowMs - state.startedMs)
      state.remainingMs = state.remainingMs - doneMs + RESUME_MS
    }
    this.#requeue(state)
  }

  #requeue (state: JobState): void {
    this.#vacate(state)
    this.#scheduler.reclaimed(state.job.spec.jobId, this.#nowMs)
  }

  #vacate (state: JobState): void {
    this.#heldAccelerators -= acceleratorsOf(state.placement!)
    state.placement = undefined
  }

  #complete (state: JobState): void {
    const { spec, actualRunMs } = state.job
    if (this.#nowMs < this.#load.durationMs) this.#usefulTime += spec.tasks * spec.acceleratorsPerTask * actualRunMs
    state.completionMs = this.#nowMs - state.job.submitMs
    this.#finish(state, 'completed')
  }

  #finish (state: JobState, fate: JobResult['fate']): void {
    this.#vacate(state)
    this.#scheduler.ended(state.job.spec.jobId, this.#nowMs)
    this.#close(state, fate)
  }

  #close (state: JobState, fate: JobResult['fate']): void {
    state.fate = fate
    this.#open -= 1
  }

  #fail (state: JobState, workerId: string): void {
    this.#scheduler.taskFailed(state.job.spec.jobId, workerId, this.#nowMs)
    this.#requeue(state)
  }

  #stop (state: JobState): void {
    if (state.placement === undefined) this.#close(state, 'stopped')
    else this.#finish(state, 'stopped')
  }

  #cancel (wave: CancelWave): void {
    const own = [...this.#jobs.values()].filter(state =>
      state.fate === 'unfinished' && state.job.spec.organisationId === wave.organisationId)
    const count = Math.floor(own.length * wave.share)
    for (const state of own.slice(own.length - count)) {
      this.#scheduler.cancel(state.job.spec.jobId, this.#nowMs)
      if (state.placement === undefined) this.#close(state, 'cancelled')
      else this.#finish(state, 'cancelled')
    }
  }

  #startTrouble ({ kind, workerId }: WorkerTrouble): void {
    if (kind === 'sick') {
      this.#sickWorkerIds.add(workerId)
      return
    }
    this.#lostWorkerIds.add(workerId)
    this.#scheduler.workerLost(workerId, this.#nowMs)
    for (const state of this.#jobs.values()) {
      const isHit = state.placement?.tasks.some(task => task.workerId === workerId) === true
      if (isHit) this.#requeue(state)
    }
  }

  #endTrouble ({ kind, workerId }: WorkerTrouble): void {
    if (kind === 'sick') {
      this.#sickWorkerIds.delete(workerId)
      return
    }
    this.#lostWorkerIds.delete(workerId)
    this.#scheduler.workerJoined(workerId, this.#nowMs)
  }

  #tick (): void {
    if (this.#open > 0 || !this.#isOver()) this.#at(this.#nowMs + TICK_MS, { kind: 'tick' })
    if (this.#nowMs - this.#sampledMs < SAMPLE_MS || this.#nowMs > this.#load.durationMs) return
    this.#sampledMs = this.#nowMs
    const report = this.#scheduler.report()
    if (report.waitingJobs > 0) this.#fragmentation.push(report.fragmentation)
  }

  #result (): SimulationResult {
    const capacity = this.#accelerators * this.#load.durationMs
    return {
      jobs: [...this.#jobs.values()],
      utilisation: this.#heldTime / capacity,
      goodput: this.#usefulTime / capacity,
      fragmentation: meanOf(this.#fragmentation),
      reclaimMs: this.#reclaimMs,
      reclaims: this.#reclaims,
      passes: this.#passes
    }
  }
}

function meanOf (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)
}

function acceleratorsOf (placement: Placement): number {
  return placement.tasks.reduce((sum, task) => sum + task.acceleratorCount, 0)
}

/** Results of the jobs of one class. */
export function jobsOfClass (result: SimulationResult, loadClass: LoadClass): JobResult[] {
  return result.jobs.filter(entry => entry.job.loadClass === loadClass)
}
