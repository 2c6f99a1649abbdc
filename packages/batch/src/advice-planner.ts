/** Decides which step asks the advice service next, and for which workers. */
import type { Clock, EventLog, Metrics } from '@comfreygrade/core'
import { callDurationMs, callSize, isUsableFromCall } from './advice-call-size.js'
import { TicketCache, type Ticket } from './advice-tickets.js'
import type { WorkerIncarnation } from './commands.js'
import type { AdvicePolicy } from './queues.js'
import type { WaitingStep } from './waiting-steps.js'
import { tasksThatFit, type WorkerCapacity } from './worker-capacity.js'
import { waitingStepKey } from './worker-selection.js'

/** A step that waits and could use tickets. */
export interface AdviceNeed {
  readonly step: WaitingStep
  readonly policy: AdvicePolicy
  /** Lists the workers that could run the step. */
  readonly candidates: () => readonly WorkerIncarnation[]
}

/** A call to make. */
export interface AdviceRequest {
  readonly stepKey: string
  readonly workerIds: readonly string[]
  /** Time after which the call is given up. */
  readonly timeoutMs: number
}

/** What a failed call failed by; `program` where it could not be made. */
export type AdviceFailure = 'service' | 'program'

/** The outcome of a call. */
export interface AdviceAnswer {
  readonly stepKey: string
  /** Undefined where the call failed. */
  readonly tickets: readonly Ticket[] | undefined
  /** Time at which the call was sent. */
  readonly requestedAtMs: number
  /** `service` if absent; without a meaning where there are tickets. */
  readonly failedBy?: AdviceFailure
}

/** Options of {@link AdvicePlanner}. */
export interface AdvicePlannerOptions {
  readonly clock: Clock
  readonly metrics: Metrics
  readonly log: EventLog
  readonly tickets: TicketCache
  /** Most workers that one call may name. */
  readonly maxWorkersPerRequest: number
}

/** When a step was last served. */
interface Turn {
  sinceMs: number
  /** Time from which it has wanted tickets that it could not use at once. */
  deferredSinceMs: number | undefined
  nextCheckMs: number
}

interface CallPlan {
  readonly stepKey: string
  readonly policy: AdvicePolicy
  readonly workers: readonly WorkerIncarnation[]
  /** Whether a task could start at once if the tickets were granted. */
  readonly isUsable: boolean
}

interface OpenCall extends CallPlan {
  readonly expectedMs: number
}

/** Time until a step is considered again that had nothing to ask for, or nothing that it could use at once. */
const CHECK_INTERVAL_MS = 100
/** Most steps that are considered at a time. */
const MAX_CONSIDERED_STEPS = 32
/** An urgent step goes before others that have waited for their turn for at most this much longer. */
const URGENT_LEAD_MS = 2_000
/** A step that could not use tickets at once waits at most this long behind others that could. */
const MAX_DEFERRAL_MS = 10_000
/** A call is given up when its answer is this late; the time doubles with each failure in a row. */
const LATE_ANSWER_MS = 2_500
/** Pause after a failed call; it doubles with each further failure of the service in a row. */
const RETRY_INTERVAL_MS = 500
/** The pauses and times double this often at most. */
const MAX_DOUBLINGS = 4
/** How failed calls show in the log and in the metrics. */
const FAILURE_OUTCOMES: Readonly<Record<AdviceFailure, string>> = { service: 'failed', program: 'not_made' }
/** Assumed share of granted workers for a step of which nothing is known. */
const DEFAULT_GRANT_SHARE = 0.5
/** Weight of the assumed share, in workers. */
const GRANT_SHARE_WEIGHT = 2

/**
 * Makes one call at a time: the service handles the calls of one caller in turn and gives no sign of when it takes one
 * up, so of a single call its tickets are valid at least for their time from its sending on. Steps take turns: the one
 * that was served longest ago asks first, urgent ones somewhat earlier, and those that could not start a task now after
 * the others.
 *
 * @example
 * const request = planner.next(needs, workers)
 * if (request !== undefined) planner.complete({ stepKey: request.stepKey, tickets, requestedAtMs })
 */
