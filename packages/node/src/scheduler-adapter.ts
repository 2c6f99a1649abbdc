/** Adapts the gang scheduler to the scheduler port of the control leader. */
import type { Configuration, Failure, JobExplanation, JobSpec, Placement } from '@comfreygrade/core'
import { GuaranteeValidator, JobScheduler } from '@comfreygrade/control'
import {
  BuddyCellPolicy, GangScheduler, type FleetReport, type PlacementDecision, type PlacementSettings, type ReclaimCheck
} from '@comfreygrade/placement'

/** Rejects guarantees that the inventory cannot satisfy. */
export class PlacementValidator extends GuaranteeValidator {
  override validate (configuration: Configuration): Failure | undefined {
    return GangScheduler.validateGuarantees(configuration)
  }
}

/**
 * The gang scheduler of one leader term.
 *
 * The control leader requeues a job by releasing it and submitting it again within the same event. The scheduler must
 * see this as one job that waits again: a new job would lose its queue position and the record of the workers on which
 * it failed. A release is therefore buffered until the job is submitted again, or until the next pass, report, reclaim
 * check or configuration.
 *
 * `GangScheduler.requeue` requeues a job, and `GangScheduler.jobEnded` removes it. With this port both `jobEnded` and
 * `jobReclaimed` remove a job, and only a submission makes it wait again. The adapter therefore calls
 * `GangScheduler.requeue` for a release that is followed by a submission, and `GangScheduler.jobEnded` for any other.
 */
export class SchedulerAdapter extends JobScheduler {
  readonly #scheduler: GangScheduler
  readonly #pendingReleases = new Map<string, number>()

  constructor (settings: PlacementSettings) {
    super()
    this.#scheduler = new GangScheduler(settings, new BuddyCellPolicy())
  }

  override applyConfiguration (configuration: Configuration): void {
    this.#flushPendingReleases()
    this.#scheduler.applyConfiguration(configuration)
  }

  override workerJoined (workerId: string, nowMs: number): void {
    // With this port a worker that joins after a drain is available again.
    this.#scheduler.undrainWorker(workerId)
    this.#scheduler.workerJoined(workerId, nowMs)
  }

  override workerLost (workerId: string, nowMs: number): void {
    this.#scheduler.workerLost(workerId, nowMs)
  }

  override drainWorker (workerId: string): void {
    this.#scheduler.drainWorker(workerId)
  }

  override submit (job: JobSpec, nowMs: number): Failure | undefined {
    if (!this.#pendingReleases.delete(job.jobId)) return this.#scheduler.submit(job, nowMs)
    this.#scheduler.requeue(job.jobId, nowMs)
    return undefined
  }

  override restore (job: JobSpec, placement: Placement, startedAtMs: number): void {
    this.#scheduler.restore(job, placement, startedAtMs)
  }

  override cancel (jobId: string, nowMs: number): void {
    this.#scheduler.cancel(jobId, nowMs)
  }

  override taskFailed (jobId: string, workerId: string, nowMs: number): void {
    this.#scheduler.taskFailed(jobId, workerId, nowMs)
  }

  override jobEnded (jobId: string, nowMs: number): void {
    this.#pendingReleases.set(jobId, nowMs)
  }

  override jobReclaimed (jobId: string, nowMs: number): void {
    this.#pendingReleases.set(jobId, nowMs)
  }

  override runPass (nowMs: number): PlacementDecision[] {
    this.#flushPendingReleases()
    return this.#scheduler.runPass(nowMs)
  }

  override explain (jobId: string, nowMs: number): JobExplanation {
    return this.#scheduler.explain(jobId, nowMs)
  }

  override report (): FleetReport {
    this.#flushPendingReleases()
    return this.#scheduler.report()
  }

  override checkReclaimable (): ReclaimCheck {
    this.#flushPendingReleases()
    return this.#scheduler.checkReclaimable()
  }

  #flushPendingReleases (): void {
    for (const [jobId, releasedAtMs] of this.#pendingReleases) this.#scheduler.jobEnded(jobId, releasedAtMs)
    this.#pendingReleases.clear()
  }
}
