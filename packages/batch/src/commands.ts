/** Commands of the replicated state. The leader decides on placement, and commands record only the result. */
import type { JobSpec } from './jobs.js'
import type { QueueDocument } from './queues.js'

/** One incarnation of a worker; a worker that restarts under the same ID has a later one. */
export interface WorkerIncarnation {
  readonly workerId: string
  /** Unix time at which this incarnation started. */
  readonly incarnation: number
}

/**
 * How a run ended on its worker. Only `done` completes a task (never a lasting one), and only `failed` counts as an
 * attempt; after any other end the task waits for a worker again.
 */
export type EndReason =
  | 'done'
  | 'failed'
  /** The worker carried out a stop order. */
  | 'stopped'
  /** The worker's lease ended. */
  | 'lapsed'
  /** `broken` and `alone`: a gang member cannot run without the other members; the scheduler treats both alike. */
  | 'broken'
  | 'alone'
  /** The worker did not accept the run. */
  | 'refused'

/** The end of a run as its worker reports it. */
export interface RunEnd {
  /** Number of the end; increases within this incarnation of the worker. */
  readonly sequence: number
  readonly taskKey: string
  readonly run: number
  readonly reason: EndReason
  readonly checkpoint: string
}

/**
 * A run assigned to one incarnation of a worker. A run is one attempt at a task; the runs of a task are numbered from
 * 1, and `run` is that number.
 */
export interface Assignment extends WorkerIncarnation {
  readonly taskKey: string
  readonly run: number
}

/** How far a worker has departed: it gets no new runs while it is `leaving`, and `left` once it has gone for good. */
export type Departure = 'leaving' | 'left'

/** The latest reported checkpoint of a task. */
export interface TaskCheckpoint {
  readonly taskKey: string
  readonly checkpoint: string
}

/** A rolling restart of VMs that an operator requested; all of it should be done within `durationMs`. */
export interface MaintenanceWave {
  readonly waveId: string
  readonly vmIds: readonly string[]
  readonly maxConcurrent: number
  readonly durationMs: number
}

/** An operator's request that concerns the evacuation of an availability zone. */
export interface EvacuationRequest {
  readonly zone: string
  /** Address that sent the request. */
  readonly requestedBy: string
  readonly requestedWallMs: number
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
  /**
   * `life` is the incarnation that reported the ends. Its lease has lapsed after the ends up to `voidEndSequence`;
   * commands of older versions do not have it.
   */
  | {
    readonly kind: 'record_ends'
    readonly life: WorkerIncarnation
    readonly ends: readonly RunEnd[]
    readonly voidEndSequence?: number
  }
  /** Removes runs that are certainly not on their workers. */
  | { readonly kind: 'release', readonly runs: readonly Assignment[] }
  /** Frees the tasks of runs that have certainly ended, though their workers have not reported how. */
  | { readonly kind: 'presume_ended', readonly runs: readonly Assignment[] }
  /**
   * No run of the incarnation `life` is active any more: it crashed, left, or its lease expired. `ends` are those that
   * its latest report listed and that are not recorded: they count before the other runs are freed, and are not
   * acknowledged by that. Commands of older versions have none.
   */
  | {
    readonly kind: 'worker_gone'
    readonly life: WorkerIncarnation
    readonly checkpoints: readonly TaskCheckpoint[]
    readonly ends?: readonly RunEnd[]
  }
  /** Recorded, so that a heartbeat from before does not bring the worker back under a later leader. */
  | { readonly kind: 'record_departure', readonly life: WorkerIncarnation, readonly departure: Departure }
  | { readonly kind: 'start_wave', readonly wave: MaintenanceWave, readonly startedWallMs: number }
  /** The platform has begun the maintenance of a VM, or the VM needs none. */
  | { readonly kind: 'maintenance_done', readonly waveId: string, readonly vmId: string }
  /** Nothing more is started in the zone. */
  | ({ readonly kind: 'start_evacuation' } & EvacuationRequest)
  /** Withdraws the evacuation of the zone. */
  | ({ readonly kind: 'end_evacuation' } & EvacuationRequest)

/** An end that a command has recorded; `isFreedRun` where its run had been freed before. */
export interface RecordedEnd extends RunEnd {
  readonly isFreedRun: boolean
}

/** Effect of a command on the state. */
export type CommandResult =
  /** `recordedEnds` are the ends that the command has recorded or counted. */
  | { readonly kind: 'applied', readonly recordedEnds?: readonly RecordedEnd[] }
  | { readonly kind: 'unchanged' }
  | { readonly kind: 'unknown_job' }
