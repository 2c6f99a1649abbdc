/** Discrete-event simulation of the gang scheduler under a load. */
import type { Placement } from '@comfreygrade/core'
import {
  GangScheduler, Heap, type PlacementDecision, type PlacementPolicy, type PlacementSettings, type ReclaimMethod
} from '@comfreygrade/placement'
import type { CancellationBurst, LoadClass, LoadJob, PlacementLoad, WorkerFault } from './placement-load.js'

const CHECKPOINT_DURATION_MS = 2_000
const STOP_DURATION_MS = 500
/** Time that a job needs to restore its state from a checkpoint. */
const RESTORE_DURATION_MS = 30_000
/** Time from the start until an always failing job, or a task on a faulty worker, fails. */
const FAILURE_DELAY_MS = 30_000
const TICK_INTERVAL_MS = 30_000
const SAMPLE_INTERVAL_MS = 600_000
/** The simulation is cut off after this many times the duration of the load. */
export const CUT_OFF_FACTOR = 3

export interface JobResult {
  readonly job: LoadJob
  /** Time from submission to the first start; undefined for a job that never started. */
  readonly waitMs: number | undefined
  /** Time from submission to the end; undefined for a job that did not complete. */
  readonly completionMs: number | undefined
  /**
   * `refused`: not accepted on submission; `stopped`: given up by the scheduler; `unfinished`: not ended when the
   * simulation was cut off.
   */
  readonly outcome: 'completed' | 'cancelled' | 'refused' | 'stopped' | 'unfinished'
}

/** Results of one simulation. */
export interface SimulationResult {
  readonly jobs: readonly JobResult[]
  /** Share of the inventory's accelerator time that jobs held while the load arrived. */
  readonly utilisation: number
  /** Accelerator time needed by the jobs that completed while the load arrived, as a share of the inventory's. */
  readonly goodput: number
  /** Mean of the fragmentation samples taken while jobs waited. */
  readonly fragmentation: number
  /** Times from the first reclaim for a job to its start. */
  readonly reclaimMs: readonly number[]
  readonly reclaims: number
  readonly passes: number
}

type SimulationEvent =
  | { readonly kind: 'submit', readonly job: LoadJob }
  | { readonly kind: 'end' | 'reclaimed' | 'fail', readonly jobId: string, readonly startCount: number, readonly workerId?: string }
  | { readonly kind: 'cancel', readonly burst: CancellationBurst }
  | { readonly kind: 'fault_starts' | 'fault_ends', readonly fault: WorkerFault }
  | { readonly kind: 'tick' }

interface TimedEvent { readonly atMs: number, readonly order: number, readonly event: SimulationEvent }

interface JobState {
  readonly job: LoadJob
  remainingMs: number
  placement: Placement | undefined
  startedMs: number
  /** Number of starts so far; events of an earlier start are ignored. */
  startCount: number
  waitMs: number | undefined
  completionMs: number | undefined
  outcome: JobResult['outcome']
  reclaimRequestedMs: number | undefined
  isReclaiming: boolean
}

/**
 * Simulates a load under a policy.
 *
 * @example
 * simulate(generateLoad(settings, 101), new BuddyCellPolicy(), defaultPlacementSettings).utilisation
 */
export function simulate (load: PlacementLoad, policy: PlacementPolicy, settings: PlacementSettings): SimulationResult {
  return new PlacementSimulation(load, new GangScheduler(settings, policy)).run()
}

class PlacementSimulation {
  readonly #load: PlacementLoad
  readonly #scheduler: GangScheduler
  readonly #events = new Heap<TimedEvent>((left, right) => left.atMs - right.atMs || left.order - right.order)
  readonly #jobs = new Map<string, JobState>()
  readonly #faultyWorkerIds = new Set<string>()
  readonly #lostWorkerIds = new Set<string>()
  readonly #accelerators: number
  readonly #reclaimMs: number[] = []
  readonly #fragmentation: number[] = []
  #nowMs = 0
  #order = 0
  #openJobs = 0
  #heldAccelerators = 0
  #heldAcceleratorMs = 0
  /** Accelerator milliseconds needed by the jobs that completed while the load arrived. */
  #usefulWorkMs = 0
  #reclaims = 0
  #passes = 0
  #lastSampleAtMs = 0

  constructor (load: PlacementLoad, scheduler: GangScheduler) {
    this.#load = load
    this.#scheduler = scheduler
    this.#accelerators = [...load.configuration.workers.values()].reduce((sum, worker) => sum + worker.accelerators, 0)
  }

