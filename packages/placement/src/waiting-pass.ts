/** The part of a scheduling pass that tries waiting jobs in their order, until too many of them did not fit. */
import type { JobRecord } from './job-record.js'
import type { PlacementPolicy, WaitingOrderKey } from './policies.js'
import { Heap, type WaitingGroup, type WaitingJobs, type WaitingQueue } from './waiting-jobs.js'

/**
 * Result of a trial: one attempt to place a waiting job. `over_quota` means that even the smallest plan exceeds the
 * remaining quota; if only the plans that were found exceed it, the result is `no_fit`.
 */
export type TrialResult = 'placed' | 'claimed' | 'no_fit' | 'over_quota' | 'stopped'

/** A job that may be tried, usually the first one of an open group. */
interface PassEntry {
  readonly group: WaitingGroup
  readonly job: JobRecord
  readonly orderKey: WaitingOrderKey
}

/** Options of {@link WaitingPass}. */
export interface WaitingPassOptions {
  readonly policy: PlacementPolicy
  readonly waitingJobs: WaitingJobs
  /** The pass ends after this many trials without a placement. */
  readonly maxFailedTrials: number
  readonly orderKeyOf: (job: JobRecord) => WaitingOrderKey
  /** Whether a job has to wait for an earlier one of its accelerator model that does not fit. */
  readonly isBlocked: (job: JobRecord, orderKey: WaitingOrderKey) => boolean
  readonly tryJob: (job: JobRecord) => TrialResult
}

/** Tries the first job of each open group, and the next one of its queue after it. */
export class WaitingPass {
  readonly #options: WaitingPassOptions
  readonly #heap: Heap<PassEntry>
  #failedTrials = 0

  constructor (options: WaitingPassOptions) {
    this.#options = options
    this.#heap = new Heap((left, right) => options.policy.compareWaiting(left.orderKey, right.orderKey))
  }

  /** Runs the pass; `reservationHolders` are tried although they may not be the first of their groups. */
  run (reservationHolders: Iterable<JobRecord>): void {
    for (const job of reservationHolders) this.#push(job)
    for (const queue of this.#options.waitingJobs.queues) this.#pushNextOpen(queue)
    for (let entry = this.#heap.pop(); entry !== undefined; entry = this.#heap.pop()) {
      if (this.#failedTrials >= this.#options.maxFailedTrials) return
      this.#process(entry)
    }
  }

  #push (job: JobRecord): void {
    this.#heap.push({ group: job.group!, job, orderKey: this.#options.orderKeyOf(job) })
  }

  #pushNextOpen (queue: WaitingQueue): void {
    const group = queue.firstOpen()
    if (group !== undefined) this.#push(group.first!)
  }

  /** Placing jobs raises the attained share of their organisation, so an entry may have to be queued again. */
  #process ({ group, job, orderKey }: PassEntry): void {
    const { policy, orderKeyOf, isBlocked } = this.#options
    // The job was placed, stopped or moved to another group since the entry was pushed.
    if (job.group !== group) return this.#pushNextOpen(group.queue)
    const current = orderKeyOf(job)
    if (policy.compareWaiting(current, orderKey) > 0) this.#heap.push({ group, job, orderKey: current })
    else if (isBlocked(job, current)) this.#skip(group)
    else this.#try(group, job)
  }

  /** Closes a group of a blocked model; it reopens when capacity of the model is freed, which also ends the block. */
  #skip (group: WaitingGroup): void {
    this.#options.waitingJobs.close(group)
    this.#pushNextOpen(group.queue)
  }

  #try (group: WaitingGroup, job: JobRecord): void {
    const isFirst = group.first === job
    const result = this.#options.tryJob(job)
    if (result === 'no_fit' || result === 'over_quota') {
      this.#failedTrials++
      if (isFirst) this.#options.waitingJobs.close(group)
    }
    this.#pushNextOpen(group.queue)
  }
}
