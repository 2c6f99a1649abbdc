/** Workers that the leader of this term has heard. */
import type { Clock, EventLog } from '@comfreygrade/core'
import type { BatchState } from './batch-state.js'
import type { RunEnd, WorkerLife } from './commands.js'
import { couldHold } from './worker-capacity.js'
import { jobIdOf } from './jobs.js'
import type { BatchSettings } from './settings.js'
import { WorkerHealth } from './worker-health.js'
import type { WaitingStep } from './waiting-steps.js'
import { FULL_PROGRESS_PERCENT, type WorkerReport } from './worker-messages.js'
import { WorkerPlaces } from './worker-locations.js'
import { WorkerView } from './worker-view.js'

/** What became of a heartbeat. */
export type Reception =
  | { readonly kind: 'ignored', readonly reason: 'earlier_life' | 'late' | 'left', readonly replaced: readonly WorkerView[] }
  | { readonly kind: 'taken', readonly view: WorkerView, readonly isNew: boolean, readonly replaced: readonly WorkerView[] }

/** Longer than a heartbeat may be held up on its way. */
const FORGET_GONE_AFTER_MS = 300_000
/** Share of the estimated run time that one percent of progress may take on a slow worker. */
const SUSPECT_ESTIMATE_SHARE = 0.05

/** A life that has said that it leaves for good. */
interface LeftLife extends WorkerLife {
  readonly leftAtMs: number
}

/** Views by worker, with the lives that later ones replace. */
export class WorkerTable {
  readonly #state: BatchState
  readonly #settings: BatchSettings
  readonly #clock: Clock
  readonly #log: EventLog
  readonly #health: WorkerHealth
  readonly #views = new Map<string, WorkerView>()
  readonly #places = new WorkerPlaces()
  readonly #leftLives = new Map<string, LeftLife>()
  readonly #startedJobs = new Set<string>()
  readonly #termStartedAtMs: number

  constructor (state: BatchState, settings: BatchSettings, clock: Clock, log: EventLog) {
    this.#state = state
    this.#settings = settings
    this.#clock = clock
    this.#log = log
    this.#health = new WorkerHealth(clock, log)
    this.#termStartedAtMs = clock.monotonicMs()
  }

