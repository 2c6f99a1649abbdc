/** A stand-in for a worker VM: registers itself, accepts orders and simulates tasks with timers. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Clock } from '@comfreygrade/core'
import { startTimer } from '@comfreygrade/timers'
import { EntryClient } from './entry-client.js'
import { Heartbeat } from './heartbeat.js'
import { LoopbackServer, readBody, sendJson } from './loopback-server.js'
import type { OrderBatch, WorkerLeaseResponse } from './orders.js'
import { FixedRunTime, type RunTimes } from './run-times.js'
import { SystemClock } from './system-clock.js'
import { type TaskRun, TaskTable } from './task-table.js'
import { type WorkerBehaviour, CompleteTasksBehaviour } from './worker-behaviour.js'

export interface WorkerSettings {
  readonly workerId: string
  /** Base URLs of entry nodes. */
  readonly entryAddresses: readonly string[]
  readonly accelerators: number
  readonly runTimes: RunTimes
  /** 0 selects a free port. */
  readonly port: number
  readonly heartbeatTimeoutMs: number
  /** Upper bound of the heartbeat interval, which is otherwise a third of the lease. */
  readonly maxHeartbeatIntervalMs: number
}

const DEFAULT_SETTINGS: WorkerSettings = {
  workerId: 'worker-1',
  entryAddresses: [],
  accelerators: 8,
  runTimes: new FixedRunTime(1_000),
  port: 0,
  heartbeatTimeoutMs: 1_000,
  maxHeartbeatIntervalMs: 1_000
}

/** With three heartbeats in each lease, the loss of one stops no task. */
const HEARTBEATS_PER_LEASE = 3

/** Runs tasks under a lease that the control leader grants and renews. */
export class StandInWorker {
  readonly #settings: WorkerSettings
  readonly #clock: Clock
  readonly #incarnation: number
  readonly #taskTable: TaskTable
  readonly #server = new LoopbackServer(async (request, response) => { await this.#handleRequest(request, response) })
  readonly #entryClient: EntryClient
  readonly #heartbeat = new Heartbeat(async () => { await this.#sendHeartbeat() }, () => this.#heartbeatIntervalMs)
  #heartbeatIntervalMs: number
  #dueTimer: NodeJS.Timeout | undefined
  #sequence = 0
  #acceptedHeartbeats = 0
  #isFrozen = false
  #isStopped = false

  /**
   * @example
   * const worker = new StandInWorker({ workerId: 'w1', accelerators: 8 })
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
    this.#taskTable = new TaskTable(accelerators, runTimes, new CompleteTasksBehaviour(), this.#incarnation)
    this.#entryClient = new EntryClient(this.#settings.entryAddresses, this.#settings.heartbeatTimeoutMs)
  }

  /** Base URL that orders are sent to. */
  get address (): string {
    return this.#server.address
  }

  /** Every task that this worker ever accepted, in order of preparation. */
  get runs (): readonly TaskRun[] {
    return this.#taskTable.runs
  }

  /** Number of heartbeats that an entry node accepted. */
  get acceptedHeartbeats (): number {
    return this.#acceptedHeartbeats
  }

  /** Sets the behaviour for orders from now on. */
  setBehaviour (behaviour: WorkerBehaviour): void {
    this.#taskTable.setBehaviour(behaviour)
  }

  /** Opens the port and starts the heartbeats, which register the worker. */
  async start (): Promise<void> {
    await this.#server.listen(this.#settings.port)
    if (this.#settings.entryAddresses.length > 0) this.#heartbeat.start()
  }

  /** Shuts down gracefully: stops all tasks, deregisters at an entry node and closes the port. */
  async stop (): Promise<void> {
    this.#isStopped = true
    await this.#heartbeat.stop()
    this.#taskTable.stopAll(this.#clock.monotonicMs())
    clearTimeout(this.#dueTimer)
    if (this.#settings.entryAddresses.length > 0) {
      await this.#entryClient.send('DELETE', `/v1/workers/${this.#settings.workerId}`)
    }
    await this.#server.destroy()
    await this.#entryClient.close()
  }

  /** Stops all tasks and closes all connections without deregistering, like a VM that loses power. */
  async kill (): Promise<void> {
    this.#isStopped = true
    const heartbeatStopped = this.#heartbeat.stop()
    this.#taskTable.stopAll(this.#clock.monotonicMs())
    clearTimeout(this.#dueTimer)
    await this.#entryClient.close()
    await this.#server.destroy()
    await heartbeatStopped
  }

  /** Simulates a frozen VM: heartbeats and timers stop, and orders get no response, but connections stay open. */
  freeze (): void {
    this.#isFrozen = true
    clearTimeout(this.#dueTimer)
  }

  /** Ends a freeze; tasks whose lease has expired are stopped before anything else happens. */
  resume (): void {
    this.#isFrozen = false
    this.#endDueTasks()
    this.#heartbeat.sendNow()
  }

  async #sendHeartbeat (): Promise<void> {
    if (this.#isFrozen) return
    const { workerId } = this.#settings
    const tasks = this.#taskTable.createReports()
    const sentMs = this.#clock.monotonicMs()
    this.#sequence++
    const report = { incarnation: this.#incarnation, sequence: this.#sequence, address: this.address, tasks }
    const response = await this.#entryClient.send('PUT', `/v1/workers/${workerId}`, report)
    if (this.#isFrozen || response.kind !== 'answered' || response.status >= 300) return
    this.#acceptedHeartbeats++
    const lease = response.body as WorkerLeaseResponse
    this.#taskTable.renewLease(lease, sentMs, this.#clock.monotonicMs())
    this.#heartbeatIntervalMs = Math.min(this.#settings.maxHeartbeatIntervalMs, lease.leaseMs / HEARTBEATS_PER_LEASE)
    this.#scheduleDueTimer()
  }

  async #handleRequest (request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request)
    if (this.#isFrozen) return
    if (request.method !== 'POST' || request.url !== '/v1/orders') {
      sendJson(response, 404, { detail: 'only POST /v1/orders exists' })
      return
    }
    const batch = JSON.parse(body.toString('utf8')) as OrderBatch
    sendJson(response, 200, this.#taskTable.handleOrders(batch, this.#clock.monotonicMs()))
    this.#scheduleDueTimer()
  }

  /** Ends the tasks that are due and reports them at once, so that the leader need not wait for the next heartbeat. */
  #endDueTasks (): void {
    if (this.#taskTable.endDueTasks(this.#clock.monotonicMs())) this.#heartbeat.sendNow()
    this.#scheduleDueTimer()
  }

  #scheduleDueTimer (): void {
    clearTimeout(this.#dueTimer)
    const dueMs = this.#taskTable.nextDueMs()
    if (dueMs === undefined || this.#isFrozen || this.#isStopped) return
    // A timer can fire up to 1 ms early; rounding up avoids a second wake-up.
    const delayMs = Math.max(0, Math.ceil(dueMs - this.#clock.monotonicMs()))
    this.#dueTimer = startTimer(delayMs, () => this.#endDueTasks())
  }
}
