/** A cluster of node processes on the loopback interface, for measurements of their resource use. */
import { mkdir, mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { NodeClient, type StatusResponse } from '@comfreygrade/cli'
import { findFreePorts, NodeProcess, waitFor } from '@comfreygrade/standins'

const NODE_SCRIPT = join(import.meta.dirname, '../../node/dist/main.js')
const HOST = '127.0.0.1'
const READY_TIMEOUT_MS = 30_000
const CALL_TIMEOUT_MS = 30_000

export interface LocalClusterOptions {
  readonly nodes: number
  /** Number of nodes with the control role; these come first. */
  readonly controlNodes: number
}

interface MeasuredNode {
  readonly nodeId: string
  readonly address: string
  readonly httpPort: number
  readonly peerPort: number
  readonly isControl: boolean
}

/** Any number of node processes that differ only in their roles; not the class of the same name in `standins`. */
export class LocalCluster {
  readonly #folder: string
  readonly #nodes: readonly MeasuredNode[]
  readonly #clients = new Map<string, NodeClient>()
  readonly #processes = new Map<string, NodeProcess>()

  private constructor (folder: string, nodes: readonly MeasuredNode[]) {
    this.#folder = folder
    this.#nodes = nodes
    for (const { nodeId, address } of nodes) {
      this.#clients.set(nodeId, new NodeClient([address], CALL_TIMEOUT_MS))
      this.#spawn(nodeId)
    }
  }

  /**
   * Starts the processes and waits until every node has a configuration lease.
   *
   * @example
   * const cluster = await LocalCluster.start({ nodes: 5, controlNodes: 3 })
   * const statuses = await cluster.statuses()
   * await cluster.stop()
   */
  static async start (options: LocalClusterOptions): Promise<LocalCluster> {
    const folder = await mkdtemp(join(tmpdir(), 'comfreygrade-capacity-'))
    const nodes = await describeNodes(options)
    await Promise.all(nodes.map(async node => { await writeSettings(folder, node, nodes) }))
    const cluster = new LocalCluster(folder, nodes)
    try {
      await Promise.all([...cluster.#processes.values()].map(async node => {
        await node.waitUntilReady(READY_TIMEOUT_MS)
      }))
      await cluster.#awaitLeases()
      return cluster
    } catch (error) {
      await cluster.stop()
      throw error
    }
  }

  /** Base URLs of all nodes. */
  get addresses (): string[] {
    return this.#nodes.map(({ address }) => address)
  }

  /** Returns the client of the node at this index; control nodes have the lowest indexes. */
  client (index: number): NodeClient {
    return this.#clientOf(this.#nodes[index]?.nodeId ?? '')
  }

  async statuses (): Promise<StatusResponse[]> {
    return await Promise.all(this.#nodes.map(async ({ nodeId }) => await this.#clientOf(nodeId).status()))
  }

  /** Kills the process of a node and starts a new one; resolves when it is ready. */
  async restart (nodeId: string): Promise<void> {
    await this.#processes.get(nodeId)?.kill()
    this.#spawn(nodeId)
    await this.#processes.get(nodeId)?.waitUntilReady(READY_TIMEOUT_MS)
  }

  /** Kills the processes, closes the clients and removes the files. */
  async stop (): Promise<void> {
    await Promise.all([...this.#processes.values()].map(async node => { await node.kill() }))
    await Promise.all([...this.#clients.values()].map(async client => { await client.close() }))
    await rm(this.#folder, { recursive: true, force: true })
  }

  async #awaitLeases (): Promise<void> {
    await waitFor('every node to have a configuration lease', READY_TIMEOUT_MS, async () => {
      const statuses = await this.statuses()
      return statuses.every(status => status.hasConfigurationLease) ? true : undefined
    })
  }

  #spawn (nodeId: string): void {
    const settingsFile = join(this.#folder, `${nodeId}.yaml`)
    this.#processes.set(nodeId, new NodeProcess(nodeId, NODE_SCRIPT, ['--settings', settingsFile]))
  }

  #clientOf (nodeId: string): NodeClient {
    const client = this.#clients.get(nodeId)
    if (client === undefined) throw new Error(`unknown node "${nodeId}"`)
    return client
  }
}

async function describeNodes ({ nodes, controlNodes }: LocalClusterOptions): Promise<MeasuredNode[]> {
  const ports = await findFreePorts(nodes * 2)
  return Array.from({ length: nodes }, (_, index) => {
    const [httpPort, peerPort] = [ports[index * 2] ?? 0, ports[index * 2 + 1] ?? 0]
    const isControl = index < controlNodes
    return { nodeId: `montevideo-${index + 1}`, address: `http://${HOST}:${httpPort}`, httpPort, peerPort, isControl }
  })
}

async function writeSettings (folder: string, node: MeasuredNode, nodes: readonly MeasuredNode[]): Promise<void> {
  const dataFolder = join(folder, node.nodeId)
  await mkdir(dataFolder)
  const region = 'montevideo'
  const rolesOf = ({ isControl }: MeasuredNode) => isControl ? ['entry', 'control'] : ['entry']
  const settings = {
    node: { nodeId: node.nodeId, region, availabilityZone: 'montevideo-a', roles: rolesOf(node), dataFolder },
    http: { host: HOST, port: node.httpPort },
    peers: {
      host: HOST,
      port: node.peerPort,
      nodes: nodes.map(peer => ({
        nodeId: peer.nodeId, host: HOST, port: peer.peerPort, httpAddress: peer.address, region, roles: rolesOf(peer)
      }))
    }
  }
  // Every JSON document is also a YAML document.
  await writeFile(join(folder, `${node.nodeId}.yaml`), JSON.stringify(settings))
}
