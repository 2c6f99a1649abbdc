/** Heartbeats that wait for their answers. */
import type { Clock } from '@comfreygrade/core'
import type { BatchSettings } from './settings.js'
import type { WorkerView } from './worker-view.js'

/** A heartbeat that waits for its answer. */
export interface OpenReport {
  readonly requestId: string
  /** View of the sender, also where the leader has forgotten it meanwhile. */
  readonly view: WorkerView
  readonly receivedAtMs: number
}

/** Options of {@link ReportDesk}. */
export interface ReportDeskOptions {
  readonly settings: BatchSettings
  readonly clock: Clock
  /** Whether commands about a worker are under way. */
  readonly isBusy: (workerId: string) => boolean
  /** Whether a pass is due or its assignments are not committed yet. */
  readonly isPassPending: () => boolean
}

/**
 * Decides when a heartbeat is answered. Answers wait for the worker's own commands, and a little for a pass that may
 * give it work. A worker with nothing to do waits longer, so that work reaches it at once without frequent heartbeats.
 */
export class ReportDesk {
  readonly #options: ReportDeskOptions
  /** Both in order of reception. */
  readonly #open = new Map<string, OpenReport>()
  readonly #idle = new Map<string, OpenReport>()

  constructor (options: ReportDeskOptions) {
    this.#options = options
  }

  /** Takes a heartbeat; returns an earlier one of the same worker, which nobody waits for any more. */
  take (open: OpenReport, isIdle: boolean): OpenReport | undefined {
    const { workerId } = open.view.latest
    const earlier = this.#open.get(workerId) ?? this.#idle.get(workerId)
    this.#open.delete(workerId)
    this.#idle.delete(workerId)
    const queue = isIdle ? this.#idle : this.#open
    queue.set(workerId, open)
    return earlier
  }

  /** Answers an idle worker soon, since there is something to tell it. */
  wake (workerId: string): void {
    const open = this.#idle.get(workerId)
    if (open === undefined) return
    this.#idle.delete(workerId)
    this.#open.set(workerId, open)
  }

  /** Heartbeats whose answers are due, which are taken out. */
  takeDue (): OpenReport[] {
    const nowMs = this.#options.clock.monotonicMs()
    const due = [...this.#open.values()].filter(open => nowMs - open.receivedAtMs >= this.#holdMs(open))
    for (const { view } of due) this.#open.delete(view.latest.workerId)
    for (const open of this.#idle.values()) {
      if (nowMs - open.receivedAtMs < this.#options.settings.maxIdleHoldMs) break
      this.#idle.delete(open.view.latest.workerId)
      due.push(open)
    }
    return due
  }

  #holdMs ({ view }: OpenReport): number {
    const { settings, isBusy, isPassPending } = this.#options
    if (isBusy(view.latest.workerId)) return settings.maxReportHoldMs
    return isPassPending() ? settings.maxPassHoldMs : 0
  }
}
