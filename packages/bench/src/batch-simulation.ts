/** Simulates the batch scheduler: the production leader on a manual clock, simulated workers, delayed commits. */
import { ManualClock, NullEventLog, NullMetrics, Random } from '@comfreygrade/core'
import {
  BatchLeader, BatchState, coresOf, defaultBatchSettings, jobIdOf, type BatchSettings, type EndReason,
  type LeaderEffect, type LeaderEvent, type QueueDocument
} from '@comfreygrade/batch'
import type { JobKind, SimulatedJob } from './batch-load.js'
import { RunListener, SimulatedWorker, type SimulatedRun } from './batch-worker.js'

/** Options of {@link simulateBatch}. */
export interface BatchSimulationOptions {
  readonly seed: number
  readonly workers: number
  readonly kinds: readonly JobKind[]
  readonly jobs: readonly SimulatedJob[]
  readonly settings?: Partial<BatchSettings>
  /** Jobs that have not ended by this time count as not served. */
  readonly endsAtMs: number
}

/** Job counts of one kind. Jobs that are neither within their objective nor late were not served. */
export interface KindResult {
  readonly jobs: number
  readonly withinObjective: number
  readonly late: number
}

export interface BatchSimulationResult {
  readonly byKind: ReadonlyMap<string, KindResult>
  /** Value of the jobs that ended within their objective or late, as a share of the value of all jobs. */
  readonly servedValueShare: number
  /**
   * Core time held by runs that did not complete, as far as it counts as lost (see `lostWorkMs`). The wait of a gang
   * for its other tasks counts only if the work had not begun.
   */
  readonly wastedCoreSeconds: number
}

const STEP_MS = 10
const COMMIT_DELAY_MS = 15
const WORKERS_PER_RACK = 8
const WORKER_SPEEDS = [0.8, 1, 1.25]
/** Factor on the run time of a same-rack gang that was placed on several racks. */
const CROSS_RACK_RUN_FACTOR = 3
/** A job that takes longer than this multiple of its objective counts as not served and has no value. */
const LATE_LIMIT_FACTOR = 3
/** Share of a job's value that does not depend on its size. */
const FIXED_VALUE_SHARE = 0.3
const MAX_SIZE_FACTOR = 4
const HOST = 'simulated.example'

/**
 * Simulates the jobs on a fleet of workers.
 *
 * @example
 * const jobs = drawJobs(7, defaultJobKinds, 30_000, [])
 * simulateBatch({ seed: 7, workers: 33, kinds: defaultJobKinds, jobs, endsAtMs: 60_000 }).servedValueShare
 */
export function simulateBatch (options: BatchSimulationOptions): BatchSimulationResult {
  return new BatchSimulation(options).run()
}

class BatchSimulation extends RunListener {
  readonly #options: BatchSimulationOptions
  readonly #clock = new ManualClock(1_000_000, 1_700_000_000_000)
  readonly #state: BatchState
  readonly #leader: BatchLeader
  readonly #workers: SimulatedWorker[]
  readonly #jobs: ReadonlyMap<string, SimulatedJob>
  readonly #endedAtMs = new Map<string, number>()
  readonly #pendingCommits: Array<{ readonly atMs: number, readonly effect: Extract<LeaderEffect, { kind: 'propose' }> }> = []
  readonly #reportingWorkers = new Map<string, SimulatedWorker>()
  readonly #startMs: number
  #requestCount = 0
  #wastedCoreMs = 0

