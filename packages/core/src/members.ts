/** Backend servers and workers as they announce themselves. */

/** State of a backend server in the registry of an entry VM. */
export type BackendServerState = 'active' | 'leaving' | 'expired'

/** A backend server's announcement. Records are ordered by `incarnation`, then `sequence`. */
export interface BackendServerRecord {
  readonly backendServerId: string
  /** Rises at each start of the server, for example its start time in milliseconds. */
  readonly incarnation: number
  /** Rises with each heartbeat of one incarnation. */
  readonly sequence: number
  /** Base URL that requests are sent to. */
  readonly address: string
  readonly region: string
  readonly availabilityZone: string
  readonly services: readonly string[]
  readonly slots: number
  readonly connections: number
  readonly state: BackendServerState
}

/** State of a worker in the control state. */
export type WorkerState = 'active' | 'draining' | 'lost' | 'quarantined'

/** State of one task as a worker reports it. */
export type TaskState = 'prepared' | 'running' | 'completed' | 'failed' | 'stopped'

/** One task in a worker's heartbeat. */
export interface TaskReport {
  readonly jobId: string
  readonly taskIndex: number
  readonly leaseId: number
  readonly state: TaskState
}

/** A worker's heartbeat. */
export interface WorkerReport {
  readonly workerId: string
  readonly incarnation: number
  readonly sequence: number
  /** Base URL that orders are sent to. */
  readonly address: string
  readonly tasks: readonly TaskReport[]
}
