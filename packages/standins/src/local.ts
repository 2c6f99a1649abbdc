/** Runs a local system with stand-in backend servers until it is interrupted, for load measurements and trials. */
import { readFile } from 'node:fs/promises'
import { join } from 'node:path'
import { applyDocument, readConfigurationFile } from '@comfreygrade/cli'
import meow from 'meow'
import { StandInBackendServer } from './backend-server.js'
import { LocalSystem } from './local-cluster.js'
import { waitFor } from './waiting.js'

const INVENTORY = join(import.meta.dirname, '../../../examples/inventory.yaml')
const LIMIT_MS = 20_000

const cli = meow(`
  Usage
    $ npm run local -- [--backends N] [--service-ms N]

  Options
    --backends N    stand-in backend servers of service "charge" (4)
    --service-ms N  service time of each request (0)

  Prints one JSON line with the addresses of entry nodes and backend servers, and ends on SIGINT.
`, {
  importMeta: import.meta,
  flags: {
    backends: { type: 'number', default: 4 },
    serviceMs: { type: 'number', default: 0 }
  }
})

async function configure (system: LocalSystem): Promise<void> {
  const client = system.client(system.nodes[0]?.nodeId ?? '')
  const reading = readConfigurationFile('examples/inventory.yaml', await readFile(INVENTORY, 'utf8'))
  if (reading.kind === 'invalid') throw new Error(JSON.stringify(reading.problems))
  await waitFor('the inventory to be accepted', LIMIT_MS, async () => await applyDocument(client, reading.value))
  await waitFor('the inventory to be in force', LIMIT_MS, async () =>
    (await client.configurationStatus()).isInForceEverywhere || undefined)
}

function createBackend (system: LocalSystem, index: number): StandInBackendServer {
  return new StandInBackendServer({
    backendServerId: `charge-${index}`,
    entries: system.addresses,
    region: 'montevideo',
    availabilityZone: 'montevideo-a',
    services: ['charge'],
    slots: 64,
    connections: 256,
    serviceMs: cli.flags.serviceMs
  })
}

const system = await LocalSystem.start()
await configure(system)
const backends = Array.from({ length: cli.flags.backends }, (_, index) => createBackend(system, index))
await Promise.all(backends.map(async backend => { await backend.start() }))
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  process.once(signal, () => {
    const ended = Promise.all([...backends.map(async backend => { await backend.kill() }), system.stop()])
    ended.finally(() => { process.exit(0) })
  })
}
console.log(JSON.stringify({ entries: system.addresses, direct: backends.map(backend => `${backend.address}/charge`) }))
