/** Port through which front ends such as `HttpApi` use a node. */
import type { BackendServerRecord, Failure, RequestSpec, Result, Rules } from '@comfreygrade/core'
import type { ControlOperation, ControlResult } from '@comfreygrade/control'
import type { RequestResult } from './request-service.js'

/** Status of one node, for operators. */
export interface NodeStatus {
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
    /** Number of further voters that may fail without loss of data or availability; null unless this node leads. */
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

/** Content of a backend server's heartbeat. */
export type BackendServerAnnouncement = Omit<BackendServerRecord, 'state'>

/** Heartbeat interval that a backend server must keep, and the silence after which it expires. */
export interface HeartbeatIntervals {
  readonly heartbeatIntervalMs: number
  readonly expireAfterMs: number
}

/** Operations that a node offers to its front ends. */
export abstract class Application {
  /** Rules in force, or the reason why this node admits no new requests. */
  abstract checkAdmission (): Result<Rules>
  /** Monotonic time in milliseconds, for deadlines. */
  abstract nowMs (): number
  /** Executes a short request; `onCancel` receives a function to call when the caller disconnects. */
  abstract executeRequest (
    spec: RequestSpec, body: Buffer, onCancel: (cancel: () => void) => void
  ): Promise<Result<RequestResult>>
  /** Executes an operation on the control leader. */
  abstract executeOperation (operation: ControlOperation): Promise<ControlResult>
  /** Records a backend server's heartbeat. */
  abstract announceBackendServer (announcement: BackendServerAnnouncement): HeartbeatIntervals
  /** Marks a backend server as leaving, so that it gets no new requests. */
  abstract deregisterBackendServer (backendServerId: string): Failure | undefined
  /** Backend servers that this node knows. */
  abstract backendServers (): readonly BackendServerRecord[]
  abstract status (): NodeStatus
}
