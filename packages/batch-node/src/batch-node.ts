/** Connects the parts of one process: peer links, leader client and, if the process has a disk, the control service. */
import type { BatchOperation, BatchResult, WorkerReport } from '@comfreygrade/batch'
import { fail } from '@comfreygrade/core'
import type { VoterId } from '@comfreygrade/consensus'
import { PeerLinks, type LinkMessage, type PeerAddress } from '@comfreygrade/node/adapters'
import { pause, startInterval } from '@comfreygrade/timers'
import { BatchService, type BatchServiceOptions, type KnownLeader } from './batch-service.js'
import type { ControlDisk } from './control-disk.js'
import { ControlMembership } from './control-membership.js'
import { LeaderClient } from './leader-client.js'
import { isValidMessage } from './message-validation.js'
import { RefusalCache } from './refusal-cache.js'
import type { LeaderRequest, LeaderResponse, BatchMessage, ControlNodeInfo, VersionedClientLimits } from './messages.js'

/** Options of {@link BatchNode}. */
export interface BatchNodeOptions
  extends Omit<BatchServiceOptions, 'self' | 'storage' | 'recovered' | 'send' | 'onLeader'> {
  readonly nodeId: string
  readonly host: string
  readonly port: number
  /** Control nodes that are dialled at the start, from which all others are discovered. */
  readonly seeds: readonly PeerAddress[]
  /** Absent on a process without a disk, which never becomes a control node. */
  readonly disk?: ControlDisk
  /** Limits of the links that other processes dial; see `PeerLinksOptions`. */
  readonly maxReceiveBytes?: number
  readonly maxIncomingLinks?: number
  /** Called with the limits of each newer configuration that a control node names. */
  readonly onClientLimits?: (limits: VersionedClientLimits) => void
  /** Number of voters if there are enough control nodes. */
  readonly targetVoterCount: number
}

/** Interval of `hello` messages of control nodes, and of the tasks that follow from them. */
const HELLO_INTERVAL_MS = 1_000
/**
 * A process without a disk, of which there are many, sends `hello` every so many intervals. The responses tell it of
 * new control nodes; a new leader announces itself.
 */
const ENTRY_HELLO_INTERVALS = 4
/** Interval of pings on a link. */
const LINK_PING_INTERVAL_MS = 300
/** A link that has received nothing for this long is replaced, since an open connection may go silent permanently. */
const LINK_SILENCE_MS = 1_100
const LINK_REDIAL_MS = 150
/** Time between stepping down and closing the links, in which the transfer of leadership reaches the other voters. */
const LEADERSHIP_TRANSFER_MS = 250
/** A voter that has been silent for this long is replaced if there is a standby. */
const VOTER_REPLACE_AFTER_MS = 2_500

/**
 * One process of the batch scheduler. A process with a disk is a control node; the control node that leads the voters
 * is the control leader.
 */
export class BatchNode {
  readonly #options: BatchNodeOptions
  readonly #links: PeerLinks<BatchMessage>
  readonly #membership: ControlMembership
  readonly #service: BatchService | undefined
  readonly #leaderClient: LeaderClient
  readonly #startedWallMs: number
  readonly #refusals: RefusalCache
  #leaderHint: string | null = null
  /** Highest term of which this node knows the leader. */
  #leaderTerm = 0
  #clientLimitsVersion = -Infinity
  #helloTimer: NodeJS.Timeout | undefined
  #intervalCount = 0

