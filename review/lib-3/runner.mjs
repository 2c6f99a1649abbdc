/** A sound runner, as the page on the wire describes it: pings, a lease, runs, ends, and a guard of its capacity. */
import { send } from './http.mjs'
import { pause } from './deployment.mjs'

/** A response that arrives later, or is larger, is none. */
const RESPONSE_TIMEOUT_MS = 1_000
const MAX_RESPONSE_BYTES = 4 * 1_024 * 1_024
const MAX_LISTED_ENDS = 500
const AFTER_END_MS = 50
const TICK_MS = 10

/** Capacity of the runners on the deployments' sheets. */
export const CAPACITY = { cpu: 64_000, memMb: 262_144, gpu: 8 }

/**
 * One life of a runner. `durationOf` tells from a work unit's name, its run and its `spec` how long it works; `onEvent`
 * gets what starts and ends, and `endOf` tells how a work unit ends.
 */
export class Runner {
  #options
  #born = Date.now()
  #startedMs = performance.now()
  #sequence = 0
  #fence = 0
  #leaseEndMs = -Infinity
  #endCount = 0
  #running = new Map()
  #ends = []
  #highestRun = new Map()
  #isAlive = true
  #target
  #attempt = 0
  #wakeMs = Infinity

  constructor (options) {
    this.#options = { capacity: CAPACITY, labels: ['a', 'r1-1'], zone: 'montevideo-a', stopMs: 200, holdMaxMs: 6_000, endOf: () => 'done', onEvent: () => {}, ...options }
    this.#target = this.#options.controlAddresses[0]
  }

  get id () { return this.#options.id }
  get born () { return this.#born }
  get running () { return this.#running }
  get clockMs () { return Math.round(performance.now() - this.#startedMs) }
  get sequence () { return this.#sequence }

  /** Pings until the runner is stopped. */
  async run () {
    const timer = setInterval(() => { this.#work() }, TICK_MS)
    while (this.#isAlive) {
      const retryMs = await this.#ping()
      this.#wakeMs = performance.now() + retryMs
      while (this.#isAlive && performance.now() < this.#wakeMs) await pause(TICK_MS)
    }
    clearInterval(timer)
  }

  /** Ends the runner and all that runs on it. */
  stop () {
    this.#isAlive = false
    for (const key of [...this.#running.keys()]) this.#leave(key, 'crashed')
  }

  /** The report without its lists, for what else speaks in the name of this machine. */
  report () {
    const { service, address, zone, machine, capacity, labels } = this.#options
    return {
      service,
      address,
      zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldRemainingMs: 0,
      capacity,
      labels,
      machine,
      born: this.#born,
      clockMs: this.clockMs
    }
  }

  async #ping () {
    const sentMs = performance.now()
    const body = {
      ...this.report(),
      sequence: ++this.#sequence,
      running: [...this.#running.values()].map(run => [run.unit, run.run, run.saved, percentOf(run), 0]),
      finished: this.#ends.slice(0, MAX_LISTED_ENDS)
    }
    const response = await send(this.#target, 'PUT', `/api/instances/${this.id}`, {
      body, timeoutMs: RESPONSE_TIMEOUT_MS, maxBytes: MAX_RESPONSE_BYTES
    })
    if (!this.#isAlive) return 0
    const isLate = performance.now() - sentMs > RESPONSE_TIMEOUT_MS
    if (response?.status === 200 && !isLate && response.bytes <= MAX_RESPONSE_BYTES) {
      return this.#obey(JSON.parse(response.text), sentMs)
    }
    if (response !== undefined) {
      this.#options.onEvent({ kind: 'no_acknowledgement', runner: this.id, status: response.status, bytes: response.bytes, isLate })
    }
    const { controlAddresses } = this.#options
    this.#target = controlAddresses[++this.#attempt % controlAddresses.length]
    return 100
  }

  #obey (answer, sentMs) {
    const { fence = 0, holdMs, ackedSeq = 0, start = [], stop = [], heartbeatUrl, retryMs = 1_500 } = answer
    if (heartbeatUrl !== undefined) this.#target = heartbeatUrl
    if (fence < this.#fence) return retryMs
    this.#fence = fence
    this.#ends = this.#ends.filter(([number]) => number > ackedSeq)
    for (const [unit, run] of stop) this.#stop(unit, run)
    if (holdMs === undefined) return retryMs
    this.#leaseEndMs = Math.max(this.#leaseEndMs, sentMs + Math.min(holdMs, this.#options.holdMaxMs))
    for (const order of start) this.#start(order)
    return retryMs
  }

  #start ([unit, run, spec, saved]) {
    if (this.#running.get(unit)?.run === run) return
    if (run <= (this.#highestRun.get(unit) ?? 0)) return
    this.#highestRun.set(unit, run)
    const need = this.#options.needOf?.(unit) ?? { cpu: 0, memMb: 0, gpu: 0 }
    if (!this.#hasRoomFor(need)) return this.#end(unit, run, 'refused', '')
    const nowMs = performance.now()
    const durationMs = this.#options.durationOf(unit, run, spec)
    this.#running.set(unit, { unit, run, saved, startedMs: nowMs, durationMs, need })
    this.#options.onEvent({ kind: 'start', runner: this.id, unit, run })
  }

  #hasRoomFor (need) {
    const { capacity } = this.#options
    return ['cpu', 'memMb', 'gpu'].every(resource => {
      let used = need[resource]
      for (const run of this.#running.values()) used += run.need[resource]
      return used <= capacity[resource]
    })
  }

  #stop (unit, run) {
    const current = this.#running.get(unit)
    if (current === undefined || current.run !== run || current.stopMs !== undefined) return
    current.stopMs = performance.now() + this.#options.stopMs / 2
  }

  /** Ends what has worked long enough, was stopped, or has lost its lease. */
  #work () {
    const nowMs = performance.now()
    const isLapsed = nowMs >= this.#leaseEndMs
    for (const [key, { run, startedMs, durationMs, stopMs, saved }] of this.#running) {
      if (isLapsed) this.#leave(key, 'lapsed', run, saved)
      else if (stopMs !== undefined && nowMs >= stopMs) this.#leave(key, 'stopped', run, saved)
      else if (nowMs - startedMs >= durationMs) this.#leave(key, this.#options.endOf(key), run, '')
    }
  }

  #leave (unit, how, run = this.#running.get(unit)?.run, saved = '') {
    this.#running.delete(unit)
    this.#end(unit, run, how, saved)
  }

  #end (unit, run, how, saved) {
    this.#options.onEvent({ kind: 'end', runner: this.id, unit, run, how })
    if (how === 'crashed') return
    this.#ends.push([++this.#endCount, unit, run, how, saved])
    this.#wakeMs = Math.min(this.#wakeMs, performance.now() + AFTER_END_MS)
  }
}

function percentOf ({ startedMs, durationMs }) {
  return Math.min(100, Math.floor(100 * (performance.now() - startedMs) / durationMs))
}
