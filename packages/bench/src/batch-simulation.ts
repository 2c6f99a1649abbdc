/** Simulates the batch scheduler: the production leader on a manual clock, simulated workers, delayed commits. */
import { ManualClock, NullMetrics, Random, StrictEventLog } from '@comfreygrade/core'
import {
  adaptivePolicies, BatchLeader, BatchState, defaultBatchSettings, jobIdOf, parseTaskKey, plainPolicies,
  type BatchPolicies, type BatchSettings, type EndReason, type LeaderEffect, type LeaderEvent, type PolicyContext,
  type QueueDocument, type WorkerOrders, type WorkerReport
} from '@comfreygrade/batch'
import {
  defaultDemand, defaultFleetShape, INITIAL_JOBS_MS, type FleetShape, type JobKind, type SimulatedJob
} from './batch-load.js'
import { BatchMeasures, type BatchSimulationResult, type WasteCause } from './batch-measures.js'
import type { HeartbeatNetwork, WorkerCut, WorkerLoss } from './batch-patterns.js'
import { CHECKPOINT_INTERVAL_MS, RunListener, SimulatedWorker, type SimulatedRun } from './batch-worker.js'

/** The policies of the leader: those that learn nothing, or those that learn from the load. */
export type PolicyChoice = 'plain' | 'adaptive'

/** Options of {@link simulateBatch}. */
export interface BatchSimulationOptions {
  readonly seed: number
  readonly workers: number
  readonly kinds: readonly JobKind[]
  readonly jobs: readonly SimulatedJob[]
  readonly network: HeartbeatNetwork
  readonly cuts: readonly WorkerCut[]
  readonly losses: readonly WorkerLoss[]
  readonly settings?: Partial<BatchSettings>
  /** Default: plain. */
  readonly policies?: PolicyChoice
  readonly fleet?: FleetShape
  /** Number of organisations; default: that of the default demand. */
  readonly organisations?: number
  /** Jobs that have not ended by this time count as not served. */
  readonly endsAtMs: number
}

const STEP_MS = 10
const COMMIT_DELAY_MS = 15
/** Factor on the run time of a same-rack gang that was placed on several racks. */
const CROSS_RACK_RUN_FACTOR = 3
/** The zones are named by letters. */
const FIRST_ZONE_CODE = 'a'.charCodeAt(0)
const HOST = 'simulated.example'
/** Time for the first heartbeat of every worker to arrive before the first job. */
const FIRST_HEARTBEATS_MS = 1_000
/** Time from the start of the simulation to the beginning of the arrivals. */
const ARRIVALS_START_MS = FIRST_HEARTBEATS_MS + INITIAL_JOBS_MS
/** Mean work lost since the latest checkpoint. */
const MEAN_CHECKPOINT_LOSS_MS = CHECKPOINT_INTERVAL_MS / 2
/** Delay of a heartbeat that its worker has given up when it arrives. */
const LATE_HEARTBEAT_MS = 2_000

/**
 * Simulates the jobs on a fleet of workers.
 *
 * @example
 * const jobs = drawJobs(7, pattern.kinds, 30_000, pattern.peaks)
 * simulateBatch({ ...pattern, seed: 7, jobs, endsAtMs: 60_000 }).servedValueShare
 */
export function simulateBatch (options: BatchSimulationOptions): BatchSimulationResult {
  return new BatchSimulation(options).run()
}

class BatchSimulation extends RunListener {
  readonly #options: BatchSimulationOptions
  readonly #clock = new ManualClock(1_000_000, 1_700_000_000_000)
  readonly #random: Random
  readonly #measures = new BatchMeasures()
  readonly #state: BatchState
  readonly #leader: BatchLeader
  readonly #workers: SimulatedWorker[]
  readonly #delayMs = new Map<SimulatedWorker, number>()
  readonly #jobs: ReadonlyMap<string, SimulatedJob>
  readonly #membersByRun = new Map<string, Array<{ worker: SimulatedWorker, run: SimulatedRun }>>()
  readonly #replies = new Map<string, (orders: WorkerOrders | undefined) => void>()
  readonly #startMs: number
  /** Events by the step in which they are due. */
  readonly #eventsByStepMs = new Map<number, Array<() => void>>()
  #requestCount = 0

