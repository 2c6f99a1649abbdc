/** Simulated backend servers of the routing benchmark. */
import type { BackendServerRecord } from '@comfreygrade/core'
import type { EventQueue } from './routing-event-queue.js'

/**
 * How a simulated server treats requests: `normal` executes them, `slow` takes several times as long, `fails_fast`
 * answers new ones with an error, `frozen` starts and ends none but still sends heartbeats, and `stopped` rejects new
 * ones but executes those in its queue, also after a restart.
 */
export type ServerBehaviour = 'normal' | 'fails_fast' | 'frozen' | 'slow' | 'stopped'

/**
 * How a server ends a request: `connect_failed` if its connections are used up, `rejected` if it is stopped and did not
 * run the request, otherwise its response.
 */
export type ServerResult = 'success' | 'server_error' | 'connect_failed' | 'rejected'

/** A request as a server receives it. */
export interface ServerRequest {
  readonly serviceMs: number
  readonly onStarted: () => void
  readonly onEnded: (result: ServerResult) => void
}

/** Response time of a server that fails fast. */
const FAST_FAILURE_MS = 1
/** Factor on the service times of a slow server. */
const SLOW_SERVICE_FACTOR = 6

/** A server with a number of slots, a FIFO queue and a limit on connections. */
export class SimulatedServer {
  readonly #events: EventQueue
  readonly #queue: ServerRequest[] = []
  #record: BackendServerRecord
  #behaviour: ServerBehaviour = 'normal'
  #running = 0

  constructor (record: BackendServerRecord, events: EventQueue) {
    this.#record = record
    this.#events = events
  }

  /** The record that the server announces. */
  get record (): BackendServerRecord {
    return this.#record
  }

  get behaviour (): ServerBehaviour {
    return this.#behaviour
  }

  /** Increments the sequence number of the record, for the next heartbeat. */
  nextRecord (): BackendServerRecord {
    this.#record = { ...this.#record, sequence: this.#record.sequence + 1 }
    return this.#record
  }

  /** Changes the behaviour. A server that is no longer frozen resumes its queue. */
  setBehaviour (behaviour: ServerBehaviour): void {
    this.#behaviour = behaviour
    this.#startQueued()
  }

  /** Returns a record that asks the entry nodes to send no new requests; the server itself still accepts them. */
  startLeaving (): BackendServerRecord {
    this.#record = { ...this.#record, state: 'leaving', sequence: this.#record.sequence + 1 }
    return this.#record
  }

  /** Returns to normal behaviour under a new incarnation. */
  restart (): BackendServerRecord {
    const { incarnation } = this.#record
    this.#record = { ...this.#record, state: 'active', incarnation: incarnation + 1, sequence: 1 }
    this.#behaviour = 'normal'
    return this.#record
  }

  handle (request: ServerRequest): void {
    if (this.#behaviour === 'stopped') return request.onEnded('rejected')
    if (this.#running + this.#queue.length >= this.#record.connections) return request.onEnded('connect_failed')
    if (this.#behaviour === 'fails_fast') {
      this.#events.schedule(this.#events.nowMs + FAST_FAILURE_MS, () => request.onEnded('server_error'))
      return
    }
    this.#queue.push(request)
    this.#startQueued()
  }

  #startQueued (): void {
    while (this.#behaviour !== 'frozen' && this.#running < this.#record.slots && this.#queue.length > 0) {
      this.#start(this.#queue.shift()!)
    }
  }

  #start (request: ServerRequest): void {
    this.#running++
    request.onStarted()
    const factor = this.#behaviour === 'slow' ? SLOW_SERVICE_FACTOR : 1
    this.#events.schedule(this.#events.nowMs + request.serviceMs * factor, () => this.#finish(request))
  }

  /** A frozen server holds back finished requests until it is no longer frozen. */
  #finish (request: ServerRequest): void {
    if (this.#behaviour === 'frozen') {
      this.#events.schedule(this.#events.nowMs + FROZEN_POLL_INTERVAL_MS, () => this.#finish(request))
      return
    }
    this.#running--
    request.onEnded('success')
    this.#startQueued()
  }
}

const FROZEN_POLL_INTERVAL_MS = 100
