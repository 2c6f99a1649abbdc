/** In-memory part of the replicated log. */
import { estimateEntryBytes } from './entry-size.js'
import type { LogEntry, RecoveredLog, Snapshot } from './messages.js'

/** Maximum number of entries and maximum estimated size of a range of the log. */
export interface SizeLimits {
  readonly maxEntries: number
  readonly maxBytes: number
}

/** The latest snapshot, the entries after it and some trailing entries before it (Raft paper, sections 5.3 and 7). */
export class ReplicatedLog<Command> {
  #entries: Array<LogEntry<Command>> = []
  /** Cumulative estimated size up to each entry in memory, so that the size of any range is one subtraction. */
  #cumulativeBytes: number[] = []
  #baseCumulativeBytes = 0
  #baseIndex = 0
  #baseTerm = 0
  #baseLogTimeMs = 0
  #snapshot: Snapshot | null = null

  constructor (recovered: RecoveredLog<Command>) {
    if (recovered.snapshot !== null) this.resetTo(recovered.snapshot)
    this.append(recovered.entries)
  }

  /** Index just before the first entry in memory. */
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

  /** The latest snapshot; `null` if none was taken yet. */
  get snapshot (): Snapshot | null {
    return this.#snapshot
  }

  /** Term of the entry at `index`; `undefined` if it is not in memory. */
  termAt (index: number): number | undefined {
    if (index === this.#baseIndex) return this.#baseTerm
    return this.#entries[index - this.#baseIndex - 1]?.term
  }

  /** Log time of the entry at `index`; `undefined` if it is not in memory. */
  logTimeAt (index: number): number | undefined {
    if (index === this.#baseIndex) return this.#baseLogTimeMs
    return this.#entries[index - this.#baseIndex - 1]?.logTimeMs
  }

  /** Estimated size in bytes of the entries after `index`. */
  bytesAfter (index: number): number {
    return this.#cumulativeBytesAt(this.lastIndex) - this.#cumulativeBytesAt(index)
  }

  /** The base's size for any index that is not in memory; callers pass only the base index and indexes in memory. */
  #cumulativeBytesAt (index: number): number {
    return this.#cumulativeBytes[index - this.#baseIndex - 1] ?? this.#baseCumulativeBytes
  }

  /**
   * Whether a log that ends at the given position is at least as up-to-date as this one (section 5.4.1). A candidate
   * that passes this check on a majority has every committed entry.
   */
  isAtMostAsUpToDateAs (lastIndex: number, lastTerm: number): boolean {
    if (lastTerm !== this.lastTerm) return lastTerm > this.lastTerm
    return lastIndex >= this.lastIndex
  }

  /** Appends entries; the first one must follow the last index. */
  append (entries: ReadonlyArray<LogEntry<Command>>): void {
    for (const entry of entries) {
      if (entry.index !== this.lastIndex + 1) {
        throw new Error(`cannot append entry ${entry.index} after index ${this.lastIndex}`)
      }
      const cumulativeBytes = this.#cumulativeBytesAt(this.lastIndex) + estimateEntryBytes(entry)
      this.#entries.push(entry)
      this.#cumulativeBytes.push(cumulativeBytes)
    }
  }

  /** Removes the entry at `index` and all later ones. */
  truncateFrom (index: number): void {
    const kept = Math.max(0, index - this.#baseIndex - 1)
    this.#entries.length = Math.min(this.#entries.length, kept)
    this.#cumulativeBytes.length = this.#entries.length
  }

  /** Entries from `first` to `last`, inclusive. */
  range (first: number, last: number): Array<LogEntry<Command>> {
    return this.#entries.slice(first - this.#baseIndex - 1, last - this.#baseIndex)
  }

  /** Entries from `first` on within the limits; at least one, so that an entry above the byte limit is still sent. */
  slice (first: number, limits: SizeLimits): { entries: Array<LogEntry<Command>>, sizeBytes: number } {
    const startBytes = this.#cumulativeBytesAt(first - 1)
    const latest = Math.min(this.lastIndex, first + limits.maxEntries - 1)
    let last = first
    while (last < latest && this.#cumulativeBytesAt(last + 1) - startBytes <= limits.maxBytes) last++
    return { entries: this.range(first, last), sizeBytes: this.#cumulativeBytesAt(last) - startBytes }
  }

  /**
   * Previous index for the leader's next attempt after a mismatch (section 5.3): the last index if this log is shorter,
   * otherwise the index before the conflicting term. Entries up to `minIndex`, the commit index, never conflict.
   */
  conflictHint (previousIndex: number, minIndex: number): number {
    if (previousIndex > this.lastIndex) return this.lastIndex
    const term = this.termAt(previousIndex)
    let index = previousIndex
    while (index > minIndex && this.termAt(index) === term) index--
    return index
  }

  /** Records a snapshot of the state machine and discards the entries that it covers, except for the trailing ones. */
  compact (snapshot: Snapshot, trailing: SizeLimits): void {
    if (snapshot.lastIndex <= (this.#snapshot?.lastIndex ?? 0)) return
    this.#snapshot = snapshot
    const newBase = this.#trailingStart(snapshot.lastIndex, trailing)
    const dropped = newBase - this.#baseIndex
    this.#baseTerm = this.termAt(newBase) ?? snapshot.lastTerm
    this.#baseLogTimeMs = this.logTimeAt(newBase) ?? snapshot.logTimeMs
    this.#baseCumulativeBytes = this.#cumulativeBytesAt(newBase)
    this.#entries = this.#entries.slice(dropped)
    this.#cumulativeBytes = this.#cumulativeBytes.slice(dropped)
    this.#baseIndex = newBase
  }

  #trailingStart (lastIndex: number, trailing: SizeLimits): number {
    const endBytes = this.#cumulativeBytesAt(lastIndex)
    let start = Math.max(this.#baseIndex, lastIndex - trailing.maxEntries)
    while (start < lastIndex && endBytes - this.#cumulativeBytesAt(start) > trailing.maxBytes) start++
    return start
  }

  /** Replaces the whole log with a snapshot. */
  resetTo (snapshot: Snapshot): void {
    this.#snapshot = snapshot
    this.#entries = []
    this.#cumulativeBytes = []
    this.#baseCumulativeBytes = 0
    this.#baseIndex = snapshot.lastIndex
    this.#baseTerm = snapshot.lastTerm
    this.#baseLogTimeMs = snapshot.logTimeMs
  }
}
