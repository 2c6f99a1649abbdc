/** Simulation of a control leader and its workers with a manual clock. Tests control the delivery of each message. */
import {
  defaultRules, diffDocument, emptyConfiguration, NullEventLog, NullMetrics,
  type ConfigurationDocument, type JobSpec, type WorkerReport
} from '@comfreygrade/core'
import {
  ControlLeader, ControlState, defaultControlSettings, defaultControlStateSettings,
  type ControlCommand, type ControlEffect, type ControlEvent, type ControlOperation, type ControlResult,
  type ControlSettings, type OrderResult
} from '../src/index.js'
import { FakeScheduler, FakeValidator } from './fake-scheduler.js'
import { ExecutionRecord, FakeWorker } from './fake-worker.js'

/** Short durations, so that a run covers many leases. */
export const testSettings: ControlSettings = {
  ...defaultControlSettings,
  leaseMs: 1_000,
  leadershipValidMs: 50,
  prepareTimeoutMs: 300,
  orderTimeoutMs: 100,
  orderRetryMs: 20,
  maxOrderRetryMs: 100,
  proposalRetryMs: 30,
  minPassIntervalMs: 5,
  idlePassIntervalMs: 100,
  workerHoldMs: 50,
  maxWorkerHoldMs: 200
}

export const stateOptions = { settings: defaultControlStateSettings, validator: new FakeValidator() }
/** Election time-out, which must be longer than `leadershipValidMs`. */
const ELECTION_TIMEOUT_MS = testSettings.leadershipValidMs + 1
const REPORT_INTERVAL_MS = 100
const ACCELERATORS_PER_WORKER = 4

type SendOrders = Extract<ControlEffect, { kind: 'send_orders' }>

/** Message in transit between the leader and a worker. */
export type Message =
  | { readonly kind: 'orders', readonly effect: SendOrders }
  | {
    readonly kind: 'answer'
    readonly workerId: string
    readonly messageId: string
    readonly results: readonly OrderResult[]
  }
  | { readonly kind: 'report', readonly report: WorkerReport, readonly sentMs: number }
  /** Answer to a report: a lease or a failure. */
  | { readonly kind: 'lease', readonly report: WorkerReport, readonly sentMs: number, readonly result: ControlResult }

export interface SimulationOptions {
  readonly settings?: Partial<ControlSettings>
  readonly workers?: number
  readonly scheduler?: FakeScheduler
  /** Modifies messages in transit, to show that a check detects the resulting violation. */
  readonly intercept?: (message: Message) => Message
}

export function job (jobId: string, changes: Partial<JobSpec> = {}): JobSpec {
  return {
    jobId,
    organisationId: 'o1',
    jobClass: 'nightly',
    tasks: 2,
    acceleratorModel: 'gpu',
    acceleratorsPerTask: 4,
    coresPerTask: 1,
    memoryGbPerTask: 1,
    adjacency: 'none',
    declaredRunMs: 400,
    priority: 'normal',
    preemption: 'repeat',
    ...changes
  }
}

export function inventory (workers: number): ConfigurationDocument {
  return {
    racks: [{ rackId: 'r1', region: 'salto', availabilityZone: 'salto-a' }],
    workers: Array.from({ length: workers }, (_, position) => ({
      workerId: `w${position}`,
      rackId: 'r1',
      rackPosition: position,
      cores: 64,
      memoryGb: 256,
      acceleratorModel: 'gpu',
      accelerators: ACCELERATORS_PER_WORKER
    })),
    organisations: [{ organisationId: 'o1', quotaAccelerators: 100, weight: 1 }],
    guarantees: [],
    rules: { ...defaultRules, reclaimWithinMs: 600 }
  }
}

export class Simulation {
  readonly state = new ControlState(stateOptions)
  readonly executionRecord = new ExecutionRecord()
  readonly workers: FakeWorker[]
  readonly replies = new Map<string, ControlResult>()
  readonly committed: ControlCommand[] = []
  readonly messages: Message[] = []
  proposals: Array<{ readonly proposalId: string, readonly command: ControlCommand }> = []
  scheduler: FakeScheduler
  leader: ControlLeader
  /** Previous leader, which does not know yet that it was replaced. */
  formerLeader: ControlLeader | undefined
  nowMs = 0
  readonly #settings: ControlSettings
  readonly #intercept: (message: Message) => Message
  readonly #pendingReports = new Map<string, { readonly report: WorkerReport, readonly sentMs: number }>()
  #term = 1
  #index = 0
  #requestCount = 0