  run (): SimulationResult {
    this.#prepare()
    for (let next = this.#events.pop(); next !== undefined; next = this.#events.pop()) {
      if (next.atMs > this.#load.durationMs * CUT_OFF_FACTOR || (this.#openJobs === 0 && this.#isAllSubmitted())) break
      this.#advance(next.atMs)
      this.#handle(next.event)
      this.#pass()
    }
    return this.#result()
  }

  #prepare (): void {
    this.#scheduler.applyConfiguration(this.#load.configuration)
    for (const workerId of this.#load.configuration.workers.keys()) this.#scheduler.workerJoined(workerId, 0)
    for (const job of this.#load.jobs) this.#schedule(job.submitMs, { kind: 'submit', job })
    for (const burst of this.#load.cancellations) this.#schedule(burst.atMs, { kind: 'cancel', burst })
    for (const fault of this.#load.faults) {
      this.#schedule(fault.fromMs, { kind: 'fault_starts', fault })
      this.#schedule(fault.untilMs, { kind: 'fault_ends', fault })
    }
    this.#schedule(TICK_INTERVAL_MS, { kind: 'tick' })
  }

  #isAllSubmitted (): boolean {
    return this.#jobs.size === this.#load.jobs.length
  }

  #schedule (atMs: number, event: SimulationEvent): void {
    this.#events.push({ atMs, order: this.#order++, event })
  }

  #advance (atMs: number): void {
    const end = Math.min(atMs, this.#load.durationMs)
    this.#heldAcceleratorMs += this.#heldAccelerators * Math.max(0, end - this.#nowMs)
    this.#nowMs = atMs
  }

  #handle (event: SimulationEvent): void {
    switch (event.kind) {
      case 'submit': this.#submit(event.job); break
      case 'end': this.#ifCurrent(event, state => this.#complete(state)); break
      case 'reclaimed': this.#ifCurrent(event, state => this.#completeReclaim(state)); break
      case 'fail': this.#ifCurrent(event, state => this.#fail(state, event.workerId!)); break
      case 'cancel': this.#cancel(event.burst); break
      case 'fault_starts': this.#startFault(event.fault); break
      case 'fault_ends': this.#endFault(event.fault); break
      case 'tick': this.#tick(); break
    }
  }

