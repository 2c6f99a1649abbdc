/** Orders for workers: what the answer to a heartbeat has to say. */
import type { Clock } from '@comfreygrade/core'
import type { AdviceBook } from './advice-tickets.js'
import { runInLife, runKey, type BatchState, type LocatedTask } from './batch-state.js'
import type { Assignment } from './commands.js'
import { stepKeyOf } from './jobs.js'
import { FillerPacing } from './filler-pacing.js'
import type { BatchSettings } from './settings.js'
import type { StartOrder, StopOrder, WorkerOrders } from './worker-messages.js'
import type { WorkerView } from './worker-view.js'

/** Options of {@link OrderBook}. */
export interface OrderBookOptions {
  readonly state: BatchState
  readonly settings: BatchSettings
  readonly clock: Clock
  readonly advice: AdviceBook
  readonly fencingToken: number
}

/**
 * Derives orders from the replicated runs and the latest heartbeat. A run that was offered in the answer to one
 * heartbeat and is not listed in a later one did not arrive, since a worker has one heartbeat under way at a time.
 */
export class OrderBook {
  readonly #options: OrderBookOptions
  readonly #termStartedAtMs: number
  readonly #pacing: FillerPacing
  /** Runs that this leader wants off their workers though their jobs are open. */
  readonly #stopping = new Map<string, Assignment>()

  constructor (options: OrderBookOptions) {
    this.#options = options
    this.#termStartedAtMs = options.clock.monotonicMs()
    this.#pacing = new FillerPacing(options.state)
  }

  /** Takes a run off its worker, with all members of its gang; the tasks wait again afterwards. */
  stop (run: Assignment): void {
    for (const member of this.#withGang(run)) this.#stopping.set(runKey(member), member)
  }

  #withGang (run: Assignment): Assignment[] {
    const located = this.#options.state.locate(run.taskKey)
    if (located === undefined || !located.stepSpec.isGang) return [run]
    const prefix = stepKeyOf(run.taskKey)
    return located.step.tasks.flatMap((task, index) => task.active
      .filter(active => active.run === run.run)
      .map(active => ({ ...active, taskKey: `${prefix}.${index}` })))
  }

  /** Whether a run is on its way off its worker. */
  isStopping (run: Assignment): boolean {
    if (this.#stopping.has(runKey(run))) return true
    const located = this.#options.state.locate(run.taskKey)
    return located === undefined || !isWanted(located, run.run)
  }

  /** Forgets stops that are complete. */
  forgetEnded (): void {
    for (const [key, run] of this.#stopping) {
      const isKnown = [...this.#options.state.runsOf(run.workerId)].some(active => runKey(active) === key)
      if (!isKnown) this.#stopping.delete(key)
    }
  }

  /** Whether any run may have reached this life of the worker; assignments that no answer has carried have not. */
  mayHoldRuns (view: WorkerView): boolean {
    return this.#runsOf(view).some(run => !this.#wasNeverOffered(view, run))
  }

  /** Runs that are not wanted and that the worker certainly does not have. */
  certainlyAbsent (view: WorkerView): Assignment[] {
    return this.#runsOf(view).filter(run =>
      this.isStopping(run) && !isListed(view, run) && (this.#wasNeverOffered(view, run) || this.#isMissing(view, run)))
  }

  /** The answer to the latest heartbeat of a worker. */
  ordersFor (view: WorkerView): Omit<WorkerOrders, 'nextReportMs'> {
    const { state, settings, fencingToken } = this.#options
    const { latest } = view
    const isExtended = view.leaseCertainty !== 'uncertain'
    if (isExtended) view.granted(settings.leaseMs)
    return {
      ...(isExtended ? { leaseMs: settings.leaseMs } : {}),
      recordedEndSequence: state.lastEndSequence(latest),
      fencingToken,
      starts: isExtended ? this.#starts(view) : [],
      stops: this.#stops(view),
      paces: this.#pacing.ordersFor(view)
    }
  }

  #starts (view: WorkerView): StartOrder[] {
    const starts: StartOrder[] = []
    for (const run of this.#runsOf(view)) {
      if (this.isStopping(run) || isListed(view, run)) continue
      if (!this.#wasNeverOffered(view, run) && !this.#isMissing(view, run)) continue
      const order = this.#startOrder(run)
      if (order === undefined) continue
      view.offeredAt.set(runKey(run), view.latest.sequence)
      starts.push(order)
    }
    return starts
  }

  #startOrder (run: Assignment): StartOrder | undefined {
    const { state, advice } = this.#options
    const located = state.locate(run.taskKey)
    if (located === undefined) return undefined
    const { job, task } = located
    const order = { taskKey: run.taskKey, run: run.run, payload: job.spec.payload, checkpoint: task.checkpoint }
    if (state.directory?.at(job.queueAddress)?.advice === undefined) return order
    const key = stepKeyOf(run.taskKey)
    const ticket = advice.ticketFor(key, run.workerId, run.incarnation)
    if (ticket !== undefined) return { ...order, ticket }
    this.stop(run)
    return undefined
  }

  #stops (view: WorkerView): StopOrder[] {
    const known = new Map(this.#runsOf(view).map(run => [runInLife(run), run]))
    const stops: StopOrder[] = []
    for (const { taskKey, run } of view.latest.running) {
      const active = known.get(runInLife({ taskKey, run }))
      if (active === undefined || this.isStopping(active)) stops.push({ taskKey, run })
    }
    return stops
  }

  #runsOf (view: WorkerView): Assignment[] {
    const { workerId, incarnation } = view.latest
    return [...this.#options.state.runsOf(workerId)].filter(run => run.incarnation === incarnation)
  }

  /** An assignment of this term that no answer has carried yet. */
  #wasNeverOffered (view: WorkerView, run: Assignment): boolean {
    return view.assignedInTerm.has(runKey(run)) && !view.offeredAt.has(runKey(run))
  }

  #isMissing (view: WorkerView, run: Assignment): boolean {
    // A run that is being stopped is neither listed as running nor as ended yet.
    if (view.seen.has(runInLife(run))) return false
    const offeredAt = view.offeredAt.get(runKey(run))
    if (offeredAt !== undefined) return view.latest.sequence > offeredAt
    if (this.#isInheritanceSettled()) view.offeredAt.set(runKey(run), view.latest.sequence)
    return false
  }

  /** Answers of an earlier leader may still be on their way at the start of a term. */
  #isInheritanceSettled (): boolean {
    return this.#options.clock.monotonicMs() - this.#termStartedAtMs >= this.#options.settings.inheritedRunGraceMs
  }
}

/** A gang that has lost a member cannot go on, and its other members must not wait for it. */
function isWanted ({ job, stepSpec, step, task }: LocatedTask, run: number): boolean {
  if (job.state !== 'open' || task.isDone) return false
  return !stepSpec.isGang || step.tasks.every(member => member.active.some(active => active.run === run))
}

function isListed (view: WorkerView, { taskKey, run }: Assignment): boolean {
  const { running, ends } = view.latest
  return running.some(row => row.taskKey === taskKey && row.run === run) ||
    ends.some(end => end.taskKey === taskKey && end.run === run)
}
