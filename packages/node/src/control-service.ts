/** Control role of a node: replicated log, control state, and the control leader while this node leads. */
import { randomUUID } from 'node:crypto'
import { fail, UNEXPECTED_ERROR, type Clock, type EventLog, type Metrics, type Random } from '@comfreygrade/core'
import {
  Replica, type LogStorage, type RecoveredLog, type ReplicaEffect, type ReplicaSettings, type VoterId
} from '@comfreygrade/consensus'
import {
  ControlLeader, ControlState, defaultControlStateSettings, type ConfigurationStatus, type ControlCommand,
  type ControlEffect, type ControlEvent, type ControlOperation, type ControlResult, type ControlSettings,
  type ControlSnapshot, type GuaranteeValidator, type JobScheduler
} from '@comfreygrade/control'
import { startTimer } from '@comfreygrade/timers'
import { ConfigurationFeed } from './configuration-feed.js'
import type { PeerMessage } from './peer-messages.js'
import { ReplicatedStateMachine, StateMachine } from './replica-host.js'
import { decideBootstrap, findReplacedVoter, isVoterSetStable, type ControlPeer } from './voter-bootstrap.js'
import type { WorkerClient } from './worker-client.js'

type Feed = Extract<PeerMessage, { kind: 'feed' }>
type FeedRequest = Extract<PeerMessage, { kind: 'feed_request' }>
type SendEffect = Extract<ReplicaEffect<ControlCommand>, { kind: 'send' }>

/** Encodes snapshots of the control state. */
export abstract class SnapshotCodec {
  abstract encode (snapshot: ControlSnapshot): Uint8Array
  abstract decode (content: Uint8Array): ControlSnapshot
}

/** Options of {@link ControlService}. */
export interface ControlServiceOptions {
  readonly self: VoterId
  /** Every node of the system, for the configuration feed. */
  readonly nodeIds: readonly string[]
  readonly controlNodeIds: readonly string[]
  readonly storage: LogStorage<ControlCommand>
  /** The recovered log; null if the log is not initialised, that is, has neither entries nor a snapshot. */
  readonly recovered: RecoveredLog<ControlCommand> | null
  readonly snapshotCodec: SnapshotCodec
  readonly snapshotAfterEntries: number
  readonly snapshotAfterBytes: number
  readonly configurationLeaseMs: number
  readonly replicaSettings: ReplicaSettings
  readonly controlSettings: ControlSettings
  readonly createScheduler: () => JobScheduler
  readonly validator: GuaranteeValidator
  readonly workerClient: WorkerClient
  readonly random: Random
  readonly clock: Clock
  readonly metrics: Metrics
  readonly log: EventLog
  readonly send: (nodeId: string, message: PeerMessage) => boolean
  /** Delivers a feed to this node's own configuration copy. */
  readonly deliverFeedLocally: (feed: Feed) => void
  readonly failed: (error: unknown) => void
}

/** Runs the consensus replica and the control state machine of a control node. */
export class ControlService extends StateMachine<ControlCommand> {
  readonly #options: ControlServiceOptions
  readonly #peers = new Map<string, ControlPeer>()
  readonly #feed: ConfigurationFeed
  readonly #pendingOperations = new Map<string, (result: ControlResult) => void>()
  readonly #replicatedStateMachine: ReplicatedStateMachine<ControlCommand>
  #state: ControlState
  #leader: ControlLeader | undefined
  #leaderTimer: NodeJS.Timeout | undefined

