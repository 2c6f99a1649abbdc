/** Job table: jobs from their submission until the retention period after their end is over. */
import type { JobOutcome, JobPhase, JobSpec, Placement } from '@comfreygrade/core'
import { canonicalJson } from './canonical-json.js'
import { Fifo } from './fifo.js'
import { CellAllocations } from './cell-allocations.js'
import { done, refuse } from './command-results.js'
import type { CommandResult, ControlCommand, StopGoal } from './commands.js'
import type { JobView } from './operations.js'
import type { ControlStateSettings } from './settings.js'

/** Stored job. Records are immutable, so a snapshot may share them with the live state. */
export interface JobRecord extends JobView {
  /** Identifies one placement of the job by its log index, unlike a worker lease; 0 if the job is not placed. */
  readonly leaseId: number
  /** Set only in the phase `stopping`. */
  readonly stop: StopPlan | null
  /** Log index of the last change; determines the age of ended jobs. */
  readonly changedIndex: number
}

/** How a stopping job is released, and what happens to it afterwards. */
export interface StopPlan {
  readonly isCheckpoint: boolean
  /** Goal of the stop; stored under this name. */
  readonly then: StopGoal
  /** No task was ordered to start under this placement, and none will be. */
  readonly isUnstarted: boolean
}

/** Position and log time (see `ControlState.apply`) of the command being applied. */
export interface LogPosition {
  readonly index: number
  readonly logTimeMs: number
}

type CommandOf<Kind extends ControlCommand['kind']> = Extract<ControlCommand, { kind: Kind }>

/** All jobs and the cells allocated to them. */
export class JobTable {
  readonly #settings: ControlStateSettings
  readonly #jobs = new Map<string, JobRecord>()
  readonly #idsByPhase = new PhaseIndex()
  readonly #openCountByOrganisation = new Map<string, number>()
  readonly #endedByAge = new Fifo<string>()
  readonly allocations = new CellAllocations()

  constructor (settings: ControlStateSettings) {
    this.#settings = settings
  }

  get size (): number {
    return this.#jobs.size
  }

  get (jobId: string): JobRecord | undefined {
    return this.#jobs.get(jobId)
  }

  /** Returns all jobs in submission order. */
  records (): IterableIterator<JobRecord> {
    return this.#jobs.values()
  }

  idsInPhase (phase: JobPhase): ReadonlySet<string> {
    return this.#idsByPhase.idsInPhase(phase)
  }

