/** Control nodes and entries of one process, on loopback ports and folders of their own. */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'
import { defaultBatchSettings, type BatchOperation, type BatchResult } from '@comfreygrade/batch'
import { defaultReplicaSettings, type VoterId } from '@comfreygrade/consensus'
import { NullEventLog, NullMetrics, Random } from '@comfreygrade/core'
import { SystemClock, type PeerAddress } from '@comfreygrade/node/adapters'
import { findFreePorts } from '@comfreygrade/standins'
import { BatchNode, NoAdvice, NoVms, openControlDisk, type ControlDisk } from '../src/index.js'

const HOST = '127.0.0.1'

/** A cluster whose nodes can be stopped, started and robbed of their disks. */
export class Cluster {
  readonly #folder: string
  readonly #seeds: readonly PeerAddress[]
  readonly #nodes = new Map<string, BatchNode>()

  private constructor (folder: string, seeds: readonly PeerAddress[]) {
    this.#folder = folder
    this.#seeds = seeds
  }

  static async create (): Promise<Cluster> {
    const folder = await mkdtemp(join(tmpdir(), 'comfreygrade-batch-'))
    const seeds = await Promise.all(['a', 'b', 'c'].map(async nodeId => {
      return { nodeId, host: HOST, port: await freePort() }
    }))
    return new Cluster(folder, seeds)
  }

  /** Starts a control node; only at the first start of the system may it write the first log. */
  async startControl (nodeId: string, isFirstStart = false): Promise<BatchNode> {
    const seed = this.#seeds.find(candidate => candidate.nodeId === nodeId)
    const address = seed ?? { nodeId, host: HOST, port: await freePort() }
    return await this.#start(address, await openControlDisk(join(this.#folder, nodeId), this.#seeds, isFirstStart))
  }

  async startEntry (nodeId: string): Promise<BatchNode> {
    return await this.#start({ nodeId, host: HOST, port: await freePort() }, undefined)
  }

  async stop (nodeId: string): Promise<void> {
    await this.#nodes.get(nodeId)?.stop()
    this.#nodes.delete(nodeId)
  }

  async loseDisk (nodeId: string): Promise<void> {
    await rm(join(this.#folder, nodeId), { recursive: true })
  }

  /** Repeats an operation until it succeeds. */
  async until (
    node: BatchNode, operation: BatchOperation, accept: (result: BatchResult) => boolean = result => result.ok
  ): Promise<BatchResult> {
    const deadlineMs = performance.now() + 15_000
    for (;;) {
      const result = await node.operate(operation, 1_000)
      if (accept(result)) return result
      if (performance.now() > deadlineMs) throw new Error(`no success in 15 s, last: ${JSON.stringify(result)}`)
      await pause(50)
    }
  }

  /**
   * Waits until a new voter is in and one more control node may be lost; only nodes that run are asked. The voter is
   * asked for as well, since a node that was just stopped counts as intact until its silence is noticed.
   */
  async untilRepaired (isNewVoter: (voter: VoterId) => boolean): Promise<void> {
    await this.#waitFor(() => [...this.#nodes.values()].some(node =>
      node.survivableLosses === 1 && node.voters.some(isNewVoter)))
  }

  /** Waits until a condition holds. */
  async #waitFor (condition: () => boolean): Promise<void> {
    const deadlineMs = performance.now() + 15_000
    while (!condition()) {
      if (performance.now() > deadlineMs) throw new Error('the condition did not hold within 15 s')
      await pause(20)
    }
  }

  async close (): Promise<void> {
    await Promise.all([...this.#nodes.values()].map(async node => { await node.stop() }))
    await rm(this.#folder, { recursive: true, force: true })
  }

  async #start (address: PeerAddress, disk: ControlDisk | undefined): Promise<BatchNode> {
    const clock = new SystemClock()
    const node = new BatchNode({
      ...address,
      seeds: this.#seeds,
      disk,
      settings: defaultBatchSettings,
      replicaSettings: defaultReplicaSettings,
      wantedVoters: 3,
      snapshotAfterEntries: 50,
      clock,
      leaseClock: clock,
      random: new Random(address.port),
      metrics: new NullMetrics(),
      log: new NullEventLog(),
      advice: new NoAdvice(),
      vms: new NoVms(),
      storageFailed: error => { throw error }
    })
    await node.start()
    this.#nodes.set(address.nodeId, node)
    return node
  }
}

async function freePort (): Promise<number> {
  const [port] = await findFreePorts(1)
  return port as number
}
