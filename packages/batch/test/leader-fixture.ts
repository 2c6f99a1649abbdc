/** A leader whose proposals commit at once unless a test delays them. */
import { EventLog, ManualClock, NullMetrics, StrictEventLog } from '@comfreygrade/core'
import {
  BatchLeader, BatchState, defaultBatchSettings, plainPolicies, type BatchOperation, type BatchPolicies,
  type BatchResult, type BatchSettings, type LeaderEffect, type LeaderEvent, type MaintenanceCall, type PolicyContext,
  type WorkerOrders, type WorkerReport
} from '../src/index.js'
import { document, HOST, KEY, report } from './sample-data.js'
import type { StepSpec } from '../src/index.js'

/** Longer than the interval between passes. */
const PASS_WAIT_MS = 25
/** At least the longest wait of an answer for a pass. */
const HOLD_WAIT_MS = 60
const PROMPT_ANSWERS: Partial<BatchSettings> = { maxLongPollMs: HOLD_WAIT_MS, gangAssemblyMs: 0 }
/** Time by which `heartbeat` advances the clock after the report was received. */
export const HEARTBEAT_WAIT_MS = PASS_WAIT_MS + HOLD_WAIT_MS

type LogFields = Readonly<Record<string, unknown>>

/** Keeps the log lines, for tests of what the log explains. */
export class RecordingLog extends EventLog {
  readonly lines: Array<{ readonly message: string, readonly fields: LogFields }> = []

  override info (message: string, fields: LogFields = {}): void {
    this.lines.push({ message, fields })
  }

  override warn (message: string, fields: LogFields = {}): void {
    this.lines.push({ message, fields })
  }
}

/** Drives one leader and, after a change of leader, the next one. */
export class LeaderFixture {
  readonly clock = new ManualClock(1_000_000, 1_700_000_000_000)
  readonly state = new BatchState(defaultBatchSettings)
  readonly adviceRequests: Array<Extract<LeaderEffect, { kind: 'ask_advice' }>> = []
  readonly maintenanceCalls: MaintenanceCall[] = []
  leader: BatchLeader
  /** While false, proposals are only collected in `proposals`. */
  isCommitting = true
  readonly proposals: Array<Extract<LeaderEffect, { kind: 'propose' }>> = []
  readonly #uncommitted: Array<Extract<LeaderEffect, { kind: 'propose' }>> = []
  readonly #results = new Map<string, BatchResult>()
  readonly #orders = new Map<string, WorkerOrders | undefined>()
  readonly #settings: BatchSettings
  readonly #log: EventLog
  readonly #createPolicies: (context: PolicyContext) => BatchPolicies
  #term = 1
  #requestCount = 0

  /**
   * By default answers are not held for long and gangs start member by member; pass `{}` for the default settings of
   * the package.
   */
  constructor (
    initialDocument = document(),
    settings: Partial<BatchSettings> = PROMPT_ANSWERS,
    log: EventLog = new StrictEventLog(),
    createPolicies: (context: PolicyContext) => BatchPolicies = plainPolicies
  ) {
    this.#log = log
    this.#createPolicies = createPolicies
    this.#settings = { ...defaultBatchSettings, ...settings }
    this.state.apply({ kind: 'put_configuration', document: initialDocument }, 0)
    this.leader = this.#createLeader()
  }

  /** Starts the next term, with the same replicated state and a new leader. */
  changeLeader (): void {
    this.#term++
    this.leader = this.#createLeader()
  }

  execute (operation: BatchOperation): BatchResult | undefined {
    const requestId = `r${++this.#requestCount}`
    this.deliver({ kind: 'operation', requestId, operation })
    return this.#results.get(requestId)
  }

  submit (jobId: string, steps: readonly StepSpec[], queuePath = '/normal/'): BatchResult | undefined {
    const request = { host: HOST, path: `${queuePath}${jobId}`, apiKey: KEY }
    const result = this.execute({ kind: 'submit', request, spec: { payload: jobId, steps } })
    this.advance(PASS_WAIT_MS)
    return result
  }

  cancel (jobId: string, queuePath = '/normal/'): BatchResult | undefined {
    return this.execute({ kind: 'cancel', request: { host: HOST, path: `${queuePath}${jobId}`, apiKey: KEY } })
  }

  /** Sends a heartbeat, whose clock and sequence number follow the fixture's clock, and returns its answer. */
  heartbeat (workerId: string, fields: Partial<WorkerReport> = {}): WorkerOrders | undefined {
    const now = this.clock.monotonicMs()
    const requestId = this.sendReport(report(workerId, { clockMs: now, sequence: Math.round(now), ...fields }))
    this.advance(PASS_WAIT_MS)
    this.advance(HOLD_WAIT_MS)
    return this.#orders.get(requestId)
  }

  /** Sends a report without waiting for its answer, which `answerTo` returns. */
  sendReport (workerReport: WorkerReport): string {
    const requestId = `r${++this.#requestCount}`
    this.deliver({ kind: 'report', requestId, report: workerReport })
    return requestId
  }

  /** Orders in the answer to a report; undefined while it waits. */
  answerTo (requestId: string): WorkerOrders | undefined {
    return this.#orders.get(requestId)
  }

  /** Advances the clock and delivers a tick. */
  advance (elapsedMs: number): void {
    this.clock.advance(elapsedMs)
    this.deliver({ kind: 'tick' })
  }

  deliver (event: LeaderEvent): void {
    for (const effect of this.leader.handle(event)) this.#carryOut(effect)
  }

  #createLeader (): BatchLeader {
    const { clock, state } = this
    const context = { settings: this.#settings, clock, metrics: new NullMetrics(), log: this.#log }
    return new BatchLeader({ ...context, term: this.#term, state, policies: this.#createPolicies(context) })
  }

  #carryOut (effect: LeaderEffect): void {
    switch (effect.kind) {
      case 'propose': return this.#propose(effect)
      case 'reply': this.#results.set(effect.requestId, effect.result); break
      case 'reply_worker': this.#orders.set(effect.requestId, effect.orders); break
      case 'begin_maintenance': this.maintenanceCalls.push(effect.call); break
      case 'ask_advice': this.adviceRequests.push(effect); break
    }
  }

  /** Commits the oldest proposal that was only collected, and returns it. */
  commitNext (): Extract<LeaderEffect, { kind: 'propose' }> | undefined {
    const effect = this.#uncommitted.shift()
    if (effect !== undefined) this.#commit(effect)
    return effect
  }

  /** Refuses the oldest proposal that was only collected, as a log does whose queue is full, and returns it. */
  refuseNext (): Extract<LeaderEffect, { kind: 'propose' }> | undefined {
    const effect = this.#uncommitted.shift()
    if (effect !== undefined) this.deliver({ kind: 'rejected', proposalId: effect.proposalId, isCertain: true })
    return effect
  }

  #propose (effect: Extract<LeaderEffect, { kind: 'propose' }>): void {
    this.proposals.push(effect)
    if (this.isCommitting) this.#commit(effect)
    else this.#uncommitted.push(effect)
  }

  #commit (effect: Extract<LeaderEffect, { kind: 'propose' }>): void {
    const result = this.state.apply(effect.command, this.clock.monotonicMs())
    this.deliver({ kind: 'applied', proposalId: effect.proposalId, result })
  }
}

/** The entries of a report for runs that were started. */
export function runningTasks (starts: WorkerOrders['starts'], percent = 10): WorkerReport['running'] {
  return starts.map(({ taskKey, run }) => ({ taskKey, run, checkpoint: '', percent, usage: 0 }))
}
