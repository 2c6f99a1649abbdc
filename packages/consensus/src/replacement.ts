/** Replacement of one voter at a time. */
import type { EntryBody, VoterId } from './messages.js'
import type { Replication } from './replication.js'
import type { EventOf } from './role.js'
import type { ReplicaState } from './state.js'
import { allVoters, includesVoter, isJoint, sameVoter } from './voters.js'

interface PendingReplacement {
  readonly proposalId: string
  readonly remove: VoterId | null
  readonly add: VoterId
  /** `catching_up`: not in the log; `joint`: both sets decide; `aborting`: the old set alone is being restored. */
  readonly stage: 'catching_up' | 'joint' | 'aborting'
}

/** A configuration entry to append, with the proposal that it stands for. */
export interface ConfigurationEntry<Command> {
  readonly body: Extract<EntryBody<Command>, { kind: 'voters' }>
  readonly proposalId?: string
}

/**
 * Stages of a replacement. The new voter first catches up without a vote (section 4.2.1 of the Raft thesis). An entry
 * then brings both sets into force (section 4.3). Once it is committed and the new voter has synced it, a second entry
 * ends the old set. Waiting for the new voter there guarantees that it votes if another voter is lost right after.
 */
export class Replacement<Command> {
  readonly #state: ReplicaState<Command>
  readonly #replication: Replication<Command>
  #pending: PendingReplacement | null = null
  /** Supplied until the entry that ends the replacement is committed, so that the voter removed learns of it. */
  #leaving: readonly VoterId[] = []

  constructor (state: ReplicaState<Command>, replication: Replication<Command>) {
    this.#state = state
    this.#replication = replication
  }

  /** Accepts or rejects a replacement. */
  start (event: EventOf<Command, 'replace_voter'>): void {
    const { configuration, configurationIndex, commitIndex } = this.#state
    const { proposalId, remove, add } = event
    if (this.#pending !== null || isJoint(configuration) || configurationIndex > commitIndex) {
      return this.#state.reject(proposalId, 'change_in_progress')
    }
    const isUnknown = remove !== null && !includesVoter(configuration.voters, remove)
    if (isUnknown || includesVoter(configuration.voters, add)) {
      return this.#state.reject(proposalId, 'invalid_change')
    }
    this.#pending = { proposalId, remove, add, stage: 'catching_up' }
    this.#supplyMembers()
    this.#replication.pump()
  }

  /** Configuration entry that is due now. */
  nextEntry (hasCommittedInTerm: boolean): ConfigurationEntry<Command> | undefined {
    const { configurationIndex, commitIndex, configuration } = this.#state
    // A configuration may change only after the one before is committed by this leader (Ongaro, raft-dev, 2015).
    if (!hasCommittedInTerm || configurationIndex > commitIndex) return undefined
    if (isJoint(configuration)) return this.#endOfJoint()
    return this.#startOfJoint()
  }

  #startOfJoint (): ConfigurationEntry<Command> | undefined {
    const pending = this.#pending
    if (pending?.stage !== 'catching_up' || !this.#hasCaughtUp(pending.add)) return undefined
    this.#pending = { ...pending, stage: 'joint' }
    const outgoingVoters = this.#state.configuration.voters
    const voters = incomingVoters(outgoingVoters, pending)
    return { body: { kind: 'voters', voters, outgoingVoters }, proposalId: pending.proposalId }
  }

  /** A learner must have answered: with a short log the lag alone would admit one that does not exist. */
  #hasCaughtUp (learner: VoterId): boolean {
    const matchIndex = this.#replication.peer(learner)?.matchIndex ?? 0
    const { log, configurationIndex, settings } = this.#state
    return matchIndex >= configurationIndex && log.lastIndex - matchIndex <= settings.learnerMaxLagEntries
  }

  #endOfJoint (): ConfigurationEntry<Command> | undefined {
    const { configuration, configurationIndex } = this.#state
    const incoming = this.#incomingVoters()
    if (incoming.every(voter => this.#holds(voter, configurationIndex))) return this.#endWith(configuration.voters)
    if (!incoming.some(voter => this.#isSilent(voter))) return undefined
    if (this.#pending !== null) this.#pending = { ...this.#pending, stage: 'aborting' }
    return this.#endWith(configuration.outgoingVoters)
  }

  #endWith (voters: readonly VoterId[]): ConfigurationEntry<Command> {
    this.#leaving = allVoters(this.#state.configuration).filter(voter => !includesVoter(voters, voter))
    return { body: { kind: 'voters', voters, outgoingVoters: [] } }
  }

  #incomingVoters (): VoterId[] {
    const { voters, outgoingVoters } = this.#state.configuration
    return voters.filter(voter => !includesVoter(outgoingVoters, voter))
  }

  #holds (voter: VoterId, index: number): boolean {
    if (sameVoter(voter, this.#state.id)) return this.#state.durableIndex >= index
    return (this.#replication.peer(voter)?.matchIndex ?? 0) >= index
  }

  #isSilent (voter: VoterId): boolean {
    const peer = this.#replication.peer(voter)
    return peer !== undefined && this.#state.nowMs - peer.contactMs >= this.#state.settings.learnerSilenceMs
  }

  /** Runs after a configuration entry was appended. */
  appended (): void {
    this.#supplyMembers()
  }

  /** Runs after a commit; ends a replacement whose last entry is committed. */
  committed (): void {
    const { configuration, configurationIndex, commitIndex } = this.#state
    if (isJoint(configuration) || configurationIndex > commitIndex) return
    if (this.#pending?.stage === 'aborting') this.#end('learner_unreachable')
    if (this.#pending?.stage === 'joint') this.#pending = null
    if (this.#leaving.length === 0) return
    this.#leaving = []
    this.#supplyMembers()
  }

  /** Ends a replacement whose new voter does not answer while it should catch up. */
  checkSilence (): void {
    const pending = this.#pending
    if (pending?.stage !== 'catching_up' || !this.#isSilent(pending.add)) return
    this.#end('learner_unreachable')
    this.#supplyMembers()
  }

  /** Runs when this leader loses its role: a replacement that is not in the log has no effect. */
  abandon (): void {
    if (this.#pending?.stage === 'catching_up') this.#end('not_leader')
  }

  #end (reason: 'learner_unreachable' | 'not_leader'): void {
    if (this.#pending !== null) this.#state.reject(this.#pending.proposalId, reason)
    this.#pending = null
  }

  #supplyMembers (): void {
    const learners = this.#pending?.stage === 'catching_up' ? [this.#pending.add] : []
    this.#replication.setPeers([...allVoters(this.#state.configuration), ...learners, ...this.#leaving])
  }
}

function incomingVoters (voters: readonly VoterId[], { remove, add }: PendingReplacement): VoterId[] {
  if (remove === null) return [...voters, add]
  return voters.map(voter => sameVoter(voter, remove) ? add : voter)
}
