/** Control nodes known to this process, and the voter changes that follow from their state. */
import type { VoterId } from '@comfreygrade/consensus'
import type { Clock } from '@comfreygrade/core'
import type { ControlNodeInfo } from './messages.js'

/** A node outside the voter set that has been silent for this long is forgotten. */
const FORGET_AFTER_MS = 30_000

interface KnownNode {
  info: ControlNodeInfo
  lastHeardMs: number
}

/** A change of the voter set. */
export interface VoterChange {
  readonly remove: VoterId | null
  readonly add: VoterId
  readonly reason: 'new_disk' | 'silent' | 'leaving' | 'growth'
}

/** Options of {@link ControlMembership}. */
export interface ControlMembershipOptions {
  readonly clock: Clock
  /** Number of voters if there are enough control nodes. */
  readonly targetVoterCount: number
  /** A voter that has been silent for this long is replaced by a standby. */
  readonly replaceSilentAfterMs: number
}

/**
 * Tracks control nodes by node ID. A node that returns with an empty disk announces a new disk ID with its old node ID.
 *
 * @example
 * const change = membership.nextVoterChange(replica.voters, self)
 */
export class ControlMembership {
  readonly #options: ControlMembershipOptions
  readonly #nodes = new Map<string, KnownNode>()
  readonly #leavingNodeIds = new Set<string>()

  constructor (options: ControlMembershipOptions) {
    this.#options = options
  }

  /** Records what a node announces about itself. A new start time shows that it has restarted and is not leaving. */
  recordAnnouncement (info: ControlNodeInfo): void {
    const known = this.#nodes.get(info.nodeId)
    if (known !== undefined && known.info.startedWallMs !== info.startedWallMs) this.#leavingNodeIds.delete(info.nodeId)
    this.#nodes.set(info.nodeId, { info, lastHeardMs: this.#nowMs })
  }

  /** Adds a node that a peer has reported, unless it is known already. */
  addIfUnknown (info: ControlNodeInfo): void {
    if (!this.#nodes.has(info.nodeId)) this.#nodes.set(info.nodeId, { info, lastHeardMs: this.#nowMs })
  }

  /** Records that any message of a node was received. */
  recordContact (nodeId: string): void {
    const node = this.#nodes.get(nodeId)
    if (node !== undefined) node.lastHeardMs = this.#nowMs
  }

  /** Records that a node has announced its shutdown. */
  markLeaving (nodeId: string): void {
    this.#leavingNodeIds.add(nodeId)
  }

  /** Forgets nodes outside the voter set that have been silent for too long, and returns the rest. */
  currentNodes (voters: readonly VoterId[]): ControlNodeInfo[] {
    for (const [nodeId, { lastHeardMs }] of this.#nodes) {
      const isVoter = voters.some(voter => voter.nodeId === nodeId)
      if (!isVoter && this.#nowMs - lastHeardMs > FORGET_AFTER_MS) this.#nodes.delete(nodeId)
    }
    return [...this.#nodes.values()].map(node => node.info)
  }

  /** The next change of the voter set that is needed, if any. Only the leader calls this. */
  nextVoterChange (voters: readonly VoterId[], self: VoterId): VoterChange | undefined {
    return this.#replacementForNewDisk(voters) ??
      this.#replacementForUnavailableVoter(voters, self) ??
      this.#additionalVoter(voters)
  }

  #replacementForNewDisk (voters: readonly VoterId[]): VoterChange | undefined {
    for (const voter of voters) {
      const node = this.#nodes.get(voter.nodeId)
      if (node === undefined || node.info.voter.diskId === voter.diskId) continue
      return { remove: voter, add: node.info.voter, reason: 'new_disk' }
    }
    return undefined
  }

  #replacementForUnavailableVoter (voters: readonly VoterId[], self: VoterId): VoterChange | undefined {
    const standby = this.#standbys(voters)[0]
    if (standby === undefined) return undefined
    for (const voter of voters) {
      if (voter.nodeId === self.nodeId) continue
      const isLeaving = this.#leavingNodeIds.has(voter.nodeId)
      if (isLeaving || this.#isSilent(voter)) {
        return { remove: voter, add: standby, reason: isLeaving ? 'leaving' : 'silent' }
      }
    }
    return undefined
  }

  #additionalVoter (voters: readonly VoterId[]): VoterChange | undefined {
    const standby = this.#standbys(voters)[0]
    if (standby === undefined || voters.length >= this.#options.targetVoterCount) return undefined
    return { remove: null, add: standby, reason: 'growth' }
  }

  #standbys (voters: readonly VoterId[]): VoterId[] {
    return [...this.#nodes.values()]
      .filter(({ info }) => !voters.some(voter => voter.nodeId === info.nodeId) &&
        !this.#leavingNodeIds.has(info.nodeId) && !this.#isSilent(info.voter))
      .map(({ info }) => info.voter)
  }

  #isSilent ({ nodeId }: VoterId): boolean {
    const node = this.#nodes.get(nodeId)
    return node === undefined || this.#nowMs - node.lastHeardMs >= this.#options.replaceSilentAfterMs
  }

  get #nowMs (): number {
    return this.#options.clock.monotonicMs()
  }
}