  /** Takes a heartbeat. */
  receive (report: WorkerReport): Reception {
    if (this.#hasLeft(report)) return { kind: 'ignored', reason: 'left', replaced: [] }
    const known = this.#views.get(report.workerId)
    const others = this.#viewsAt(report)
    if (others.some(view => view.latest.incarnation > report.incarnation)) {
      return { kind: 'ignored', reason: 'earlier_life', replaced: [] }
    }
    const replaced = others.filter(view => view.latest.incarnation < report.incarnation)
    for (const { latest } of replaced) this.forget(latest.workerId)
    if (known === undefined || replaced.includes(known)) {
      return { kind: 'taken', view: this.#add(report), isNew: true, replaced }
    }
    const { latest } = known
    const isTaken = known.accept(report, this.#clock.monotonicMs())
    if (!isTaken) return { kind: 'ignored', reason: 'late', replaced }
    if (latest.address !== report.address || latest.vmId !== report.vmId) this.#moved(latest, report)
    if (latest.state !== 'leaving' && report.state === 'leaving') this.#log.info('worker is leaving', { ...lifeOf(report) })
    this.#noteStarted(report)
    return { kind: 'taken', view: known, isNew: false, replaced }
  }

  /** Views of the worker itself and of others that lived at the same place. */
  #viewsAt (report: WorkerReport): WorkerView[] {
    const workerIds = this.#places.at(report).add(report.workerId)
    return [...workerIds].flatMap(workerId => this.#views.get(workerId) ?? [])
  }

  #moved (from: WorkerReport, to: WorkerReport): void {
    this.#places.remove(from)
    this.#places.add(to)
  }

  #add (report: WorkerReport): WorkerView {
    const view = new WorkerView(report, this.#termStartedAtMs, this.#clock, this.#settings)
    this.#views.set(report.workerId, view)
    this.#places.add(report)
    this.#log.info('worker joined', { ...lifeOf(report), service: report.service, labels: report.labels, state: report.state })
    this.#noteStarted(report)
    return view
  }

  #noteStarted (report: WorkerReport): void {
    for (const { taskKey } of report.running) this.#startedJobs.add(jobIdOf(taskKey))
  }

  /** Whether a run of the job has been seen on a worker in this term. */
  hasStarted (jobId: string): boolean {
    return this.#startedJobs.has(jobId)
  }

  /** Forgets which jobs have started, but for those that are still known. */
  retainJobs (isKnown: (jobId: string) => boolean): void {
    for (const jobId of this.#startedJobs) if (!isKnown(jobId)) this.#startedJobs.delete(jobId)
  }

  /** View of a worker, if it has been heard. */
  view (workerId: string): WorkerView | undefined {
    return this.#views.get(workerId)
  }

  /** Workers that have been heard. */
  get count (): number {
    return this.#views.size
  }

  /** All views. */
  views (): Iterable<WorkerView> {
    return this.#views.values()
  }

  /** Incarnations by worker. */
  incarnations (): ReadonlyMap<string, number> {
    return new Map([...this.#views.values()].map(view => [view.latest.workerId, view.latest.incarnation]))
  }

  #hasLeft ({ workerId, incarnation }: WorkerLife): boolean {
    const left = this.#leftLives.get(workerId)
    return left !== undefined && incarnation <= left.incarnation
  }

  /** Removes a worker that has left; what still comes from this life counts for nothing. */
  leave ({ workerId, incarnation }: WorkerLife): void {
    this.#leftLives.set(workerId, { workerId, incarnation, leftAtMs: this.#clock.monotonicMs() })
    this.forget(workerId)
  }

  /** Removes a worker. */
  forget (workerId: string): void {
    const view = this.#views.get(workerId)
    if (view === undefined) return
    this.#places.remove(view.latest)
    this.#views.delete(workerId)
  }

  /** Whether a worker may get new runs now. */
  isUsable (view: WorkerView): boolean {
    const silentMs = this.#clock.monotonicMs() - view.heardAtMs
    return view.latest.state === 'active' && silentMs < this.#settings.silentAfterMs &&
      view.leaseCertainty === 'held' && !this.#health.isQuarantined(view.latest.workerId) &&
      !this.hasStalledRun(view)
  }

  /** Whether a run on the worker has stood still for a while: others on it may do the same. */
  hasStalledRun (view: WorkerView): boolean {
    const changedBeforeMs = this.#clock.monotonicMs() - this.#settings.suspectAfterMs
    return view.runsUnchangedSince(changedBeforeMs).some(({ taskKey, percent, changedMs }) =>
      percent > 0 && percent < FULL_PROGRESS_PERCENT && changedMs <= changedBeforeMs - this.#stallMarginMs(taskKey))
  }

  /** Long work shows its progress more slowly. */
  #stallMarginMs (taskKey: string): number {
    return (this.#state.locate(taskKey)?.stepSpec.estimateMs ?? 0) * SUSPECT_ESTIMATE_SHARE
  }

  /** Takes note of an end for the health of its worker. */
  noteEnd (life: WorkerLife, end: RunEnd): void {
    this.#health.noteEnd(life.workerId, end)
  }

  /** Workers to ask permission for. */
  adviceCandidates (step: WaitingStep): string[] {
    const { job, spec } = step
    const heardAfterMs = this.#clock.monotonicMs() - this.#settings.silentAfterMs
    return [...this.#views.values()]
      .filter(({ latest, heardAtMs }) => heardAtMs > heardAfterMs && latest.service === job.service &&
        couldHold(latest.capacity, spec) && (spec.requiredLabel === '' || latest.labels.includes(spec.requiredLabel)))
      .map(view => view.latest.workerId)
  }

  /** Lives whose leases have certainly run out and that have runs. */
  expired (): WorkerLife[] {
    const nowMs = this.#clock.monotonicMs()
    const { leaseMs, clockRateBound, leaseMarginMs } = this.#settings
    const afterMs = leaseMs * (1 + clockRateBound) + leaseMarginMs
    const silent = [...this.#views.values()]
      .filter(view => nowMs - view.heardAtMs > afterMs && this.#state.hasRuns(view.latest.workerId))
      .map(view => lifeOf(view.latest))
    return nowMs - this.#termStartedAtMs <= afterMs ? silent : [...silent, ...this.#unheard()]
  }

  /**
   * Forgets lives that have been gone for long. Those that are gone for less stay, since an old heartbeat that comes
   * late is told from a new one only by what was heard before.
   */
  forgetOldLives (): void {
    const goneBeforeMs = this.#clock.monotonicMs() - FORGET_GONE_AFTER_MS
    for (const { latest, heardAtMs } of this.#views.values()) if (heardAtMs < goneBeforeMs) this.forget(latest.workerId)
    for (const { workerId, leftAtMs } of this.#leftLives.values()) {
      if (leftAtMs < goneBeforeMs) this.#leftLives.delete(workerId)
    }
  }

  /** Workers that have runs of an earlier term and have not been heard in this one. */
  #unheard (): WorkerLife[] {
    const lives: WorkerLife[] = []
    for (const workerId of this.#state.workersWithRuns()) {
      if (this.#views.has(workerId)) continue
      const incarnations = [...this.#state.runsOf(workerId)].map(run => run.incarnation)
      lives.push({ workerId, incarnation: Math.max(...incarnations) })
    }
    return lives
  }
}

function lifeOf ({ workerId, incarnation }: WorkerLife): WorkerLife {
  return { workerId, incarnation }
}
