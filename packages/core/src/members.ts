/** Heartbeat records of backend servers and workers. */

/**
 * State of a backend server in the registry of an entry VM, which is a VM that receives and routes short requests.
 *
 * - `active`: it sends heartbeats.
 * - `leaving`: it was announced to be leaving, until it starts again with a later incarnation.
 * - `expired`: its heartbeats have stopped.
 */
export type BackendServerState = 'active' | 'leaving' | 'expired'

/** A heartbeat of a backend server. Records are ordered by `incarnation`, then by `sequence`. */
export interface BackendServerRecord {
  readonly backendServerId: string
  /** Increases with each start of the server, for example its start time in milliseconds. */
  readonly incarnation: number
  /** Increases with each heartbeat within one incarnation. */
  readonly sequence: number
  /** Base URL that requests are sent to. */
  readonly address: string
  readonly region: string
  readonly availabilityZone: string
  readonly services: readonly string[]
  /** Number of requests that the server can execute at once. */
  readonly slots: number
  /** Number of connections that the server accepts. The smaller of both numbers limits the concurrent requests. */
  readonly connections: number
  readonly state: BackendServerState
}

/**
 * State of a worker in the control state. Only an `active` worker gets new tasks.
 *
 * - `draining`: it is being emptied, for example before maintenance.
 * - `lost`: it has no worker lease, for example because its heartbeats stopped. The worker lease is renewed by answers
 *   to heartbeats and permits the worker to run tasks until it ends.
 * - `quarantined`: it is excluded from placement after failures.
 */
export type WorkerState = 'active' | 'draining' | 'lost' | 'quarantined'

/** State of a task as reported by its worker. */
export type TaskState = 'prepared' | 'running' | 'completed' | 'failed' | 'stopped'

/** State of one task in a worker's heartbeat. */
export interface TaskReport {
  readonly jobId: string
  readonly taskIndex: number
  /**
   * Job lease under which the job's tasks were placed. It identifies one placement, so that orders and reports of an
   * earlier placement of the job have no effect.
   */
  readonly leaseId: number
  readonly state: TaskState
}

/** A heartbeat of a worker. */
export interface WorkerReport {
  readonly workerId: string
  readonly incarnation: number
  readonly sequence: number
  /** Base URL that orders are sent to. */
  readonly address: string
  readonly tasks: readonly TaskReport[]
}
