/** Whether this leader may still renew leases. */

/**
 * A committed proposal proves that no later leader was elected before it was proposed, and that none is elected for an
 * election timeout after it. Without this proof a leader that was frozen could renew a lease after its successor began
 * to count it, and the successor would give the cell away too early.
 */
export class LeadershipProof {
  readonly #validMs: number
  #provenAtMs = Number.NEGATIVE_INFINITY

  constructor (validMs: number) {
    this.#validMs = validMs
  }

  /** Notes that a proposal made at `proposedAtMs` was committed. */
  recordCommit (proposedAtMs: number): void {
    this.#provenAtMs = Math.max(this.#provenAtMs, proposedAtMs)
  }

  /** Says whether a report received at `receivedAtMs` may be granted a lease at `nowMs`. */
  isValid (receivedAtMs: number, nowMs: number): boolean {
    return this.#provenAtMs >= receivedAtMs || nowMs <= this.#provenAtMs + this.#validMs
  }
}
