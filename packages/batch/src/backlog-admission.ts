/**
 * Admission under a backlog that outlasts the use of new jobs: a job that could only end too late is refused at once,
 * so that its caller need not wait for nothing and the replicated state does not grow with it.
 */
import { failure, type EventLog, type Failure } from '@comfreygrade/core'
import type { AdmissionRequest } from './admission-policy.js'
import {
  compareBacklogSteps, mayStartBefore, type Backlog, type BacklogRun, type BacklogStep, type Resource
} from './backlog.js'
import { criticalPathMs } from './critical-path.js'
import { NO_RESOURCES, occupiedShape, type JobSpec, type StepSpec } from './jobs.js'
import type { QueueConfiguration } from './queues.js'
import { RecentRefusals } from './recent-refusals.js'
import { shareOfJob } from './retry-spread.js'
import type { PassDecision } from './scheduling-pass.js'
import { USEFUL_OBJECTIVE_FACTOR } from './scheduling-order.js'
import { ShapeAdmission, type ShapeAdmissionOptions } from './shape-admission.js'
import type { QueuedStep } from './waiting-steps.js'
import type { WorkerCapacity } from './worker-capacity.js'

/** Options of {@link BacklogAdmission}. */
export interface BacklogAdmissionOptions extends ShapeAdmissionOptions {
  readonly log: EventLog
}

/** State of the fleet after a scheduling pass. */
interface LoadedPass {
  readonly atMs: number
  readonly atWallMs: number
  readonly listWork: () => readonly QueuedStep[]
  readonly workers: readonly WorkerCapacity[]
}

/** Estimates of bulk jobs may be wrong by this factor in either direction, see docs/hard-load.md. */
const MAX_ESTIMATE_ERROR = Math.exp(0.9)
/** A pass older than this says nothing about the load, since the leader may have been suspended. */
const PASS_VALIDITY_MS = 1_000
/** The shortest delay that a Retry-After header can state. */
const MIN_RETRY_AFTER_MS = 1_000
/** The earliest retry is at most this far ahead, since the load may have changed by then. */
const MAX_FIRST_RETRY_MS = 60_000
/** Time without a refusal after which a queue is logged as no longer refusing jobs. */
const REFUSALS_END_MS = 5_000

const RESOURCES: readonly Resource[] = ['acceleratorCount', 'cpuMillicores', 'memoryMb']

/**
 * Refuses a job that, even if all estimates are wrong in its favour, cannot end before it has lost its value because of
 * the work ahead of it, and a job of which no worker of the service could hold a task. In doubt a job is accepted. The
 * state is that of the last pass and is lost with the leader.
 */
export class BacklogAdmission extends ShapeAdmission {
  readonly #options: BacklogAdmissionOptions
  /** Time of the latest refusal, by queue. */
  readonly #refusedAtMs = new Map<string, number>()
  readonly #refusals = new RecentRefusals()
  #pass: LoadedPass | undefined

  constructor (options: BacklogAdmissionOptions) {
    super(options)
    this.#options = options
  }

  override recordPass (listWork: () => readonly QueuedStep[], decision: PassDecision, nowMs: number): void {
    const isLoaded = decision.isFleetKnown && decision.waits.length > 0
    const atWallMs = this.#options.clock.wallMs()
    this.#pass = isLoaded ? { atMs: nowMs, atWallMs, listWork, workers: decision.workers } : undefined
    this.#logEndsOfRefusals(nowMs)
  }

  override refusalOf (request: AdmissionRequest): Failure | undefined {
    return super.refusalOf(request) ?? this.#refusals.find(request.spec.jobId, request.nowMs) ??
      this.#backlogRefusalOf(request)
  }

