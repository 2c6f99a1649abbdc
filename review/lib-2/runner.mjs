/**
 * Stand-in for a runner, as PROTOCOL.md describes it: one ping at a time, orders in the answers, a lease for everything
 * that runs, and ends that are listed until they are acknowledged.
 */
import { call } from './http.mjs'

/** A larger answer, or one that comes later, does not acknowledge the ping. */
const MAX_ANSWER_BYTES = 4 * 1024 * 1024
const ANSWER_TIMEOUT_MS = 1_000
const MAX_LISTED_ENDS = 500
const AFTER_END_MS = 50
const AFTER_FAILURE_MS = 100
const CHECK_MS = 20

let latestBorn = 0

export class Runner {
  /**
   * `durationMs(unit, run, spec)` is how long a work unit runs, or `{ ms, how }` where it ends otherwise than `done`.
   * `onEvent(kind, fields)` is told of starts, ends and answers that do not count.
   */
  constructor (options) {
    Object.assign(this, {
      zone: 'zone-a',
      labels: ['a', 'r1'],
      capacity: { cpu: 64000, memMb: 262144, gpu: 8 },
      holdMaxMs: 6000,
      stopMs: 100,
      saveMs: 500,
      guards: true,
      durationMs: () => 1000,
      onEvent: () => {}
    }, options)
    this.state = 'ready'
    this.isUp = false
    this.next = Math.floor(Math.random() * 1000)
  }

  /** Begins a lifetime. */
  start () {
    latestBorn = Math.max(latestBorn + 1, Date.now())
    this.born = latestBorn
    this.isUp = true
    this.startedMs = performance.now()
    this.sequence = 0
    this.endCount = 0
    this.running = new Map()
    this.finished = []
    this.highestRun = new Map()
    this.fence = 0
    this.leaseEndMs = -Infinity
    this.url = undefined
    this.drainConfirmedMs = undefined
    const life = { born: this.born }
    this.life = life
    this.#loop(life)
    const timer = setInterval(() => {
      if (this.life !== life || !this.isUp) return clearInterval(timer)
      this.#check()
    }, CHECK_MS)
  }

  /** Ends this lifetime without a word. */
  crash () {
    this.isUp = false
    for (const [unit, entry] of this.running) this.onEvent('lost', { unit, run: entry.run })
    this.running.clear()
  }

  get clockMs () { return Math.round(performance.now() - this.startedMs) }

  get used () {
    const used = { cpu: 0, memMb: 0, gpu: 0 }
    for (const { need } of this.running.values()) for (const key of Object.keys(used)) used[key] += need[key] ?? 0
    return used
  }

