/** The replicated state of jobs, workers' ends, configuration and maintenance. */
import { parseTaskKey, type StepSpec, type TaskId } from './jobs.js'
import {
  createJobRecord, createOccurrence, isJobDone, type ActiveRun, type JobRecord, type OccurrenceRecord,
  type StepRecord, type TaskRecord
} from './job-record.js'
import type {
  Assignment, BatchCommand, CommandResult, MaintenanceWave, RunEnd, TaskCheckpoint, WorkerLife
} from './commands.js'
import { QueueDirectory, type QueueDocument } from './queues.js'

type CommandOf<K extends BatchCommand['kind']> = Extract<BatchCommand, { kind: K }>

/** Ends of one life of a worker. */
interface WorkerRecord {
  incarnation: number
  lastEndSequence: number
}

/** A maintenance wave and how far it is. */
export interface WaveRecord {
  readonly wave: MaintenanceWave
  readonly startedWallMs: number
  /** VMs whose maintenance the platform has begun. */
  done: string[]
}

/** Serialised state. */
export interface BatchSnapshot {
  readonly document: QueueDocument | null
  readonly jobs: readonly JobRecord[]
  readonly workers: ReadonlyArray<readonly [string, WorkerRecord]>
  readonly waves: readonly WaveRecord[]
}

/** A task together with the records above it. */
export interface LocatedTask {
  readonly job: JobRecord
  readonly stepSpec: StepSpec
  readonly step: StepRecord
  readonly task: TaskRecord
}

/** Failed runs remembered of a task, to keep its next run off those workers. */
const MAX_FAILED_ON = 4

