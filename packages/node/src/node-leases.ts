/** Which configuration each node has acknowledged, and until when it may serve under which version. */
import type { ConfigurationStatus } from '@comfreygrade/control'

/** Bound on how much faster a clock of the leader may run than a node's: the leader waits longer by this share. */
const CLOCK_RATE_BOUND = 0.01

/** Until when a node may serve by version; a node that got a lease holds at least the version granted with it. */
type Grants = Map<number, number>

interface NodeLease { acknowledgedVersion: number, grants: Grants }

/** Leases that the control leader has granted. */
export class NodeLeases {
  readonly #nodes: Map<string, NodeLease>
  readonly #leaseMs: number

  constructor (nodeIds: readonly string[], leaseMs: number) {
    this.#leaseMs = leaseMs * (1 + CLOCK_RATE_BOUND)
    this.#nodes = new Map(nodeIds.map(nodeId => [nodeId, { acknowledgedVersion: 0, grants: new Map() }]))
  }

  /** Starts a term: leases of the former leader under unknown versions may hold for one more lease time. */
  restart (nowMs: number): void {
    for (const lease of this.#nodes.values()) {
      lease.acknowledgedVersion = 0
      lease.grants = new Map([[0, nowMs + this.#leaseMs]])
    }
  }

  /** Records that a node holds a version and is sent a lease together with another one. */
  renew (nodeId: string, heldVersion: number, grantedVersion: number, nowMs: number): void {
    const lease = this.#nodes.get(nodeId)
    if (lease === undefined) return
    lease.acknowledgedVersion = Math.max(lease.acknowledgedVersion, heldVersion)
    lease.grants.set(grantedVersion, nowMs + this.#leaseMs)
    for (const [version, untilMs] of lease.grants) if (untilMs <= nowMs) lease.grants.delete(version)
  }

  /** Last version that a node is known to hold. */
  acknowledgedVersion (nodeId: string): number {
    return this.#nodes.get(nodeId)?.acknowledgedVersion ?? 0
  }

  /**
   * A version is in force everywhere once every node holds it or may no longer serve under an older one. A node that
   * can send but not receive asks for ever without getting what it is granted; its older leases end all the same.
   */
  status (version: number, nowMs: number): ConfigurationStatus {
    const nodes = [...this.#nodes].map(([nodeId, { acknowledgedVersion, grants }]) => ({
      nodeId,
      acknowledgedVersion,
      hasLease: hasGrantBelow(grants, Infinity, nowMs)
    }))
    const isInForceEverywhere = [...this.#nodes.values()].every(({ acknowledgedVersion, grants }) =>
      acknowledgedVersion >= version || !hasGrantBelow(grants, version, nowMs))
    return { version, isInForceEverywhere, nodes }
  }
}

function hasGrantBelow (grants: Grants, version: number, nowMs: number): boolean {
  return [...grants].some(([granted, untilMs]) => granted < version && nowMs < untilMs)
}
