/** Replicas in one process with storage on disk; timers simulate the network delays between regions. */
import { join } from 'node:path'
import { performance } from 'node:perf_hooks'
import {
  defaultReplicaSettings, Replica, voterKey, type ConsensusMessage, type LogStorage, type ReplicaEffect,
  type ReplicaEvent, type VoterId
} from '@comfreygrade/consensus'
import { Random } from '@comfreygrade/core'
import { pause, startTimer } from '@comfreygrade/timers'
import { createBenchCommand, type BenchCommand, type ConsensusBenchAdapters } from './consensus-adapters.js'

const REGIONS = 3
/** One-way delays. */
const SAME_REGION_DELAY_MS = 1
const CROSS_REGION_DELAY_MS = 12

type Deliver = (from: VoterId, to: VoterId, message: ConsensusMessage<BenchCommand>) => void

/** A replica with its storage and its timer. */
class ClusterNode {
  readonly id: VoterId
  readonly #replica: Replica<BenchCommand>
  readonly #storage: LogStorage<BenchCommand>
  readonly #deliver: Deliver
  readonly #onCommitted: (proposalId: string) => void
  #timer: NodeJS.Timeout | undefined
  #isStopped = false

  constructor (
    id: VoterId, replica: Replica<BenchCommand>, storage: LogStorage<BenchCommand>, deliver: Deliver,
    onCommitted: (proposalId: string) => void
  ) {
    this.id = id
    this.#replica = replica
    this.#storage = storage
    this.#deliver = deliver
    this.#onCommitted = onCommitted
  }

  get hasQuorumLease (): boolean {
    return this.#replica.hasQuorumLease(performance.now())
  }

  step (event: ReplicaEvent<BenchCommand>): void {
    if (this.#isStopped) return
    for (const effect of this.#replica.step(event, performance.now())) this.#execute(effect)
    clearTimeout(this.#timer)
    const delayMs = this.#replica.nextWakeAtMs() - performance.now()
    this.#timer = startTimer(delayMs, () => this.step({ kind: 'tick' }))
  }

  #execute (effect: ReplicaEffect<BenchCommand>): void {
    if (effect.kind === 'send') this.#deliver(this.id, effect.to, effect.message)
    if (effect.kind === 'persist') this.#persist(effect)
    if (effect.kind === 'apply' && this.#replica.role === 'leader') this.#reportCommitted(effect)
  }

  #persist (effect: Extract<ReplicaEffect<BenchCommand>, { kind: 'persist' }>): void {
    this.#storage.persist(effect).then(
      () => this.step({ kind: 'persisted', persistId: effect.persistId }),
      () => { this.#isStopped = true }
    )
  }

  #reportCommitted (effect: Extract<ReplicaEffect<BenchCommand>, { kind: 'apply' }>): void {
    for (const { body } of effect.entries) if (body.kind === 'command') this.#onCommitted(body.proposalId)
  }

  async stop (): Promise<void> {
    this.#isStopped = true
    clearTimeout(this.#timer)
    await this.#storage.close()
  }
}

/** A cluster that measures the time from a proposal until the leader applies it. */
export class BenchCluster {
  readonly #nodes = new Map<string, ClusterNode>()
  readonly #proposedAtMs = new Map<string, number>()
  #onLatency: (latencyMs: number) => void = () => {}
  #proposalCount = 0

  /** Writes the initial voter set to every log and waits for a leader. */
  static async start (folder: string, replicas: number, adapters: ConsensusBenchAdapters): Promise<BenchCluster> {
    const cluster = new BenchCluster()
    const voters = Array.from({ length: replicas }, (_, number) => ({ nodeId: `n${number}`, diskId: 'd' }))
    for (const [number, id] of voters.entries()) {
      await cluster.#addNode(join(folder, id.nodeId), id, voters, number, adapters)
    }
    for (const node of cluster.#nodes.values()) node.step({ kind: 'tick' })
    while (cluster.#leader === undefined) await pause(20)
    return cluster
  }

  async #addNode (
    folder: string, id: VoterId, voters: VoterId[], seed: number, adapters: ConsensusBenchAdapters
  ): Promise<void> {
    const storage = adapters.openLog(folder)
    await storage.recover()
    const recovered = Replica.initialLog<BenchCommand>(voters)
    await storage.persist({ kind: 'persist', persistId: 0, hardState: recovered.hardState, entries: recovered.entries })
    const replica = new Replica({ id, settings: defaultReplicaSettings, recovered, random: new Random(seed + 1) })
    const deliver: Deliver = (from, to, message) => this.#deliver(from, to, message)
    const node = new ClusterNode(id, replica, storage, deliver, proposalId => this.#recordCommit(proposalId))
    this.#nodes.set(voterKey(id), node)
  }

  get #leader (): ClusterNode | undefined {
    return [...this.#nodes.values()].find(node => node.hasQuorumLease)
  }

  #deliver (from: VoterId, to: VoterId, message: ConsensusMessage<BenchCommand>): void {
    const isSameRegion = regionOf(from) === regionOf(to)
    const delayMs = isSameRegion ? SAME_REGION_DELAY_MS : CROSS_REGION_DELAY_MS
    startTimer(delayMs, () => this.#nodes.get(voterKey(to))?.step({ kind: 'message', from, message }))
  }

  #recordCommit (proposalId: string): void {
    const proposedAtMs = this.#proposedAtMs.get(proposalId)
    if (proposedAtMs === undefined) return
    this.#proposedAtMs.delete(proposalId)
    this.#onLatency(performance.now() - proposedAtMs)
  }

  #propose (): void {
    const proposalId = `p${this.#proposalCount}`
    this.#proposedAtMs.set(proposalId, performance.now())
    this.#leader?.step({ kind: 'propose', proposalId, command: createBenchCommand(this.#proposalCount++) })
  }

  /**
   * Keeps `inFlight` proposals in flight for `durationMs` and returns the latency of each commit, including those
   * within 500 ms after it.
   */
  async measure (inFlight: number, durationMs: number): Promise<number[]> {
    const latenciesMs: number[] = []
    const endMs = performance.now() + durationMs
    this.#onLatency = latencyMs => {
      latenciesMs.push(latencyMs)
      if (performance.now() < endMs) this.#propose()
    }
    for (let number = 0; number < inFlight; number++) this.#propose()
    await pause(durationMs + 500)
    return latenciesMs
  }

  async stop (): Promise<void> {
    await Promise.all([...this.#nodes.values()].map(async node => await node.stop()))
  }
}

function regionOf (id: VoterId): number {
  return Number(id.nodeId.slice(1)) % REGIONS
}
