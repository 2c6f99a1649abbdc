/** Control nodes that this process knows, found from seeds. */
import type { VoterId } from '@comfreygrade/consensus'
import type { Clock } from '@comfreygrade/core'
import type { ControlNodeInfo } from './messages.js'

/** A node outside the voter set that has been silent for this long is forgotten; others may replace it. */
const FORGET_AFTER_MS = 30_000

interface Member {
  info: ControlNodeInfo
  heardAtMs: number
}

/** What a leader does about its voter set. */
export interface VoterChange {
  readonly remove: VoterId | null
  readonly add: VoterId
  readonly reason: 'new_disk' | 'silent' | 'leaving' | 'growth'
}

/** Options of {@link ControlMembers}. */
export interface ControlMembersOptions {
  readonly clock: Clock
  /** Voters that are wanted where there are enough control nodes. */
  readonly wantedVoters: number
  /** A voter that is silent for this long is replaced by a standby. */
  readonly replaceAfterMs: number
}

/**
 * Members by address. A node that comes back with an empty disk announces a new disk ID under its old address.
 *
 * @example
 * const change = members.nextVoterChange(replica.voters, self)
 */
export class ControlMembers {
  readonly #options: ControlMembersOptions
  readonly #members = new Map<string, Member>()
  readonly #leaving = new Set<string>()

  constructor (options: ControlMembersOptions) {
    this.#options = options
  }

  /** Takes what a node says about itself. */
  announce (info: ControlNodeInfo): void {
    const known = this.#members.get(info.nodeId)
    if (known !== undefined && known.info.startedWallMs !== info.startedWallMs) this.#leaving.delete(info.nodeId)
    this.#members.set(info.nodeId, { info, heardAtMs: this.#nowMs })
  }

  /** Takes what another node says about a third one that is not known yet. */
  learn (info: ControlNodeInfo): void {
    if (!this.#members.has(info.nodeId)) this.#members.set(info.nodeId, { info, heardAtMs: this.#nowMs })
  }

  /** Notes any sign of life. */
  heard (nodeId: string): void {
    const member = this.#members.get(nodeId)
    if (member !== undefined) member.heardAtMs = this.#nowMs
  }

  /** Notes that a node is about to stop. */
  leaving (nodeId: string): void {
    this.#leaving.add(nodeId)
  }

  /** All nodes that are known, after forgetting those that are gone. */
  nodes (voters: readonly VoterId[]): ControlNodeInfo[] {
    for (const [nodeId, { heardAtMs }] of this.#members) {
      const isVoter = voters.some(voter => voter.nodeId === nodeId)
      if (!isVoter && this.#nowMs - heardAtMs > FORGET_AFTER_MS) this.#members.delete(nodeId)
    }
    return [...this.#members.values()].map(member => member.info)
  }

  /** The change of the voter set that is due, if any; called on the leader. */
  nextVoterChange (voters: readonly VoterId[], self: VoterId): VoterChange | undefined {
    return this.#returned(voters) ?? this.#replaced(voters, self) ?? this.#grown(voters)
  }

  #returned (voters: readonly VoterId[]): VoterChange | undefined {
    for (const voter of voters) {
      const member = this.#members.get(voter.nodeId)
      if (member === undefined || member.info.voter.diskId === voter.diskId) continue
      return { remove: voter, add: member.info.voter, reason: 'new_disk' }
    }
    return undefined
  }

  #replaced (voters: readonly VoterId[], self: VoterId): VoterChange | undefined {
    const standby = this.#standbys(voters)[0]
    if (standby === undefined) return undefined
    for (const voter of voters) {
      if (voter.nodeId === self.nodeId) continue
      const isLeaving = this.#leaving.has(voter.nodeId)
      if (isLeaving || this.#isSilent(voter)) {
        return { remove: voter, add: standby, reason: isLeaving ? 'leaving' : 'silent' }
      }
    }
    return undefined
  }

  #grown (voters: readonly VoterId[]): VoterChange | undefined {
    const standby = this.#standbys(voters)[0]
    if (standby === undefined || voters.length >= this.#options.wantedVoters) return undefined
    return { remove: null, add: standby, reason: 'growth' }
  }

  #standbys (voters: readonly VoterId[]): VoterId[] {
    return [...this.#members.values()]
      .filter(({ info }) => !voters.some(voter => voter.nodeId === info.nodeId) &&
        !this.#leaving.has(info.nodeId) && !this.#isSilent(info.voter))
      .map(({ info }) => info.voter)
  }

  #isSilent ({ nodeId }: VoterId): boolean {
    const member = this.#members.get(nodeId)
    return member === undefined || this.#nowMs - member.heardAtMs >= this.#options.replaceAfterMs
  }

  get #nowMs (): number {
    return this.#options.clock.monotonicMs()
  }
}
