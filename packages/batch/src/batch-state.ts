/** The replicated state: jobs, run ends by worker, configuration, maintenance waves and evacuations. */
import { parseTaskKey, taskKey, type TaskId } from './jobs.js'
import { createJobRecord, restoreJobRecord, snapshotJobRecord, type JobRecord, type JobSnapshot } from './job-record.js'
import type {
  Assignment, BatchCommand, CommandResult, Departure, EndReason, MaintenanceWave, RecordedEnd, RunEnd,
  TaskCheckpoint,
  WorkerIncarnation
} from './commands.js'
import { assignmentKey, taskRunKey } from './run-keys.js'
import { Evacuations, type EvacuationRecord } from './evacuations.js'
import { JobTable } from './job-table.js'
import { PresumedEnds } from './presumed-ends.js'
import { QueueRegistry, type QueueRegistrySnapshot } from './queue-registry.js'
import type { QueueConfiguration, QueueDirectory } from './queues.js'
import type { StepRecord } from './step-record.js'
import { TaskContext } from './task-context.js'
import { WorkerRecords, type WorkerRecord } from './worker-records.js'

type CommandOf<K extends BatchCommand['kind']> = Extract<BatchCommand, { kind: K }>

/** A maintenance wave and its progress. */
export interface WaveRecord {
  readonly wave: MaintenanceWave
  readonly startedWallMs: number
  /** VMs whose maintenance the platform has begun, or that need none. */
  done: string[]
}

/**
 * The state in serialisable form. It shares records with the state that it was taken from or is restored to, so it is
 * valid only until the next command is applied there.
 */
export interface BatchSnapshot extends QueueRegistrySnapshot {
  readonly jobs: readonly JobSnapshot[]
  readonly workers: ReadonlyArray<readonly [string, WorkerRecord]>
  readonly waves: readonly WaveRecord[]
  /** Runs that are presumed to have ended; absent from snapshots of older versions. */
  readonly presumedEnded?: readonly Assignment[]
  /** Absent from snapshots of older versions. */
  readonly evacuations?: readonly EvacuationRecord[]
}

/** Options of {@link BatchState}. */
export interface BatchStateOptions {
  /** Time for which ended jobs and occurrences are kept. */
  readonly endedJobRetentionMs: number
}

/**
 * Deterministic state machine: the same commands at the same log times give the same state on every replica, also on
 * one that was restored from a snapshot.
 *
 * @example
 * const state = new BatchState({ endedJobRetentionMs: 300_000 })
 * state.apply({ kind: 'cancel_job', jobId: '5c0e' }, 1_000) // { kind: 'unknown_job' }
 */
export class BatchState {
  readonly #options: BatchStateOptions
  #queues = new QueueRegistry({ document: null })
  #jobs: JobTable
  #workers = new WorkerRecords([])
  readonly #runsByWorker = new Map<string, Map<string, Assignment>>()
  #presumedEnds = new PresumedEnds([])
  /** Tasks with active runs, by key: a cache for the leader, which looks these up in every pass and heartbeat. */
  readonly #activeTasks = new Map<string, TaskContext>()
  readonly #waves = new Map<string, WaveRecord>()
  #evacuations = new Evacuations([])

  constructor (options: BatchStateOptions) {
    this.#options = options
    this.#jobs = new JobTable(options, [])
  }

  /** Restores the state from a snapshot, whose records it takes over. */
  static restore (snapshot: BatchSnapshot, options: BatchStateOptions): BatchState {
    const state = new BatchState(options)
    state.#queues = new QueueRegistry(snapshot)
    state.#restoreJobs(snapshot.jobs)
    state.#workers = new WorkerRecords(snapshot.workers)
    state.#presumedEnds = new PresumedEnds(snapshot.presumedEnded ?? [])
    for (const record of snapshot.waves) state.#waves.set(record.wave.waveId, record)
    state.#evacuations = new Evacuations(snapshot.evacuations ?? [])
    return state
  }

