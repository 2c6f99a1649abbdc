/**
 * Request and response bodies of the node's HTTP API (docs/api.md). Like any other client, the command line has its own
 * types instead of importing those of `control`.
 */
import type {
  BackendServerRecord, ConfigurationDocument, JobOutcome, JobPhase, JobSpec, Placement, WorkerState
} from '@comfreygrade/core'

/** Response of `GET /v1/configuration`. */
export interface ConfigurationResponse {
  readonly version: number
  readonly document: ConfigurationDocument
}

/** Response of `POST /v1/configuration/changes`. */
export interface ChangeResponse {
  readonly version: number
  readonly isDryRun: boolean
}

/** Response of `GET /v1/configuration/status`. */
export interface ConfigurationStatusResponse {
  readonly version: number
  /**
   * Whether no node can serve under an older version: each node has acknowledged this version, or its leases for older
   * ones have expired. A node that is down therefore does not delay it for longer than a lease.
   */
  readonly isInForceEverywhere: boolean
  readonly nodes: ReadonlyArray<{
    readonly nodeId: string
    readonly acknowledgedVersion: number
    /** Whether the node holds a configuration lease, without which it serves no requests. */
    readonly hasLease: boolean
  }>
}

/** Response of `GET /evacuations` on the metrics address of the batch scheduler. */
export interface EvacuationListResponse {
  readonly evacuations: ReadonlyArray<{
    readonly zone: string
    readonly requestedWallMs: number
    readonly requestedBy: string
    /** Absent while the zone is evacuated. */
    readonly endedWallMs?: number
    readonly workers: number
    readonly remainingRuns: ReadonlyArray<{ readonly taskKey: string, readonly run: number, readonly workerId: string }>
  }>
}

/** A job as the API reports it. */
export interface JobResponse {
  readonly spec: JobSpec
  readonly phase: JobPhase
  readonly outcome: JobOutcome | null
  readonly placement: Placement | null
  /** Starts of the whole gang so far. */
  readonly starts: number
  /** One sentence about the last change of phase. */
  readonly detail: string
  /** Time of submission in milliseconds of the replicated log's own clock; not comparable with wall-clock time. */
  readonly submittedLogMs: number
  /** Time of the last change of the job, on the same clock. */
  readonly changedLogMs: number
}

/** Response of `GET /v1/jobs` and `GET /v1/queue`; `total` includes the jobs beyond the limit. */
export interface JobListResponse {
  readonly jobs: readonly JobResponse[]
  readonly total: number
}

/**
 * Usage of a capacity guarantee. A guarantee consists of cells; a cell is a block of `acceleratorsPerCell` adjacent
 * accelerators.
 */
export interface GuaranteeSummary {
  readonly guaranteeId: string
  readonly organisationId: string
  readonly acceleratorModel: string
  readonly acceleratorsPerCell: number
  readonly cells: number
  readonly cellsInUse: number
  /** Accelerators of the unused cells that jobs of other organisations occupy. */
  readonly lentAccelerators: number
  /** Cells that the working hardware can no longer hold. */
  readonly missingCells: number
}

/** Totals over all workers, and the usage of every guarantee. */
export interface FleetSummary {
  readonly accelerators: number
  readonly acceleratorsInUse: number
  /** Accelerators of lost workers. */
  readonly acceleratorsLost: number
  /** Fraction, 0 to 1, of the free accelerators that the largest waiting job of their model cannot use. */
  readonly fragmentation: number
  readonly waitingJobs: number
  /** All jobs that have a placement, also those still preparing to start. */
  readonly runningJobs: number
  readonly guarantees: readonly GuaranteeSummary[]
  readonly quarantinedWorkerIds: readonly string[]
  readonly drainingWorkerIds: readonly string[]
}

/** A worker in the response of `GET /v1/fleet`. */
export interface WorkerSummary {
  readonly workerId: string
  readonly state: WorkerState
  readonly address: string
  readonly tasks: number
}

/** Kinds of resources that can be drained. */
export const drainKinds = ['vm', 'worker', 'backend-server'] as const

export type DrainKind = typeof drainKinds[number]

/** A resource that an operator has drained. */
export interface Drain {
  readonly kind: DrainKind
  readonly id: string
}

/** Response of `GET /v1/fleet`. */
export interface FleetResponse {
  readonly report: FleetSummary
  readonly workers: readonly WorkerSummary[]
  readonly drains: readonly Drain[]
  readonly backendServers: readonly BackendServerRecord[]
}

/** Response of `GET /v1/claims/{organisation}/{key}`; the body of the recorded response is base64. */
export interface ClaimResponse {
  readonly organisationId: string
  readonly key: string
  /**
   * `pending` while the request may still be executed; `unknown` when it may have been executed but no response was
   * recorded.
   */
  readonly state: 'pending' | 'completed' | 'not_run' | 'unknown'
  readonly answer: { readonly status: number, readonly contentType: string, readonly body: string } | null
}

/** Response of `GET /v1/status`. */
export interface StatusResponse {
  readonly nodeId: string
  readonly region: string
  readonly availabilityZone: string
  readonly roles: readonly string[]
  readonly state: 'starting' | 'serving' | 'drained' | 'stopping'
  readonly configurationVersion: number
  readonly hasConfigurationLease: boolean
  readonly leaderNodeId: string | null
  readonly replica: {
    readonly role: string
    readonly term: number
    readonly commitIndex: number
    /** How many more voters may fail without loss of the majority; null on a replica that is not the leader. */
    readonly survivableLosses: number | null
  } | null
  readonly connectedNodeIds: readonly string[]
  readonly openRequests: number
  readonly backendServers: number
  readonly uptimeMs: number
  readonly residentMemoryBytes: number
  readonly processorTimeMs: number
  readonly counters: Readonly<Record<string, number>>
}

/** Response to a short request: the backend server's response and the values of the node's own headers. */
export interface ShortRequestResponse {
  readonly status: number
  readonly contentType: string
  readonly body: Buffer
  readonly requestId: string
  /** Attempts at backend servers. */
  readonly attempts: number
  /**
   * `none`, `recorded` when the response was recorded under the idempotency key, or `replayed` when it is such a
   * record; empty when the response lacks the header.
   */
  readonly claim: string
}
