/** Load information that entry VMs exchange. */
import type { RoutingSettings } from './settings.js'

/** Requests that one entry VM has in flight to one backend server. */
export interface LoadEntry {
  readonly backendServerId: string
  readonly inFlight: number
  /** The part of `inFlight` that is long work. */
  readonly longInFlight: number
}

/** In-flight counts of one entry VM that changed or have to be refreshed. */
export interface LoadReport {
  readonly entries: readonly LoadEntry[]
}

/** Encoded size of an entry without its ID: field names and small numbers in JSON. */
const ENTRY_BYTES = 60
/** Encoded size of a report without entries. */
const REPORT_BYTES = 16

/** A sum of counts that loses half its weight in each half-life. */
class DecayingCount {
  readonly #halfLifeMs: number
  #value = 0
  #atMs = 0

  constructor (halfLifeMs: number) {
    this.#halfLifeMs = halfLifeMs
  }

  at (nowMs: number): number {
    if (this.#value === 0) return 0
    return this.#value * 0.5 ** (Math.max(0, nowMs - this.#atMs) / this.#halfLifeMs)
  }

  add (count: number, nowMs: number): void {
    this.#value = Math.max(0, this.at(nowMs) + count)
    this.#atMs = nowMs
  }

  /** Replaces a count given at `givenAtMs`, as decayed since, by a new one. */
  replace (given: number, givenAtMs: number, count: number, nowMs: number): void {
    this.add(count - given * 0.5 ** ((nowMs - givenAtMs) / this.#halfLifeMs), nowMs)
  }
}

interface PeerCount { entry: LoadEntry, atMs: number }

/**
 * Counts that the peers of one entry VM hold on one backend server. All counts of a class decay alike, so only their
 * sums are needed. Long work is still there when short work has ended, so its count decays more slowly.
 */
export class RemoteLoad {
  readonly #short: DecayingCount
  readonly #long: DecayingCount
  readonly #byPeer = new Map<string, PeerCount>()

  constructor (settings: RoutingSettings) {
    this.#short = new DecayingCount(settings.peerLoadHalfLifeMs)
    this.#long = new DecayingCount(settings.peerLongLoadHalfLifeMs)
  }

  /** Takes the newest count of one peer. */
  report (nodeId: string, entry: LoadEntry, nowMs: number): void {
    const last = this.#byPeer.get(nodeId)
    const lastAtMs = last?.atMs ?? nowMs
    this.#short.replace(shortOf(last?.entry), lastAtMs, shortOf(entry), nowMs)
    this.#long.replace(last?.entry.longInFlight ?? 0, lastAtMs, entry.longInFlight, nowMs)
    if (entry.inFlight === 0) this.#byPeer.delete(nodeId)
    else this.#byPeer.set(nodeId, { entry, atMs: nowMs })
  }

  /** Forgets a peer whose reports have decayed. */
  forget (nodeId: string): void {
    this.#byPeer.delete(nodeId)
  }

  /** Requests in flight from peers. */
  inFlight (nowMs: number): number {
    return this.#short.at(nowMs) + this.#long.at(nowMs)
  }

  /** Long requests in flight from peers. */
  longInFlight (nowMs: number): number {
    return this.#long.at(nowMs)
  }
}

function shortOf (entry: LoadEntry | undefined): number {
  return entry === undefined ? 0 : entry.inFlight - entry.longInFlight
}

/** Chooses what the next report has to contain. */
export class LoadReporter {
  readonly #settings: RoutingSettings
  readonly #sent = new Map<string, PeerCount>()

  constructor (settings: RoutingSettings) {
    this.#settings = settings
  }

  /**
   * Entries that changed since they were sent, largest change first, and those that peers have half forgotten.
   *
   * @param maxBytesHint size that the encoded report should not exceed
   */
  next (current: readonly LoadEntry[], nowMs: number, maxBytesHint: number): LoadReport {
    const due = current.filter(entry => this.#isDue(entry, nowMs))
    due.sort((left, right) => this.#change(right) - this.#change(left))
    const entries: LoadEntry[] = []
    let bytes = REPORT_BYTES
    for (const entry of due.slice(0, this.#settings.maxLoadReportEntries)) {
      bytes += ENTRY_BYTES + entry.backendServerId.length
      if (bytes > maxBytesHint) break
      entries.push(entry)
      this.#sent.set(entry.backendServerId, { entry, atMs: nowMs })
    }
    return { entries }
  }

  /** Forgets servers that no longer exist. */
  keepOnly (isKnown: (backendServerId: string) => boolean): void {
    for (const id of this.#sent.keys()) {
      if (!isKnown(id)) this.#sent.delete(id)
    }
  }

  #isDue (entry: LoadEntry, nowMs: number): boolean {
    const sent = this.#sent.get(entry.backendServerId)
    if (sent === undefined) return entry.inFlight > 0
    if (sent.entry.inFlight !== entry.inFlight || sent.entry.longInFlight !== entry.longInFlight) return true
    return entry.inFlight > 0 && nowMs - sent.atMs >= this.#settings.peerLoadHalfLifeMs / 2
  }

  #change (entry: LoadEntry): number {
    return Math.abs(entry.inFlight - (this.#sent.get(entry.backendServerId)?.entry.inFlight ?? 0))
  }
}
