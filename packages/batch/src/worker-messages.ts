/** What workers say in their heartbeats, and the orders that ride in the answer. */
import type { TaskShape } from './jobs.js'
import type { RunEnd, WorkerLife } from './commands.js'

/** Progress of a task with all its work done, and of a lasting task that is at work. */
export const FULL_PROGRESS_PERCENT = 100

/** A run that a worker lists. */
export interface RunningTask {
  readonly taskKey: string
  readonly run: number
  readonly checkpoint: string
  /** Progress of the work; of a lasting task, 100 once it is at work. */
  readonly percent: number
  /** Of a lasting task the tail latency of its users in milliseconds, of any other the processor time in use. */
  readonly usage: number
}

/** A heartbeat. */
export interface WorkerReport extends WorkerLife {
  readonly service: string
  readonly address: string
  /** VM on which this worker is one life; empty where it is not told. */
  readonly vmId: string
  readonly availabilityZone: string
  /** Grows with each heartbeat of one life. */
  readonly sequence: number
  readonly state: 'active' | 'leaving'
  readonly capacity: TaskShape
  readonly labels: readonly string[]
  readonly rack: string
  /** Steady clock of the worker at the sending. */
  readonly clockMs: number
  /** Least time until a leaving worker is gone; undefined where it is not told. */
  readonly remainingMs?: number
  /** Milliseconds that the worker stays slow after its start. */
  readonly coldRemainingMs: number
  readonly running: readonly RunningTask[]
  readonly ends: readonly RunEnd[]
}

/** A run to start. */
export interface StartOrder {
  readonly taskKey: string
  readonly run: number
  readonly payload: string
  readonly checkpoint: string
  /** Permission for a queue with an advice policy. */
  readonly ticket?: string
}

/** A run to stop. */
export interface StopOrder {
  readonly taskKey: string
  readonly run: number
}

/** Share of its speed at which a run may work. */
export interface PaceOrder {
  readonly taskKey: string
  readonly run: number
  readonly percent: number
}

/** Answer to a heartbeat. */
export interface WorkerOrders {
  /** Lease from the sending of the heartbeat; undefined extends nothing. */
  readonly leaseMs?: number
  /** Ends up to this number are recorded. */
  readonly recordedEndSequence: number
  readonly fencingToken: number
  readonly starts: readonly StartOrder[]
  readonly stops: readonly StopOrder[]
  readonly paces: readonly PaceOrder[]
  readonly nextReportMs: number
}
