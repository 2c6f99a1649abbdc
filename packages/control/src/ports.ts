/** Ports of the control package to placement. */
import type { Configuration, Failure, JobExplanation, JobSpec, Placement } from '@comfreygrade/core'
import type { FleetReport, PlacementDecision, ReclaimCheck } from '@comfreygrade/placement'

/** Decides whether an inventory can hold every guarantee at once. Must be deterministic: every replica asks it. */
export abstract class GuaranteeValidator {
  /** Gives the failure `guarantee_unsatisfiable`, or undefined when all guarantees fit. */
  abstract validate (configuration: Configuration): Failure | undefined
}

/**
 * The gang scheduler as the control leader uses it.
 *
 * The scheduler knows a job from `submit` or `restore` until `cancel`, `ended` or `reclaimed`. None of these three
 * makes it wait again; a requeued job is submitted anew. All of them ignore a job that is not known.
 */
export abstract class JobScheduler {
  /** Replaces the inventory; joined workers and placed jobs stay. */
  abstract applyConfiguration (configuration: Configuration): void
  /** Makes a worker available; ends an earlier loss or drain. */
  abstract workerJoined (workerId: string, nowMs: number): void
  abstract workerLost (workerId: string, nowMs: number): void
  /** Stops new placements on a worker until it joins again. */
  abstract drainWorker (workerId: string): void
  abstract submit (job: JobSpec, nowMs: number): Failure | undefined
  /** Adds a job that is already placed, after a change of leader; some of its workers may not be joined. */
  abstract restore (job: JobSpec, placement: Placement, startedMs: number): void
  /** Removes a waiting job. */
  abstract cancel (jobId: string, nowMs: number): void
  abstract taskFailed (jobId: string, workerId: string, nowMs: number): void
  /** All leases of a placed job are released. */
  abstract ended (jobId: string, nowMs: number): void
  /** All leases of a job that the scheduler asked to leave are released. */
  abstract reclaimed (jobId: string, nowMs: number): void
  abstract pass (nowMs: number): PlacementDecision[]
  abstract explain (jobId: string, nowMs: number): JobExplanation
  abstract report (): FleetReport
  abstract checkReclaimable (): ReclaimCheck
}
