/**
 * Control service of a process: hosts a replica of the batch state and, on the control leader, a {@link BatchLeader}.
 */
import { randomUUID } from 'node:crypto'
import { Encoder } from 'cbor-x'
import {
  adaptivePolicies, BatchLeader, BatchState, type BatchCommand, type BatchSettings, type BatchSnapshot,
  type LeaderEffect, type LeaderEvent
} from '@comfreygrade/batch'
import type { LogStorage, RecoveredLog, Replica, ReplicaSettings, VoterId } from '@comfreygrade/consensus'
import { fail, type Clock, type EventLog, type Metrics, type Random } from '@comfreygrade/core'
import { ReplicatedStateMachine, StateMachine } from '@comfreygrade/node/adapters'
import { startTimer } from '@comfreygrade/timers'
import type { LeaderRequest, LeaderResponse, BatchMessage, VersionedClientLimits } from './messages.js'
import { PortCalls } from './port-calls.js'
import type { AdvicePort, VmPort } from './ports.js'

/** Options of {@link BatchService}. */
export interface BatchServiceOptions {
  readonly self: VoterId
  readonly storage: LogStorage<BatchCommand>
  readonly recovered: RecoveredLog<BatchCommand>
  readonly settings: BatchSettings
  readonly replicaSettings: ReplicaSettings
  /** Number of log entries between two snapshots. */
  readonly snapshotAfterEntries: number
  /** Estimated size of the log entries after a snapshot from which the next one is taken. */
  readonly snapshotAfterBytes: number
  /**
   * Clock of the batch leader, for all its times. Its monotonic time may stop during a suspension of the machine; the
   * worker leases then expire later, which only frees the runs later.
   */
  readonly clock: Clock
  /** Clock of the replica, for leader leases and elections; it counts the time of a suspension of the machine too. */
  readonly leaseClock: Clock
  readonly random: Random
  readonly metrics: Metrics
  readonly log: EventLog
  readonly advice: AdvicePort
  readonly vms: VmPort
  /** Returns false if the message was not sent. */
  readonly send: (nodeId: string, message: BatchMessage) => boolean
  /** Called when this node learns of the leader of a term; of itself once it serves as the leader. */
  readonly onLeader: (leader: KnownLeader) => void
  /** Called when the storage or the replica failed; the process must exit without acknowledging anything more. */
  readonly failed: (error: unknown) => void
}

/** The leader of a term. */
export interface KnownLeader {
  readonly nodeId: string
  readonly term: number
}

type ResponseCallback = (response: LeaderResponse) => void

/** Runs the replica, applies committed commands and passes events to the leader. */
export class BatchService extends StateMachine<BatchCommand> {
  readonly #options: BatchServiceOptions
  readonly #replicatedStateMachine: ReplicatedStateMachine<BatchCommand>
  readonly #portCalls: PortCalls
  readonly #codec = new Encoder({ useRecords: false, mapsAsObjects: true })
  readonly #pendingRequests = new Map<string, ResponseCallback>()
  #state: BatchState
  #leader: BatchLeader | undefined
  #tickTimer: NodeJS.Timeout | undefined

