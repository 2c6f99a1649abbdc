/** The replicated state: jobs, run ends by worker, configuration and maintenance waves. */
import { parseTaskKey, taskKey, type StepSpec, type TaskId } from './jobs.js'
import {
  createJobRecord, createOccurrence, isJobDone, type ActiveRun, type JobRecord, type OccurrenceRecord,
  type StepRecord, type TaskRecord
} from './job-record.js'
import type {
  Assignment, BatchCommand, CommandResult, Departure, MaintenanceWave, RunEnd, TaskCheckpoint, WorkerIncarnation
} from './commands.js'
import { QueueDirectory, type QueueDocument } from './queues.js'

type CommandOf<K extends BatchCommand['kind']> = Extract<BatchCommand, { kind: K }>

/** The latest incarnation of a worker that a command named, and the last of its run ends that is recorded. */
interface WorkerRecord {
  readonly incarnation: number
  lastEndSequence: number
  departure?: Departure
  /** Log time of the latest command that named the worker; absent from records of older versions. */
  usedLogMs?: number
}

/** A maintenance wave and its progress. */
export interface WaveRecord {
  readonly wave: MaintenanceWave
  readonly startedWallMs: number
  /** VMs whose maintenance the platform has begun, or that need none. */
  done: string[]
}

/**
 * The state in serialisable form. It shares its records with the state that it was taken from or is restored to, so it
 * is valid only until the next command is applied there.
 */
export interface BatchSnapshot {
  readonly document: QueueDocument | null
  readonly jobs: readonly JobRecord[]
  readonly workers: ReadonlyArray<readonly [string, WorkerRecord]>
  readonly waves: readonly WaveRecord[]
}

/** A task with its step and job. */
export interface TaskContext {
  readonly job: JobRecord
  readonly stepSpec: StepSpec
  readonly step: StepRecord
  readonly task: TaskRecord
}

/** Number of most recent failed workers kept per task, so that its next run avoids them. */
const MAX_FAILED_WORKERS_PER_TASK = 4
/** Time for which the record of a worker without runs is kept; far longer than a message can be delayed. */
const WORKER_RETENTION_MS = 86_400_000

/**
 * Deterministic state machine: the same commands at the same log times give the same state on every replica, except
 * that a restored replica may keep some ended jobs for longer.
 *
 * @example
 * const state = new BatchState({ endedJobRetentionMs: 300_000 })
 * state.apply({ kind: 'cancel_job', jobId: '5c0e' }, 1_000) // { kind: 'unknown_job' }
 */
export class BatchState {
  readonly #endedJobRetentionMs: number
  #directory: QueueDirectory | null = null
  readonly #jobs = new Map<string, JobRecord>()
  readonly #openJobs = new Map<string, JobRecord>()
  /**
   * In order of end; jobs that a snapshot contained are in order of acceptance, and one that ended late delays the
   * removal of those behind it.
   */
  readonly #endedJobs: JobRecord[] = []
  /** In order of their latest use. */
  readonly #workers = new Map<string, WorkerRecord>()
  readonly #runsByWorker = new Map<string, Map<string, Assignment>>()
  /** Tasks with active runs, by key: a cache for the leader, which looks these up in every pass and heartbeat. */
  readonly #activeTasks = new Map<string, TaskContext>()
  readonly #waves = new Map<string, WaveRecord>()

  constructor (options: { readonly endedJobRetentionMs: number }) {
    this.#endedJobRetentionMs = options.endedJobRetentionMs
  }

  /** Restores the state from a snapshot, whose records it takes over. */
  static restore (snapshot: BatchSnapshot, options: { readonly endedJobRetentionMs: number }): BatchState {
    const state = new BatchState(options)
    state.#directory = snapshot.document === null ? null : new QueueDirectory(snapshot.document)
    for (const job of snapshot.jobs) state.#restoreJob(job)
    for (const [workerId, record] of snapshot.workers) state.#workers.set(workerId, record)
    for (const record of snapshot.waves) state.#waves.set(record.wave.waveId, record)
    return state
  }

