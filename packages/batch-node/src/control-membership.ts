/** Control nodes known to this process, and the voter changes that follow from their state. */
import type { VoterId } from '@comfreygrade/consensus'
import type { Clock } from '@comfreygrade/core'
import type { ControlNodeInfo } from './messages.js'

/** A node outside the voter set that has been silent for this long is forgotten; other nodes may replace it. */
const FORGET_AFTER_MS = 30_000

interface KnownNode {
  info: ControlNodeInfo
  /** Time of the last message of the node; until its first one, the time at which a peer reported the node. */
  lastHeardOrReportedMs: number
}

/** A change of the voter set. */
export interface VoterChange {
  readonly remove: VoterId | null
  readonly add: VoterId
  /** `growth`: the voter set is smaller than the target. */
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

  /**
   * Records what a node announces about itself. A start time other than the one known shows that it has restarted and
   * is not leaving; a node that has been forgotten meanwhile stays marked as leaving.
   */
  recordAnnouncement (info: ControlNodeInfo): void {
    const known = this.#nodes.get(info.nodeId)
    if (known !== undefined && known.info.startedWallMs !== info.startedWallMs) this.#leavingNodeIds.delete(info.nodeId)
    this.#nodes.set(info.nodeId, { info, lastHeardOrReportedMs: this.#nowMs })
  }

  /**
   * Adds a node that a peer has reported, unless it is known already. It counts as heard from at that time, so it is
   * a possible standby until it has been silent for too long.
   */
  addIfUnknown (info: ControlNodeInfo): void {
    if (!this.#nodes.has(info.nodeId)) this.#nodes.set(info.nodeId, { info, lastHeardOrReportedMs: this.#nowMs })
  }

  /** Records that a message of a node was received, other than `ping` and `pong`, which the links handle. */
  recordContact (nodeId: string): void {
    const node = this.#nodes.get(nodeId)
    if (node !== undefined) node.lastHeardOrReportedMs = this.#nowMs
  }

  /** Records that a node has announced its shutdown. */
  markLeaving (nodeId: string): void {
    this.#leavingNodeIds.add(nodeId)
  }

  /** Forgets nodes outside the voter set that have been silent for too long, and returns the remaining nodes. */
  forgetSilentNodes (voters: readonly VoterId[]): ControlNodeInfo[] {
    for (const [nodeId, { lastHeardOrReportedMs }] of this.#nodes) {
      const isVoter = voters.some(voter => voter.nodeId === nodeId)
      if (!isVoter && this.#nowMs - lastHeardOrReportedMs > FORGET_AFTER_MS) this.#nodes.delete(nodeId)
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
      // This node is not among the known nodes, so it would count as silent.
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

  /** Standbys: known nodes outside the voter set that are neither silent nor leaving. */
  #standbys (voters: readonly VoterId[]): VoterId[] {
    return [...this.#nodes.values()]
      .filter(({ info }) => !voters.some(voter => voter.nodeId === info.nodeId) &&
        !this.#leavingNodeIds.has(info.nodeId) && !this.#isSilent(info.voter))
      .map(({ info }) => info.voter)
  }

  #isSilent ({ nodeId }: VoterId): boolean {
    const node = this.#nodes.get(nodeId)
    return node === undefined || this.#nowMs - node.lastHeardOrReportedMs >= this.#options.replaceSilentAfterMs
  }

  get #nowMs (): number {
    return this.#options.clock.monotonicMs()
  }
}