  constructor (options: BatchNodeOptions) {
    this.#options = options
    const { clock, metrics, nodeId } = options
    this.#startedWallMs = Math.floor(clock.wallMs())
    this.#refusals = new RefusalCache(clock)
    this.#membership = new ControlMembership({
      clock, targetVoterCount: options.targetVoterCount, replaceSilentAfterMs: VOTER_REPLACE_AFTER_MS
    })
    this.#links = this.#createLinks()
    this.#leaderClient = new LeaderClient({
      nodeId,
      clock,
      metrics,
      candidates: () => this.#leaderCandidates(),
      send: (to, message) => this.#links.send(to, message),
      handleLocally: async request => await this.#handleLocally(request),
      onLeaderHint: leaderNodeId => { this.#leaderHint = leaderNodeId }
    })
    this.#service = this.#createService()
  }

  /** Starts listening and dials the seeds. */
  async start (): Promise<void> {
    await this.#links.start()
    this.#helloTimer = startInterval(HELLO_INTERVAL_MS, () => { this.#runPeriodicTasks() })
  }

  /** Executes an operation of a client or an operator on the leader. */
  async execute (operation: BatchOperation, timeoutMs: number): Promise<BatchResult> {
    const cached = this.#refusals.recall(operation)
    if (cached !== undefined) {
      this.#options.metrics.increment('admission.refusal_repeated')
      return cached
    }
    const sentAtMs = this.#options.clock.monotonicMs()
    const result = await this.#leaderClient.execute(operation, timeoutMs)
    this.#refusals.record(operation, result, sentAtMs)
    return result
  }

  /** Forwards a heartbeat to the leader; resolves to undefined if no leader answered it. */
  async forwardHeartbeat (report: WorkerReport, timeoutMs: number): Promise<Extract<LeaderResponse, { kind: 'orders' }> | undefined> {
    const response = await this.#leaderClient.requestOnce({ kind: 'report', report }, timeoutMs)
    return response?.kind === 'orders' ? response : undefined
  }

  /** Tells the leader that a worker has left; resolves to whether a leader has handled the message. */
  async forwardWorkerLeft (workerId: string, timeoutMs: number): Promise<boolean> {
    const response = await this.#leaderClient.requestOnce({ kind: 'worker_left', workerId }, timeoutMs)
    return response?.kind === 'orders'
  }

  /** Whether this process can forward requests: its own control service knows a leader, or a peer is connected. */
  get isConnected (): boolean {
    return this.#service?.leaderNodeId != null || this.#links.connectedNodeIds().length > 0
  }

  /** How many more voters may fail without loss of data or service; null on a process that does not lead. */
  get survivableLosses (): number | null {
    return this.#service?.replica?.survivableLosses ?? null
  }

  /** Voter set as known to this process; empty on a process without a disk. */
  get voters (): readonly VoterId[] {
    return this.#service?.replica?.voters ?? []
  }

  /**
   * Dials seeds that were added to the settings while the process runs. Unlike the seeds of the options, one that is
   * not a known control node by the next periodic task is dropped again.
   */
  addSeeds (seeds: readonly PeerAddress[]): void {
    for (const seed of seeds) this.#links.addPeer(seed)
  }

  /** Transfers leadership to another control node, if this one leads, and goes on as a follower. */
  resignLeadership (): void {
    this.#service?.stepDown()
  }

  /** Announces the shutdown, transfers leadership, then stops the control service and closes the links. */
  async stop (): Promise<void> {
    clearInterval(this.#helloTimer)
    const voter = this.#ownControlInfo()?.voter
    if (voter !== undefined) this.#links.broadcast({ kind: 'leaving', voter })
    this.#service?.stepDown()
    await pause(this.#service === undefined ? 0 : LEADERSHIP_TRANSFER_MS)
    await this.#service?.stop()
    await this.#links.stop()
  }

  #createLinks (): PeerLinks<BatchMessage> {
    const { nodeId, host, port, seeds, clock, metrics, log, maxReceiveBytes, maxIncomingLinks } = this.#options
    return new PeerLinks<BatchMessage>({
      nodeId,
      host,
      port,
      peers: seeds,
      acceptsUnknownNodes: true,
      pingIntervalMs: LINK_PING_INTERVAL_MS,
      silenceTimeoutMs: LINK_SILENCE_MS,
      redialDelayMs: LINK_REDIAL_MS,
      maxReceiveBytes,
      maxIncomingLinks,
      clock,
      metrics,
      log,
      hello: () => this.#helloMessage(),
      onMessage: (from, message) => { this.#receive(from, message) },
      // The link itself sends `hello`.
      onConnect: () => {},
      onDisconnect: from => { this.#leaderClient.handleDisconnect(from) }
    })
  }

  #createService (): BatchService | undefined {
    const { disk, nodeId } = this.#options
    if (disk === undefined) return undefined
    return new BatchService({
      ...this.#options,
      self: { nodeId, diskId: disk.diskId },
      storage: disk.storage,
      recovered: disk.recovered,
      send: (to, message) => this.#links.send(to, message),
      onLeader: leader => { this.#handleLeader(leader) }
    })
  }

  /**
   * Sends the requests that wait for a former leader to the new one. A new leader tells all nodes at once that it
   * leads.
   */
  #handleLeader ({ nodeId, term }: KnownLeader): void {
    if (term <= this.#leaderTerm) return
    this.#leaderTerm = term
    this.#leaderHint = nodeId
    this.#refusals.clear()
    this.#leaderClient.handleLeaderChange(nodeId)
    if (nodeId === this.#options.nodeId) this.#links.broadcastToAll(this.#membersMessage())
  }

  #membersMessage (): BatchMessage {
    const { leaderNodeId = null, term = 0, clientLimits } = this.#service ?? {}
    const optional = clientLimits === undefined ? {} : { clientLimits }
    return { kind: 'members', nodes: this.#knownNodes(), leaderNodeId, term, ...optional }
  }

  #receive (from: string, message: BatchMessage): void {
    if (!isValidMessage(message)) return this.#rejectMalformed(from, message)
    this.#membership.recordContact(from)
    switch (message.kind) {
      case 'hello': this.#receiveHello(message); break
      case 'members': this.#receiveMembers(message); break
      case 'raft': this.#service?.receiveConsensusMessage(message); break
      case 'ask': this.#handlePeerRequest(from, message); break
      case 'answer': this.#leaderClient.receiveResponse(message); break
      case 'leaving': this.#membership.markLeaving(from); this.#adjustVoters(); break
    }
  }

  /** The sender may run another version; its other messages are still handled. */
  #rejectMalformed (from: string, { kind }: LinkMessage): void {
    this.#options.metrics.increment('peer.malformed_message')
    this.#options.log.warn('malformed message of a peer ignored', { peerId: from, kind })
  }

  #receiveHello ({ nodeId, control }: Extract<BatchMessage, { kind: 'hello' }>): void {
    if (control !== null) {
      this.#membership.recordAnnouncement(control)
      this.#links.addPeer(control)
    }
    if (this.#service === undefined) return
    this.#links.send(nodeId, this.#membersMessage())
    if (control !== null) this.#adjustVoters()
  }

  /** A node of an older version names no term; its leader is only tried first. */
  #receiveMembers (message: Extract<BatchMessage, { kind: 'members' }>): void {
    const { nodes, leaderNodeId, term, clientLimits } = message
    if (clientLimits !== undefined) this.#receiveClientLimits(clientLimits)
    if (leaderNodeId !== null && term !== undefined) this.#handleLeader({ nodeId: leaderNodeId, term })
    else this.#leaderHint = leaderNodeId ?? this.#leaderHint
    for (const node of nodes) {
      if (node.nodeId === this.#options.nodeId) continue
      this.#membership.addIfUnknown(node)
      this.#links.addPeer(node)
    }
  }

  /** A control node that lags behind names an earlier configuration, which is ignored. */
  #receiveClientLimits (limits: VersionedClientLimits): void {
    if (limits.version <= this.#clientLimitsVersion) return
    this.#clientLimitsVersion = limits.version
    this.#options.onClientLimits?.(limits)
  }

  #knownNodes (): ControlNodeInfo[] {
    const own = this.#ownControlInfo()
    const known = this.#membership.forgetSilentNodes(this.voters)
    return own === null ? known : [own, ...known]
  }

  /** Null on a process without a disk. */
  #ownControlInfo (): ControlNodeInfo | null {
    const { disk, nodeId, host, port } = this.#options
    if (disk === undefined) return null
    const voter = { nodeId, diskId: disk.diskId }
    return { nodeId, host, port, voter, startedWallMs: this.#startedWallMs }
  }

  #helloMessage (): BatchMessage {
    return { kind: 'hello', nodeId: this.#options.nodeId, control: this.#ownControlInfo(), readsNumberedFields: true }
  }

  #runPeriodicTasks (): void {
    this.#intervalCount++
    const isHelloDue = this.#service !== undefined || this.#intervalCount % ENTRY_HELLO_INTERVALS === 0
    if (isHelloDue) this.#links.broadcast(this.#helloMessage())
    this.#adjustVoters()
    this.#removeForgottenPeers()
  }

  /** Stops dialling nodes that the membership does not know. The seeds of the options are dialled indefinitely. */
  #removeForgottenPeers (): void {
    const { seeds } = this.#options
    const known = new Set([...this.#knownNodes(), ...seeds].map(node => node.nodeId))
    for (const nodeId of this.#links.peerNodeIds()) if (!known.has(nodeId)) this.#links.removePeer(nodeId)
  }

  #adjustVoters (): void {
    const service = this.#service
    const own = this.#ownControlInfo()
    if (service === undefined || own === null || !service.isActiveLeader) return
    const change = this.#membership.nextVoterChange(this.voters, own.voter)
    if (change === undefined) return
    // Repeated by each periodic task until the change is committed.
    this.#options.log.warn('proposing a change of the voter set', { ...change })
    service.changeVoters(change.remove, change.add)
  }

  async #handlePeerRequest (from: string, { requestId, ask: request }: Extract<BatchMessage, { kind: 'ask' }>): Promise<void> {
    const response = await this.#handleLocally(request)
    this.#links.send(from, { kind: 'answer', requestId, answer: response })
  }

  async #handleLocally (request: LeaderRequest): Promise<LeaderResponse> {
    if (this.#service === undefined) return { kind: 'not_leader', leaderNodeId: null }
    return await this.#service.handleRequest(request).catch((error: unknown): LeaderResponse => {
      this.#options.log.warn('unexpected error of the control service', { detail: String(error) })
      return { kind: 'result', result: fail('internal_error', 'the control service failed to handle the request') }
    })
  }

  /** Nodes to send a request to: the presumed leader first, if any, then all other connected nodes. */
  #leaderCandidates (): string[] {
    const leader = this.#service?.leaderNodeId ?? this.#leaderHint
    const connected = this.#links.connectedNodeIds()
    const others = connected.filter(nodeId => nodeId !== leader)
    const first = leader !== null && (leader === this.#options.nodeId || connected.includes(leader)) ? [leader] : []
    return [...first, ...others]
  }
}
