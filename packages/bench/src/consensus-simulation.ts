/** Replicas on a manual clock, for times that must not depend on the machine. */
import {
  defaultReplicaSettings, Replica, sameVoter, type ConsensusMessage, type ReplicaEffect, type ReplicaEvent, type VoterId
} from '@comfreygrade/consensus'
import { ManualClock, Random } from '@comfreygrade/core'
import type { BenchCommand } from './consensus-adapters.js'

const delayMs = 12
const syncMs = 10
const stepMs = 1

interface Due {
  readonly atMs: number
  readonly run: () => void
}

/** Replicas with 12 ms one-way delay and 10 ms for a sync. */
export class ClusterModel {
  readonly #clock = new ManualClock()
  readonly #replicas = new Map<VoterId, Replica<BenchCommand>>()
  readonly #onMessage: (from: VoterId, to: VoterId, message: ConsensusMessage<BenchCommand>) => void
  #due: Due[] = []

  constructor (
    replicas: number, seed: number,
    onMessage: (from: VoterId, to: VoterId, message: ConsensusMessage<BenchCommand>) => void = () => {}
  ) {
    this.#onMessage = onMessage
    const voters = Array.from({ length: replicas }, (_, number) => ({ nodeId: `n${number}`, diskId: 'd' }))
    const random = new Random(seed)
    const recovered = Replica.initialLog<BenchCommand>(voters)
    for (const id of voters) {
      const own = new Random(random.nextInt(1, 1_000_000_000))
      this.#replicas.set(id, new Replica({ id, settings: defaultReplicaSettings, recovered, random: own }))
      this.#step(id, { kind: 'tick' })
    }
  }

  /** The leader that has committed an entry of its term. */
  get leader (): VoterId | undefined {
    const nowMs = this.#clock.monotonicMs()
    return [...this.#replicas].find(([, replica]) => replica.hasQuorumLease(nowMs))?.[0]
  }

  /** Ends the leader's process; what it sent before still arrives. */
  killLeader (): void {
    const { leader } = this
    if (leader !== undefined) this.#replicas.delete(leader)
  }

  run (durationMs: number): void {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += stepMs) this.#advance()
  }

  /** Runs until there is a leader; returns the time that it took. */
  runUntilLeader (): number {
    const startedMs = this.#clock.monotonicMs()
    while (this.leader === undefined) this.#advance()
    return this.#clock.monotonicMs() - startedMs
  }

  #advance (): void {
    this.#clock.advance(stepMs)
    const nowMs = this.#clock.monotonicMs()
    const ready = this.#due.filter(due => due.atMs <= nowMs)
    this.#due = this.#due.filter(due => due.atMs > nowMs)
    for (const due of ready) due.run()
    for (const [id, replica] of this.#replicas) if (replica.nextWakeAtMs() <= nowMs) this.#step(id, { kind: 'tick' })
  }

  #step (id: VoterId, event: ReplicaEvent<BenchCommand>): void {
    const effects = this.#replicas.get(id)?.step(event, this.#clock.monotonicMs()) ?? []
    for (const effect of effects) this.#carryOut(id, effect)
  }

  #carryOut (id: VoterId, effect: ReplicaEffect<BenchCommand>): void {
    if (effect.kind === 'persist') {
      const { persistId } = effect
      this.#later(syncMs, () => this.#step(id, { kind: 'persisted', persistId }))
    }
    if (effect.kind !== 'send') return
    this.#onMessage(id, effect.to, effect.message)
    const receiver = [...this.#replicas.keys()].find(candidate => sameVoter(candidate, effect.to))
    if (receiver === undefined) return
    this.#later(delayMs, () => this.#step(receiver, { kind: 'message', from: id, message: effect.message }))
  }

  #later (afterMs: number, run: () => void): void {
    this.#due.push({ atMs: this.#clock.monotonicMs() + afterMs, run })
  }
}
