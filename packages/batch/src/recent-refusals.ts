/** Refusals of jobs that still hold. */
import type { Failure } from '@comfreygrade/core'

/**
 * Time for which a refused job stays refused. Entry nodes repeat a refusal for 500 ms, during which no job may be
 * accepted by way of another node; callers are asked to retry later than this.
 */
const REFUSAL_VALIDITY_MS = 600

/**
 * The latest refusals, by job.
 *
 * @example
 * refusals.record('5c0e', refusal, nowMs)
 * refusals.find('5c0e', nowMs) // refusal
 */
export class RecentRefusals {
  /** In the order of their time. */
  readonly #refusals = new Map<string, { readonly refusal: Failure, readonly atMs: number }>()

  record (jobId: string, refusal: Failure, nowMs: number): void {
    this.#refusals.delete(jobId)
    this.#refusals.set(jobId, { refusal, atMs: nowMs })
  }

  find (jobId: string, nowMs: number): Failure | undefined {
    this.#removeExpired(nowMs)
    return this.#refusals.get(jobId)?.refusal
  }

  #removeExpired (nowMs: number): void {
    for (const [jobId, { atMs }] of this.#refusals) {
      if (nowMs - atMs < REFUSAL_VALIDITY_MS) return
      this.#refusals.delete(jobId)
    }
  }
}
