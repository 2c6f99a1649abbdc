/** Heartbeat records of backend servers and workers. */

/** State of a backend server in the registry of an entry VM. */
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
  readonly slots: number
  readonly connections: number
  readonly state: BackendServerState
}

/** State of a worker in the control state. */
export type WorkerState = 'active' | 'draining' | 'lost' | 'quarantined'

/** State of a task as reported by its worker. */
export type TaskState = 'prepared' | 'running' | 'completed' | 'failed' | 'stopped'

/** State of one task in a worker's heartbeat. */
export interface TaskReport {
  readonly jobId: string
  readonly taskIndex: number
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
