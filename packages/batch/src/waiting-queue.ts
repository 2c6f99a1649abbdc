/** Queue of the steps that wait, for one scheduling pass. */
import type { Clock } from '@comfreygrade/core'
import TinyQueue from 'tinyqueue'
import type { BatchState } from './batch-state.js'
import { lowestIndex } from './binary-search.js'
import { GuaranteeCoverage } from './guarantee-coverage.js'
import type { JobRecord } from './job-record.js'
import { countDue, occurrenceDueMs, type StepSpec } from './jobs.js'
import type { OccurrenceRecord } from './occurrence-table.js'
import type { BatchPolicies } from './policies.js'
import type { SchedulingOrder } from './scheduling-order.js'
import type { BatchSettings } from './settings.js'
import { hasWaitingTasks, queuedStep, type QueuedStep, type StepLocation } from './waiting-steps.js'

/** Options of {@link WaitingQueue}. */
export interface WaitingQueueOptions {
  readonly state: BatchState
  readonly clock: Clock
  readonly settings: BatchSettings
  readonly policies: Pick<BatchPolicies, 'runTimes' | 'shares'>
  readonly order: SchedulingOrder
}

/** The first step of a run of occurrences of one job, of which none has started and which follow one another. */
interface Head {
  readonly location: StepLocation
  readonly lastOccurrence: number
  /** Place of the job among the open ones, which decides between steps that are equal otherwise. */
  readonly jobPosition: number
}

/** A step in the queue. */
export interface QueueEntry extends Head {
  readonly step: QueuedStep
}

/** Most steps by which the work of further occurrences of one job and step is described. */
const MAX_WORK_ITEMS_PER_HEAD = 32

/**
 * Steps in scheduling order. Of occurrences that have not started, which are alike but for the time at which they were
 * due, it holds only the first one of each class of the order; the next one follows once that one was considered. So
 * its size depends on the jobs and on what has started, not on the number of tasks that wait.
 *
 * @example
 * const queue = new WaitingQueue({ state, clock, settings, policies, order })
 * queue.sort((left, right) => order.compare(left, right, clock.wallMs()))
 * for (let entry = queue.take(); entry !== undefined; entry = queue.take()) consider(entry.step)
 */
export class WaitingQueue {
  /** Number of tasks of open jobs that have started and are not done. */
  readonly startedTaskCount: number
  readonly #options: WaitingQueueOptions
  readonly #nowWallMs: number
  readonly #heads: Head[] = []
  #entries: readonly QueueEntry[] = []
  #queue = new TinyQueue<QueueEntry>()
  #work: readonly QueuedStep[] | undefined

  constructor (options: WaitingQueueOptions) {
    this.#options = options
    this.#nowWallMs = options.clock.wallMs()
    this.startedTaskCount = this.#collectHeads()
  }

  get isEmpty (): boolean {
    return this.#heads.length === 0
  }

  /** Organisations with steps that wait. */
  organisations (): Set<string> {
    return new Set(this.#heads.map(({ location }) => location.job.organisation))
  }

  /** Puts the steps in order; reads the shares of the organisations as they are now. */
  sort (compare: (left: QueuedStep, right: QueuedStep) => number): void {
    this.#entries = this.#heads.flatMap(head => this.#splitByClass(head))
    this.#queue = new TinyQueue([...this.#entries], (left, right) =>
      compare(left.step, right.step) || comparePosition(left, right))
  }

  /** Removes and returns the first step. */
  take (): QueueEntry | undefined {
    return this.#queue.pop()
  }

  /** Removes and returns all steps, in order. */
  takeAll (): QueueEntry[] {
    const entries: QueueEntry[] = []
    for (let entry = this.take(); entry !== undefined; entry = this.take()) entries.push(entry)
    return entries
  }

  push (entry: QueueEntry): void {
    this.#queue.push(entry)
  }

  /** The same step of the next occurrence that has not started, after one that was considered. */
  following (entry: QueueEntry): QueueEntry | undefined {
    const { location, lastOccurrence } = entry
    const occurrence = location.job.occurrences.firstUnstarted(location.occurrence + 1)
    return occurrence > lastOccurrence ? undefined : this.#entryAt({ ...entry, location: { ...location, occurrence } })
  }

  /**
   * All work that waited when the queue was sorted. Where many occurrences of a job wait, one item stands for several
   * of them, as if all of these were due at the time of the last one.
   */
  work (): readonly QueuedStep[] {
    this.#work ??= this.#entries.flatMap(entry => this.#workOf(entry))
    return this.#work
  }

