/** The voter configurations along the log. */
import type { LogEntry, Snapshot } from './messages.js'
import type { VoterConfiguration } from './voters.js'

/** A configuration and the index of the entry that brought it. */
export interface ConfigurationPoint {
  readonly index: number
  readonly configuration: VoterConfiguration
}

const noVoters: VoterConfiguration = { voters: [], outgoingVoters: [] }

/**
 * The latest configuration in the log is in force from the moment it is appended, committed or not (section 4.1 of the
 * Raft thesis); overwriting its entry brings the one before back.
 */
export class Membership<Command> {
  #points: ConfigurationPoint[] = [{ index: 0, configuration: noVoters }]

  /** The configuration in force. */
  get current (): ConfigurationPoint {
    return this.#points.at(-1) as ConfigurationPoint
  }

  /** The configuration in force at `index`. */
  at (index: number): VoterConfiguration {
    return this.#points.findLast(point => point.index <= index)?.configuration ?? noVoters
  }

  /** Takes note of the configurations among entries that were appended. */
  append (entries: ReadonlyArray<LogEntry<Command>>): void {
    for (const { index, body } of entries) {
      if (body.kind !== 'voters') continue
      const { voters, outgoingVoters } = body
      this.#points.push({ index, configuration: { voters, outgoingVoters } })
    }
  }

  /** Forgets the configurations from `index` on. */
  truncateFrom (index: number): void {
    this.#points = this.#points.filter(point => point.index < index || point.index === 0)
  }

  /** Starts from the configuration of a snapshot. */
  replaceBy (snapshot: Omit<Snapshot, 'content'>): void {
    const { voters, outgoingVoters } = snapshot
    this.#points = [{ index: snapshot.lastIndex, configuration: { voters, outgoingVoters } }]
  }

  /** Forgets all configurations before the one in force at `index`. */
  compact (index: number): void {
    const first = this.#points.findLastIndex(point => point.index <= index)
    if (first > 0) this.#points = this.#points.slice(first)
  }
}
