/** The replicated log in memory. */
import { estimateEntryBytes } from './entry-size.js'
import type { LogEntry, RecoveredLog, Snapshot } from './messages.js'

/** Bounds of a part of the log. */
export interface SliceLimits {
  readonly maxEntries: number
  readonly maxBytes: number
}

/** Entries after a snapshot or after the tail kept behind it (sections 5.3 and 7 of the Raft paper). */
export class ReplicatedLog<Command> {
  #entries: Array<LogEntry<Command>> = []
  /** Estimated bytes of all entries up to each entry in memory, so that the size of a part is one subtraction. */
  #totalsBytes: number[] = []
  #baseTotalBytes = 0
  #baseIndex = 0
  #baseTerm = 0
  #baseLogTimeMs = 0
  #snapshot: Snapshot | null = null

  constructor (recovered: RecoveredLog<Command>) {
    if (recovered.snapshot !== null) this.replaceBy(recovered.snapshot)
    this.append(recovered.entries)
  }

  /** Index before the first entry kept in memory. */
  get baseIndex (): number {
    return this.#baseIndex
  }

  get lastIndex (): number {
    return this.#baseIndex + this.#entries.length
  }

  get lastTerm (): number {
    return this.#entries.at(-1)?.term ?? this.#baseTerm
  }

  get lastLogTimeMs (): number {
    return this.#entries.at(-1)?.logTimeMs ?? this.#baseLogTimeMs
  }

  /** The latest snapshot, or `null` before the first. */
  get snapshot (): Snapshot | null {
    return this.#snapshot
  }

  /** Term of the entry at `index`; `undefined` where the log does not reach. */
  termAt (index: number): number | undefined {
    if (index === this.#baseIndex) return this.#baseTerm
    return this.#entries[index - this.#baseIndex - 1]?.term
  }

  /** Log time of the entry at `index`; `undefined` where the log does not reach. */
  logTimeAt (index: number): number | undefined {
    if (index === this.#baseIndex) return this.#baseLogTimeMs
    return this.#entries[index - this.#baseIndex - 1]?.logTimeMs
  }

  /** Estimated size of the entries after `index`. */
  sizeAfterBytes (index: number): number {
    return this.#totalAtBytes(this.lastIndex) - this.#totalAtBytes(index)
  }

  #totalAtBytes (index: number): number {
    return this.#totalsBytes[index - this.#baseIndex - 1] ?? this.#baseTotalBytes
  }

  /** Whether a log that ends at this position holds everything that this one may have committed (section 5.4.1). */
  isCoveredBy (lastIndex: number, lastTerm: number): boolean {
    if (lastTerm !== this.lastTerm) return lastTerm > this.lastTerm
    return lastIndex >= this.lastIndex
  }

  /** Adds entries that follow the last one. */
  append (entries: ReadonlyArray<LogEntry<Command>>): void {
    for (const entry of entries) {
      if (entry.index !== this.lastIndex + 1) {
        throw new Error(`entry ${entry.index} does not follow the last index ${this.lastIndex}`)
      }
      const totalBytes = this.#totalAtBytes(this.lastIndex) + estimateEntryBytes(entry)
      this.#entries.push(entry)
      this.#totalsBytes.push(totalBytes)
    }
  }

  /** Removes the entry at `index` and all after it. */
  truncateFrom (index: number): void {
    const kept = Math.max(0, index - this.#baseIndex - 1)
    this.#entries.length = Math.min(this.#entries.length, kept)
    this.#totalsBytes.length = this.#entries.length
  }

  /** Entries from `first` to `last`, both included. */
  range (first: number, last: number): Array<LogEntry<Command>> {
    return this.#entries.slice(first - this.#baseIndex - 1, last - this.#baseIndex)
  }

  /** Entries from `first` on within the limits; at least one, so that a large entry is not stuck. */
  slice (first: number, limits: SliceLimits): { entries: Array<LogEntry<Command>>, sizeBytes: number } {
    const startBytes = this.#totalAtBytes(first - 1)
    const latest = Math.min(this.lastIndex, first + limits.maxEntries - 1)
    let last = first
    while (last < latest && this.#totalAtBytes(last + 1) - startBytes <= limits.maxBytes) last++
    return { entries: this.range(first, last), sizeBytes: this.#totalAtBytes(last) - startBytes }
  }

  /** Where the leader should go back to after a mismatch: before the conflicting term (section 5.3). */
  conflictHint (previousIndex: number, floorIndex: number): number {
    if (previousIndex > this.lastIndex) return this.lastIndex
    const term = this.termAt(previousIndex)
    let index = previousIndex
    while (index > floorIndex && this.termAt(index) === term) index--
    return index
  }

  /** Keeps a snapshot of the state machine and drops all but a tail of the entries that it covers. */
  compact (snapshot: Snapshot, tail: SliceLimits): void {
    if (snapshot.lastIndex <= (this.#snapshot?.lastIndex ?? 0)) return
    this.#snapshot = snapshot
    const newBase = this.#tailStart(snapshot.lastIndex, tail)
    const dropped = newBase - this.#baseIndex
    this.#baseTerm = this.termAt(newBase) ?? snapshot.lastTerm
    this.#baseLogTimeMs = this.logTimeAt(newBase) ?? snapshot.logTimeMs
    this.#baseTotalBytes = this.#totalAtBytes(newBase)
    this.#entries = this.#entries.slice(dropped)
    this.#totalsBytes = this.#totalsBytes.slice(dropped)
    this.#baseIndex = newBase
  }

  #tailStart (lastIndex: number, tail: SliceLimits): number {
    const endBytes = this.#totalAtBytes(lastIndex)
    let start = Math.max(this.#baseIndex, lastIndex - tail.maxEntries)
    while (start < lastIndex && endBytes - this.#totalAtBytes(start) > tail.maxBytes) start++
    return start
  }

  /** Replaces the whole log by a snapshot. */
  replaceBy (snapshot: Snapshot): void {
    this.#snapshot = snapshot
    this.#entries = []
    this.#totalsBytes = []
    this.#baseTotalBytes = 0
    this.#baseIndex = snapshot.lastIndex
    this.#baseTerm = snapshot.lastTerm
    this.#baseLogTimeMs = snapshot.logTimeMs
  }
}
