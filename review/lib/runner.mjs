/**
 * Stand-in for a runner of the platform, after the pages: heartbeats, leases on its own steady clock, fence numbers,
 * starts, stops, ends, capacity, tickets, rates, checkpoint-free work, and work units that last.
 *
 * The `spec` of a job is JSON that says what its work units do on a runner: `{ "workMs": 2000, "fails": false }`.
 */
import { call, parse } from './http.mjs'
import { nowMs, pause } from './time.mjs'

const ANSWER_TIMEOUT_MS = 1_000
const HEARTBEAT_MS = 1_500
const TICK_MS = 20
const AFTER_END_MS = 50
/** Pause before the next node is called where one refuses or cannot be reached. */
const NEXT_NODE_MS = 50
const MAX_LISTED_ENDS = 500

/** A machine with the lives of its runner, one after the other. */
export class Runner {
  #life = 0

  constructor (record, controlAddresses, options) {
    this.record = record
    this.controlAddresses = controlAddresses
    this.id = options.id
    this.machine = options.machine ?? `m-${options.id}`
    this.address = options.address
    this.service = options.service
    this.labels = options.labels ?? ['a', 'r1']
    this.capacity = options.capacity ?? { cpu: 64_000, memMb: 262_144, gpu: 8 }
    this.holdMaxMs = options.holdMaxMs ?? 6_000
    this.startupMs = options.startupMs ?? 300
    /** Tail of a lasting work unit in milliseconds, from the unit and the rates of the fillers beside it. */
    this.tailMs = options.tailMs ?? (() => 0)
    this.isTicketNeeded = options.isTicketNeeded ?? (() => false)
    this.isUp = false
    /** Everything that has begun on this machine. */
    this.starts = []
  }

  /** Begins a life, under the ID of the one before. */
  up () {
    if (this.isUp) return
    this.isUp = true
    this.#life++
    this.born = Date.now()
    this.bornMs = nowMs()
    this.sequence = 0
    this.endSequence = 0
    this.highestFence = 0
    this.leaseEndMs = -Infinity
    this.running = new Map()
    this.ends = []
    this.highestEndedRun = new Map()
    this.target = this.controlAddresses[0]
    this.record.add('runner up', { id: this.id, machine: this.machine, born: this.born })
    this.#beat(this.#life)
    this.#work(this.#life)
  }

  /** Everything on the machine ends at once, and nothing is sent any more. */
  crash (reason) {
    if (!this.isUp) return
    this.isUp = false
    const lost = [...this.running.values()].map(run => [run.unit, run.run])
    this.record.add('runner down', { id: this.id, reason, lost })
    this.running.clear()
    this.#life++
  }

  /** Work units at work: those that last count from the end of their startup on. */
  atWork () {
    return [...this.running.values()].filter(run => !run.job.lasts || run.percent >= 100)
  }

  async #beat (life) {
    while (this.#life === life) {
      const sentMs = nowMs()
      const body = JSON.stringify(this.#report(sentMs))
      const response = await call(this.target, {
        method: 'PUT', path: `/api/instances/${this.id}`, body, timeoutMs: ANSWER_TIMEOUT_MS
      })
      if (this.#life !== life) return
      const isInTime = nowMs() - sentMs < ANSWER_TIMEOUT_MS
      if (response === undefined || !isInTime || response.status < 200 || response.status > 299) {
        const next = (this.controlAddresses.indexOf(this.target) + 1) % this.controlAddresses.length
        this.target = this.controlAddresses[next]
        await pause(NEXT_NODE_MS)
        continue
      }
      const answer = parse(response.text) ?? {}
      this.#obey(answer, sentMs)
      if (answer.heartbeatUrl !== undefined) this.target = answer.heartbeatUrl
      await this.#untilNextBeat(life, answer.retryMs ?? HEARTBEAT_MS)
    }
  }

  async #untilNextBeat (life, retryMs) {
    const dueMs = nowMs() + retryMs
    const endCount = this.endSequence
    while (this.#life === life && nowMs() < dueMs) {
      await pause(Math.min(TICK_MS, Math.max(1, dueMs - nowMs())))
      if (this.endSequence > endCount) return await pause(AFTER_END_MS)
    }
  }

