/** Bootstrap of the voter set: decides how a control node without an initialised log joins the other control nodes. */
import type { VoterId } from '@comfreygrade/consensus'

/** State that a control node announces in `hello`. */
export interface ControlPeer {
  readonly voter: VoterId
  /** Voter set that the node knows; null until its log is initialised. */
  readonly voters: readonly VoterId[] | null
}

/** Next step of a node whose log is not initialised. */
export type BootstrapDecision =
  | { readonly kind: 'wait' }
  /**
   * Start the replica: this voter set is formed from all control nodes, or is that of an initialised peer. A node in it
   * writes it as its initial log; a node outside it starts with an empty log, which it receives until it is a voter.
   */
  | { readonly kind: 'initialise', readonly voters: readonly VoterId[] }

/**
 * Decides from the latest `hello` of each control node.
 *
 * The first voter set is formed only once every control node has sent a `hello` and none is initialised, so that a node
 * that lost its disk can never bootstrap a second cluster.
 *
 * @example
 * decideBootstrap(self, ['n1', 'n2', 'n3'], peers)
 */
export function decideBootstrap (
  self: VoterId,
  controlNodeIds: readonly string[],
  peers: ReadonlyMap<string, ControlPeer>
): BootstrapDecision {
  const initialised = [...peers.values()].find(peer => peer.voters !== null)
  if (initialised !== undefined && initialised.voters !== null) {
    return { kind: 'initialise', voters: initialised.voters }
  }
  const others = controlNodeIds.filter(nodeId => nodeId !== self.nodeId)
  if (!others.every(nodeId => peers.has(nodeId))) return { kind: 'wait' }
  const voters = [self, ...[...peers.values()].map(peer => peer.voter)]
  return { kind: 'initialise', voters: voters.sort((left, right) => left.nodeId < right.nodeId ? -1 : 1) }
}

/**
 * Whether every control node is a voter with the disk that it announced last, so that no node is waiting for a `hello`.
 *
 * @example
 * isVoterSetStable({ voter: self, voters: replica.voters }, ['n1', 'n2', 'n3'], peers)
 */
export function isVoterSetStable (
  self: ControlPeer,
  controlNodeIds: readonly string[],
  peers: ReadonlyMap<string, ControlPeer>
): boolean {
  const { voter: selfVoter, voters } = self
  if (voters === null || !includesVoter(voters, selfVoter)) return false
  const others = controlNodeIds.filter(nodeId => nodeId !== selfVoter.nodeId)
  return others.every(nodeId => {
    const peer = peers.get(nodeId)
    return peer !== undefined && peer.voters !== null && includesVoter(voters, peer.voter)
  })
}

function includesVoter (voters: readonly VoterId[], wanted: VoterId): boolean {
  return voters.some(voter => voter.nodeId === wanted.nodeId && voter.diskId === wanted.diskId)
}

/**
 * Finds the voter to replace when its node announces another disk, which proves that it has lost the former one.
 *
 * @returns the voter to remove, or undefined
 * @example
 * findReplacedVoter(replica.voters, { nodeId: 'n2', diskId: 'new' }) // { nodeId: 'n2', diskId: 'old' }
 */
export function findReplacedVoter (voters: readonly VoterId[], announced: VoterId): VoterId | undefined {
  return voters.find(voter => voter.nodeId === announced.nodeId && voter.diskId !== announced.diskId)
}
