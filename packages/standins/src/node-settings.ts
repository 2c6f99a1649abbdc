/** Settings files of the demo's nodes (section 4.5 of the design page). */
import { mkdir, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import { stringify } from 'yaml'
import { findFreePorts } from './free-ports.js'
import { LOOPBACK_HOST } from './loopback-server.js'

/** What a node of the demo does. */
export type NodeRole = 'entry' | 'control'

/** One node of the demo. */
export interface DemoNode {
  readonly nodeId: string
  readonly region: string
  readonly roles: readonly NodeRole[]
  readonly httpPort: number
  readonly peerPort: number
  readonly settingsFile: string
  /** Base URL of the HTTP API. */
  readonly address: string
}

const LAYOUT: ReadonlyArray<{ nodeId: string, region: string, roles: readonly NodeRole[] }> = [
  { nodeId: 'montevideo-1', region: 'montevideo', roles: ['entry', 'control'] },
  { nodeId: 'salto-1', region: 'salto', roles: ['entry', 'control'] },
  { nodeId: 'maldonado-1', region: 'maldonado', roles: ['entry', 'control'] },
  { nodeId: 'montevideo-2', region: 'montevideo', roles: ['entry'] },
  { nodeId: 'salto-2', region: 'salto', roles: ['entry'] }
]

/** What a test changes in the settings of a local system. */
export interface SettingsVariation {
  /** Sections of the settings file, such as `control: { leaseMs: 2000 }`, for every node. */
  readonly sections?: Readonly<Record<string, object>>
  /** Port at which one node dials another; a relay's port in tests of partitions. */
  readonly peerPortOf?: (viewer: DemoNode, target: DemoNode) => Promise<number>
}

/**
 * Writes one settings file a node into a folder.
 *
 * @example
 * const nodes = await writeDemoSettings(await mkdtemp(join(tmpdir(), 'comfreygrade-demo-')))
 */
export async function writeDemoSettings (folder: string, variation: SettingsVariation = {}): Promise<DemoNode[]> {
  const ports = await findFreePorts(LAYOUT.length * 2)
  const nodes = LAYOUT.map((node, index) => toDemoNode(folder, node, ports[index * 2] ?? 0, ports[index * 2 + 1] ?? 0))
  for (const node of nodes) await writeSettings(folder, node, nodes, variation)
  return nodes
}

function toDemoNode (folder: string, node: typeof LAYOUT[number], httpPort: number, peerPort: number): DemoNode {
  const settingsFile = join(folder, `${node.nodeId}.yaml`)
  return { ...node, httpPort, peerPort, settingsFile, address: `http://${LOOPBACK_HOST}:${httpPort}` }
}

async function writeSettings (
  folder: string, node: DemoNode, nodes: readonly DemoNode[], variation: SettingsVariation
): Promise<void> {
  const dataFolder = join(folder, node.nodeId)
  await mkdir(dataFolder)
  const peers = await Promise.all(nodes.map(async peer => {
    const port = peer === node ? peer.peerPort : await variation.peerPortOf?.(node, peer) ?? peer.peerPort
    return toPeer(peer, port)
  }))
  const settings = {
    node: {
      nodeId: node.nodeId, region: node.region, availabilityZone: `${node.region}-a`, roles: node.roles, dataFolder
    },
    http: { host: LOOPBACK_HOST, port: node.httpPort },
    peers: { host: LOOPBACK_HOST, port: node.peerPort, nodes: peers },
    ...variation.sections
  }
  await writeFile(node.settingsFile, stringify(settings))
}

function toPeer ({ nodeId, address, region, roles }: DemoNode, port: number) {
  return { nodeId, host: LOOPBACK_HOST, port, httpAddress: address, region, roles }
}