  /** Adds a waiting job. Idempotent for the same specification; an existing ID with another one is refused. */
  submit (spec: JobSpec, at: LogPosition): CommandResult {
    const existing = this.#jobs.get(spec.jobId)
    if (existing !== undefined) return isSameSpec(existing.spec, spec) ? done : refuseDifferentSpec(spec.jobId)
    const { maxOpenJobs, maxOpenJobsPerOrganisation } = this.#settings
    const open = this.#jobs.size - this.#endedByAge.size
    if (open >= maxOpenJobs) return refuse('queue_full', `${open} jobs are open, at most ${maxOpenJobs} are allowed`)
    const organisationOpen = this.#openCountByOrganisation.get(spec.organisationId) ?? 0
    if (organisationOpen >= maxOpenJobsPerOrganisation) {
      return refuse('quota_exceeded', `organisation ${spec.organisationId} has ${organisationOpen} open jobs, at most ${maxOpenJobsPerOrganisation} are allowed`)
    }
    this.#insert({
      spec,
      phase: 'waiting',
      outcome: null,
      placement: null,
      starts: 0,
      detail: 'submitted',
      submittedLogMs: at.logTimeMs,
      changedLogMs: at.logTimeMs,
      leaseId: 0,
      stop: null,
      changedIndex: at.index
    })
    return done
  }

  /** Allocates cells to a waiting job. The caller has validated the workers. */
  place ({ jobId, placement }: CommandOf<'place_job'>, at: LogPosition): CommandResult {
    const job = this.#jobs.get(jobId)
    if (job === undefined) return refuseUnknownJob(jobId)
    if (job.phase !== 'waiting') return refuseWrongPhase(job)
    const problem = this.#findPlacementError(job.spec, placement)
    if (problem !== undefined) return refuse('invalid_request', `job ${jobId}: ${problem}`)
    this.allocations.allocate(jobId, at.index, placement)
    this.#update(job, { phase: 'preparing', placement, leaseId: at.index, detail: placement.reason }, at)
    return done
  }

  start ({ jobId, leaseId }: CommandOf<'start_job'>, at: LogPosition): CommandResult {
    return this.#withPlacement(jobId, leaseId, ['preparing'], job =>
      this.#update(job, { phase: 'starting', starts: job.starts + 1, detail: 'all workers prepared' }, at))
  }

  markRunning ({ jobId, leaseId }: CommandOf<'job_running'>, at: LogPosition): CommandResult {
    return this.#withPlacement(jobId, leaseId, ['starting'], job =>
      this.#update(job, { phase: 'running', detail: 'all tasks started' }, at))
  }

  stop ({ jobId, leaseId, reason, isCheckpoint, then }: CommandOf<'stop_job'>, at: LogPosition): CommandResult {
    const job = this.#jobs.get(jobId)
    if (job !== undefined && then === 'requeue' && !canRequeue(job)) {
      return refuse('invalid_request', `job ${jobId} has started and cannot be started again`)
    }
    if (job?.phase === 'stopping' && (job.stop?.then !== 'requeue' || then === 'requeue')) return refuseWrongPhase(job)
    return this.#withPlacement(jobId, leaseId, ['preparing', 'starting', 'running', 'stopping'], placed => {
      const isUnstarted = placed.stop?.isUnstarted ?? placed.phase === 'preparing'
      this.#update(placed, { phase: 'stopping', stop: { isCheckpoint, then, isUnstarted }, detail: reason }, at)
    })
  }

  requeue ({ jobId, leaseId, reason }: CommandOf<'requeue_job'>, at: LogPosition): CommandResult {
    const job = this.#jobs.get(jobId)
    if (job?.phase === 'stopping' && job.stop?.then !== 'requeue') return refuseWrongPhase(job)
    return this.#withPlacement(jobId, leaseId, ['stopping'], stopping => {
      this.#freeCells(stopping)
      this.#update(stopping, { phase: 'waiting', placement: null, leaseId: 0, stop: null, detail: reason }, at)
    })
  }

  /** Ends a job. A placed job must have completed, or have been stopped for this outcome. */
  end ({ jobId, leaseId, outcome, reason }: CommandOf<'end_job'>, at: LogPosition): CommandResult {
    const job = this.#jobs.get(jobId)
    if (job !== undefined && !canEnd(job, outcome)) return refuseWrongPhase(job)
    return this.#withPlacement(jobId, leaseId, ['waiting', 'starting', 'running', 'stopping'], open => {
      this.#freeCells(open)
      this.#update(open, { phase: 'ended', outcome, placement: null, leaseId: 0, stop: null, detail: reason }, at)
      this.#endedByAge.push(jobId)
      this.#adjustOpenCount(open.spec.organisationId, -1)
    })
  }

  /** Removes ended jobs beyond the retention period or the maximum count. Amortised cost is constant per job. */
  removeExpired (logTimeMs: number): void {
    const { endedJobRetentionMs, maxEndedJobs } = this.#settings
    for (let jobId = this.#endedByAge.peek(); jobId !== undefined; jobId = this.#endedByAge.peek()) {
      const job = this.#jobs.get(jobId)
      const isKept = job !== undefined && job.changedLogMs + endedJobRetentionMs > logTimeMs
      if (isKept && this.#endedByAge.size <= maxEndedJobs) return
      this.#endedByAge.shift()
      this.#jobs.delete(jobId)
      this.#idsByPhase.idsInPhase('ended').delete(jobId)
    }
  }

  /** Restores the records of a snapshot, which are in submission order. */
  restore (records: readonly JobRecord[]): void {
    for (const record of records) {
      this.#insert(record)
      if (record.placement !== null) this.allocations.allocate(record.spec.jobId, record.leaseId, record.placement)
    }
    const ended = records.filter(record => record.phase === 'ended')
    for (const { spec } of ended.sort((left, right) => left.changedIndex - right.changedIndex)) {
      this.#endedByAge.push(spec.jobId)
      this.#adjustOpenCount(spec.organisationId, -1)
    }
  }

  #insert (record: JobRecord): void {
    this.#jobs.set(record.spec.jobId, record)
    this.#idsByPhase.idsInPhase(record.phase).add(record.spec.jobId)
    this.#adjustOpenCount(record.spec.organisationId, 1)
  }

  #update (job: JobRecord, changes: Partial<JobRecord>, at: LogPosition): void {
    const { jobId } = job.spec
    const changed: JobRecord = { ...job, ...changes, changedLogMs: at.logTimeMs, changedIndex: at.index }
    this.#jobs.set(jobId, changed)
    if (changed.phase === job.phase) return
    this.#idsByPhase.idsInPhase(job.phase).delete(jobId)
    this.#idsByPhase.idsInPhase(changed.phase).add(jobId)
  }

  #freeCells (job: JobRecord): void {
    if (job.placement !== null) this.allocations.free(job.spec.jobId, job.placement)
  }

  /**
   * Runs `apply` if the job has this placement and one of the phases. A late or duplicate command is refused as
   * `stale_term`, although no terms are compared: it was decided on an earlier state of the job.
   */
  #withPlacement (
    jobId: string,
    leaseId: number,
    phases: readonly JobPhase[],
    apply: (job: JobRecord) => void
  ): CommandResult {
    const job = this.#jobs.get(jobId)
    if (job === undefined) return refuseUnknownJob(jobId)
    if (!phases.includes(job.phase)) return refuseWrongPhase(job)
    if (job.leaseId !== leaseId) {
      return refuse('stale_term', `job ${jobId} has placement ${job.leaseId}, but the command is for placement ${leaseId}`)
    }
    apply(job)
    return done
  }

  #findPlacementError (spec: JobSpec, { tasks }: Placement): string | undefined {
    if (tasks.length !== spec.tasks) return `the placement has ${tasks.length} tasks, the job has ${spec.tasks}`
    const gangAllocations = new CellAllocations()
    const taskIndexes = new Set<number>()
    for (const task of tasks) {
      if (task.taskIndex < 0 || task.taskIndex >= spec.tasks) return `task ${task.taskIndex} does not exist`
      if (taskIndexes.has(task.taskIndex)) return `task ${task.taskIndex} is placed twice`
      if (task.acceleratorCount < spec.acceleratorsPerTask) return `task ${task.taskIndex} has too few accelerators`
      const conflict = gangAllocations.findConflict(task) ?? this.allocations.findConflict(task)
      if (conflict !== undefined) return `accelerators of worker ${task.workerId} are allocated to job ${conflict.jobId}`
      taskIndexes.add(task.taskIndex)
      // Only the task matters to findConflict; the other values are placeholders.
      gangAllocations.allocate(spec.jobId, 0, { capacityClass: 'lent', reason: '', tasks: [task] })
    }
    return undefined
  }

  #adjustOpenCount (organisationId: string, change: number): void {
    const count = (this.#openCountByOrganisation.get(organisationId) ?? 0) + change
    if (count === 0) this.#openCountByOrganisation.delete(organisationId)
    else this.#openCountByOrganisation.set(organisationId, count)
  }
}

