/** `npm run demo`: five nodes, stand-in workers and backend servers on this machine, from empty folders to the end. */
import { mkdtemp, readFile, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import type { ConfigurationDocument } from '@comfreygrade/core'
import { applyDocument, NodeClient, readConfigurationFile, runCommandLine, type Streams } from '@comfreygrade/cli'
import { DemoFleet } from './demo-fleet.js'
import { type DemoNode, writeDemoSettings } from './node-settings.js'
import { awaitDemoJobs, sendDemoRequests, submitDemoJobs, WAITING_JOB_ID } from './demo-workload.js'
import { NodeProcess } from './node-process.js'
import { waitFor } from './waiting.js'

const NODE_SCRIPT = fileURLToPath(new URL('../../node/dist/main.js', import.meta.url))
const INVENTORY = fileURLToPath(new URL('../../../examples/inventory.yaml', import.meta.url))

/** Start of a process, election of a leader and spread of a change each take a few seconds at most. */
const STEP_LIMIT_MS = 30_000
const STOP_LIMIT_MS = 20_000
const CALL_TIMEOUT_MS = 10_000

const streams: Streams = {
  readStdin: async () => Buffer.alloc(0),
  write: text => { process.stdout.write(text) },
  writeError: text => { process.stderr.write(text) }
}

/** Everything that has to be ended again. */
class Demo {
  readonly #folder: string
  readonly #nodes: readonly DemoNode[]
  readonly #processes: readonly NodeProcess[]
  readonly #clients: readonly NodeClient[]
  readonly #client: NodeClient
  #fleet: DemoFleet | undefined

  constructor (folder: string, nodes: readonly DemoNode[]) {
    this.#folder = folder
    this.#nodes = nodes
    this.#processes = nodes.map(node => new NodeProcess(node.nodeId, NODE_SCRIPT, ['--settings', node.settingsFile]))
    this.#clients = nodes.map(node => new NodeClient([node.address], CALL_TIMEOUT_MS))
    this.#client = new NodeClient(nodes.map(node => node.address), CALL_TIMEOUT_MS)
  }

  static async create (): Promise<Demo> {
    const folder = await mkdtemp(join(tmpdir(), 'comfreygrade-demo-'))
    return new Demo(folder, await writeDemoSettings(folder))
  }

  async run (): Promise<void> {
    await this.#startNodes()
    const document = await this.#applyInventory()
    await this.#startFleet(document)
    await this.#runJobsAndRequests()
    await this.#show('status')
  }

  /** Ends the stand-ins, then the nodes by their process IDs. */
  async stop (): Promise<void> {
    step('shutting down')
    await this.#fleet?.stop()
    await Promise.all([this.#client, ...this.#clients].map(async client => await client.close()))
    const ends = await Promise.all(this.#processes.map(async node => await node.stop(STOP_LIMIT_MS)))
    for (const [index, { code, signal }] of ends.entries()) {
      if (code !== 0) throw new Error(`${this.#processes[index]?.name} ended with code ${code} and signal ${signal}`)
    }
    await rm(this.#folder, { recursive: true })
  }

  /** After a failure: kills what is left and prints the latest log lines of every node. */
  async abandon (): Promise<void> {
    for (const { name, logLines } of this.#processes) console.error(`--- ${name}\n${logLines.join('\n')}`)
    await Promise.all(this.#processes.map(async node => await node.kill()))
    await this.#fleet?.kill()
    await Promise.all([this.#client, ...this.#clients].map(async client => await client.close()))
    console.error(`settings and data are kept in ${this.#folder}`)
  }

  async #startNodes (): Promise<void> {
    step(`starting ${this.#nodes.length} nodes`)
    await Promise.all(this.#processes.map(async node => await node.ready(STEP_LIMIT_MS)))
    for (const [index, { nodeId, region, roles, address }] of this.#nodes.entries()) {
      console.log(`${nodeId} (${region}, ${roles.join(' and ')}) at ${address}, process ${this.#processes[index]?.pid}`)
    }
  }

  async #applyInventory (): Promise<ConfigurationDocument> {
    step('applying examples/inventory.yaml')
    const reading = readConfigurationFile('examples/inventory.yaml', await readFile(INVENTORY, 'utf8'))
    if (reading.kind === 'invalid') throw new Error(JSON.stringify(reading.problems))
    await waitFor('the inventory to be accepted', STEP_LIMIT_MS, async () => (
      await applyDocument(this.#client, reading.value)))
    await waitFor('the inventory to be in force everywhere', STEP_LIMIT_MS, async () => {
      const status = await this.#client.configurationStatus()
      return status.isInForceEverywhere || undefined
    })
    await this.#show('config', 'status')
    return reading.value
  }

  async #startFleet (document: ConfigurationDocument): Promise<void> {
    step('starting stand-in workers and backend servers')
    const fleet = new DemoFleet(document, this.#nodes.map(node => node.address))
    this.#fleet = fleet
    await fleet.start()
    await waitFor('every worker and backend server to be active', STEP_LIMIT_MS, async () => {
      const { workers, backendServers } = await this.#client.fleet()
      const active = [...workers, ...backendServers].filter(({ state }) => state === 'active').length
      return active === fleet.workers.length + fleet.backendServers.length || undefined
    })
    await this.#show('fleet')
  }

  async #runJobsAndRequests (): Promise<void> {
    step('submitting gang jobs')
    await submitDemoJobs(this.#client)
    await this.#show('jobs')
    for (const jobId of ['reconciliation-1', 'page-count-1']) await this.#show('job', 'show', jobId)
    step(`why ${WAITING_JOB_ID} waits`)
    await this.#show('job', 'explain', WAITING_JOB_ID)
    await this.#show('guarantees')
    step('sending short requests')
    console.log(await sendDemoRequests(this.#clients, this.#fleet?.backendServers ?? []))
    step('waiting for the jobs to end')
    await awaitDemoJobs(this.#client)
    await this.#show('jobs')
  }

  async #show (...words: string[]): Promise<void> {
    console.log(`$ comfreygrade ${words.join(' ')}`)
    const reason = await runCommandLine([...words, '--node', this.#nodes[0]?.address ?? ''], streams)
    if (reason !== 'done') throw new Error(`"${words.join(' ')}" ended as ${reason}`)
  }
}

function step (text: string): void {
  console.log(`\n== ${text}`)
}

const demo = await Demo.create()
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  // Without this the nodes would outlive a demo that is interrupted.
  process.once(signal, () => { demo.abandon().finally(() => process.exit(1)) })
}
try {
  await demo.run()
  await demo.stop()
  console.log('\nthe demo has completed')
} catch (error) {
  console.error(`\nthe demo has failed: ${String(error)}`)
  await demo.abandon()
  process.exitCode = 1
}