  constructor (options: BatchSimulationOptions) {
    super()
    this.#options = options
    this.#random = new Random(options.seed)
    this.#startMs = this.#clock.monotonicMs()
    const settings = { ...defaultBatchSettings, ...options.settings }
    this.#jobs = new Map(options.jobs.map(job => [job.jobId, job]))
    this.#state = new BatchState(settings)
    const document = queueDocument(options.kinds, options.organisations ?? defaultDemand.organisations)
    this.#state.apply({ kind: 'put_configuration', document }, 0)
    this.#workers = this.#createWorkers(options.fleet ?? defaultFleetShape)
    const context = { settings, clock: this.#clock, metrics: new NullMetrics(), log: new StrictEventLog() }
    const policies = createPolicies(options.policies ?? 'plain', context)
    this.#leader = new BatchLeader({ ...context, term: 1, state: this.#state, policies })
  }

  run (): BatchSimulationResult {
    const { jobs, kinds, losses, endsAtMs } = this.#options
    for (const loss of losses) this.#after(ARRIVALS_START_MS + loss.atMs, () => { this.#loseWorkers(loss) })
    for (const job of jobs) this.#after(ARRIVALS_START_MS + job.arrivesAtMs, () => { this.#submit(job) })
    while (this.#elapsedMs < endsAtMs) this.#step()
    return this.#measures.result(jobs.filter(job => job.arrivesAtMs >= 0), kinds)
  }

  override isCheckpointing (taskKey: string): boolean {
    return this.#jobOf(taskKey).step.isCheckpointing
  }

  override runStarted (worker: SimulatedWorker, run: SimulatedRun): void {
    const job = this.#jobOf(run.taskKey)
    if (!job.step.isGang) return this.#startWork([{ worker, run }], 1)
    const members = this.#membersOf(run)
    members.push({ worker, run })
    if (members.length < job.step.taskCount) return
    const racks = new Set(members.map(member => member.worker.identity.rack))
    this.#startWork(members, job.step.isSameRack && racks.size > 1 ? CROSS_RACK_RUN_FACTOR : 1)
  }

  override runEnded (_worker: SimulatedWorker, run: SimulatedRun, reason: EndReason, atMs: number): void {
    const job = this.#jobOf(run.taskKey)
    this.#recordWaste(job, run, reason, atMs)
    if (!job.step.isGang) return
    const members = this.#membersOf(run)
    this.#membersByRun.delete(gangRunKey(run))
    for (const member of members) member.worker.end(member.run, reason === 'done' ? 'done' : 'broken', atMs)
  }

  #recordWaste (job: SimulatedJob, run: SimulatedRun, reason: EndReason, atMs: number): void {
    const workStartedMs = run.workStartedMs ?? atMs
    this.#measures.recordWaste('waiting', job, workStartedMs - run.startedMs)
    if (reason === 'done') return
    const workedMs = atMs - workStartedMs
    const lostMs = job.step.isCheckpointing ? Math.min(workedMs, MEAN_CHECKPOINT_LOSS_MS) : workedMs
    this.#measures.recordWaste(reason as WasteCause, job, lostMs)
  }

  /** Sets when the members end: all when the last one has done its work, or when the first one fails. */
  #startWork (members: ReadonlyArray<{ worker: SimulatedWorker, run: SimulatedRun }>, runFactor: number): void {
    for (const { worker, run } of members) this.#setEnd(worker, run, runFactor)
    const endsAtMs = Math.max(...members.map(({ run }) => run.endsAtMs))
    for (const { run } of members) if (run.endReason === 'done') run.endsAtMs = endsAtMs
  }

