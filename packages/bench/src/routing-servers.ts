/** Fake backend servers of the routing benchmark. */
import type { BackendServerRecord } from '@comfreygrade/core'
import type { Agenda } from './routing-event-queue.js'

/** What a fake server does with requests at present. */
export type ServerBehaviour = 'normal' | 'fails_fast' | 'frozen' | 'slow' | 'gone'

/** How a server ends one request. */
export type ServerAnswer = 'success' | 'server_error' | 'connect_failed' | 'rejected'

/** One request at a server. */
export interface ServerJob {
  readonly serviceMs: number
  readonly started: () => void
  readonly ended: (answer: ServerAnswer) => void
}

/** Time in which a failing server answers. */
const FAIL_FAST_MS = 1
/** Service times of a slow server relative to normal. */
const SLOW_FACTOR = 6

/** A server with slots, a first-come queue and a bound on connections. */
export class FakeServer {
  readonly #agenda: Agenda
  readonly #waiting: ServerJob[] = []
  #record: BackendServerRecord
  #behaviour: ServerBehaviour = 'normal'
  #running = 0

  constructor (record: BackendServerRecord, agenda: Agenda) {
    this.#record = record
    this.#agenda = agenda
  }

  /** The present announcement. */
  get record (): BackendServerRecord {
    return this.#record
  }

  get behaviour (): ServerBehaviour {
    return this.#behaviour
  }

  /** The next heartbeat. */
  nextRecord (): BackendServerRecord {
    this.#record = { ...this.#record, sequence: this.#record.sequence + 1 }
    return this.#record
  }

  /** Changes what the server does; a server that thaws goes on with its queue. */
  behave (behaviour: ServerBehaviour): void {
    this.#behaviour = behaviour
    this.#startWaiting()
  }

  /** Announces that the server takes no new work. */
  leave (): BackendServerRecord {
    this.#record = { ...this.#record, state: 'leaving', sequence: this.#record.sequence + 1 }
    return this.#record
  }

  /** Starts again under a new incarnation. */
  restart (): BackendServerRecord {
    const { incarnation } = this.#record
    this.#record = { ...this.#record, state: 'active', incarnation: incarnation + 1, sequence: 1 }
    this.#behaviour = 'normal'
    return this.#record
  }

  /** Takes a request. */
  take (job: ServerJob): void {
    if (this.#behaviour === 'gone') return job.ended('rejected')
    if (this.#running + this.#waiting.length >= this.#record.connections) return job.ended('connect_failed')
    if (this.#behaviour === 'fails_fast') {
      this.#agenda.at(this.#agenda.nowMs + FAIL_FAST_MS, () => job.ended('server_error'))
      return
    }
    this.#waiting.push(job)
    this.#startWaiting()
  }

  #startWaiting (): void {
    while (this.#behaviour !== 'frozen' && this.#running < this.#record.slots && this.#waiting.length > 0) {
      this.#start(this.#waiting.shift()!)
    }
  }

  #start (job: ServerJob): void {
    this.#running++
    job.started()
    const factor = this.#behaviour === 'slow' ? SLOW_FACTOR : 1
    this.#agenda.at(this.#agenda.nowMs + job.serviceMs * factor, () => this.#finish(job))
  }

  /** A frozen server keeps finished work until it thaws. */
  #finish (job: ServerJob): void {
    if (this.#behaviour === 'frozen') {
      this.#agenda.at(this.#agenda.nowMs + FROZEN_CHECK_MS, () => this.#finish(job))
      return
    }
    this.#running--
    job.ended('success')
    this.#startWaiting()
  }
}

const FROZEN_CHECK_MS = 100
