/** Keeps the scheduler in step with the replicated state and decides when a pass runs. */
import type { Failure, JobSpec } from '@comfreygrade/core'
import type { PlacementDecision } from '@comfreygrade/placement'
import type { JobRecord } from './jobs.js'
import type { LeaderContext } from './leader-context.js'

type ScheduledAs = 'waiting' | 'placed'

/** The scheduler with what it was told, so that nothing is told twice. */
export class Scheduling {
  readonly #context: LeaderContext
  readonly #scheduledAs = new Map<string, ScheduledAs>()
  #isDirty = true
  #lastPassMs = Number.NEGATIVE_INFINITY

  constructor (context: LeaderContext) {
    this.#context = context
  }

  /** Asks for a pass because something changed. */
  markChanged (): void {
    this.#isDirty = true
  }

  /** Says whether the scheduler has placed a job, committed or not. */
  isPlaced (jobId: string): boolean {
    return this.#scheduledAs.get(jobId) === 'placed'
  }

  /** Lets a job wait for a placement. */
  submit (spec: JobSpec, nowMs: number): Failure | undefined {
    if (this.#scheduledAs.has(spec.jobId)) return undefined
    const problem = this.#context.scheduler.submit(spec, nowMs)
    if (problem !== undefined) return problem
    this.#scheduledAs.set(spec.jobId, 'waiting')
    this.markChanged()
    return undefined
  }

  /** Takes in that a placement was committed; one that the scheduler did not decide in this term is restored. */
  placed (job: JobRecord, nowMs: number): void {
    const { jobId } = job.spec
    if (this.#scheduledAs.get(jobId) === 'placed' || job.placement === null) return
    const { scheduler, state } = this.#context
    if (this.#scheduledAs.has(jobId)) scheduler.cancel(jobId, nowMs)
    const ageMs = Math.max(0, state.logTimeMs - job.changedLogMs)
    scheduler.restore(job.spec, job.placement, nowMs - ageMs)
    this.#scheduledAs.set(jobId, 'placed')
    this.markChanged()
  }

  /** Takes in that a job left the scheduler: it ended, or its cells are released. */
  left (jobId: string, isReclaimed: boolean, nowMs: number): void {
    const scheduledAs = this.#scheduledAs.get(jobId)
    if (scheduledAs === undefined) return
    this.#scheduledAs.delete(jobId)
    const { scheduler } = this.#context
    const outcome = this.#context.state.job(jobId)?.outcome ?? null
    // A run that was cut short must not be taken for the run time of its class.
    const isCutShort = outcome !== null && outcome !== 'completed'
    if (scheduledAs === 'waiting' || isCutShort) scheduler.cancel(jobId, nowMs)
    if (scheduledAs === 'waiting') return this.markChanged()
    if (isReclaimed) scheduler.reclaimed(jobId, nowMs)
    else scheduler.ended(jobId, nowMs)
    this.markChanged()
  }

  /** Runs a pass when something changed, or when jobs wait and time alone may have changed the result. */
  pass (nowMs: number): PlacementDecision[] {
    if (nowMs < this.nextAtMs()) return []
    this.#isDirty = false
    this.#lastPassMs = nowMs
    const decisions = this.#context.scheduler.pass(nowMs)
    for (const decision of decisions) {
      if (decision.kind === 'place') this.#scheduledAs.set(decision.jobId, 'placed')
    }
    return decisions
  }

  nextAtMs (): number {
    const { settings, state } = this.#context
    if (this.#isDirty) return this.#lastPassMs + settings.minPassIntervalMs
    return state.jobIdsInPhase('waiting').size > 0
      ? this.#lastPassMs + settings.idlePassIntervalMs
      : Number.POSITIVE_INFINITY
  }
}
