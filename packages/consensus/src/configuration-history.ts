/** Voter configurations found in the log. */
import type { LogEntry, Snapshot } from './messages.js'
import type { VoterConfiguration } from './voters.js'

/** A configuration and the index of the entry that introduced it. */
export interface ConfigurationRecord {
  readonly index: number
  readonly configuration: VoterConfiguration
}

const noVoters: VoterConfiguration = { voters: [], outgoingVoters: [] }

/**
 * The latest configuration in the log takes effect as soon as it is appended, whether or not it is committed (section
 * 4.1 of the Raft thesis). Overwriting its entry reverts to the previous configuration.
 */
export class ConfigurationHistory<Command> {
  #records: ConfigurationRecord[] = [{ index: 0, configuration: noVoters }]

  /** The configuration in effect. */
  get current (): ConfigurationRecord {
    return this.#records.at(-1) as ConfigurationRecord
  }

  /** The configuration in effect at `index`. */
  at (index: number): VoterConfiguration {
    return this.#records.findLast(record => record.index <= index)?.configuration ?? noVoters
  }

  /** Adds the configurations contained in appended entries. */
  append (entries: ReadonlyArray<LogEntry<Command>>): void {
    for (const { index, body } of entries) {
      if (body.kind !== 'voters') continue
      const { voters, outgoingVoters } = body
      this.#records.push({ index, configuration: { voters, outgoingVoters } })
    }
  }

  /** Removes the configurations from `index` on. */
  truncateFrom (index: number): void {
    this.#records = this.#records.filter(record => record.index < index || record.index === 0)
  }

  /** Replaces the history with the configuration of a snapshot. */
  resetTo (snapshot: Omit<Snapshot, 'content'>): void {
    const { voters, outgoingVoters } = snapshot
    this.#records = [{ index: snapshot.lastIndex, configuration: { voters, outgoingVoters } }]
  }

  /** Removes all configurations before the one in effect at `index`. */
  compact (index: number): void {
    const first = this.#records.findLastIndex(record => record.index <= index)
    if (first > 0) this.#records = this.#records.slice(first)
  }
}
