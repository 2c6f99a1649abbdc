/** Refusals of the leader that an entry repeats, so that callers that retry at once cause the leader no load. */
import type { BatchOperation, BatchResult } from '@comfreygrade/batch'
import type { Clock } from '@comfreygrade/core'

interface CachedRefusal {
  readonly result: BatchResult
  readonly expiresAtMs: number
}

/**
 * Counted from the sending of the refused request. The leader keeps a refusal for longer (`REFUSAL_VALIDITY_MS` of the
 * admission), so that no job was accepted meanwhile by way of another entry.
 */
const CACHE_MS = 500
/** Bounds the memory under a flood of refused jobs; the refusals beyond it are answered by the leader. */
const MAX_REFUSALS = 1_000

/**
 * Keeps refusals under load (`queue_full`) by job. Another job of the same queue and organisation may be accepted, or
 * have been accepted before, which the entry does not know; so it is sent to the leader.
 */
export class RefusalCache {
  readonly #clock: Clock
  readonly #refusals = new Map<string, CachedRefusal>()

  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** The refusal of an operation that the leader has just refused. */
  recall (operation: BatchOperation): BatchResult | undefined {
    if (operation.kind !== 'submit') return undefined
    const cached = this.#refusals.get(keyOf(operation))
    return cached === undefined || cached.expiresAtMs <= this.#clock.monotonicMs() ? undefined : cached.result
  }

  record (operation: BatchOperation, result: BatchResult, sentAtMs: number): void {
    if (operation.kind !== 'submit' || result.ok || result.failure.kind !== 'queue_full') return
    this.#removeExpired()
    if (this.#refusals.size >= MAX_REFUSALS) return
    this.#refusals.set(keyOf(operation), { result, expiresAtMs: sentAtMs + CACHE_MS })
  }

  /** A new leader does not know the refusals of the one before it. */
  clear (): void {
    this.#refusals.clear()
  }

  #removeExpired (): void {
    const nowMs = this.#clock.monotonicMs()
    for (const [key, { expiresAtMs }] of this.#refusals) if (expiresAtMs <= nowMs) this.#refusals.delete(key)
  }
}

function keyOf ({ request }: Extract<BatchOperation, { kind: 'submit' }>): string {
  return JSON.stringify([request.host, request.path, request.apiKey])
}
