/** A control node in the simulation of the run protocol: the production state and leader on a simulated log. */
import { Encoder } from 'cbor-x'
import { NullMetrics, type Clock, type EventLog } from '@comfreygrade/core'
import {
  adaptivePolicies, BatchLeader, BatchState, plainPolicies, type BatchCommand, type BatchResult, type BatchSettings,
  type BatchSnapshot, type LeaderEvent, type MaintenanceAnswer, type MaintenanceCall, type WorkerOrders
} from '@comfreygrade/batch'
import type { ProtocolProfile } from './protocol-profile.js'

/** A command in the simulated log. */
export interface LogEntry {
  readonly logTimeMs: number
  readonly proposalId: string
  readonly command: BatchCommand
}

/** What the leader answers to a heartbeat or an operation; undefined for a heartbeat that it ignores. */
export type Answer = WorkerOrders | BatchResult | undefined

/** Encoded state of a replica after a number of entries. */
export interface NodeSnapshot {
  readonly content: Uint8Array
  readonly appliedCount: number
}

type Reply = (answer: Answer) => void

/** Options of {@link ProtocolNode}. */
export interface ProtocolNodeOptions {
  readonly settings: BatchSettings
  readonly clock: Clock
  readonly policies: ProtocolProfile['policies']
  readonly log: EventLog
  readonly beginMaintenance: (node: ProtocolNode, call: MaintenanceCall, fencingToken: number) => void
  readonly propose: (node: ProtocolNode, proposal: Pick<LogEntry, 'proposalId' | 'command'>) => void
}

/** Hosts one replica of the state and, while it leads, the leader of the term. */
export class ProtocolNode {
  readonly #options: ProtocolNodeOptions
  #state: BatchState
  readonly #replies = new Map<string, Reply>()
  #leader: BatchLeader | undefined
  #term = 0
  #appliedCount = 0
  #requestCount = 0
  /** Whether this node holds the quorum lease; without it no request is handled and no answer is sent. */
  hasQuorumLease = false
  frozenUntilMs = -Infinity
  isUp = true
  /** Time until which no message passes between this node and others. */
  cutOffUntilMs = -Infinity

  constructor (options: ProtocolNodeOptions) {
    this.#options = options
    this.#state = new BatchState(options.settings)
  }

  get state (): BatchState {
    return this.#state
  }

  get isFrozen (): boolean {
    return this.#options.clock.monotonicMs() < this.frozenUntilMs
  }

  get isCutOff (): boolean {
    return this.#options.clock.monotonicMs() < this.cutOffUntilMs
  }

  /** Applies the committed entries that this replica lacks. */
  catchUp (log: readonly LogEntry[]): void {
    for (const { proposalId, command, logTimeMs } of log.slice(this.#appliedCount)) {
      this.#appliedCount++
      const result = this.#state.apply(command, logTimeMs)
      this.#dispatch({ kind: 'applied', proposalId, result })
    }
  }

  /** A replica that does not lead lags behind; one that still believes to lead receives nothing. */
  follow (log: readonly LogEntry[]): void {
    if (this.isUp && !this.isFrozen && !this.isCutOff && this.#leader === undefined) this.catchUp(log)
  }

  /** Refuses a proposal for good, since too many wait. */
  refuseProposal (proposalId: string): void {
    this.#dispatch({ kind: 'rejected', proposalId, isCertain: true })
  }

  takeSnapshot (): NodeSnapshot {
    return { content: ProtocolNode.CODEC.encode(this.#state.snapshot()), appliedCount: this.#appliedCount }
  }

  kill (): void {
    this.stepDown()
    this.isUp = false
  }

  /** Starts again with the state of a snapshot, its own or that of another replica. */
  restart ({ content, appliedCount }: NodeSnapshot): void {
    this.#state = BatchState.restore(ProtocolNode.CODEC.decode(content) as BatchSnapshot, this.#options.settings)
    this.#appliedCount = appliedCount
    this.frozenUntilMs = -Infinity
    this.isUp = true
  }

  lead (term: number): void {
    this.#term = term
    const { settings, clock, log } = this.#options
    const metrics = ProtocolNode.NULL_METRICS
    const isAdaptive = this.#options.policies === 'adaptive'
    const policies = isAdaptive ? adaptivePolicies({ settings, clock, metrics, log }) : plainPolicies()
    this.#leader = new BatchLeader({ term, state: this.#state, settings, clock, metrics, log, policies })
    this.hasQuorumLease = true
  }

  /** The node learns that it does not lead any more. */
  stepDown (): void {
    this.#leader = undefined
    this.hasQuorumLease = false
    this.#replies.clear()
  }

  /** Handles a request as the leader; returns whether this node leads. */
  handle (createEvent: (requestId: string) => LeaderEvent, reply: Reply): boolean {
    if (!this.hasQuorumLease || this.#leader === undefined) return false
    const requestId = `r${++this.#requestCount}`
    this.#replies.set(requestId, reply)
    this.#dispatch(createEvent(requestId))
    return true
  }

  /** The platform answers a call of the leader of a term, which counts only for that leader. */
  answerMaintenance (term: number, call: MaintenanceCall, answer: MaintenanceAnswer): void {
    if (this.#term === term) this.#dispatch({ kind: 'maintenance_answered', call, answer })
  }

  tick (): void {
    this.#dispatch({ kind: 'tick' })
  }

  #dispatch (event: LeaderEvent): void {
    for (const effect of this.#leader?.handle(event) ?? []) {
      if (effect.kind === 'propose') this.#options.propose(this, effect)
      if (effect.kind === 'begin_maintenance') this.#options.beginMaintenance(this, effect.call, effect.fencingToken)
      if (effect.kind === 'reply') this.#respond(effect.requestId, effect.result)
      if (effect.kind === 'reply_worker') this.#respond(effect.requestId, effect.orders)
    }
  }

  #respond (requestId: string, answer: Answer): void {
    const reply = this.#replies.get(requestId)
    this.#replies.delete(requestId)
    if (this.hasQuorumLease) reply?.(answer)
  }

  /** Options as in the control service of a process. */
  static readonly CODEC = new Encoder({ useRecords: false, mapsAsObjects: true })
  static readonly NULL_METRICS = new NullMetrics()
}
