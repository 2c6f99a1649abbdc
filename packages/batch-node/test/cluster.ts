/** Control nodes and frontends in one process, each with its own loopback port and folder. */
import { mkdtemp, rm } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as pause } from 'node:timers/promises'
import { defaultBatchSettings, type BatchOperation, type BatchResult } from '@comfreygrade/batch'
import { defaultReplicaSettings, type VoterId } from '@comfreygrade/consensus'
import { NullMetrics, Random, StrictEventLog } from '@comfreygrade/core'
import { SystemClock, type PeerAddress } from '@comfreygrade/node/adapters'
import { findFreePorts } from '@comfreygrade/standins'
import { BatchNode, type BatchNodeOptions, NullAdvicePort, NullVmPort, openControlDisk, type ControlDisk } from '../src/index.js'

const HOST = '127.0.0.1'

/** A clock for leader leases that a test sets ahead, as one that counts the time of a suspension is afterwards. */
class SettableClock extends SystemClock {
  #suspendedMs = 0

  override monotonicMs (): number {
    return super.monotonicMs() + this.#suspendedMs
  }

  addSuspension (durationMs: number): void {
    this.#suspendedMs += durationMs
  }
}

/** A cluster whose nodes can be started and stopped and whose disks can be erased. */
export class Cluster {
  readonly #folder: string
  readonly #seeds: readonly PeerAddress[]
  readonly #nodes = new Map<string, BatchNode>()
  readonly #leaseClocks = new Map<string, SettableClock>()

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

  /** Starts a control node. Seeds write the initial log only if `isBootstrap` is true. */
  async startControl (nodeId: string, isBootstrap = false): Promise<BatchNode> {
    const seed = this.#seeds.find(candidate => candidate.nodeId === nodeId)
    const address = seed ?? { nodeId, host: HOST, port: await freePort() }
    return await this.#start(address, await openControlDisk(join(this.#folder, nodeId), this.#seeds, isBootstrap))
  }

  /** Starts a node without a disk. */
  async startFrontend (nodeId: string, onClientLimits?: BatchNodeOptions['onClientLimits']): Promise<BatchNode> {
    return await this.#start({ nodeId, host: HOST, port: await freePort() }, undefined, { onClientLimits })
  }

  /** Address of the peer links of a seed. */
  addressOf (nodeId: string): PeerAddress {
    return this.#seeds.find(seed => seed.nodeId === nodeId) as PeerAddress
  }

  async stop (nodeId: string): Promise<void> {
    await this.#nodes.get(nodeId)?.stop()
    this.#nodes.delete(nodeId)
  }

  async eraseDisk (nodeId: string): Promise<void> {
    await rm(join(this.#folder, nodeId), { recursive: true })
  }

  /** Makes a node find that it was suspended for longer than any leader lease. */
  simulateSuspension (nodeId: string): void {
    this.#leaseClocks.get(nodeId)?.addSuspension(10_000)
  }

  /** The node that leads, if one does at this moment. */
  leaderNodeId (): string {
    return [...this.#nodes].find(([, node]) => node.survivableLosses !== null)?.[0] ?? ''
  }

  /** Repeats an operation until its result is as expected, by default until it succeeds. */
  async executeUntil (
    node: BatchNode, operation: BatchOperation, isExpected: (result: BatchResult) => boolean = result => result.ok
  ): Promise<BatchResult> {
    const deadlineMs = performance.now() + 15_000
    for (;;) {
      const result = await node.execute(operation, 1_000)
      if (isExpected(result)) return result
      if (performance.now() > deadlineMs) throw new Error(`no expected result within 15 s; last result: ${JSON.stringify(result)}`)
      await pause(50)
    }
  }

  /**
   * Waits until a running node reports the new voter and tolerates the loss of one more control node. The second
   * condition alone is not enough, since a node that was just stopped counts as available until its silence is noticed.
   */
  async waitForVoter (isNewVoter: (voter: VoterId) => boolean): Promise<void> {
    await this.#waitFor(() => [...this.#nodes.values()].some(node =>
      node.survivableLosses === 1 && node.voters.some(isNewVoter)))
  }

  async #waitFor (condition: () => boolean): Promise<void> {
    const deadlineMs = performance.now() + 15_000
    while (!condition()) {
      if (performance.now() > deadlineMs) throw new Error('the new voter was not added within 15 s')
      await pause(20)
    }
  }

  async close (): Promise<void> {
    await Promise.all([...this.#nodes.values()].map(async node => { await node.stop() }))
    await rm(this.#folder, { recursive: true, force: true })
  }

  async #start (
    address: PeerAddress, disk: ControlDisk | undefined, options: Pick<BatchNodeOptions, 'onClientLimits'> = {}
  ): Promise<BatchNode> {
    const clock = new SystemClock()
    const leaseClock = new SettableClock()
    this.#leaseClocks.set(address.nodeId, leaseClock)
    const node = new BatchNode({
      ...options,
      ...address,
      seeds: this.#seeds,
      disk,
      settings: { ...defaultBatchSettings, regionByAvailabilityZone: { z1: 'north' } },
      replicaSettings: defaultReplicaSettings,
      targetVoterCount: 3,
      snapshotAfterEntries: 50,
      snapshotAfterBytes: 16_000_000,
      clock,
      leaseClock,
      random: new Random(address.port),
      metrics: new NullMetrics(),
      log: new StrictEventLog(),
      advice: new NullAdvicePort(),
      vms: new NullVmPort(),
      failed: error => { throw error }
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
