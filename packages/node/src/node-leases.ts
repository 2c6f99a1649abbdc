/** Which configuration each node has acknowledged, and until when it may serve under it. */
import type { ConfigurationStatus } from '@comfreygrade/control'

/** Bound on how much faster a clock of the leader may run than a node's: the leader waits longer by this share. */
const CLOCK_RATE_BOUND = 0.01

interface NodeLease { acknowledgedVersion: number, leaseUntilMs: number }

/** Leases that the control leader has granted. */
export class NodeLeases {
  readonly #nodes: Map<string, NodeLease>
  readonly #leaseMs: number

  constructor (nodeIds: readonly string[], leaseMs: number) {
    this.#leaseMs = leaseMs * (1 + CLOCK_RATE_BOUND)
    this.#nodes = new Map(nodeIds.map(nodeId => [nodeId, { acknowledgedVersion: 0, leaseUntilMs: 0 }]))
  }

  /** Starts a term: leases of the former leader may hold for one more lease time. */
  restart (nowMs: number): void {
    for (const lease of this.#nodes.values()) {
      lease.acknowledgedVersion = 0
      lease.leaseUntilMs = nowMs + this.#leaseMs
    }
  }

  /** Records that a node holds a version and has its lease renewed. */
  renew (nodeId: string, version: number, nowMs: number): void {
    const lease = this.#nodes.get(nodeId)
    if (lease === undefined) return
    lease.acknowledgedVersion = Math.max(lease.acknowledgedVersion, version)
    lease.leaseUntilMs = nowMs + this.#leaseMs
  }

  /** Last version that a node is known to hold. */
  acknowledgedVersion (nodeId: string): number {
    return this.#nodes.get(nodeId)?.acknowledgedVersion ?? 0
  }

  /** A version is in force everywhere once every node holds it or may no longer serve. */
  status (version: number, nowMs: number): ConfigurationStatus {
    const nodes = [...this.#nodes].map(([nodeId, lease]) => ({
      nodeId,
      acknowledgedVersion: lease.acknowledgedVersion,
      hasLease: nowMs < lease.leaseUntilMs
    }))
    const isInForceEverywhere = nodes.every(node => node.acknowledgedVersion >= version || !node.hasLease)
    return { version, isInForceEverywhere, nodes }
  }
}
