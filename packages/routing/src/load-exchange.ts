/** Exchange of load reports with the other entry VMs. */
import { LoadReporter, type LoadReport } from './peer-load.js'
import type { ServerPool } from './server-pool.js'
import type { RoutingSettings } from './settings.js'

/** Creates the load reports of this entry VM and applies those of its peers. */
export class LoadExchange {
  readonly #settings: RoutingSettings
  readonly #pool: ServerPool
  readonly #reporter: LoadReporter
  readonly #lastReportAtMsByPeer = new Map<string, number>()

  constructor (settings: RoutingSettings, pool: ServerPool) {
    this.#settings = settings
    this.#pool = pool
    this.#reporter = new LoadReporter(settings)
  }

  /**
   * Number of entry VMs that share the servers: this one and the peers whose load reports are recent. Peers that became
   * silent for `peerForgetAfterMs` are removed when a report of any peer arrives.
   */
  get entryVmCount (): number {
    return this.#lastReportAtMsByPeer.size + 1
  }

  /** Creates the next report for all peers. */
  nextReport (maxBytesHint: number, nowMs: number): LoadReport {
    this.#reporter.retainServers(id => this.#pool.get(id) !== undefined)
    return this.#reporter.nextReport([...this.#pool.all()].map(server => server.toLoadEntry()), nowMs, maxBytesHint)
  }

  /**
   * Applies a report of a peer. Entries are ignored for servers without a state in the pool, which includes registered
   * servers of services that no request has asked for yet, and after the first `maxLoadReportEntries`.
   */
  applyPeerReport (nodeId: string, report: LoadReport, nowMs: number): void {
    this.#removeSilentPeers(nowMs)
    this.#lastReportAtMsByPeer.set(nodeId, nowMs)
    for (const entry of report.entries.slice(0, this.#settings.maxLoadReportEntries)) {
      this.#pool.get(entry.backendServerId)?.peerLoad.applyEntry(nodeId, entry, nowMs)
    }
  }

  #removeSilentPeers (nowMs: number): void {
    for (const [nodeId, lastReportAtMs] of this.#lastReportAtMsByPeer) {
      if (nowMs - lastReportAtMs < this.#settings.peerForgetAfterMs) continue
      this.#lastReportAtMsByPeer.delete(nodeId)
      for (const server of this.#pool.all()) server.peerLoad.removePeer(nodeId)
    }
  }
}
