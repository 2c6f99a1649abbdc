/** Replicas on a manual clock, for measurements that must not depend on the speed of the machine. */
import {
  defaultReplicaSettings, isSameVoter, Replica, type ConsensusMessage, type ReplicaEffect, type ReplicaEvent,
  type VoterId
} from '@comfreygrade/consensus'
import { ManualClock, Random } from '@comfreygrade/core'
import type { BenchCommand } from './consensus-adapters.js'

/** One-way delay. */
const NETWORK_DELAY_MS = 12
const DISK_SYNC_MS = 10
const STEP_MS = 1

interface ScheduledEvent {
  readonly atMs: number
  readonly callback: () => void
}

/** Replicas with a fixed network delay and a fixed duration of a disk sync. */
export class ClusterSimulation {
  readonly #clock = new ManualClock()
  readonly #replicas = new Map<VoterId, Replica<BenchCommand>>()
  readonly #onMessage: (from: VoterId, to: VoterId, message: ConsensusMessage<BenchCommand>) => void
  #events: ScheduledEvent[] = []

  constructor (
    replicas: number, seed: number,
    onMessage: (from: VoterId, to: VoterId, message: ConsensusMessage<BenchCommand>) => void = () => {}
  ) {
    this.#onMessage = onMessage
    const voters = Array.from({ length: replicas }, (_, number) => ({ nodeId: `n${number}`, diskId: 'd' }))
    const random = new Random(seed)
    const recovered = Replica.initialLog<BenchCommand>(voters)
    for (const id of voters) {
      const replicaRandom = new Random(random.nextInt(1, 1_000_000_000))
      this.#replicas.set(id, new Replica({ id, settings: defaultReplicaSettings, recovered, random: replicaRandom }))
      this.#step(id, { kind: 'tick' })
    }
  }

  /** The leader, once it has committed an entry of its term and holds a quorum lease. */
  get leader (): VoterId | undefined {
    const nowMs = this.#clock.monotonicMs()
    return [...this.#replicas].find(([, replica]) => replica.hasQuorumLease(nowMs))?.[0]
  }

  /** Removes the leader. Messages that it has sent still arrive. */
  killLeader (): void {
    const { leader } = this
    if (leader !== undefined) this.#replicas.delete(leader)
  }

  run (durationMs: number): void {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += STEP_MS) this.#advance()
  }

  /** Runs until there is a leader and returns the simulated time that it took. */
  runUntilLeader (): number {
    const startedMs = this.#clock.monotonicMs()
    while (this.leader === undefined) this.#advance()
    return this.#clock.monotonicMs() - startedMs
  }

  #advance (): void {
    this.#clock.advance(STEP_MS)
    const nowMs = this.#clock.monotonicMs()
    const dueEvents = this.#events.filter(due => due.atMs <= nowMs)
    this.#events = this.#events.filter(due => due.atMs > nowMs)
    for (const due of dueEvents) due.callback()
    for (const [id, replica] of this.#replicas) if (replica.nextWakeAtMs() <= nowMs) this.#step(id, { kind: 'tick' })
  }

  #step (id: VoterId, event: ReplicaEvent<BenchCommand>): void {
    const effects = this.#replicas.get(id)?.step(event, this.#clock.monotonicMs()) ?? []
    for (const effect of effects) this.#execute(id, effect)
  }

  #execute (id: VoterId, effect: ReplicaEffect<BenchCommand>): void {
    if (effect.kind === 'persist') {
      const { persistId } = effect
      this.#schedule(DISK_SYNC_MS, () => this.#step(id, { kind: 'persisted', persistId }))
    }
    if (effect.kind !== 'send') return
    this.#onMessage(id, effect.to, effect.message)
    const receiverId = [...this.#replicas.keys()].find(candidate => isSameVoter(candidate, effect.to))
    if (receiverId === undefined) return
    this.#schedule(NETWORK_DELAY_MS, () => this.#step(receiverId, { kind: 'message', from: id, message: effect.message }))
  }

  #schedule (delayMs: number, callback: () => void): void {
    this.#events.push({ atMs: this.#clock.monotonicMs() + delayMs, callback })
  }
}
