/** Reports that wait for their answers. */
import { DeadlineQueue, type Clock } from '@comfreygrade/core'
import type { BatchSettings } from './settings.js'
import type { WorkerView } from './worker-view.js'

/** A report that waits for its answer. */
export interface PendingReport {
  readonly requestId: string
  /** View of the sender; it may have been removed from the registry meanwhile. */
  readonly view: WorkerView
  readonly receivedAtMs: number
}

/** Options of {@link PendingReports}. */
export interface PendingReportsOptions {
  readonly settings: BatchSettings
  readonly clock: Clock
  /** Whether proposed commands that concern a worker are not settled yet. */
  readonly hasCommandsInFlight: (workerId: string) => boolean
  /** Whether a pass is due or its assignments are not committed yet. */
  readonly isPassPending: () => boolean
}

/**
 * Decides when a report is answered. The answer waits until proposed commands that concern the worker are settled, and
 * briefly for a pass that may assign runs to it. A report may also be held for longer, until there are orders for its
 * worker.
 */
export class PendingReports {
  readonly #options: PendingReportsOptions
  /** Reports that wait briefly, by worker. */
  readonly #waiting = new Map<string, PendingReport>()
  /** Reports that are held, by worker, and when they no longer are. */
  readonly #held = new Map<string, PendingReport>()
  readonly #holdDeadlines = new DeadlineQueue()
  /** Reports that are answered next, whatever else they wait for. */
  #released: PendingReport[] = []

  constructor (options: PendingReportsOptions) {
    this.#options = options
  }

  /**
   * Adds a report, which is held for `holdMs` unless that is 0; returns an earlier one of the same worker, whose answer
   * the worker no longer waits for.
   */
  add (pending: PendingReport, holdMs: number): PendingReport | undefined {
    const { workerId } = pending.view.latest
    const earlier = this.#remove(workerId)
    if (holdMs === 0) {
      this.#waiting.set(workerId, pending)
    } else {
      this.#held.set(workerId, pending)
      this.#holdDeadlines.set(workerId, pending.receivedAtMs + holdMs)
    }
    return earlier
  }

  /** Whether a worker waits for an answer, so that orders reach it at once. */
  has (workerId: string): boolean {
    return this.#waiting.has(workerId) || this.#held.has(workerId)
  }

  /** Holds the report of a worker, if there is one, until `holdMs` after it was received. */
  extendHold (workerId: string, holdMs: number): void {
    const pending = this.#remove(workerId)
    if (pending !== undefined) this.add(pending, holdMs)
  }

  /** Ends the hold of a report, since there are orders for its worker. */
  wake (workerId: string): void {
    const pending = this.#held.get(workerId)
    if (pending === undefined) return
    this.#remove(workerId)
    this.#waiting.set(workerId, pending)
  }

  /** Has the report of a worker answered next. */
  release (workerId: string): void {
    const pending = this.#remove(workerId)
    if (pending !== undefined) this.#released.push(pending)
  }

  /** Removes and returns the reports whose answers are due. */
  takeDue (): PendingReport[] {
    const nowMs = this.#options.clock.monotonicMs()
    for (const workerId of this.#holdDeadlines.takeDue(nowMs)) this.wake(workerId)
    const due = this.#released
    this.#released = []
    for (const [workerId, pending] of this.#waiting) {
      if (nowMs - pending.receivedAtMs < this.#maxWaitMs(pending)) continue
      this.#waiting.delete(workerId)
      due.push(pending)
    }
    return due
  }

  #maxWaitMs ({ view }: PendingReport): number {
    const { settings, hasCommandsInFlight, isPassPending } = this.#options
    if (hasCommandsInFlight(view.latest.workerId)) return settings.maxReportHoldMs
    return isPassPending() ? settings.maxPassHoldMs : 0
  }

  #remove (workerId: string): PendingReport | undefined {
    const pending = this.#waiting.get(workerId) ?? this.#held.get(workerId)
    this.#waiting.delete(workerId)
    this.#held.delete(workerId)
    this.#holdDeadlines.delete(workerId)
    return pending
  }
}
