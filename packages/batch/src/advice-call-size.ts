/** How long a call to the advice service takes, and how many workers it should name. */
import { TICKET_EXPIRY_MARGIN_MS } from './advice-tickets.js'
import type { AdvicePolicy } from './queues.js'

/** What the number of workers of a call depends on. */
export interface CallSizeOptions {
  readonly policy: AdvicePolicy
  /** Number of tasks that each worker could take, of the workers that may be named, in their order. */
  readonly taskRooms: readonly number[]
  /** Number of tasks that wait. */
  readonly taskCount: number
  /** Expected share of the workers that are granted a ticket. */
  readonly grantShare: number
  /** Most workers that a call may name. */
  readonly maxWorkers: number
}

/** Validity that the tickets of an answer should have left for placement, beside the margin for the start order. */
const MIN_PLACEMENT_MS = 400

/**
 * Time that the service takes for a call. Not below 0, since a log may hold a policy with a negative duration, which an
 * earlier version accepted.
 *
 * @example
 * callDurationMs({ decideMs: 200, perWorkerMs: 10, ticketValidMs: 2_000 }, 30) // 500
 */
export function callDurationMs ({ decideMs, perWorkerMs }: AdvicePolicy, workerCount: number): number {
  return Math.max(0, decideMs + perWorkerMs * workerCount)
}

/**
 * Whether tickets for one worker can be used if their validity counts from the call. Where they cannot, the service
 * must count it from its answer, or no ticket of the queue could ever be used.
 */
export function isUsableFromCall (policy: AdvicePolicy): boolean {
  return maxUsableWorkers(policy) >= 1
}

/**
 * Number of workers to name: as many as the step is expected to need, and at least so many that naming them takes as
 * long as the decision itself, since a further call costs that again; but not so many that the tickets would hardly be
 * valid when they arrive.
 */
export function callSize ({ policy, taskRooms, taskCount, grantShare, maxWorkers }: CallSizeOptions): number {
  const neededWorkers = countUntil(taskRooms, taskCount / grantShare)
  const minWorkers = policy.perWorkerMs > 0 ? Math.ceil(policy.decideMs / policy.perWorkerMs) : maxWorkers
  const usableWorkers = isUsableFromCall(policy) ? maxUsableWorkers(policy) : maxWorkers
  return Math.min(Math.max(neededWorkers, minWorkers, 1), usableWorkers, maxWorkers, taskRooms.length)
}

function maxUsableWorkers ({ decideMs, perWorkerMs, ticketValidMs }: AdvicePolicy): number {
  const availableMs = ticketValidMs - TICKET_EXPIRY_MARGIN_MS - MIN_PLACEMENT_MS - decideMs
  if (availableMs < 0) return 0
  return perWorkerMs > 0 ? Math.floor(availableMs / perWorkerMs) : Infinity
}

/** Number of values from the first one on whose sum reaches a total; all of them where it does not. */
function countUntil (values: readonly number[], total: number): number {
  let sum = 0
  for (const [index, value] of values.entries()) {
    sum += value
    if (sum >= total) return index + 1
  }
  return values.length
}
