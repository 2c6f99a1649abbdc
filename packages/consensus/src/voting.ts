/** Responses of a replica to vote requests. */
import type { VoterId } from './messages.js'
import type { MessageOf } from './role.js'
import type { ReplicaState } from './state.js'
import { isSameVoter } from './voters.js'

/** Whether a vote request is ignored, rejected at once or considered. */
export type VoteVerdict = 'ignore' | 'reject' | 'consider'

/**
 * Decides whether a vote request is considered. While a leader may hold a lease, requests are rejected without adopting
 * their term, except if that leader asked for the election (section 4.2.3 of the Raft thesis).
 *
 * A non-voter ignores requests: a replica with an empty disk may have voted, or acknowledged entries, before it lost
 * the previous disk. This includes a new voter whose log lacks the joint configuration, although it counts in the new
 * voter set. If it replaces a voter that is already lost, its vote is not needed: any majority of the old set without
 * the lost voter is also a majority of the new set. If the old voter still runs, or a voter is only added, its vote can
 * be needed, so one failure fewer may be tolerated until its log has the joint configuration.
 */
export function checkVoteRequest<Command> (
  state: ReplicaState<Command>, message: MessageOf<Command, 'vote_request'>
): VoteVerdict {
  if (!state.isVoter) return 'ignore'
  if (message.term < state.term) return 'reject'
  const isLeading = state.role === 'leader'
  return !message.isTransfer && (isLeading || state.hasRecentLeader) ? 'reject' : 'consider'
}

/** Rejects a vote request; the response carries the current term, so that a candidate with an older one adopts it. */
export function rejectVote<Command> (state: ReplicaState<Command>, to: VoterId, isPreVote: boolean): void {
  state.sendAfterHardStateSync(to, { kind: 'vote_response', term: state.term, isPreVote, granted: false })
}

/** Responds to a pre-vote request. A granted pre-vote is not binding, so several may be granted in one term. */
export function respondToPreVoteRequest<Command> (
  state: ReplicaState<Command>, from: VoterId, message: MessageOf<Command, 'vote_request'>
): void {
  const granted = message.term > state.term && state.log.isAtMostAsUpToDateAs(message.lastIndex, message.lastTerm)
  if (!granted) return rejectVote(state, from, true)
  state.send(from, { kind: 'vote_response', term: message.term, isPreVote: true, granted })
}

/** Grants at most one vote per term, and only to a candidate whose log is up-to-date (sections 5.2 and 5.4.1). */
export function respondToVoteRequest<Command> (
  state: ReplicaState<Command>, from: VoterId, message: MessageOf<Command, 'vote_request'>
): void {
  const canVote = state.votedFor === null || isSameVoter(state.votedFor, from)
  const isCandidateUpToDate = state.log.isAtMostAsUpToDateAs(message.lastIndex, message.lastTerm)
  if (!canVote || !isCandidateUpToDate) return rejectVote(state, from, false)
  if (state.votedFor === null) state.setHardState(state.term, from)
  state.resetElectionTimeout()
  state.sendAfterSync(from, { kind: 'vote_response', term: state.term, isPreVote: false, granted: true })
}
