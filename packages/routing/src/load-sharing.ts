/** Exchange of load information with other entry VMs. */
import { LoadReporter, type LoadReport } from './peer-load.js'
import type { ServerPool } from './servers.js'
import type { RoutingSettings } from './settings.js'

/** Reports of this entry VM and of its peers. */
export class LoadSharing {
  readonly #settings: RoutingSettings
  readonly #pool: ServerPool
  readonly #reporter: LoadReporter
  readonly #peersHeardAtMs = new Map<string, number>()

  constructor (settings: RoutingSettings, pool: ServerPool) {
    this.#settings = settings
    this.#pool = pool
    this.#reporter = new LoadReporter(settings)
  }

  /** Entry VMs that share the servers, this one included. */
  get entryVms (): number {
    return this.#peersHeardAtMs.size + 1
  }

  /** The next report to all peers. */
  report (maxBytesHint: number, nowMs: number): LoadReport {
    this.#reporter.keepOnly(id => this.#pool.get(id) !== undefined)
    return this.#reporter.next([...this.#pool.all()].map(server => server.loadEntry()), nowMs, maxBytesHint)
  }

  /** Takes a report of a peer; servers that are not known here are left out. */
  take (nodeId: string, report: LoadReport, nowMs: number): void {
    this.#forgetSilentPeers(nowMs)
    this.#peersHeardAtMs.set(nodeId, nowMs)
    for (const entry of report.entries.slice(0, this.#settings.maxLoadReportEntries)) {
      this.#pool.get(entry.backendServerId)?.remote.report(nodeId, entry, nowMs)
    }
  }

  #forgetSilentPeers (nowMs: number): void {
    for (const [nodeId, heardAtMs] of this.#peersHeardAtMs) {
      if (nowMs - heardAtMs < this.#settings.peerForgetAfterMs) continue
      this.#peersHeardAtMs.delete(nodeId)
      for (const server of this.#pool.all()) server.remote.forget(nodeId)
    }
  }
}