  constructor (options: BatchServiceOptions) {
    super()
    this.#options = options
    this.#state = new BatchState(options.settings)
    this.#portCalls = new PortCalls({
      ...options,
      nodeId: options.self.nodeId,
      leadsInTerm: term => this.isActiveLeader && this.replica?.term === term,
      dispatch: event => { this.#dispatch(event) }
    })
    this.#replicatedStateMachine = new ReplicatedStateMachine({
      ...options,
      clock: options.leaseClock,
      stateMachine: this,
      send: ({ to, message }) => { options.send(to.nodeId, { kind: 'raft', from: options.self, to, message }) }
    })
    this.#replicatedStateMachine.start(options.recovered)
  }

  /** Never null: {@link ReplicatedStateMachine} has no replica before its start, which the constructor completes. */
  get replica (): Replica<BatchCommand> | null {
    return this.#replicatedStateMachine.replica
  }

  get leaderNodeId (): string | null {
    return this.replica?.leader?.nodeId ?? null
  }

  /** Latest term that this node knows; 0 before its first one. */
  get term (): number {
    return this.replica?.term ?? 0
  }

  /** Limits of clients' requests in the latest configuration that this node knows. */
  get clientLimits (): VersionedClientLimits | undefined {
    const document = this.#state.directory?.document
    return document === undefined ? undefined : { ...document.clientLimits, version: document.version }
  }

  get isActiveLeader (): boolean {
    return this.#replicatedStateMachine.isActiveLeader
  }

  /** Passes a consensus message to the replica. */
  receiveConsensusMessage ({ from, to, message }: Extract<BatchMessage, { kind: 'raft' }>): void {
    // A message addressed to a former disk of this node must not reach the replica on the new, empty one.
    if (to.diskId !== this.#options.self.diskId) return
    this.#replicatedStateMachine.step({ kind: 'message', from, message })
  }

  /** Handles a request if this node is the active leader; answers `not_leader` otherwise. */
  async handleRequest (request: LeaderRequest): Promise<LeaderResponse> {
    if (!this.#replicatedStateMachine.isActiveLeader || this.#leader === undefined) {
      return { kind: 'not_leader', leaderNodeId: this.leaderNodeId }
    }
    const requestId = randomUUID()
    return await new Promise<LeaderResponse>(resolve => {
      this.#pendingRequests.set(requestId, resolve)
      this.#dispatch({ requestId, ...request })
    })
  }

  /** Proposes to replace a voter, or to add one if `remove` is null. */
  changeVoters (remove: VoterId | null, add: VoterId): void {
    this.#replicatedStateMachine.step({ kind: 'replace_voter', proposalId: randomUUID(), remove, add })
  }

  /** Transfers leadership to another voter before a shutdown. */
  stepDown (): void {
    this.#replicatedStateMachine.step({ kind: 'step_down' })
  }

  async stop (): Promise<void> {
    clearTimeout(this.#tickTimer)
    await this.#replicatedStateMachine.stop()
  }

  override apply (command: BatchCommand, proposalId: string, _index: number, logTimeMs: number): void {
    const result = this.#state.apply(command, logTimeMs)
    this.#dispatch({ kind: 'applied', proposalId, result })
  }

  override encodeSnapshot (): Uint8Array {
    return this.#codec.encode(this.#state.snapshot())
  }

  override restore (content: Uint8Array): void {
    this.#state = BatchState.restore(this.#codec.decode(content) as BatchSnapshot, this.#options.settings)
  }

  override proposalRejected (proposalId: string, isCertain: boolean): void {
    this.#dispatch({ kind: 'rejected', proposalId, isCertain })
  }

  override leadershipStarted (term: number): void {
    const { settings, clock, metrics, log } = this.#options
    const policies = adaptivePolicies({ settings, clock, metrics, log })
    this.#leader = new BatchLeader({ term, state: this.#state, settings, clock, metrics, log, policies })
    this.#dispatch({ kind: 'tick' })
    this.#options.onLeader({ nodeId: this.#options.self.nodeId, term })
  }

  /** This node itself counts as the leader only once it serves as such. */
  override leaderChanged (leader: VoterId | null, term: number): void {
    if (leader === null || leader.nodeId === this.#options.self.nodeId) return
    this.#options.onLeader({ nodeId: leader.nodeId, term })
  }

  override leadershipEnded (): void {
    this.#leader = undefined
    this.#portCalls.endLeadership()
    clearTimeout(this.#tickTimer)
    const pending = [...this.#pendingRequests.values()]
    this.#pendingRequests.clear()
    // Open proposals may still commit under the next leader, so their outcome is unknown.
    const result = fail('outcome_unknown', 'the control leader lost leadership')
    for (const resolve of pending) resolve({ kind: 'result', result })
  }

  #dispatch (event: LeaderEvent): void {
    const leader = this.#leader
    if (leader === undefined) return
    const effects = leader.handle(event)
    for (const effect of effects) this.#performEffect(effect)
    this.#scheduleTick()
  }

  #scheduleTick (): void {
    clearTimeout(this.#tickTimer)
    if (this.#leader === undefined) return
    this.#tickTimer = startTimer(this.#leader.nextTickMs(), () => { this.#dispatch({ kind: 'tick' }) })
  }

  #performEffect (effect: LeaderEffect): void {
    switch (effect.kind) {
      case 'propose':
        this.#replicatedStateMachine.propose(effect.proposalId, effect.command)
        break
      case 'reply':
        this.#respond(effect.requestId, { kind: 'result', result: effect.result })
        break
      case 'reply_worker':
        this.#respond(effect.requestId, {
          kind: 'orders', orders: effect.orders ?? null, leaderNodeId: this.#options.self.nodeId
        })
        break
      case 'begin_maintenance':
        this.#portCalls.beginMaintenance(effect)
        break
      case 'ask_advice':
        this.#portCalls.requestTickets(effect)
        break
    }
  }

  /** A leader that has meanwhile lost its quorum returns no result, since a newer leader could contradict it. */
  #respond (requestId: string, response: LeaderResponse): void {
    const resolve = this.#pendingRequests.get(requestId)
    this.#pendingRequests.delete(requestId)
    if (resolve === undefined) return
    if (this.#replicatedStateMachine.isActiveLeader) return resolve(response)
    resolve({ kind: 'result', result: fail('outcome_unknown', 'the control leader lost its quorum') })
  }
}
