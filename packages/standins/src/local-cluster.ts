/** A whole system as processes on loopback, with the failures that tests bring about. */
import { mkdir, mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { NodeClient } from '@comfreygrade/cli'
import { type DemoNode, type SettingsVariation, writeDemoSettings } from './node-settings.js'
import { NodeProcess } from './node-process.js'
import { Relay } from './relay.js'
import { waitFor } from './waiting.js'

const NODE_SCRIPT = join(import.meta.dirname, '../../node/dist/main.js')
const READY_LIMIT_MS = 20_000
const STOP_LIMIT_MS = 40_000
const CALL_TIMEOUT_MS = 5_000

/** A relay on one link of the relayed node. */
interface RelayedLink {
  readonly relay: Relay
  /** Whether the relayed node dialled the link; otherwise its peer did. */
  readonly isOutgoing: boolean
}

/** What a test asks of a local system. */
export interface LocalSystemOptions {
  /** Sections of the settings file of every node. */
  readonly sections?: Readonly<Record<string, object>>
  /** Puts relays on every link of this node, so that it can be cut off. */
  readonly relayedNodeId?: string
}

/** Five nodes, three of them with the role control, each a process. */
export class LocalSystem {
  readonly nodes: readonly DemoNode[]
  readonly #folder: string
  readonly #links: readonly RelayedLink[]
  readonly #processes = new Map<string, NodeProcess>()
  readonly #clients = new Map<string, NodeClient>()

  private constructor (folder: string, nodes: readonly DemoNode[], links: readonly RelayedLink[]) {
    this.#folder = folder
    this.nodes = nodes
    this.#links = links
    for (const node of nodes) {
      this.#clients.set(node.nodeId, new NodeClient([node.address], CALL_TIMEOUT_MS))
      this.#spawn(node)
    }
  }

  /**
   * Starts the processes and waits until they serve.
   *
   * @example
   * const system = await LocalSystem.start({ sections: { control: { leaseMs: 2_000 } } })
   * await system.kill(await system.leader())
   * await system.stop()
   */
  static async start (options: LocalSystemOptions = {}): Promise<LocalSystem> {
    const folder = await mkdtemp(join(tmpdir(), 'comfreygrade-system-'))
    const links: RelayedLink[] = []
    const variation: SettingsVariation = {
      sections: options.sections,
      peerPortOf: async (viewer, target) => {
        if (![viewer.nodeId, target.nodeId].includes(options.relayedNodeId ?? '')) return target.peerPort
        const relay = new Relay(target.peerPort)
        links.push({ relay, isOutgoing: viewer.nodeId === options.relayedNodeId })
        return await relay.start()
      }
    }
    const system = new LocalSystem(folder, await writeDemoSettings(folder, variation), links)
    try {
      await Promise.all([...system.#processes.values()].map(async node => await node.ready(READY_LIMIT_MS)))
      await system.leader()
      return system
    } catch (error) {
      // Nodes that did start would outlive the caller.
      await system.stop()
      throw error
    }
  }

  /** Base URLs of all entry nodes. */
  get addresses (): string[] {
    return this.nodes.map(node => node.address)
  }

  /** Client of one node. */
  client (nodeId: string): NodeClient {
    return this.#get(this.#clients, nodeId)
  }

  /** Latest log lines of one node. */
  logLines (nodeId: string): readonly string[] {
    return this.#get(this.#processes, nodeId).logLines
  }

  /** Waits until a control node among the given ones leads, and gives its ID. */
  async leader (nodeIds: readonly string[] = this.controlNodeIds()): Promise<string> {
    return await waitFor('a leader', READY_LIMIT_MS, async () => {
      const statuses = await Promise.all(nodeIds.map(async nodeId => await this.#statusOf(nodeId)))
      const leading = statuses.findIndex(status => status?.replica?.role === 'leader')
      return nodeIds[leading]
    })
  }

  /** IDs of the nodes with the role control. */
  controlNodeIds (): string[] {
    return this.nodes.filter(node => node.roles.includes('control')).map(node => node.nodeId)
  }

  /** Ends a process at once. */
  async kill (nodeId: string): Promise<void> {
    await this.#get(this.#processes, nodeId).kill()
  }

  /** Asks a process to end gracefully and waits for it. */
  async terminate (nodeId: string): Promise<void> {
    await this.#get(this.#processes, nodeId).stop(STOP_LIMIT_MS)
  }

  /** Freezes a process, as a VM that is paused. */
  freeze (nodeId: string): void {
    process.kill(this.#get(this.#processes, nodeId).pid, 'SIGSTOP')
  }

  /** Lets a frozen process go on. */
  thaw (nodeId: string): void {
    process.kill(this.#get(this.#processes, nodeId).pid, 'SIGCONT')
  }

  /** Starts a process again after it was killed. */
  async restart (nodeId: string): Promise<void> {
    const node = this.nodes.find(candidate => candidate.nodeId === nodeId)
    if (node === undefined) throw new Error(`no node ${nodeId}`)
    this.#spawn(node)
    await this.#get(this.#processes, nodeId).ready(READY_LIMIT_MS)
  }

  /** Deletes what a killed node had on its disk. */
  async loseDisk (nodeId: string): Promise<void> {
    const dataFolder = join(this.#folder, nodeId)
    await rm(dataFolder, { recursive: true })
    await mkdir(dataFolder)
  }

  /** Makes every link of the relayed node silent, without closing any. */
  cutOff (): void {
    for (const { relay } of this.#links) relay.block('both')
  }

  /** Holds back everything that is sent to the relayed node, while what it sends arrives. */
  cutOffIncoming (): void {
    for (const { relay, isOutgoing } of this.#links) relay.block(isOutgoing ? 'to_client' : 'to_target')
  }

  /** Makes the present links of the relayed node silent for good, while new ones work. */
  silenceOpenLinks (): void {
    for (const { relay } of this.#links) relay.silenceOpenConnections()
  }

  /** Ends the cut. */
  reconnect (): void {
    for (const { relay } of this.#links) relay.restore()
  }

  /** Ends every process, by its own ID, and removes the files. */
  async stop (): Promise<void> {
    await Promise.all([...this.#processes.values()].map(async node => await node.kill()))
    await Promise.all([...this.#clients.values()].map(async client => await client.close()))
    await Promise.all(this.#links.map(async ({ relay }) => await relay.stop()))
    await rm(this.#folder, { recursive: true, force: true })
  }

  async #statusOf (nodeId: string) {
    return await this.client(nodeId).status().catch(() => undefined)
  }

  #spawn (node: DemoNode): void {
    this.#processes.set(node.nodeId, new NodeProcess(node.nodeId, NODE_SCRIPT, ['--settings', node.settingsFile]))
  }

  #get<T> (items: ReadonlyMap<string, T>, nodeId: string): T {
    const item = items.get(nodeId)
    if (item === undefined) throw new Error(`no node ${nodeId}`)
    return item
  }
}
