/** Maintenance waves: VMs are cordoned, drained and restarted, a few at a time, within the wave's duration. */
import type { Clock, EventLog } from '@comfreygrade/core'
import type { BatchState, WaveRecord } from './batch-state.js'
import type { Assignment } from './commands.js'
import type { BatchSettings } from './settings.js'
import type { WorkerRegistry } from './worker-registry.js'
import type { WorkerView } from './worker-view.js'

/** The platform's answer to a call that begins the maintenance of one VM. */
export type MaintenanceAnswer =
  | 'begun'
  /** The VM is not up, or is leaving. */
  | 'busy'
  /** There is no such VM, or it is not part of the wave. */
  | 'not_applicable'
  /** Another node has used a higher fencing token. */
  | 'fenced'
  | 'failed'

/** A call to the platform to begin the maintenance of one VM. */
export interface MaintenanceCall {
  readonly waveId: string
  readonly vmId: string
}

interface VmDrain {
  readonly cordonedAtMs: number
  isCallPending: boolean
  /** A call without an answer may have begun the maintenance all the same, in which case the VM is back by then. */
  mayBeDownUntilMs: number
  /** Earliest time of the next call. */
  nextCallAtMs: number
}

/** Options of {@link MaintenancePlanner}. */
export interface MaintenancePlannerOptions {
  readonly state: BatchState
  readonly registry: WorkerRegistry
  /** Whether the disruption budgets of their steps allow to stop the runs together. */
  readonly allowsStops: (assignments: readonly Assignment[]) => boolean
  readonly settings: BatchSettings
  readonly clock: Clock
  readonly log: EventLog
}

/** Delay before a call is repeated that failed or found the VM busy. */
const CALL_RETRY_MS = 500

/** Plans the maintenance calls of one term. */
export class MaintenancePlanner {
  readonly #options: MaintenancePlannerOptions
  readonly #termStartedAtMs: number
  readonly #drains = new Map<string, VmDrain>()
  /** VMs whose maintenance has begun in this term, with the latest time at which they are back. */
  readonly #downUntilMs = new Map<string, number>()
  #isFenced = false

  constructor (options: MaintenancePlannerOptions) {
    this.#options = options
    this.#termStartedAtMs = options.clock.monotonicMs()
  }

  /** Whether a worker gets no new runs because its VM is being drained for maintenance. */
  isCordoned (view: WorkerView): boolean {
    return this.#drains.has(view.latest.vmId)
  }

  /** Whether a worker's VM is going down for maintenance, is down, or may be. */
  isGoingDown ({ latest: { vmId } }: WorkerView): boolean {
    const nowMs = this.#options.clock.monotonicMs()
    const drain = this.#drains.get(vmId)
    const mayBeDown = drain !== undefined && (drain.isCallPending || drain.mayBeDownUntilMs > nowMs)
    return mayBeDown || (this.#downUntilMs.get(vmId) ?? -Infinity) > nowMs
  }

  /** Views of the workers on cordoned VMs, whose runs should move now. */
  cordonedViews (): WorkerView[] {
    return this.#drains.size === 0 ? [] : [...this.#options.registry.views()].filter(view => this.isCordoned(view))
  }

  /**
   * Cordons the next VMs, and returns the calls that are due, which count as pending from then on. A new leader
   * begins none at first, since calls of an earlier leader may still be in progress.
   */
  startDueCalls (): MaintenanceCall[] {
    const nowMs = this.#options.clock.monotonicMs()
    if (this.#isFenced || nowMs - this.#termStartedAtMs < this.#options.settings.maintenanceCallGraceMs) return []
    const calls: MaintenanceCall[] = []
    for (const record of this.#options.state.waves()) {
      this.#cordonNextVms(record, nowMs)
      for (const vmId of this.#remainingVms(record)) {
        const drain = this.#drains.get(vmId)
        if (drain === undefined || drain.isCallPending || nowMs < drain.nextCallAtMs) continue
        if (!this.#isReadyForMaintenance(record, vmId, drain, nowMs)) continue
        drain.isCallPending = true
        calls.push({ waveId: record.wave.waveId, vmId })
      }
    }
    return calls
  }

  /**
   * Records the platform's answer; returns whether the maintenance of the VM counts as done, in which case the VM is no
   * longer cordoned. It remains in its wave until the command `maintenance_done` is applied.
   */
  recordAnswer ({ waveId, vmId }: MaintenanceCall, answer: MaintenanceAnswer): boolean {
    const nowMs = this.#options.clock.monotonicMs()
    this.#options.log.info('maintenance call answered', { waveId, vmId, answer })
    const drain = this.#drains.get(vmId)
    if (drain !== undefined) {
      drain.isCallPending = false
      drain.nextCallAtMs = nowMs + CALL_RETRY_MS
      if (answer === 'failed') drain.mayBeDownUntilMs = nowMs + this.#options.settings.maintenanceDownMs
    }
    if (answer === 'fenced') this.#isFenced = true
    if (answer !== 'begun' && answer !== 'not_applicable') return false
    this.#drains.delete(vmId)
    if (answer === 'begun') this.#downUntilMs.set(vmId, nowMs + this.#options.settings.maintenanceDownMs)
    return true
  }

  #remainingVms ({ wave, done }: WaveRecord): string[] {
    return wave.vmIds.filter(vmId => !done.includes(vmId))
  }

  /** Cordons VMs while fewer than the wave's `maxConcurrent` are cordoned or down. */
  #cordonNextVms (record: WaveRecord, nowMs: number): void {
    const { wave } = record
    const remaining = this.#remainingVms(record)
    const down = wave.vmIds.filter(vmId => (this.#downUntilMs.get(vmId) ?? -Infinity) > nowMs).length
    const cordoned = remaining.filter(vmId => this.#drains.has(vmId)).length
    const available = wave.maxConcurrent - down - cordoned
    for (const vmId of remaining.filter(candidate => !this.#drains.has(candidate)).slice(0, Math.max(0, available))) {
      this.#drains.set(vmId, {
        cordonedAtMs: nowMs, isCallPending: false, nextCallAtMs: nowMs, mayBeDownUntilMs: -Infinity
      })
      this.#options.log.info('VM cordoned for maintenance', { waveId: wave.waveId, vmId })
    }
  }

  /**
   * A VM counts as empty where its worker has no runs. Where no worker on it has reported in this term, it may be that
   * of any worker with runs that has not reported yet.
   */
  #isReadyForMaintenance (record: WaveRecord, vmId: string, drain: VmDrain, nowMs: number): boolean {
    const { registry, state, allowsStops } = this.#options
    const view = [...registry.views()].find(candidate => candidate.latest.vmId === vmId)
    if (view === undefined) return !registry.hasUnreportedWorkersWithRuns()
    const runs = [...state.runsOf(view.latest.workerId)]
    if (runs.length === 0) return true
    // A late wave is better than exceeding the disruption budget of a lasting step.
    return nowMs - drain.cordonedAtMs >= this.#maxDrainMs(record) && allowsStops(runs)
  }

  /** Longest wait for the runs of one VM: the remaining time of the wave, divided among the remaining rounds of VMs. */
  #maxDrainMs (record: WaveRecord): number {
    const { wave, startedWallMs } = record
    const waveRemainingMs = startedWallMs + wave.durationMs - this.#options.clock.wallMs()
    const rounds = Math.ceil(this.#remainingVms(record).length / wave.maxConcurrent)
    const perRoundMs = waveRemainingMs / Math.max(1, rounds) - this.#options.settings.maintenanceDownMs
    return Math.min(this.#options.settings.maxMaintenanceDrainMs, Math.max(0, perRoundMs))
  }
}