  constructor (options: SimulationOptions = {}) {
    const { settings = {}, workers = 3, scheduler = new FakeScheduler(), intercept = message => message } = options
    this.scheduler = scheduler
    this.#settings = { ...testSettings, ...settings }
    this.#intercept = intercept
    // Relative to the leader's clock; each deviates from it by less than `clockRateBound`, which is 0.01.
    const rates = [1, 0.991, 1.009]
    this.workers = inventory(workers).workers.map(({ workerId }, position) =>
      new FakeWorker(workerId, rates[position % rates.length] ?? 1, this.executionRecord))
    this.#apply({ kind: 'apply_configuration', change: diffDocument(emptyConfiguration(), inventory(workers)) })
    this.leader = this.#newLeader()
    this.dispatch({ kind: 'tick' })
  }

  worker (workerId: string): FakeWorker {
    const worker = this.workers.find(candidate => candidate.workerId === workerId)
    if (worker === undefined) throw new Error(`no worker ${workerId}`)
    return worker
  }

  /** Passes an event to a leader and applies its effects. */
  dispatch (event: ControlEvent, leader = this.leader): void {
    const effects = leader.handle(event, this.nowMs)
    // Proposals of a former leader are never committed, but its orders and answers are delivered.
    this.#applyEffects(effects, leader === this.leader)
  }

  request (operation: ControlOperation): string {
    this.#requestCount += 1
    const requestId = `q${this.#requestCount}`
    this.dispatch({ kind: 'operation', requestId, operation })
    return requestId
  }