export class AdvicePlanner {
  readonly #options: AdvicePlannerOptions
  readonly #turns = new Map<string, Turn>()
  #open: OpenCall | undefined
  #nextCallMs = -Infinity
  #failures = 0

  constructor (options: AdvicePlannerOptions) {
    this.#options = options
  }

  /** The next call, if one is due; `needs` are in scheduling order, and `workers` have the capacity that is left. */
  next (needs: readonly AdviceNeed[], workers: readonly WorkerCapacity[]): AdviceRequest | undefined {
    const nowMs = this.#options.clock.monotonicMs()
    for (const { step } of needs) this.#turnOf(step, nowMs)
    if (this.#open !== undefined || nowMs < this.#nextCallMs || needs.length === 0) return undefined
    const plan = this.#choose(needs, new Map(workers.map(worker => [worker.workerId, worker])), nowMs)
    return plan === undefined ? undefined : this.#start(plan)
  }

  /** Takes the outcome of the open call. */
  complete ({ stepKey, tickets, requestedAtMs, failedBy = 'service' }: AdviceAnswer): void {
    const call = this.#open
    if (call?.stepKey !== stepKey) return
    const { clock, metrics, log, tickets: cache } = this.#options
    const nowMs = clock.monotonicMs()
    this.#open = undefined
    this.#turns.set(stepKey, { sinceMs: nowMs, deferredSinceMs: undefined, nextCheckMs: -Infinity })
    const validFromMs = isUsableFromCall(call.policy) ? requestedAtMs : nowMs
    const expiresAtMs = validFromMs + call.policy.ticketValidMs
    const outcome = tickets === undefined ? FAILURE_OUTCOMES[failedBy] : 'answered'
    metrics.timing('advice.call', nowMs - requestedAtMs, { outcome })
    log.info('advice answered', {
      stepKey,
      outcome,
      granted: tickets?.length ?? null,
      asked: call.workers.length,
      tookMs: Math.round(nowMs - requestedAtMs),
      expectedMs: call.expectedMs,
      validMs: tickets === undefined ? undefined : Math.round(expiresAtMs - nowMs)
    })
    if (tickets === undefined && failedBy === 'program') return this.#deferNextCall(nowMs)
    if (tickets === undefined) return this.#recordFailure(requestedAtMs + call.expectedMs, nowMs)
    this.#failures = 0
    cache.record(stepKey, { asked: call.workers, tickets, expiresAtMs, validityMs: call.policy.ticketValidMs })
  }

  /** Removes the steps that need no tickets any more. */
  retainSteps (isOpen: (key: string) => boolean): void {
    for (const key of this.#turns.keys()) if (!isOpen(key)) this.#turns.delete(key)
  }

  #turnOf (step: WaitingStep, nowMs: number): Turn {
    const key = waitingStepKey(step)
    const known = this.#turns.get(key)
    if (known !== undefined) return known
    const turn = { sinceMs: nowMs, deferredSinceMs: undefined, nextCheckMs: -Infinity }
    this.#turns.set(key, turn)
    return turn
  }

  /** The first step in turn that could start a task with its tickets; where there is none, the first one. */
  #choose (
    needs: readonly AdviceNeed[], workers: ReadonlyMap<string, WorkerCapacity>, nowMs: number
  ): CallPlan | undefined {
    let deferred: CallPlan | undefined
    let consideredCount = 0
    for (const need of this.#inTurn(needs, nowMs)) {
      const turn = this.#turnOf(need.step, nowMs)
      if (nowMs < turn.nextCheckMs) continue
      if (++consideredCount > MAX_CONSIDERED_STEPS) return undefined
      const plan = this.#plan(need, workers)
      if (plan !== undefined && (plan.isUsable || isOverdue(turn, nowMs))) return plan
      turn.nextCheckMs = nowMs + CHECK_INTERVAL_MS
      if (plan === undefined) continue
      turn.deferredSinceMs ??= nowMs
      deferred ??= plan
    }
    return deferred
  }

