/** What front ends may ask of a node; `HttpApi` is one front end. */
import type { BackendServerRecord, Failure, RequestSpec, Result, Rules } from '@comfreygrade/core'
import type { ControlOperation, ControlResult } from '@comfreygrade/control'
import type { RequestAnswer } from './request-service.js'

/** State of one node for operators. */
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
    /** Control nodes that may be lost now with nothing lost; null on a node that does not lead. */
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

/** A heartbeat as a backend server sends it. */
export type BackendServerAnnouncement = Omit<BackendServerRecord, 'state'>

/** Intervals that a backend server has to keep. */
export interface HeartbeatTerms {
  readonly heartbeatIntervalMs: number
  readonly expireAfterMs: number
}

/** The port between front ends and a node. */
export abstract class Application {
  /** Rules in force, or the reason why this node takes no new work. */
  abstract admission (): Result<Rules>
  /** Monotonic time in milliseconds, for deadlines. */
  abstract nowMs (): number
  /** Runs a short request. */
  abstract execute (
    spec: RequestSpec, body: Buffer, onCancel: (cancel: () => void) => void
  ): Promise<Result<RequestAnswer>>
  /** Asks the control leader. */
  abstract ask (operation: ControlOperation): Promise<ControlResult>
  /** Takes a backend server's heartbeat. */
  abstract announceBackendServer (announcement: BackendServerAnnouncement): HeartbeatTerms
  /** Ends new work to a backend server. */
  abstract leaveBackendServer (backendServerId: string): Failure | undefined
  /** Backend servers known to this node. */
  abstract backendServers (): readonly BackendServerRecord[]
  abstract status (): NodeStatus
}
