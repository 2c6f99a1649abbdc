/** Campaigns of a replica that wants to lead (section 5.2 of the Raft paper, section 9.6 of the thesis). */
import type { ConsensusMessage, VoterId } from './messages.js'
import { Role, type MessageOf, type RoleResult } from './role.js'
import type { ReplicaState } from './state.js'
import { allVoters, hasMajority, sameVoter, voterKey } from './voters.js'

/** Collects votes until a majority of each deciding set has granted them. */
abstract class CampaignRole<Command> extends Role<Command> {
  readonly #granted = new Set<string>()
  protected endsAtMs = Infinity

  override nextWakeAtMs (): number {
    return this.endsAtMs
  }

  /** Counts a vote; whether it completes a majority. */
  protected count (voter: VoterId): boolean {
    this.#granted.add(voterKey(voter))
    return hasMajority(this.state.configuration, candidate => this.#granted.has(voterKey(candidate)))
  }

  protected otherVoters (): VoterId[] {
    return allVoters(this.state.configuration).filter(voter => !sameVoter(voter, this.state.id))
  }
}

/**
 * Asks whether a campaign could succeed without raising the term, so that a replica that was cut off does not end the
 * term of a working leader when it returns.
 */
export class PreCandidateRole<Command> extends CampaignRole<Command> {
  readonly name = 'pre_candidate'

  override begin (): RoleResult {
    const { preVoteRetryMinMs, preVoteRetryMaxMs } = this.state.settings
    this.endsAtMs = this.state.nowMs + this.state.randomMs(preVoteRetryMinMs, preVoteRetryMaxMs)
    for (const voter of this.otherVoters()) this.state.send(voter, voteRequest(this.state, true, false))
    return this.count(this.state.id) ? { kind: 'campaign', isTransfer: false } : undefined
  }

  override tick (): RoleResult {
    return this.state.nowMs >= this.endsAtMs ? { kind: 'pre_campaign' } : undefined
  }

  override receive (from: VoterId, message: ConsensusMessage<Command>): RoleResult {
    if (message.kind !== 'vote_response' || !message.isPreVote || !message.granted) return undefined
    return this.count(from) ? { kind: 'campaign', isTransfer: false } : undefined
  }
}

/** Asks for votes in a new term. Its own vote counts, and the requests leave, once that vote is synced. */
export class CandidateRole<Command> extends CampaignRole<Command> {
  readonly name = 'candidate'
  readonly #isTransfer: boolean

  constructor (state: ReplicaState<Command>, isTransfer: boolean) {
    super(state)
    this.#isTransfer = isTransfer
  }

  override begin (): RoleResult {
    const { state } = this
    const { campaignMinMs, campaignMaxMs } = state.settings
    this.endsAtMs = state.nowMs + state.randomMs(campaignMinMs, campaignMaxMs)
    for (const voter of this.otherVoters()) state.sendWhenDurable(voter, voteRequest(state, false, this.#isTransfer))
    state.sendWhenDurable(state.id, { kind: 'vote_response', term: state.term, isPreVote: false, granted: true })
    return undefined
  }

  override tick (): RoleResult {
    return this.state.nowMs >= this.endsAtMs ? { kind: 'pre_campaign' } : undefined
  }

  override receive (from: VoterId, message: ConsensusMessage<Command>): RoleResult {
    if (message.kind !== 'vote_response' || message.isPreVote || !message.granted) return undefined
    return this.count(from) ? { kind: 'lead' } : undefined
  }
}

function voteRequest<Command> (
  state: ReplicaState<Command>, isPreVote: boolean, isTransfer: boolean
): MessageOf<Command, 'vote_request'> {
  const { lastIndex, lastTerm } = state.log
  const term = isPreVote ? state.term + 1 : state.term
  return { kind: 'vote_request', term, isPreVote, lastIndex, lastTerm, isTransfer }
}
