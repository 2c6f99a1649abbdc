/** What was given to the disk and is not yet synced, with the messages that wait for it. */
import type { ConsensusMessage, ReplicaEffect, VoterId } from './messages.js'

/** A message and its receiver. */
export interface OutgoingMessage<Command> {
  readonly to: VoterId
  readonly message: ConsensusMessage<Command>
}

/** A request to the disk. */
export type PersistEffect<Command> = Extract<ReplicaEffect<Command>, { kind: 'persist' }>

interface PendingPersist<Command> {
  readonly persistId: number
  /** First index that is not durable before this is synced. */
  readonly firstIndex: number
  readonly hasHardState: boolean
  readonly waiting: Array<OutgoingMessage<Command>>
}

/** The disk works in order, so a sync of one request covers all before it. */
export class PersistQueue<Command> {
  #nextPersistId = 1
  #pending: Array<PendingPersist<Command>> = []

  /** Builds the effect of a request and remembers that it is pending. */
  add (parts: Omit<PersistEffect<Command>, 'kind' | 'persistId'>): PersistEffect<Command> {
    const persistId = this.#nextPersistId++
    const firstIndex = parts.snapshot === undefined ? parts.entries[0]?.index ?? Infinity : 1
    this.#pending.push({ persistId, firstIndex, hasHardState: parts.hardState !== undefined, waiting: [] })
    return { kind: 'persist', persistId, ...parts }
  }

  /** Holds a message until everything given to the disk so far is synced; `false` if nothing is pending. */
  holdForAll (message: OutgoingMessage<Command>): boolean {
    return hold(this.#pending.at(-1), message)
  }

  /** Holds a message until the latest term and vote are synced; `false` if they are. */
  holdForHardState (message: OutgoingMessage<Command>): boolean {
    return hold(this.#pending.findLast(pending => pending.hasHardState), message)
  }

  /** Notes a sync and returns the messages that waited for it. */
  complete (persistId: number): Array<OutgoingMessage<Command>> {
    const done = this.#pending.filter(pending => pending.persistId <= persistId)
    this.#pending = this.#pending.filter(pending => pending.persistId > persistId)
    return done.flatMap(pending => pending.waiting)
  }

  /** Greatest index up to which the log is on the disk as it is in memory. */
  durableIndex (lastIndex: number): number {
    return this.#pending.reduce((index, pending) => Math.min(index, pending.firstIndex - 1), lastIndex)
  }
}

function hold<Command> (
  pending: PendingPersist<Command> | undefined, message: OutgoingMessage<Command>
): boolean {
  pending?.waiting.push(message)
  return pending !== undefined
}