  constructor (options: BatchSimulationOptions) {
    super()
    this.#options = options
    this.#startMs = this.#clock.monotonicMs()
    const settings = { ...defaultBatchSettings, ...options.settings }
    this.#jobs = new Map(options.jobs.map(job => [job.jobId, job]))
    this.#state = new BatchState(settings)
    this.#state.apply({ kind: 'put_configuration', document: queueDocument(options.kinds) }, 0)
    this.#workers = this.#createWorkers(new Random(options.seed))
    this.#leader = new BatchLeader({
      term: 1, state: this.#state, settings, clock: this.#clock, metrics: new NullMetrics(), log: new NullEventLog()
    })
  }

  run (): BatchSimulationResult {
    const arrivals = [...this.#options.jobs]
    // The leader knows every worker before the first job arrives.
    this.#runUntil(this.#startMs + FIRST_HEARTBEATS_MS, [])
    this.#runUntil(this.#startMs + FIRST_HEARTBEATS_MS + this.#options.endsAtMs, arrivals)
    return this.#result()
  }

  override runStarted (worker: SimulatedWorker, run: SimulatedRun): void {
    const job = this.#jobOf(run)
    if (!job.step.isGang) return this.#startWork([{ worker, run }], 1)
    const members = this.#membersOf(run)
    if (members.length < job.step.taskCount) return
    const racks = new Set(members.map(member => member.worker.rack))
    this.#startWork(members, job.step.isSameRack && racks.size > 1 ? CROSS_RACK_RUN_FACTOR : 1)
  }

  override runEnded (_worker: SimulatedWorker, run: SimulatedRun, reason: EndReason, atMs: number): void {
    const job = this.#jobOf(run)
    if (reason !== 'done') this.#wastedCoreMs += coresOf(job.step.shape) * lostWorkMs(job, run, atMs)
    if (!job.step.isGang) return
    for (const member of this.#membersOf(run)) {
      member.worker.end(member.run, reason === 'done' ? 'done' : 'broken', atMs)
    }
  }

  /** Sets when the members end; all run at the speed of the slowest. */
  #startWork (members: ReadonlyArray<{ worker: SimulatedWorker, run: SimulatedRun }>, runFactor: number): void {
    const nowMs = this.#clock.monotonicMs()
    const slowest = Math.min(...members.map(member => member.worker.speed))
    for (const { run } of members) {
      run.workMs = this.#jobOf(run).runMs * runFactor / slowest
      run.workStartedMs = nowMs
      run.endsAtMs = nowMs + Math.max(STEP_MS, run.workMs - run.resumedWorkMs)
    }
  }

  #membersOf (run: SimulatedRun): Array<{ worker: SimulatedWorker, run: SimulatedRun }> {
    const jobId = jobIdOf(run.taskKey)
    return this.#workers.flatMap(worker => [...worker.runs.values()]
      .filter(other => other.run === run.run && jobIdOf(other.taskKey) === jobId)
      .map(other => ({ worker, run: other })))
  }

  #jobOf ({ taskKey }: SimulatedRun): SimulatedJob {
    return this.#jobs.get(jobIdOf(taskKey)) as SimulatedJob
  }

  #createWorkers (random: Random): SimulatedWorker[] {
    return Array.from({ length: this.#options.workers }, (_, index) => {
      const speed = WORKER_SPEEDS[random.nextInt(0, WORKER_SPEEDS.length - 1)] as number
      const firstMs = this.#startMs + random.nextInt(0, FIRST_HEARTBEATS_MS / 2)
      return new SimulatedWorker(`w${index}`, `r${Math.floor(index / WORKERS_PER_RACK)}`, speed, firstMs, this)
    })
  }

  #runUntil (endMs: number, arrivals: SimulatedJob[]): void {
    const arrivalsStartMs = this.#startMs + FIRST_HEARTBEATS_MS
    while (this.#clock.monotonicMs() < endMs) {
      this.#clock.advance(STEP_MS)
      const nowMs = this.#clock.monotonicMs()
      while ((this.#pendingCommits[0]?.atMs ?? Infinity) <= nowMs) this.#commit()
      while (arrivals[0] !== undefined && arrivalsStartMs + arrivals[0].arrivesAtMs <= nowMs) this.#submit(arrivals)
      for (const worker of this.#workers) this.#advanceWorker(worker, nowMs)
      this.#handle({ kind: 'tick' })
    }
  }

  #advanceWorker (worker: SimulatedWorker, nowMs: number): void {
    worker.advance(nowMs)
    const report = worker.heartbeat(nowMs)
    if (report === undefined) return
    const requestId = `h${++this.#requestCount}`
    this.#reportingWorkers.set(requestId, worker)
    this.#handle({ kind: 'report', requestId, report })
  }

  #submit (arrivals: SimulatedJob[]): void {
    const { jobId, kind, organisationIndex, step } = arrivals.shift() as SimulatedJob
    const request = { host: HOST, path: `${kind.pathPrefix}${jobId}`, apiKey: `key-${organisationIndex}` }
    this.#handle({
      kind: 'operation',
      requestId: `s${++this.#requestCount}`,
      operation: { kind: 'submit', request, spec: { payload: '', steps: [step] } }
    })
  }

  #handle (event: LeaderEvent): void {
    const nowMs = this.#clock.monotonicMs()
    for (const effect of this.#leader.handle(event)) {
      if (effect.kind === 'propose') this.#pendingCommits.push({ atMs: nowMs + COMMIT_DELAY_MS, effect })
      if (effect.kind !== 'reply_worker') continue
      this.#reportingWorkers.get(effect.requestId)?.applyOrders(effect.orders, nowMs)
      this.#reportingWorkers.delete(effect.requestId)
    }
  }

  #commit (): void {
    const next = this.#pendingCommits.shift()
    if (next === undefined) return
    const { proposalId, command } = next.effect
    const result = this.#state.apply(command, this.#clock.monotonicMs())
    if (command.kind === 'record_ends') for (const end of command.ends) this.#recordEnd(jobIdOf(end.taskKey))
    this.#handle({ kind: 'applied', proposalId, result })
  }

  #recordEnd (jobId: string): void {
    if (this.#endedAtMs.has(jobId) || this.#state.job(jobId)?.state !== 'completed') return
    this.#endedAtMs.set(jobId, this.#clock.monotonicMs() - this.#startMs - FIRST_HEARTBEATS_MS)
  }

  #result (): BatchSimulationResult {
    const byKind = new Map(this.#options.kinds.map(kind => [kind.name, { jobs: 0, withinObjective: 0, late: 0 }]))
    let totalValue = 0
    let servedValue = 0
    for (const job of this.#options.jobs) {
      const sizeFactor = this.#sizeFactor(job)
      const outcome = this.#outcome(job)
      const counts = byKind.get(job.kind.name) as { jobs: number, withinObjective: number, late: number }
      counts.jobs++
      if (outcome !== 'not_served') counts[outcome]++
      totalValue += job.kind.value * sizeFactor
      if (outcome === 'withinObjective') servedValue += job.kind.value * sizeFactor
      if (outcome === 'late') servedValue += job.kind.lateValue * sizeFactor
    }
    return { byKind, servedValueShare: servedValue / totalValue, wastedCoreSeconds: this.#wastedCoreMs / 1_000 }
  }

  #outcome ({ jobId, kind, arrivesAtMs, runMs }: SimulatedJob): 'withinObjective' | 'late' | 'not_served' {
    const tookMs = (this.#endedAtMs.get(jobId) ?? Infinity) - arrivesAtMs
    const objectiveMs = runMs * kind.slackFactor + kind.targetLatencyMs
    if (tookMs <= objectiveMs) return 'withinObjective'
    return tookMs <= objectiveMs * LATE_LIMIT_FACTOR ? 'late' : 'not_served'
  }

  /** Factor on a job's value by its size, that is its run time times its tasks relative to the means of its kind. */
  #sizeFactor (job: SimulatedJob): number {
    const meanWork = job.kind.meanRunMs * job.kind.meanTasks
    const factor = FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * job.runMs * job.step.taskCount / meanWork
    return Math.min(MAX_SIZE_FACTOR, factor)
  }
}

