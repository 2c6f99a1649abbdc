import type { ConsensusMessage, LogEntry, RejectionReason, VoterId } from '../src/index.js'
import { voterKey } from '../src/index.js'

/** Name of a property that must hold in every history. */
export type Invariant =
  | 'one_leader_per_term'
  | 'committed_never_changes'
  | 'applied_in_order'
  | 'acknowledged_is_applied_once'
  | 'rejected_is_never_applied'
  | 'log_time_never_decreases'
  | 'one_vote_per_term'
  | 'only_voters_vote'
  | 'deposed_leader_commits_nothing'
  | 'lease_is_exclusive'
  | 'available_with_a_majority'

/** Records the actions of all replicas in a simulation and collects violations of the invariants. */
export class HistoryChecker {
  readonly violations: Array<{ invariant: Invariant, detail: string }> = []
  /** Applied entries by index; an entry is applied only once it is committed. */
  readonly committed = new Map<number, LogEntry<string>>()
  readonly acknowledged = new Set<string>()
  readonly rejections = new Map<string, RejectionReason>()
  readonly #leadersByTerm = new Map<number, string>()
  readonly #votes = new Map<string, string>()
  readonly #voters = new Set<string>()
  readonly #transferTerms = new Set<number>()
  latestLeaderTerm = 0

  recordViolation (invariant: Invariant, detail: string): void {
    this.violations.push({ invariant, detail })
  }

  recordElection (id: VoterId, term: number): void {
    const previousLeader = this.#leadersByTerm.get(term)
    if (previousLeader !== undefined && previousLeader !== voterKey(id)) this.recordViolation('one_leader_per_term', `${term}: ${previousLeader}, ${voterKey(id)}`)
    this.#leadersByTerm.set(term, voterKey(id))
    this.latestLeaderTerm = Math.max(this.latestLeaderTerm, term)
  }

  /** Records voters that occur in the log of a replica; only these may vote. */
  recordVoters (voters: readonly VoterId[]): void {
    for (const voter of voters) this.#voters.add(voterKey(voter))
  }

  recordMessage (from: VoterId, to: VoterId, message: ConsensusMessage<string>): void {
    if (message.kind === 'transfer_leadership') this.#transferTerms.add(message.term)
    const isGranted = message.kind === 'vote_response' && message.granted
    const isOwnVote = message.kind === 'vote_request'
    if (!isGranted && !isOwnVote) return
    if (!this.#voters.has(voterKey(from))) this.recordViolation('only_voters_vote', voterKey(from))
    if (!message.isPreVote) this.#recordVote(from, isOwnVote ? from : to, message.term)
  }

  #recordVote (from: VoterId, candidate: VoterId, term: number): void {
    const key = `${voterKey(from)} in ${term}`
    const previousVote = this.#votes.get(key)
    if (previousVote !== undefined && previousVote !== voterKey(candidate)) {
      this.recordViolation('one_vote_per_term', `${key}: ${previousVote}, ${voterKey(candidate)}`)
    }
    this.#votes.set(key, voterKey(candidate))
  }

  recordApplied (entries: ReadonlyArray<LogEntry<string>>): void {
    for (const entry of entries) {
      const committedEntry = this.committed.get(entry.index)
      if (committedEntry === undefined) this.committed.set(entry.index, entry)
      else if (JSON.stringify(committedEntry) !== JSON.stringify(entry)) this.recordViolation('committed_never_changes', `index ${entry.index}`)
    }
  }

  /**
   * Checks a commit: once a later term has a leader, the leader of an older term must not commit anything, unless it
   * transferred leadership itself.
   */
  checkLeaderCommit (id: VoterId, term: number): void {
    if (term >= this.latestLeaderTerm || this.#transferTerms.has(term)) return
    this.recordViolation('deposed_leader_commits_nothing', `${voterKey(id)} in ${term} of ${this.latestLeaderTerm}`)
  }

  /** Checks a lease: once a later term has a leader, the leader of an older term must not hold a lease. */
  checkLease (id: VoterId, term: number): void {
    if (term < this.latestLeaderTerm) this.recordViolation('lease_is_exclusive', `${voterKey(id)} in ${term}`)
  }

  recordRejection (proposalId: string, reason: RejectionReason): void {
    this.rejections.set(proposalId, reason)
  }

  /** Checks the complete history against the commands applied by the replica with the longest sequence. */
  finish (appliedCommands: readonly string[]): void {
    const counts = new Map<string, number>()
    for (const id of appliedCommands) counts.set(id, (counts.get(id) ?? 0) + 1)
    for (const id of this.acknowledged) if (counts.get(id) !== 1) this.recordViolation('acknowledged_is_applied_once', id)
    for (const [id, reason] of this.rejections) {
      if (reason !== 'unknown' && counts.has(id)) this.recordViolation('rejected_is_never_applied', id)
    }
    this.#checkLogTime()
  }

  #checkLogTime (): void {
    let latestMs = 0
    for (const index of [...this.committed.keys()].sort((a, b) => a - b)) {
      const { logTimeMs = 0 } = this.committed.get(index) ?? {}
      if (logTimeMs < latestMs) this.recordViolation('log_time_never_decreases', `index ${index}`)
      latestMs = Math.max(latestMs, logTimeMs)
    }
  }
}
