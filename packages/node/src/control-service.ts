/** Control role of a node: replicated log, control state, and the leader's work while this node leads. */
import { randomUUID } from 'node:crypto'
import { fail, type Clock, type EventLog, type Metrics, type Random } from '@comfreygrade/core'
import {
  Replica, type LogStorage, type RecoveredLog, type ReplicaEffect, type ReplicaSettings, type VoterId
} from '@comfreygrade/consensus'
import {
  ControlLeader, ControlState, defaultControlStateSettings, type ConfigurationStatus, type ControlCommand,
  type ControlEffect, type ControlEvent, type ControlOperation, type ControlResult, type ControlSettings,
  type ControlSnapshot, type GuaranteeValidator, type JobScheduler
} from '@comfreygrade/control'
import { ConfigurationFeed } from './configuration-feed.js'
import type { PeerMessage } from './peer-messages.js'
import { ReplicaHost, StateMachine } from './replica-host.js'
import { decideBootstrap, findReplacedVoter, isVoterSetSettled, type ControlPeer } from './voter-bootstrap.js'
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
  /** What the disk held at start; null in an empty data folder. */
  readonly recovered: RecoveredLog<ControlCommand> | null
  readonly snapshotCodec: SnapshotCodec
  readonly snapshotAfterEntries: number
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
  /** Delivers a feed to this node's own configuration replica. */
  readonly feedLocal: (feed: Feed) => void
  readonly storageFailed: (error: unknown) => void
}

/** Runs consensus and control on a node with a disk. */
export class ControlService extends StateMachine<ControlCommand> {
  readonly #options: ControlServiceOptions
  readonly #peers = new Map<string, ControlPeer>()
  readonly #feed: ConfigurationFeed
  readonly #pending = new Map<string, (result: ControlResult) => void>()
  readonly #host: ReplicaHost<ControlCommand>
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
    this.#state = new ControlState(this.#stateOptions())
    const send = (effect: SendEffect): void => { this.#sendRaft(effect) }
    this.#host = new ReplicaHost({ ...options, send, machine: this })
    if (options.recovered !== null) this.#host.run(options.recovered)
  }

