/** A leader whose proposals commit at once, for tests of its decisions. */
import { ManualClock, NullEventLog, NullMetrics } from '@comfreygrade/core'
import {
  BatchLeader, BatchState, defaultBatchSettings, type BatchOperation, type BatchResult, type BatchSettings,
  type LeaderEffect, type LeaderEvent, type MaintenanceCall, type WorkerOrders, type WorkerReport
} from '../src/index.js'
import { document, HOST, KEY, report } from './sample-data.js'
import type { StepSpec } from '../src/index.js'

/** Longer than the interval between passes. */
const PASS_MS = 25
/** Longer than the wait of a heartbeat for a pass. */
const HOLD_MS = 60

/** Drives one leader. */
export class LeaderFixture {
  readonly clock = new ManualClock(1_000_000, 1_700_000_000_000)
  readonly state = new BatchState(defaultBatchSettings)
  readonly adviceAsked: Array<Extract<LeaderEffect, { kind: 'ask_advice' }>> = []
  readonly maintenanceCalls: MaintenanceCall[] = []
  leader: BatchLeader
  /** While false, proposals wait in `proposed`. */
  commits = true
  readonly proposed: Array<Extract<LeaderEffect, { kind: 'propose' }>> = []
  readonly #results = new Map<string, BatchResult>()
  readonly #orders = new Map<string, WorkerOrders | undefined>()
  readonly #settings: BatchSettings
  #term = 1
  #requests = 0

  /** Idle workers are answered as soon as others, unless a test is about their wait. */
  constructor (first = document(), settings: Partial<BatchSettings> = { maxIdleHoldMs: HOLD_MS }) {
    this.#settings = { ...defaultBatchSettings, ...settings }
    this.state.apply({ kind: 'put_configuration', document: first }, 0)
    this.leader = this.#createLeader()
  }

  /** The next term begins with the same replicated state and no memory. */
  changeLeader (): void {
    this.#term++
    this.leader = this.#createLeader()
  }

  operate (operation: BatchOperation): BatchResult | undefined {
    const requestId = `r${++this.#requests}`
    this.tell({ kind: 'operation', requestId, operation })
    return this.#results.get(requestId)
  }

  submit (jobId: string, steps: readonly StepSpec[], queuePath = '/normal/'): BatchResult | undefined {
    const request = { host: HOST, path: `${queuePath}${jobId}`, apiKey: KEY }
    const result = this.operate({ kind: 'submit', request, spec: { payload: jobId, steps } })
    this.advance(PASS_MS)
    return result
  }

  cancel (jobId: string, queuePath = '/normal/'): BatchResult | undefined {
    return this.operate({ kind: 'cancel', request: { host: HOST, path: `${queuePath}${jobId}`, apiKey: KEY } })
  }

  /** Sends a heartbeat; its clock and number follow this fixture's clock. */
  beat (workerId: string, fields: Partial<WorkerReport> = {}): WorkerOrders | undefined {
    const now = this.clock.monotonicMs()
    const requestId = this.send(report(workerId, { clockMs: now, sequence: Math.round(now), ...fields }))
    this.advance(PASS_MS)
    this.advance(HOLD_MS)
    return this.#orders.get(requestId)
  }

  /** Sends a heartbeat and does not wait for its answer, which `answerTo` has later. */
  send (heartbeat: WorkerReport): string {
    const requestId = `r${++this.#requests}`
    this.tell({ kind: 'report', requestId, report: heartbeat })
    return requestId
  }

  /** Orders that a heartbeat was answered with; undefined while it waits. */
  answerTo (requestId: string): WorkerOrders | undefined {
    return this.#orders.get(requestId)
  }

  /** Lets time pass and ticks. */
  advance (elapsedMs: number): void {
    this.clock.advance(elapsedMs)
    this.tell({ kind: 'tick' })
  }

  tell (event: LeaderEvent): void {
    for (const effect of this.leader.handle(event)) this.#carryOut(effect)
  }

  #createLeader (): BatchLeader {
    const { clock, state } = this
    return new BatchLeader({
      term: this.#term,
      state,
      settings: this.#settings,
      clock,
      metrics: new NullMetrics(),
      log: new NullEventLog()
    })
  }

  #carryOut (effect: LeaderEffect): void {
    switch (effect.kind) {
      case 'propose': return this.#propose(effect)
      case 'reply': this.#results.set(effect.requestId, effect.result); break
      case 'reply_worker': this.#orders.set(effect.requestId, effect.orders); break
      case 'begin_maintenance': this.maintenanceCalls.push(effect.call); break
      case 'ask_advice': this.adviceAsked.push(effect); break
    }
  }

  #propose (effect: Extract<LeaderEffect, { kind: 'propose' }>): void {
    this.proposed.push(effect)
    if (!this.commits) return
    const result = this.state.apply(effect.command, this.clock.monotonicMs())
    this.tell({ kind: 'applied', proposalId: effect.proposalId, result })
  }
}

/** Rows of a heartbeat for started runs. */
export function rows (starts: WorkerOrders['starts'], percent = 10): WorkerReport['running'] {
  return starts.map(({ taskKey, run }) => ({ taskKey, run, checkpoint: '', percent, usage: 0 }))
}
