/** Load reports exchanged between entry VMs. */
import type { RoutingSettings } from './settings.js'

/** Requests that one entry VM has in flight to one backend server. */
export interface LoadEntry {
  readonly backendServerId: string
  readonly inFlight: number
  /** Number of these requests that are long work. */
  readonly longInFlight: number
}

/** In-flight counts of one entry VM that changed or are due for a refresh. */
export interface LoadReport {
  readonly entries: readonly LoadEntry[]
}

/** Estimated size of an entry in JSON without its ID, which counts with its length: field names and small numbers. */
const ENTRY_BYTES = 60
/** Estimated size of a report in JSON without entries. */
const REPORT_OVERHEAD_BYTES = 16

/** A sum of counts with exponential decay. */
class DecayingCount {
  readonly #halfLifeMs: number
  #valueAtUpdate = 0
  #updatedAtMs = 0

  constructor (halfLifeMs: number) {
    this.#halfLifeMs = halfLifeMs
  }

  valueAt (nowMs: number): number {
    if (this.#valueAtUpdate === 0) return 0
    return this.#valueAtUpdate * 0.5 ** (Math.max(0, nowMs - this.#updatedAtMs) / this.#halfLifeMs)
  }

  add (count: number, nowMs: number): void {
    this.#valueAtUpdate = Math.max(0, this.valueAt(nowMs) + count)
    this.#updatedAtMs = nowMs
  }

  /** Replaces what is left of a count that was added at `previousAtMs` by a new count. */
  replace (previousCount: number, previousAtMs: number, count: number, nowMs: number): void {
    this.add(count - previousCount * 0.5 ** ((nowMs - previousAtMs) / this.#halfLifeMs), nowMs)
  }
}

interface ReportedEntry { entry: LoadEntry, atMs: number }

/**
 * Requests that the peers of an entry VM have in flight to one backend server. All counts of a work class decay with
 * the same half-life, so only their sum is kept. Long requests outlast short ones, so their counts decay more slowly.
 */
export class PeerLoad {
  readonly #short: DecayingCount
  readonly #long: DecayingCount
  readonly #lastReportByPeer = new Map<string, ReportedEntry>()

  constructor (settings: RoutingSettings) {
    this.#short = new DecayingCount(settings.peerLoadHalfLifeMs)
    this.#long = new DecayingCount(settings.peerLongLoadHalfLifeMs)
  }

  /** Replaces the previous counts of a peer by those of a new report. */
  applyEntry (nodeId: string, entry: LoadEntry, nowMs: number): void {
    const previous = this.#lastReportByPeer.get(nodeId)
    const previousAtMs = previous?.atMs ?? nowMs
    this.#short.replace(shortInFlight(previous?.entry), previousAtMs, shortInFlight(entry), nowMs)
    this.#long.replace(previous?.entry.longInFlight ?? 0, previousAtMs, entry.longInFlight, nowMs)
    if (entry.inFlight === 0) this.#lastReportByPeer.delete(nodeId)
    else this.#lastReportByPeer.set(nodeId, { entry, atMs: nowMs })
  }

  /**
   * Removes a silent peer. What is left of its counts decays further; if the peer returns before that, its new counts
   * are added to the rest.
   */
  removePeer (nodeId: string): void {
    this.#lastReportByPeer.delete(nodeId)
  }

  /** Estimated requests in flight from peers. */
  inFlight (nowMs: number): number {
    return this.#short.valueAt(nowMs) + this.#long.valueAt(nowMs)
  }

  /** Estimated long requests in flight from peers. */
  longInFlight (nowMs: number): number {
    return this.#long.valueAt(nowMs)
  }
}

function shortInFlight (entry: LoadEntry | undefined): number {
  return entry === undefined ? 0 : entry.inFlight - entry.longInFlight
}

/** Selects the entries of each load report. */
export class LoadReporter {
  readonly #settings: RoutingSettings
  readonly #lastSent = new Map<string, ReportedEntry>()

  constructor (settings: RoutingSettings) {
    this.#settings = settings
  }

  /**
   * Returns the entries that changed since they were last sent, largest change of `inFlight` first. Unchanged entries
   * are repeated after half a half-life, before their counts decay too far at the peers.
   *
   * @param maxBytesHint size that the encoded report should not exceed
   */
  nextReport (current: readonly LoadEntry[], nowMs: number, maxBytesHint: number): LoadReport {
    const due = current.filter(entry => this.#isDue(entry, nowMs))
    due.sort((left, right) => this.#changeSinceSent(right) - this.#changeSinceSent(left))
    const entries: LoadEntry[] = []
    let bytes = REPORT_OVERHEAD_BYTES
    for (const entry of due.slice(0, this.#settings.maxLoadReportEntries)) {
      bytes += ENTRY_BYTES + entry.backendServerId.length
      if (bytes > maxBytesHint) break
      entries.push(entry)
      this.#lastSent.set(entry.backendServerId, { entry, atMs: nowMs })
    }
    return { entries }
  }

  /** Removes the state of servers that are no longer known. */
  retainServers (isKnown: (backendServerId: string) => boolean): void {
    for (const id of this.#lastSent.keys()) {
      if (!isKnown(id)) this.#lastSent.delete(id)
    }
  }

  #isDue (entry: LoadEntry, nowMs: number): boolean {
    const sent = this.#lastSent.get(entry.backendServerId)
    if (sent === undefined) return entry.inFlight > 0
    if (sent.entry.inFlight !== entry.inFlight || sent.entry.longInFlight !== entry.longInFlight) return true
    return entry.inFlight > 0 && nowMs - sent.atMs >= this.#settings.peerLoadHalfLifeMs / 2
  }

  #changeSinceSent (entry: LoadEntry): number {
    return Math.abs(entry.inFlight - (this.#lastSent.get(entry.backendServerId)?.entry.inFlight ?? 0))
  }
}
