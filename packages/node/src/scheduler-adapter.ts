/** Connects the gang scheduler to the ports of the control leader. */
import type { Configuration, Failure, JobExplanation, JobSpec, Placement } from '@comfreygrade/core'
import { GuaranteeValidator, JobScheduler } from '@comfreygrade/control'
import {
  BuddyCellPolicy, GangScheduler, type FleetReport, type PlacementDecision, type PlacementSettings, type ReclaimCheck
} from '@comfreygrade/placement'

/** Refuses guarantees that the inventory cannot hold. */
export class PlacementValidator extends GuaranteeValidator {
  override validate (configuration: Configuration): Failure | undefined {
    return GangScheduler.validateGuarantees(configuration)
  }
}

/**
 * The gang scheduler of one term.
 *
 * Control releases a job and, for a requeue, submits it again in the same event. The scheduler must then see one job
 * that waits again, not a new one: otherwise the job would lose its place in the queue and the record of the workers
 * on which it failed. So a release is held back until the next call shows which of the two it is.
 */
export class SchedulerAdapter extends JobScheduler {
  readonly #scheduler: GangScheduler
  readonly #released = new Map<string, number>()

  constructor (settings: PlacementSettings) {
    super()
    this.#scheduler = new GangScheduler(settings, new BuddyCellPolicy())
  }

  override applyConfiguration (configuration: Configuration): void {
    this.#endReleased()
    this.#scheduler.applyConfiguration(configuration)
  }

  override workerJoined (workerId: string, nowMs: number): void {
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
    if (!this.#released.delete(job.jobId)) return this.#scheduler.submit(job, nowMs)
    this.#scheduler.reclaimed(job.jobId, nowMs)
    return undefined
  }

  override restore (job: JobSpec, placement: Placement, startedMs: number): void {
    this.#scheduler.restore(job, placement, startedMs)
  }

  override cancel (jobId: string, nowMs: number): void {
    this.#scheduler.cancel(jobId, nowMs)
  }

  override taskFailed (jobId: string, workerId: string, nowMs: number): void {
    this.#scheduler.taskFailed(jobId, workerId, nowMs)
  }

  override ended (jobId: string, nowMs: number): void {
    this.#released.set(jobId, nowMs)
  }

  override reclaimed (jobId: string, nowMs: number): void {
    this.#released.set(jobId, nowMs)
  }

  override pass (nowMs: number): PlacementDecision[] {
    this.#endReleased()
    return this.#scheduler.pass(nowMs)
  }

  override explain (jobId: string, nowMs: number): JobExplanation {
    return this.#scheduler.explain(jobId, nowMs)
  }

  override report (): FleetReport {
    this.#endReleased()
    return this.#scheduler.report()
  }

  override checkReclaimable (): ReclaimCheck {
    this.#endReleased()
    return this.#scheduler.checkReclaimable()
  }

  #endReleased (): void {
    for (const [jobId, releasedMs] of this.#released) this.#scheduler.ended(jobId, releasedMs)
    this.#released.clear()
  }
}
