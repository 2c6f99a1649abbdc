/** Queues of the configuration in force, and queues that a later one has removed while open jobs belong to them. */
import { queueAddress, QueueDirectory, type QueueConfiguration, type QueueDocument } from './queues.js'

/** Serialisable form of a {@link QueueRegistry}. */
export interface QueueRegistrySnapshot {
  readonly document: QueueDocument | null
  /** Absent from snapshots of older versions. */
  readonly removedQueues?: readonly QueueConfiguration[]
}

/**
 * What a queue lays down for its jobs, such as the limit of their attempts, holds until they end. So a queue that is
 * removed keeps its last configuration for as long as it has open jobs.
 *
 * @example
 * const queues = new QueueRegistry({ document: null })
 * queues.replace(document, [])
 * queues.at('a.example/b/')?.maxAttempts
 */
export class QueueRegistry {
  #directory: QueueDirectory | null
  #removedQueues: ReadonlyMap<string, QueueConfiguration>

  constructor ({ document, removedQueues = [] }: QueueRegistrySnapshot) {
    this.#directory = document === null ? null : new QueueDirectory(document)
    this.#removedQueues = new Map(removedQueues.map(queue => [queueAddress(queue), queue]))
  }

  /** Directory of the configuration in force, or null before the first one. */
  get directory (): QueueDirectory | null {
    return this.#directory
  }

  /** The queue with this address, as it is configured or, where it was removed, as it was last configured. */
  at (address: string): QueueConfiguration | undefined {
    return this.#directory?.at(address) ?? this.#removedQueues.get(address)
  }

  /** Whether any queue, also a removed one, or any organisation restricts the regions of its tasks. */
  get hasRegionRules (): boolean {
    return this.#directory?.hasRegionRules === true ||
      [...this.#removedQueues.values()].some(({ permittedRegions = [] }) => permittedRegions.length > 0)
  }

  /** Puts a configuration in force; `openAddresses` are the queue addresses of the open jobs. */
  replace (document: QueueDocument, openAddresses: Iterable<string>): void {
    const directory = new QueueDirectory(document)
    const removedQueues = new Map<string, QueueConfiguration>()
    for (const address of openAddresses) {
      const queue = directory.at(address) === undefined ? this.at(address) : undefined
      if (queue !== undefined) removedQueues.set(address, queue)
    }
    this.#directory = directory
    this.#removedQueues = removedQueues
  }

  /** Returns the queues in serialisable form. */
  snapshot (): Required<QueueRegistrySnapshot> {
    return { document: this.#directory?.document ?? null, removedQueues: [...this.#removedQueues.values()] }
  }
}