  /** Returns the number of tasks that have started and are not done. */
  #collectHeads (): number {
    const { state, clock, settings } = this.#options
    const latestDueMs = clock.wallMs() - settings.dueMarginMs
    const guarantees = new GuaranteeCoverage(state)
    let startedTaskCount = 0
    let jobPosition = 0
    for (const job of state.openJobs()) {
      const common = { job, queue: state.queueOf(job), isGuaranteed: guarantees.covers(job) }
      for (const [occurrence, record] of job.occurrences.started()) {
        startedTaskCount += countRecords(record)
        if (occurrenceDueMs(job.spec, occurrence) > latestDueMs) continue
        this.#addStarted({ ...common, occurrence }, record, jobPosition)
      }
      this.#addUnstarted(common, latestDueMs, jobPosition)
      jobPosition++
    }
    return startedTaskCount
  }

  #addStarted (
    common: Pick<StepLocation, 'job' | 'queue' | 'isGuaranteed' | 'occurrence'>, { steps }: OccurrenceRecord,
    jobPosition: number
  ): void {
    for (const [stepIndex, spec] of common.job.spec.steps.entries()) {
      const record = steps[stepIndex]
      if (record === undefined || record.isDone || !hasWaitingTasks(spec, record)) continue
      if (!spec.dependsOn.every(index => steps[index]?.isDone === true)) continue
      const location = { ...common, stepIndex, spec, record }
      this.#heads.push({ location, lastOccurrence: common.occurrence, jobPosition })
    }
  }

  #addUnstarted (
    common: Pick<StepLocation, 'job' | 'queue' | 'isGuaranteed'>, latestDueMs: number, jobPosition: number
  ): void {
    const { job } = common
    const occurrence = job.occurrences.firstUnstarted(0)
    if (occurrence >= job.occurrences.count) return
    const lastOccurrence = countDue(job.spec, latestDueMs) - 1
    if (occurrence > lastOccurrence) return
    for (const [stepIndex, spec] of job.spec.steps.entries()) {
      if (!isReadyAtFirst(job, spec)) continue
      const location = { ...common, occurrence, stepIndex, spec, record: undefined }
      this.#heads.push({ location, lastOccurrence, jobPosition })
    }
  }

  /** One entry for each class of the order among the occurrences; later ones have no higher class. */
  #splitByClass (head: Head): QueueEntry[] {
    const { location, lastOccurrence } = head
    const { occurrences } = location.job
    const entries: QueueEntry[] = []
    let from = location.occurrence
    while (from <= lastOccurrence) {
      const entry = this.#entryAt({ ...head, location: { ...location, occurrence: from } })
      const end = this.#endOfClass(entry)
      entries.push({ ...entry, lastOccurrence: end - 1 })
      from = end > lastOccurrence ? end : occurrences.firstUnstarted(end)
    }
    return entries
  }

  /** The first occurrence after those of the entry's class. */
  #endOfClass (entry: QueueEntry): number {
    const { location, lastOccurrence, step } = entry
    const first = location.occurrence
    if (first === lastOccurrence) return first + 1
    const { order } = this.#options
    const ownClass = order.classOf(step, this.#nowWallMs)
    return first + lowestIndex(lastOccurrence - first + 1, offset => {
      const later = this.#entryAt({ ...entry, location: { ...location, occurrence: first + offset } })
      return order.classOf(later.step, this.#nowWallMs) !== ownClass
    })
  }

  #entryAt (head: Head): QueueEntry {
    return { ...head, step: queuedStep(head.location, this.#nowWallMs, this.#options.policies) }
  }

  #workOf (entry: QueueEntry): QueuedStep[] {
    const { location, lastOccurrence, step } = entry
    const first = location.occurrence
    if (first === lastOccurrence) return [step]
    const perItem = Math.ceil((lastOccurrence - first + 1) / MAX_WORK_ITEMS_PER_HEAD)
    const items: QueuedStep[] = []
    for (let from = first; from <= lastOccurrence; from += perItem) {
      const last = Math.min(lastOccurrence, from + perItem - 1)
      const lastStep = this.#entryAt({ ...entry, location: { ...location, occurrence: last } }).step
      items.push({ ...lastStep, waitingTaskCount: step.waitingTaskCount * (last - from + 1) })
    }
    return items
  }
}

/** Whether a step of an occurrence that has not started waits for no other one. */
function isReadyAtFirst ({ spec: { steps } }: JobRecord, { taskCount, dependsOn }: StepSpec): boolean {
  return taskCount > 0 && dependsOn.every(index => steps[index]?.taskCount === 0)
}

function countRecords ({ steps }: OccurrenceRecord): number {
  return steps.reduce((sum, step) => sum + step.recordCount, 0)
}

function comparePosition (left: QueueEntry, right: QueueEntry): number {
  return left.jobPosition - right.jobPosition || left.location.occurrence - right.location.occurrence ||
    left.location.stepIndex - right.location.stepIndex
}