  #ifCurrent (event: { jobId: string, startCount: number }, act: (state: JobState) => void): void {
    const state = this.#jobs.get(event.jobId)!
    if (state.placement !== undefined && state.startCount === event.startCount) act(state)
  }

  #submit (job: LoadJob): void {
    const state: JobState = {
      job,
      remainingMs: job.actualRunMs,
      placement: undefined,
      startedMs: 0,
      startCount: 0,
      waitMs: undefined,
      completionMs: undefined,
      outcome: 'unfinished',
      reclaimRequestedMs: undefined,
      isReclaiming: false
    }
    this.#jobs.set(job.spec.jobId, state)
    this.#openJobs += 1
    if (this.#scheduler.submit(job.spec, this.#nowMs) !== undefined) this.#close(state, 'refused')
  }

  #pass (): void {
    this.#passes += 1
    for (const decision of this.#scheduler.runPass(this.#nowMs)) this.#execute(decision)
  }

  #execute (decision: PlacementDecision): void {
    const state = this.#jobs.get(decision.jobId)!
    switch (decision.kind) {
      case 'place': this.#start(state, decision.placement); break
      case 'reclaim': this.#startReclaim(state, decision.method, decision.forJobId); break
      case 'stop': this.#stop(state); break
    }
  }

  #start (state: JobState, placement: Placement): void {
    state.placement = placement
    state.startedMs = this.#nowMs
    state.startCount += 1
    state.isReclaiming = false
    state.waitMs ??= this.#nowMs - state.job.submitMs
    if (state.reclaimRequestedMs !== undefined) this.#reclaimMs.push(this.#nowMs - state.reclaimRequestedMs)
    state.reclaimRequestedMs = undefined
    this.#heldAccelerators += acceleratorsOf(placement)
    this.#scheduleEnd(state, placement)
  }

  #scheduleEnd (state: JobState, placement: Placement): void {
    const { jobId } = state.job.spec
    const faultyTask = placement.tasks.find(task => this.#faultyWorkerIds.has(task.workerId))
    const failingTask = faultyTask ?? (state.job.isAlwaysFailing ? placement.tasks[0] : undefined)
    if (failingTask !== undefined) {
      this.#schedule(this.#nowMs + FAILURE_DELAY_MS, { kind: 'fail', jobId, startCount: state.startCount, workerId: failingTask.workerId })
    } else this.#schedule(this.#nowMs + state.remainingMs, { kind: 'end', jobId, startCount: state.startCount })
  }

  #startReclaim (state: JobState, method: ReclaimMethod, forJobId: string): void {
    const durationMs = method === 'checkpoint' ? CHECKPOINT_DURATION_MS : STOP_DURATION_MS
    this.#reclaims += 1
    state.isReclaiming = true
    this.#jobs.get(forJobId)!.reclaimRequestedMs ??= this.#nowMs
    this.#schedule(this.#nowMs + durationMs, { kind: 'reclaimed', jobId: state.job.spec.jobId, startCount: state.startCount })
  }

  #completeReclaim (state: JobState): void {
    if (state.job.spec.preemption === 'checkpoint') {
      const doneMs = Math.min(state.remainingMs, this.#nowMs - state.startedMs)
      state.remainingMs = state.remainingMs - doneMs + RESTORE_DURATION_MS
    }
    this.#requeue(state)
  }

  #requeue (state: JobState): void {
    this.#releasePlacement(state)
    this.#scheduler.requeue(state.job.spec.jobId, this.#nowMs)
  }

  #releasePlacement (state: JobState): void {
    this.#heldAccelerators -= acceleratorsOf(state.placement!)
    state.placement = undefined
  }

  #complete (state: JobState): void {
    const { spec, actualRunMs } = state.job
    if (this.#nowMs < this.#load.durationMs) this.#usefulWorkMs += spec.tasks * spec.acceleratorsPerTask * actualRunMs
    state.completionMs = this.#nowMs - state.job.submitMs
    this.#finish(state, 'completed')
  }

  #finish (state: JobState, outcome: JobResult['outcome']): void {
    this.#releasePlacement(state)
    this.#scheduler.jobEnded(state.job.spec.jobId, this.#nowMs)
    this.#close(state, outcome)
  }

  #close (state: JobState, outcome: JobResult['outcome']): void {
    state.outcome = outcome
    this.#openJobs -= 1
  }

  #fail (state: JobState, workerId: string): void {
    this.#scheduler.taskFailed(state.job.spec.jobId, workerId, this.#nowMs)
    this.#requeue(state)
  }

  #stop (state: JobState): void {
    if (state.placement === undefined) this.#close(state, 'stopped')
    else this.#finish(state, 'stopped')
  }

  #cancel (burst: CancellationBurst): void {
    const openJobs = [...this.#jobs.values()].filter(state =>
      state.outcome === 'unfinished' && state.job.spec.organisationId === burst.organisationId)
    const count = Math.floor(openJobs.length * burst.share)
    for (const state of openJobs.slice(openJobs.length - count)) {
      this.#scheduler.cancel(state.job.spec.jobId, this.#nowMs)
      if (state.placement === undefined) this.#close(state, 'cancelled')
      else this.#finish(state, 'cancelled')
    }
  }

  #startFault ({ kind, workerId }: WorkerFault): void {
    if (kind === 'faulty') {
      this.#faultyWorkerIds.add(workerId)
      return
    }
    this.#lostWorkerIds.add(workerId)
    this.#scheduler.workerLost(workerId, this.#nowMs)
    for (const state of this.#jobs.values()) {
      const isAffected = state.placement?.tasks.some(task => task.workerId === workerId) === true
      if (isAffected) this.#requeue(state)
    }
  }

  #endFault ({ kind, workerId }: WorkerFault): void {
    if (kind === 'faulty') {
      this.#faultyWorkerIds.delete(workerId)
      return
    }
    this.#lostWorkerIds.delete(workerId)
    this.#scheduler.workerJoined(workerId, this.#nowMs)
  }

  #tick (): void {
    if (this.#openJobs > 0 || !this.#isAllSubmitted()) this.#schedule(this.#nowMs + TICK_INTERVAL_MS, { kind: 'tick' })
    if (this.#nowMs - this.#lastSampleAtMs < SAMPLE_INTERVAL_MS || this.#nowMs > this.#load.durationMs) return
    this.#lastSampleAtMs = this.#nowMs
    const report = this.#scheduler.report()
    if (report.waitingJobs > 0) this.#fragmentation.push(report.fragmentation)
  }

  #result (): SimulationResult {
    const capacity = this.#accelerators * this.#load.durationMs
    return {
      jobs: [...this.#jobs.values()],
      utilisation: this.#heldAcceleratorMs / capacity,
      goodput: this.#usefulWorkMs / capacity,
      fragmentation: mean(this.#fragmentation),
      reclaimMs: this.#reclaimMs,
      reclaims: this.#reclaims,
      passes: this.#passes
    }
  }
}

function mean (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length)
}

function acceleratorsOf (placement: Placement): number {
  return placement.tasks.reduce((sum, task) => sum + task.acceleratorCount, 0)
}

export function jobsOfClass (result: SimulationResult, loadClass: LoadClass): JobResult[] {
  return result.jobs.filter(entry => entry.job.loadClass === loadClass)
}
