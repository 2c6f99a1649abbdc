/** Ports of the control package to the placement scheduler. */
import type { Configuration, Failure, JobExplanation, JobSpec, Placement } from '@comfreygrade/core'
import type { FleetReport, PlacementDecision, ReclaimCheck } from '@comfreygrade/placement'

/** Checks whether an inventory can satisfy all guarantees at once. Must be deterministic: every replica calls it. */
export abstract class GuaranteeValidator {
  /** Returns a failure of the kind `guarantee_unsatisfiable`, or undefined if all guarantees can be satisfied. */
  abstract validate (configuration: Configuration): Failure | undefined
}

/**
 * Gang scheduler as seen by the control leader.
 *
 * The scheduler tracks a job from its submission or restoration until it is ended or reclaimed, or is cancelled while
 * it waits. None of these calls requeues the job; all ignore an unknown job. The leader requeues a placed job by
 * removing it as ended or reclaimed and submitting it again in the same event, before the next scheduling pass. It is
 * then still the same job, which keeps its place in the queue and the record of the workers on which it failed. A job
 * may also be restored directly after its removal, if the placement that the scheduler knows is not the committed one.
 */
export abstract class JobScheduler {
  /** Replaces the configuration; joined workers and placed jobs are kept. */
  abstract applyConfiguration (configuration: Configuration): void
  /** Makes a worker available again after any loss or drain. */
  abstract workerJoined (workerId: string, nowMs: number): void
  /** Removes a worker. Placed jobs with tasks on it stay placed until they are ended or reclaimed. */
  abstract workerLost (workerId: string, nowMs: number): void
  /** Stops new placements on a worker until it joins again. */
  abstract drainWorker (workerId: string): void
  /** Queues a job; returns why it is refused, or undefined if it waits. */
  abstract submit (job: JobSpec, nowMs: number): Failure | undefined
  /** Adds a job that is already placed, for example after a change of leader. Its workers may not have joined. */
  abstract restore (job: JobSpec, placement: Placement, startedMs: number): void
  /** Removes a waiting job. A placed one keeps its cells until it is removed, but its run time does not count. */
  abstract cancel (jobId: string, nowMs: number): void
  /** Records that a task of a job failed on a worker. The job keeps its cells until it is ended or reclaimed. */
  abstract taskFailed (jobId: string, workerId: string, nowMs: number): void
  /** Removes a placed job. Its tasks are all released or completed, or its placement was rejected or refused. */
  abstract jobEnded (jobId: string, nowMs: number): void
  /** Like the removal of an ended job, for one that the leader stopped because of a `reclaim` decision. */
  abstract jobReclaimed (jobId: string, nowMs: number): void
  /**
   * Runs a scheduling pass. A job of a returned `place` decision counts as placed from then on, before its command is
   * committed. If the command is rejected or refused, the leader removes the job and, if it still waits, submits it
   * again.
   */
  abstract runPass (nowMs: number): PlacementDecision[]
  /** Explains why a job waits, or how it was placed or refused. */
  abstract explain (jobId: string, nowMs: number): JobExplanation
  /** Returns the state of the fleet for operators. */
  abstract report (): FleetReport
  /** Checks whether all organisations could claim their guarantees at once. */
  abstract checkReclaimable (): ReclaimCheck
}
