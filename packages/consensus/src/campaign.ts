/** Pre-candidate and candidate roles (section 5.2 of the Raft paper, section 9.6 of the thesis). */
import type { ConsensusMessage, VoterId } from './messages.js'
import { Role, type MessageOf, type RoleResult } from './role.js'
import type { ReplicaState } from './state.js'
import { allVoters, hasMajority, isSameVoter, voterKey } from './voters.js'

/** Collects votes until a majority of each voter set has granted them. */
abstract class CampaignRole<Command> extends Role<Command> {
  readonly #grantedBy = new Set<string>()
  protected timeoutAtMs = Infinity

  override nextWakeAtMs (): number {
    return this.timeoutAtMs
  }

  /** Counts a granted vote; returns whether there is now a majority. */
  protected countVote (voter: VoterId): boolean {
    this.#grantedBy.add(voterKey(voter))
    return hasMajority(this.state.configuration, candidate => this.#grantedBy.has(voterKey(candidate)))
  }

  protected otherVoters (): VoterId[] {
    return allVoters(this.state.configuration).filter(voter => !isSameVoter(voter, this.state.id))
  }
}

/**
 * Asks the voters whether an election could succeed, without increasing the term. A replica that was partitioned
 * therefore does not depose a working leader when it reconnects.
 */
export class PreCandidateRole<Command> extends CampaignRole<Command> {
  readonly name = 'pre_candidate'

  override enter (): RoleResult {
    const { preVoteRetryMinMs, preVoteRetryMaxMs } = this.state.settings
    this.timeoutAtMs = this.state.nowMs + this.state.randomDelayMs(preVoteRetryMinMs, preVoteRetryMaxMs)
    for (const voter of this.otherVoters()) this.state.send(voter, voteRequest(this.state, true, false))
    return this.countVote(this.state.id) ? { kind: 'campaign', isTransfer: false } : undefined
  }

  override tick (): RoleResult {
    return this.state.nowMs >= this.timeoutAtMs ? { kind: 'pre_campaign' } : undefined
  }

  override receive (from: VoterId, message: ConsensusMessage<Command>): RoleResult {
    if (message.kind !== 'vote_response' || !message.isPreVote || !message.granted) return undefined
    return this.countVote(from) ? { kind: 'campaign', isTransfer: false } : undefined
  }
}

/** Requests votes in a new term. The requests are sent, and its own vote is counted, only once that vote is synced. */
export class CandidateRole<Command> extends CampaignRole<Command> {
  readonly name = 'candidate'
  readonly #isTransfer: boolean

  constructor (state: ReplicaState<Command>, isTransfer: boolean) {
    super(state)
    this.#isTransfer = isTransfer
  }

  override enter (): RoleResult {
    const { state } = this
    const { campaignMinMs, campaignMaxMs } = state.settings
    this.timeoutAtMs = state.nowMs + state.randomDelayMs(campaignMinMs, campaignMaxMs)
    for (const voter of this.otherVoters()) state.sendAfterSync(voter, voteRequest(state, false, this.#isTransfer))
    state.sendAfterSync(state.id, { kind: 'vote_response', term: state.term, isPreVote: false, granted: true })
    return undefined
  }

  override tick (): RoleResult {
    return this.state.nowMs >= this.timeoutAtMs ? { kind: 'pre_campaign' } : undefined
  }

  override receive (from: VoterId, message: ConsensusMessage<Command>): RoleResult {
    if (message.kind !== 'vote_response' || message.isPreVote || !message.granted) return undefined
    return this.countVote(from) ? { kind: 'lead' } : undefined
  }
}

function voteRequest<Command> (
  state: ReplicaState<Command>, isPreVote: boolean, isTransfer: boolean
): MessageOf<Command, 'vote_request'> {
  const { lastIndex, lastTerm } = state.log
  const term = isPreVote ? state.term + 1 : state.term
  return { kind: 'vote_request', term, isPreVote, lastIndex, lastTerm, isTransfer }
}
