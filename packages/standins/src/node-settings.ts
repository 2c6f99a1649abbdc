/** Settings files of the nodes of a local cluster (docs/design.md, section 4.5). */
import { mkdir, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { stringify } from 'yaml'
import { findFreePorts } from './free-ports.js'
import { LOOPBACK_HOST } from './loopback-server.js'

/** Role of a node: `entry` nodes accept client requests, `control` nodes form the consensus group and schedule jobs. */
export type NodeRole = 'entry' | 'control'

/** One node of a local cluster. */
export interface LocalNode {
  readonly nodeId: string
  readonly region: string
  readonly roles: readonly NodeRole[]
  readonly httpPort: number
  readonly peerPort: number
  readonly settingsFile: string
  /** Base URL of the HTTP API. */
  readonly address: string
}

const NODES: ReadonlyArray<{ nodeId: string, region: string, roles: readonly NodeRole[] }> = [
  { nodeId: 'montevideo-1', region: 'montevideo', roles: ['entry', 'control'] },
  { nodeId: 'salto-1', region: 'salto', roles: ['entry', 'control'] },
  { nodeId: 'maldonado-1', region: 'maldonado', roles: ['entry', 'control'] },
  { nodeId: 'montevideo-2', region: 'montevideo', roles: ['entry'] },
  { nodeId: 'salto-2', region: 'salto', roles: ['entry'] }
]

/** Settings that differ from the defaults of a local cluster. */
export interface SettingsOverrides {
  /** Sections of the settings file, such as `control: { leaseMs: 2000 }`, for every node. */
  readonly sections?: Readonly<Record<string, object>>
  /** Port at which one node connects to another; the port of a relay in tests of network partitions. */
  readonly peerPortOf?: (source: LocalNode, target: LocalNode) => Promise<number>
}

/**
 * Writes one settings file for each node into a folder.
 *
 * @example
 * const nodes = await writeNodeSettings(await mkdtemp(join(tmpdir(), 'comfreygrade-demo-')))
 */
export async function writeNodeSettings (folder: string, overrides: SettingsOverrides = {}): Promise<LocalNode[]> {
  const ports = await findFreePorts(NODES.length * 2)
  const nodes = NODES.map((node, index) => toLocalNode(folder, node, ports[index * 2] ?? 0, ports[index * 2 + 1] ?? 0))
  for (const node of nodes) await writeSettingsFile(folder, node, nodes, overrides)
  return nodes
}

function toLocalNode (folder: string, node: typeof NODES[number], httpPort: number, peerPort: number): LocalNode {
  const settingsFile = join(folder, `${node.nodeId}.yaml`)
  return { ...node, httpPort, peerPort, settingsFile, address: `http://${LOOPBACK_HOST}:${httpPort}` }
}

async function writeSettingsFile (
  folder: string, node: LocalNode, nodes: readonly LocalNode[], overrides: SettingsOverrides
): Promise<void> {
  const dataFolder = join(folder, node.nodeId)
  await mkdir(dataFolder)
  const peers = await Promise.all(nodes.map(async peer => {
    const port = peer === node ? peer.peerPort : await overrides.peerPortOf?.(node, peer) ?? peer.peerPort
    return createPeerEntry(peer, port)
  }))
  const settings = {
    node: {
      nodeId: node.nodeId, region: node.region, availabilityZone: `${node.region}-a`, roles: node.roles, dataFolder
    },
    http: { host: LOOPBACK_HOST, port: node.httpPort },
    peers: { host: LOOPBACK_HOST, port: node.peerPort, nodes: peers },
    ...overrides.sections
  }
  await writeFile(node.settingsFile, stringify(settings))
}

function createPeerEntry ({ nodeId, address, region, roles }: LocalNode, port: number) {
  return { nodeId, host: LOOPBACK_HOST, port, httpAddress: address, region, roles }
}