  #setEnd (worker: SimulatedWorker, run: SimulatedRun, runFactor: number): void {
    const { runMs, taskFactors, failures } = this.#jobOf(run.taskKey)
    const index = parseTaskKey(run.taskKey)?.index ?? 0
    run.workMs = runMs * (taskFactors[index] ?? 1) * runFactor / worker.speed
    run.workStartedMs = this.#nowMs
    const remainingMs = Math.max(STEP_MS, run.workMs - run.resumedWorkMs)
    const failsAfterShare = run.run === 1 ? failures.get(index) : undefined
    run.endReason = failsAfterShare === undefined ? 'done' : 'failed'
    run.endsAtMs = this.#nowMs + remainingMs * (failsAfterShare ?? 1)
  }

  #membersOf (run: SimulatedRun): Array<{ worker: SimulatedWorker, run: SimulatedRun }> {
    const key = gangRunKey(run)
    const members = this.#membersByRun.get(key) ?? []
    this.#membersByRun.set(key, members)
    return members
  }

  #jobOf (taskKey: string): SimulatedJob {
    return this.#jobs.get(jobIdOf(taskKey)) as SimulatedJob
  }

  #createWorkers ({ workerSpeeds, workersPerRack, zones, workerCapacity }: FleetShape): SimulatedWorker[] {
    return Array.from({ length: this.#options.workers }, (_, index) => {
      const speed = workerSpeeds[this.#random.nextInt(0, workerSpeeds.length - 1)] as number
      const firstMs = this.#startMs + this.#random.nextInt(0, FIRST_HEARTBEATS_MS / 2)
      const rackIndex = Math.floor(index / workersPerRack)
      const zone = String.fromCharCode(FIRST_ZONE_CODE + rackIndex % zones)
      const identity = { workerId: `w${index}`, rack: `r${rackIndex}`, zone, capacity: workerCapacity }
      const worker = new SimulatedWorker(identity, speed, firstMs, this)
      this.#delayMs.set(worker, this.#random.nextInt(0, this.#options.network.maxDelayMs))
      return worker
    })
  }

  get #nowMs (): number {
    return this.#clock.monotonicMs()
  }

  /** Time since the beginning of the arrivals. */
  get #elapsedMs (): number {
    return this.#nowMs - this.#startMs - ARRIVALS_START_MS
  }

  #after (delayMs: number, run: () => void): void {
    const stepMs = Math.max(Math.ceil((this.#nowMs + delayMs) / STEP_MS), this.#nowMs / STEP_MS + 1) * STEP_MS
    const events = this.#eventsByStepMs.get(stepMs) ?? []
    this.#eventsByStepMs.set(stepMs, events)
    events.push(run)
  }

  #step (): void {
    this.#clock.advance(STEP_MS)
    for (const run of this.#eventsByStepMs.get(this.#nowMs) ?? []) run()
    this.#eventsByStepMs.delete(this.#nowMs)
    for (const worker of this.#workers) this.#advanceWorker(worker)
    this.#handle({ kind: 'tick' })
  }

  #advanceWorker (worker: SimulatedWorker): void {
    worker.advance(this.#nowMs)
    const report = worker.heartbeat(this.#nowMs)
    if (report === undefined || this.#isCutOff(worker)) return
    const isLate = this.#random.nextFloat() < this.#options.network.lateShare
    this.#after(isLate ? LATE_HEARTBEAT_MS : this.#delayMs.get(worker) ?? 0, () => { this.#deliver(worker, report) })
  }

  #deliver (worker: SimulatedWorker, report: WorkerReport): void {
    const requestId = `h${++this.#requestCount}`
    this.#replies.set(requestId, orders => {
      if (this.#isCutOff(worker)) return
      this.#after(this.#delayMs.get(worker) ?? 0, () => { worker.applyOrders(report.sequence, orders, this.#nowMs) })
    })
    this.#handle({ kind: 'report', requestId, report })
  }

  /** The last workers of the fleet are lost. */
  #loseWorkers ({ share }: WorkerLoss): void {
    const lostCount = Math.round(share * this.#workers.length)
    for (const worker of this.#workers.slice(-lostCount)) worker.crash(this.#nowMs)
  }

  /** The first workers of the fleet are cut off. */
  #isCutOff (worker: SimulatedWorker): boolean {
    return this.#options.cuts.some(({ share, fromMs, toMs }) => this.#elapsedMs >= fromMs && this.#elapsedMs < toMs &&
      this.#workers.indexOf(worker) < share * this.#workers.length)
  }

  #submit ({ jobId, kind, organisationIndex, step, stepCount }: SimulatedJob): void {
    const steps = Array.from({ length: stepCount }, (_, index) =>
      ({ ...step, dependsOn: index === 0 ? [] : [index - 1] }))
    const request = { host: HOST, path: `${kind.pathPrefix}${jobId}`, apiKey: `key-${organisationIndex}` }
    this.#handle({
      kind: 'operation',
      requestId: `s${++this.#requestCount}`,
      operation: { kind: 'submit', request, spec: { payload: '', steps } }
    })
  }

  #handle (event: LeaderEvent): void {
    for (const effect of this.#leader.handle(event)) {
      if (effect.kind === 'propose') this.#after(COMMIT_DELAY_MS, () => { this.#commit(effect) })
      if (effect.kind !== 'reply_worker') continue
      this.#replies.get(effect.requestId)?.(effect.orders)
      this.#replies.delete(effect.requestId)
    }
  }

  #commit ({ proposalId, command }: Extract<LeaderEffect, { kind: 'propose' }>): void {
    const result = this.#state.apply(command, this.#nowMs)
    if (command.kind === 'record_ends') for (const end of command.ends) this.#recordEnd(jobIdOf(end.taskKey))
    this.#handle({ kind: 'applied', proposalId, result })
  }

  #recordEnd (jobId: string): void {
    if (this.#state.job(jobId)?.state !== 'completed') return
    this.#measures.recordJobEnd(jobId, this.#elapsedMs)
  }
}

function gangRunKey ({ taskKey, run }: SimulatedRun): string {
  return `${jobIdOf(taskKey)}#${run}`
}

function createPolicies (choice: PolicyChoice, context: PolicyContext): BatchPolicies {
  return choice === 'adaptive' ? adaptivePolicies(context) : plainPolicies()
}

/** Returns one queue per job kind, and the organisations from which `drawJobs` draws. */
function queueDocument (kinds: readonly JobKind[], organisationCount: number): QueueDocument {
  const organisations = Array.from({ length: organisationCount }, (_, index) => ({
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
