/** Bodies of the node's answers as they travel; see docs/api.md. Kept apart from `control`, as any client is. */
import type {
  BackendServerRecord, ConfigurationDocument, JobOutcome, JobPhase, JobSpec, Placement, WorkerState
} from '@comfreygrade/core'

/** Answer of `GET /v1/configuration`. */
export interface ConfigurationResponse {
  readonly version: number
  readonly document: ConfigurationDocument
}

/** Answer of `POST /v1/configuration/changes`. */
export interface ChangeResponse {
  readonly version: number
  readonly isDryRun: boolean
}

/** Answer of `GET /v1/configuration/status`. */
export interface ConfigurationStatusResponse {
  readonly version: number
  readonly isInForceEverywhere: boolean
  readonly nodes: ReadonlyArray<{
    readonly nodeId: string
    readonly acknowledgedVersion: number
    readonly hasLease: boolean
  }>
}

/** A job as callers see it. */
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

/** Answer of `GET /v1/jobs` and `GET /v1/queue`; `total` counts what the limit left out too. */
export interface JobListResponse {
  readonly jobs: readonly JobAnswer[]
  readonly total: number
}

/** What an organisation's guarantee holds and lends. */
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

/** Totals of the fleet. */
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

/** A worker as operators see it. */
export interface WorkerSummary {
  readonly workerId: string
  readonly state: WorkerState
  readonly address: string
  readonly tasks: number
}

/** What can be drained. */
export const drainKinds = ['vm', 'worker', 'backend-server'] as const

/** Kind of a drained part. */
export type DrainKind = typeof drainKinds[number]

/** A drain that an operator asked for. */
export interface Drain {
  readonly kind: DrainKind
  readonly id: string
}

/** Answer of `GET /v1/fleet`. */
export interface FleetResponse {
  readonly report: FleetSummary
  readonly workers: readonly WorkerSummary[]
  readonly drains: readonly Drain[]
  readonly backendServers: readonly BackendServerRecord[]
}

/** Answer of `GET /v1/claims/{organisation}/{key}`; the body of the recorded answer is base64. */
export interface ClaimResponse {
  readonly organisationId: string
  readonly key: string
  readonly state: 'pending' | 'completed' | 'not_run' | 'unknown'
  readonly answer: { readonly status: number, readonly contentType: string, readonly body: string } | null
}

/** Answer of `GET /v1/status`: values by name, nested objects allowed. */
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

/** Answer to a short request: the backend server's answer and what the system adds in headers. */
export interface ShortRequestAnswer {
  readonly status: number
  readonly contentType: string
  readonly body: Buffer
  readonly requestId: string
  readonly attempts: number
  readonly claim: string
}
