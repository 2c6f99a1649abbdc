/** Waves of maintenance: each VM restarts in time, few at once, and its work is moved first. */
import type { Clock, EventLog } from '@comfreygrade/core'
import type { BatchState, WaveRecord } from './batch-state.js'
import type { Assignment } from './commands.js'
import type { BatchSettings } from './settings.js'
import type { WorkerTable } from './worker-registry.js'
import type { WorkerView } from './worker-view.js'

/** What the platform said to a maintenance of one VM. */
export type MaintenanceAnswer =
  | 'begun'
  /** The VM is not up, or it leaves. */
  | 'busy'
  /** There is no such VM, or it is not of the wave. */
  | 'not_applicable'
  /** Another node has used a higher fencing token. */
  | 'fenced'
  | 'failed'

/** A VM whose maintenance is due. */
export interface MaintenanceCall {
  readonly waveId: string
  readonly vmId: string
}

interface VmProgress {
  cordonedAtMs: number
  isCalling: boolean
  /** No call before this time. */
  notBeforeMs: number
}

/** Options of {@link MaintenancePlanner}. */
export interface MaintenancePlannerOptions {
  readonly state: BatchState
  readonly workers: WorkerTable
  /** Whether an order may end the run, as far as its step allows. */
  readonly maySpare: (run: Assignment) => boolean
  readonly settings: BatchSettings
  readonly clock: Clock
  readonly log: EventLog
}

/** A call that failed or found the VM busy is repeated after this time. */
const RETRY_MS = 500

/** Plans the waves of one term. */
export class MaintenancePlanner {
  readonly #options: MaintenancePlannerOptions
  readonly #termStartedAtMs: number
  readonly #vms = new Map<string, VmProgress>()
  /** VMs whose maintenance has begun in this term, with the time at which they are back at the latest. */
  readonly #downUntilMs = new Map<string, number>()
  #isFenced = false

  constructor (options: MaintenancePlannerOptions) {
    this.#options = options
    this.#termStartedAtMs = options.clock.monotonicMs()
  }

  /** Whether a worker gets no new runs because its VM is next. */
  isCordoned (view: WorkerView): boolean {
    return this.#vms.has(view.latest.vmId)
  }

  /** Workers whose runs should move now, since their VM is next. */
  cordonedViews (): WorkerView[] {
    return this.#vms.size === 0 ? [] : [...this.#options.workers.views()].filter(view => this.isCordoned(view))
  }

  /** Calls that are due; a new leader waits until calls of an earlier one can no longer be under way. */
  dueCalls (): MaintenanceCall[] {
    const nowMs = this.#options.clock.monotonicMs()
    if (this.#isFenced || nowMs - this.#termStartedAtMs < this.#options.settings.orderLeaseMs) return []
    const calls: MaintenanceCall[] = []
    for (const record of this.#options.state.waves()) {
      this.#cordonNext(record, nowMs)
      for (const vmId of this.#openVms(record)) {
        const progress = this.#vms.get(vmId)
        if (progress === undefined || progress.isCalling || nowMs < progress.notBeforeMs) continue
        if (!this.#isReady(record, vmId, progress, nowMs)) continue
        progress.isCalling = true
        calls.push({ waveId: record.wave.waveId, vmId })
      }
    }
    return calls
  }

  /** Takes the platform's answer; returns whether the maintenance of the VM counts as begun. */
  answered ({ waveId, vmId }: MaintenanceCall, answer: MaintenanceAnswer): boolean {
    const nowMs = this.#options.clock.monotonicMs()
    this.#options.log.info('maintenance call answered', { waveId, vmId, answer })
    const progress = this.#vms.get(vmId)
    if (progress !== undefined) Object.assign(progress, { isCalling: false, notBeforeMs: nowMs + RETRY_MS })
    if (answer === 'fenced') this.#isFenced = true
    if (answer !== 'begun' && answer !== 'not_applicable') return false
    this.#vms.delete(vmId)
    if (answer === 'begun') this.#downUntilMs.set(vmId, nowMs + this.#options.settings.maintenanceDownMs)
    return true
  }

  #openVms ({ wave, done }: WaveRecord): string[] {
    return wave.vmIds.filter(vmId => !done.includes(vmId))
  }

  /** As many VMs as may be down at once are emptied at a time. */
  #cordonNext (record: WaveRecord, nowMs: number): void {
    const { wave } = record
    const open = this.#openVms(record)
    const down = wave.vmIds.filter(vmId => (this.#downUntilMs.get(vmId) ?? -Infinity) > nowMs).length
    const cordoned = open.filter(vmId => this.#vms.has(vmId)).length
    const free = wave.maxConcurrent - down - cordoned
    for (const vmId of open.filter(candidate => !this.#vms.has(candidate)).slice(0, Math.max(0, free))) {
      this.#vms.set(vmId, { cordonedAtMs: nowMs, isCalling: false, notBeforeMs: nowMs })
      this.#options.log.info('VM is emptied for maintenance', { waveId: wave.waveId, vmId })
    }
  }

  #isReady (record: WaveRecord, vmId: string, progress: VmProgress, nowMs: number): boolean {
    const view = [...this.#options.workers.views()].find(candidate => candidate.latest.vmId === vmId)
    const runs = view === undefined ? [] : [...this.#options.state.runsOf(view.latest.workerId)]
    if (runs.length === 0) return true
    // A late wave is better than too many tasks of a lasting step away at once.
    return nowMs - progress.cordonedAtMs >= this.#patienceMs(record) && runs.every(run => this.#options.maySpare(run))
  }

  /** Time for one VM: what is left of the wave, shared by the VMs that follow one another. */
  #patienceMs (record: WaveRecord): number {
    const { wave, startedWallMs } = record
    const leftMs = startedWallMs + wave.durationMs - this.#options.clock.wallMs()
    const rounds = Math.ceil(this.#openVms(record).length / wave.maxConcurrent)
    const perRoundMs = leftMs / Math.max(1, rounds) - this.#options.settings.maintenanceDownMs
    return Math.min(this.#options.settings.maxMaintenancePatienceMs, Math.max(0, perRoundMs))
  }
}
