/** Proof that this leader may still renew worker leases. */

/**
 * A committed proposal proves that no later leader was elected before it was proposed, and that none will be within one
 * election time-out after that. Without the proof, a leader that resumes after a pause could renew a lease whose expiry
 * its successor already counts, and the successor would allocate the cells again while they are in use.
 */
export class LeadershipProof {
  readonly #validMs: number
  #provenAtMs = Number.NEGATIVE_INFINITY

  constructor (validMs: number) {
    this.#validMs = validMs
  }

  /** Records that a proposal made at `proposedAtMs` was committed. */
  recordCommit (proposedAtMs: number): void {
    this.#provenAtMs = Math.max(this.#provenAtMs, proposedAtMs)
  }

  /**
   * Returns whether a report received at `receivedAtMs` may be answered with a lease at `nowMs`. A proof that is
   * no older than the receipt suffices without a time limit: no later leader had been elected when the report was sent.
   * The worker counts its lease from then, and a successor counts it from the later start of its own term.
   */
  isValid (receivedAtMs: number, nowMs: number): boolean {
    return this.#provenAtMs >= receivedAtMs || nowMs <= this.#provenAtMs + this.#validMs
  }
}