/**
 * Returns whether a stopped job may be requeued: a non-repeatable job starts at most once.
 *
 * @example
 * canRequeue(job) // false for a started job with preemption 'none'
 */
export function canRequeue (job: Pick<JobRecord, 'spec' | 'starts'>): boolean {
  return job.spec.preemption !== 'none' || job.starts === 0
}

/**
 * Returns whether two specifications have the same content, independent of the order of their fields.
 *
 * @example
 * isSameSpec(spec, { ...spec }) // true
 */
export function isSameSpec (left: JobSpec, right: JobSpec): boolean {
  return canonicalJson(left) === canonicalJson(right)
}

/**
 * Converts a job to the view that callers get.
 *
 * @example
 * toJobView(record).phase // 'waiting'
 */
export function toJobView (job: JobRecord): JobView {
  const { spec, phase, outcome, placement, starts, detail, submittedLogMs, changedLogMs } = job
  return { spec, phase, outcome, placement, starts, detail, submittedLogMs, changedLogMs }
}

/** Index of jobs by phase, so that listing the waiting jobs does not iterate over the ended ones. */
class PhaseIndex {
  readonly #idsByPhase: Record<JobPhase, Set<string>> = {
    waiting: new Set(),
    preparing: new Set(),
    starting: new Set(),
    running: new Set(),
    stopping: new Set(),
    ended: new Set()
  }

  idsInPhase (phase: JobPhase): Set<string> {
    return this.#idsByPhase[phase]
  }
}

function canEnd (job: JobRecord, outcome: JobOutcome): boolean {
  switch (job.phase) {
    case 'waiting': return outcome !== 'completed'
    case 'starting':
    case 'running': return outcome === 'completed'
    case 'stopping': return outcome === 'completed' ? job.stop?.isUnstarted === false : outcome === job.stop?.then
    default: return false
  }
}

function refuseUnknownJob (jobId: string): CommandResult {
  return refuse('not_found', `job ${jobId} does not exist`)
}

/** `stale_term` means here that the job changed after the command was decided. */
function refuseWrongPhase (job: JobRecord): CommandResult {
  return refuse('stale_term', `job ${job.spec.jobId} is ${job.phase} (${job.detail})`)
}

function refuseDifferentSpec (jobId: string): CommandResult {
  return refuse('job_exists', `job ${jobId} already exists with a different specification`)
}