/** Time for the first heartbeat of every worker to arrive before the first job. */
const FIRST_HEARTBEATS_MS = 1_000

/**
 * Returns the time of a run that counts as lost: from the start of its work, or of the run if no work has begun; for a
 * checkpointing step at most the mean loss. Other steps count in full, although the simulated workers report
 * checkpoints for them too.
 */
function lostWorkMs ({ step }: SimulatedJob, run: SimulatedRun, atMs: number): number {
  const workedMs = atMs - (run.workStartedMs ?? run.startedMs)
  return step.isCheckpointing ? Math.min(workedMs, MEAN_CHECKPOINT_LOSS_MS) : workedMs
}

/** Mean work lost since the latest checkpoint: half of `CHECKPOINT_INTERVAL_MS` in `batch-worker.ts`. */
const MEAN_CHECKPOINT_LOSS_MS = 250

/** Returns one queue per job kind, and the four organisations from which `drawJobs` draws. */
function queueDocument (kinds: readonly JobKind[]): QueueDocument {
  const organisations = [0, 1, 2, 3].map(index => ({
    name: `organisation-${index}`, apiKeys: [`key-${index}`], guaranteedAccelerators: 40
  }))
  const queues = kinds.map(kind => ({
    name: kind.name,
    host: HOST,
    pathPrefix: kind.pathPrefix,
    service: 'simulated',
    timeoutMs: 3_000,
    targetLatencyMs: kind.targetLatencyMs,
    priority: kind.priority,
    maxAttempts: 4,
    slackFactor: kind.slackFactor,
    isAnonymous: false
  }))
  return { version: 1, queues, services: [{ name: 'simulated', isStandby: false }], organisations, source: '{}' }
}