  #restoreJobs (snapshots: readonly JobSnapshot[]): void {
    const jobs = snapshots.map(restoreJobRecord)
    this.#jobs = new JobTable(this.#options, jobs)
    for (const { spec } of jobs) for (const run of this.activeRunsOf(spec.jobId)) this.#indexRun(run)
  }

  /** Returns the state in serialisable form, for encoding before the next command is applied. */
  snapshot (): BatchSnapshot {
    return {
      ...this.#queues.snapshot(),
      jobs: Array.from(this.#jobs.all(), snapshotJobRecord),
      workers: this.#workers.entries(),
      waves: [...this.#waves.values()],
      presumedEnded: this.#presumedEnds.runs(),
      evacuations: this.#evacuations.records()
    }
  }

  /** Directory of the configuration in force, or null before the first one. */
  get directory (): QueueDirectory | null {
    return this.#queues.directory
  }

  /** Whether the regions of any job may be restricted. */
  get hasRegionRules (): boolean {
    return this.#queues.hasRegionRules
  }

  /**
   * Queue of a job, also where the configuration in force does not contain it any more. Undefined only for a job that
   * an older version accepted and whose queue was removed before the update.
   */
  queueOf (job: JobRecord): QueueConfiguration | undefined {
    return this.#queues.at(job.queueAddress)
  }

  /** An open job, or an ended one within its retention. */
  job (jobId: string): JobRecord | undefined {
    return this.#jobs.get(jobId)
  }

  /** Jobs that have not ended, in order of acceptance. */
  openJobs (): Iterable<JobRecord> {
    return this.#jobs.open()
  }

  /** Estimated memory of all jobs, also ended ones that are kept; without tasks that have started. */
  get storedJobBytes (): number {
    return this.#jobs.storedBytes
  }

  /** Memory that ended and removed jobs have freed since this process has the state. */
  get freedJobBytes (): number {
    return this.#jobs.freedBytes
  }

  /** Time until the removal of ended jobs has freed so much; `Infinity` where it will not. */
  timeUntilFreedMs (bytes: number): number {
    return this.#jobs.timeUntilFreedMs(bytes)
  }

  /** Runs that may be on a worker, of any of its incarnations. */
  runsOf (workerId: string): Iterable<Assignment> {
    return this.#runsByWorker.get(workerId)?.values() ?? []
  }

  /** Runs of a job that may be on workers. */
  activeRunsOf (jobId: string): Assignment[] {
    const runs: Assignment[] = []
    for (const [occurrence, { steps }] of this.#jobs.get(jobId)?.occurrences.withRecords() ?? []) {
      for (const [step, record] of steps.entries()) {
        for (const [index, { active }] of record.startedTasks()) {
          for (const run of active) runs.push({ ...run, taskKey: taskKey({ jobId, occurrence, step, index }) })
        }
      }
    }
    return runs
  }

  /** Whether a run may be on its worker: it was assigned, and neither has its end been recorded nor was it freed. */
  isActive (run: Assignment): boolean {
    return this.#runsByWorker.get(run.workerId)?.has(assignmentKey(run)) === true
  }

  /**
   * Whether the acknowledgement of an end would contradict the state: the run completed its task or used up an attempt,
   * but was freed before, and a later run may have started since, or the attempt would not count.
   */
  isOverruled (worker: WorkerIncarnation, end: RunEnd): boolean {
    const run = { ...worker, taskKey: end.taskKey, run: end.run }
    if (this.isActive(run) || (end.reason !== 'done' && end.reason !== 'failed')) return false
    if (this.#workers.hasCounted(worker, taskRunKey(end))) return false
    const context = this.findTask(end.taskKey)
    if (context === undefined || context.stepSpec.isLasting) return false
    if (mayHaveStartedSince(context, end.run)) return !(end.reason === 'failed' && this.#presumedEnds.has(run))
    return end.reason === 'failed' && canStartAgain(context) && !this.#presumedEnds.has(run)
  }

  /** Whether any run may be on a worker. */
  hasRuns (workerId: string): boolean {
    return this.#runsByWorker.has(workerId)
  }

  /** Workers that may have runs. */
  workersWithRuns (): Iterable<string> {
    return this.#runsByWorker.keys()
  }

  /** Sequence number of the last recorded run end of this incarnation; 0 for none. */
  lastEndSequence (worker: WorkerIncarnation): number {
    return this.#workers.lastEndSequence(worker)
  }

  /** Whether this incarnation of the worker is leaving or has left. */
  departureOf (worker: WorkerIncarnation): Departure | undefined {
    return this.#workers.departureOf(worker)
  }

  /** The latest incarnation of a worker, if it is leaving and is not known to have left. */
  leavingIncarnation (workerId: string): WorkerIncarnation | undefined {
    return this.#workers.leavingIncarnation(workerId)
  }

  /** Workers that had runs and are not known to have left, whether or not they have reported to this leader. */
  presentWorkerIds (): string[] {
    return this.#workers.presentWorkerIds()
  }

  /** Maintenance waves in order of their start. */
  waves (): Iterable<WaveRecord> {
    return this.#waves.values()
  }

  /** One maintenance wave. */
  wave (waveId: string): WaveRecord | undefined {
    return this.#waves.get(waveId)
  }

  /** Evacuations of availability zones; changed only by commands. */
  get evacuations (): Omit<Evacuations, 'start' | 'end'> {
    return this.#evacuations
  }

  /** Finds a task; undefined where its job is not known or no run of its occurrence was ever assigned. */
  findTask (key: string): TaskContext | undefined {
    const known = this.#activeTasks.get(key)
    if (known !== undefined && this.#jobs.get(known.job.spec.jobId) === known.job) return known
    return this.#lookUpTask(key)
  }

  #lookUpTask (key: string): TaskContext | undefined {
    const id = parseTaskKey(key)
    const job = id === undefined ? undefined : this.#jobs.get(id.jobId)
    if (id === undefined || job === undefined) return undefined
    const step = job.occurrences.at(id.occurrence)?.steps[id.step]
    const stepSpec = job.spec.steps[id.step]
    if (step === undefined || stepSpec === undefined || id.index >= step.taskCount) return undefined
    return new TaskContext({ job, stepSpec, step, id })
  }

  /** Applies a committed command. */
  apply (command: BatchCommand, logTimeMs: number): CommandResult {
    this.#jobs.removeExpired(logTimeMs)
    this.#workers.removeUnused(logTimeMs, workerId => this.hasRuns(workerId))
    switch (command.kind) {
      case 'put_configuration': return this.#putConfiguration(command)
      case 'submit_job': return this.#submit(command)
      case 'cancel_job': return this.#cancel(command, logTimeMs)
      case 'assign': return this.#assign(command, logTimeMs)
      case 'record_ends': return this.#recordEnds(command, logTimeMs)
      case 'release': return this.#release(command)
      case 'presume_ended': return this.#presumeEnded(command)
      case 'worker_gone': return this.#workerGone(command, logTimeMs)
      case 'record_departure': return this.#recordDeparture(command, logTimeMs)
      case 'start_wave': return this.#startWave(command)
      case 'maintenance_done': return this.#maintenanceDone(command)
      case 'start_evacuation': return this.#evacuations.start(command)
      case 'end_evacuation': return this.#evacuations.end(command)
    }
  }

  #putConfiguration ({ document }: CommandOf<'put_configuration'>): CommandResult {
    if (document.version <= (this.directory?.document.version ?? -Infinity)) return { kind: 'unchanged' }
    const openJobs = [...this.#jobs.open()]
    this.#queues.replace(document, openJobs.map(job => job.queueAddress))
    for (const job of openJobs) job.service = this.queueOf(job)?.service ?? job.service
    return { kind: 'applied' }
  }

  #submit ({ spec, queueAddress, organisation, acceptedWallMs }: CommandOf<'submit_job'>): CommandResult {
    if (this.#jobs.get(spec.jobId) !== undefined) return { kind: 'unchanged' }
    const service = this.#queues.at(queueAddress)?.service ?? ''
    const job = createJobRecord({ spec, queueAddress, organisation, acceptedWallMs, service })
    this.#jobs.add(job)
    return { kind: 'applied' }
  }

  #cancel ({ jobId }: CommandOf<'cancel_job'>, logTimeMs: number): CommandResult {
    const job = this.#jobs.get(jobId)
    if (job === undefined) return { kind: 'unknown_job' }
    if (job.state !== 'open') return { kind: 'unchanged' }
    this.#jobs.end(job, 'cancelled', logTimeMs)
    return { kind: 'applied' }
  }

  #assign ({ assignments }: CommandOf<'assign'>, logTimeMs: number): CommandResult {
    for (const assignment of assignments) this.#assignOne(assignment, logTimeMs)
    return { kind: 'applied' }
  }

  #assignOne (assignment: Assignment, logTimeMs: number): void {
    const { run, workerId, incarnation } = assignment
    const id = parseTaskKey(assignment.taskKey)
    const step = id === undefined ? undefined : this.#startedStep(id)
    if (id === undefined || step?.addRun(id.index, { run, workerId, incarnation }) === undefined) return
    this.#useWorker({ workerId, incarnation }, logTimeMs)
    this.#indexRun(assignment)
  }

  /** The step of a task of an open job, whose occurrence counts as started from now on. */
  #startedStep ({ jobId, occurrence, step }: TaskId): StepRecord | undefined {
    return this.#jobs.getOpen(jobId)?.occurrences.start(occurrence)?.steps[step]
  }

  /** A run may have been freed and its task assigned again since the command was proposed: its end is left out then. */
  #recordEnds (command: CommandOf<'record_ends'>, logTimeMs: number): CommandResult {
    const { life, ends, voidEndSequence = Infinity } = command
    const countsFreedRuns = command.voidEndSequence !== undefined
    const record = this.#useWorker(life, logTimeMs)
    if (record.incarnation !== life.incarnation) return { kind: 'unchanged' }
    const recordedEnds: RecordedEnd[] = []
    for (const end of ends) {
      if (end.sequence <= record.lastEndSequence) continue
      if (end.sequence > voidEndSequence && this.isOverruled(life, end)) break
      const isFreedRun = !this.isActive({ ...life, ...end })
      if (!this.#workers.hasCounted(life, taskRunKey(end))) recordedEnds.push({ ...end, isFreedRun })
      record.lastEndSequence = end.sequence
      this.#recordEnd(life, end, logTimeMs, countsFreedRuns)
    }
    return { kind: 'applied', recordedEnds }
  }

  #recordEnd (worker: WorkerIncarnation, end: RunEnd, logTimeMs: number, countsFreedRuns = true): void {
    const run = { ...worker, taskKey: end.taskKey, run: end.run }
    this.#workers.removeCounted(worker, taskRunKey(run))
    const context = this.findTask(end.taskKey)
    if (context === undefined) return
    const { job } = context
    if (!this.#removeRun(run)) return this.#recordFreedRunEnd(run, end.reason, context, logTimeMs, countsFreedRuns)
    if (job.state !== 'open') return
    job.hasStarted = true
    this.#saveCheckpoint(context, end.checkpoint)
    if (end.reason === 'done') this.#taskDone(context, logTimeMs)
    if (end.reason === 'failed') this.#taskFailed(context, end.run, worker.workerId, logTimeMs)
  }

  /** The work of a freed run that completed its task is not repeated where the task cannot have started since. */
  #recordFreedRunEnd (
    run: Assignment, reason: EndReason, context: TaskContext, logTimeMs: number, countsFreedRuns: boolean
  ): void {
    const isPresumed = this.#presumedEnds.remove(run)
    if (context.job.state !== 'open') return
    if (reason === 'failed' && isPresumed) this.#taskFailed(context, run.run, run.workerId, logTimeMs)
    if (reason === 'done' && countsFreedRuns && !mayHaveStartedSince(context, run.run)) this.#taskDone(context, logTimeMs)
  }

  #taskDone ({ job, stepSpec, step, id }: TaskContext, logTimeMs: number): void {
    if (stepSpec.isLasting) return
    if (stepSpec.isGang) step.completeAll()
    else step.complete(id.index)
    job.occurrences.settle(id.occurrence, { logTimeMs, retentionMs: this.#options.endedJobRetentionMs })
    if (job.occurrences.isDone) this.#jobs.end(job, 'completed', logTimeMs)
  }

  #taskFailed (context: TaskContext, run: number, workerId: string, logTimeMs: number): void {
    const { job, stepSpec, step, id } = context
    step.addFailedWorker(id.index, workerId)
    if (stepSpec.isLasting) return
    if (stepSpec.isGang && run <= step.lastFailedRun) return
    step.lastFailedRun = Math.max(step.lastFailedRun, run)
    for (const index of context.memberIndexes()) step.addFailure(index)
    const maxAttempts = this.queueOf(job)?.maxAttempts ?? Infinity
    const { task } = context
    if (task.failures >= maxAttempts && !task.isDone) this.#jobs.end(job, 'failed', logTimeMs)
  }

  /** A checkpoint of any gang member applies to all members, which must start from the same one. */
  #saveCheckpoint (context: TaskContext, checkpoint: string): void {
    if (checkpoint === '') return
    for (const index of context.memberIndexes()) context.step.saveCheckpoint(index, checkpoint)
  }

  #release ({ runs }: CommandOf<'release'>): CommandResult {
    for (const run of runs) this.#removeRun(run)
    return { kind: 'applied' }
  }

  /** The tasks can run again. A failure that is reported later still counts as an attempt. */
  #presumeEnded ({ runs }: CommandOf<'presume_ended'>): CommandResult {
    for (const run of runs) if (this.#removeRun(run)) this.#presumedEnds.add(run)
    return { kind: 'applied' }
  }

  #workerGone (command: CommandOf<'worker_gone'>, logTimeMs: number): CommandResult {
    const { life, checkpoints, ends = [] } = command
    const counted = ends.filter(end => {
      const run = { ...life, ...end }
      return this.isActive(run) || this.#presumedEnds.has(run)
    })
    for (const end of counted) this.#recordEnd(life, end, logTimeMs)
    this.#workers.addCounted(life, counted.map(taskRunKey))
    this.#removeRunsBefore(life.workerId, life.incarnation + 1)
    for (const { taskKey, checkpoint } of checkpoints) this.#restoreCheckpoint({ taskKey, checkpoint })
    return { kind: 'applied', recordedEnds: counted.map(end => ({ ...end, isFreedRun: false })) }
  }

  #restoreCheckpoint ({ taskKey, checkpoint }: TaskCheckpoint): void {
    const context = this.findTask(taskKey)
    if (context !== undefined) this.#saveCheckpoint(context, checkpoint)
  }

  #startWave ({ wave, startedWallMs }: CommandOf<'start_wave'>): CommandResult {
    if (this.#waves.has(wave.waveId)) return { kind: 'unchanged' }
    this.#waves.set(wave.waveId, { wave, startedWallMs, done: [] })
    return { kind: 'applied' }
  }

  #maintenanceDone ({ waveId, vmId }: CommandOf<'maintenance_done'>): CommandResult {
    const record = this.#waves.get(waveId)
    if (record === undefined || record.done.includes(vmId)) return { kind: 'unchanged' }
    record.done.push(vmId)
    return { kind: 'applied' }
  }

  /** A worker that has left does not count as leaving again. */
  #recordDeparture ({ life, departure }: CommandOf<'record_departure'>, logTimeMs: number): CommandResult {
    const record = this.#useWorker(life, logTimeMs)
    if (record.incarnation !== life.incarnation || record.departure === 'left') return { kind: 'unchanged' }
    record.departure = departure
    return { kind: 'applied' }
  }

  /** Returns the record of a worker. The runs of earlier incarnations ended with these and are removed. */
  #useWorker (worker: WorkerIncarnation, logTimeMs: number): WorkerRecord {
    const record = this.#workers.use(worker, logTimeMs)
    this.#removeRunsBefore(worker.workerId, record.incarnation)
    return record
  }

  #removeRunsBefore (workerId: string, incarnation: number): void {
    this.#presumedEnds.removeBefore(workerId, incarnation)
    for (const run of [...this.runsOf(workerId)]) if (run.incarnation < incarnation) this.#removeRun(run)
  }

  #indexRun (assignment: Assignment): void {
    const runs = this.#runsByWorker.get(assignment.workerId) ?? new Map<string, Assignment>()
    runs.set(assignmentKey(assignment), assignment)
    this.#runsByWorker.set(assignment.workerId, runs)
    const context = this.#lookUpTask(assignment.taskKey)
    if (context !== undefined) this.#activeTasks.set(assignment.taskKey, context)
  }

  #removeRun (assignment: Assignment): boolean {
    const runs = this.#runsByWorker.get(assignment.workerId)
    if (runs === undefined || !runs.delete(assignmentKey(assignment))) return false
    if (runs.size === 0) this.#runsByWorker.delete(assignment.workerId)
    const context = this.findTask(assignment.taskKey)
    context?.step.removeRun(context.id.index, assignment)
    if (context === undefined || context.task.active.length === 0) this.#activeTasks.delete(assignment.taskKey)
    return true
  }
}

/** Whether a later run of a task was assigned; for a member of a gang, of any member. */
function mayHaveStartedSince ({ stepSpec, step, task }: TaskContext, run: number): boolean {
  return (stepSpec.isGang ? step.highestRun : task.lastRun) > run
}

function canStartAgain ({ job, task }: TaskContext): boolean {
  return job.state === 'open' && !task.isDone
}
