/** Wires the parts of one process: links, control role where it has a disk, and the way to the leader. */
import type { BatchOperation, BatchResult, WorkerReport } from '@comfreygrade/batch'
import type { VoterId } from '@comfreygrade/consensus'
import { PeerLinks, type PeerAddress } from '@comfreygrade/node/adapters'
import { BatchService, type BatchServiceOptions } from './batch-service.js'
import type { ControlDisk } from './control-disk.js'
import { ControlMembers } from './control-members.js'
import { LeaderClient } from './leader-client.js'
import type { Ask, AskAnswer, BatchMessage, ControlNodeInfo } from './messages.js'

/** Options of {@link BatchNode}. */
export interface BatchNodeOptions extends Omit<BatchServiceOptions, 'self' | 'storage' | 'recovered' | 'send'> {
  readonly nodeId: string
  readonly host: string
  readonly port: number
  /** Control nodes to start from. */
  readonly seeds: readonly PeerAddress[]
  /** Absent on a process without a disk. */
  readonly disk?: ControlDisk
  readonly wantedVoters: number
}

/** Interval of `hello`, which also tells processes of new control nodes. */
const HELLO_INTERVAL_MS = 1_000
/** Interval at which links are checked for silence. */
const LINK_PING_INTERVAL_MS = 300
/** A link without a sign of life for this long is replaced: open connections may go silent for good. */
const LINK_SILENCE_MS = 1_100
const LINK_REDIAL_MS = 150
/** Time for the other voters to hear that leadership was handed over. */
const STEP_DOWN_MS = 250
/** A voter that has been silent for this long is replaced where there is a standby. */
const REPLACE_AFTER_MS = 2_500

/** One process of the batch scheduler. */
export class BatchNode {
  readonly #options: BatchNodeOptions
  readonly #links: PeerLinks<BatchMessage>
  readonly #members: ControlMembers
  readonly #service: BatchService | undefined
  readonly #client: LeaderClient
  readonly #startedWallMs: number
  #leaderHint: string | null = null
  #helloTimer: NodeJS.Timeout | undefined

