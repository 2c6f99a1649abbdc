/** A stand-in for a worker VM: announces itself, takes orders and runs tasks (as timers) under leases. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock } from '@comfreygrade/core'
import { EntryClient } from './entry-client.js'
import { Heartbeat } from './heartbeat.js'
import { LoopbackServer, readBody, sendJson } from './loopback-server.js'
import type { OrderBatch, WorkerLeaseAnswer } from './orders.js'
import { FixedRunTime, type RunTimes } from './run-times.js'
import { SystemClock } from './system-clock.js'
import { type TaskRun, TaskTable } from './task-table.js'
import { type WorkerBehaviour, WorkNormally } from './worker-behaviour.js'

/** Settings of a stand-in worker. */
export interface WorkerSettings {
  readonly workerId: string
  /** Base URLs of entry nodes. */
  readonly entries: readonly string[]
  readonly accelerators: number
  readonly runTimes: RunTimes
  /** 0 takes a free port. */
  readonly port: number
  readonly heartbeatTimeoutMs: number
  /** Longest interval between heartbeats; a third of the lease where that is shorter. */
  readonly maxHeartbeatIntervalMs: number
}

const DEFAULT_SETTINGS: WorkerSettings = {
  workerId: 'worker-1',
  entries: [],
  accelerators: 8,
  runTimes: new FixedRunTime(1_000),
  port: 0,
  heartbeatTimeoutMs: 1_000,
  maxHeartbeatIntervalMs: 1_000
}

/** Three heartbeats fit into a lease, so that one lost heartbeat stops no task. */
const HEARTBEATS_PER_LEASE = 3

/** Runs tasks as timers under leases of the control leader. */
export class StandInWorker {
  readonly #settings: WorkerSettings
  readonly #clock: Clock
  readonly #incarnation: number
  readonly #table: TaskTable
  readonly #server = new LoopbackServer(async (request, response) => { await this.#handle(request, response) })
  readonly #entries: EntryClient
  readonly #heartbeat = new Heartbeat(async () => { await this.#announce() }, () => this.#heartbeatIntervalMs)
  #heartbeatIntervalMs: number
  #timer: NodeJS.Timeout | undefined
  #sequence = 0
  #acceptedHeartbeats = 0
  #isFrozen = false
  #isStopped = false

  /**
   * @example
   * const worker = new StandInWorker({ workerId: 'w1', entries: ['http://127.0.0.1:8080'] })
   * await worker.start()
   * worker.runs // []
   * await worker.stop()
   */
  constructor (settings: Partial<WorkerSettings> = {}, clock: Clock = new SystemClock()) {
    this.#settings = { ...DEFAULT_SETTINGS, ...settings }
    this.#clock = clock
    this.#heartbeatIntervalMs = this.#settings.maxHeartbeatIntervalMs
    this.#incarnation = clock.wallMs()
    const { accelerators, runTimes } = this.#settings
    this.#table = new TaskTable(accelerators, runTimes, new WorkNormally(), this.#incarnation)
    this.#entries = new EntryClient(this.#settings.entries, this.#settings.heartbeatTimeoutMs)
  }

  /** Base URL that orders are sent to. */
  get address (): string {
    return this.#server.address
  }

  /** Every task that this worker ever held, in order of preparation. */
  get runs (): readonly TaskRun[] {
    return this.#table.runs
  }

  /** Heartbeats that were answered with a lease. */
  get acceptedHeartbeats (): number {
    return this.#acceptedHeartbeats
  }

  /** Replaces the behaviour for orders from now on. */
  behave (behaviour: WorkerBehaviour): void {
    this.#table.behave(behaviour)
  }

  /** Opens the port and announces the worker. */
  async start (): Promise<void> {
    await this.#server.listen(this.#settings.port)
    if (this.#settings.entries.length > 0) this.#heartbeat.start()
  }

  /** Leaves: stops all tasks, tells an entry node and closes the port. */
  async stop (): Promise<void> {
    this.#isStopped = true
    await this.#heartbeat.stop()
    this.#table.stopAll(this.#clock.monotonicMs())
    clearTimeout(this.#timer)
    if (this.#settings.entries.length > 0) {
      await this.#entries.send('DELETE', `/v1/workers/${this.#settings.workerId}`)
    }
    await this.#server.destroy()
    await this.#entries.close()
  }

  /** Ends at once, as a VM does that loses power: nothing is told to anybody. */
  async kill (): Promise<void> {
    this.#isStopped = true
    const stopped = this.#heartbeat.stop()
    this.#table.stopAll(this.#clock.monotonicMs())
    clearTimeout(this.#timer)
    await this.#entries.close()
    await this.#server.destroy()
    await stopped
  }

  /** Stops everything that the VM does without closing a connection; orders get no answer. */
  freeze (): void {
    this.#isFrozen = true
    clearTimeout(this.#timer)
  }

  /** Goes on after a freeze; tasks whose lease has passed are stopped before anything else happens. */
  thaw (): void {
    this.#isFrozen = false
    this.#advance()
    this.#heartbeat.beatNow()
  }

  async #announce (): Promise<void> {
    if (this.#isFrozen) return
    const { workerId } = this.#settings
    const tasks = this.#table.report()
    const sentMs = this.#clock.monotonicMs()
    this.#sequence++
    const report = { incarnation: this.#incarnation, sequence: this.#sequence, address: this.address, tasks }
    const answer = await this.#entries.send('PUT', `/v1/workers/${workerId}`, report)
    if (this.#isFrozen || answer.kind !== 'answered' || answer.status >= 300) return
    this.#acceptedHeartbeats++
    const lease = answer.body as WorkerLeaseAnswer
    this.#table.renew(lease, sentMs, this.#clock.monotonicMs())
    this.#heartbeatIntervalMs = Math.min(this.#settings.maxHeartbeatIntervalMs, lease.leaseMs / HEARTBEATS_PER_LEASE)
    this.#schedule()
  }

  async #handle (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request)
    if (this.#isFrozen) return
    if (request.method !== 'POST' || request.url !== '/v1/orders') {
      sendJson(response, 404, { detail: 'only POST /v1/orders exists' })
      return
    }
    const batch = JSON.parse(body.toString('utf8')) as OrderBatch
    sendJson(response, 200, this.#table.handle(batch, this.#clock.monotonicMs()))
    this.#schedule()
  }

  /** Ends what is due and reports it at once, so that the leader does not wait for the interval. */
  #advance (): void {
    if (this.#table.advance(this.#clock.monotonicMs())) this.#heartbeat.beatNow()
    this.#schedule()
  }

  #schedule (): void {
    clearTimeout(this.#timer)
    const dueMs = this.#table.nextDueMs()
    if (dueMs === undefined || this.#isFrozen || this.#isStopped) return
    // Timers may fire up to a millisecond early; rounding up avoids a second wake-up.
    const delayMs = Math.max(0, Math.ceil(dueMs - this.#clock.monotonicMs()))
    this.#timer = setTimeout(() => this.#advance(), delayMs)
  }
}
