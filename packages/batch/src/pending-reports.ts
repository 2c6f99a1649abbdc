/** Reports that wait for their answers. */
import type { Clock } from '@comfreygrade/core'
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
 * briefly for a pass that may assign runs to it. For an idle worker it waits longer (long polling), so that runs reach
 * the worker at once without frequent heartbeats.
 */
export class PendingReports {
  readonly #options: PendingReportsOptions
  /** Reports that wait briefly, by worker. */
  readonly #active = new Map<string, PendingReport>()
  /** Reports that wait long, by worker; in order of reception, so that the first is due first. */
  readonly #idle = new Map<string, PendingReport>()

  constructor (options: PendingReportsOptions) {
    this.#options = options
  }

  /** Adds a report; returns an earlier one of the same worker, whose answer the worker no longer waits for. */
  add (pending: PendingReport, isIdle: boolean): PendingReport | undefined {
    const { workerId } = pending.view.latest
    const earlier = this.#active.get(workerId) ?? this.#idle.get(workerId)
    this.#active.delete(workerId)
    this.#idle.delete(workerId)
    const pendingByWorker = isIdle ? this.#idle : this.#active
    pendingByWorker.set(workerId, pending)
    return earlier
  }

  /** Ends the long wait of an idle worker, since there are orders for it. */
  wake (workerId: string): void {
    const pending = this.#idle.get(workerId)
    if (pending === undefined) return
    this.#idle.delete(workerId)
    this.#active.set(workerId, pending)
  }

  /** Removes and returns the reports whose answers are due. */
  takeDue (): PendingReport[] {
    const nowMs = this.#options.clock.monotonicMs()
    const due = [...this.#active.values()].filter(pending => nowMs - pending.receivedAtMs >= this.#maxHoldMs(pending))
    for (const { view } of due) this.#active.delete(view.latest.workerId)
    for (const pending of this.#idle.values()) {
      if (nowMs - pending.receivedAtMs < this.#options.settings.maxIdleHoldMs) break
      this.#idle.delete(pending.view.latest.workerId)
      due.push(pending)
    }
    return due
  }

  #maxHoldMs ({ view }: PendingReport): number {
    const { settings, hasCommandsInFlight, isPassPending } = this.#options
    if (hasCommandsInFlight(view.latest.workerId)) return settings.maxReportHoldMs
    return isPassPending() ? settings.maxPassHoldMs : 0
  }
}
