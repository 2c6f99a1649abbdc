/** Pending disk writes and the messages deferred until those writes are synced. */
import type { ConsensusMessage, ReplicaEffect, VoterId } from './messages.js'

/** A message and its recipient. */
export interface OutgoingMessage<Command> {
  readonly to: VoterId
  readonly message: ConsensusMessage<Command>
}

/** A write request to the disk. */
export type PersistEffect<Command> = Extract<ReplicaEffect<Command>, { kind: 'persist' }>

interface PendingPersist<Command> {
  readonly persistId: number
  /** First index that is not durable until this write is synced; 1 for a snapshot, as it replaces the whole log. */
  readonly firstIndex: number
  readonly hasHardState: boolean
  readonly deferred: Array<OutgoingMessage<Command>>
}

/** Tracks pending writes. The disk executes them in order, so completion of one implies completion of all before it. */
export class PersistQueue<Command> {
  #nextPersistId = 1
  #pending: Array<PendingPersist<Command>> = []

  /** Registers a write as pending and returns its effect. */
  enqueue (parts: Omit<PersistEffect<Command>, 'kind' | 'persistId'>): PersistEffect<Command> {
    const persistId = this.#nextPersistId++
    const firstIndex = parts.snapshot === undefined ? parts.entries[0]?.index ?? Infinity : 1
    this.#pending.push({ persistId, firstIndex, hasHardState: parts.hardState !== undefined, deferred: [] })
    return { kind: 'persist', persistId, ...parts }
  }

  /** Defers a message until all pending writes are synced; returns `false` if there are none. */
  deferUntilSynced (message: OutgoingMessage<Command>): boolean {
    return defer(this.#pending.at(-1), message)
  }

  /** Defers a message until the latest term and vote are synced; returns `false` if they already are. */
  deferUntilHardStateSynced (message: OutgoingMessage<Command>): boolean {
    return defer(this.#pending.findLast(pending => pending.hasHardState), message)
  }

  /** Records a completed sync and returns the messages that were deferred until it. */
  complete (persistId: number): Array<OutgoingMessage<Command>> {
    const done = this.#pending.filter(pending => pending.persistId <= persistId)
    this.#pending = this.#pending.filter(pending => pending.persistId > persistId)
    return done.flatMap(pending => pending.deferred)
  }

  /** Last index up to which the log on disk equals the log in memory. */
  durableIndex (lastIndex: number): number {
    return this.#pending.reduce((index, pending) => Math.min(index, pending.firstIndex - 1), lastIndex)
  }
}

function defer<Command> (
  pending: PendingPersist<Command> | undefined, message: OutgoingMessage<Command>
): boolean {
  pending?.deferred.push(message)
  return pending !== undefined
}