  #backlogRefusalOf (request: AdmissionRequest): Failure | undefined {
    const { spec, queue, organisation, nowMs } = request
    const pass = this.#pass
    if (pass === undefined || nowMs - pass.atMs > PASS_VALIDITY_MS) return undefined
    if (spec.schedule !== undefined || spec.steps.some(step => step.isLasting)) return undefined
    if (hasFreeCapacity(spec, queue.service, pass.workers) || request.isWithinGuarantee()) return undefined
    const nowWallMs = this.#options.clock.wallMs()
    const pathMs = criticalPathMs(spec)
    const step = newStep(request, pathMs, nowWallMs)
    const latestStartWallMs = nowWallMs + latestUsefulStartMs(request, pathMs)
    const backlog = this.#backlogAheadOf(queue, organisation, pass)
    const isTooLate = RESOURCES.some(resource => spec.steps.every(({ shape }) => shape[resource] > 0) &&
      !mayStartBefore(latestStartWallMs, step, backlog, resource))
    return isTooLate ? this.#refuse(request, latestStartWallMs - nowWallMs, drainMs(backlog)) : undefined
  }

  /**
   * Steps of other organisations over their share do not count, since they would come after the new job, nor do runs
   * that could be preempted for it.
   */
  #backlogAheadOf (
    { service, priority }: QueueConfiguration, organisation: string, { atWallMs, listWork, workers }: LoadedPass
  ): Backlog {
    const runs = workers.filter(worker => worker.view.latest.service === service).flatMap(worker => worker.runs)
    const unpreemptable = priority === 0 ? runs.filter(run => run.priority === 0) : runs
    const ahead = listWork().filter(({ job, isGuaranteed, isOverShare }) => job.service === service &&
      (job.organisation === organisation || isGuaranteed || !isOverShare))
    return {
      atWallMs,
      steps: ahead.map(toBacklogStep).sort(compareBacklogSteps),
      running: unpreemptable.map(run => toBacklogRun(run.spec, 1, finiteMs(run.remainingMs))),
      capacity: this.fleet.capacityOf(service)
    }
  }

  #refuse ({ spec, queue, nowMs }: AdmissionRequest, latestStartMs: number, backlogMs: number): Failure {
    const { metrics, log } = this.#options
    const retryAfterMs = retryDelayMs(spec.jobId, backlogMs, latestStartMs)
    metrics.increment('admission.refused', { reason: 'backlog' })
    if (!this.#refusedAtMs.has(queue.name)) {
      log.warn('queue refuses jobs because of its backlog', { queue: queue.name, backlogMs: Math.round(backlogMs) })
    }
    this.#refusedAtMs.set(queue.name, nowMs)
    const refusal = failure('queue_full', `the work ahead of the job takes at least ${Math.round(backlogMs)} ms, ` +
      `and the job has no value if it starts later than ${Math.round(latestStartMs)} ms from now`, retryAfterMs)
    this.#refusals.record(spec.jobId, refusal, nowMs)
    return refusal
  }

  #logEndsOfRefusals (nowMs: number): void {
    for (const [queue, refusedAtMs] of this.#refusedAtMs) {
      if (nowMs - refusedAtMs < REFUSALS_END_MS) continue
      this.#refusedAtMs.delete(queue)
      this.#options.log.info('queue no longer refuses jobs', { queue })
    }
  }
}

function hasFreeCapacity ({ steps }: JobSpec, service: string, workers: readonly WorkerCapacity[]): boolean {
  return steps.some(step => step.dependsOn.length === 0 &&
    workers.some(worker => worker.view.latest.service === service && worker.fits(step)))
}

/**
 * Latest time from now at which the job may start and be of use, with the most favourable length of its critical path:
 * the longest one where the objective grows faster than the path, otherwise the shortest one.
 */
function latestUsefulStartMs ({ queue }: AdmissionRequest, pathMs: number): number {
  const pathsMs = [pathMs / MAX_ESTIMATE_ERROR, pathMs * MAX_ESTIMATE_ERROR]
  return Math.max(...pathsMs.map(lengthMs =>
    (queue.slackFactor * lengthMs + queue.targetLatencyMs) * USEFUL_OBJECTIVE_FACTOR - lengthMs))
}

function newStep ({ queue }: AdmissionRequest, pathMs: number, nowWallMs: number): BacklogStep {
  return {
    priority: queue.priority,
    shape: NO_RESOURCES,
    minRunMs: 0,
    objectiveWallMs: nowWallMs + queue.slackFactor * pathMs + queue.targetLatencyMs,
    waitingSinceWallMs: nowWallMs,
    remainingCriticalPathMs: pathMs,
    isGuaranteed: false,
    spec: { isLasting: false }
  }
}

function toBacklogStep (step: QueuedStep): BacklogStep {
  const { priority, objectiveWallMs, waitingSinceWallMs, remainingCriticalPathMs, isGuaranteed, spec } = step
  const run = toBacklogRun(spec, step.waitingTaskCount, step.runTime.typicalMs)
  return { ...run, priority, objectiveWallMs, waitingSinceWallMs, remainingCriticalPathMs, isGuaranteed, spec }
}

/** Tasks with their shortest possible run time, for an estimate that is too long by the largest error. */
function toBacklogRun (spec: StepSpec, taskCount: number, estimateMs: number): BacklogRun {
  const { cpuMillicores, memoryMb, acceleratorCount } = occupiedShape(spec)
  const shape = {
    cpuMillicores: cpuMillicores * taskCount,
    memoryMb: memoryMb * taskCount,
    acceleratorCount: acceleratorCount * taskCount
  }
  return { shape, minRunMs: estimateMs / MAX_ESTIMATE_ERROR }
}

/** Lasting runs count as ending now: when an operator ends them is not known. */
function finiteMs (remainingMs: number): number {
  return Number.isFinite(remainingMs) ? remainingMs : 0
}

/** Time for which the backlog occupies all workers at least, for the resource that is scarcest. */
function drainMs ({ steps, running, capacity }: Backlog): number {
  return Math.max(...RESOURCES.map(resource => {
    const work = [...running, ...steps].reduce((sum, { shape, minRunMs }) => sum + shape[resource] * minRunMs, 0)
    return work / Math.max(1, capacity[resource])
  }))
}

/**
 * Spreads the retries over the time in which the backlog is processed, beginning when it is short enough for the job.
 * The delay depends on the job, not on the number of its attempts, so that retrying more often gains nothing.
 */
function retryDelayMs (jobId: string, backlogMs: number, latestStartMs: number): number {
  const earliestMs = Math.min(MAX_FIRST_RETRY_MS, Math.max(MIN_RETRY_AFTER_MS, backlogMs - latestStartMs))
  return earliestMs + shareOfJob(jobId) * latestStartMs
}
