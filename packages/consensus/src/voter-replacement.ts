/** Membership changes: replacement or addition of one voter at a time. */
import type { EntryBody, VoterId } from './messages.js'
import type { Replication } from './replication.js'
import type { EventOf } from './role.js'
import type { ReplicaState } from './state.js'
import { allVoters, includesVoter, isJoint, isSameVoter } from './voters.js'

interface PendingReplacement {
  readonly proposalId: string
  readonly remove: VoterId | null
  readonly add: VoterId
  /** `catching_up`: not in the log yet; `joint`: in joint consensus; `aborting`: returning to the old voter set. */
  readonly stage: 'catching_up' | 'joint' | 'aborting'
}

/** A configuration entry to append and the id of the proposal that it belongs to, if any. */
export interface ConfigurationEntry<Command> {
  readonly body: Extract<EntryBody<Command>, { kind: 'voters' }>
  readonly proposalId?: string
}

/**
 * Drives a replacement through its stages. The new voter first catches up as a learner, without a vote (section 4.2.1
 * of the Raft thesis). An entry then starts joint consensus (section 4.3). Once that entry is committed and the new
 * voter has synced it, a second entry ends joint consensus. Waiting for the new voter at that point guarantees that it
 * can vote if another voter fails right afterwards.
 */
export class VoterReplacement<Command> {
  readonly #state: ReplicaState<Command>
  readonly #replication: Replication<Command>
  #pending: PendingReplacement | null = null
  /**
   * Members of the joint configuration that the final one leaves out. They receive entries until the final entry is
   * committed, so that they learn of their removal.
   */
  #departingVoters: readonly VoterId[] = []

  constructor (state: ReplicaState<Command>, replication: Replication<Command>) {
    this.#state = state
    this.#replication = replication
  }

  /** Starts a replacement or rejects it. */
  start (event: EventOf<Command, 'replace_voter'>): void {
    const { configuration, configurationIndex, commitIndex } = this.#state
    const { proposalId, remove, add } = event
    if (this.#pending !== null || isJoint(configuration) || configurationIndex > commitIndex) {
      return this.#state.rejectProposal(proposalId, 'change_in_progress')
    }
    const isUnknown = remove !== null && !includesVoter(configuration.voters, remove)
    if (isUnknown || includesVoter(configuration.voters, add)) {
      return this.#state.rejectProposal(proposalId, 'invalid_change')
    }
    this.#pending = { proposalId, remove, add, stage: 'catching_up' }
    this.#updatePeers()
    this.#replication.sendAppends()
  }

  /**
   * Returns the configuration entry to append now, if any, and moves the replacement to its next stage; the caller must
   * append the entry and then call `onEntryAppended`.
   */
  takeNextEntry (hasCommittedInTerm: boolean): ConfigurationEntry<Command> | undefined {
    const { configurationIndex, commitIndex, configuration } = this.#state
    // A leader must commit an entry of its own term and the previous configuration before it appends another
    // configuration (Ongaro, raft-dev, 2015).
    if (!hasCommittedInTerm || configurationIndex > commitIndex) return undefined
    if (isJoint(configuration)) return this.#leaveJoint()
    return this.#enterJoint()
  }

  #enterJoint (): ConfigurationEntry<Command> | undefined {
    const pending = this.#pending
    if (pending?.stage !== 'catching_up' || !this.#hasCaughtUp(pending.add)) return undefined
    this.#pending = { ...pending, stage: 'joint' }
    const outgoingVoters = this.#state.configuration.voters
    const voters = applyReplacement(outgoingVoters, pending)
    return { body: { kind: 'voters', voters, outgoingVoters }, proposalId: pending.proposalId }
  }

  /**
   * Besides a small lag, requires that the learner has synced the configuration in effect: in a short log even an
   * absent learner has a small lag.
   */
  #hasCaughtUp (learner: VoterId): boolean {
    const matchIndex = this.#replication.peer(learner)?.matchIndex ?? 0
    const { log, configurationIndex, settings } = this.#state
    return matchIndex >= configurationIndex && log.lastIndex - matchIndex <= settings.learnerMaxLagEntries
  }

  #leaveJoint (): ConfigurationEntry<Command> | undefined {
    const { configuration, configurationIndex } = this.#state
    const added = this.#addedVoters()
    if (added.every(voter => this.#hasSynced(voter, configurationIndex))) return this.#finalEntry(configuration.voters)
    if (!added.some(voter => this.#isUnresponsive(voter))) return undefined
    if (this.#pending !== null) this.#pending = { ...this.#pending, stage: 'aborting' }
    return this.#finalEntry(configuration.outgoingVoters)
  }

  #finalEntry (voters: readonly VoterId[]): ConfigurationEntry<Command> {
    this.#departingVoters = allVoters(this.#state.configuration).filter(voter => !includesVoter(voters, voter))
    return { body: { kind: 'voters', voters, outgoingVoters: [] } }
  }

  #addedVoters (): VoterId[] {
    const { voters, outgoingVoters } = this.#state.configuration
    return voters.filter(voter => !includesVoter(outgoingVoters, voter))
  }

  #hasSynced (voter: VoterId, index: number): boolean {
    if (isSameVoter(voter, this.#state.id)) return this.#state.durableIndex >= index
    return (this.#replication.peer(voter)?.matchIndex ?? 0) >= index
  }

  #isUnresponsive (voter: VoterId): boolean {
    const peer = this.#replication.peer(voter)
    return peer !== undefined && this.#state.nowMs - peer.lastContactAtMs >= this.#state.settings.learnerSilenceMs
  }

  /** Called after a configuration entry was appended. */
  onEntryAppended (): void {
    this.#updatePeers()
  }

  /** Called after a commit; completes a replacement whose final entry is committed. */
  onCommit (): void {
    const { configuration, configurationIndex, commitIndex } = this.#state
    if (isJoint(configuration) || configurationIndex > commitIndex) return
    if (this.#pending?.stage === 'aborting') this.#fail('learner_unreachable')
    if (this.#pending?.stage === 'joint') this.#pending = null
    if (this.#departingVoters.length === 0) return
    this.#departingVoters = []
    this.#updatePeers()
  }

  /** Rejects a replacement whose new voter does not respond while it is catching up. */
  checkLearnerTimeout (): void {
    const pending = this.#pending
    if (pending?.stage !== 'catching_up' || !this.#isUnresponsive(pending.add)) return
    this.#fail('learner_unreachable')
    this.#updatePeers()
  }

  /**
   * Called when the leader loses its role. A replacement that has no entry in the log yet never takes effect, so it is
   * rejected; one that is in the log is continued by the next leader.
   */
  cancel (): void {
    if (this.#pending?.stage === 'catching_up') this.#fail('not_leader')
  }

  #fail (reason: 'learner_unreachable' | 'not_leader'): void {
    if (this.#pending !== null) this.#state.rejectProposal(this.#pending.proposalId, reason)
    this.#pending = null
  }

  #updatePeers (): void {
    const learners = this.#pending?.stage === 'catching_up' ? [this.#pending.add] : []
    this.#replication.setPeers([...allVoters(this.#state.configuration), ...learners, ...this.#departingVoters])
  }
}

function applyReplacement (voters: readonly VoterId[], { remove, add }: PendingReplacement): VoterId[] {
  if (remove === null) return [...voters, add]
  return voters.map(voter => isSameVoter(voter, remove) ? add : voter)
}
