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
  readonly isInForceEverywhere: boolean
  readonly nodes: ReadonlyArray<{
    readonly nodeId: string
    readonly acknowledgedVersion: number
    readonly hasLease: boolean
  }>
}

/** A job as the API reports it. */
export interface JobAnswer {
  readonly spec: JobSpec
  readonly phase: JobPhase
  readonly outcome: JobOutcome | null
  readonly placement: Placement | null
  readonly starts: number
  readonly detail: string
  readonly submittedLogMs: number
  readonly changedLogMs: number
}

/** Response of `GET /v1/jobs` and `GET /v1/queue`; `total` includes the jobs beyond the limit. */
export interface JobListResponse {
  readonly jobs: readonly JobAnswer[]
  readonly total: number
}

/** Usage of a capacity guarantee: its cells, those in use, and the accelerators lent to other organisations. */
export interface GuaranteeSummary {
  readonly guaranteeId: string
  readonly organisationId: string
  readonly acceleratorModel: string
  readonly acceleratorsPerCell: number
  readonly cells: number
  readonly cellsInUse: number
  readonly lentAccelerators: number
  readonly missingCells: number
}

/** Totals over all workers, and the usage of every guarantee. */
export interface FleetSummary {
  readonly accelerators: number
  readonly acceleratorsInUse: number
  readonly acceleratorsLost: number
  readonly fragmentation: number
  readonly waitingJobs: number
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
  readonly state: 'pending' | 'completed' | 'not_run' | 'unknown'
  readonly answer: { readonly status: number, readonly contentType: string, readonly body: string } | null
}

/** Response of `GET /v1/status`. */
export interface StatusAnswer {
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
export interface ShortRequestAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: Buffer
  readonly requestId: string
  readonly attempts: number
  readonly claim: string
}
