/** Voter sets and their majorities. */
import type { VoterId } from './messages.js'

/**
 * The voter sets whose majorities decide. Replacing a voter in one step would allow two majorities without a common
 * member, so a replacement uses joint consensus, in which both sets must agree (section 4.3 of the Raft thesis).
 */
export interface VoterConfiguration {
  /** The voters; during joint consensus the new set. */
  readonly voters: readonly VoterId[]
  /** The complete old voter set during joint consensus, including voters that stay; empty otherwise. */
  readonly outgoingVoters: readonly VoterId[]
}

/**
 * Returns a string that identifies a voter, for use as a map key.
 *
 * @example
 * voterKey({ nodeId: 'salto-1', diskId: '4f1c' }) // 'salto-1/4f1c'
 */
export function voterKey (voter: VoterId): string {
  return `${voter.nodeId}/${voter.diskId}`
}

/**
 * Whether both identify the same node with the same disk.
 *
 * @example
 * isSameVoter({ nodeId: 'salto-1', diskId: 'a' }, { nodeId: 'salto-1', diskId: 'b' }) // false
 */
export function isSameVoter (one: VoterId, other: VoterId): boolean {
  return one.nodeId === other.nodeId && one.diskId === other.diskId
}

/**
 * Whether `voters` contains `voter`.
 *
 * @example
 * includesVoter(replica.voters, id)
 */
export function includesVoter (voters: readonly VoterId[], voter: VoterId): boolean {
  return voters.some(candidate => isSameVoter(candidate, voter))
}

/** The union of both voter sets. */
export function allVoters (configuration: VoterConfiguration): VoterId[] {
  const extra = configuration.outgoingVoters.filter(voter => !includesVoter(configuration.voters, voter))
  return [...configuration.voters, ...extra]
}

/** Whether this is a joint configuration, with two voter sets. */
export function isJoint (configuration: VoterConfiguration): boolean {
  return configuration.outgoingVoters.length > 0
}

/**
 * Returns the greatest value that a majority of each voter set has reached; `-Infinity` without voters.
 *
 * @example
 * majorityValue({ voters: [a, b, c], outgoingVoters: [] }, voter => matchIndexOf(voter))
 */
export function majorityValue (configuration: VoterConfiguration, valueOf: (voter: VoterId) => number): number {
  const incoming = majorityValueOf(configuration.voters, valueOf)
  if (!isJoint(configuration)) return incoming
  return Math.min(incoming, majorityValueOf(configuration.outgoingVoters, valueOf))
}

function majorityValueOf (voters: readonly VoterId[], valueOf: (voter: VoterId) => number): number {
  const values = voters.map(valueOf).sort((a, b) => b - a)
  return values[Math.floor(values.length / 2)] ?? -Infinity
}

/** Whether a majority of each voter set satisfies `predicate`. */
export function hasMajority (configuration: VoterConfiguration, predicate: (voter: VoterId) => boolean): boolean {
  return majorityValue(configuration, voter => predicate(voter) ? 1 : 0) === 1
}