  constructor (options: BatchNodeOptions) {
    this.#options = options
    const { clock, metrics, nodeId } = options
    this.#startedWallMs = Math.floor(clock.wallMs())
    this.#members = new ControlMembers({ clock, wantedVoters: options.wantedVoters, replaceAfterMs: REPLACE_AFTER_MS })
    this.#links = this.#createLinks()
    this.#service = this.#createService()
    this.#client = new LeaderClient({
      nodeId,
      clock,
      metrics,
      candidates: () => this.#candidates(),
      send: (to, message) => this.#links.send(to, message),
      askLocal: async ask => await this.#askLocal(ask),
      leaderHinted: leaderNodeId => { this.#leaderHint = leaderNodeId }
    })
  }

  /** Listens and dials the seeds. */
  async start (): Promise<void> {
    await this.#links.start()
    this.#helloTimer = setInterval(() => { this.#everySecond() }, HELLO_INTERVAL_MS)
  }

  /** Carries out an operation of a caller or an operator. */
  async operate (operation: BatchOperation, timeoutMs: number): Promise<BatchResult> {
    return await this.#client.operate(operation, timeoutMs)
  }

  /** Hands a heartbeat to the leader; undefined where none answered. */
  async report (report: WorkerReport, timeoutMs: number): Promise<Extract<AskAnswer, { kind: 'orders' }> | undefined> {
    const answer = await this.#client.askOnce({ kind: 'report', report }, timeoutMs)
    return answer?.kind === 'orders' ? answer : undefined
  }

  /** Tells the leader that a worker has left. */
  async workerLeft (workerId: string, timeoutMs: number): Promise<boolean> {
    return await this.#client.askOnce({ kind: 'worker_left', workerId }, timeoutMs) !== undefined
  }

  /** Whether a control node is connected, so that requests can be served. */
  get isConnected (): boolean {
    return this.#service?.leaderNodeId != null || this.#links.connectedNodeIds().length > 0
  }

  /** Control nodes that may be lost now with nothing lost; null on a process that does not lead. */
  get survivableLosses (): number | null {
    return this.#service?.replica?.survivableLosses ?? null
  }

  /** Voters as this process knows them; empty on a process without a disk. */
  get voters (): readonly VoterId[] {
    return this.#service?.replica?.voters ?? []
  }

  /** Dials seeds that the settings name now. */
  setSeeds (seeds: readonly PeerAddress[]): void {
    for (const seed of seeds) this.#links.addPeer(seed)
  }

  /** Hands leadership over and closes everything. */
  async stop (): Promise<void> {
    clearInterval(this.#helloTimer)
    const voter = this.#controlInfo()?.voter
    if (voter !== undefined) this.#links.broadcast({ kind: 'leaving', voter })
    this.#service?.stepDown()
    await new Promise<void>(resolve => { setTimeout(resolve, this.#service === undefined ? 0 : STEP_DOWN_MS) })
    await this.#service?.stop()
    await this.#links.stop()
  }

  #createLinks (): PeerLinks<BatchMessage> {
    const { nodeId, host, port, seeds, clock, metrics, log } = this.#options
    return new PeerLinks<BatchMessage>({
      nodeId,
      host,
      port,
      peers: seeds,
      acceptsUnknownNodes: true,
      pingIntervalMs: LINK_PING_INTERVAL_MS,
      silenceMs: LINK_SILENCE_MS,
      redialMs: LINK_REDIAL_MS,
      clock,
      metrics,
      log,
      hello: () => this.#hello(),
      onMessage: (from, message) => { this.#receive(from, message) },
      onConnect: () => {},
      onDisconnect: from => { this.#client.disconnected(from) }
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
      send: (to, message) => this.#links.send(to, message)
    })
  }

  #receive (from: string, message: BatchMessage): void {
    this.#members.heard(from)
    switch (message.kind) {
      case 'hello': this.#receiveHello(message); break
      case 'members': this.#receiveMembers(message); break
      case 'raft': this.#service?.receiveRaft(message); break
      case 'ask': this.#answerPeer(from, message); break
      case 'answer': this.#client.receive(message); break
      case 'leaving': this.#members.leaving(from); this.#adjustVoters(); break
    }
  }

  #receiveHello ({ nodeId, control }: Extract<BatchMessage, { kind: 'hello' }>): void {
    if (control !== null) {
      this.#members.announce(control)
      this.#links.addPeer(control)
    }
    if (this.#service === undefined) return
    this.#links.send(nodeId, { kind: 'members', nodes: this.#knownNodes(), leaderNodeId: this.#service.leaderNodeId })
    if (control !== null) this.#adjustVoters()
  }

  #receiveMembers ({ nodes, leaderNodeId }: Extract<BatchMessage, { kind: 'members' }>): void {
    if (leaderNodeId !== null) this.#leaderHint = leaderNodeId
    for (const node of nodes) {
      if (node.nodeId === this.#options.nodeId) continue
      this.#members.learn(node)
      this.#links.addPeer(node)
    }
  }

  #knownNodes (): ControlNodeInfo[] {
    const own = this.#controlInfo()
    const known = this.#members.nodes(this.voters)
    return own === null ? known : [own, ...known]
  }

  #controlInfo (): ControlNodeInfo | null {
    const { disk, nodeId, host, port } = this.#options
    if (disk === undefined) return null
    const voter = { nodeId, diskId: disk.diskId }
    return { nodeId, host, port, voter, startedWallMs: this.#startedWallMs }
  }

  #hello (): BatchMessage {
    return { kind: 'hello', nodeId: this.#options.nodeId, control: this.#controlInfo(), readsNumberedFields: true }
  }

  #everySecond (): void {
    this.#links.broadcast(this.#hello())
    this.#adjustVoters()
    this.#dropForgottenPeers()
  }

  /** Nodes that are gone for good are not dialled for ever; seeds always are. */
  #dropForgottenPeers (): void {
    const { seeds } = this.#options
    const known = new Set([...this.#knownNodes(), ...seeds].map(node => node.nodeId))
    for (const nodeId of this.#links.peerNodeIds()) if (!known.has(nodeId)) this.#links.removePeer(nodeId)
  }

  #adjustVoters (): void {
    const service = this.#service
    const own = this.#controlInfo()
    if (service === undefined || own === null || !service.isActiveLeader) return
    const change = this.#members.nextVoterChange(this.voters, own.voter)
    if (change === undefined) return
    this.#options.log.warn('voter set is changed', { ...change })
    service.changeVoters(change.remove, change.add)
  }

  async #answerPeer (from: string, { requestId, ask }: Extract<BatchMessage, { kind: 'ask' }>): Promise<void> {
    const answer = await this.#askLocal(ask)
    this.#links.send(from, { kind: 'answer', requestId, answer })
  }

  async #askLocal (ask: Ask): Promise<AskAnswer> {
    return await this.#service?.ask(ask) ?? { kind: 'not_leader', leaderNodeId: null }
  }

  /** The leader as far as it is known, then every other control node. */
  #candidates (): string[] {
    const leader = this.#service?.leaderNodeId ?? this.#leaderHint
    const connected = this.#links.connectedNodeIds()
    const others = connected.filter(nodeId => nodeId !== leader)
    const first = leader !== null && (leader === this.#options.nodeId || connected.includes(leader)) ? [leader] : []
    return [...first, ...others]
  }
}