  #report (sentMs) {
    return {
      service: this.service,
      address: this.address,
      zone: 'zone-a',
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldRemainingMs: 0,
      capacity: this.capacity,
      labels: this.labels,
      machine: this.machine,
      born: this.born,
      clockMs: Math.round(sentMs - this.bornMs),
      sequence: ++this.sequence,
      running: [...this.running.values()].map(run => [run.unit, run.run, '', Math.floor(run.percent), this.#figureOf(run)]),
      finished: this.ends.slice(0, MAX_LISTED_ENDS)
    }
  }

  #figureOf (run) {
    return run.job.lasts ? Math.round(this.tailMs(run, this.#fillerRate())) : 1_000
  }

  #fillerRate () {
    return [...this.running.values()].reduce((sum, run) => sum + (run.job.fills ? run.rate : 0), 0)
  }

  #obey (answer, sentMs) {
    const fence = answer.fence ?? 0
    if (fence < this.highestFence) return
    this.highestFence = fence
    if (answer.ackedSeq !== undefined) {
      for (const end of this.ends) {
        if (end[0] <= answer.ackedSeq) this.record.add('end taken note of', { id: this.id, end })
      }
      this.ends = this.ends.filter(([sequence]) => sequence > answer.ackedSeq)
    }
    if (answer.holdMs !== undefined) {
      this.leaseEndMs = Math.max(this.leaseEndMs, sentMs + Math.min(answer.holdMs, this.holdMaxMs))
    }
    for (const [unit, run] of answer.stop ?? []) this.#stop(unit, run)
    for (const [unit, run, percent] of answer.rate ?? []) {
      const known = this.running.get(unit)
      if (known?.run !== run) continue
      known.rate = percent / 100
      this.record.add('rate', { id: this.id, unit, run, percent })
    }
    if (answer.holdMs === undefined) return
    for (const start of answer.start ?? []) this.#start(start)
  }

  #start ([unit, run, spec, , ticket]) {
    if (this.running.get(unit)?.run === run) return
    const job = parse(spec) ?? {}
    const isOld = run <= (this.highestEndedRun.get(unit) ?? 0)
    const isTicketMissing = this.isTicketNeeded(unit) && ticket === undefined
    if (isOld || this.running.has(unit) || !this.#fits(job) || isTicketMissing) {
      this.record.add('start rejected', { id: this.id, unit, run, isOld, isTicketMissing })
      return this.#end(unit, run, 'refused')
    }
    this.record.add('start', { id: this.id, unit, run })
    this.starts.push({ atMs: nowMs(), unit, run })
    this.running.set(unit, { unit, run, job, percent: 0, rate: 1, startedMs: nowMs() })
  }

  /** `cpu`, `memMb` and `gpu` of the work units are repeated in the spec, since a start does not name them. */
  #fits (job) {
    const used = { cpu: 0, memMb: 0, gpu: 0 }
    for (const { job: other } of [...this.running.values(), { job }]) {
      used.cpu += other.fills ? 0 : other.cpu ?? 0
      used.memMb += other.memMb ?? 0
      used.gpu += other.gpu ?? 0
    }
    return used.cpu <= this.capacity.cpu && used.memMb <= this.capacity.memMb && used.gpu <= this.capacity.gpu
  }

  #stop (unit, run) {
    this.highestEndedRun.set(unit, Math.max(this.highestEndedRun.get(unit) ?? 0, run))
    if (this.running.get(unit)?.run !== run) return
    this.running.delete(unit)
    this.#end(unit, run, 'stopped')
  }

  #end (unit, run, how) {
    this.highestEndedRun.set(unit, Math.max(this.highestEndedRun.get(unit) ?? 0, run))
    const end = [++this.endSequence, unit, run, how, '']
    this.ends.push(end)
    this.record.add('end', { id: this.id, end })
  }

  async #work (life) {
    let lastMs = nowMs()
    while (this.#life === life) {
      await pause(TICK_MS)
      if (this.#life !== life) return
      const elapsedMs = nowMs() - lastMs
      lastMs = nowMs()
      const isLapsed = this.running.size > 0 && lastMs > this.leaseEndMs
      for (const run of [...this.running.values()]) {
        if (isLapsed) {
          this.running.delete(run.unit)
          this.#end(run.unit, run.run, 'lapsed')
        } else this.#advance(run, elapsedMs)
      }
    }
  }

  #advance (run, elapsedMs) {
    const workMs = run.job.lasts ? this.startupMs : run.job.workMs
    run.percent = Math.min(100, run.percent + 100 * run.rate * elapsedMs / workMs)
    if (run.job.lasts || run.percent < 100) return
    this.running.delete(run.unit)
    this.#end(run.unit, run.run, run.job.fails ? 'failed' : 'done')
  }
}
