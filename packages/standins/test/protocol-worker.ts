/** A worker in the simulation of the run protocol: heartbeats over a network that delays and loses messages. */
import type { Clock } from '@comfreygrade/core'
import type { WorkerOrders, WorkerReport } from '@comfreygrade/batch'
import { LeasedRuns, type GangMeetings, type RunHistory } from '../src/index.js'

/** A worker discards an answer that comes later than this after its heartbeat. */
export const REPORT_TIMEOUT_MS = 1_000
const RETRY_MS = 100

/** Clock of a worker, which may be slow and has an origin of its own. */
class WorkerClock implements Clock {
  constructor (readonly trueClock: Clock, readonly rate: number, readonly originMs: number) {}

  monotonicMs (): number {
    return (this.trueClock.monotonicMs() - this.originMs) * this.rate
  }

  wallMs (): number {
    return this.trueClock.wallMs()
  }
}

/** Options of {@link ProtocolWorker}. */
export interface ProtocolWorkerOptions {
  readonly workerId: string
  readonly vmId: string
  readonly incarnation: number
  readonly trueClock: Clock
  /** Rate of the worker's clock against true time. */
  readonly clockRate: number
  readonly history: RunHistory
  readonly drawStopMs: () => number
  readonly gangs: GangMeetings
  readonly availabilityZone: string
  /** Number of nodes that the worker calls; 1 where the network finds the leader. */
  readonly nodeCount: number
  /** The node that the answers of a term name for later heartbeats; undefined for none. */
  readonly nodeIndexOf: (term: number) => number | undefined
}

