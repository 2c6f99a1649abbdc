/** Orders for workers, which are sent in the answers to their heartbeats. */
import type { Clock, EventLog } from '@comfreygrade/core'
import type { TicketCache } from './advice-tickets.js'
import type { BatchState } from './batch-state.js'
import type { TaskContext } from './task-context.js'
import { assignmentKey, taskRunKey } from './run-keys.js'
import type { Assignment } from './commands.js'
import type { GangAssembly } from './gang-assembly.js'
import { stepKeyOf } from './jobs.js'
import { FillerPacing } from './filler-pacing.js'
import type { BatchSettings } from './settings.js'
import type { StartRules } from './start-rules.js'
import type { StartOrder, StopOrder, WorkerOrders } from './worker-messages.js'
import type { WorkerView } from './worker-view.js'

/** Options of {@link OrderPlanner}. */
export interface OrderPlannerOptions {
  readonly state: BatchState
  readonly settings: BatchSettings
  readonly clock: Clock
  readonly tickets: TicketCache
  readonly startRules: StartRules
  readonly assembly: GangAssembly
  readonly fencingToken: number
  /** View of a worker that has reported in this term. */
  readonly viewOf: (workerId: string) => WorkerView | undefined
  readonly log: EventLog
}

/** Which start orders an answer may carry. */
export interface StartPermission {
  /** False while a command is in flight that frees all runs of the worker. */
  readonly mayStart: boolean
  /** Whether a member of a gang may start though others cannot start yet. */
  readonly mayStartIncompleteGangs: boolean
}

/**
 * Derives orders from the replicated runs and a worker's latest report. A worker has one heartbeat in flight at a time,
 * so where a start order was sent in the answer to one heartbeat and a later report lacks the run, the order was lost.
 */
export class OrderPlanner {
  readonly #options: OrderPlannerOptions
  readonly #termStartedAtMs: number
  readonly #pacing: FillerPacing
  /** Runs that this leader stops though their jobs are open. */
  readonly #stopping = new Map<string, Assignment>()

  constructor (options: OrderPlannerOptions) {
    this.#options = options
    this.#termStartedAtMs = options.clock.monotonicMs()
    this.#pacing = new FillerPacing(options)
  }

  /**
   * Stops a run and all members of its gang; their tasks wait for workers again afterwards. Returns the runs that are
   * stopped.
   */
  stop (assignment: Assignment): Assignment[] {
    const members = this.gangRuns(assignment)
    for (const member of members) {
      this.#stopping.set(assignmentKey(member), member)
      this.#options.assembly.remove(member)
    }
    return members
  }

  /** Runs of the gang that a run belongs to; only the run itself where it belongs to none. */
  gangRuns (assignment: Assignment): Assignment[] {
    const context = this.#options.state.findTask(assignment.taskKey)
    if (context === undefined || !context.stepSpec.isGang) return [assignment]
    const prefix = stepKeyOf(assignment.taskKey)
    return context.step.activeMembers(assignment.run)
      .map(({ index, active }) => ({ ...active, taskKey: `${prefix}.${index}` }))
  }

