/** `npm run demo`: runs five nodes, stand-in workers and backend servers on this machine, from empty data folders. */
import { mkdtemp, readFile, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import type { ConfigurationDocument } from '@comfreygrade/core'
import { applyDocument, NodeClient, parseConfigurationFile, runCommandLine, type Streams } from '@comfreygrade/cli'
import { DemoFleet } from './demo-fleet.js'
import { type LocalNode, writeNodeSettings } from './node-settings.js'
import { waitForDemoJobs, sendDemoRequests, submitDemoJobs, WAITING_JOB_ID } from './demo-workload.js'
import { NodeProcess } from './node-process.js'
import { waitFor } from './waiting.js'

const NODE_SCRIPT = fileURLToPath(new URL('../../node/dist/main.js', import.meta.url))
const INVENTORY_FILE = fileURLToPath(new URL('../../../examples/inventory.yaml', import.meta.url))

/** Starting a process, electing a leader and distributing a change take a few seconds each at most. */
const STEP_TIMEOUT_MS = 30_000
const STOP_TIMEOUT_MS = 20_000
const CALL_TIMEOUT_MS = 10_000

const streams: Streams = {
  readStdin: async () => Buffer.alloc(0),
  write: text => { process.stdout.write(text) },
  writeError: text => { process.stderr.write(text) }
}

/** Runs the steps of the demo and releases its processes, connections and files. */
class Demo {
  readonly #folder: string
  readonly #nodes: readonly LocalNode[]
  readonly #processes: readonly NodeProcess[]
  readonly #clients: readonly NodeClient[]
  readonly #client: NodeClient
  #fleet: DemoFleet | undefined

  constructor (folder: string, nodes: readonly LocalNode[]) {
    this.#folder = folder
    this.#nodes = nodes
    this.#processes = nodes.map(node => new NodeProcess(node.nodeId, NODE_SCRIPT, ['--settings', node.settingsFile]))
    this.#clients = nodes.map(node => new NodeClient([node.address], CALL_TIMEOUT_MS))
    this.#client = new NodeClient(nodes.map(node => node.address), CALL_TIMEOUT_MS)
  }

  static async create (): Promise<Demo> {
    const folder = await mkdtemp(join(tmpdir(), 'comfreygrade-demo-'))
    return new Demo(folder, await writeNodeSettings(folder))
  }

  async run (): Promise<void> {
    await this.#startNodes()
    const document = await this.#applyInventory()
    await this.#startFleet(document)
    await this.#runJobsAndRequests()
    await this.#runCommand('status')
  }

  /** Shuts down the stand-ins, then the nodes; an exit code other than 0 is an error. */
  async stop (): Promise<void> {
    printStep('shutting down')
    await this.#fleet?.stop()
    await Promise.all([this.#client, ...this.#clients].map(async client => await client.close()))
    const exits = await Promise.all(this.#processes.map(async node => await node.stop(STOP_TIMEOUT_MS)))
    for (const [index, { code, signal }] of exits.entries()) {
      if (code !== 0) throw new Error(`${this.#processes[index]?.name} ended with code ${code} and signal ${signal}`)
    }
    await rm(this.#folder, { recursive: true })
  }

  /** After a failure, prints the latest log lines of every node and kills what still runs. */
  async abort (): Promise<void> {
    for (const { name, logLines } of this.#processes) console.error(`--- ${name}\n${logLines.join('\n')}`)
    await Promise.all(this.#processes.map(async node => await node.kill()))
    await this.#fleet?.kill()
    await Promise.all([this.#client, ...this.#clients].map(async client => await client.close()))
    console.error(`settings and data are kept in ${this.#folder}`)
  }

  async #startNodes (): Promise<void> {
    printStep(`starting ${this.#nodes.length} nodes`)
    await Promise.all(this.#processes.map(async node => await node.waitUntilReady(STEP_TIMEOUT_MS)))
    for (const [index, { nodeId, region, roles, address }] of this.#nodes.entries()) {
      console.log(`${nodeId} (${region}, ${roles.join(' and ')}) at ${address}, process ${this.#processes[index]?.pid}`)
    }
  }

  async #applyInventory (): Promise<ConfigurationDocument> {
    printStep('applying examples/inventory.yaml')
    const result = parseConfigurationFile('examples/inventory.yaml', await readFile(INVENTORY_FILE, 'utf8'))
    if (result.kind === 'invalid') throw new Error(JSON.stringify(result.problems))
    await waitFor('the inventory to be accepted', STEP_TIMEOUT_MS, async () => (
      await applyDocument(this.#client, result.value)))
    await waitFor('the inventory to be in force everywhere', STEP_TIMEOUT_MS, async () => {
      const status = await this.#client.configurationStatus()
      return status.isInForceEverywhere || undefined
    })
    await this.#runCommand('config', 'status')
    return result.value
  }

  async #startFleet (document: ConfigurationDocument): Promise<void> {
    printStep('starting stand-in workers and backend servers')
    const fleet = new DemoFleet(document, this.#nodes.map(node => node.address))
    this.#fleet = fleet
    await fleet.start()
    await waitFor('every worker and backend server to be active', STEP_TIMEOUT_MS, async () => {
      const { workers, backendServers } = await this.#client.fleet()
      const active = [...workers, ...backendServers].filter(({ state }) => state === 'active').length
      return active === fleet.workers.length + fleet.backendServers.length || undefined
    })
    await this.#runCommand('fleet')
  }

  async #runJobsAndRequests (): Promise<void> {
    printStep('submitting gang jobs')
    await submitDemoJobs(this.#client)
    await this.#runCommand('jobs')
    for (const jobId of ['reconciliation-1', 'page-count-1']) await this.#runCommand('job', 'show', jobId)
    printStep(`explaining why ${WAITING_JOB_ID} is waiting`)
    await this.#runCommand('job', 'explain', WAITING_JOB_ID)
    await this.#runCommand('guarantees')
    printStep('sending short requests')
    console.log(await sendDemoRequests(this.#clients, this.#fleet?.backendServers ?? []))
    printStep('waiting for the jobs to end')
    await waitForDemoJobs(this.#client)
    await this.#runCommand('jobs')
  }

  async #runCommand (...args: string[]): Promise<void> {
    console.log(`$ comfreygrade ${args.join(' ')}`)
    const outcome = await runCommandLine([...args, '--node', this.#nodes[0]?.address ?? ''], streams)
    if (outcome !== 'done') throw new Error(`"comfreygrade ${args.join(' ')}" failed: ${outcome}`)
  }
}

function printStep (text: string): void {
  console.log(`\n== ${text}`)
}

const demo = await Demo.create()
for (const signal of ['SIGINT', 'SIGTERM'] as const) {
  // The nodes would otherwise outlive an interrupted demo.
  process.once(signal, () => { demo.abort().finally(() => process.exit(1)) })
}
try {
  await demo.run()
  await demo.stop()
  console.log('\nthe demo completed')
} catch (error) {
  console.error(`\nthe demo failed: ${String(error)}`)
  await demo.abort()
  process.exitCode = 1
}