  async #loop (life) {
    while (this.life === life && this.isUp) {
      const waitMs = await this.#ping(life)
      await this.#pause(waitMs)
    }
  }

  /** Ends early once a work unit has ended. */
  async #pause (waitMs) {
    await new Promise(resolve => {
      const timer = setTimeout(resolve, waitMs)
      this.wake = () => {
        clearTimeout(timer)
        setTimeout(resolve, AFTER_END_MS)
      }
    })
    this.wake = undefined
  }

  #report () {
    return {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: 8,
      state: this.state,
      coldRemainingMs: 0,
      machine: this.machine ?? `m-${this.id}`,
      capacity: this.capacity,
      labels: this.labels,
      clockMs: this.clockMs,
      born: this.born,
      sequence: ++this.sequence,
      ...(this.state === 'draining' ? { remainingMs: Math.max(0, (this.leavesAtMs ?? 0) - performance.now()) } : {}),
      running: [...this.running].map(([unit, entry]) => [unit, entry.run, entry.saved, this.#percentOf(entry), 0]),
      finished: this.finished.slice(0, MAX_LISTED_ENDS)
    }
  }

  #percentOf ({ startedMs, ms, base }) {
    if (!Number.isFinite(ms)) return 100
    return Math.min(99, Math.floor(base + (100 - base) * (performance.now() - startedMs) / ms))
  }

  async #ping (life) {
    const sentMs = performance.now()
    const base = this.url ?? this.controls[this.next++ % this.controls.length]
    const { state } = this
    const answer = await call('PUT', `${base}/api/instances/${this.id}`, { body: this.#report(), timeoutMs: ANSWER_TIMEOUT_MS })
    if (this.life !== life || !this.isUp) return 0
    const isAnswer = answer.status >= 200 && answer.status < 300 && answer.bytes <= MAX_ANSWER_BYTES &&
      performance.now() - sentMs <= ANSWER_TIMEOUT_MS
    if (!isAnswer) {
      this.onEvent('unanswered', { status: answer.status, bytes: answer.bytes, error: answer.error, at: base })
      this.url = undefined
      return AFTER_FAILURE_MS
    }
    if (state === 'draining') this.drainConfirmedMs ??= performance.now()
    this.#obey(answer.body ?? {}, sentMs)
    return answer.body?.retryMs ?? 500
  }

  #obey (orders, sentMs) {
    const fence = orders.fence ?? 0
    if (fence < this.fence) return
    this.fence = fence
    this.url = orders.heartbeatUrl === undefined ? undefined : `http://${orders.heartbeatUrl}`
    if (orders.ackedSeq !== undefined) this.finished = this.finished.filter(([number]) => number > orders.ackedSeq)
    for (const [unit, run] of orders.stop ?? []) this.#stop(unit, run)
    if (orders.holdMs === undefined) return
    this.leaseEndMs = Math.max(this.leaseEndMs, sentMs + Math.min(orders.holdMs, this.holdMaxMs))
    for (const order of orders.start ?? []) this.#begin(...order)
  }

  #begin (unit, run, spec, saved, ticket) {
    if (this.running.has(unit) || run <= (this.highestRun.get(unit) ?? 0)) return this.#end(unit, run, 'refused')
    if (this.takesTicket?.(ticket, unit) === false) return this.#end(unit, run, 'refused')
    const need = this.needOf?.(unit, spec) ?? {}
    if (this.guards && !this.#fits(need)) return this.#end(unit, run, 'refused')
    const length = this.durationMs(unit, run, spec)
    const { ms, how } = typeof length === 'number' ? { ms: length, how: 'done' } : length
    const base = saved === '' || saved === undefined ? 0 : Number(saved)
    this.running.set(unit, { run, spec, need, saved: saved ?? '', base, startedMs: performance.now(), ms, how })
    this.onEvent('start', { unit, run, saved })
  }

  #fits (need) {
    const { used, capacity } = this
    return Object.keys(used).every(key => used[key] + (need[key] ?? 0) <= capacity[key])
  }

  #stop (unit, run) {
    const entry = this.running.get(unit)
    if (entry === undefined || entry.run !== run || entry.isStopping === true) return
    entry.isStopping = true
    setTimeout(() => { if (this.running.get(unit) === entry) this.#finish(unit, entry, 'stopped') }, this.stopMs)
  }

  #check () {
    const nowMs = performance.now()
    if (nowMs > this.leaseEndMs) for (const [unit, entry] of [...this.running]) this.#finish(unit, entry, 'lapsed')
    for (const [unit, entry] of [...this.running]) {
      if (entry.isStopping !== true && nowMs - entry.startedMs >= entry.ms) this.#finish(unit, entry, entry.how)
    }
  }

  #finish (unit, entry, how) {
    this.running.delete(unit)
    this.highestRun.set(unit, Math.max(entry.run, this.highestRun.get(unit) ?? 0))
    this.#end(unit, entry.run, how, entry.saved)
  }

  #end (unit, run, how, saved = '') {
    this.finished.push([++this.endCount, unit, run, how, saved])
    this.onEvent('end', { unit, run, how })
    this.wake?.()
  }
}
