/** What a replica does depends on its role; each role is one class. */
import type { ConsensusMessage, ReplicaEvent, ReplicaRole, VoterId } from './messages.js'
import type { ReplicaState } from './state.js'

/** A change of role that a step asks for. */
export type RoleChange =
  | { readonly kind: 'follow', readonly leader: VoterId | null }
  | { readonly kind: 'pre_campaign' }
  | { readonly kind: 'campaign', readonly isTransfer: boolean }
  | { readonly kind: 'lead' }

/** Result of a handler: the change of role that it leads to, if any. */
export type RoleResult = RoleChange | undefined

/** A message of one kind. */
export type MessageOf<Command, Kind extends ConsensusMessage<Command>['kind']> =
  Extract<ConsensusMessage<Command>, { kind: Kind }>

/** An event of one kind. */
export type EventOf<Command, Kind extends ReplicaEvent<Command>['kind']> =
  Extract<ReplicaEvent<Command>, { kind: Kind }>

/** Behaviour of a replica in one role. What a role does not override has no effect in it. */
export abstract class Role<Command> {
  abstract readonly name: ReplicaRole
  protected readonly state: ReplicaState<Command>

  constructor (state: ReplicaState<Command>) {
    this.state = state
  }

  /** Monotonic time of the next thing that this role does on its own. */
  abstract nextWakeAtMs (): number

  /** Does what is due. */
  abstract tick (): RoleResult

  /** Runs once when the role starts. */
  begin (): RoleResult {
    return undefined
  }

  /** Runs once when the role ends. */
  end (): void {}

  /** Runs before every event, so that a role that expired while the process stood still does not act on it. */
  checkExpiry (): RoleResult {
    return undefined
  }

  /** Handles a message of the current term. */
  receive (_from: VoterId, _message: ConsensusMessage<Command>): RoleResult {
    return undefined
  }

  /** Appends a command, or rejects it. */
  propose (event: EventOf<Command, 'propose'>): RoleResult {
    this.state.reject(event.proposalId, 'not_leader')
    return undefined
  }

  /** Starts the replacement of a voter, or rejects it. */
  replaceVoter (event: EventOf<Command, 'replace_voter'>): RoleResult {
    this.state.reject(event.proposalId, 'not_leader')
    return undefined
  }

  /** Runs after a sync of the disk. */
  persisted (): RoleResult {
    return undefined
  }

  /** Hands leadership over. */
  stepDown (): RoleResult {
    return undefined
  }

  /** How many more voters may be lost with nothing lost and service going on; null where this replica cannot tell. */
  survivableLosses (): number | null {
    return null
  }

  /** Whether this replica may answer reads. */
  hasQuorumLease (_nowMs: number): boolean {
    return false
  }
}