  #restoreJob (job: JobRecord): void {
    this.#jobs.set(job.spec.jobId, job)
    if (job.state === 'open') this.#openJobs.set(job.spec.jobId, job)
    else this.#endedJobs.push(job)
    for (const run of this.activeRunsOf(job.spec.jobId)) this.#indexRun(run)
  }

  /** Returns the state in serialisable form, for encoding before the next command is applied. */
  snapshot (): BatchSnapshot {
    return {
      document: this.#directory?.document ?? null,
      jobs: [...this.#jobs.values()],
      workers: [...this.#workers],
      waves: [...this.#waves.values()]
    }
  }

  /** Directory of the configuration in force, or null before the first one. */
  get directory (): QueueDirectory | null {
    return this.#directory
  }

  /** An open job, or an ended one within its retention. */
  job (jobId: string): JobRecord | undefined {
    return this.#jobs.get(jobId)
  }

  /** Jobs that have not ended, in order of acceptance. */
  openJobs (): Iterable<JobRecord> {
    return this.#openJobs.values()
  }

  /** Runs that may be on a worker, of any of its incarnations. */
  runsOf (workerId: string): Iterable<Assignment> {
    return this.#runsByWorker.get(workerId)?.values() ?? []
  }

  /** Runs of a job that may be on workers. */
  activeRunsOf (jobId: string): Assignment[] {
    const { occurrences = [] } = this.#jobs.get(jobId) ?? {}
    return occurrences.flatMap((occurrence, occurrenceIndex) => occurrence?.steps.flatMap((step, stepIndex) =>
      step.tasks.flatMap((task, index) => {
        const key = taskKey({ jobId, occurrence: occurrenceIndex, step: stepIndex, index })
        return task.active.map(run => ({ ...run, taskKey: key }))
      })) ?? [])
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
    const record = this.#workers.get(worker.workerId)
    return record?.incarnation === worker.incarnation ? record.lastEndSequence : 0
  }

  /**
   * Whether this incarnation of the worker is leaving or has left; an earlier one than the latest that is known has
   * left.
   */
  departureOf ({ workerId, incarnation }: WorkerIncarnation): Departure | undefined {
    const record = this.#workers.get(workerId)
    if (record === undefined || record.incarnation < incarnation) return undefined
    return record.incarnation > incarnation ? 'left' : record.departure
  }

  /** Maintenance waves in order of their start. */
  waves (): Iterable<WaveRecord> {
    return this.#waves.values()
  }

  /** One maintenance wave. */
  wave (waveId: string): WaveRecord | undefined {
    return this.#waves.get(waveId)
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
    const step = job.occurrences[id.occurrence]?.steps[id.step]
    const task = step?.tasks[id.index]
    const stepSpec = job.spec.steps[id.step]
    if (step === undefined || task === undefined || stepSpec === undefined) return undefined
    return { job, stepSpec, step, task }
  }

  /** Applies a committed command. */
  apply (command: BatchCommand, logTimeMs: number): CommandResult {
    this.#removeExpiredJobs(logTimeMs)
    this.#removeUnusedWorkers(logTimeMs)
    switch (command.kind) {
      case 'put_configuration': return this.#putConfiguration(command)
      case 'submit_job': return this.#submit(command)
      case 'cancel_job': return this.#cancel(command, logTimeMs)
      case 'assign': return this.#assign(command, logTimeMs)
      case 'record_ends': return this.#recordEnds(command, logTimeMs)
      case 'release': return this.#release(command)
      case 'worker_gone': return this.#workerGone(command)
      case 'record_departure': return this.#recordDeparture(command, logTimeMs)
      case 'start_wave': return this.#startWave(command)
      case 'maintenance_done': return this.#maintenanceDone(command)
    }
  }

  #putConfiguration ({ document }: CommandOf<'put_configuration'>): CommandResult {
    if (document.version <= (this.#directory?.document.version ?? -Infinity)) return { kind: 'unchanged' }
    const directory = new QueueDirectory(document)
    this.#directory = directory
    for (const job of this.#openJobs.values()) job.service = directory.at(job.queueAddress)?.service ?? job.service
    return { kind: 'applied' }
  }

  #submit ({ spec, queueAddress, organisation, acceptedWallMs }: CommandOf<'submit_job'>): CommandResult {
    if (this.#jobs.has(spec.jobId)) return { kind: 'unchanged' }
    const service = this.#directory?.at(queueAddress)?.service ?? ''
    const job = createJobRecord({ spec, queueAddress, organisation, acceptedWallMs, service })
    this.#jobs.set(spec.jobId, job)
    this.#openJobs.set(spec.jobId, job)
    return { kind: 'applied' }
  }

  #cancel ({ jobId }: CommandOf<'cancel_job'>, logTimeMs: number): CommandResult {
    const job = this.#jobs.get(jobId)
    if (job === undefined) return { kind: 'unknown_job' }
    if (job.state !== 'open') return { kind: 'unchanged' }
    this.#endJob(job, 'cancelled', logTimeMs)
    return { kind: 'applied' }
  }

  #assign ({ assignments }: CommandOf<'assign'>, logTimeMs: number): CommandResult {
    for (const assignment of assignments) this.#assignOne(assignment, logTimeMs)
    return { kind: 'applied' }
  }

  #assignOne (assignment: Assignment, logTimeMs: number): void {
    const { run, workerId, incarnation } = assignment
    const id = parseTaskKey(assignment.taskKey)
    const task = id === undefined ? undefined : this.#findOrCreateTask(id)
    if (task === undefined || task.isDone || run <= task.lastRun) return
    this.#useWorker({ workerId, incarnation }, logTimeMs)
    task.lastRun = run
    task.active.push({ run, workerId, incarnation })
    this.#indexRun(assignment)
  }

  #findOrCreateTask (id: TaskId): TaskRecord | undefined {
    const job = this.#openJobs.get(id.jobId)
    if (job === undefined || id.occurrence >= job.occurrences.length) return undefined
    const occurrence: OccurrenceRecord = job.occurrences[id.occurrence] ??= createOccurrence(job.spec)
    return occurrence.steps[id.step]?.tasks[id.index]
  }

  #recordEnds ({ life, ends }: CommandOf<'record_ends'>, logTimeMs: number): CommandResult {
    const record = this.#useWorker(life, logTimeMs)
    if (record.incarnation !== life.incarnation) return { kind: 'unchanged' }
    for (const end of ends) {
      if (end.sequence <= record.lastEndSequence) continue
      record.lastEndSequence = end.sequence
      this.#recordEnd(life, end, logTimeMs)
    }
    return { kind: 'applied' }
  }

  #recordEnd (worker: WorkerIncarnation, end: RunEnd, logTimeMs: number): void {
    const context = this.findTask(end.taskKey)
    if (context === undefined || !this.#removeRun({ ...worker, taskKey: end.taskKey, run: end.run })) return
    const { job, stepSpec, step, task } = context
    if (job.state !== 'open') return
    job.hasStarted = true
    this.#saveCheckpoint(stepSpec, step, task, end.checkpoint)
    if (end.reason === 'done') this.#taskDone(context, logTimeMs)
    if (end.reason === 'failed') this.#taskFailed(context, end.run, worker.workerId, logTimeMs)
  }

  #taskDone ({ job, stepSpec, step, task }: TaskContext, logTimeMs: number): void {
    if (stepSpec.isLasting) return
    for (const member of stepSpec.isGang ? step.tasks : [task]) member.isDone = true
    if (isJobDone(job)) this.#endJob(job, 'completed', logTimeMs)
  }

  #taskFailed ({ job, stepSpec, step, task }: TaskContext, run: number, workerId: string, logTimeMs: number): void {
    task.failedOn = [...task.failedOn, workerId].slice(-MAX_FAILED_WORKERS_PER_TASK)
    if (stepSpec.isLasting) return
    if (stepSpec.isGang && run <= step.lastFailedRun) return
    step.lastFailedRun = Math.max(step.lastFailedRun, run)
    for (const member of stepSpec.isGang ? step.tasks : [task]) member.failures++
    const maxAttempts = this.#directory?.at(job.queueAddress)?.maxAttempts ?? Infinity
    if (task.failures >= maxAttempts && !task.isDone) this.#endJob(job, 'failed', logTimeMs)
  }

  /** A checkpoint of any gang member applies to all members, which must start from the same one. */
  #saveCheckpoint (stepSpec: StepSpec, step: StepRecord, task: TaskRecord, checkpoint: string): void {
    if (checkpoint === '') return
    for (const member of stepSpec.isGang ? step.tasks : [task]) member.checkpoint = checkpoint
  }

  #release ({ runs }: CommandOf<'release'>): CommandResult {
    for (const run of runs) this.#removeRun(run)
    return { kind: 'applied' }
  }

  #workerGone ({ life, checkpoints }: CommandOf<'worker_gone'>): CommandResult {
    for (const run of [...this.runsOf(life.workerId)]) {
      if (run.incarnation <= life.incarnation) this.#removeRun(run)
    }
    for (const { taskKey, checkpoint } of checkpoints) this.#restoreCheckpoint({ taskKey, checkpoint })
    return { kind: 'applied' }
  }

  #restoreCheckpoint ({ taskKey, checkpoint }: TaskCheckpoint): void {
    const context = this.findTask(taskKey)
    if (context !== undefined) this.#saveCheckpoint(context.stepSpec, context.step, context.task, checkpoint)
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

  /**
   * Returns the record of a worker, which is that of a later incarnation where one is known. A newer incarnation
   * replaces the record; the runs of earlier ones ended with these and are removed.
   */
  #useWorker ({ workerId, incarnation }: WorkerIncarnation, logTimeMs: number): WorkerRecord {
    const known = this.#workers.get(workerId)
    const isNewer = known === undefined || known.incarnation < incarnation
    const record: WorkerRecord = isNewer ? { incarnation, lastEndSequence: 0 } : known
    record.usedLogMs = logTimeMs
    this.#workers.delete(workerId)
    this.#workers.set(workerId, record)
    if (isNewer) this.#removeRunsBefore(workerId, incarnation)
    return record
  }

  #removeRunsBefore (workerId: string, incarnation: number): void {
    for (const run of [...this.runsOf(workerId)]) if (run.incarnation < incarnation) this.#removeRun(run)
  }

  /** Removes the records of workers that no command has named for long; the first one was used the longest ago. */
  #removeUnusedWorkers (logTimeMs: number): void {
    for (const [workerId, record] of this.#workers) {
      record.usedLogMs ??= logTimeMs
      if (logTimeMs - record.usedLogMs <= WORKER_RETENTION_MS) return
      if (this.hasRuns(workerId)) this.#useWorker({ workerId, incarnation: record.incarnation }, logTimeMs)
      else this.#workers.delete(workerId)
    }
  }

  #endJob (job: JobRecord, state: 'completed' | 'failed' | 'cancelled', logTimeMs: number): void {
    job.state = state
    job.endedLogMs = logTimeMs
    this.#openJobs.delete(job.spec.jobId)
    this.#endedJobs.push(job)
  }

  /** Removes jobs that ended longer ago than the retention. */
  #removeExpiredJobs (logTimeMs: number): void {
    let first = this.#endedJobs[0]
    while (first !== undefined && logTimeMs - first.endedLogMs > this.#endedJobRetentionMs) {
      this.#jobs.delete(first.spec.jobId)
      this.#endedJobs.shift()
      first = this.#endedJobs[0]
    }
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
    const task = this.findTask(assignment.taskKey)?.task
    if (task !== undefined) task.active = task.active.filter(active => !isSameRun(active, assignment))
    if (task === undefined || task.active.length === 0) this.#activeTasks.delete(assignment.taskKey)
    return true
  }
}

function isSameRun (active: ActiveRun, assignment: Assignment): boolean {
  return active.run === assignment.run && active.workerId === assignment.workerId &&
    active.incarnation === assignment.incarnation
}

/**
 * Key of a run of a task. The run numbers of a task are never reused, so it is unique among the runs of all workers.
 *
 * @example
 * taskRunKey({ taskKey: '5c0e.0.0.0', run: 2 }) // '5c0e.0.0.0#2'
 */
export function taskRunKey ({ taskKey, run }: Pick<Assignment, 'taskKey' | 'run'>): string {
  return `${taskKey}#${run}`
}

/**
 * Key of an assignment: the key of the run and the incarnation of its worker. The worker's ID is not part of it, since
 * the key of the run is unique already.
 *
 * @example
 * assignmentKey({ taskKey: '5c0e.0.0.0', run: 2, workerId: 'w1', incarnation: 9 }) // '5c0e.0.0.0#2@9'
 */
export function assignmentKey ({ taskKey, run, incarnation }: Assignment): string {
  return `${taskRunKey({ taskKey, run })}@${incarnation}`
}
