/** Decides how a control node with an empty data folder joins the others. */
import type { VoterId } from '@comfreygrade/consensus'

/** What a control node says about itself in `hello`. */
export interface ControlPeer {
  readonly voter: VoterId
  /** Voter set that it knows; null before its first start is complete. */
  readonly voters: readonly VoterId[] | null
}

/** What an uninitialised node does next. */
export type BootstrapDecision =
  | { readonly kind: 'wait' }
  /** Start with this voter set; a node outside it only receives the log until it is made a voter. */
  | { readonly kind: 'initialise', readonly voters: readonly VoterId[] }

/**
 * Decides from the last `hello` of each control node.
 *
 * A first voter set is formed only when every control node is known and none is initialised, so that a node which lost
 * its disk can never form a second system beside the first.
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
 * Whether every control node is a voter with the disk that it announced last, so that no `hello` is waited for.
 *
 * @example
 * isVoterSetSettled({ voter: self, voters: replica.voters }, ['n1', 'n2', 'n3'], peers)
 */
export function isVoterSetSettled (
  self: ControlPeer,
  controlNodeIds: readonly string[],
  peers: ReadonlyMap<string, ControlPeer>
): boolean {
  const { voter: own, voters } = self
  if (voters === null || !includesVoter(voters, own)) return false
  const others = controlNodeIds.filter(nodeId => nodeId !== own.nodeId)
  return others.every(nodeId => {
    const peer = peers.get(nodeId)
    return peer !== undefined && peer.voters !== null && includesVoter(voters, peer.voter)
  })
}

function includesVoter (voters: readonly VoterId[], wanted: VoterId): boolean {
  return voters.some(voter => voter.nodeId === wanted.nodeId && voter.diskId === wanted.diskId)
}

/**
 * Finds a voter whose node has come back with another disk, which can only have lost the old one.
 *
 * @returns the voter to remove, or undefined
 * @example
 * findReplacedVoter(replica.voters, { nodeId: 'n2', diskId: 'new' }) // { nodeId: 'n2', diskId: 'old' }
 */
export function findReplacedVoter (voters: readonly VoterId[], announced: VoterId): VoterId | undefined {
  return voters.find(voter => voter.nodeId === announced.nodeId && voter.diskId !== announced.diskId)
}