  /** What `hello` says about this node. */
  get controlPeer (): ControlPeer {
    return { voter: this.#options.self, voters: this.replica?.voters ?? null }
  }

  /** Whether no other control node waits for a `hello` of this one. */
  get isVoterSetSettled (): boolean {
    return isVoterSetSettled(this.controlPeer, this.#options.controlNodeIds, this.#peers)
  }

  get #term (): number {
    return this.replica?.term ?? 0
  }

  /** State of the replica, or null before the first start is complete. */
  get replica (): Replica<ControlCommand> | null {
    return this.#host.replica
  }

  /** Node that leads as far as this replica knows. */
  get leaderNodeId (): string | null {
    return this.replica?.leader?.nodeId ?? null
  }

  /** Takes what another control node says about itself. */
  receiveHello (peer: ControlPeer): void {
    this.#peers.set(peer.voter.nodeId, peer)
    if (this.replica === null) this.#bootstrap()
    else this.#replaceReturnedVoter(peer.voter)
  }

  /** Takes a consensus message. */
  receiveRaft (message: Extract<PeerMessage, { kind: 'raft' }>): void {
    // A message to the former disk of this node must not be taken as one to the new disk.
    if (message.to.diskId !== this.#options.self.diskId) return
    this.#host.step({ kind: 'message', from: message.from, message: message.message })
  }

  /** Answers an operation if this node leads. */
  async ask (operation: ControlOperation): Promise<ControlResult> {
    if (!this.#host.isActiveLeader) return fail('not_leader', 'this node is not the control leader')
    if (operation.kind === 'get_configuration_status') {
      return { ok: true, value: { kind: 'configuration_status', status: this.configurationStatus() } }
    }
    const requestId = randomUUID()
    return await new Promise<ControlResult>(resolve => {
      this.#pending.set(requestId, resolve)
      this.#tell({ kind: 'operation', requestId, operation })
    })
  }

  /** Answers a node's request for the configuration, which also renews its lease. */
  answerFeed (nodeId: string, request: FeedRequest): Feed | undefined {
    if (!this.#host.isActiveLeader) return undefined
    return this.#feed.answer(nodeId, request, this.#state, this.#term)
  }

  /** How far the configuration in force has spread. */
  configurationStatus (): ConfigurationStatus {
    return this.#feed.status(this.#state.configuration.version)
  }

  /** Hands leadership over before a shutdown. */
  stepDown (): void {
    this.#host.step({ kind: 'step_down' })
  }

  /** Stops timers and closes the disk. */
  async stop (): Promise<void> {
    clearTimeout(this.#leaderTimer)
    await this.#host.stop()
  }

  override apply (command: ControlCommand, proposalId: string, index: number, logTimeMs: number): void {
    const result = this.#state.apply(command, index, logTimeMs)
    this.#tell({ kind: 'applied', proposalId, index, command, result })
    if (command.kind === 'apply_configuration' || command.kind === 'set_drain') this.#pushFeed()
  }

  override encodeSnapshot (): Uint8Array {
    return this.#options.snapshotCodec.encode(this.#state.snapshot())
  }

  override restore (content: Uint8Array): void {
    this.#state = ControlState.restore(this.#options.snapshotCodec.decode(content), this.#stateOptions())
  }

  override proposalRejected (proposalId: string, isCertain: boolean): void {
    this.#tell({ kind: 'proposal_rejected', proposalId, outcome: isCertain ? 'not_applied' : 'unknown' })
  }

  override leadershipStarted (term: number): void {
    const { createScheduler, controlSettings, metrics, log } = this.#options
    this.#feed.restart()
    this.#leader = new ControlLeader({
      term,
      state: this.#state,
      scheduler: createScheduler(),
      settings: controlSettings,
      metrics,
      log
    })
    this.#tell({ kind: 'tick' })
    this.#pushFeed()
  }

  override leadershipEnded (): void {
    const leader = this.#leader
    if (leader === undefined) return
    this.#leader = undefined
    clearTimeout(this.#leaderTimer)
    for (const effect of leader.close(this.#options.clock.monotonicMs())) {
      if (effect.kind === 'reply') this.#carryOut(effect)
    }
    const pending = [...this.#pending.values()]
    this.#pending.clear()
    // Proposals may still commit under the next leader, so nothing is said about them.
    for (const resolve of pending) resolve(fail('outcome_unknown', 'the control leader lost its role'))
  }

  #bootstrap (): void {
    const { self, controlNodeIds, log } = this.#options
    const decision = decideBootstrap(self, controlNodeIds, this.#peers)
    if (decision.kind === 'wait' || this.#host.isInitialising) return
    log.info('control log initialised', { voters: decision.voters.map(voter => voter.nodeId) })
    const isVoter = decision.voters.some(voter => voter.nodeId === self.nodeId && voter.diskId === self.diskId)
    if (isVoter) this.#host.initialise(decision.voters)
    else this.#host.run(Replica.emptyLog())
  }

  #sendRaft (effect: SendEffect): void {
    const { self, send } = this.#options
    send(effect.to.nodeId, { kind: 'raft', from: self, to: effect.to, message: effect.message })
  }

  #stateOptions () {
    return { settings: defaultControlStateSettings, validator: this.#options.validator }
  }

  #tell (event: ControlEvent): void {
    const leader = this.#leader
    if (leader === undefined) return
    const effects = leader.handle(event, this.#options.clock.monotonicMs())
    for (const effect of effects) this.#carryOut(effect)
    this.#scheduleLeader()
  }

  #carryOut (effect: ControlEffect): void {
    switch (effect.kind) {
      case 'propose':
        this.#host.step({ kind: 'propose', proposalId: effect.proposalId, command: effect.command })
        break
      case 'send_orders':
        this.#sendOrders(effect)
        break
      case 'reply':
        this.#pending.get(effect.requestId)?.(effect.result)
        this.#pending.delete(effect.requestId)
        break
    }
  }

  async #sendOrders (effect: Extract<ControlEffect, { kind: 'send_orders' }>): Promise<void> {
    const { orderId, address, term, orders } = effect
    const results = await this.#options.workerClient.send(address, term, orders)
    this.#tell(results === undefined
      ? { kind: 'orders_failed', orderId }
      : { kind: 'orders_answered', orderId, results })
  }

  #scheduleLeader (): void {
    clearTimeout(this.#leaderTimer)
    const wakeAtMs = this.#leader?.nextWakeAtMs()
    if (wakeAtMs === undefined || wakeAtMs === Infinity) return
    const delayMs = Math.max(1, wakeAtMs - this.#options.clock.monotonicMs())
    this.#leaderTimer = setTimeout(() => { this.#tell({ kind: 'tick' }) }, delayMs)
  }

  #replaceReturnedVoter (announced: VoterId): void {
    const { replica } = this
    if (replica?.role !== 'leader') return
    const removed = findReplacedVoter(replica.voters, announced)
    if (removed === undefined) return
    this.#options.log.warn('voter returned with a new disk and is replaced', { nodeId: announced.nodeId })
    this.#host.step({ kind: 'replace_voter', proposalId: randomUUID(), remove: removed, add: announced })
  }

  #pushFeed (): void {
    if (this.#host.isActiveLeader) this.#feed.push(this.#state, this.#term)
  }
}
