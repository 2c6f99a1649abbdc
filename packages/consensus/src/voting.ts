/** Answers of a replica to requests for its vote. */
import type { VoterId } from './messages.js'
import type { MessageOf } from './role.js'
import type { ReplicaState } from './state.js'
import { sameVoter } from './voters.js'

/** What becomes of a request for a vote. */
export type VoteVerdict = 'ignore' | 'refuse' | 'consider'

/**
 * Whether a request is considered at all. While a leader may hold a lease, requests are refused without taking over
 * their term, except where that leader asked for the election itself (section 4.2.3 of the Raft thesis).
 */
export function examineVoteRequest<Command> (
  state: ReplicaState<Command>, message: MessageOf<Command, 'vote_request'>
): VoteVerdict {
  if (!state.isVoter) return 'ignore'
  if (message.term < state.term) return 'refuse'
  const isLeading = state.role === 'leader'
  return !message.isTransfer && (isLeading || state.hasRecentLeader) ? 'refuse' : 'consider'
}

/** Refuses a vote with the own term, so that a candidate that is behind takes it over. */
export function refuseVote<Command> (state: ReplicaState<Command>, to: VoterId, isPreVote: boolean): void {
  state.sendInTerm(to, { kind: 'vote_response', term: state.term, isPreVote, granted: false })
}

/** Answers a pre-vote. It promises nothing, so several may be granted. */
export function answerPreVote<Command> (
  state: ReplicaState<Command>, from: VoterId, message: MessageOf<Command, 'vote_request'>
): void {
  const granted = message.term > state.term && state.log.isCoveredBy(message.lastIndex, message.lastTerm)
  if (!granted) return refuseVote(state, from, true)
  state.send(from, { kind: 'vote_response', term: message.term, isPreVote: true, granted })
}

/** Votes at most once a term, and only for a candidate whose log covers this one (sections 5.2 and 5.4.1). */
export function answerVote<Command> (
  state: ReplicaState<Command>, from: VoterId, message: MessageOf<Command, 'vote_request'>
): void {
  const isFree = state.votedFor === null || sameVoter(state.votedFor, from)
  const isCovered = state.log.isCoveredBy(message.lastIndex, message.lastTerm)
  if (!isFree || !isCovered) return refuseVote(state, from, false)
  if (state.votedFor === null) state.setHardState(state.term, from)
  state.postponeElection()
  state.sendWhenDurable(from, { kind: 'vote_response', term: state.term, isPreVote: false, granted: true })
}
