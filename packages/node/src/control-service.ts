/** Control role of a node: replicated log, control state, and the leader's work while this node leads. */
import { randomUUID } from 'node:crypto'
import { fail, type Clock, type EventLog, type Metrics, type Random } from '@comfreygrade/core'
import {
  Replica, type EntryBody, type LogStorage, type RecoveredLog, type ReplicaEffect, type ReplicaSettings, type VoterId
} from '@comfreygrade/consensus'
import {
  ControlLeader, ControlState, defaultControlStateSettings, type ConfigurationStatus, type ControlCommand,
  type ControlEffect, type ControlEvent, type ControlOperation, type ControlResult, type ControlSettings,
  type ControlSnapshot, type GuaranteeValidator, type JobScheduler
} from '@comfreygrade/control'
import { ConfigurationFeed } from './configuration-feed.js'
import type { PeerMessage } from './peer-messages.js'
import { ReplicaRunner } from './replica-runner.js'
import { decideBootstrap, findReplacedVoter, isVoterSetSettled, type ControlPeer } from './voter-bootstrap.js'
import type { WorkerClient } from './worker-client.js'

type Feed = Extract<PeerMessage, { kind: 'feed' }>
type FeedRequest = Extract<PeerMessage, { kind: 'feed_request' }>

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
export class ControlService {
  readonly #options: ControlServiceOptions
  readonly #peers = new Map<string, ControlPeer>()
  readonly #feed: ConfigurationFeed
  readonly #pending = new Map<string, (result: ControlResult) => void>()
  #runner: ReplicaRunner<ControlCommand> | undefined
  #state: ControlState
  #leader: ControlLeader | undefined
  #leaderTimer: NodeJS.Timeout | undefined
  #appliedIndex = 0
  #appliedTerm = 0
  #snapshotIndex = 0
  #isSnapshotUnderWay = false
  #isInitialising = false

