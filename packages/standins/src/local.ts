/** `npm run local`: runs a local cluster with stand-in backend servers until SIGINT or SIGTERM, for load tests. */
import { readFile } from 'node:fs/promises'
import { join } from 'node:path'
import { applyDocument, parseConfigurationFile } from '@comfreygrade/cli'
import meow from 'meow'
import { StandInBackendServer } from './backend-server.js'
import { LocalCluster } from './local-cluster.js'
import { waitFor } from './waiting.js'

const INVENTORY_FILE = join(import.meta.dirname, '../../../examples/inventory.yaml')
const STEP_TIMEOUT_MS = 20_000

const cli = meow(`
  Usage
    $ npm run local -- [--backends N] [--service-ms N]

  Options
    --backends N    stand-in backend servers of service "charge" (4)
    --service-ms N  service time of each request (0)

  Prints one JSON line with the addresses of entry nodes and backend servers, and runs until SIGINT or SIGTERM.
`, {
  importMeta: import.meta,
  flags: {
    backends: { type: 'number', default: 4 },
    serviceMs: { type: 'number', default: 0 }
  }
})

async function applyInventory (cluster: LocalCluster): Promise<void> {
  const client = cluster.client(cluster.nodes[0]?.nodeId ?? '')
  const result = parseConfigurationFile('examples/inventory.yaml', await readFile(INVENTORY_FILE, 'utf8'))
  if (result.kind === 'invalid') throw new Error(JSON.stringify(result.problems))
  await waitFor('the inventory to be accepted', STEP_TIMEOUT_MS, async () => await applyDocument(client, result.value))
  await waitFor('the inventory to be in force', STEP_TIMEOUT_MS, async () =>
    (await client.configurationStatus()).isInForceEverywhere || undefined)
}

function createBackendServer (cluster: LocalCluster, index: number): StandInBackendServer {
  return new StandInBackendServer({
    backendServerId: `charge-${index}`,
    entryAddresses: cluster.entryAddresses,
    region: 'montevideo',
    availabilityZone: 'montevideo-a',
    services: ['charge'],
    slots: 64,
    connections: 256,
    serviceMs: cli.flags.serviceMs
  })
}

const cluster = await LocalCluster.start()
await applyInventory(cluster)
const backendServers = Array.from({ length: cli.flags.backends }, (_, index) => createBackendServer(cluster, index))
await Promise.all(backendServers.map(async server => { await server.start() }))
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => {
    const ended = Promise.all([...backendServers.map(async server => { await server.kill() }), cluster.stop()])
    ended.finally(() => { process.exit(0) })
  })
}
console.log(JSON.stringify({ entries: cluster.entryAddresses, direct: backendServers.map(server => `${server.address}/charge`) }))
