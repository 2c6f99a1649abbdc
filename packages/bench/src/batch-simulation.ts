/** Plays a day of the batch scheduler in simulated time: the real leader, simulated workers, commits with a delay. */
import { ManualClock, NullEventLog, NullMetrics, Random } from '@comfreygrade/core'
import {
  BatchLeader, BatchState, coresOf, defaultBatchSettings, jobIdOf, type BatchSettings, type EndReason,
  type LeaderEffect, type LeaderEvent, type QueueDocument
} from '@comfreygrade/batch'
import type { JobKind, SimulatedJob } from './batch-load.js'
import { RunModel, SimulatedWorker, type SimulatedRun } from './batch-worker.js'

/** Options of {@link simulateBatch}. */
export interface BatchSimulationOptions {
  readonly seed: number
  readonly workers: number
  readonly kinds: readonly JobKind[]
  readonly jobs: readonly SimulatedJob[]
  readonly settings?: Partial<BatchSettings>
  /** Time at which jobs that have not ended count as not served. */
  readonly endsAtMs: number
}

/** How one kind of job was served. */
export interface KindResult {
  readonly jobs: number
  readonly inObjective: number
  readonly late: number
}

/** What a day brought. */
export interface BatchSimulationResult {
  readonly byKind: ReadonlyMap<string, KindResult>
  /** Worth of what was served as a share of the worth of all jobs. */
  readonly worthShare: number
  readonly thrownAwayCoreSeconds: number
}

const STEP_MS = 10
const COMMIT_MS = 15
const RACK_SIZE = 8
const SPEEDS = [0.8, 1, 1.25]
/** Run time of a same-rack gang over several racks. */
const FAR_FACTOR = 3
/** Work later than this multiple of its objective is of no use. */
const LATE_OBJECTIVES = 3
/** Share of a job's worth that does not depend on its size. */
const FIXED_WORTH_SHARE = 0.3
const MAX_WORTH_FACTOR = 4
const HOST = 'simulated.example'

/**
 * Plays the jobs.
 *
 * @example
 * const jobs = drawJobs(7, yardKinds, 30_000, [])
 * simulateBatch({ seed: 7, workers: 33, kinds: yardKinds, jobs, endsAtMs: 60_000 }).worthShare
 */
export function simulateBatch (options: BatchSimulationOptions): BatchSimulationResult {
  return new BatchSimulation(options).run()
}

class BatchSimulation extends RunModel {
  readonly #options: BatchSimulationOptions
  readonly #clock = new ManualClock(1_000_000, 1_700_000_000_000)
  readonly #state: BatchState
  readonly #leader: BatchLeader
  readonly #workers: SimulatedWorker[]
  readonly #jobs: ReadonlyMap<string, SimulatedJob>
  readonly #endedAtMs = new Map<string, number>()
  readonly #commits: Array<{ readonly atMs: number, readonly effect: Extract<LeaderEffect, { kind: 'propose' }> }> = []
  readonly #heartbeats = new Map<string, SimulatedWorker>()
  readonly #startMs: number
  #requests = 0
  #thrownAwayCoreMs = 0

