/** Control role of a process: the replicated batch state, and the leader's work while this node leads. */
import { randomUUID } from 'node:crypto'
import { Encoder } from 'cbor-x'
import {
  BatchLeader, BatchState, type BatchCommand, type BatchSettings, type BatchSnapshot, type LeaderEffect,
  type LeaderEvent
} from '@comfreygrade/batch'
import type { LogStorage, RecoveredLog, Replica, ReplicaSettings, VoterId } from '@comfreygrade/consensus'
import { fail, type Clock, type EventLog, type Metrics, type Random } from '@comfreygrade/core'
import { ReplicaHost, StateMachine } from '@comfreygrade/node/adapters'
import type { Ask, AskAnswer, BatchMessage } from './messages.js'
import type { AdvicePort, VmPort } from './ports.js'

/** Options of {@link BatchService}. */
export interface BatchServiceOptions {
  readonly self: VoterId
  readonly storage: LogStorage<BatchCommand>
  readonly recovered: RecoveredLog<BatchCommand>
  readonly settings: BatchSettings
  readonly replicaSettings: ReplicaSettings
  readonly snapshotAfterEntries: number
  /** Steady clock, for times between heartbeats. */
  readonly clock: Clock
  /** Clock for leases of this node, which goes on while the machine is suspended. */
  readonly leaseClock: Clock
  readonly random: Random
  readonly metrics: Metrics
  readonly log: EventLog
  readonly advice: AdvicePort
  readonly vms: VmPort
  readonly send: (nodeId: string, message: BatchMessage) => boolean
  readonly storageFailed: (error: unknown) => void
}

type Resolve = (answer: AskAnswer) => void

/** Runs the replica, applies commits and drives the leader. */
export class BatchService extends StateMachine<BatchCommand> {
  readonly #options: BatchServiceOptions
  readonly #host: ReplicaHost<BatchCommand>
  readonly #codec = new Encoder({ useRecords: false, mapsAsObjects: true })
  readonly #pending = new Map<string, Resolve>()
  #state: BatchState
  #leader: BatchLeader | undefined
  #timer: NodeJS.Timeout | undefined

  constructor (options: BatchServiceOptions) {
    super()
    this.#options = options
    this.#state = new BatchState(options.settings)
    this.#host = new ReplicaHost({
      ...options,
      clock: options.leaseClock,
      machine: this,
      send: ({ to, message }) => { options.send(to.nodeId, { kind: 'raft', from: options.self, to, message }) }
    })
    this.#host.run(options.recovered)
  }

  /** The replica; it runs from the start. */
  get replica (): Replica<BatchCommand> | null {
    return this.#host.replica
  }

  get leaderNodeId (): string | null {
    return this.replica?.leader?.nodeId ?? null
  }

  get isActiveLeader (): boolean {
    return this.#host.isActiveLeader
  }

  /** Takes a consensus message. */
  receiveRaft ({ from, to, message }: Extract<BatchMessage, { kind: 'raft' }>): void {
    // A message to the former disk of this node must not be taken as one to the new disk.
    if (to.diskId !== this.#options.self.diskId) return
    this.#host.step({ kind: 'message', from, message })
  }

  /** Answers if this node leads. */
  async ask (ask: Ask): Promise<AskAnswer> {
    if (!this.#host.isActiveLeader || this.#leader === undefined) {
      return { kind: 'not_leader', leaderNodeId: this.leaderNodeId }
    }
    const requestId = randomUUID()
    return await new Promise<AskAnswer>(resolve => {
      this.#pending.set(requestId, resolve)
      this.#tell({ requestId, ...ask })
    })
  }

  /** Replaces or adds a voter. */
  changeVoters (remove: VoterId | null, add: VoterId): void {
    this.#host.step({ kind: 'replace_voter', proposalId: randomUUID(), remove, add })
  }

  /** Hands leadership over before a shutdown. */
  stepDown (): void {
    this.#host.step({ kind: 'step_down' })
  }

  async stop (): Promise<void> {
    clearTimeout(this.#timer)
    await this.#host.stop()
  }

  override apply (command: BatchCommand, proposalId: string, _index: number, logTimeMs: number): void {
    const result = this.#state.apply(command, logTimeMs)
    this.#tell({ kind: 'applied', proposalId, result })
  }

  override encodeSnapshot (): Uint8Array {
    return this.#codec.encode(this.#state.snapshot())
  }

  override restore (content: Uint8Array): void {
    this.#state = BatchState.restore(this.#codec.decode(content) as BatchSnapshot, this.#options.settings)
  }

  override proposalRejected (proposalId: string, isCertain: boolean): void {
    this.#tell({ kind: 'rejected', proposalId, isCertain })
  }

  override leadershipStarted (term: number): void {
    const { settings, clock, metrics, log } = this.#options
    this.#leader = new BatchLeader({ term, state: this.#state, settings, clock, metrics, log })
    this.#tell({ kind: 'tick' })
  }

  override leadershipEnded (): void {
    this.#leader = undefined
    clearTimeout(this.#timer)
    const pending = [...this.#pending.values()]
    this.#pending.clear()
    // Proposals may still commit under the next leader, so nothing is said about them.
    const result = fail('outcome_unknown', 'the control leader lost its role')
    for (const resolve of pending) resolve({ kind: 'result', result })
  }

  #tell (event: LeaderEvent): void {
    const leader = this.#leader
    if (leader === undefined) return
    const effects = leader.handle(event)
    for (const effect of effects) this.#carryOut(effect)
    this.#schedule()
  }

  #schedule (): void {
    clearTimeout(this.#timer)
    if (this.#leader === undefined) return
    this.#timer = setTimeout(() => { this.#tell({ kind: 'tick' }) }, this.#leader.nextTickMs())
  }

  #carryOut (effect: LeaderEffect): void {
    switch (effect.kind) {
      case 'propose':
        this.#host.step({ kind: 'propose', proposalId: effect.proposalId, command: effect.command })
        break
      case 'reply':
        this.#answer(effect.requestId, { kind: 'result', result: effect.result })
        break
      case 'reply_worker':
        this.#answer(effect.requestId, {
          kind: 'orders', orders: effect.orders ?? null, leaderNodeId: this.#options.self.nodeId
        })
        break
      case 'begin_maintenance':
        this.#beginMaintenance(effect)
        break
      case 'ask_advice':
        this.#askAdvice(effect)
        break
    }
  }

  /** A leader that has lost its majority meanwhile gives no answer that a later leader could contradict. */
  #answer (requestId: string, answer: AskAnswer): void {
    const resolve = this.#pending.get(requestId)
    this.#pending.delete(requestId)
    if (resolve === undefined) return
    if (this.#host.isActiveLeader) return resolve(answer)
    resolve({ kind: 'result', result: fail('outcome_unknown', 'the control leader lost its majority') })
  }

  async #beginMaintenance ({ call, fencingToken }: Extract<LeaderEffect, { kind: 'begin_maintenance' }>): Promise<void> {
    const { vms, self } = this.#options
    const answer = await vms.beginMaintenance(call, { holder: self.nodeId, fencingToken })
    this.#tell({ kind: 'maintenance_answered', call, answer })
  }

  async #askAdvice ({ stepKey, workerIds }: Extract<LeaderEffect, { kind: 'ask_advice' }>): Promise<void> {
    const askedAtMs = this.#options.clock.monotonicMs()
    const tickets = await this.#options.advice.ask(stepKey, workerIds)
    this.#tell({ kind: 'advice', stepKey, tickets, askedAtMs })
  }
}