  #inTurn (needs: readonly AdviceNeed[], nowMs: number): readonly AdviceNeed[] {
    const dueMs = ({ step }: AdviceNeed): number =>
      this.#turnOf(step, nowMs).sinceMs - (step.priority === 0 ? URGENT_LEAD_MS : 0)
    return [...needs].sort((left, right) => dueMs(left) - dueMs(right))
  }

  #plan ({ step, policy, candidates }: AdviceNeed, workers: ReadonlyMap<string, WorkerCapacity>): CallPlan | undefined {
    const { tickets, maxWorkersPerRequest } = this.#options
    const stepKey = waitingStepKey(step)
    const known = candidates()
    const renewLeadMs = callDurationMs(policy, tickets.permittedWorkers(stepKey).size)
    const askable = tickets.askableWorkers(stepKey, known, renewLeadMs)
    if (askable.workers.length === 0) return undefined
    const rooms = new Map([...askable.workers, ...askable.permitted].map(({ workerId }) =>
      [workerId, taskRoom(step, workers.get(workerId))]))
    const roomOf = ({ workerId }: WorkerIncarnation): number => rooms.get(workerId) ?? 0
    // The sort is stable, so workers that were granted a ticket before stay ahead of others with as much room.
    const ordered = [...askable.workers].sort((left, right) =>
      Number(roomOf(right) > 0) - Number(roomOf(left) > 0))
    const size = callSize({
      policy,
      taskRooms: ordered.map(worker => Math.max(1, roomOf(worker))),
      taskCount: step.waitingTaskCount,
      grantShare: expectedGrantShare(askable),
      maxWorkers: maxWorkersPerRequest
    })
    const neededRoom = step.spec.isGang ? step.spec.taskCount : 1
    const room = [...rooms.values()].reduce((sum, value) => sum + value, 0)
    const isUsable = step.priority === 0 || room >= neededRoom
    return { stepKey, policy, workers: ordered.slice(0, size), isUsable }
  }

  #start (plan: CallPlan): AdviceRequest {
    const { stepKey, policy, workers } = plan
    const expectedMs = callDurationMs(policy, workers.length)
    this.#open = { ...plan, expectedMs }
    const timeoutMs = expectedMs + LATE_ANSWER_MS * 2 ** Math.min(this.#failures, MAX_DOUBLINGS)
    return { stepKey, workerIds: workers.map(({ workerId }) => workerId), timeoutMs }
  }

  /** The service does not know of the call and may be sound; the next call is that of another step, if one asks. */
  #deferNextCall (nowMs: number): void {
    this.#nextCallMs = nowMs + RETRY_INTERVAL_MS
  }

  /** A call that was given up may still occupy the service, and the next one would wait behind it. */
  #recordFailure (occupiedUntilMs: number, nowMs: number): void {
    const pauseMs = RETRY_INTERVAL_MS * 2 ** Math.min(this.#failures, MAX_DOUBLINGS)
    this.#failures++
    this.#nextCallMs = Math.max(occupiedUntilMs, nowMs + pauseMs)
  }
}

function isOverdue ({ deferredSinceMs }: Turn, nowMs: number): boolean {
  return deferredSinceMs !== undefined && nowMs - deferredSinceMs >= MAX_DEFERRAL_MS
}

/** Number of tasks of a step that fit on a worker now; 0 where it may get no new runs. */
function taskRoom ({ spec }: WaitingStep, worker: WorkerCapacity | undefined): number {
  if (worker === undefined) return 0
  const limit = spec.maxTasksPerWorker > 0 ? spec.maxTasksPerWorker : Infinity
  return Math.min(limit, spec.taskCount, Math.max(0, tasksThatFit(worker.free, spec)))
}

function expectedGrantShare (
  { answeredCount, grantedCount }: { readonly answeredCount: number, readonly grantedCount: number }
): number {
  return (grantedCount + GRANT_SHARE_WEIGHT * DEFAULT_GRANT_SHARE) / (answeredCount + GRANT_SHARE_WEIGHT)
}
