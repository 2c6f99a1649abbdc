/** Reports that workers send as their heartbeats, and the orders in the answers. */
import type { TaskShape } from './jobs.js'
import type { RunEnd, WorkerIncarnation } from './commands.js'

/** Progress of a task whose work is done, and of a lasting task that is available. */
export const FULL_PROGRESS_PERCENT = 100

/** A run that a worker reports as running. */
export interface RunningTask {
  readonly taskKey: string
  readonly run: number
  readonly checkpoint: string
  /** Progress; of a lasting task, 100 once it is available. */
  readonly percent: number
  /**
   * For a lasting task, the tail latency of its users in milliseconds; for any other, the processor time in use, which
   * the scheduler does not read.
   */
  readonly usage: number
}

/** The report that a worker sends with each heartbeat; each heartbeat is one report. */
export interface WorkerReport extends WorkerIncarnation {
  readonly service: string
  readonly address: string
  /** VM that the worker runs on; empty where it is unknown. */
  readonly vmId: string
  readonly availabilityZone: string
  /** Increases with each heartbeat of one incarnation. */
  readonly sequence: number
  readonly state: 'active' | 'leaving'
  readonly capacity: TaskShape
  readonly labels: readonly string[]
  readonly rack: string
  /** The worker's monotonic clock when the report was sent. */
  readonly clockMs: number
  /** Shortest time until a leaving worker is gone; undefined where it is unknown. */
  readonly remainingMs?: number
  /** Milliseconds for which the worker is still slow after its start. */
  readonly coldRemainingMs: number
  readonly running: readonly RunningTask[]
  readonly ends: readonly RunEnd[]
  /** Number of entries of the two lists that could not be read and are left out; absent for none. */
  readonly malformedEntryCount?: number
}

/** A run to start. */
export interface StartOrder {
  readonly taskKey: string
  readonly run: number
  readonly payload: string
  readonly checkpoint: string
  /** Ticket of the advice service, for queues with an advice policy. */
  readonly ticket?: string
}

/** A run to stop. */
export interface StopOrder {
  readonly taskKey: string
  readonly run: number
}

/** Percentage of its full speed at which a run may work. */
export interface PaceOrder {
  readonly taskKey: string
  readonly run: number
  readonly percent: number
}

/** Orders in the answer to a heartbeat. */
export interface WorkerOrders {
  /** Lease, counted from the sending of the heartbeat; undefined where the lease is not extended. */
  readonly leaseMs?: number
  /** The ends up to this sequence number are recorded, so the worker need not report them again. */
  readonly recordedEndSequence: number
  readonly fencingToken: number
  readonly starts: readonly StartOrder[]
  readonly stops: readonly StopOrder[]
  readonly paces: readonly PaceOrder[]
  readonly nextReportMs: number
}
