/** Replay of a log at recovery. */
import type { HardState, LogEntry, Snapshot } from '@comfreygrade/consensus'
import { FileLogError } from './log-files.js'
import type { RecordBody } from './log-records.js'

/** A segment file of the log, which can be removed once a snapshot covers `maxIndex`. */
export interface Segment {
  readonly number: number
  readonly path: string
  maxIndex: number
  sizeBytes: number
}

/** Rebuilds hard state and entries from the records of all segments. */
export class LogReplay<Command> {
  hardState: HardState = { term: 0, votedFor: null }
  entries: Array<LogEntry<Command>> = []

  apply (body: RecordBody<Command>, segment: Segment): void {
    if (body.resetToIndex !== undefined) this.entries = []
    if (body.hardState !== undefined) this.hardState = body.hardState
    for (const entry of body.entries) this.#placeEntry(entry, segment)
  }

  #placeEntry (entry: LogEntry<Command>, segment: Segment): void {
    segment.maxIndex = Math.max(segment.maxIndex, entry.index)
    const keptCount = entry.index - (this.entries[0]?.index ?? entry.index)
    if (keptCount > this.entries.length) throw new FileLogError('missing_entries', segment.path, 0)
    this.entries.length = Math.max(0, keptCount)
    this.entries.push(entry)
  }

  /**
   * Entries after the snapshot; undefined if the log conflicts with the snapshot or ends before it, as after a crash
   * between the two steps of installing a snapshot.
   */
  entriesAfter (snapshot: Snapshot): Array<LogEntry<Command>> | undefined {
    const last = this.entries.at(-1)
    if (last === undefined) return []
    const atSnapshot = this.entries.find(entry => entry.index === snapshot.lastIndex)
    const isConflicting = atSnapshot !== undefined && atSnapshot.term !== snapshot.lastTerm
    if (isConflicting || last.index < snapshot.lastIndex) return undefined
    return this.entries.filter(entry => entry.index > snapshot.lastIndex)
  }
}