/** One incarnation of a worker. */
export class ProtocolWorker {
  readonly #options: ProtocolWorkerOptions
  readonly #clock: WorkerClock
  readonly #runs: LeasedRuns
  #sequence = 0
  /** Number of the last end that the latest heartbeat lists. */
  #listedEndSequence = 0
  /** Number of the last end that the leader has soon learnt of. */
  #knownEndSequence = 0
  #isAlive = true
  #isLeaving = false
  #entryIndex = 0
  #sentTrueMs: number | undefined
  #sentMs = 0
  #nextReportTrueMs: number
  /**
   * Oldest end that the leader of a term has not recorded, the latest heartbeat of which the answer showed that, and
   * the time of the first such answer.
   */
  #unrecorded: {
    readonly term: number
    readonly sequence: number
    readonly latestReport: number
    readonly sinceMs: number
  } | undefined

  constructor (options: ProtocolWorkerOptions) {
    this.#options = options
    this.#nextReportTrueMs = options.trueClock.monotonicMs()
    this.#clock = new WorkerClock(options.trueClock, options.clockRate, this.#nextReportTrueMs)
    this.#runs = new LeasedRuns(options.workerId, this.#clock, options.history, options)
  }

  get workerId (): string {
    return this.#options.workerId
  }

  get vmId (): string {
    return this.#options.vmId
  }

  /** Node that the heartbeats are sent to. */
  get entryIndex (): number {
    return this.#entryIndex
  }

  get isAlive (): boolean {
    return this.#isAlive
  }

  /** Reports from now on that it is leaving. */
  prepareToLeave (): void {
    this.#isLeaving = true
  }

  crash (): void {
    this.#isAlive = false
    this.#runs.crash()
  }

  /** Time since the latest heartbeat, on the worker's clock. */
  get sinceReportMs (): number {
    return this.#clock.monotonicMs() - this.#sentMs
  }

  /** Leaves for good. The ends that it has listed count on, until it is known which of them have reached the leader. */
  exit (): void {
    this.#isAlive = false
    this.#runs.exit(this.#listedEndSequence)
  }

  /** Records that a heartbeat has reached the leader soon after it was sent. */
  recordPromptReport (report: WorkerReport): void {
    this.#knownEndSequence = Math.max(this.#knownEndSequence, report.ends.at(-1)?.sequence ?? 0)
  }

  /** After the exit, ends that the leader cannot know of do not count any more. */
  forgetUnknownEnds (): void {
    this.#runs.exit(this.#knownEndSequence)
  }

  /** Another leader does not know of any end that has not been recorded. */
  resetKnownEnds (): void {
    this.#knownEndSequence = 0
    if (!this.#isAlive) this.forgetUnknownEnds()
  }

  /** Ends that a worker has left behind become void with its lease. */
  expireEnds (): void {
    if (!this.#isAlive) this.#runs.endDueRuns()
  }

  /** Returns the next heartbeat if it is due. */
  takeDueReport (): WorkerReport | undefined {
    if (!this.#isAlive) return undefined
    const nowMs = this.#options.trueClock.monotonicMs()
    this.#runs.endDueRuns()
    if (this.#sentTrueMs !== undefined && nowMs - this.#sentTrueMs >= REPORT_TIMEOUT_MS) this.#callNextNode()
    if (this.#sentTrueMs !== undefined || nowMs < this.#nextReportTrueMs) return undefined
    this.#sentTrueMs = nowMs
    this.#sentMs = this.#clock.monotonicMs()
    this.#sequence++
    this.#listedEndSequence = this.#runs.ends.at(-1)?.sequence ?? 0
    return this.currentReport()
  }

  /** Records what an answer to a heartbeat acknowledges, whether or not the worker receives it. */
  observeAnswer (orders: WorkerOrders | undefined): void {
    if (orders === undefined) return
    if (this.#isAlive) this.#runs.endDueRuns()
    this.#runs.recordAcknowledgements(orders)
  }

  /**
   * Receives the answer to a heartbeat; undefined where it was ignored.
   *
   * @returns whether the worker obeys it; it discards one that comes late or from a deposed leader
   */
  receiveAnswer (sequence: number, answer: WorkerOrders | undefined | 'refused'): boolean {
    if (!this.#isAlive || this.#sentTrueMs === undefined || sequence !== this.#sequence) return false
    if (answer === 'refused') this.#callNextNode()
    const orders = answer === 'refused' ? undefined : answer
    if (orders !== undefined) this.#followRedirect(orders)
    const isObeyed = orders !== undefined && this.#runs.applyOrders(orders, this.#sentMs)
    if (answer !== 'refused') this.#awaitNext(isObeyed ? orders.nextReportMs : RETRY_MS)
    return isObeyed
  }

  /**
   * Called with each answer that the worker obeys.
   *
   * @returns for how long answers of the leader of a term, none missing, have left the oldest listed end unrecorded
   */
  unrecordedMs (term: number): number {
    const nowMs = this.#options.trueClock.monotonicMs()
    const sequence = this.#runs.ends.find(end => end.sequence <= this.#listedEndSequence)?.sequence
    const known = this.#unrecorded
    const isSame = known?.term === term && known.sequence === sequence && this.#sequence === known.latestReport + 1
    if (sequence === undefined) this.#unrecorded = undefined
    else this.#unrecorded = { term, sequence, latestReport: this.#sequence, sinceMs: isSame ? known.sinceMs : nowMs }
    return nowMs - (this.#unrecorded?.sinceMs ?? nowMs)
  }

  /** Where the nodes pass heartbeats on, the worker calls another one at once. */
  #callNextNode (): void {
    const { nodeCount } = this.#options
    this.#entryIndex = (this.#entryIndex + 1) % nodeCount
    this.#awaitNext(nodeCount === 1 ? RETRY_MS : 0)
  }

  #followRedirect ({ fencingToken }: WorkerOrders): void {
    this.#entryIndex = this.#options.nodeIndexOf(fencingToken) ?? this.#entryIndex
  }

  #awaitNext (delayMs: number): void {
    this.#sentTrueMs = undefined
    this.#nextReportTrueMs = this.#options.trueClock.monotonicMs() + delayMs
  }

  /** What the worker reports at this time, under the number of its latest heartbeat. */
  currentReport (): WorkerReport {
    const { workerId, vmId, incarnation, availabilityZone } = this.#options
    return {
      workerId,
      incarnation,
      service: 'billing',
      address: `${workerId}:80`,
      vmId,
      availabilityZone,
      sequence: this.#sequence,
      state: this.#isLeaving ? 'leaving' : 'active',
      capacity: { cpuMillicores: 8_000, memoryMb: 8_000, acceleratorCount: 4 },
      labels: ['kind', 'r1'],
      rack: 'r1',
      clockMs: Math.round(this.#sentMs),
      coldRemainingMs: 0,
      running: this.#runs.running(),
      ends: [...this.#runs.ends]
    }
  }
}
