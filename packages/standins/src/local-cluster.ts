/** A cluster of node processes on loopback, with failures that tests can inject. */
import { mkdir, mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { NodeClient } from '@comfreygrade/cli'
import { type LocalNode, type SettingsOverrides, writeNodeSettings } from './node-settings.js'
import { NodeProcess } from './node-process.js'
import { Relay } from './relay.js'
import { waitFor } from './waiting.js'

const NODE_SCRIPT = join(import.meta.dirname, '../../node/dist/main.js')
const READY_TIMEOUT_MS = 20_000
/** Longer than the default `shutdownLimitMs` of a node, which is 30 s. */
const STOP_TIMEOUT_MS = 40_000
const CALL_TIMEOUT_MS = 5_000

/** The relay of one connection between the relayed node and a peer. */
interface RelayedLink {
  readonly relay: Relay
  /** Whether the relayed node opens the connection; otherwise its peer does. */
  readonly isOutgoing: boolean
}

export interface LocalClusterOptions {
  /** Sections that replace those of every node's settings file. */
  readonly sections?: Readonly<Record<string, object>>
  /** Node whose links all go through relays, so that it can be partitioned from the others. */
  readonly relayedNodeId?: string
}

/** Five nodes, three of them with the role `control`, each in its own process. */
export class LocalCluster {
  readonly nodes: readonly LocalNode[]
  readonly #folder: string
  readonly #links: readonly RelayedLink[]
  readonly #processes = new Map<string, NodeProcess>()
  readonly #clients = new Map<string, NodeClient>()

  private constructor (folder: string, nodes: readonly LocalNode[], links: readonly RelayedLink[]) {
    this.#folder = folder
    this.nodes = nodes
    this.#links = links
    for (const node of nodes) {
      this.#clients.set(node.nodeId, new NodeClient([node.address], CALL_TIMEOUT_MS))
      this.#startProcess(node)
    }
  }

  /**
   * Starts the processes and waits until all are ready and a leader is elected.
   *
   * @example
   * const cluster = await LocalCluster.start({ sections: { control: { leaseMs: 2_000 } } })
   * await cluster.kill(await cluster.waitForLeader())
   * await cluster.stop()
   */
  static async start (options: LocalClusterOptions = {}): Promise<LocalCluster> {
    const folder = await mkdtemp(join(tmpdir(), 'comfreygrade-system-'))
    const links: RelayedLink[] = []
    const overrides: SettingsOverrides = {
      sections: options.sections,
      peerPortOf: async (source, target) => {
        if (![source.nodeId, target.nodeId].includes(options.relayedNodeId ?? '')) return target.peerPort
        const relay = new Relay(target.peerPort)
        links.push({ relay, isOutgoing: source.nodeId === options.relayedNodeId })
        return await relay.start()
      }
    }
    const cluster = new LocalCluster(folder, await writeNodeSettings(folder, overrides), links)
    try {
      await Promise.all([...cluster.#processes.values()].map(async node => await node.waitUntilReady(READY_TIMEOUT_MS)))
      await cluster.waitForLeader()
      return cluster
    } catch (error) {
      // Nodes that did start would otherwise outlive the caller.
      await cluster.stop()
      throw error
    }
  }

  /** Base URLs of all entry nodes. */
  get entryAddresses (): string[] {
    return this.nodes.map(node => node.address)
  }

  client (nodeId: string): NodeClient {
    return this.#lookup(this.#clients, nodeId)
  }

  /** Latest log lines of one node. */
  logLines (nodeId: string): readonly string[] {
    return this.#lookup(this.#processes, nodeId).logLines
  }

  /** Waits until one of the given control nodes is the leader, and returns its ID. */
  async waitForLeader (nodeIds: readonly string[] = this.controlNodeIds()): Promise<string> {
    return await waitFor('a leader', READY_TIMEOUT_MS, async () => {
      const statuses = await Promise.all(nodeIds.map(async nodeId => await this.#statusOf(nodeId)))
      const leaderIndex = statuses.findIndex(status => status?.replica?.role === 'leader')
      return nodeIds[leaderIndex]
    })
  }

  /** IDs of the nodes with the role `control`. */
  controlNodeIds (): string[] {
    return this.nodes.filter(node => node.roles.includes('control')).map(node => node.nodeId)
  }

  /** Kills a process with SIGKILL. */
  async kill (nodeId: string): Promise<void> {
    await this.#lookup(this.#processes, nodeId).kill()
  }

  /** Sends SIGTERM to a process and waits for its exit, whatever the exit code. */
  async terminate (nodeId: string): Promise<void> {
    await this.#lookup(this.#processes, nodeId).stop(STOP_TIMEOUT_MS)
  }

  /** Stops a process with SIGSTOP, which simulates a frozen VM. */
  freeze (nodeId: string): void {
    process.kill(this.#lookup(this.#processes, nodeId).pid, 'SIGSTOP')
  }

  /** Continues a frozen process with SIGCONT. */
  resume (nodeId: string): void {
    process.kill(this.#lookup(this.#processes, nodeId).pid, 'SIGCONT')
  }

  /** Restarts a node that was killed, and waits until it is ready. */
  async restart (nodeId: string): Promise<void> {
    const node = this.nodes.find(candidate => candidate.nodeId === nodeId)
    if (node === undefined) throw new Error(`no node ${nodeId}`)
    this.#startProcess(node)
    await this.#lookup(this.#processes, nodeId).waitUntilReady(READY_TIMEOUT_MS)
  }

  /** Deletes the data folder of a killed node, which simulates the loss of its disk. */
  async wipeDisk (nodeId: string): Promise<void> {
    const dataFolder = join(this.#folder, nodeId)
    await rm(dataFolder, { recursive: true })
    await mkdir(dataFolder)
  }

  /** Blocks every link of the relayed node in both directions, without closing any. */
  partition (): void {
    for (const { relay } of this.#links) relay.block('both')
  }

  /** Blocks data to the relayed node only; what it sends still arrives. */
  partitionIncoming (): void {
    for (const { relay, isOutgoing } of this.#links) relay.block(isOutgoing ? 'to_client' : 'to_target')
  }

  /** Blocks the open links of the relayed node, also after `healPartition`; new ones work. */
  silenceOpenLinks (): void {
    for (const { relay } of this.#links) relay.silenceOpenConnections()
  }

  /** Ends a partition; data that was held back is delivered. */
  healPartition (): void {
    for (const { relay } of this.#links) relay.restore()
  }

  /** Kills every process, closes clients and relays, and removes the files. */
  async stop (): Promise<void> {
    await Promise.all([...this.#processes.values()].map(async node => await node.kill()))
    await Promise.all([...this.#clients.values()].map(async client => await client.close()))
    await Promise.all(this.#links.map(async ({ relay }) => await relay.stop()))
    await rm(this.#folder, { recursive: true, force: true })
  }

  async #statusOf (nodeId: string) {
    return await this.client(nodeId).status().catch(() => undefined)
  }

  #startProcess (node: LocalNode): void {
    this.#processes.set(node.nodeId, new NodeProcess(node.nodeId, NODE_SCRIPT, ['--settings', node.settingsFile]))
  }

  #lookup<T> (items: ReadonlyMap<string, T>, nodeId: string): T {
    const item = items.get(nodeId)
    if (item === undefined) throw new Error(`no node ${nodeId}`)
    return item
  }
}
