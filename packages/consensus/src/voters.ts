/** Voter sets and their majorities. */
import type { VoterId } from './messages.js'

/**
 * The sets that decide. While a replacement is under way both must agree (joint consensus, section 4.3 of the Raft
 * thesis): replacing a voter in one step would allow two majorities without a common member.
 */
export interface VoterConfiguration {
  readonly voters: readonly VoterId[]
  readonly outgoingVoters: readonly VoterId[]
}

/**
 * Key of a voter for maps.
 *
 * @example
 * voterKey({ nodeId: 'salto-1', diskId: '4f1c' }) // 'salto-1/4f1c'
 */
export function voterKey (voter: VoterId): string {
  return `${voter.nodeId}/${voter.diskId}`
}

/**
 * Whether both are the same node with the same disk.
 *
 * @example
 * sameVoter({ nodeId: 'salto-1', diskId: 'a' }, { nodeId: 'salto-1', diskId: 'b' }) // false
 */
export function sameVoter (one: VoterId, other: VoterId): boolean {
  return one.nodeId === other.nodeId && one.diskId === other.diskId
}

/**
 * Whether `voters` holds `voter`.
 *
 * @example
 * includesVoter(replica.voters, id)
 */
export function includesVoter (voters: readonly VoterId[], voter: VoterId): boolean {
  return voters.some(candidate => sameVoter(candidate, voter))
}

/** Every voter of either set, once. */
export function allVoters (configuration: VoterConfiguration): VoterId[] {
  const extra = configuration.outgoingVoters.filter(voter => !includesVoter(configuration.voters, voter))
  return [...configuration.voters, ...extra]
}

/** Whether a replacement is under way in this configuration. */
export function isJoint (configuration: VoterConfiguration): boolean {
  return configuration.outgoingVoters.length > 0
}

/**
 * The greatest value that a majority of each deciding set has reached; `-Infinity` without voters.
 *
 * @example
 * majorityValue({ voters: [a, b, c], outgoingVoters: [] }, voter => matchIndexOf(voter))
 */
export function majorityValue (configuration: VoterConfiguration, valueOf: (voter: VoterId) => number): number {
  const incoming = majorityValueOfSet(configuration.voters, valueOf)
  if (!isJoint(configuration)) return incoming
  return Math.min(incoming, majorityValueOfSet(configuration.outgoingVoters, valueOf))
}

function majorityValueOfSet (voters: readonly VoterId[], valueOf: (voter: VoterId) => number): number {
  const values = voters.map(valueOf).sort((a, b) => b - a)
  return values[Math.floor(values.length / 2)] ?? -Infinity
}

/** Whether a majority of each deciding set satisfies `isCounted`. */
export function hasMajority (configuration: VoterConfiguration, isCounted: (voter: VoterId) => boolean): boolean {
  return majorityValue(configuration, voter => isCounted(voter) ? 1 : 0) === 1
}
