/** Commands of the replicated state; placement is decided by the leader and recorded with its result. */
import type { JobSpec } from './jobs.js'
import type { QueueDocument } from './queues.js'

/** One life of a worker; a worker that starts again under its old ID has a later incarnation. */
export interface WorkerLife {
  readonly workerId: string
  /** Unix time of the start of this life. */
  readonly incarnation: number
}

/** How a run ended on its worker. */
export type EndReason = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone' | 'refused'

/** An end as the worker lists it. */
export interface RunEnd {
  /** Number of the end in this life of the worker. */
  readonly sequence: number
  readonly taskKey: string
  readonly run: number
  readonly reason: EndReason
  readonly checkpoint: string
}

/** A run given to a worker. */
export interface Assignment extends WorkerLife {
  readonly taskKey: string
  readonly run: number
}

/** The latest checkpoint that was seen of a task. */
export interface TaskCheckpoint {
  readonly taskKey: string
  readonly checkpoint: string
}

/** A rolling restart of VMs that an operator asked for. */
export interface MaintenanceWave {
  readonly waveId: string
  readonly vmIds: readonly string[]
  readonly maxConcurrent: number
  readonly durationMs: number
}

/** Everything that changes the replicated state. */
export type BatchCommand =
  | { readonly kind: 'put_configuration', readonly document: QueueDocument }
  | {
    readonly kind: 'submit_job'
    readonly spec: JobSpec
    readonly queueAddress: string
    readonly organisation: string
    readonly acceptedWallMs: number
  }
  | { readonly kind: 'cancel_job', readonly jobId: string }
  | { readonly kind: 'assign', readonly assignments: readonly Assignment[] }
  | { readonly kind: 'record_ends', readonly life: WorkerLife, readonly ends: readonly RunEnd[] }
  /** The run is certainly not on its worker. */
  | { readonly kind: 'release', readonly runs: readonly Assignment[] }
  /** Nothing of this life runs any more: it crashed, left, or its lease has run out. */
  | { readonly kind: 'worker_gone', readonly life: WorkerLife, readonly checkpoints: readonly TaskCheckpoint[] }
  | { readonly kind: 'start_wave', readonly wave: MaintenanceWave, readonly startedWallMs: number }
  /** The platform has begun the maintenance of a VM, or there is none to do. */
  | { readonly kind: 'maintenance_done', readonly waveId: string, readonly vmId: string }

/** What a command did. */
export type CommandResult =
  | { readonly kind: 'applied' }
  | { readonly kind: 'unchanged' }
  | { readonly kind: 'unknown_job' }
