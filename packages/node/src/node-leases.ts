/** Tracks which configuration version each node has acknowledged, and until when it may serve under each version. */
import type { ConfigurationStatus } from '@comfreygrade/control'

/**
 * Bound on how much faster the leader's clock may run than a node's. The leader waits longer than the lease by this
 * fraction, as a faster clock would otherwise make it count a lease as expired that the node still holds.
 */
const CLOCK_RATE_BOUND = 0.01

/** Expiry times by the version granted with a lease; a node that received the lease holds at least that version. */
type LeaseExpiryByVersion = Map<number, number>

interface NodeLease { acknowledgedVersion: number, expiries: LeaseExpiryByVersion }

/** Configuration leases that the control leader has granted to the nodes. */
export class NodeLeases {
  readonly #leasesByNode: Map<string, NodeLease>
  readonly #leaseMs: number

  constructor (nodeIds: readonly string[], leaseMs: number) {
    this.#leaseMs = leaseMs * (1 + CLOCK_RATE_BOUND)
    this.#leasesByNode = new Map(
      nodeIds.map(nodeId => [nodeId, { acknowledgedVersion: 0, expiries: new Map() }])
    )
  }

  /** Starts a term; leases of the former leader, for unknown versions, may be valid for one more lease duration. */
  startTerm (nowMs: number): void {
    for (const lease of this.#leasesByNode.values()) {
      lease.acknowledgedVersion = 0
      lease.expiries = new Map([[0, nowMs + this.#leaseMs]])
    }
  }

  /** Records that a node holds `heldVersion` and is granted a lease along with `grantedVersion`. */
  renew (nodeId: string, heldVersion: number, grantedVersion: number, nowMs: number): void {
    const lease = this.#leasesByNode.get(nodeId)
    if (lease === undefined) return
    lease.acknowledgedVersion = Math.max(lease.acknowledgedVersion, heldVersion)
    lease.expiries.set(grantedVersion, nowMs + this.#leaseMs)
    for (const [version, expiresAtMs] of lease.expiries) if (expiresAtMs <= nowMs) lease.expiries.delete(version)
  }

  /** Latest version that a node is known to hold. */
  acknowledgedVersion (nodeId: string): number {
    return this.#leasesByNode.get(nodeId)?.acknowledgedVersion ?? 0
  }

  /**
   * A version is in force everywhere once every node either holds it or has no unexpired lease for an older version.
   * A node that can send but not receive keeps requesting leases that never reach it, so a lease counts under the
   * version granted with it; the node's leases for older versions still expire. `hasLease` means that a node may have a
   * lease, also one of the former leader.
   */
  status (version: number, nowMs: number): ConfigurationStatus {
    const nodes = [...this.#leasesByNode].map(([nodeId, { acknowledgedVersion, expiries }]) => ({
      nodeId,
      acknowledgedVersion,
      hasLease: hasLeaseBelow(expiries, Infinity, nowMs)
    }))
    const isInForceEverywhere = [...this.#leasesByNode.values()].every(({ acknowledgedVersion, expiries }) =>
      acknowledgedVersion >= version || !hasLeaseBelow(expiries, version, nowMs))
    return { version, isInForceEverywhere, nodes }
  }
}

function hasLeaseBelow (expiries: LeaseExpiryByVersion, version: number, nowMs: number): boolean {
  return [...expiries].some(([grantedVersion, expiresAtMs]) => grantedVersion < version && nowMs < expiresAtMs)
}
