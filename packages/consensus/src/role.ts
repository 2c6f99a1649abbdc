/** Base class of the roles of a replica: follower, pre-candidate, candidate and leader. */
import type { ConsensusMessage, ReplicaEvent, ReplicaRole, VoterId } from './messages.js'
import type { ReplicaState } from './state.js'

/**
 * Role transition requested by a handler: `follow` to follower, `pre_campaign` to pre-candidate, `campaign` to
 * candidate in a new term, `lead` to leader.
 */
export type RoleChange =
  | { readonly kind: 'follow', readonly leader: VoterId | null }
  | { readonly kind: 'pre_campaign' }
  | { readonly kind: 'campaign', readonly isTransfer: boolean }
  | { readonly kind: 'lead' }

/** Result of a handler: a role transition, or `undefined` to stay in the current role. */
export type RoleResult = RoleChange | undefined

/** A message of one kind. */
export type MessageOf<Command, Kind extends ConsensusMessage<Command>['kind']> =
  Extract<ConsensusMessage<Command>, { kind: Kind }>

/** An event of one kind. */
export type EventOf<Command, Kind extends ReplicaEvent<Command>['kind']> =
  Extract<ReplicaEvent<Command>, { kind: Kind }>

/** Behaviour of a replica in one role. The defaults ignore messages and reject proposals. */
export abstract class Role<Command> {
  abstract readonly name: ReplicaRole
  protected readonly state: ReplicaState<Command>

  constructor (state: ReplicaState<Command>) {
    this.state = state
  }

  /** Monotonic time at which the next `tick` is due; `Infinity` if none is. */
  abstract nextWakeAtMs (): number

  /** Handles the timeouts that are due. */
  abstract tick (): RoleResult

  /** Called once when the replica enters this role. */
  enter (): RoleResult {
    return undefined
  }

  /** Called once when the replica leaves this role. */
  exit (): void {}

  /** Called before every event, so that a role that expired while the process was paused does not handle the event. */
  checkExpiry (): RoleResult {
    return undefined
  }

  /** Handles a message of the current term, or a granted pre-vote, which carries the term after it. */
  receive (_from: VoterId, _message: ConsensusMessage<Command>): RoleResult {
    return undefined
  }

  /** Appends a command or rejects the proposal. */
  propose (event: EventOf<Command, 'propose'>): RoleResult {
    this.state.rejectProposal(event.proposalId, 'not_leader')
    return undefined
  }

  /** Starts the replacement of a voter or rejects the proposal. */
  replaceVoter (event: EventOf<Command, 'replace_voter'>): RoleResult {
    this.state.rejectProposal(event.proposalId, 'not_leader')
    return undefined
  }

  /** Called after a sync of the disk has completed. */
  onPersisted (): RoleResult {
    return undefined
  }

  /** Starts a leadership transfer to another voter; only the leader does so. */
  transferLeadership (): RoleResult {
    return undefined
  }

  /** See `Replica.survivableLosses`; `null` unless this replica leads. */
  survivableLosses (): number | null {
    return null
  }

  /** Whether this replica may serve reads from its own state. */
  hasQuorumLease (_nowMs: number): boolean {
    return false
  }
}