/**
 * Deterministic state: the same commands at the same log times give the same state on every replica.
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
  readonly #endedJobs: JobRecord[] = []
  readonly #workers = new Map<string, WorkerRecord>()
  readonly #runs = new Map<string, Map<string, Assignment>>()
  /** Tasks with active runs by key, since the leader looks these up all the time. */
  readonly #located = new Map<string, LocatedTask>()
  readonly #waves = new Map<string, WaveRecord>()

  constructor (options: { readonly endedJobRetentionMs: number }) {
    this.#endedJobRetentionMs = options.endedJobRetentionMs
  }

  /** Builds the state from a snapshot. */
  static restore (snapshot: BatchSnapshot, options: { readonly endedJobRetentionMs: number }): BatchState {
    const state = new BatchState(options)
    state.#directory = snapshot.document === null ? null : new QueueDirectory(snapshot.document)
    for (const job of snapshot.jobs) state.#adoptJob(job)
    for (const [workerId, record] of snapshot.workers) state.#workers.set(workerId, record)
    for (const record of snapshot.waves) state.#waves.set(record.wave.waveId, record)
    return state
  }

  #adoptJob (job: JobRecord): void {
    this.#jobs.set(job.spec.jobId, job)
    if (job.state === 'open') this.#openJobs.set(job.spec.jobId, job)
    else this.#endedJobs.push(job)
    job.occurrences.forEach((occurrence, occurrenceIndex) => {
      occurrence?.steps.forEach((step, stepIndex) => step.tasks.forEach((task, index) => {
        const key = `${job.spec.jobId}.${occurrenceIndex}.${stepIndex}.${index}`
        for (const run of task.active) this.#index({ ...run, taskKey: key })
      }))
    })
  }

  /** Serialises the state. */
  snapshot (): BatchSnapshot {
    return {
      document: this.#directory?.document ?? null,
      jobs: [...this.#jobs.values()],
      workers: [...this.#workers],
      waves: [...this.#waves.values()]
    }
  }

  /** Queues in force, or null before the first configuration. */
  get directory (): QueueDirectory | null {
    return this.#directory
  }

  /** A job that is known. */
  job (jobId: string): JobRecord | undefined {
    return this.#jobs.get(jobId)
  }

  /** Jobs that have not ended, in order of acceptance. */
  openJobs (): Iterable<JobRecord> {
    return this.#openJobs.values()
  }

  /** Runs that may be on a worker, of any of its lives. */
  runsOf (workerId: string): Iterable<Assignment> {
    return this.#runs.get(workerId)?.values() ?? []
  }

  /** Whether any run may be on a worker. */
  hasRuns (workerId: string): boolean {
    return this.#runs.has(workerId)
  }

  /** Workers that may have runs. */
  workersWithRuns (): Iterable<string> {
    return this.#runs.keys()
  }

  /** The latest end of this life that is recorded. */
  lastEndSequence (life: WorkerLife): number {
    const record = this.#workers.get(life.workerId)
    return record?.incarnation === life.incarnation ? record.lastEndSequence : 0
  }

  /** Maintenance waves in order of their start. */
  waves (): Iterable<WaveRecord> {
    return this.#waves.values()
  }

  /** One maintenance wave. */
  wave (waveId: string): WaveRecord | undefined {
    return this.#waves.get(waveId)
  }

  /** Finds a task whose occurrence has begun. */
  locate (key: string): LocatedTask | undefined {
    const known = this.#located.get(key)
    if (known !== undefined && this.#jobs.get(known.job.spec.jobId) === known.job) return known
    return this.#find(key)
  }

  #find (key: string): LocatedTask | undefined {
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
    this.#dropOldJobs(logTimeMs)
    switch (command.kind) {
      case 'put_configuration': return this.#putConfiguration(command)
      case 'submit_job': return this.#submit(command)
      case 'cancel_job': return this.#cancel(command, logTimeMs)
      case 'assign': return this.#assign(command)
      case 'record_ends': return this.#recordEnds(command, logTimeMs)
      case 'release': return this.#release(command)
      case 'worker_gone': return this.#workerGone(command)
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

  #assign ({ assignments }: CommandOf<'assign'>): CommandResult {
    for (const assignment of assignments) this.#assignOne(assignment)
    return { kind: 'applied' }
  }

  #assignOne (assignment: Assignment): void {
    const { taskKey, run, workerId, incarnation } = assignment
    const id = parseTaskKey(taskKey)
    const task = id === undefined ? undefined : this.#openTask(id)
    if (task === undefined || task.isDone || run <= task.lastRun) return
    this.#enterLife({ workerId, incarnation })
    task.lastRun = run
    task.active.push({ run, workerId, incarnation })
    this.#index(assignment)
  }

  #openTask (id: TaskId): TaskRecord | undefined {
    const job = this.#openJobs.get(id.jobId)
    if (job === undefined || id.occurrence >= job.occurrences.length) return undefined
    const occurrence: OccurrenceRecord = job.occurrences[id.occurrence] ??= createOccurrence(job.spec)
    return occurrence.steps[id.step]?.tasks[id.index]
  }

  #recordEnds ({ life, ends }: CommandOf<'record_ends'>, logTimeMs: number): CommandResult {
    this.#enterLife(life)
    const record = this.#workers.get(life.workerId)
    if (record === undefined || record.incarnation !== life.incarnation) return { kind: 'unchanged' }
    for (const end of ends) {
      if (end.sequence <= record.lastEndSequence) continue
      record.lastEndSequence = end.sequence
      this.#recordEnd(life, end, logTimeMs)
    }
    return { kind: 'applied' }
  }

  #recordEnd (life: WorkerLife, end: RunEnd, logTimeMs: number): void {
    const located = this.locate(end.taskKey)
    if (located === undefined || !this.#removeRun({ ...life, taskKey: end.taskKey, run: end.run })) return
    const { job, stepSpec, step, task } = located
    if (job.state !== 'open') return
    job.hasStarted = true
    this.#keepCheckpoint(stepSpec, step, task, end.checkpoint)
    if (end.reason === 'done') this.#taskDone(located, logTimeMs)
    if (end.reason === 'failed') this.#taskFailed(located, end.run, life.workerId, logTimeMs)
  }

  #taskDone ({ job, stepSpec, step, task }: LocatedTask, logTimeMs: number): void {
    if (stepSpec.isLasting) return
    for (const member of stepSpec.isGang ? step.tasks : [task]) member.isDone = true
    if (isJobDone(job)) this.#endJob(job, 'completed', logTimeMs)
  }

  #taskFailed ({ job, stepSpec, step, task }: LocatedTask, run: number, workerId: string, logTimeMs: number): void {
    task.failedOn = [...task.failedOn, workerId].slice(-MAX_FAILED_ON)
    if (stepSpec.isLasting) return
    if (stepSpec.isGang && run <= step.lastFailedRun) return
    step.lastFailedRun = Math.max(step.lastFailedRun, run)
    for (const member of stepSpec.isGang ? step.tasks : [task]) member.failures++
    const maxAttempts = this.#directory?.at(job.queueAddress)?.maxAttempts ?? Infinity
    if (task.failures >= maxAttempts && !task.isDone) this.#endJob(job, 'failed', logTimeMs)
  }

  /** A value of any member of a gang counts for all, and all start from the same one. */
  #keepCheckpoint (stepSpec: StepSpec, step: StepRecord, task: TaskRecord, checkpoint: string): void {
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
    for (const { taskKey, checkpoint } of checkpoints) this.#adoptCheckpoint({ taskKey, checkpoint })
    return { kind: 'applied' }
  }

  #adoptCheckpoint ({ taskKey, checkpoint }: TaskCheckpoint): void {
    const located = this.locate(taskKey)
    if (located !== undefined) this.#keepCheckpoint(located.stepSpec, located.step, located.task, checkpoint)
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

  /** Runs of an earlier life of the worker ended with it. */
  #enterLife ({ workerId, incarnation }: WorkerLife): void {
    const record = this.#workers.get(workerId)
    if (record !== undefined && record.incarnation >= incarnation) return
    this.#workers.set(workerId, { incarnation, lastEndSequence: 0 })
    for (const run of [...this.runsOf(workerId)]) {
      if (run.incarnation < incarnation) this.#removeRun(run)
    }
  }

  #endJob (job: JobRecord, state: 'completed' | 'failed' | 'cancelled', logTimeMs: number): void {
    job.state = state
    job.endedLogMs = logTimeMs
    this.#openJobs.delete(job.spec.jobId)
    this.#endedJobs.push(job)
  }

  /** Runs of an ended job keep it known until they are off their workers. */
  #dropOldJobs (logTimeMs: number): void {
    let first = this.#endedJobs[0]
    while (first !== undefined && logTimeMs - first.endedLogMs > this.#endedJobRetentionMs) {
      this.#jobs.delete(first.spec.jobId)
      this.#endedJobs.shift()
      first = this.#endedJobs[0]
    }
  }

  #index (assignment: Assignment): void {
    const runs = this.#runs.get(assignment.workerId) ?? new Map<string, Assignment>()
    runs.set(runKey(assignment), assignment)
    this.#runs.set(assignment.workerId, runs)
    const located = this.#find(assignment.taskKey)
    if (located !== undefined) this.#located.set(assignment.taskKey, located)
  }

  #removeRun (assignment: Assignment): boolean {
    const runs = this.#runs.get(assignment.workerId)
    if (runs === undefined || !runs.delete(runKey(assignment))) return false
    if (runs.size === 0) this.#runs.delete(assignment.workerId)
    const task = this.locate(assignment.taskKey)?.task
    if (task !== undefined) task.active = task.active.filter(active => !isSameRun(active, assignment))
    if (task === undefined || task.active.length === 0) this.#located.delete(assignment.taskKey)
    return true
  }
}

function isSameRun (active: ActiveRun, assignment: Assignment): boolean {
  return active.run === assignment.run && active.workerId === assignment.workerId &&
    active.incarnation === assignment.incarnation
}

/**
 * Key of a run within one life of a worker.
 *
 * @example
 * runInLife({ taskKey: '5c0e.0.0.0', run: 2 }) // '5c0e.0.0.0#2'
 */
export function runInLife ({ taskKey, run }: Pick<Assignment, 'taskKey' | 'run'>): string {
  return `${taskKey}#${run}`
}

/**
 * Key of a run on a worker.
 *
 * @example
 * runKey({ taskKey: '5c0e.0.0.0', run: 2, workerId: 'w1', incarnation: 9 }) // '5c0e.0.0.0#2@9'
 */
export function runKey ({ taskKey, run, incarnation }: Assignment): string {
  return `${runInLife({ taskKey, run })}@${incarnation}`
}