  constructor (options: BatchSimulationOptions) {
    super()
    this.#options = options
    this.#startMs = this.#clock.monotonicMs()
    const settings = { ...defaultBatchSettings, ...options.settings }
    this.#jobs = new Map(options.jobs.map(job => [job.jobId, job]))
    this.#state = new BatchState(settings)
    this.#state.apply({ kind: 'put_configuration', document: documentOf(options.kinds) }, 0)
    this.#workers = this.#createWorkers(new Random(options.seed))
    this.#leader = new BatchLeader({
      term: 1, state: this.#state, settings, clock: this.#clock, metrics: new NullMetrics(), log: new NullEventLog()
    })
  }

  run (): BatchSimulationResult {
    const arrivals = [...this.#options.jobs]
    // Workers are known before the first job.
    this.#playUntil(this.#startMs + SETTLE_MS, [])
    this.#playUntil(this.#startMs + SETTLE_MS + this.#options.endsAtMs, arrivals)
    return this.#result()
  }

  override started (worker: SimulatedWorker, run: SimulatedRun): void {
    const job = this.#jobOf(run)
    if (!job.step.isGang) return this.#work([{ worker, run }], 1)
    const members = this.#membersOf(run)
    if (members.length < job.step.taskCount) return
    const racks = new Set(members.map(member => member.worker.rack))
    this.#work(members, job.step.isSameRack && racks.size > 1 ? FAR_FACTOR : 1)
  }

  override ended (_worker: SimulatedWorker, run: SimulatedRun, reason: EndReason, atMs: number): void {
    const job = this.#jobOf(run)
    if (reason !== 'done') this.#thrownAwayCoreMs += coresOf(job.step.shape) * lostMs(job, run, atMs)
    if (!job.step.isGang) return
    for (const member of this.#membersOf(run)) {
      member.worker.end(member.run, reason === 'done' ? 'done' : 'broken', atMs)
    }
  }

  /** A gang works at the speed of its slowest member. */
  #work (members: ReadonlyArray<{ worker: SimulatedWorker, run: SimulatedRun }>, factor: number): void {
    const nowMs = this.#clock.monotonicMs()
    const slowest = Math.min(...members.map(member => member.worker.speed))
    for (const { run } of members) {
      run.workMs = this.#jobOf(run).runMs * factor / slowest
      run.worksFromMs = nowMs
      run.endsAtMs = nowMs + Math.max(STEP_MS, run.workMs - run.resumedMs)
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
      const speed = SPEEDS[random.nextInt(0, SPEEDS.length - 1)] as number
      const firstMs = this.#startMs + random.nextInt(0, SETTLE_MS / 2)
      return new SimulatedWorker(`w${index}`, `r${Math.floor(index / RACK_SIZE)}`, speed, firstMs, this)
    })
  }

  #playUntil (endMs: number, arrivals: SimulatedJob[]): void {
    const dayStartMs = this.#startMs + SETTLE_MS
    while (this.#clock.monotonicMs() < endMs) {
      this.#clock.advance(STEP_MS)
      const nowMs = this.#clock.monotonicMs()
      while ((this.#commits[0]?.atMs ?? Infinity) <= nowMs) this.#commit()
      while (arrivals[0] !== undefined && dayStartMs + arrivals[0].arrivesAtMs <= nowMs) this.#submit(arrivals)
      for (const worker of this.#workers) this.#playWorker(worker, nowMs)
      this.#tell({ kind: 'tick' })
    }
  }

  #playWorker (worker: SimulatedWorker, nowMs: number): void {
    worker.advance(nowMs)
    const report = worker.heartbeat(nowMs)
    if (report === undefined) return
    const requestId = `h${++this.#requests}`
    this.#heartbeats.set(requestId, worker)
    this.#tell({ kind: 'report', requestId, report })
  }

  #submit (arrivals: SimulatedJob[]): void {
    const { jobId, kind, organisation, step } = arrivals.shift() as SimulatedJob
    const request = { host: HOST, path: `${kind.pathPrefix}${jobId}`, apiKey: `key-${organisation}` }
    this.#tell({
      kind: 'operation',
      requestId: `s${++this.#requests}`,
      operation: { kind: 'submit', request, spec: { payload: '', steps: [step] } }
    })
  }

  #tell (event: LeaderEvent): void {
    const nowMs = this.#clock.monotonicMs()
    for (const effect of this.#leader.handle(event)) {
      if (effect.kind === 'propose') this.#commits.push({ atMs: nowMs + COMMIT_MS, effect })
      if (effect.kind !== 'reply_worker') continue
      this.#heartbeats.get(effect.requestId)?.obey(effect.orders, nowMs)
      this.#heartbeats.delete(effect.requestId)
    }
  }

  #commit (): void {
    const next = this.#commits.shift()
    if (next === undefined) return
    const { proposalId, command } = next.effect
    const result = this.#state.apply(command, this.#clock.monotonicMs())
    if (command.kind === 'record_ends') for (const end of command.ends) this.#noteEnd(jobIdOf(end.taskKey))
    this.#tell({ kind: 'applied', proposalId, result })
  }

  #noteEnd (jobId: string): void {
    if (this.#endedAtMs.has(jobId) || this.#state.job(jobId)?.state !== 'completed') return
    this.#endedAtMs.set(jobId, this.#clock.monotonicMs() - this.#startMs - SETTLE_MS)
  }

  #result (): BatchSimulationResult {
    const byKind = new Map(this.#options.kinds.map(kind => [kind.name, { jobs: 0, inObjective: 0, late: 0 }]))
    let owed = 0
    let earned = 0
    for (const job of this.#options.jobs) {
      const worthFactor = this.#worthFactor(job)
      const outcome = this.#outcome(job)
      const counts = byKind.get(job.kind.name) as { jobs: number, inObjective: number, late: number }
      counts.jobs++
      if (outcome !== 'not_served') counts[outcome]++
      owed += job.kind.worth * worthFactor
      if (outcome === 'inObjective') earned += job.kind.worth * worthFactor
      if (outcome === 'late') earned += job.kind.lateWorth * worthFactor
    }
    return { byKind, worthShare: earned / owed, thrownAwayCoreSeconds: this.#thrownAwayCoreMs / 1_000 }
  }

  #outcome ({ jobId, kind, arrivesAtMs, runMs }: SimulatedJob): 'inObjective' | 'late' | 'not_served' {
    const tookMs = (this.#endedAtMs.get(jobId) ?? Infinity) - arrivesAtMs
    const objectiveMs = runMs * kind.slackFactor + kind.targetLatencyMs
    if (tookMs <= objectiveMs) return 'inObjective'
    return tookMs <= objectiveMs * LATE_OBJECTIVES ? 'late' : 'not_served'
  }

  #worthFactor (job: SimulatedJob): number {
    const meanWork = job.kind.runMs * job.kind.tasks
    const factor = FIXED_WORTH_SHARE + (1 - FIXED_WORTH_SHARE) * job.runMs * job.step.taskCount / meanWork
    return Math.min(MAX_WORTH_FACTOR, factor)
  }
}

/** Time in which all workers are heard before the first job. */
const SETTLE_MS = 1_000

function lostMs ({ step }: SimulatedJob, run: SimulatedRun, atMs: number): number {
  const workedMs = atMs - (run.worksFromMs ?? run.startedMs)
  return step.isCheckpointing ? Math.min(workedMs, CHECKPOINT_LOSS_MS) : workedMs
}

/** Work since the latest checkpoint, on average. */
const CHECKPOINT_LOSS_MS = 250

function documentOf (kinds: readonly JobKind[]): QueueDocument {
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
