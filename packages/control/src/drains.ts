/** Drains set by operators. */
import { done, refuse } from './command-results.js'
import type { CommandResult } from './commands.js'
import type { Drain, DrainKind } from './operations.js'

/** Active drains, by kind and ID. */
export class DrainSet {
  readonly #maxDrains: number
  readonly #drains = new Map<string, Drain>()

  constructor (maxDrains: number) {
    this.#maxDrains = maxDrains
  }

  has (kind: DrainKind, id: string): boolean {
    return this.#drains.has(drainKey(kind, id))
  }

  list (): Drain[] {
    return [...this.#drains.values()]
  }

  set ({ kind, id }: Drain, isDraining: boolean): CommandResult {
    const key = drainKey(kind, id)
    if (!isDraining) {
      this.#drains.delete(key)
      return done
    }
    if (this.#drains.size >= this.#maxDrains && !this.#drains.has(key)) {
      // Here the kind means that a limit shared by all organisations is reached; no queue is involved.
      return refuse('queue_full', `${this.#drains.size} drains are active, at most ${this.#maxDrains} are allowed`)
    }
    this.#drains.set(key, { kind, id })
    return done
  }

  restore (drains: readonly Drain[]): void {
    for (const drain of drains) this.#drains.set(drainKey(drain.kind, drain.id), drain)
  }
}

function drainKey (kind: DrainKind, id: string): string {
  return `${kind}/${id}`
}