  constructor (options: ControlServiceOptions) {
    this.#options = options
    this.#feed = new ConfigurationFeed({
      selfNodeId: options.self.nodeId,
      leaseMs: options.configurationLeaseMs,
      ...options
    })
    this.#state = new ControlState(this.#stateOptions())
    if (options.recovered !== null) this.#run(options.recovered)
  }

  /** What `hello` says about this node. */
  get controlPeer (): ControlPeer {
    return { voter: this.#options.self, voters: this.#runner?.replica.voters ?? null }
  }

  /** Whether no other control node waits for a `hello` of this one. */
  get isVoterSetSettled (): boolean {
    return isVoterSetSettled(this.controlPeer, this.#options.controlNodeIds, this.#peers)
  }

  get #term (): number {
    return this.#runner?.replica.term ?? 0
  }

  /** State of the replica, or null before the first start is complete. */
  get replica (): Replica<ControlCommand> | null {
    return this.#runner?.replica ?? null
  }

  /** Node that leads as far as this replica knows. */
  get leaderNodeId (): string | null {
    return this.#runner?.replica.leader?.nodeId ?? null
  }

  /** Takes what another control node says about itself. */
  receiveHello (peer: ControlPeer): void {
    this.#peers.set(peer.voter.nodeId, peer)
    if (this.#runner === undefined) this.#bootstrap()
    else this.#replaceReturnedVoter(peer.voter)
  }

  /** Takes a consensus message. */
  receiveRaft (message: Extract<PeerMessage, { kind: 'raft' }>): void {
    // A message to the former disk of this node must not be taken as one to the new disk.
    if (message.to.diskId !== this.#options.self.diskId) return
    this.#runner?.step({ kind: 'message', from: message.from, message: message.message })
  }

  /** Answers an operation if this node leads. */
  async ask (operation: ControlOperation): Promise<ControlResult> {
    const leader = this.#activeLeader()
    if (leader === undefined) return fail('not_leader', 'this node is not the control leader')
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
    if (this.#activeLeader() === undefined) return undefined
    return this.#feed.answer(nodeId, request, this.#state, this.#term)
  }

  /** How far the configuration in force has spread. */
  configurationStatus (): ConfigurationStatus {
    return this.#feed.status(this.#state.configuration.version)
  }

  /** Hands leadership over before a shutdown. */
  stepDown (): void {
    this.#runner?.step({ kind: 'step_down' })
  }

  /** Stops timers and closes the disk. */
  async stop (): Promise<void> {
    this.#runner?.stop()
    clearTimeout(this.#leaderTimer)
    this.#endLeadership()
    await this.#options.storage.close()
  }

  #bootstrap (): void {
    const { self, controlNodeIds, log } = this.#options
    const decision = decideBootstrap(self, controlNodeIds, this.#peers)
    if (decision.kind === 'wait' || this.#isInitialising) return
    log.info('control log initialised', { voters: decision.voters.map(voter => voter.nodeId) })
    const isVoter = decision.voters.some(voter => voter.nodeId === self.nodeId && voter.diskId === self.diskId)
    if (isVoter) this.#writeInitialLog(decision.voters)
    else this.#run(Replica.emptyLog())
  }

  #writeInitialLog (voters: readonly VoterId[]): void {
    const { storage, storageFailed } = this.#options
    const initial = Replica.initialLog<ControlCommand>(voters)
    const { hardState, entries } = initial
    this.#isInitialising = true
    storage.persist({ kind: 'persist', persistId: 0, hardState, entries }).then(
      () => { this.#run(initial) },
      storageFailed
    )
  }

  #run (recovered: RecoveredLog<ControlCommand>): void {
    const { self, replicaSettings, random, clock, storage, storageFailed } = this.#options
    // Keys of claims carry wall time, so the first leader starts log time from it; later ones go on from the log.
    const originLogTimeMs = Math.floor(clock.wallMs())
    const settings = replicaSettings
    const replica = new Replica<ControlCommand>({ id: self, settings, recovered, random, originLogTimeMs })
    this.#runner = new ReplicaRunner(replica, storage, clock, {
      send: effect => { this.#sendRaft(effect) },
      apply: effect => { this.#apply(effect) },
      restore: effect => { this.#restore(effect.snapshot) },
      roleChanged: effect => { this.#roleChanged(effect) },
      proposalRejected: effect => { this.#proposalRejected(effect) },
      storageFailed
    })
    this.#runner.step({ kind: 'tick' })
  }

  #sendRaft (effect: Extract<ReplicaEffect<ControlCommand>, { kind: 'send' }>): void {
    const { self, send } = this.#options
    send(effect.to.nodeId, { kind: 'raft', from: self, to: effect.to, message: effect.message })
  }

  #apply (effect: Extract<ReplicaEffect<ControlCommand>, { kind: 'apply' }>): void {
    for (const entry of effect.entries) {
      if (entry.body.kind === 'voters') this.#votersCommitted(entry.body)
      this.#appliedIndex = entry.index
      this.#appliedTerm = entry.term
      if (entry.body.kind === 'command') {
        const { proposalId, command } = entry.body
        const result = this.#state.apply(command, entry.index, entry.logTimeMs)
        this.#tell({ kind: 'applied', proposalId, index: entry.index, command, result })
        if (command.kind === 'apply_configuration' || command.kind === 'set_drain') this.#pushFeed()
      }
    }
    this.#startLeadershipIfCurrent()
    this.#snapshotIfDue(effect)
  }

  #votersCommitted ({ voters, outgoingVoters }: Extract<EntryBody<ControlCommand>, { kind: 'voters' }>): void {
    if (outgoingVoters.length > 0) return
    this.#options.log.info('voter set in force', { voters: voters.map(voter => `${voter.nodeId}/${voter.diskId}`) })
  }

  #proposalRejected (effect: Extract<ReplicaEffect<ControlCommand>, { kind: 'proposal_rejected' }>): void {
    const { proposalId, reason } = effect
    this.#options.metrics.increment('consensus.proposal_rejected', { reason })
    const outcome = reason === 'unknown' ? 'unknown' : 'not_applied'
    this.#tell({ kind: 'proposal_rejected', proposalId, outcome })
  }

  #restore (snapshot: { readonly content: Uint8Array, readonly lastIndex: number, readonly lastTerm: number }): void {
    const content = this.#options.snapshotCodec.decode(snapshot.content)
    this.#state = ControlState.restore(content, this.#stateOptions())
    this.#appliedIndex = snapshot.lastIndex
    this.#appliedTerm = snapshot.lastTerm
    this.#snapshotIndex = snapshot.lastIndex
  }

  #stateOptions () {
    return { settings: defaultControlStateSettings, validator: this.#options.validator }
  }

  #roleChanged (effect: Extract<ReplicaEffect<ControlCommand>, { kind: 'role_changed' }>): void {
    const { role, term, leader } = effect
    this.#options.log.info('replica role changed', { role, term, leaderNodeId: leader?.nodeId ?? null })
    this.#options.metrics.increment('consensus.role_changed', { role })
    if (role !== 'leader') this.#endLeadership()
  }

  /** The state is complete once an entry of the leader's own term is applied. */
  #startLeadershipIfCurrent (): void {
    const replica = this.#runner?.replica
    if (this.#leader !== undefined || replica?.role !== 'leader' || this.#appliedTerm !== replica.term) return
    const { createScheduler, controlSettings, metrics, log } = this.#options
    this.#feed.restart()
    this.#leader = new ControlLeader({
      term: replica.term,
      state: this.#state,
      scheduler: createScheduler(),
      settings: controlSettings,
      metrics,
      log
    })
    log.info('control leadership started', { term: replica.term })
    this.#tell({ kind: 'tick' })
    this.#pushFeed()
  }

  #endLeadership (): void {
    const leader = this.#leader
    if (leader === undefined) return
    this.#leader = undefined
    clearTimeout(this.#leaderTimer)
    for (const effect of leader.close(this.#options.clock.monotonicMs())) {
      if (effect.kind === 'reply') this.#carryOut(effect)
    }
    this.#options.log.info('control leadership ended')
    const pending = [...this.#pending.values()]
    this.#pending.clear()
    // Proposals may still commit under the next leader, so nothing is said about them.
    for (const resolve of pending) resolve(fail('outcome_unknown', 'the control leader lost its role'))
  }

  #activeLeader (): ControlLeader | undefined {
    const isCurrent = this.#runner?.replica.hasQuorumLease(this.#options.clock.monotonicMs()) ?? false
    return isCurrent ? this.#leader : undefined
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
        this.#runner?.step({ kind: 'propose', proposalId: effect.proposalId, command: effect.command })
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
    const replica = this.#runner?.replica
    if (replica?.role !== 'leader') return
    const removed = findReplacedVoter(replica.voters, announced)
    if (removed === undefined) return
    this.#options.log.warn('voter returned with a new disk and is replaced', { nodeId: announced.nodeId })
    this.#runner?.step({ kind: 'replace_voter', proposalId: randomUUID(), remove: removed, add: announced })
  }

  #pushFeed (): void {
    if (this.#activeLeader() !== undefined) this.#feed.push(this.#state, this.#term)
  }

  #snapshotIfDue (effect: Extract<ReplicaEffect<ControlCommand>, { kind: 'apply' }>): void {
    const last = effect.entries.at(-1)
    const runner = this.#runner
    if (last === undefined || runner === undefined || this.#isSnapshotUnderWay) return
    if (this.#appliedIndex - this.#snapshotIndex < this.#options.snapshotAfterEntries) return
    const content = this.#options.snapshotCodec.encode(this.#state.snapshot())
    const snapshot = { ...runner.replica.describeSnapshot(last.index), content }
    this.#isSnapshotUnderWay = true
    this.#snapshotIndex = last.index
    this.#options.storage.saveSnapshot(snapshot).then(
      () => {
        this.#isSnapshotUnderWay = false
        runner.step({ kind: 'snapshot_saved', snapshot })
      },
      (error: unknown) => { this.#options.storageFailed(error) }
    )
  }
}