  constructor (options: ControlServiceOptions) {
    super()
    this.#options = options
    this.#feed = new ConfigurationFeed({
      selfNodeId: options.self.nodeId,
      leaseMs: options.configurationLeaseMs,
      ...options
    })
    this.#state = new ControlState(this.#createStateOptions())
    const send = (effect: SendEffect): void => { this.#sendRaft(effect) }
    this.#replicatedStateMachine = new ReplicatedStateMachine({ ...options, send, stateMachine: this })
    if (options.recovered !== null) this.#replicatedStateMachine.start(options.recovered)
  }

  /** Announced to peers in `hello`. */
  get controlPeer (): ControlPeer {
    return { voter: this.#options.self, voters: this.replica?.voters ?? null }
  }

  /** Whether every control node is a voter with its current disk, so that `hello` can be sent less often. */
  get isVoterSetStable (): boolean {
    return isVoterSetStable(this.controlPeer, this.#options.controlNodeIds, this.#peers)
  }

  get #term (): number {
    return this.replica?.term ?? 0
  }

  /** The consensus replica, or null until the log is initialised. */
  get replica (): Replica<ControlCommand> | null {
    return this.#replicatedStateMachine.replica
  }

  /** Leader known to this replica. */
  get leaderNodeId (): string | null {
    return this.replica?.leader?.nodeId ?? null
  }

  /**
   * Handles the `hello` of another control node: starts the replica if it does not run yet, or as leader replaces a
   * voter with a new disk.
   */
  receiveHello (peer: ControlPeer): void {
    this.#peers.set(peer.voter.nodeId, peer)
    if (this.replica === null) this.#bootstrap()
    else this.#replaceVoterWithNewDisk(peer.voter)
  }

  /** Passes a consensus message to the replica. */
  receiveRaft (message: Extract<PeerMessage, { kind: 'raft' }>): void {
    // Ignores messages to this node's former disk, which was another voter: the new disk has not stored what the former
    // one acknowledged.
    if (message.to.diskId !== this.#options.self.diskId) return
    this.#replicatedStateMachine.step({ kind: 'message', from: message.from, message: message.message })
  }

  /** Executes an operation; fails with `not_leader` unless this node leads. */
  async execute (operation: ControlOperation): Promise<ControlResult> {
    if (!this.#replicatedStateMachine.isActiveLeader) return fail('not_leader', 'this node is not the control leader')
    if (operation.kind === 'get_configuration_status') {
      return { ok: true, value: { kind: 'configuration_status', status: this.configurationStatus() } }
    }
    const requestId = randomUUID()
    return await new Promise<ControlResult>(resolve => {
      this.#pendingOperations.set(requestId, resolve)
      this.#handleEvent({ kind: 'operation', requestId, operation })
    })
  }

  /** Answers a node's feed request, which also renews its configuration lease; undefined unless this node leads. */
  answerFeedRequest (nodeId: string, request: FeedRequest): Feed | undefined {
    if (!this.#replicatedStateMachine.isActiveLeader) return undefined
    return this.#feed.answer(nodeId, request, this.#state, this.#term)
  }

  /** Which nodes have acknowledged the current configuration version. */
  configurationStatus (): ConfigurationStatus {
    return this.#feed.status(this.#state.configuration.version)
  }

  /** Transfers leadership to another voter before a shutdown. */
  stepDown (): void {
    this.#replicatedStateMachine.step({ kind: 'step_down' })
  }

  /** Stops the timers and the replica, and closes the storage. */
  async stop (): Promise<void> {
    clearTimeout(this.#leaderTimer)
    await this.#replicatedStateMachine.stop()
  }

  override apply (command: ControlCommand, proposalId: string, index: number, logTimeMs: number): void {
    const result = this.#state.apply(command, index, logTimeMs)
    this.#handleEvent({ kind: 'applied', proposalId, index, command, result })
    if (command.kind === 'apply_configuration' || command.kind === 'set_drain') this.#pushFeed()
  }

  override encodeSnapshot (): Uint8Array {
    return this.#options.snapshotCodec.encode(this.#state.snapshot())
  }

  override restore (content: Uint8Array): void {
    this.#state = ControlState.restore(this.#options.snapshotCodec.decode(content), this.#createStateOptions())
  }

  override proposalRejected (proposalId: string, isNeverApplied: boolean): void {
    this.#handleEvent({ kind: 'proposal_rejected', proposalId, outcome: isNeverApplied ? 'not_applied' : 'unknown' })
  }

  override leadershipStarted (term: number): void {
    const { createScheduler, controlSettings, metrics, log } = this.#options
    this.#feed.startTerm()
    this.#leader = new ControlLeader({
      term,
      state: this.#state,
      scheduler: createScheduler(),
      settings: controlSettings,
      metrics,
      log
    })
    this.#handleEvent({ kind: 'tick' })
    this.#pushFeed()
  }

  override leadershipEnded (): void {
    const leader = this.#leader
    if (leader === undefined) return
    this.#leader = undefined
    clearTimeout(this.#leaderTimer)
    for (const effect of leader.close(this.#options.clock.monotonicMs())) {
      if (effect.kind === 'reply') this.#executeEffect(effect)
    }
    const pending = [...this.#pendingOperations.values()]
    this.#pendingOperations.clear()
    // Pending proposals may still be committed by the next leader, so their outcome is unknown.
    for (const resolve of pending) resolve(fail('outcome_unknown', 'the control leader lost leadership'))
  }

  #bootstrap (): void {
    const { self, controlNodeIds, log } = this.#options
    const decision = decideBootstrap(self, controlNodeIds, this.#peers)
    if (decision.kind === 'wait' || this.#replicatedStateMachine.hasStartedBootstrap) return
    log.info('starting the control replica on an empty disk', { voters: decision.voters.map(voter => voter.nodeId) })
    const isVoter = decision.voters.some(voter => voter.nodeId === self.nodeId && voter.diskId === self.diskId)
    if (isVoter) this.#replicatedStateMachine.bootstrap(decision.voters)
    else this.#replicatedStateMachine.start(Replica.emptyLog())
  }

  #sendRaft (effect: SendEffect): void {
    const { self, send } = this.#options
    send(effect.to.nodeId, { kind: 'raft', from: self, to: effect.to, message: effect.message })
  }

  #createStateOptions () {
    return { settings: defaultControlStateSettings, validator: this.#options.validator }
  }

  #handleEvent (event: ControlEvent): void {
    const leader = this.#leader
    if (leader === undefined) return
    const effects = leader.handle(event, this.#options.clock.monotonicMs())
    for (const effect of effects) this.#executeEffect(effect)
    this.#scheduleLeaderTick()
  }

  #executeEffect (effect: ControlEffect): void {
    switch (effect.kind) {
      case 'propose':
        this.#replicatedStateMachine.propose(effect.proposalId, effect.command)
        break
      case 'send_orders':
        this.#sendOrders(effect)
        break
      case 'reply':
        this.#pendingOperations.get(effect.requestId)?.(effect.result)
        this.#pendingOperations.delete(effect.requestId)
        break
    }
  }

  async #sendOrders (effect: Extract<ControlEffect, { kind: 'send_orders' }>): Promise<void> {
    const { messageId, address, term, orders } = effect
    const results = await this.#options.workerClient.send(address, term, orders)
      .catch((error: unknown) => this.#recordUnsentOrders(address, error))
    this.#handleEvent(results === undefined
      ? { kind: 'orders_failed', messageId }
      : { kind: 'orders_answered', messageId, results })
  }

  /** The orders could not be sent, which is a fault of the program; they are sent again like those of a lost answer. */
  #recordUnsentOrders (address: string, error: unknown): undefined {
    this.#options.metrics.increment('port.failed', { port: 'worker' })
    this.#options.log.warn(`${UNEXPECTED_ERROR} of the worker client`, { address, detail: String(error) })
  }

  #scheduleLeaderTick (): void {
    clearTimeout(this.#leaderTimer)
    const wakeAtMs = this.#leader?.nextWakeAtMs()
    if (wakeAtMs === undefined || wakeAtMs === Infinity) return
    const delayMs = Math.max(1, wakeAtMs - this.#options.clock.monotonicMs())
    this.#leaderTimer = startTimer(delayMs, () => { this.#handleEvent({ kind: 'tick' }) })
  }

  #replaceVoterWithNewDisk (announced: VoterId): void {
    const { replica } = this
    if (replica?.role !== 'leader') return
    const removed = findReplacedVoter(replica.voters, announced)
    if (removed === undefined) return
    this.#options.log.warn('voter has a new disk and is being replaced', { nodeId: announced.nodeId })
    this.#replicatedStateMachine.step({ kind: 'replace_voter', proposalId: randomUUID(), remove: removed, add: announced })
  }

  #pushFeed (): void {
    if (this.#replicatedStateMachine.isActiveLeader) this.#feed.push(this.#state, this.#term)
  }
}