  /** Runs to start that the worker certainly does not have, and that must not start there. */
  obstructedRuns (view: WorkerView): Assignment[] {
    const { state, startRules } = this.#options
    const { availabilityZone } = view.latest
    if (!startRules.mayObstructIn(availabilityZone)) return []
    return this.#runsOf(view).filter(assignment => {
      const job = state.findTask(assignment.taskKey)?.job
      return job !== undefined && startRules.obstacleIn(availabilityZone, job) !== undefined &&
        this.#isAbsent(assignment, view)
    })
  }

  /** Whether a run is being stopped. */
  isStopping (assignment: Assignment): boolean {
    if (this.#stopping.has(assignmentKey(assignment))) return true
    const context = this.#options.state.findTask(assignment.taskKey)
    return context === undefined || !shouldRun(context, assignment.run)
  }

  /** Removes the stops of runs that have ended. */
  removeCompletedStops (): void {
    for (const [key, assignment] of this.#stopping) {
      const isKnown = [...this.#options.state.runsOf(assignment.workerId)].some(active => assignmentKey(active) === key)
      if (!isKnown) this.#stopping.delete(key)
    }
  }

  /**
   * Whether any run may have reached this incarnation of the worker. Those have not whose start order was not sent, or
   * was lost: a worker lists every run that it has started and whose end is not recorded.
   */
  mayHoldRuns (view: WorkerView): boolean {
    return this.#runsOf(view).some(assignment => !this.isUnsent(assignment, view) &&
      (isReported(view, assignment) || !this.#checkMissing(view, assignment)))
  }

  /** Runs to start whose orders were not sent, so that their worker certainly does not have them. */
  unsentRuns (view: WorkerView): Assignment[] {
    return this.#runsOf(view).filter(assignment => !this.isStopping(assignment) && this.isUnsent(assignment, view))
  }

  /** Runs being stopped that the worker certainly does not have. */
  confirmedAbsentRuns (view: WorkerView): Assignment[] {
    return this.#runsOf(view).filter(assignment => this.isStopping(assignment) && !isReported(view, assignment) &&
      (this.isUnsent(assignment, view) || this.#checkMissing(view, assignment)))
  }

  /**
   * Takes the orders for the answer to the latest heartbeat of a worker. This records the lease grant and the start
   * orders as sent, and advances the pace of the fillers by one step, so it is called once for each answer.
   *
   * An uncertain lease is not extended, so that it certainly lapses and the runs under it can be freed.
   */
  takeOrders (view: WorkerView, permission: StartPermission): Omit<WorkerOrders, 'nextReportMs'> {
    const { state, settings, fencingToken } = this.#options
    const { latest } = view
    const isExtended = view.leaseStatus !== 'uncertain'
    if (isExtended) view.recordLeaseGrant(settings.leaseMs)
    return {
      ...(isExtended ? { leaseMs: settings.leaseMs } : {}),
      recordedEndSequence: state.lastEndSequence(latest),
      fencingToken,
      starts: isExtended && permission.mayStart ? this.#startOrders(view, permission) : [],
      stops: this.#stopOrders(view),
      paces: this.#pacing.takeOrders(view)
    }
  }

  /** Whether the next answer to a worker would carry an order for a run. */
  hasOrders (view: WorkerView): boolean {
    return this.#stopOrders(view).length > 0 || this.#runsToStart(view).length > 0
  }

  #runsToStart (view: WorkerView): Assignment[] {
    return this.#runsOf(view).filter(assignment => this.#isAbsent(assignment, view) && !this.#isObstructed(assignment))
  }

  /** Whether a run is to be started and the worker certainly does not have it: its order was not sent, or was lost. */
  #isAbsent (assignment: Assignment, view: WorkerView): boolean {
    return !this.isStopping(assignment) && !isReported(view, assignment) &&
      (this.isUnsent(assignment, view) || this.#checkMissing(view, assignment))
  }

  /**
   * Whether a run must not start because it, or another member of its gang that may not have started, is in a zone
   * where it must not start. The zone of a worker that has not reported in this term is not known, so it may be one.
   */
  #isObstructed (assignment: Assignment): boolean {
    const { state, startRules, viewOf } = this.#options
    if (!startRules.isAnyInForce) return false
    const job = state.findTask(assignment.taskKey)?.job
    if (job === undefined || !startRules.mayObstruct(job)) return false
    return this.gangRuns(assignment).some(member => {
      const view = viewOf(member.workerId)
      if (view === undefined) return true
      const isStarted = view.reportedRuns.has(taskRunKey(member))
      return !isStarted && startRules.obstacleIn(view.latest.availabilityZone, job) !== undefined
    })
  }

  #startOrders (view: WorkerView, { mayStartIncompleteGangs }: StartPermission): StartOrder[] {
    const { assembly } = this.#options
    const starts: StartOrder[] = []
    for (const assignment of this.#runsToStart(view)) {
      if (!mayStartIncompleteGangs && assembly.isAssembling(assignment)) continue
      assembly.remove(assignment)
      const order = this.#createStartOrder(assignment)
      if (order === undefined) continue
      this.#recordStartSent(assignment, view)
      starts.push(order)
    }
    return starts
  }

  #recordStartSent (assignment: Assignment, view: WorkerView): void {
    const { sequence } = view.latest
    view.startSentAtSequence.set(assignmentKey(assignment), sequence)
    const { taskKey, run, workerId } = assignment
    this.#options.log.info('start order sent', { taskKey, run, workerId, sequence })
  }

  /**
   * Creates a start order; undefined where the run has no valid ticket, and then it is stopped so that its task waits
   * again.
   */
  #createStartOrder (assignment: Assignment): StartOrder | undefined {
    const { state, tickets } = this.#options
    const context = state.findTask(assignment.taskKey)
    if (context === undefined) return undefined
    const { job, task } = context
    const order = {
      taskKey: assignment.taskKey, run: assignment.run, payload: job.spec.payload, checkpoint: task.checkpoint
    }
    if (state.queueOf(job)?.advice === undefined) return order
    const key = stepKeyOf(assignment.taskKey)
    const ticket = tickets.ticketFor(key, assignment)
    if (ticket !== undefined) return { ...order, ticket }
    this.stop(assignment)
    return undefined
  }

  #stopOrders (view: WorkerView): StopOrder[] {
    const known = new Map(this.#runsOf(view).map(assignment => [taskRunKey(assignment), assignment]))
    const stops: StopOrder[] = []
    for (const { taskKey, run } of view.latest.running) {
      const active = known.get(taskRunKey({ taskKey, run }))
      if (active === undefined || this.isStopping(active)) stops.push({ taskKey, run })
    }
    return stops
  }

  #runsOf (view: WorkerView): Assignment[] {
    const { workerId, incarnation } = view.latest
    return [...this.#options.state.runsOf(workerId)].filter(assignment => assignment.incarnation === incarnation)
  }

  /** Whether this is an assignment of this term whose start order was not sent yet. */
  isUnsent (assignment: Assignment, view: WorkerView | undefined): boolean {
    const key = assignmentKey(assignment)
    return view !== undefined && view.assignedInTerm.has(key) && !view.startSentAtSequence.has(key)
  }

  /**
   * Checks whether the start order of a run was sent but the run did not reach the worker. An earlier leader may have
   * sent the order of a run that is not an assignment of this term. After the grace time the check records such an
   * order as sent in the answer to the latest report, so that the run counts as missing if a later report lacks it too.
   */
  #checkMissing (view: WorkerView, assignment: Assignment): boolean {
    // While a worker stops a run, it reports it neither as running nor as ended.
    if (view.reportedRuns.has(taskRunKey(assignment))) return false
    const sentAtSequence = view.startSentAtSequence.get(assignmentKey(assignment))
    if (sentAtSequence !== undefined) return view.latest.sequence > sentAtSequence
    if (this.#isInheritedRunGraceOver()) view.startSentAtSequence.set(assignmentKey(assignment), view.latest.sequence)
    return false
  }

  /** At the start of a term, answers of an earlier leader may still be in flight. */
  #isInheritedRunGraceOver (): boolean {
    return this.#options.clock.monotonicMs() - this.#termStartedAtMs >= this.#options.settings.inheritedRunGraceMs
  }
}

/** Whether a run should continue. A gang that has lost a member cannot, and its other members must not wait for it. */
function shouldRun ({ job, stepSpec, step, task }: TaskContext, run: number): boolean {
  if (job.state !== 'open' || task.isDone) return false
  return !stepSpec.isGang || step.isGangActive(run)
}

function isReported (view: WorkerView, { taskKey, run }: Assignment): boolean {
  const { running, ends } = view.latest
  return running.some(task => task.taskKey === taskKey && task.run === run) ||
    ends.some(end => end.taskKey === taskKey && end.run === run)
}
