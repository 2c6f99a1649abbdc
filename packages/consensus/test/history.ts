import type { ConsensusMessage, LogEntry, RejectionReason, VoterId } from '../src/index.js'
import { voterKey } from '../src/index.js'

/** One rule that every history must satisfy. */
export type Rule =
  | 'one_leader_per_term'
  | 'committed_is_final'
  | 'applied_in_order'
  | 'acknowledged_survives'
  | 'rejected_has_no_effect'
  | 'log_time_never_decreases'
  | 'one_vote_per_term'
  | 'only_voters_vote'
  | 'old_leader_commits_nothing'
  | 'lease_is_exclusive'
  | 'available_with_a_majority'

/** Collects what replicas do, and every violation of a rule. */
export class History {
  readonly violations: Array<{ rule: Rule, detail: string }> = []
  readonly committed = new Map<number, LogEntry<string>>()
  readonly acknowledged = new Set<string>()
  readonly rejections = new Map<string, RejectionReason>()
  readonly #leaders = new Map<number, string>()
  readonly #votes = new Map<string, string>()
  readonly #knownVoters = new Set<string>()
  readonly #transferTerms = new Set<number>()
  newestLeaderTerm = 0

  violate (rule: Rule, detail: string): void {
    this.violations.push({ rule, detail })
  }

  leaderElected (id: VoterId, term: number): void {
    const known = this.#leaders.get(term)
    if (known !== undefined && known !== voterKey(id)) this.violate('one_leader_per_term', `${term}: ${known}, ${voterKey(id)}`)
    this.#leaders.set(term, voterKey(id))
    this.newestLeaderTerm = Math.max(this.newestLeaderTerm, term)
  }

  /** Takes note of voters that are in the log of a member. */
  votersKnown (voters: readonly VoterId[]): void {
    for (const voter of voters) this.#knownVoters.add(voterKey(voter))
  }

  sent (from: VoterId, to: VoterId, message: ConsensusMessage<string>): void {
    if (message.kind === 'transfer_leadership') this.#transferTerms.add(message.term)
    const isGranted = message.kind === 'vote_response' && message.granted
    const isOwnVote = message.kind === 'vote_request'
    if (!isGranted && !isOwnVote) return
    if (!this.#knownVoters.has(voterKey(from))) this.violate('only_voters_vote', voterKey(from))
    if (!message.isPreVote) this.#voted(from, isOwnVote ? from : to, message.term)
  }

  #voted (from: VoterId, candidate: VoterId, term: number): void {
    const key = `${voterKey(from)} in ${term}`
    const known = this.#votes.get(key)
    if (known !== undefined && known !== voterKey(candidate)) {
      this.violate('one_vote_per_term', `${key}: ${known}, ${voterKey(candidate)}`)
    }
    this.#votes.set(key, voterKey(candidate))
  }

  applied (entries: ReadonlyArray<LogEntry<string>>): void {
    for (const entry of entries) {
      const known = this.committed.get(entry.index)
      if (known === undefined) this.committed.set(entry.index, entry)
      else if (JSON.stringify(known) !== JSON.stringify(entry)) this.violate('committed_is_final', `index ${entry.index}`)
    }
  }

  /** Checks a commit of a leader: while another leads a later term, nothing of the old term may be committed. */
  leaderCommitted (id: VoterId, term: number): void {
    if (term >= this.newestLeaderTerm || this.#transferTerms.has(term)) return
    this.violate('old_leader_commits_nothing', `${voterKey(id)} in ${term} of ${this.newestLeaderTerm}`)
  }

  leaseHeld (id: VoterId, term: number): void {
    if (term < this.newestLeaderTerm) this.violate('lease_is_exclusive', `${voterKey(id)} in ${term}`)
  }

  rejected (proposalId: string, reason: RejectionReason): void {
    this.rejections.set(proposalId, reason)
  }

  /** Checks that hold for the whole history, given the sequence of the longest replica. */
  finish (sequence: readonly string[]): void {
    const counts = new Map<string, number>()
    for (const id of sequence) counts.set(id, (counts.get(id) ?? 0) + 1)
    for (const id of this.acknowledged) if (counts.get(id) !== 1) this.violate('acknowledged_survives', id)
    for (const [id, reason] of this.rejections) {
      if (reason !== 'unknown' && counts.has(id)) this.violate('rejected_has_no_effect', id)
    }
    this.#checkLogTime()
  }

  #checkLogTime (): void {
    let latestMs = 0
    for (const index of [...this.committed.keys()].sort((a, b) => a - b)) {
      const { logTimeMs = 0 } = this.committed.get(index) ?? {}
      if (logTimeMs < latestMs) this.violate('log_time_never_decreases', `index ${index}`)
      latestMs = Math.max(latestMs, logTimeMs)
    }
  }
}
