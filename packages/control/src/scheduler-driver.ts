/** Keeps the scheduler consistent with the replicated state and decides when a scheduling pass runs. */
import type { Failure, JobSpec } from '@comfreygrade/core'
import type { PlacementDecision } from '@comfreygrade/placement'
import type { JobRecord } from './jobs.js'
import type { LeaderContext } from './leader-context.js'

type SchedulerPhase = 'waiting' | 'placed'

/** Tracks which jobs the scheduler knows, so that each change is passed on once. */
export class SchedulerDriver {
  readonly #context: LeaderContext
  readonly #phases = new Map<string, SchedulerPhase>()
  #isPassRequested = true
  #lastPassMs = Number.NEGATIVE_INFINITY

  constructor (context: LeaderContext) {
    this.#context = context
  }

  /** Requests a pass after a change that may affect placement. */
  requestPass (): void {
    this.#isPassRequested = true
  }

  /** Returns whether the scheduler has placed a job, committed or not. */
  isPlaced (jobId: string): boolean {
    return this.#phases.get(jobId) === 'placed'
  }

  /** Submits a waiting job unless the scheduler knows it; returns why it was refused. */
  submit (spec: JobSpec, nowMs: number): Failure | undefined {
    if (this.#phases.has(spec.jobId)) return undefined
    const problem = this.#context.scheduler.submit(spec, nowMs)
    if (problem !== undefined) return problem
    this.#phases.set(spec.jobId, 'waiting')
    this.requestPass()
    return undefined
  }

  /** Handles a committed placement. One that the scheduler did not decide in this term is restored into it. */
  onPlaced (job: JobRecord, nowMs: number): void {
    const { jobId } = job.spec
    if (this.#phases.get(jobId) === 'placed' || job.placement === null) return
    const { scheduler, state } = this.#context
    if (this.#phases.has(jobId)) scheduler.cancel(jobId, nowMs)
    const ageMs = Math.max(0, state.logTimeMs - job.changedLogMs)
    scheduler.restore(job.spec, job.placement, nowMs - ageMs)
    this.#phases.set(jobId, 'placed')
    this.requestPass()
  }

  /** Removes a job from the scheduler: it ended, its cells were freed, or a proposal for it was rejected or refused. */
  remove (jobId: string, isReclaimed: boolean, nowMs: number): void {
    const phase = this.#phases.get(jobId)
    if (phase === undefined) return
    this.#phases.delete(jobId)
    const { scheduler } = this.#context
    const outcome = this.#context.state.job(jobId)?.outcome ?? null
    // The duration of a run that ended early must not count as a run time of the job class.
    const hasEndedEarly = outcome !== null && outcome !== 'completed'
    if (phase === 'waiting' || hasEndedEarly) scheduler.cancel(jobId, nowMs)
    if (phase === 'waiting') return this.requestPass()
    if (isReclaimed) scheduler.jobReclaimed(jobId, nowMs)
    else scheduler.jobEnded(jobId, nowMs)
    this.requestPass()
  }

  /** Runs a pass if one was requested, or if jobs wait and the passage of time may change the result. */
  runPass (nowMs: number): PlacementDecision[] {
    if (nowMs < this.nextWakeAtMs()) return []
    this.#isPassRequested = false
    this.#lastPassMs = nowMs
    const decisions = this.#context.scheduler.runPass(nowMs)
    for (const decision of decisions) {
      if (decision.kind === 'place') this.#phases.set(decision.jobId, 'placed')
    }
    return decisions
  }

  nextWakeAtMs (): number {
    const { settings, state } = this.#context
    if (this.#isPassRequested) return this.#lastPassMs + settings.minPassIntervalMs
    return state.jobIdsInPhase('waiting').size > 0
      ? this.#lastPassMs + settings.idlePassIntervalMs
      : Number.POSITIVE_INFINITY
  }
}