  commit (): void {
    const proposal = this.proposals.shift()
    if (proposal === undefined) return
    const { command, proposalId } = proposal
    const result = this.#apply(command)
    this.dispatch({ kind: 'applied', proposalId, index: this.#index, command, result })
  }

  /** Commits all proposals, including those that result from the commits. */
  commitAll (): void {
    while (this.proposals.length > 0) this.commit()
  }

  /** Delivers a message; with `isDuplicated` it stays in transit and is delivered again. */
  deliver (position: number, isDuplicated = false, isToFormerLeader = false): void {
    const message = this.messages[position]
    if (message === undefined) return
    if (!isDuplicated) this.messages.splice(position, 1)
    if (this.#isPartitioned(message)) return
    const leader = isToFormerLeader ? this.formerLeader ?? this.leader : this.leader
    switch (message.kind) {
      case 'orders': this.#deliverOrders(message.effect); break
      case 'answer': this.dispatch({ kind: 'orders_answered', messageId: message.messageId, results: message.results }, leader); break
      case 'report': this.#deliverReport(message, leader); break
      case 'lease': this.#deliverLease(message); break
    }
  }

  drop (position: number): void {
    this.messages.splice(position, 1)
  }

  sendReport (worker: FakeWorker): void {
    if (!worker.isProcessRunning) return
    this.#send({ kind: 'report', report: worker.report(this.nowMs), sentMs: this.nowMs })
  }

  /** Advances time, with a `tick` at each wake-up time that the leader requests. */
  advance (elapsedMs: number): void {
    const endMs = this.nowMs + elapsedMs
    while (this.nowMs < endMs) {
      const wakeMs = Math.max(this.leader.nextWakeAtMs(), this.nowMs + 1)
      this.nowMs = Math.min(endMs, wakeMs)
      for (const worker of this.workers) worker.advance(this.nowMs)
      this.dispatch({ kind: 'tick' })
    }
  }

  /** Elects a new leader. The first `committedCount` proposals in flight are still committed, the others are lost. */
  replaceLeader (committedCount = 0): void {
    for (const { command } of this.proposals.splice(0, committedCount)) this.#apply(command)
    this.proposals = []
    this.#advanceWithoutLeader(ELECTION_TIMEOUT_MS)
    this.formerLeader = this.leader
    this.#term += 1
    this.scheduler = new FakeScheduler()
    this.leader = this.#newLeader()
    this.dispatch({ kind: 'tick' })
  }

  #advanceWithoutLeader (elapsedMs: number): void {
    this.nowMs += elapsedMs
    for (const worker of this.workers) worker.advance(this.nowMs)
  }

  /** Commits the next proposal or else delivers the next message, in sending order; false if there is neither. */
  step (): boolean {
    if (this.proposals.length > 0) this.commit()
    else if (this.messages.length > 0) this.deliver(0)
    else return false
    return true
  }

  /** Runs without faults for a time, with regular worker reports. */
  run (durationMs: number): void {
    const endMs = this.nowMs + durationMs
    for (let reportMs = this.nowMs; this.nowMs < endMs; reportMs += REPORT_INTERVAL_MS) {
      for (const worker of this.workers) this.sendReport(worker)
      while (this.step());
      this.advance(REPORT_INTERVAL_MS / 2)
      while (this.step());
      this.advance(REPORT_INTERVAL_MS / 2)
    }
  }

  /** Ends all faults and runs until every job has ended, for at most `limitMs`. */
  recover (limitMs = 60_000): void {
    this.formerLeader = undefined
    for (const worker of this.workers) {
      worker.behaviour = 'works'
      worker.isPartitioned = false
      worker.resume(this.nowMs)
      if (worker.isCrashed) worker.restart(this.nowMs)
    }
    const endMs = this.nowMs + limitMs
    this.run(500)
    while (this.nowMs < endMs && [...this.state.jobs()].some(({ phase }) => phase !== 'ended')) this.run(500)
  }

  #apply (command: ControlCommand): ReturnType<ControlState['apply']> {
    this.#index += 1
    this.committed.push(command)
    return this.state.apply(command, this.#index, this.nowMs)
  }

  #newLeader (): ControlLeader {
    return new ControlLeader({
      term: this.#term,
      state: this.state,
      scheduler: this.scheduler,
      settings: this.#settings,
      metrics: new NullMetrics(),
      log: new NullEventLog()
    })
  }

  #applyEffects (effects: readonly ControlEffect[], isCurrentLeader: boolean): void {
    for (const effect of effects) {
      if (effect.kind === 'send_orders') this.#send({ kind: 'orders', effect })
      else if (effect.kind === 'reply') this.#reply(effect.requestId, effect.result)
      else if (isCurrentLeader) this.proposals.push(effect)
    }
  }

  #send (message: Message): void {
    this.messages.push(this.#intercept(message))
  }

  #reply (requestId: string, result: ControlResult): void {
    const pending = this.#pendingReports.get(requestId)
    this.#pendingReports.delete(requestId)
    if (pending === undefined) this.replies.set(requestId, result)
    else this.#send({ kind: 'lease', ...pending, result })
  }

  #isPartitioned (message: Message): boolean {
    switch (message.kind) {
      case 'orders': return this.worker(message.effect.workerId).isPartitioned
      case 'answer': return this.worker(message.workerId).isPartitioned
      default: return this.worker(message.report.workerId).isPartitioned
    }
  }

  #deliverOrders ({ messageId, workerId, term, orders }: SendOrders): void {
    const worker = this.worker(workerId)
    if (!worker.isProcessRunning) return
    this.#send({ kind: 'answer', workerId, messageId, results: worker.receive(term, orders, this.nowMs) })
  }

  #deliverReport ({ report, sentMs }: Extract<Message, { kind: 'report' }>, leader: ControlLeader): void {
    this.#requestCount += 1
    const requestId = `r${this.#requestCount}`
    this.#pendingReports.set(requestId, { report, sentMs })
    this.dispatch({ kind: 'operation', requestId, operation: { kind: 'report_worker', report } }, leader)
  }

  #deliverLease ({ report, sentMs, result }: Extract<Message, { kind: 'lease' }>): void {
    if (!result.ok || result.value.kind !== 'worker_lease') return
    this.worker(report.workerId).renew(result.value, report, sentMs, this.nowMs)
  }
}
